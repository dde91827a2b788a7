"""Follows the changes of tables in the platform's store."""

import time
from collections.abc import Callable

import anyio
import msgspec
from loguru import logger

from acaciaspoke.clients.table import TableUnavailable
from acaciaspoke.gateway.api_keys import is_discovering, may_be_outdated
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.platform.store import (
    HOSTS_TABLE,
    OPERATOR_TABLE,
    UPSTREAMS_TABLE,
    FeedPage,
    FeedRow,
    HistoryGoneError,
    StoreClient,
)

# A call that the store leaves unanswered is given up after this time and
# _FEED_MARGIN_S of platform/store.py, in time for the next configuration.
FEED_WAIT_S = 3.0
RETRY_S = 0.25

# Longest pause between retries in a large deployment. A host that the store
# turns away makes billed calls in vain, and gets newer configurations and rows
# of upstreams from other hosts.
MAX_RETRY_S = 1.0

# Interval of the log lines about a table that stays lost; the reason may have
# changed.
LOST_LOG_INTERVAL_S = 2.0

# Calls are billed, so they wait longer in a large deployment; there a host
# learns of a change that it missed from others.
MAX_FEED_WAIT_S = 20.0

# Pauses after a response with changes, so that the next call, which is billed,
# returns more of them. Each is far below the time within which such a change
# has to be in force.
PAUSES_S = {OPERATOR_TABLE: 0.1, UPSTREAMS_TABLE: 0.5, HOSTS_TABLE: 1.0}

# Rows of upstreams change with each order, and all hosts read them. With more
# hosts than this the pauses grow with their number; the leader announces what
# was loaded before the rows show it.
MAX_UNSCALED_HOSTS = 16

# Longest pause, as a share of the time for which a draining upstream may still
# get work.
MAX_PAUSE_SHARE = 0.5

# Pause of a host that reads the upstreams table for others, and how long its
# calls wait, as shares of the same time: the others have to learn soon that it
# can't connect to the store.
READER_PAUSE_SHARE = 1 / 6
READER_WAIT_SHARE = 1 / 5

# A host whose configuration is older than others' for this time reads it again.
# The time doubles with each reading: over a slow link one takes longer than the
# first wait.
LAG_GRACE_S = 0.3
MAX_LAG_GRACE_S = 5.0


def pause_s(
    table: str, hosts: int, drain_s: float, is_reader: bool = False
) -> float:
    """Returns the pause between a response with changes and the next call.

    Args:
        table: The table.
        hosts: Number of hosts that follow it.
        drain_s: Time for which a draining upstream may still get work.
        is_reader: Whether this host reads the table for others.
    """
    base_s = PAUSES_S[table]
    if table != UPSTREAMS_TABLE or hosts <= MAX_UNSCALED_HOSTS:
        return base_s
    if is_reader:
        return min(base_s, READER_PAUSE_SHARE * drain_s)
    scaled_s = base_s * hosts / MAX_UNSCALED_HOSTS
    return max(base_s, min(scaled_s, MAX_PAUSE_SHARE * drain_s))


def feed_wait_s(
    table: str, hosts: int, drain_s: float = 0.0, is_reader: bool = False
) -> float:
    """Returns how long a call waits for a change of a table.

    Args:
        table: The table.
        hosts: Number of hosts that follow it.
        drain_s: Time for which a draining upstream may still get work.
        is_reader: Whether this host reads the table for others, which have to
            learn soon that it can't connect to the store.
    """
    if is_reader and table == UPSTREAMS_TABLE and hosts > MAX_UNSCALED_HOSTS:
        return READER_WAIT_SHARE * drain_s
    if table == UPSTREAMS_TABLE or hosts <= MAX_UNSCALED_HOSTS:
        return FEED_WAIT_S
    return min(FEED_WAIT_S * hosts / MAX_UNSCALED_HOSTS, MAX_FEED_WAIT_S)


# How often a host that gets changes from its aggregator checks whether it has
# to read the store itself.
DELEGATION_CHECK_S = 0.25

