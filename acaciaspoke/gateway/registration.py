"""Registers this host in the store, so that other hosts discover it."""

import anyio
import msgspec
from loguru import logger

from acaciaspoke.clients.table import (
    Delete,
    OutcomeUnknown,
    Put,
    TableUnavailable,
    Transaction,
)
from acaciaspoke.gateway.peers import HostRow
from acaciaspoke.gateway.settings import GatewaySettings
from acaciaspoke.gateway.table_follower import RETRY_S
from acaciaspoke.platform.store import HOSTS_TABLE, StoreClient


class Registration:
    """Writes the row of one host, also again if it is lost, and removes it."""

    def __init__(self, settings: GatewaySettings, store: StoreClient):
        self._store = store
        self._key = f"{HOSTS_TABLE}/{settings.host}"
        self._row = HostRow(
            address=settings.address,
            port=settings.peer_port,
            failure_domain=settings.domain_id,
            link_mbps=settings.link_mbps,
            takes_forwarded=True,
            knows_workspaces=True,
        )
        self._is_registered = False
        self._is_ended = False
        self._row_lost = anyio.Event()

    def record_row(self, row: HostRow | None) -> None:
        """Records the row that the store has for this host, None if none.

        A restored store may have that of an earlier process.
        """
        if self._is_registered and not self._is_ended and row != self._row:
            self._row_lost.set()

    async def run(self) -> None:
        """Writes the row, and again each time it is lost."""
        while True:
            await self._write()
            self._is_registered = True
            await self._row_lost.wait()
            self._row_lost = anyio.Event()
            self._is_registered = False
            logger.warning("the row of this host is lost; writing it again")

    async def _write(self) -> None:
        """Writes the row; retries until the write is confirmed."""
        put = Put(self._key, msgspec.json.encode(self._row))
        is_first = True
        while True:
            try:
                await self._store.commit(Transaction((), (put,)))
                logger.info("host is registered")
                return
            except (TableUnavailable, OutcomeUnknown) as error:
                if is_first:
                    logger.warning(
                        "registering the host failed, retrying: {}", error
                    )
                is_first = False
                await anyio.sleep(RETRY_S)

    async def remove(self) -> None:
        """Removes the row when the gateway stops; makes one attempt."""
        self._is_ended = True
        try:
            await self._store.commit(Transaction((), (Delete(self._key),)))
        except (TableUnavailable, OutcomeUnknown) as error:
            logger.warning("removing the host's row failed: {}", error)
