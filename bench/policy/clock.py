"""A virtual clock that runs scheduled callbacks."""

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Runs callbacks in order of virtual time."""

    def __init__(self):
        self.now_s = 0.0
        self._events: list[tuple] = []
        self._sequence = itertools.count()

    def after(self, delay_s: float, call: Callable, *args) -> None:
        """Runs ``call(*args)`` after a delay."""
        self.at(self.now_s + delay_s, call, *args)

    def at(self, time_s: float, call: Callable, *args) -> None:
        """Runs ``call(*args)`` at a virtual time."""
        event = (time_s, next(self._sequence), call, args)
        heapq.heappush(self._events, event)

    def every(self, period_s: float, call: Callable, *args) -> None:
        """Runs ``call(*args)`` once per period, first after one period."""

        def run_and_reschedule():
            call(*args)
            self.after(period_s, run_and_reschedule)

        self.after(period_s, run_and_reschedule)

    def run(self, until_s: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now_s = until_s
