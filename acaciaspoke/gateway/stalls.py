"""Decides when an engine has stopped to generate events.

Three situations look alike from one stream: the engine has stopped, it
prefills other prompts, or this process was suspended and has not yet read the
events that arrived meanwhile. Only the first one is a stall.
"""

# Time without any event of an engine after which its streams are aborted and
# resumed at other engines. Callers leave a stream after 2 s without an event
# (the platform's protocol, "Requests"), and most runs end within 1 to 2 s.
EVENT_TIMEOUT_S = 0.7

# This process was suspended if its regular checks are further apart.
MAX_CHECK_INTERVAL_S = 0.3


class StallDetector:
    """Judges engines by the time during which this process could see events."""

    def __init__(self) -> None:
        self._checked_s: float | None = None
        self._running_since_s = float("-inf")

    def record_check(self, now_s: float) -> None:
        """Records that this process runs; called regularly."""
        if (
            self._checked_s is not None
            and now_s - self._checked_s > MAX_CHECK_INTERVAL_S
        ):
            self._running_since_s = now_s
        self._checked_s = now_s

    def is_stalled(
        self, last_event_s: float, prefill_s: float, now_s: float
    ) -> bool:
        """Returns whether events are overdue.

        Args:
            last_event_s: When the last event was received.
            prefill_s: Time that the prompts at the engine take to prefill.
            now_s: The current time.
        """
        since_s = max(last_event_s, self._running_since_s)
        return now_s - since_s >= EVENT_TIMEOUT_S + prefill_s
