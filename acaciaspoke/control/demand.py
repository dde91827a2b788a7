"""Averages the demand that entry processes report."""

import math
from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from acaciaspoke.config.schema import Rank
from acaciaspoke.ids import Address, ArtifactName, RankId
from acaciaspoke.net.messages import Demand

# Four half-lives (12 s) after a tenfold shift the rate is within 10% of the new
# one. A burst of one second counts for a quarter of its height.
SHORT_HALF_LIFE_S = 3.0

# Additional replicas depend on sustained demand, so that noise of a few seconds
# does not swap them repeatedly.
LONG_HALF_LIFE_S = 12.0

# Each message (1/s) repeats a cold miss while requests wait. Two lost messages
# must not end it.
COLD_EXPIRY_S = 3.5

# Short compared with the half-life. Forwarding each message at once would cost
# the lease holder of 286 hosts most of a core.
FORWARD_INTERVAL_S = 1.0


class Rate(NamedTuple):
    """The demand for an artifact.

    Attributes:
        per_s: Requests per second of all ranks.
        worth_per_s: The same, weighted by the worth of each request's rank.
    """

    per_s: float = 0.0
    worth_per_s: float = 0.0


class DemandSum:
    """Sums the demand of one host's entry processes into one message."""

    def __init__(self):
        self._arrivals: defaultdict[ArtifactName, Counter[RankId]] = (
            defaultdict(Counter)
        )
        self._cold: set[ArtifactName] = set()
        self._sent_cold: set[ArtifactName] = set()
        self._due_s = 0.0

    def add(self, demand: Demand) -> None:
        """Adds the message of one entry process."""
        for name, counts in demand.arrivals.items():
            self._arrivals[name].update(counts)
        self._cold.update(demand.cold)

    def collect(self, sender: Address, now_s: float) -> Demand | None:
        """Returns the sum if it is due, at once for a new cold miss."""
        is_new = not self._cold <= self._sent_cold
        if now_s < self._due_s and not is_new:
            return None
        self._due_s = now_s + FORWARD_INTERVAL_S
        self._sent_cold = self._cold
        if not self._arrivals and not self._cold:
            return None
        message = Demand(
            sender=sender,
            arrivals={name: dict(c) for name, c in self._arrivals.items()},
            cold=tuple(sorted(self._cold)),
            interval_s=FORWARD_INTERVAL_S,
        )
        self._arrivals.clear()
        self._cold = set()
        return message


class DemandRates:
    """Request rates per artifact and rank, and current cold misses."""

    def __init__(self, half_life_s: float = SHORT_HALF_LIFE_S):
        self._half_life_s = half_life_s
        self._rates: defaultdict[ArtifactName, dict[RankId, float]] = (
            defaultdict(dict)
        )
        self._cold_until_s: dict[ArtifactName, float] = {}
        self._decayed_to_s = 0.0

    def add(self, demand: Demand, now_s: float) -> None:
        """Adds the message of one entry process to the rates."""
        # Rates are kept as of the last decay, so that a message does not touch
        # them all: a lease holder gets thousands of messages a second.
        if now_s - self._decayed_to_s > self._half_life_s:
            self._decay(now_s)
        elapsed_s = max(0.0, now_s - self._decayed_to_s)
        gain = math.log(2) / self._half_life_s
        gain *= 2 ** (elapsed_s / self._half_life_s)
        for name, counts in demand.arrivals.items():
            rates = self._rates[name]
            for rank, count in counts.items():
                rates[rank] = rates.get(rank, 0.0) + count * gain
        for name in demand.cold:
            self._cold_until_s[name] = now_s + COLD_EXPIRY_S

    def rates(
        self, ranks: Mapping[RankId, Rank], now_s: float
    ) -> dict[ArtifactName, Rate]:
        """Returns the demand per artifact; unknown ranks have worth 1."""
        self._decay(now_s)
        unknown = Rank(level=0)
        return {
            name: Rate(
                sum(rates.values()),
                sum(
                    rate * ranks.get(rank, unknown).worth
                    for rank, rate in rates.items()
                ),
            )
            for name, rates in self._rates.items()
        }

    def cold(
        self, ranks: Mapping[RankId, Rank], now_s: float
    ) -> dict[ArtifactName, int]:
        """Returns the level of the most urgent rank of each cold artifact."""
        self._cold_until_s = {
            name: until_s
            for name, until_s in self._cold_until_s.items()
            if until_s > now_s
        }
        least_urgent = max((rank.level for rank in ranks.values()), default=0)
        return {
            name: min(
                (
                    ranks[rank].level
                    for rank in self._rates.get(name, ())
                    if rank in ranks
                ),
                default=least_urgent,
            )
            for name in self._cold_until_s
        }

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._decayed_to_s
        if elapsed_s <= 0:
            return
        self._decayed_to_s = now_s
        factor = 0.5 ** (elapsed_s / self._half_life_s)
        for name, rates in list(self._rates.items()):
            kept = {
                rank: rate * factor
                for rank, rate in rates.items()
                # A rate below one request per hour is dropped.
                if rate * factor > 1 / 3600
            }
            if kept:
                self._rates[name] = kept
            else:
                del self._rates[name]
