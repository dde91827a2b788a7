"""How many requests this entry process may have in flight per upstream."""

import random

from acaciaspoke.entry.rank_queue import Urgency
from acaciaspoke.entry.routing import UpstreamStatus
from acaciaspoke.ids import UpstreamId

# After a refusal the window shrinks to this part of itself. Several entry
# processes are refused at the same time, so a half would leave slots idle.
DECREASE_FACTOR = 0.7

# Share of the slots that a request leaves free for each more urgent level that
# was in use during the last RESERVE_MEMORY_S, or for the other kinds of its
# rank if its own kind floods. Engines do not preempt, so work that filled all
# slots would hold up urgent work for as long as it runs.
RESERVE_PER_LEVEL = 0.125
RESERVE_MEMORY_S = 60.0
MAX_RESERVE = 0.5

# Reports come every second; one this old says nothing of the load now.
STALE_REPORT_S = 10.0

# Requests above the window, and part of the window, that the most urgent work
# may have waiting inside the engine, where it goes before what other entry
# processes send. Kinds that flood may not, or the others would wait behind
# them there.
URGENT_EXTRA = 2
URGENT_EXTRA_SHARE = 0.5


class ConcurrencyLimits:
    """Windows per upstream: a share of the slots, adapted to refusals.

    A window starts at the share of one of the live entry processes. While
    reports show idle slots, it grows up to all slots, which borrows what other
    entry processes leave idle. It returns towards the share when reports show
    waiting requests, and shrinks below it on refusals.

    Args:
        entry_processes: Live entry processes that share the upstreams.
        rng: Rounds windows so that those of all entry processes add up to
            about the slots.
    """

    def __init__(self, entry_processes: int, rng: random.Random):
        self._entry_processes = max(1, entry_processes)
        self._rng = rng
        self._windows: dict[UpstreamId, _Window] = {}
        self._level_used_s: dict[int, float] = {}

    def set_entry_processes(self, entry_processes: int) -> None:
        """Takes the number of live entry processes that share the slots."""
        self._entry_processes = max(1, entry_processes)

    def limit(self, status: UpstreamStatus) -> int:
        """Returns how many own requests may be in flight on an upstream."""
        window = self._window(status)
        return max(1, int(window.size + window.rounding))

    def note_arrival(self, level: int, now_s: float) -> None:
        """Notes work of a rank's level, which others then leave room for."""
        self._level_used_s[level] = now_s

    def has_room(
        self, status: UpstreamStatus, urgency: Urgency, now_s: float
    ) -> bool:
        """Returns whether a request may be sent to an upstream.

        Args:
            status: The upstream.
            urgency: How the queue offers the request.
            now_s: The time.
        """
        own = len(status.in_flight)
        window = self._window(status)
        limit = self.limit(status)
        levels = sum(
            1
            for other, used_s in self._level_used_s.items()
            if other < urgency.level and now_s - used_s < RESERVE_MEMORY_S
        )
        reserved = max(levels, int(urgency.flooding))
        if not reserved:
            share = int(URGENT_EXTRA_SHARE * window.size)
            return own < limit + max(URGENT_EXTRA, share)
        reserve = min(MAX_RESERVE, RESERVE_PER_LEVEL * reserved)
        if now_s - status.report_s > STALE_REPORT_S:
            return own < limit - int(reserve * limit)
        usable = status.config.slots - int(reserve * status.config.slots)
        load = status.load + 1.0
        if urgency.flooding:
            # The other entry processes see the same room and have the same
            # backlog, so what this one adds or replaces counts for each.
            added = status.net_flood + 1 - window.rounding
            load = status.reported + self._entry_processes * added
        return own < limit and load <= usable

    def succeeded(self, status: UpstreamStatus) -> None:
        """Grows the window after an answer, if it was in use."""
        window = self._window(status)
        idle = status.load < status.config.slots
        if idle and len(status.in_flight) + 1 >= int(window.size):
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
        window.rounding = self._rng.random()
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
            window = _Window(self._share(status), self._rng.random())
            self._windows[status.upstream] = window
        return window


class _Window:
    __slots__ = ("decreased_s", "rounding", "size")

    def __init__(self, size: float, rounding: float):
        self.size = size
        self.rounding = rounding
        self.decreased_s = float("-inf")
