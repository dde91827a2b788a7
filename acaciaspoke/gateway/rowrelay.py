"""Relays the changes of the upstreams table from aggregators to their members.

The table changes with each order, each call to the store is billed, and all
hosts read the same rows. So an aggregator reads for the hosts of its failure
domain. A host that may have missed a change still reads the store itself.
"""

from collections.abc import Callable, Iterable

from loguru import logger

from acaciaspoke.gateway.messages import (
    ReadProgress,
    RelayedRow,
    RowChanges,
)
from acaciaspoke.gateway.table_follower import TableFollower
from acaciaspoke.ids import HostId
from acaciaspoke.platform.store import FeedPage, FeedRow
from acaciaspoke.platform.versions import era_of
from acaciaspoke.util.clock import boot_time_s

# Shares of the time for which a draining upstream may still get work: the age
# up to which a host relies on what others have read, and how long it may miss a
# change. ``test_rowrelay.py`` checks that all delays together are short enough.
MAX_READ_AGE_SHARE = 1 / 2
MISSING_GRACE_SHARE = 1 / 4


class ReadProgressTracker:
    """Tracks the newest known change of a table and when it was last read."""

    def __init__(self, drain_s: float):
        """Creates a tracker for a table that no host has read.

        Args:
            drain_s: Time for which a draining upstream may still get work.
        """
        self._max_age_s = MAX_READ_AGE_SHARE * drain_s
        self._grace_s = MISSING_GRACE_SHARE * drain_s
        self._newest_version = 0
        self._read_s = float("-inf")
        # When this host was last known to have all changes.
        self._complete_s = float("-inf")
        # Version of the change that this host misses, and since when.
        self._missing: tuple[int, float] | None = None

    def record_local_read(self, newest_version: int, now_s: float) -> None:
        """Records that this host has read the table up to now."""
        self._newest_version = max(self._newest_version, newest_version)
        self._read_s = max(self._read_s, now_s)
        self._complete_s = max(self._complete_s, now_s)

    def record_peer_read(
        self, progress: ReadProgress, local_version: int, now_s: float
    ) -> None:
        """Records how current another host's table is."""
        self._newest_version = max(
            self._newest_version, progress.newest_version
        )
        self._read_s = max(self._read_s, now_s - progress.age_s)
        if progress.newest_version <= local_version:
            self._complete_s = max(self._complete_s, now_s - progress.age_s)
        self._update_missing(local_version, now_s)

    def progress(self, now_s: float) -> ReadProgress | None:
        """Returns what to report to other hosts; None if no host has read."""
        if self._read_s == float("-inf"):
            return None
        return ReadProgress(self._newest_version, now_s - self._read_s)

    def view_age_s(self, now_s: float) -> float:
        """Returns how old this host's view is: how long ago it had all changes.

        Other hosts may have read the table since.
        """
        return now_s - self._complete_s

    def is_up_to_date(self, local_version: int, now_s: float) -> bool:
        """Returns whether this host gets all changes without reading."""
        if now_s - self._read_s > self._max_age_s:
            return False
        self._update_missing(local_version, now_s)
        if self._missing is None:
            return True
        return now_s - self._missing[1] <= self._grace_s

    def _update_missing(self, local_version: int, now_s: float) -> None:
        if self._missing is not None and self._missing[0] <= local_version:
            self._missing = None
        if self._missing is None and self._newest_version > local_version:
            self._missing = (self._newest_version, now_s)


class RowRelay:
    """Relays the changes of one table from its readers to other hosts."""

    def __init__(
        self,
        drain_s: float,
        follower: Callable[[], TableFollower],
        is_reader: Callable[[], bool],
        members: Callable[[], Iterable[HostId]],
        post: Callable[[RowChanges, Iterable[HostId]], object],
        clock: Callable[[], float] = boot_time_s,
    ):
        """Creates a relay that has sent nothing.

        Args:
            drain_s: Time for which a draining upstream may still get work.
            follower: Returns this host's follower of the table.
            is_reader: Whether this host reads for others.
            members: Returns the hosts for which this one reads.
            post: Sends a message to hosts.
            clock: Returns a time that includes suspensions of the host.
        """
        self._tracker = ReadProgressTracker(drain_s)
        self._follower = follower
        self._is_reader = is_reader
        self._members = members
        self._post = post
        self._clock = clock
        self._was_delegated = False

    def record_page(self, after: int | None, page: FeedPage) -> None:
        """Records what this host has read, and sends changes to the members.

        Args:
            after: The version after which changes were asked for; None if the
                whole table was read.
            page: The response.
        """
        newest_version = max((row.version for row in page.rows), default=0)
        self._tracker.record_local_read(newest_version, self._clock())
        if after is not None and page.rows:
            changes = RowChanges(
                after=after,
                version=page.version,
                rows=tuple(RelayedRow(*row) for row in page.rows),
            )
            self._post(changes, self._members())

    def apply(self, changes: RowChanges) -> None:
        """Applies changes that another host has read, and forwards them."""
        page = FeedPage(
            [FeedRow(*row) for row in changes.rows], changes.version
        )
        if self._follower().offer(changes.after, page):
            self._post(changes, self._members())

    def progress(self) -> ReadProgress | None:
        """Returns what to report to other hosts; None if no host has read."""
        return self._tracker.progress(self._clock())

    def view_age_s(self) -> float:
        """Returns how long ago this host had all changes; infinite if never."""
        return self._tracker.view_age_s(self._clock())

    def record_peer_read(self, progress: ReadProgress) -> None:
        """Records how current another host's table is."""
        version = self._follower().version
        if era_of(progress.newest_version) < era_of(version):
            # Changes that follow a version of an earlier era, or of none, are
            # not applied here, so this host must not wait for them.
            return
        self._tracker.record_peer_read(progress, version, self._clock())

    def is_delegated(self, local_version: int) -> bool:
        """Returns whether this host leaves the reading to its aggregator.

        Args:
            local_version: The version of the table that this host knows.
        """
        is_delegated = not self._is_reader() and self._tracker.is_up_to_date(
            local_version, self._clock()
        )
        if is_delegated != self._was_delegated:
            progress = self.progress()
            logger.info(
                "upstreams' rows come from {}",
                "the aggregator" if is_delegated else "the store",
                version=local_version,
                newest=progress.newest_version if progress else 0,
                age_ms=round(progress.age_s * 1000) if progress else None,
            )
        self._was_delegated = is_delegated
        return is_delegated
