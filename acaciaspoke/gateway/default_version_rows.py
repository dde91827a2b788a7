"""Reads and writes the rows with the default versions of services."""

import random
import time

import anyio
import msgspec
from loguru import logger

from acaciaspoke.clients.table import (
    Condition,
    Conflict,
    OutcomeUnknown,
    Put,
    Row,
    TableUnavailable,
    Transaction,
)
from acaciaspoke.gateway.stream_versions import DefaultVersion, StreamVersions
from acaciaspoke.ids import ServiceId
from acaciaspoke.platform.store import DEFAULT_VERSIONS_TABLE, StoreClient
from acaciaspoke.util.decoding import decode_json

# How often the default versions are checked.
CHECK_INTERVAL_S = 0.25

# Pause after a failed call if the row that is known can still be relied on.
RETRY_INTERVAL_S = 1.0


class DefaultVersionRows:
    """Keeps the rows as ``StreamVersions`` decides."""

    def __init__(self, store: StoreClient, versions: StreamVersions):
        self._store = store
        self._versions = versions

    async def run(self) -> None:
        """Reads and writes rows that are due, until it is cancelled."""
        failed_s: dict[ServiceId, float] = {}
        # Hosts that start together do not all create the rows.
        await anyio.sleep(random.uniform(0.0, CHECK_INTERVAL_S))
        while True:
            self._versions.observe(time.monotonic())
            for service in self._versions.services:
                if not self._is_due(service, failed_s.get(service)):
                    continue
                try:
                    await self._maintain(service)
                    failed_s.pop(service, None)
                except (TableUnavailable, OutcomeUnknown) as error:
                    is_first = service not in failed_s
                    failed_s[service] = time.monotonic()
                    if is_first:
                        logger.warning(
                            "the default version of {} is not read or written:"
                            " {}",
                            service,
                            error,
                        )
            await anyio.sleep(CHECK_INTERVAL_S)

    def _is_due(self, service: ServiceId, failed_s: float | None) -> bool:
        return (
            failed_s is None
            or self._versions.default_version(service) is None
            or time.monotonic() - failed_s >= RETRY_INTERVAL_S
        )

    async def _maintain(self, service: ServiceId) -> None:
        if self._versions.needs_read(service):
            await self.read(service)
        change = self._versions.row_to_write(service, time.monotonic())
        if change is None:
            return
        default, revision = change
        key = _default_key(service)
        asked_s = time.monotonic()
        result = await self._store.commit(
            Transaction(
                (Condition(key, revision),),
                (Put(key, msgspec.json.encode(default)),),
            )
        )
        if isinstance(result, Conflict):
            self._apply(service, result.rows[key], asked_s)
            return
        logger.info(
            "the default version of {} is {}",
            service,
            default.version,
            epoch=default.epoch,
            store_era=default.era,
        )
        self._versions.apply_row(service, default, result.revision, asked_s)

    async def read(self, service: ServiceId) -> None:
        """Reads the row of a service.

        Raises:
            TableUnavailable: If there is no response.
        """
        asked_s = time.monotonic()
        row = await self._store.read(_default_key(service))
        self._apply(service, row, asked_s)

    def _apply(
        self, service: ServiceId, row: Row | None, asked_s: float
    ) -> None:
        default, revision = None, 0
        if row is not None:
            revision = row.mod_revision
            try:
                default = decode_json(row.value, DefaultVersion)
            except msgspec.MsgspecError as error:
                logger.error(
                    "the default version of {} is invalid: {}", service, error
                )
        before = self._versions.default_version(service)
        self._versions.apply_row(service, default, revision, asked_s)
        after = self._versions.default_version(service)
        if after != before:
            logger.info(
                "the default version of {} is known",
                service,
                version=after,
                known_before=before,
                epoch=default and default.epoch,
                store_version=revision,
            )


def _default_key(service: ServiceId) -> str:
    return f"{DEFAULT_VERSIONS_TABLE}/{service}"
