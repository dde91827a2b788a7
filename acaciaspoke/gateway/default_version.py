"""The default version of a service, and how far a host may rely on it.

Any host may replace a default version that has had no upstreams for long. So a
host relies on a row that it has read lately, and not on upstreams that have the
version: they may have come back after the version was replaced.
"""

import math

import msgspec

from acaciaspoke.ids import SoftwareVersion

# The known upstreams tell which versions a service has if they were read this
# recently.
MAX_VIEW_AGE_S = 5.0

# The row of a service is read again after this share of the longest life of a
# stream. Without a read for half of it, the row is not relied on.
READ_INTERVAL_LIVES = 1 / 3


class DefaultVersion(msgspec.Struct, frozen=True, kw_only=True):
    """The version of a service whose streams have no records.

    Attributes:
        epoch: Increased with each other version.
        era: The era of the store up to which no record has been lost.
    """

    version: SoftwareVersion
    epoch: int
    era: int


class ServiceDefault:
    """What this host knows of the default version of one service.

    Attributes:
        default: Its default version; None if there is none or it is not known.
        revision: Revision of the row; 0 if there is none.
        is_read: Whether the row has been read and can be relied on.
        is_due: Whether the row should be read again.
        read_s: When the last read of the row began.
        is_lost: Whether the store has lost the row or has an older one.
        absent_since_s: Since when no upstream has had the default version.
        seen_s: When an upstream of the default version was seen last.
        seen_since_s: Since when such upstreams have been seen without a pause
            of half of the longest life of a stream; infinite if they are not.
        others_seen_s: When upstreams of other versions were seen last.
    """

    def __init__(self) -> None:
        self.default: DefaultVersion | None = None
        self.revision = 0
        self.is_read = False
        self.is_due = False
        self.read_s = -math.inf
        self.is_lost = False
        self.absent_since_s: float | None = None
        self.seen_s = -math.inf
        self.seen_since_s = math.inf
        self.others_seen_s = -math.inf

    @property
    def is_settled(self) -> bool:
        """Whether no other host can replace the default version unnoticed.

        A host whose view is old may replace a version that has just come back.
        It no longer does so once its view must have the returned upstreams.
        """
        return self.read_s - self.seen_since_s >= MAX_VIEW_AGE_S

    def absence_s(self, now_s: float) -> float:
        """Returns for how long no upstream has had the default version."""
        if self.absent_since_s is None:
            return 0.0
        return now_s - self.absent_since_s

    def record_view(
        self, is_present: bool, is_current: bool, now_s: float, life_s: float
    ) -> None:
        """Records whether upstreams have the default version.

        Args:
            is_present: Whether one has it in this host's view.
            is_current: Whether the view is recent.
            now_s: The current time.
            life_s: The longest life of a stream.
        """
        if is_present or not is_current:
            self.absent_since_s = None
        elif self.absent_since_s is None:
            self.absent_since_s = now_s
        if now_s - self.seen_s > life_s / 2:
            self.seen_since_s = math.inf
        if not (is_present and is_current):
            return
        if self.seen_since_s == math.inf:
            self.seen_since_s = now_s
            self.is_due = True
        self.seen_s = now_s
        settles_s = self.seen_since_s + MAX_VIEW_AGE_S
        if self.read_s < settles_s <= now_s:
            self.is_due = True

    def expire(self, now_s: float, life_s: float) -> bool:
        """Has the row read again if it was not read for long.

        Args:
            now_s: The current time.
            life_s: The longest life of a stream.

        Returns:
            Whether the row cannot be relied on for this reason.
        """
        age_s = now_s - self.read_s
        if age_s >= life_s * READ_INTERVAL_LIVES:
            self.is_due = True
        if age_s < life_s / 2:
            return False
        self.is_read = False
        return True

    def apply_row(
        self, default: DefaultVersion | None, revision: int, asked_s: float
    ) -> None:
        """Applies the row, as it was read or written.

        Args:
            default: The default version; None if there is no row.
            revision: Revision of the row; 0 if there is none.
            asked_s: When the read or write began.
        """
        if asked_s < self.read_s and revision <= self.revision:
            return  # A later read has been applied.
        known = self.default
        self.revision, self.is_read, self.is_due = revision, True, False
        self.read_s = max(self.read_s, asked_s)
        self.is_lost = known is not None and (
            default is None or default.epoch < known.epoch
        )
        if self.is_lost:
            return
        if known is None or default is None or default.version != known.version:
            self._forget_view()
        self.default = default

    def _forget_view(self) -> None:
        self.absent_since_s = None
        self.seen_s = -math.inf
        self.seen_since_s = math.inf
