"""Measures how long the requests of a route take.

A host that stops starts only requests that will end before it does. The mean
says little about that, so the longest recent duration is kept as well.
"""

import math
from collections import deque
from typing import NamedTuple

# Weight of a new measurement in the moving average.
SMOOTHING = 0.05

# Durations of this time are compared for the longest one.
WINDOW_S = 60.0

# With fewer measurements the longest duration is unknown.
MIN_MEASUREMENTS = 20


class _Measurement(NamedTuple):
    ended_s: float
    duration_s: float


class Durations:
    """The durations of one kind of request.

    Attributes:
        mean_s: Moving average; None before the first measurement.
        measured_s: When the last measurement was made.
    """

    def __init__(self) -> None:
        self.mean_s: float | None = None
        self.measured_s = -math.inf
        # Each one is longer than all that ended after it.
        self._longest: deque[_Measurement] = deque()
        self._ended_s: deque[float] = deque(maxlen=MIN_MEASUREMENTS)

    def record(self, duration_s: float, now_s: float) -> None:
        """Records a request that has ended now."""
        self.measured_s = now_s
        if self.mean_s is None:
            self.mean_s = duration_s
        self.mean_s += SMOOTHING * (duration_s - self.mean_s)
        while self._longest and self._longest[-1].duration_s <= duration_s:
            self._longest.pop()
        self._longest.append(_Measurement(now_s, duration_s))
        self._ended_s.append(now_s)

    def restart(self) -> None:
        """Begins the mean anew with the next measurement."""
        self.mean_s = None

    def longest_s(self, now_s: float) -> float | None:
        """Returns the longest recent duration; None if it is unknown."""
        oldest_s = now_s - WINDOW_S
        while self._longest and self._longest[0].ended_s < oldest_s:
            self._longest.popleft()
        is_known = (
            len(self._ended_s) == MIN_MEASUREMENTS
            and self._ended_s[0] >= oldest_s
        )
        return self._longest[0].duration_s if is_known else None
