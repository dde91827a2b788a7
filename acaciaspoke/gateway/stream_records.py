"""Keeps the records of the streams that begin at this host in the store."""

import itertools
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
import msgspec
import xxhash
from loguru import logger

from acaciaspoke.clients.table import (
    Committed,
    Condition,
    Conflict,
    Delete,
    OutcomeUnknown,
    Put,
    TableUnavailable,
    Transaction,
)
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.peer_lease_table import Kept
from acaciaspoke.gateway.stream_versions import StreamVersions
from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import RequestId, ServiceId, SoftwareVersion
from acaciaspoke.platform.store import STREAMS_TABLE, StoreClient
from acaciaspoke.util.decoding import decode_json

# Pause after a call to the store that failed.
RETRY_S = 0.1

# How long the first event of a stream waits for its record. Callers leave after
# two seconds without an event.
MAX_HOLD_S = 1.0

# A record that takes longer is written through other hosts too; the store
# usually responds within 10 ms.
DIRECT_WAIT_S = 0.1

# Records written through other hosts at the same time.
MAX_PEER_WRITES = 32

# A record is kept for this long after its stream can be taken up.
RECORD_MARGIN_S = 5.0

# Entries of a transaction (the platform's protocol).
MAX_ENTRIES = 100

# Records that have expired are removed with the next write, or at this
# interval.
REMOVAL_INTERVAL_S = 5.0

# How often the leader looks for the records of hosts that are gone.
SWEEP_INTERVAL_S = 60.0

# A longer id, or one of other characters, is replaced by a hash in keys.
MAX_KEY_LENGTH = 100


CommitThroughPeers = Callable[
    [Transaction], Awaitable[Committed | Conflict | Kept]
]


class StreamRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The record of a stream."""

    version: SoftwareVersion


class _BegunStream(NamedTuple):
    """A stream that began at this host, or whose record it writes.

    Attributes:
        expires_s: When it can be forgotten.
        record: Its record in the store; None if it needs none.
        is_local: Whether it began here.
    """

    version: SoftwareVersion
    expires_s: float
    record: StreamRecord | None
    is_local: bool = True


def record_key(service: ServiceId, request: RequestId) -> str:
    """Returns the key of the record of a stream."""
    name = f"{service}/{request}"
    if len(name) > MAX_KEY_LENGTH or not (
        name.isascii() and name.isprintable()
    ):
        name = xxhash.xxh3_128_hexdigest(name.encode())
    return f"{STREAMS_TABLE}/{name}"


class StreamRecords:
    """Knows the streams that began here, and writes and removes records."""

    def __init__(
        self,
        store: StoreClient,
        versions: StreamVersions,
        metrics: GatewayMetrics,
        is_leader: Callable[[], bool] = lambda: False,
        commit_through_peers: CommitThroughPeers | None = None,
        has_other_hosts: Callable[[], bool] = lambda: False,
    ):
        """Creates an object that knows no stream.

        Args:
            store: Client of the store.
            versions: What is known of default versions.
            metrics: Counts records.
            is_leader: Returns whether this host removes the records of others.
            commit_through_peers: Has other hosts write one row, or keep it.
            has_other_hosts: Returns whether there are other hosts, as far as
                this one knows.
        """
        self._store = store
        self._versions = versions
        self._metrics = metrics
        self._is_leader = is_leader
        self._commit_through_peers = commit_through_peers
        self._has_other_hosts = has_other_hosts
        self._peer_writes = anyio.Semaphore(MAX_PEER_WRITES)
        self._begun: dict[str, _BegunStream] = {}
        # Records to write, with the events that tell that they are written.
        self._pending: dict[str, anyio.Event] = {}
        # Keys of records to remove.
        self._expired: dict[str, None] = {}
        self._wake = anyio.Event()

    async def run(self) -> None:
        """Writes and removes records until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_records)
            tasks.start_soon(self._sweep)

    def version_of(self, key: str) -> SoftwareVersion | None:
        """Returns the version of a stream that this host knows by itself."""
        begun = self._begun.get(key)
        return begun and begun.version

    def write_again(self) -> None:
        """Writes records again, which the restored store may have lost.

        Streams of the default version get some too: without one, a stream may
        be one of another version whose host has died.
        """
        for key, begun in self._begun.items():
            self._begun[key] = begun._replace(
                record=StreamRecord(version=begun.version)
            )
            self._pending.setdefault(key, anyio.Event())
        self._wake.set()

    async def begin(self, request: Request, version: SoftwareVersion) -> bool:
        """Records that a stream begins at a version.

        Ends when the record is written, or other hosts keep it until the store
        answers them, or after ``MAX_HOLD_S``. Nobody could tell then where the
        stream began, so it may only begin if there are no other hosts.

        Returns:
            Whether the stream may begin.
        """
        now_s = time.monotonic()
        # The caller may go on with later requests, also beyond this deadline.
        left_s = max(request.deadline_s - now_s, self._versions.life_s)
        left_s += RECORD_MARGIN_S
        key = record_key(request.service, request.id)
        # The process may have stood still since the last check.
        self._versions.expire(request.service, now_s)
        if not self._versions.needs_record(request.service, version, now_s):
            self._begun[key] = _BegunStream(version, now_s + left_s, None)
            return True
        record = StreamRecord(version=version)
        self._begun[key] = _BegunStream(version, now_s + left_s, record)
        written = self._pending[key] = anyio.Event()
        self._wake.set()
        self._metrics.stream_records.inc()
        if not self._versions.must_hold(request.service, version):
            return True
        is_kept = False
        with anyio.move_on_after(MAX_HOLD_S):
            if self._versions.can_record:
                with anyio.move_on_after(DIRECT_WAIT_S):
                    await written.wait()
            if not written.is_set():
                is_kept = await self._ask_peers(key, record, written)
        if written.is_set() or is_kept:
            return True
        may_begin = not self._has_other_hosts()
        self._metrics.unrecorded_streams.inc()
        logger.warning(
            "the stream {} at version {} before its record is written",
            "begins" if may_begin else "may not begin",
            version,
            request_id=request.id,
            service=request.service,
            default=self._versions.default_version(request.service),
        )
        return may_begin

    async def _ask_peers(
        self, key: str, record: StreamRecord, written: anyio.Event
    ) -> bool:
        """Has other hosts write or keep a record, until it is written.

        Returns:
            Whether they keep it.
        """
        is_kept = False

        async def ask() -> None:
            nonlocal is_kept
            while not is_kept:
                async with self._peer_writes:
                    is_kept = await self._write_through_peers(key, record)
                if not is_kept:
                    await anyio.sleep(RETRY_S)
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            if self._commit_through_peers is not None:
                tasks.start_soon(ask)
            # The store may answer this host while the others are asked.
            await written.wait()
            tasks.cancel_scope.cancel()
        return is_kept

    async def _write_through_peers(
        self, key: str, record: StreamRecord
    ) -> bool:
        """Has other hosts write a record; returns whether they keep it."""
        value = msgspec.json.encode(record)
        try:
            result = await self._commit_through_peers(
                Transaction((Condition(key, 0),), (Put(key, value),))
            )
        except OutcomeUnknown as error:
            logger.info("a record is not written through peers: {}", error)
            return False
        if isinstance(result, Kept):
            return True
        row = result.rows[key] if isinstance(result, Conflict) else None
        if isinstance(result, Committed) or (row and row.value == value):
            event = self._pending.pop(key, None)
            if event is not None:
                event.set()
        return False

    def adopt(self, key: str, value: bytes) -> bool:
        """Keeps a record that this host could not write for another one.

        Returns:
            Whether it keeps it.
        """
        if not key.startswith(f"{STREAMS_TABLE}/"):
            return False
        try:
            record = decode_json(value, StreamRecord)
        except msgspec.MsgspecError as error:
            logger.warning("the record {} is invalid: {}", key, error)
            return False
        if key in self._begun:
            return self._begun[key].version == record.version
        life_s = self._versions.life_s + RECORD_MARGIN_S
        expires_s = time.monotonic() + life_s
        self._begun[key] = _BegunStream(
            record.version, expires_s, record, is_local=False
        )
        self._pending[key] = anyio.Event()
        self._wake.set()
        logger.info("keeps the record {} until the store answers", key)
        return True

    async def _write_records(self) -> None:
        while True:
            with anyio.move_on_after(REMOVAL_INTERVAL_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            self._forget_expired(time.monotonic())
            while self._pending or self._expired:
                if await self._write_batch():
                    continue
                if not self._pending:
                    break
                await anyio.sleep(RETRY_S)
                self._forget_expired(time.monotonic())
            # All streams whose records were not confirmed have ended.
            self._versions.can_record = True

    def _forget_expired(self, now_s: float) -> None:
        for key, begun in list(self._begun.items()):
            if begun.expires_s <= now_s:
                del self._begun[key]
                self._pending.pop(key, None)
                # Another host may know a longer life of its streams.
                if begun.record is not None and begun.is_local:
                    self._expired[key] = None

    async def _write_batch(self) -> bool:
        """Writes the next records; returns whether the store confirmed it."""
        written = dict(itertools.islice(self._pending.items(), MAX_ENTRIES))
        removed = list(
            itertools.islice(self._expired, MAX_ENTRIES - len(written))
        )
        records = {key: self._begun[key].record for key in written}
        puts = [
            Put(key, msgspec.json.encode(record))
            for key, record in records.items()
            if record is not None
        ]
        deletes = [Delete(key) for key in removed]
        try:
            await self._store.commit(Transaction((), (*puts, *deletes)))
        except (TableUnavailable, OutcomeUnknown) as error:
            if written and self._versions.can_record:
                logger.warning("records of streams are not written: {}", error)
                self._versions.can_record = False
            return False
        if not self._versions.can_record:
            logger.info("records of streams are written again")
        self._versions.can_record = True
        for key in removed:
            self._expired.pop(key, None)
        for key, event in written.items():
            if self._pending.get(key) is event:
                del self._pending[key]
            event.set()
        return True

    async def _sweep(self) -> None:
        """Removes the records of hosts that are gone, if this host leads."""
        # When each key was read first: the clocks of hosts may be wrong.
        found_s: dict[str, float] = {}
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            if not self._is_leader():
                found_s = {}
                continue
            try:
                page = await self._store.read_table(STREAMS_TABLE)
            except TableUnavailable as error:
                logger.warning("records of streams are not read: {}", error)
                continue
            now_s = time.monotonic()
            found_s = {
                row.key: found_s.get(row.key, now_s) for row in page.rows
            }
            before_s = now_s - self._versions.life_s - RECORD_MARGIN_S
            self._expired.update(
                (f"{STREAMS_TABLE}/{key}", None)
                for key, key_found_s in found_s.items()
                if key_found_s <= before_s
            )
