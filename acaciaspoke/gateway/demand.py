"""Demand for artifacts, summed over the hosts, with rates that fade."""

import math
from collections import Counter
from typing import NamedTuple

from acaciaspoke.gateway.messages import (
    ArtifactDemand,
    DemandDigest,
    is_overtaken,
)
from acaciaspoke.gateway.types import Artifact
from acaciaspoke.ids import BootId, HostId, ServiceId, UpstreamId

# Time over which a rate fades to a third. Demand moves between models within
# a few seconds, and a load takes about one.
RATE_FADE_S = 3.0

# Below it a model counts as silent; what comes then is a new rate.
SILENT_RATE_PER_S = 0.1

# A rate is not extrapolated from less than this, as one request is no trend.
MIN_RATE_AGE_S = 1.0

# Rank of an artifact that nobody has asked for.
LEAST_URGENT = 9

# What a host said counts for so long.
DIGEST_MAX_AGE_S = 1.0


class Want(ArtifactDemand, frozen=True, array_like=True):
    """Demand of all hosts; the fields of one host's, and the rates.

    Attributes:
        rate_per_s: Requests a second.
        tokens_per_s: Tokens of their prompts a second.
        last_s: When the last request came.
    """

    rate_per_s: float = 0.0
    tokens_per_s: float = 0.0
    last_s: float = 0.0


class _Rate:
    """A rate that fades, fed with counts."""

    def __init__(self, now_s: float):
        self._value = 0.0
        self._since_s = now_s
        self._updated_s = now_s

    def add(self, count: int, now_s: float) -> None:
        """Counts what came up to now."""
        faded = self._faded(now_s)
        if count and faded < SILENT_RATE_PER_S:
            self._since_s = now_s
        self._value = faded + count / RATE_FADE_S
        self._updated_s = now_s

    def at(self, now_s: float) -> float:
        """Returns the rate.

        While it has been observed for less than the time over which it fades,
        what has not been observed yet is assumed to be the same.
        """
        age_s = max(MIN_RATE_AGE_S, now_s - self._since_s)
        return self._faded(now_s) / -math.expm1(-age_s / RATE_FADE_S)

    def _faded(self, now_s: float) -> float:
        age_s = now_s - self._updated_s
        return self._value * math.exp(-age_s / RATE_FADE_S)


class _Trend:
    """The demand for one artifact."""

    def __init__(self, service: ServiceId, now_s: float):
        self.service = service
        self.last_s = now_s
        # Of the most urgent request so far, as hosts told.
        self.priority = LEAST_URGENT
        self.requests = _Rate(now_s)
        self.tokens = _Rate(now_s)

    def add(self, arrivals: int, tokens: int, now_s: float) -> None:
        """Counts requests that came up to now."""
        self.requests.add(arrivals, now_s)
        self.tokens.add(tokens, now_s)
        if arrivals:
            self.last_s = now_s


class Counted(NamedTuple):
    """What a host had counted of an artifact when it was last heard."""

    arrivals: int
    prompt_tokens: int


def _first_counted(item: ArtifactDemand) -> Counted:
    # Of a host that is heard for the first time only what waits is new for
    # sure.
    new = max(1, item.waiting)
    share = new / max(1, item.arrivals)
    return Counted(item.arrivals - new, round(item.prompt_tokens * (1 - share)))


class DemandBoard:
    """What all hosts want, as the host that gives orders knows it."""

    def __init__(self) -> None:
        self._digests: dict[HostId, tuple[DemandDigest, float]] = {}
        # Arrivals and prompt tokens that were counted.
        self._counted: dict[tuple[HostId, BootId, Artifact], Counted] = {}
        self._trends: dict[Artifact, _Trend] = {}

    def take(self, digest: DemandDigest, now_s: float) -> None:
        """Takes in a digest."""
        known = self._digests.get(digest.host)
        if known and is_overtaken(digest, known[0]):
            return
        self._digests[digest.host] = (digest, now_s)
        for item in digest.demand:
            key = (digest.host, digest.boot, item.artifact)
            now = Counted(item.arrivals, item.prompt_tokens)
            before = self._counted.get(key) or _first_counted(item)
            self._counted[key] = now
            trend = self._trends.get(item.artifact)
            if trend is None:
                trend = _Trend(item.service, now_s)
                self._trends[item.artifact] = trend
            trend.priority = min(trend.priority, item.priority)
            trend.add(
                max(0, now.arrivals - before.arrivals),
                max(0, now.prompt_tokens - before.prompt_tokens),
                now_s,
            )

    def wants(self, now_s: float) -> dict[Artifact, Want]:
        """Returns the demand for each artifact."""
        waiting: Counter[Artifact] = Counter()
        oldest: dict[Artifact, float] = {}
        for digest in self._fresh(now_s):
            for item in digest.demand:
                if item.waiting:
                    name = item.artifact
                    waiting[name] += item.waiting
                    oldest[name] = max(oldest.get(name, 0.0), item.oldest_s)
        return {
            artifact: Want(
                service=trend.service,
                artifact=artifact,
                arrivals=0,
                waiting=waiting[artifact],
                priority=trend.priority,
                oldest_s=oldest.get(artifact, 0.0),
                rate_per_s=trend.requests.at(now_s),
                tokens_per_s=trend.tokens.at(now_s),
                last_s=trend.last_s,
            )
            for artifact, trend in self._trends.items()
        }

    def running(self, now_s: float) -> dict[UpstreamId, Counter[Artifact]]:
        """Returns the requests at each engine, by artifact."""
        running: dict[UpstreamId, Counter[Artifact]] = {}
        for digest in self._fresh(now_s):
            for upstream, counts in digest.running.items():
                running.setdefault(upstream, Counter()).update(dict(counts))
        return running

    def _fresh(self, now_s: float) -> list[DemandDigest]:
        return [
            digest
            for digest, received_s in self._digests.values()
            if now_s - received_s <= DIGEST_MAX_AGE_S
        ]
