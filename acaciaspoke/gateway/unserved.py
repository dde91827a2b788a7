"""Measures for how long models have been asked for without being served."""

from collections import Counter
from collections.abc import Iterable, Mapping

from acaciaspoke.ids import ModelId

# Longest time between two updates that counts; demand was not known meanwhile.
MAX_INTERVAL_S = 1.0


class UnservedTimes:
    """The time that requests for each model have waited since one has run.

    Unlike the wait of the oldest request, it does not start anew when that
    request is refused.
    """

    def __init__(self) -> None:
        self._unserved_s: Counter[ModelId] = Counter()
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
        for model in served:
            self._unserved_s.pop(model, None)
        for model in oldest_s.keys() - served:
            self._unserved_s[model] = max(
                self._unserved_s[model] + min(elapsed_s, MAX_INTERVAL_S),
                oldest_s[model],
            )

    def clear(self) -> None:
        """Forgets all times, as demand was not followed meanwhile."""
        self._unserved_s.clear()
        self._updated_s = None

    def adopt(self, times_s: Mapping[ModelId, float]) -> None:
        """Adds times that were measured elsewhere up to now."""
        self._unserved_s |= Counter(times_s)

    def all(self) -> Mapping[ModelId, float]:
        """Returns the times of all models that have any."""
        return dict(self._unserved_s)

    def of(self, model: ModelId) -> float:
        """Returns the time of a model; 0 if requests for it run."""
        return self._unserved_s[model]
