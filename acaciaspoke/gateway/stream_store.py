"""What the store tells of the software versions that began streams.

There is a row for each service with its default version, and a record for each
stream that began at another one (``acaciaspoke.gateway.stream_versions``).
"""

import time
from collections.abc import Callable

import anyio
import msgspec
from loguru import logger

from acaciaspoke.clients.table import TableUnavailable
from acaciaspoke.gateway.default_version_rows import DefaultVersionRows
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.stream_records import (
    RETRY_S,
    CommitThroughPeers,
    StreamRecord,
    StreamRecords,
    record_key,
)
from acaciaspoke.gateway.stream_versions import (
    Origin,
    OriginSource,
    StreamVersions,
)
from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import RequestId, ServiceId, SoftwareVersion
from acaciaspoke.platform.store import StoreClient
from acaciaspoke.util.decoding import decode_json

# How long a caller that goes on with a stream waits for the store.
LOOKUP_TIMEOUT_S = 0.5


class StreamStore:
    """Records where streams begin, and finds where others began."""

    def __init__(
        self,
        store: StoreClient,
        versions: StreamVersions,
        metrics: GatewayMetrics,
        is_leader: Callable[[], bool] = lambda: False,
        commit_through_peers: CommitThroughPeers | None = None,
        has_other_hosts: Callable[[], bool] = lambda: False,
    ):
        """Creates an object that has read nothing.

        Args:
            store: Client of the store.
            versions: What is known of default versions.
            metrics: Counts records and lookups.
            is_leader: Returns whether this host removes the records of others.
            commit_through_peers: Has other hosts write one row, or keep it.
            has_other_hosts: Returns whether there are other hosts, as far as
                this one knows.
        """
        self._store = store
        self._versions = versions
        self._metrics = metrics
        self._default_rows = DefaultVersionRows(store, versions)
        self._records = StreamRecords(
            store,
            versions,
            metrics,
            is_leader,
            commit_through_peers,
            has_other_hosts,
        )

    async def run(self) -> None:
        """Writes and reads rows until it is cancelled."""
        self._versions.record_start(time.monotonic())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._default_rows.run)
            tasks.start_soon(self._records.run)

    def on_restored(self) -> None:
        """Reads and writes rows again that a restored store may have lost."""
        self._versions.record_restore(time.monotonic())
        self._records.write_again()

    def adopt(self, key: str, value: bytes) -> bool:
        """Keeps a record that this host could not write for another one.

        Returns:
            Whether it keeps it.
        """
        return self._records.adopt(key, value)

    async def begin(self, request: Request, version: SoftwareVersion) -> bool:
        """Records that a stream begins at a version; see ``StreamRecords``."""
        return await self._records.begin(request, version)

    async def find_origin(
        self, request: Request, stream: RequestId | None = None
    ) -> Origin:
        """Returns where the stream began with which a request goes on.

        Args:
            request: The request.
            stream: The request that began the stream; None for the one that
                the caller names, if any.
        """
        now_s = time.monotonic()
        if stream is None:
            stream = request.continues
        origin = await self._find(request, stream, now_s)
        self._metrics.continued_streams.labels(origin.source.value).inc()
        logger.info(
            "goes on with an earlier stream",
            request_id=request.id,
            continues=stream,
            service=request.service,
            version=origin.version,
            known_by=origin.source.value,
            reason=origin.reason,
            default=self._versions.default_version(request.service),
            asked_ms=round((time.monotonic() - now_s) * 1000),
        )
        return origin

    async def _find(
        self, request: Request, stream: RequestId | None, now_s: float
    ) -> Origin:
        service = request.service
        if not stream:
            return self._versions.origin_without_request(service, now_s)
        key = record_key(service, stream)
        version = self._records.version_of(key)
        if version is not None:
            return Origin(version, OriginSource.MEMORY)
        reason = "timeout"
        with anyio.move_on_after(LOOKUP_TIMEOUT_S):
            while True:
                try:
                    return await self._read_origin(service, key, now_s)
                except TableUnavailable as error:
                    reason = str(error)
                await anyio.sleep(RETRY_S)
        logger.warning(
            "the record of a stream cannot be read: {}",
            reason,
            request_id=request.id,
        )
        return self._versions.origin_without_store(service)

    async def _read_origin(
        self, service: ServiceId, key: str, now_s: float
    ) -> Origin:
        row = await self._store.read(key)
        if row is None:
            # Another host may have replaced the default version and begun
            # streams of the new one since the row was read.
            await self._default_rows.read(service)
            return self._versions.origin_without_record(service, now_s)
        try:
            record = decode_json(row.value, StreamRecord)
        except msgspec.MsgspecError as error:
            return Origin(
                None, OriginSource.UNKNOWN, f"its record is invalid: {error}"
            )
        return Origin(record.version, OriginSource.RECORD)
