"""Estimates how fast the engines of a service process prompts.

Deployments differ in their engines by factors, and the configuration gives no
prefill rate. It is estimated from the time to the first event of prompts that
an engine had to itself. That time has a part that does not depend on the
prompt, such as the network delay, so the rate is the median slope between
samples (P. K. Sen, "Estimates of the regression coefficient based on Kendall's
tau", 1968), which a minority of delayed or cached prompts does not distort.
"""

import itertools
import math
import statistics
from collections import deque
from typing import NamedTuple

from acaciaspoke.ids import ServiceId

# Assumed rate until samples show another one, and its weight in samples.
DEFAULT_PREFILL_TOKENS_PER_S = 38_000.0
DEFAULT_WEIGHT_SAMPLES = 8

# Estimates beyond these bounds come from samples that measure something else.
MIN_PREFILL_TOKENS_PER_S = 2_000.0
MAX_PREFILL_TOKENS_PER_S = 400_000.0

# An estimate uses this many samples at most, and none that is older: engines
# may be replaced by others.
MAX_SAMPLES = 32
SAMPLE_RETENTION_S = 60.0

# Prompts must differ by this much for their slope to exceed the variation of
# the other delays.
MIN_DIFFERENCE_TOKENS = 200


class _Sample(NamedTuple):
    tokens: int
    delay_s: float
    measured_s: float


class EngineSpeed:
    """The measured speed of engines, by service."""

    def __init__(self) -> None:
        self._samples: dict[ServiceId, deque[_Sample]] = {}
        self._estimates: dict[ServiceId, float] = {}

    def record_prefill(
        self, service: ServiceId, tokens: int, delay_s: float, now_s: float
    ) -> None:
        """Records the time to the first event of a prompt.

        Args:
            service: The service of the engine.
            tokens: The size of the prompt.
            delay_s: The time from sending it until its first event.
            now_s: The current time.
        """
        samples = self._samples.setdefault(service, deque(maxlen=MAX_SAMPLES))
        while samples and now_s - samples[0].measured_s > SAMPLE_RETENTION_S:
            samples.popleft()
        samples.append(_Sample(tokens, delay_s, now_s))
        self._estimates[service] = _estimate(samples)

    def prefill_tokens_per_s(self, service: ServiceId | None) -> float:
        """Returns the prefill rate of a service's engines."""
        return self._estimates.get(service, DEFAULT_PREFILL_TOKENS_PER_S)


def _estimate(samples: deque[_Sample]) -> float:
    """Returns the rate, averaged with the default one by their weights."""
    slopes = [
        (other.delay_s - sample.delay_s) / (other.tokens - sample.tokens)
        for sample, other in itertools.combinations(samples, 2)
        if abs(other.tokens - sample.tokens) >= MIN_DIFFERENCE_TOKENS
    ]
    if not slopes:
        return DEFAULT_PREFILL_TOKENS_PER_S
    s_per_token = statistics.median(slopes)
    measured = min(
        MAX_PREFILL_TOKENS_PER_S,
        max(
            MIN_PREFILL_TOKENS_PER_S,
            1 / s_per_token if s_per_token > 0 else math.inf,
        ),
    )
    weight = len(samples) / (len(samples) + DEFAULT_WEIGHT_SAMPLES)
    return (
        DEFAULT_PREFILL_TOKENS_PER_S
        * (measured / DEFAULT_PREFILL_TOKENS_PER_S) ** weight
    )
