"""Detects engines that generate events far more slowly than others.

An engine may run at a fraction of its speed while its health check passes. The
interval between events is compared with that of other engines that run the same
model, as models differ.
"""

from typing import NamedTuple

from acaciaspoke.ids import ModelId, UpstreamId

# Weight of a new measurement in the moving average.
SMOOTHING = 0.1

# Events that a mean needs before it is used.
MIN_EVENTS = 8

# An engine is slow if its events take this many times as long as at the fastest
# engine. Prefill of other prompts meanwhile at most doubles the interval.
SLOW_FACTOR = 2.5

# A slow engine gets requests again after this time without events.
SLOW_RETENTION_S = 2.0

# Means of other engines are a reference for this time after their last event.
REFERENCE_RETENTION_S = 20.0

# Events that came while reading paused for this time, for a record of their
# stream or for its caller, are read late and all at once.
MAX_READ_PAUSE_S = 0.05

# A wait that shows that no event was left to read.
MIN_READ_WAIT_S = 0.001

UNKNOWN_S = float("-inf")


def arrival_s(
    last_arrival_s: float | None, reading_since_s: float, now_s: float
) -> float:
    """Returns when an event of a stream that was just read arrived.

    Args:
        last_arrival_s: When the event before it arrived, ``UNKNOWN_S`` if that
            is not known, None for the first one.
        reading_since_s: Since when this host waits for the event.
        now_s: The time.

    Returns:
        ``now_s``, or ``UNKNOWN_S`` if it may have arrived while reading paused.
    """
    if (
        last_arrival_s is None
        or now_s - reading_since_s >= MIN_READ_WAIT_S
        or reading_since_s - last_arrival_s < MAX_READ_PAUSE_S
    ):
        return now_s
    return UNKNOWN_S


class _MeanInterval(NamedTuple):
    mean_s: float
    events: int
    updated_s: float


class EventIntervals:
    """Tracks mean intervals between events, by engine and model."""

    def __init__(self) -> None:
        self._means: dict[tuple[UpstreamId, ModelId], _MeanInterval] = {}

    def record(
        self, upstream: UpstreamId, model: ModelId, gap_s: float, now_s: float
    ) -> None:
        """Records the interval between two events of a stream."""
        key = (upstream, model)
        known = self._means.get(key)
        if known is None or now_s - known.updated_s > SLOW_RETENTION_S:
            known = _MeanInterval(gap_s, 0, now_s)
        mean_s = known.mean_s + SMOOTHING * (gap_s - known.mean_s)
        self._means[key] = _MeanInterval(mean_s, known.events + 1, now_s)

    def slow(self, now_s: float) -> set[UpstreamId]:
        """Returns the slow engines; removes old measurements."""
        self._means = {
            key: mean
            for key, mean in self._means.items()
            if now_s - mean.updated_s <= REFERENCE_RETENTION_S
        }
        best_s: dict[ModelId, float] = {}
        for (_, model), mean in self._means.items():
            if mean.events >= MIN_EVENTS:
                best_s[model] = min(mean.mean_s, best_s.get(model, mean.mean_s))
        return {
            upstream
            for (upstream, model), mean in self._means.items()
            if mean.events >= MIN_EVENTS
            and now_s - mean.updated_s <= SLOW_RETENTION_S
            and mean.mean_s > SLOW_FACTOR * best_s[model]
        }
