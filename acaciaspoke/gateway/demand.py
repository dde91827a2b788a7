"""Demand for artifacts, summed over the hosts, with decaying rates."""

import math
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from acaciaspoke.gateway.message_base import is_superseded
from acaciaspoke.gateway.messages import (
    ArtifactDemand,
    DemandDigest,
    VersionDemand,
)
from acaciaspoke.gateway.types import Artifact
from acaciaspoke.gateway.unserved import UnservedTimes
from acaciaspoke.gateway.version_demand import sum_version_demand
from acaciaspoke.ids import (
    BootId,
    HostId,
    ModelId,
    ServiceId,
    UpstreamId,
)

# Time constant of the exponential decay of a rate. Demand moves between models
# within a few seconds, and a load takes about one.
RATE_DECAY_S = 3.0

# Below this rate a model counts as idle; new requests then start a new rate.
IDLE_RATE_PER_S = 0.1

# A rate is not extrapolated from a shorter time, as one request is no trend.
MIN_RATE_AGE_S = 1.0

# Priority of an artifact without requests.
LEAST_URGENT = 9

# Older digests of a host are ignored.
DIGEST_MAX_AGE_S = 1.0

# A host, or an artifact, that no digest has named for this time is forgotten.
# Hosts name an artifact as long after its last request.
DEMAND_RETENTION_S = 120.0

# Interval of looking for what is to be forgotten.
FORGET_INTERVAL_S = 1.0


class TotalDemand(ArtifactDemand, frozen=True, array_like=True):
    """Demand of all hosts for an artifact: the fields of one host, and rates.

    Attributes:
        rate_per_s: Requests a second.
        tokens_per_s: Prompt tokens of these requests a second.
        last_s: When the last request arrived.
        unserved_s: For how long requests for its model have waited since one
            has run.
    """

    rate_per_s: float = 0.0
    tokens_per_s: float = 0.0
    last_s: float = 0.0
    unserved_s: float = 0.0


class _Rate:
    """An exponentially decaying rate of counts."""

    def __init__(self, now_s: float):
        self._value = 0.0
        self._since_s = now_s
        self._updated_s = now_s

    def add(self, count: int, now_s: float) -> None:
        """Adds the count of arrivals up to now."""
        decayed = self._decayed(now_s)
        if count and decayed < IDLE_RATE_PER_S:
            self._since_s = now_s
        self._value = decayed + count / RATE_DECAY_S
        self._updated_s = now_s

    def at(self, now_s: float) -> float:
        """Returns the rate.

        While it has been observed for less than its time constant, the time
        before that is assumed to have had the same rate.
        """
        age_s = max(MIN_RATE_AGE_S, now_s - self._since_s)
        return self._decayed(now_s) / -math.expm1(-age_s / RATE_DECAY_S)

    def _decayed(self, now_s: float) -> float:
        age_s = now_s - self._updated_s
        return self._value * math.exp(-age_s / RATE_DECAY_S)


class _ArtifactRates:
    """The demand for one artifact."""

    def __init__(self, service: ServiceId, now_s: float):
        self.service = service
        self.last_s = now_s
        self.named_s = now_s
        # Of the most urgent request that hosts have reported.
        self.priority = LEAST_URGENT
        self.requests = _Rate(now_s)
        self.tokens = _Rate(now_s)

    def add(self, arrivals: int, tokens: int, now_s: float) -> None:
        """Adds requests that arrived up to now."""
        self.named_s = now_s
        self.requests.add(arrivals, now_s)
        self.tokens.add(tokens, now_s)
        if arrivals:
            self.last_s = now_s


class _ReportedCounts(NamedTuple):
    """A host's counts for an artifact in its last digest."""

    arrivals: int
    prompt_tokens: int
    received_s: float


def _baseline(item: ArtifactDemand, now_s: float) -> _ReportedCounts:
    # In the first digest of a host, only the waiting requests are known to be
    # new.
    new = max(1, item.waiting)
    share = new / max(1, item.arrivals)
    return _ReportedCounts(
        item.arrivals - new, round(item.prompt_tokens * (1 - share)), now_s
    )


def _counts_before(
    item: ArtifactDemand, known: _ReportedCounts | None, now_s: float
) -> _ReportedCounts:
    """Returns the counts above which requests count as new."""
    baseline = _baseline(item, now_s)
    if known is None:
        return baseline
    if now_s - known.received_s <= RATE_DECAY_S:
        return known
    # This host was not the leader meanwhile; most of the requests are old.
    return _ReportedCounts(
        max(known.arrivals, baseline.arrivals),
        max(known.prompt_tokens, baseline.prompt_tokens),
        now_s,
    )


