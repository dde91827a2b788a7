"""How many requests this entry process may have in flight per upstream."""

import math

from acaciaspoke.entry.routing import UpstreamStatus
from acaciaspoke.ids import UpstreamId

# After a refusal the window shrinks to this part of itself. Several entry
# processes are refused at the same time, so a half would leave slots idle.
DECREASE_FACTOR = 0.7

# Share of the slots that a request leaves free per level that is more urgent,
# and the most that it leaves.
RESERVE_PER_LEVEL = 0.0
MAX_RESERVE = 0.25


class ConcurrencyLimits:
    """Windows per upstream: a share of the slots, adapted to refusals.

    A window starts at the share of one of the live entry processes. It grows
    by one per window of successes, up to all slots, while reports show idle
    slots, which borrows what other entry processes leave idle. It returns
    towards the share when reports show waiting requests, and shrinks below it
    on refusals.
    """

    def __init__(self, entry_processes: int = 1):
        self._entry_processes = max(1, entry_processes)
        self._windows: dict[UpstreamId, _Window] = {}

    def set_entry_processes(self, entry_processes: int) -> None:
        """Takes the number of live entry processes that share the slots."""
        self._entry_processes = max(1, entry_processes)

    def limit(self, status: UpstreamStatus) -> int:
        """Returns how many own requests may be in flight on an upstream."""
        window = self._window(status)
        # Rounded up: with more entry processes than slots, each may still use
        # every upstream, and the engine queues or refuses what is too much.
        return max(1, math.ceil(window.size - 1e-9))

    def has_room(self, status: UpstreamStatus, level: int = 0) -> bool:
        """Returns whether a request of a rank's level may be sent there.

        Args:
            status: The upstream.
            level: The level of the request's rank; 0 is the most urgent.
        """
        own = len(status.in_flight)
        if own >= self.limit(status):
            return False
        reserve = min(MAX_RESERVE, RESERVE_PER_LEVEL * level)
        if not reserve:
            return True
        usable = status.config.slots * (1.0 - reserve)
        return own == 0 or status.load + 1 <= usable

    def succeeded(self, status: UpstreamStatus) -> None:
        """Grows the window after an answer, if it was in use."""
        window = self._window(status)
        idle = status.load < status.config.slots
        if idle and len(status.in_flight) + 1 >= math.floor(window.size):
            window.size += 1.0 / max(1.0, window.size)
            window.size = min(window.size, status.config.slots)

    def refused(
        self, status: UpstreamStatus, sent_s: float, now_s: float
    ) -> None:
        """Shrinks the window after an upstream refused a request.

        Only requests sent after the last decrease count, as those before it
        were sent under the old window.
        """
        window = self._window(status)
        if sent_s >= window.decreased_s:
            window.size = max(1.0, window.size * DECREASE_FACTOR)
            window.decreased_s = now_s

    def reported(self, status: UpstreamStatus) -> None:
        """Moves the window after a new report of the upstream."""
        window = self._window(status)
        share = self._share(status)
        if status.load > status.config.slots:
            # What was borrowed goes back while others wait for it.
            window.size = max(min(window.size, share), window.size * 0.9)
        elif status.load < status.config.slots:
            idle = status.config.slots - status.load
            # Each entry process sees the same idle slots.
            borrowed = len(status.in_flight) + idle / self._entry_processes
            window.size = max(window.size, min(share, window.size + 1.0))
            window.size = max(window.size, borrowed)
        window.size = min(window.size, float(max(1, status.config.slots)))

    def _share(self, status: UpstreamStatus) -> float:
        return max(1.0, status.config.slots / self._entry_processes)

    def _window(self, status: UpstreamStatus) -> "_Window":
        window = self._windows.get(status.upstream)
        if window is None:
            window = _Window(self._share(status))
            self._windows[status.upstream] = window
        return window


class _Window:
    __slots__ = ("decreased_s", "size")

    def __init__(self, size: float):
        self.size = size
        self.decreased_s = float("-inf")
