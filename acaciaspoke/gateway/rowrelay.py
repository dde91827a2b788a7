"""Passes on what an aggregator reads of the upstreams' table.

Answers many hosts that follow a table which changes with each order: each
call to the store is charged, and all hosts read the same rows. An aggregator
reads for the hosts of its failure domain. Each host still reads by itself when
it may have missed something.
"""

from collections.abc import Callable, Iterable

from loguru import logger

from acaciaspoke.gateway.follow import TableFollower
from acaciaspoke.gateway.messages import (
    RelayedRow,
    RowChanges,
    RowsRead,
)
from acaciaspoke.ids import HostId
from acaciaspoke.platform.store import FeedPage, FeedRow
from acaciaspoke.util.clock import boot_time_s

# Shares of the time within which a draining upstream has to be left alone: the
# age from which a host does not rely on what others have read, and how long it
# may miss a change. ``test_rowrelay.py`` adds up what comes on top.
MAX_READ_AGE_SHARE = 1 / 2
BEHIND_SHARE = 1 / 4


class ReadWatch:
    """What hosts have read of a table, as far as this one has heard."""

    def __init__(self, drain_s: float):
        """Prepares without any reading.

        Args:
            drain_s: Within this time a draining upstream has to be left alone.
        """
        self._max_age_s = MAX_READ_AGE_SHARE * drain_s
        self._grace_s = BEHIND_SHARE * drain_s
        self._changed = 0
        self._read_s = float("-inf")
        # The change that this host waits for, and since when.
        self._missing: tuple[int, float] | None = None

    def note_read(self, changed: int, now_s: float) -> None:
        """Notes that this host has read the table up to now."""
        self._changed = max(self._changed, changed)
        self._read_s = max(self._read_s, now_s)

    def note_told(self, read: RowsRead, own_version: int, now_s: float) -> None:
        """Notes what another host has read, or heard of."""
        self._changed = max(self._changed, read.changed)
        self._read_s = max(self._read_s, now_s - read.age_s)
        self._settle(own_version, now_s)

    def tell(self, now_s: float) -> RowsRead | None:
        """Returns what to tell other hosts; None if nothing was read."""
        if self._read_s == float("-inf"):
            return None
        return RowsRead(self._changed, now_s - self._read_s)

    def is_up_to_date(self, own_version: int, now_s: float) -> bool:
        """Tells whether this host misses nothing though it does not read."""
        if now_s - self._read_s > self._max_age_s:
            return False
        self._settle(own_version, now_s)
        if self._missing is None:
            return True
        return now_s - self._missing[1] <= self._grace_s

    def _settle(self, own_version: int, now_s: float) -> None:
        if self._missing is not None and self._missing[0] <= own_version:
            self._missing = None
        if self._missing is None and self._changed > own_version:
            self._missing = (self._changed, now_s)


class RowRelay:
    """Carries the changes of one table from its readers to other hosts."""

    def __init__(
        self,
        drain_s: float,
        follower: Callable[[], TableFollower],
        is_reader: Callable[[], bool],
        members: Callable[[], Iterable[HostId]],
        post: Callable[[RowChanges, Iterable[HostId]], object],
        clock: Callable[[], float] = boot_time_s,
    ):
        """Prepares to relay.

        Args:
            drain_s: Within this time a draining upstream has to be left alone.
            follower: Returns what follows the table at this host.
            is_reader: Whether this host reads for others.
            members: Returns the hosts for which this one reads.
            post: Sends a message to hosts.
            clock: Tells the time, also that of a suspension.
        """
        self._watch = ReadWatch(drain_s)
        self._follower = follower
        self._is_reader = is_reader
        self._members = members
        self._post = post
        self._clock = clock
        self._relied = False

    def note_page(self, after: int | None, page: FeedPage) -> None:
        """Notes what this host has read, and passes changes on.

        Args:
            after: The version after which changes were asked for; None if the
                whole table was read.
            page: The answer.
        """
        changed = max((row.version for row in page.rows), default=0)
        self._watch.note_read(changed, self._clock())
        if after is not None and page.rows:
            changes = RowChanges(
                after=after,
                version=page.version,
                rows=tuple(RelayedRow(*row) for row in page.rows),
            )
            self._post(changes, self._members())

    def take(self, changes: RowChanges) -> None:
        """Takes in changes that another host has read, and passes them on."""
        page = FeedPage(
            [FeedRow(*row) for row in changes.rows], changes.version
        )
        if self._follower().offer(changes.after, page):
            self._post(changes, self._members())

    def tell(self) -> RowsRead | None:
        """Returns what to tell other hosts; None if nothing was read."""
        return self._watch.tell(self._clock())

    def note_told(self, read: RowsRead) -> None:
        """Notes what another host has read, or heard of."""
        version = self._follower().version
        self._watch.note_told(read, version, self._clock())

    def relies(self, own_version: int) -> bool:
        """Tells whether this host can leave the reading to another one.

        Args:
            own_version: Up to which it knows the table.
        """
        relies = not self._is_reader() and self._watch.is_up_to_date(
            own_version, self._clock()
        )
        if relies != self._relied:
            read = self.tell()
            logger.info(
                "upstreams' rows come from {}",
                "the aggregator" if relies else "the store",
                version=own_version,
                newest=read.changed if read else 0,
                age_ms=round(read.age_s * 1000) if read else None,
            )
        self._relied = relies
        return relies
