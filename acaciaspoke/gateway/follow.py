"""Follows tables of the platform's store."""

import time
from collections.abc import Callable

import anyio
import msgspec
from loguru import logger

from acaciaspoke.clients.table import TableUnavailable
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.platform.store import (
    HOSTS_TABLE,
    OPERATOR_TABLE,
    UPSTREAMS_TABLE,
    FeedPage,
    FeedRow,
    HistoryGone,
    StoreClient,
)

# A call that a failing store leaves without an answer is given up after this
# and FEED_MARGIN_S, in time for the next configuration.
FEED_WAIT_S = 3.0
RETRY_S = 0.25

# With many hosts a change that one misses is heard of from others, so that
# calls may wait for longer; each call is charged.
MAX_FEED_WAIT_S = 20.0

# Changes are collected for so long, as each call to the store is charged. Each
# is far below the time within which such a change has to be in force.
PAUSES_S = {OPERATOR_TABLE: 0.1, UPSTREAMS_TABLE: 0.5, HOSTS_TABLE: 1.0}

# Upstreams' rows change with each order, and all hosts read them: with more
# hosts than this each collects changes for longer. What was loaded is told by
# the host that gives the orders.
FEW_HOSTS = 16

# Longest pause, as a share of the time in which draining upstreams have to be
# left alone.
MAX_PAUSE_SHARE = 0.5

# Pause of a host that reads the upstreams' table for others, and how long its
# calls wait, as shares of the same time: the others have to hear soon if it
# does not reach the store.
READER_PAUSE_SHARE = 1 / 6
READER_WAIT_SHARE = 1 / 5

# A host that hears of a newer configuration for so long reads it again. The
# wait doubles each time: over a slow link, reading takes longer than the first.
BEHIND_S = 0.3
MAX_BEHIND_S = 5.0


def pause_s(
    table: str, hosts: int, drain_s: float, is_reader: bool = False
) -> float:
    """Returns how long changes of a table are collected.

    Args:
        table: The table.
        hosts: How many hosts follow it.
        drain_s: Within this time a draining upstream has to be left alone.
        is_reader: Whether this host reads the table for others.
    """
    base_s = PAUSES_S[table]
    if table != UPSTREAMS_TABLE or hosts <= FEW_HOSTS:
        return base_s
    if is_reader:
        return min(base_s, READER_PAUSE_SHARE * drain_s)
    scaled_s = base_s * hosts / FEW_HOSTS
    return max(base_s, min(scaled_s, MAX_PAUSE_SHARE * drain_s))


def feed_wait_s(
    table: str, hosts: int, drain_s: float = 0.0, is_reader: bool = False
) -> float:
    """Returns how long a call waits for a change of a table.

    Args:
        table: The table.
        hosts: How many hosts follow it.
        drain_s: Within this time a draining upstream has to be left alone.
        is_reader: Whether this host reads the table for others, which have to
            hear soon if it does not reach the store.
    """
    if is_reader and table == UPSTREAMS_TABLE and hosts > FEW_HOSTS:
        return READER_WAIT_SHARE * drain_s
    if table == UPSTREAMS_TABLE or hosts <= FEW_HOSTS:
        return FEED_WAIT_S
    return min(FEED_WAIT_S * hosts / FEW_HOSTS, MAX_FEED_WAIT_S)


# A host that gets the changes from another one looks this often whether it has
# to read by itself.
RELY_CHECK_S = 0.25

# Takes rows, and whether they are all rows of the table.
TakeRows = Callable[[list[FeedRow], bool], None]


class BehindWatch:
    """Notices that other hosts have a newer configuration.

    Hosts that lag as well do not count: while the store turns several hosts
    away, they hear each other as often as those that are served.
    """

    def __init__(self) -> None:
        self._own = 0
        self._newest = 0
        self._since_s = 0.0
        self._wait_s = BEHIND_S

    def caught_up(self, version: int) -> None:
        """Notes the version that has come into force here."""
        self._own = version
        self._wait_s = BEHIND_S

    def heard_of(self, version: int, now_s: float) -> bool:
        """Notes another host's version; tells whether to read again."""
        if version <= self._own:
            return False
        if self._newest <= self._own:
            self._newest, self._since_s = version, now_s
        self._newest = max(self._newest, version)
        if now_s - self._since_s < self._wait_s:
            return False
        self._since_s = now_s
        self._wait_s = min(2 * self._wait_s, MAX_BEHIND_S)
        return True