# Applies rows; the flag tells whether they are the whole table.
ApplyRows = Callable[[list[FeedRow], bool], None]


def retry_pause_s(table: str, hosts: int, failures: int) -> float:
    """Returns the pause between a failed call and the next one.

    Args:
        table: The table.
        hosts: Number of hosts that follow it.
        failures: How many calls have failed since the last response.
    """
    if table == UPSTREAMS_TABLE or hosts <= MAX_UNSCALED_HOSTS:
        return RETRY_S
    return min(MAX_RETRY_S, RETRY_S * 2 ** min(failures - 1, 8))


class ConfigurationLag:
    """Detects that other hosts have a newer configuration.

    Messages of hosts that lag as well don't reset the wait: while the store
    rejects several hosts, their messages are as frequent as those of others.

    Attributes:
        has_heard_version: Whether another host has told its version.
    """

    def __init__(self) -> None:
        self._local = 0
        self._newest = 0
        self._since_s = 0.0
        self._wait_s = LAG_GRACE_S
        self._confirmed_s = float("-inf")
        self.has_heard_version = False

    def record_local_version(self, version: int) -> None:
        """Records the version that is in force at this host."""
        self._local = version
        self._wait_s = LAG_GRACE_S

    def record_read(self, now_s: float) -> None:
        """Records that the store has just shown its newest version."""
        self._confirmed_s = now_s

    def may_be_outdated(
        self, now_s: float, started_s: float, registered: int
    ) -> bool:
        """Returns whether this host may lack the newest version.

        Args:
            now_s: The current time.
            started_s: When the process started.
            registered: Number of hosts that have a row, with this one.
        """
        return is_discovering(
            now_s - started_s, registered, self.has_heard_version
        ) or may_be_outdated(
            self._local, self._newest, now_s - self._confirmed_s
        )

    def observe(self, version: int, now_s: float) -> bool:
        """Records another host's version; returns whether to read again."""
        self.has_heard_version |= version > 0
        if version <= self._local:
            if version and version == self._local:
                self._confirmed_s = now_s
            return False
        if self._newest <= self._local:
            self._newest, self._since_s = version, now_s
        self._newest = max(self._newest, version)
        if now_s - self._since_s < self._wait_s:
            return False
        self._since_s = now_s
        self._wait_s = min(2 * self._wait_s, MAX_LAG_GRACE_S)
        return True


