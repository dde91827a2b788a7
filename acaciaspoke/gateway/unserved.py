"""Measures for how long models have been asked for without being served."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from acaciaspoke.ids import ModelId

# Longest time between two updates that counts; demand was not known meanwhile.
MAX_INTERVAL_S = 1.0

# The time of a model is kept for this time after a request last waited for it.
RETENTION_S = 120.0


class _UnservedTime(NamedTuple):
    unserved_s: float
    last_waiting_s: float


class UnservedTimes:
    """The time that requests for each model have waited since one has run.

    Unlike the wait of the oldest request, it does not start anew when that
    request is refused.
    """

    def __init__(self) -> None:
        self._times: dict[ModelId, _UnservedTime] = {}
        self._updated_s: float | None = None

    def update(
        self,
        oldest_s: Mapping[ModelId, float],
        running: Iterable[ModelId],
        now_s: float,
    ) -> None:
        """Updates the times.

        Args:
            oldest_s: For how long the oldest request for each model has
                waited; only of models for which requests wait.
            running: The models of running requests.
            now_s: The current time.
        """
        elapsed_s = now_s - (
            now_s if self._updated_s is None else self._updated_s
        )
        self._updated_s = now_s
        served = set(running)
        for model in oldest_s.keys() - served:
            time_s = self.of(model) + min(elapsed_s, MAX_INTERVAL_S)
            self._times[model] = _UnservedTime(
                max(time_s, oldest_s[model]), now_s
            )
        self._times = {
            model: time
            for model, time in self._times.items()
            if model not in served
            and now_s - time.last_waiting_s <= RETENTION_S
        }

    def clear(self) -> None:
        """Forgets all times, as demand was not followed meanwhile."""
        self._times.clear()
        self._updated_s = None

    def adopt(self, times_s: Mapping[ModelId, float], now_s: float) -> None:
        """Adds times that were measured elsewhere up to now."""
        for model, time_s in times_s.items():
            self._times[model] = _UnservedTime(time_s, now_s)

    def all(self) -> Mapping[ModelId, float]:
        """Returns the times of all models that have any."""
        return {model: time.unserved_s for model, time in self._times.items()}

    def of(self, model: ModelId) -> float:
        """Returns the time of a model; 0 if requests for it run."""
        time = self._times.get(model)
        return 0.0 if time is None else time.unserved_s
