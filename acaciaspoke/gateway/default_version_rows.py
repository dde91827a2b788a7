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


class DefaultVersionRows:
    """Keeps the rows as ``StreamVersions`` decides."""

    def __init__(self, store: StoreClient, versions: StreamVersions):
        self._store = store
        self._versions = versions

    async def run(self) -> None:
        """Reads and writes rows that are due, until it is cancelled."""
        failing: set[ServiceId] = set()
        # Hosts that start together do not all create the rows.
        await anyio.sleep(random.uniform(0.0, CHECK_INTERVAL_S))
        while True:
            self._versions.observe(time.monotonic())
            for service in self._versions.services:
                try:
                    await self._maintain(service)
                    failing.discard(service)
                except (TableUnavailable, OutcomeUnknown) as error:
                    if service not in failing:
                        failing.add(service)
                        logger.warning(
                            "the default version of {} is not read or written:"
                            " {}",
                            service,
                            error,
                        )
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _maintain(self, service: ServiceId) -> None:
        if self._versions.needs_read(service):
            await self.read(service)
        change = self._versions.row_to_write(service, time.monotonic())
        if change is None:
            return
        default, revision = change
        key = _default_key(service)
        result = await self._store.commit(
            Transaction(
                (Condition(key, revision),),
                (Put(key, msgspec.json.encode(default)),),
            )
        )
        if isinstance(result, Conflict):
            self._apply(service, result.rows[key])
            return
        logger.info(
            "the default version of {} is {}",
            service,
            default.version,
            epoch=default.epoch,
            store_era=default.era,
        )
        self._versions.apply_row(
            service, default, result.revision, time.monotonic()
        )

    async def read(self, service: ServiceId) -> None:
        """Reads the row of a service.

        Raises:
            TableUnavailable: If there is no response.
        """
        self._apply(service, await self._store.read(_default_key(service)))

    def _apply(self, service: ServiceId, row: Row | None) -> None:
        default, revision = None, 0
        if row is not None:
            revision = row.mod_revision
            try:
                default = decode_json(row.value, DefaultVersion)
            except msgspec.MsgspecError as error:
                logger.error(
                    "the default version of {} is invalid: {}", service, error
                )
        self._versions.apply_row(service, default, revision, time.monotonic())


def _default_key(service: ServiceId) -> str:
    return f"{DEFAULT_VERSIONS_TABLE}/{service}"
