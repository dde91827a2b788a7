"""Decides when a leader sends placement notices, and what they repeat."""

from collections.abc import Callable

NOTICE_INTERVAL_S = 0.2

# Minimum interval of notices of changes in a large deployment, as each notice
# goes to all hosts.
LARGE_DEPLOYMENT_NOTICE_INTERVAL_S = 0.04

# A loaded artifact is repeated in notices for this time; then the engine's own
# record shows it.
NOTICE_REPEAT_S = 1.5


class NoticeSchedule:
    """The times of the last notice and of the next one.

    Attributes:
        has_changes: Whether there are changes that no notice has.
    """

    def __init__(self, repeats_changes: Callable[[], bool]):
        """Creates a schedule whose first notice is due at once.

        Args:
            repeats_changes: Returns whether the hosts are so few that each
                notice can repeat recent changes.
        """
        self.has_changes = False
        self._repeats_changes = repeats_changes
        self._due_s = 0.0
        self._last_s = 0.0

    def record_change(self) -> None:
        """Records a change that the next notice has."""
        self.has_changes = True

    def next_since_s(self, now_s: float) -> float | None:
        """Returns since when changes go into a notice; None if none is due.

        The notice counts as sent.
        """
        is_due = now_s >= self._due_s
        if not is_due and not self._may_send_changes(now_s):
            return None
        # Notices may be lost, so recent changes are repeated.
        since_s = now_s - NOTICE_REPEAT_S
        if not is_due and not self._repeats_changes():
            since_s = self._last_s - NOTICE_INTERVAL_S
        else:
            self._due_s = now_s + NOTICE_INTERVAL_S
        self._last_s, self.has_changes = now_s, False
        return since_s

    def _may_send_changes(self, now_s: float) -> bool:
        if not self.has_changes or self._repeats_changes():
            return self.has_changes
        return now_s >= self._last_s + LARGE_DEPLOYMENT_NOTICE_INTERVAL_S