class DemandTracker:
    """Sums the demand of all hosts for the leader."""

    def __init__(self) -> None:
        self._digests: dict[HostId, tuple[DemandDigest, float]] = {}
        # Arrivals and prompt tokens of the last digest of each host's boot.
        self._last_counts: dict[
            tuple[HostId, BootId, Artifact], _ReportedCounts
        ] = {}
        self._rates: dict[Artifact, _ArtifactRates] = {}
        self._first_s: float | None = None
        self._unserved = UnservedTimes()
        self._forget_due_s = float("-inf")

    def observed_s(self, now_s: float) -> float:
        """Returns for how long demand has been reported."""
        return 0.0 if self._first_s is None else now_s - self._first_s

    def apply(self, digest: DemandDigest, now_s: float) -> None:
        """Applies a host's digest."""
        known = self._digests.get(digest.host)
        if known and is_superseded(digest, known[0]):
            return
        self._forget_old(now_s)
        self._digests[digest.host] = (digest, now_s)
        if digest.demand and self._first_s is None:
            self._first_s = now_s
        for item in digest.demand:
            key = (digest.host, digest.boot, item.artifact)
            latest = _ReportedCounts(item.arrivals, item.prompt_tokens, now_s)
            previous = _counts_before(item, self._last_counts.get(key), now_s)
            self._last_counts[key] = latest
            rates = self._rates.get(item.artifact)
            if rates is None:
                rates = _ArtifactRates(item.service, now_s)
                self._rates[item.artifact] = rates
            rates.priority = min(rates.priority, item.priority)
            rates.add(
                max(0, latest.arrivals - previous.arrivals),
                max(0, latest.prompt_tokens - previous.prompt_tokens),
                now_s,
            )

    def _forget_old(self, now_s: float) -> None:
        if now_s < self._forget_due_s:
            return
        self._forget_due_s = now_s + FORGET_INTERVAL_S
        oldest_s = now_s - DEMAND_RETENTION_S
        self._digests = {
            host: entry
            for host, entry in self._digests.items()
            if entry[1] >= oldest_s
        }
        self._last_counts = {
            key: counts
            for key, counts in self._last_counts.items()
            if counts.received_s >= oldest_s
        }
        self._rates = {
            artifact: rates
            for artifact, rates in self._rates.items()
            if rates.named_s >= oldest_s
        }

    def totals(self, now_s: float) -> dict[Artifact, TotalDemand]:
        """Returns the demand for each artifact."""
        waiting: Counter[Artifact] = Counter()
        oldest: dict[Artifact, float] = {}
        remaining: dict[Artifact, float] = {}
        patience: dict[Artifact, float] = {}
        for digest in self._fresh(now_s):
            for item in digest.demand:
                if item.waiting:
                    name = item.artifact
                    waiting[name] += item.waiting
                    oldest[name] = max(oldest.get(name, 0.0), item.oldest_s)
                    remaining[name] = max(
                        remaining.get(name, 0.0), item.remaining_s
                    )
                    patience[name] = min(
                        patience.get(name, math.inf), item.patience_s
                    )
        self._update_unserved(oldest, now_s)
        return {
            artifact: TotalDemand(
                service=rates.service,
                artifact=artifact,
                arrivals=0,
                waiting=waiting[artifact],
                priority=rates.priority,
                oldest_s=oldest.get(artifact, 0.0),
                rate_per_s=rates.requests.at(now_s),
                tokens_per_s=rates.tokens.at(now_s),
                last_s=rates.last_s,
                unserved_s=self._unserved.of(artifact.model),
                remaining_s=remaining.get(artifact, 0.0),
                patience_s=patience.get(artifact, math.inf),
            )
            for artifact, rates in self._rates.items()
        }

    def forget_unserved_times(self) -> None:
        """Forgets for how long models were not served.

        Call it when planning begins: requests may have run since these times
        were last updated.
        """
        self._unserved.clear()

    def adopt_unserved_times(
        self, times_s: Mapping[ModelId, float], now_s: float
    ) -> None:
        """Goes on with the times that this host measured as a follower."""
        self._unserved.adopt(times_s, now_s)

    def _update_unserved(
        self, oldest_s: dict[Artifact, float], now_s: float
    ) -> None:
        oldest_by_model_s: dict[ModelId, float] = {}
        for artifact, wait_s in oldest_s.items():
            model = artifact.model
            known_s = oldest_by_model_s.get(model, 0.0)
            oldest_by_model_s[model] = max(wait_s, known_s)
        running = {
            artifact.model
            for digest in self._fresh(now_s)
            for counts in digest.running.values()
            for artifact, _ in counts
        }
        self._unserved.update(oldest_by_model_s, running, now_s)

    def by_version(self, now_s: float) -> list[VersionDemand]:
        """Returns the requests that wait for engines of their version."""
        return sum_version_demand(
            item
            for digest in self._fresh(now_s)
            for item in digest.version_demand
        )

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