class TableFollower:
    """Reads a table and then its changes, for as long as the process runs."""

    def __init__(
        self,
        store: StoreClient,
        table: str,
        take: TakeRows,
        on_trouble: Callable[[], None],
        on_return: Callable[[], None],
        metrics: GatewayMetrics,
        pause_s: Callable[[], float],
        wait_s: Callable[[], float],
        has_read: Callable[[int | None, FeedPage], None] = lambda *_: None,
        relies: Callable[[int], bool] = lambda _: False,
    ):
        """Prepares to follow a table.

        Args:
            store: Has the table.
            table: Its name.
            take: Takes its rows.
            on_trouble: Told when a call was not answered.
            on_return: Told when one is answered again, as other calls that
                were made meanwhile may hang.
            metrics: Counts calls without an answer.
            pause_s: How long changes are collected.
            wait_s: How long a call waits for a change.
            has_read: Told each answer, and the version that was asked for.
            relies: Whether another host reads for this one, which has the
                table up to a version.
        """
        self._store = store
        self._table = table
        self._take = take
        self._on_trouble = on_trouble
        self._on_return = on_return
        self._metrics = metrics
        self._pause_s = pause_s
        self._wait_s = wait_s
        self._has_read = has_read
        self._relies = relies
        self._version: int | None = None
        self._lost_s: float | None = None
        self._call = anyio.CancelScope()

    @property
    def version(self) -> int:
        """Up to which the table is known; 0 if it has to be read."""
        return self._version or 0

    def offer(self, after: int, page: FeedPage) -> bool:
        """Takes changes that another host has read, if none are missing.

        Args:
            after: The version that the changes come after.
            page: The changes.

        Returns:
            Whether they were taken.
        """
        own = self._version
        if own is None or not after <= own < page.version:
            return False
        rows = [row for row in page.rows if row.version > own]
        self._take_rows(FeedPage(rows, page.version), is_whole=False)
        return True

    def restart(self) -> None:
        """Gives up the present call, which may hang, and makes another."""
        self._call.cancel()

    def read_anew(self) -> None:
        """Gives up the present call and reads the whole table.

        A host that is far behind would read each change that it has missed.
        """
        self._version = None
        self.restart()

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            self._call = anyio.CancelScope()
            try:
                with self._call:
                    await self._step()
            except HistoryGone:
                logger.info("table {} is read anew", self._table)
                self._version = None
            except TableUnavailable as error:
                self._note_lost(error)
                await anyio.sleep(RETRY_S)

    async def _step(self) -> None:
        if self._version is None:
            page = await self._store.read_table(self._table)
            self._accept(None, page)
        while self._relies(self._version):
            await anyio.sleep(RELY_CHECK_S)
        after = self._version
        self._metrics.feed_calls.labels(self._table).inc()
        page = await self._store.follow(self._table, after, self._wait_s())
        self._accept(after, page)
        if page.rows:
            await anyio.sleep(self._pause_s())

    def _accept(self, after: int | None, page: FeedPage) -> None:
        if self._lost_s is not None:
            logger.info(
                "store: table {} is reached again",
                self._table,
                lost_ms=round((time.monotonic() - self._lost_s) * 1000),
            )
            self._lost_s = None
            self._on_return()
        self._has_read(after, page)
        if self._version == after:
            self._take_rows(page, is_whole=after is None)
        else:
            # Another host's changes have come during the call.
            self.offer(after, page)

    def _take_rows(self, page: FeedPage, is_whole: bool) -> None:
        try:
            self._take(page.rows, is_whole)
        except (msgspec.MsgspecError, ValueError):
            logger.exception("rows of {} cannot be used", self._table)
        self._version = page.version

    def _note_lost(self, error: TableUnavailable) -> None:
        self._metrics.store_failures.inc()
        self._on_trouble()
        if self._lost_s is None:
            self._lost_s = time.monotonic()
            logger.warning("store: table {} is lost: {}", self._table, error)
