"""Keeps the configuration in force up to date from the table."""

import time
from collections.abc import Callable

import anyio
from loguru import logger

from acaciaspoke.config.errors import ConfigError, ConfigUnavailable
from acaciaspoke.config.store import VERSIONS_PER_SNAPSHOT, ConfigStore
from acaciaspoke.control.configwatch import ConfigWatch
from acaciaspoke.control.membership import Membership
from acaciaspoke.net.messages import Outgoing

CHECK_INTERVAL_S = 0.25


class ConfigTask:
    """Reads the configuration log when the watch requests it.

    Args:
        store: The log.
        watch: Decides when to read, and holds the version in force.
        membership: The members of the failure domain.
        send: Sends messages to peers.
        on_changed: Called after the version in force may have changed.
    """

    def __init__(
        self,
        store: ConfigStore,
        watch: ConfigWatch,
        membership: Membership,
        send: Callable[[list[Outgoing]], None],
        on_changed: Callable[[], None],
    ):
        self._store = store
        self._watch = watch
        self._membership = membership
        self._send = send
        self._on_changed = on_changed

    async def run(self) -> None:
        """Polls the log until cancelled."""
        while True:
            now_s = time.monotonic()
            if self._watch.poll_due(self._membership.live(), now_s):
                await self.poll()
            self._watch.tick(time.monotonic())
            await anyio.sleep(CHECK_INTERVAL_S)

    async def poll(self) -> None:
        """Reads the head, and the rows that follow the version in force."""
        linearizable = not self._watch.ready
        try:
            head = await self._store.head(stale_ok=not linearizable)
            missing = self._watch.on_head(head, linearizable)
            if len(missing) > VERSIONS_PER_SNAPSHOT:
                self._watch.restore(await self._store.load())
            elif missing:
                await self._read_rows()
        except ConfigUnavailable as error:
            logger.warning("configuration log: {}", error)
            live = self._membership.live()
            self._send(self._watch.on_table_unavailable(live, time.monotonic()))
            return
        except ConfigError as error:
            logger.error("configuration log: {}", error)
            return
        self._on_changed()

    async def _read_rows(self) -> None:
        rows = await self._store.patches_after(self._watch.version)
        self._send(self._watch.on_rows(rows, self._membership.live()))