class TableFollower:
    """Reads a table and then its changes, for as long as the process runs."""

    def __init__(
        self,
        store: StoreClient,
        table: str,
        apply: ApplyRows,
        on_failure: Callable[[], None],
        on_recovery: Callable[[], None],
        metrics: GatewayMetrics,
        pause_s: Callable[[], float],
        wait_s: Callable[[], float],
        on_page: Callable[[int | None, FeedPage], None] = lambda *_: None,
        is_delegated: Callable[[int], bool] = lambda _: False,
        retry_s: Callable[[int], float] = lambda failures: RETRY_S,
    ):
        """Creates a follower that has not read the table.

        Args:
            store: Client of the store.
            table: The table's name.
            apply: Applies rows.
            on_failure: Called when a call was not answered.
            on_recovery: Called when a call is answered again, as other calls
                that were made meanwhile may hang.
            metrics: Counts calls without a response.
            pause_s: Returns the pause after a response with changes.
            wait_s: Returns how long a call waits for a change.
            on_page: Called with each requested version and its response.
            is_delegated: Whether another host reads for this one, given the
                version that this host knows.
            retry_s: Returns the pause after some failed calls in a row. A host
                that has never read the table retries after ``RETRY_S``.
        """
        self._store = store
        self._table = table
        self._apply = apply
        self._on_failure = on_failure
        self._on_recovery = on_recovery
        self._metrics = metrics
        self._pause_s = pause_s
        self._wait_s = wait_s
        self._on_page = on_page
        self._is_delegated = is_delegated
        self._retry_s = retry_s
        self._failures = 0
        self._version: int | None = None
        # The version of the last change that was applied, also while earlier
        # ones may be missing; None before the first reading.
        self._applied_version: int | None = None
        self._lost_since_s: float | None = None
        self._lost_logged_s = float("-inf")
        self._call = anyio.CancelScope()

    @property
    def version(self) -> int:
        """The version that this host knows; 0 if it has to read the table."""
        return self._version or 0

    @property
    def is_lost(self) -> bool:
        """Whether the last call was not answered."""
        return self._lost_since_s is not None

    def offer(self, after: int, page: FeedPage) -> bool:
        """Applies changes that another host has read, unless some are missing.

        While the whole table has to be read again, changes are applied also if
        some are missing.

        Args:
            after: The version that the changes follow.
            page: The changes.

        Returns:
            Whether they were applied.
        """
        applied, local = self._applied_version, self._version
        if applied is None or page.version <= applied:
            return False
        if local is not None and after > local:
            return False
        rows = [row for row in page.rows if row.version > applied]
        self._apply_rows(FeedPage(rows, page.version), is_snapshot=False)
        if local is not None:
            self._version = page.version
        return True

    def restart(self) -> None:
        """Cancels the current call, which may hang, and makes another."""
        self._call.cancel()

    def reread(self) -> None:
        """Cancels the current call and reads the whole table.

        This is faster for a host that would have to read many changes.
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
            except HistoryGoneError:
                logger.info(
                    "history of table {} is gone; reading the whole table",
                    self._table,
                )
                self._version = None
            except TableUnavailable as error:
                self._record_failure(error)
                await self._pause_before_retry()

    async def _pause_before_retry(self) -> None:
        self._failures += 1
        is_new = self._applied_version is None
        pause_s = RETRY_S if is_new else self._retry_s(self._failures)
        # A table that is reached again ends the pauses of the others.
        self._call = anyio.CancelScope()
        with self._call:
            await anyio.sleep(pause_s)

    async def _step(self) -> None:
        if self._version is None:
            page = await self._store.read_table(self._table)
            self._apply_page(None, page)
        while self._is_delegated(self._version):
            await anyio.sleep(DELEGATION_CHECK_S)
            if self._version is None:
                # A sleep that has ended is not cancelled by ``reread``.
                return
        after = self._version
        self._metrics.feed_calls.labels(self._table).inc()
        page = await self._store.follow(self._table, after, self._wait_s())
        self._apply_page(after, page)
        if page.rows:
            await anyio.sleep(self._pause_s())

    def _apply_page(self, after: int | None, page: FeedPage) -> None:
        if self._lost_since_s is not None:
            logger.info(
                "store: table {} is reached again",
                self._table,
                lost_ms=round((time.monotonic() - self._lost_since_s) * 1000),
            )
            self._lost_since_s = None
            self._failures = 0
            self._on_recovery()
        self._on_page(after, page)
        if self._version == after:
            self._apply_rows(page, is_snapshot=after is None)
            self._version = page.version
        else:
            # Changes from another host were applied during the call.
            self.offer(after, page)

    def _apply_rows(self, page: FeedPage, is_snapshot: bool) -> None:
        try:
            self._apply(page.rows, is_snapshot)
        except (msgspec.MsgspecError, ValueError):
            logger.exception("rows of table {} cannot be applied", self._table)
        self._applied_version = page.version

    def _record_failure(self, error: TableUnavailable) -> None:
        self._metrics.store_failures.inc()
        self._on_failure()
        now_s = time.monotonic()
        if self._lost_since_s is None:
            self._lost_since_s = now_s
            logger.warning("store: table {} is lost: {}", self._table, error)
        elif now_s - self._lost_logged_s >= LOST_LOG_INTERVAL_S:
            logger.warning(
                "store: table {} is still lost: {}",
                self._table,
                error,
                lost_ms=round((now_s - self._lost_since_s) * 1000),
            )
        else:
            return
        self._lost_logged_s = now_s
