"""Adaptive limits of requests in flight per upstream."""

import random

from acaciaspoke.entry.rank_queue import Urgency
from acaciaspoke.entry.routing import UpstreamStatus
from acaciaspoke.ids import UpstreamId

# Multiplicative decrease of a window after a refusal. Several entry processes
# are refused at the same time, so halving would leave slots idle.
DECREASE_FACTOR = 0.7

# Share of the slots reserved for each more urgent level with arrivals in the
# last LEVEL_ACTIVE_S. A flooding kind leaves at least one such share to the
# other kinds of its rank. Engines do not preempt: work that fills all slots
# delays urgent work until it finishes.
RESERVED_SHARE_PER_LEVEL = 0.125
LEVEL_ACTIVE_S = 60.0
MAX_RESERVED_SHARE = 0.5

# Reports arrive every second. An older one no longer describes the load.
STALE_REPORT_S = 10.0

# The most urgent work may exceed the window by this many requests or by this
# share of the window, whichever is larger. The excess waits inside the engine,
# ahead of what other entry processes send. Flooding kinds may not exceed the
# window, as other kinds would wait behind them there.
URGENT_EXTRA_REQUESTS = 2
URGENT_EXTRA_WINDOW_SHARE = 0.5


class ConcurrencyLimits:
    """A window of requests in flight per upstream, adapted by feedback.

    A window starts at an equal share of the slots among the live entry
    processes. While reports show idle slots, it grows up to the number of
    slots, which borrows slots that other entry processes leave idle. It
    shrinks towards the equal share when reports show waiting requests, and
    below it on refusals.

    Args:
        entry_processes: Number of live entry processes that share the
            upstreams.
        rng: Rounds windows randomly, so that the windows of all entry
            processes add up to about the number of slots.
    """

    def __init__(self, entry_processes: int, rng: random.Random):
        self._entry_processes = max(1, entry_processes)
        self._rng = rng
        self._windows: dict[UpstreamId, _Window] = {}
        self._last_arrival_s: dict[int, float] = {}

    def set_entry_processes(self, entry_processes: int) -> None:
        """Sets the number of live entry processes that share the slots."""
        self._entry_processes = max(1, entry_processes)

    def limit(self, status: UpstreamStatus) -> int:
        """Returns the limit of this process's requests on an upstream."""
        window = self._window(status)
        return max(1, int(window.size + window.rounding))

    def record_arrival(self, level: int, now_s: float) -> None:
        """Records an arrival, for which less urgent levels reserve slots."""
        self._last_arrival_s[level] = now_s

    def has_capacity(
        self, status: UpstreamStatus, urgency: Urgency, now_s: float
    ) -> bool:
        """Returns whether a request may be sent to an upstream.

        Args:
            status: The upstream.
            urgency: The dispatch priority of the request.
            now_s: The time.
        """
        in_flight = len(status.in_flight)
        window = self._window(status)
        limit = self.limit(status)
        levels = sum(
            1
            for other, arrival_s in self._last_arrival_s.items()
            if other < urgency.level and now_s - arrival_s < LEVEL_ACTIVE_S
        )
        reserving_levels = max(levels, int(urgency.flooding))
        if not reserving_levels:
            share = int(URGENT_EXTRA_WINDOW_SHARE * window.size)
            return in_flight < limit + max(URGENT_EXTRA_REQUESTS, share)
        reserved_share = min(
            MAX_RESERVED_SHARE, RESERVED_SHARE_PER_LEVEL * reserving_levels
        )
        if now_s - status.report_s > STALE_REPORT_S:
            return in_flight < limit - int(reserved_share * limit)
        usable = status.config.slots - int(reserved_share * status.config.slots)
        load = status.load + 1.0
        if urgency.flooding:
            # The other entry processes see the same free slots and have the
            # same backlog, so this process's net additions since the report
            # are counted once for each entry process.
            added = status.flooding_since_report + 1 - window.rounding
            load = status.reported + self._entry_processes * added
        return in_flight < limit and load <= usable

    def record_success(self, status: UpstreamStatus) -> None:
        """Grows a fully used window while the upstream has free slots."""
        window = self._window(status)
        has_idle_slots = status.load < status.config.slots
        if has_idle_slots and len(status.in_flight) + 1 >= int(window.size):
            window.size += 1.0 / max(1.0, window.size)
            window.size = min(window.size, status.config.slots)

    def record_refusal(
        self, status: UpstreamStatus, sent_s: float, now_s: float
    ) -> None:
        """Shrinks the window after an upstream refused a request.

        Refusals of requests sent before the last decrease are ignored, as they
        were sent under the larger window.
        """
        window = self._window(status)
        if sent_s >= window.decreased_s:
            window.size = max(1.0, window.size * DECREASE_FACTOR)
            window.decreased_s = now_s

    def record_report(self, status: UpstreamStatus) -> None:
        """Adapts the window to a new report of the upstream."""
        window = self._window(status)
        window.rounding = self._rng.random()
        share = self._share(status)
        if status.load > status.config.slots:
            # While requests wait at the upstream, each report returns borrowed
            # slots, at most a tenth of the window.
            window.size = max(min(window.size, share), window.size * 0.9)
        elif status.load < status.config.slots:
            idle_slots = status.config.slots - status.load
            # All entry processes see the same idle slots and divide them.
            borrowed = (
                len(status.in_flight) + idle_slots / self._entry_processes
            )
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
