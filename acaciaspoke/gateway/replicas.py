"""The demand for models, their replicas, and what evicting one costs.

All functions are pure.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import msgspec

from acaciaspoke.gateway.demand import TotalDemand
from acaciaspoke.gateway.engineview import EngineView, free_mb
from acaciaspoke.gateway.types import Artifact, EngineSpec
from acaciaspoke.ids import ModelId, SoftwareVersion, UpstreamId

# Lower bound of the mean time for which a request occupies a slot; once there
# is a replica, its running requests show the actual use.
MIN_SLOT_TIME_S = 0.6

# Weights of a request by priority, most urgent first.
PRIORITY_WEIGHTS = (3.0, 2.0, 1.0)

# Streams pause while their engine prefills prompts, so an engine that does so
# for this share of the time counts as full.
FULL_PREFILL_SHARE = 0.5

# Share of the slots up to which engines should be used. The rest absorbs new
# requests while another replica is loaded, so it is larger for longer loads.
TARGET_SHARE = 0.75
TARGET_SHARE_DROP_PER_LOAD_S = 0.06
MIN_TARGET_SHARE = 0.4

# A replica stays at least this long after its load, so that the requests that
# waited for it can run.
MIN_RESIDENCE_S = 1.0

# Cost of unloading while requests run, as the engine does nothing else until
# the last of them has ended; and the cost added for each of them.
BUSY_UNLOAD_COST = 2.5
RUNNING_REQUEST_COST = 0.3

# A replica is spare if the others can serve the demand with this share of their
# target; the margin keeps the planner from loading it again at once.
SPARE_SHARE = 0.65

# Cost of any eviction: the replica may be needed again.
EVICTION_COST = 0.05

# Cost of the next cold start after a last replica is unloaded, for each request
# per second.
LAST_REPLICA_COST = 2.0

# Cost of unloading a last replica per second of its load time, by the most
# urgent priority of its requests, and for a model without any request so far.
# Least urgent work can bear a cold start; urgent demand moves to idle models,
# and a load then takes longer than callers wait.
LAST_REPLICA_COSTS_PER_LOAD_S = (3.0, 2.0, 0.0)
UNREQUESTED_LAST_REPLICA_COST_PER_LOAD_S = 1.5

# A model without any request for this time is half as likely to get one soon
# as at the start, so what it is worth to keep or to load it halves too.
UNREQUESTED_HALF_TIME_S = 30.0

# Cost of unloading the second replica of a model without any request so far:
# several replicas were placed where demand is expected.
UNREQUESTED_SECOND_REPLICA_COST_PER_LOAD_S = 1.5

# Cost of unloading the second replica per second of its load time, by the most
# urgent priority of its requests. Urgent demand moves back to models that have
# become idle, and a single replica is soon full or unreachable.
SECOND_REPLICA_COSTS_PER_LOAD_S = (0.75, 0.5, 0.0)

# Gain of a second replica for fault tolerance, as a share of the demand, and
# the smallest demand that gets one.
SPARE_REPLICA_SHARE = 0.1
SPARE_REPLICA_MIN_DEMAND = 4.0

# Gain of a model without replica for each second that requests for it have
# waited, by weight; keeps busier models from starving it.
WAITING_GAIN_PER_S = 0.7

# Routes whose requests wait for less than this beyond a load from the weight
# store count as never waiting for one: the order, the reports of demand and
# busy engines take up the rest of the wait.
MIN_ORDER_WINDOW_S = 1.5


class Addition(NamedTuple):
    """A replica that would be useful.

    Attributes:
        version: The only software version at which it is; None if at any.
        remaining_s: The time until which it has to be ready.
    """

    model: ModelId
    gain: float
    reason: str
    version: SoftwareVersion | None = None
    remaining_s: float = math.inf


class Replicas:
    """The demand for each model, and the engines that hold it."""

    def __init__(
        self,
        engines: Iterable[EngineView],
        demands: Mapping[Artifact, TotalDemand],
        spec: EngineSpec,
        now_s: float,
        prefill_tokens_per_s: float,
        observed_s: float,
        replaces_slow_unloads: bool = False,
    ):
        self.now_s = now_s
        # The chance that a model without requests so far gets one, as a share
        # of the chance at the start (rule of succession).
        self.unrequested_share = UNREQUESTED_HALF_TIME_S / (
            UNREQUESTED_HALF_TIME_S + observed_s
        )
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._spec = spec
        # Costs by engine, which are needed for many models; valid until a
        # replica is added or removed.
        self._costs: dict[UpstreamId, dict[Callable, Any]] = {}
        self.priority: dict[ModelId, int] = {}
        self.rate: Counter[ModelId] = Counter()
        self.prefill_rate: Counter[ModelId] = Counter()
        self.adapter_rate: Counter[ModelId] = Counter()
        self.running: Counter[ModelId] = Counter()
        self.holders: dict[ModelId, list[EngineView]] = defaultdict(list)
        # Models with a replica that is being loaded, which will serve waiting
        # requests.
        self.loading_models: set[ModelId] = set()
        for engine in engines:
            self.running.update(engine.running)
            for model in engine.models:
                if model not in engine.unloading_models:
                    self.holders[model].append(engine)
            if engine.reserved is not None and not (
                replaces_slow_unloads and self._is_unload_slow(engine)
            ):
                self.holders[engine.reserved].append(engine)
                self.loading_models.add(engine.reserved)
            if engine.loading is not None:
                self.loading_models.add(engine.loading)
        self.waiting: Counter[ModelId] = Counter()
        self.weight: dict[ModelId, float] = {}
        self._oldest_s: Counter[ModelId] = Counter()
        self._unserved_s: Counter[ModelId] = Counter()
        self._remaining_s: Counter[ModelId] = Counter()
        self._patience_s: dict[ModelId, float] = {}
        for artifact, total in demands.items():
            model = artifact.model
            self.rate[model] += total.rate_per_s
            self.prefill_rate[model] += total.tokens_per_s
            if artifact.adapter is not None:
                self.adapter_rate[model] += total.rate_per_s
            self.waiting[model] += total.waiting
            known = self.priority.get(model, total.priority)
            self.priority[model] = min(known, total.priority)
            self.weight[model] = weight_of(self.priority[model])
            self._oldest_s[model] = max(total.oldest_s, self._oldest_s[model])
            self._unserved_s[model] = max(
                total.unserved_s, self._unserved_s[model]
            )
            if total.waiting:
                self._remaining_s[model] = max(
                    total.remaining_s, self._remaining_s[model]
                )
                self._patience_s[model] = min(
                    total.patience_s, self._patience_s.get(model, math.inf)
                )

    def _is_unload_slow(self, engine: EngineView) -> bool:
        """Returns whether another engine would have been ready by now.

        An unload waits for the requests that use the model. A few of them take
        several times as long as most, so one that has lasted for long is likely
        to go on.
        """
        model = self._spec.models.get(engine.reserved)
        return model is not None and engine.unloading_s > model.load_s

    def is_too_late(self, model: ModelId, ready_s: float) -> bool:
        """Returns whether no waiting request can wait for a replica any more.

        Requests of routes that never or hardly wait for a load from the weight
        store show demand to come, so that a replica is useful in any case.

        Args:
            model: A model for which requests wait.
            ready_s: In how many seconds the replica would be ready.
        """
        return (
            self._waits_for_load(model) and self._remaining_s[model] < ready_s
        )

    def unserved_s(self, model: ModelId) -> float:
        """Returns for how long requests have waited for a first replica.

        The waits of refused requests count if a request that waits, or any that
        comes next, can wait for the replica. Otherwise it would serve nobody,
        however long they have waited.

        Args:
            model: A model for which requests wait.
        """
        longest_s = max(self._patience_s[model], self._remaining_s[model])
        if longest_s >= self._min_wait_for_load_s(model):
            return max(self._oldest_s[model], self._unserved_s[model])
        return self._oldest_s[model]

    def _waits_for_load(self, model: ModelId) -> bool:
        return self._patience_s[model] >= self._min_wait_for_load_s(model)

    def _min_wait_for_load_s(self, model: ModelId) -> float:
        return self._spec.models[model].load_s + MIN_ORDER_WINDOW_S

    def demand(self, model: ModelId) -> float:
        """Returns the slots that a model's requests need."""
        full_tokens_per_s = FULL_PREFILL_SHARE * self._prefill_tokens_per_s
        prefill_share = self.prefill_rate[model] / full_tokens_per_s
        return max(
            self.running[model],
            self.rate[model] * MIN_SLOT_TIME_S,
            prefill_share * self._spec.slots,
        )

    def is_urgent(self, model: ModelId | None) -> bool:
        """Returns whether a model has had requests above the least urgent."""
        least_urgent = len(PRIORITY_WEIGHTS) - 1
        return self.priority.get(model, least_urgent) < least_urgent

    def _last_replica_cost(self, model: ModelId) -> float:
        return self._cost_by_priority(
            model,
            LAST_REPLICA_COSTS_PER_LOAD_S,
            UNREQUESTED_LAST_REPLICA_COST_PER_LOAD_S,
        )

    def _second_replica_cost(self, model: ModelId) -> float:
        return self._cost_by_priority(
            model,
            SECOND_REPLICA_COSTS_PER_LOAD_S,
            UNREQUESTED_SECOND_REPLICA_COST_PER_LOAD_S,
        )

    def _cost_by_priority(
        self, model: ModelId, costs_per_s: Sequence[float], default_per_s: float
    ) -> float:
        load_s = self._spec.models[model].load_s
        priority = self.priority.get(model)
        if priority is None:
            return default_per_s * load_s * self.unrequested_share
        return costs_per_s[min(priority, len(costs_per_s) - 1)] * load_s

    def adapter_block_cost(self, engine: EngineView, load_s: float) -> float:
        """Returns the cost of blocking adapter orders at an engine."""
        return load_s * self._cached(self._adapter_block_cost_per_s, engine)

    def victim(self, engine: EngineView) -> tuple[ModelId | None, float]:
        """Returns the model that is cheapest to evict, and its cost."""
        return self._cached(self._victim, engine)

    def free_mb(self, engine: EngineView) -> float:
        """Returns the weight memory of an engine that no artifact uses."""
        return self._cached(self._free_mb, engine)

    def load_share(self, engine: EngineView) -> float:
        """Returns the requests of an engine as a share of its slots."""
        return self._cached(self._load_share, engine)

    def invalidate(self, model: ModelId) -> None:
        """Drops cached costs that depend on where a model's replicas are."""
        for engine in self.holders[model]:
            self._costs.pop(engine.name, None)

    def _cached(self, cost: Callable, engine: EngineView):
        costs = self._costs.setdefault(engine.name, {})
        if cost not in costs:
            costs[cost] = cost(engine)
        return costs[cost]

    def _free_mb(self, engine: EngineView) -> float:
        return free_mb(engine, self._spec)

    def _load_share(self, engine: EngineView) -> float:
        return engine.load_share

    def _victim(self, engine: EngineView) -> tuple[ModelId | None, float]:
        costs = [
            (self.eviction_cost(candidate, engine), candidate)
            for candidate in engine.models
            if candidate not in engine.unloading_models
        ]
        if not costs:
            return None, math.inf
        cost, candidate = min(costs)
        return candidate, cost

    def _adapter_block_cost_per_s(self, engine: EngineView) -> float:
        cost = 0.0
        for model in engine.models:
            other_holders = [
                other
                for other in self.holders[model]
                if other is not engine and other.accepts_adapter_order
            ]
            rate = self.adapter_rate[model] / (1 + len(other_holders)) ** 2
            cost += rate * self.weight.get(model, 1.0)
        return cost

    def eviction_cost(self, model: ModelId, engine: EngineView) -> float:
        """Returns the cost of unloading a replica; infinite if it must stay."""
        if self.now_s - engine.models[model] < MIN_RESIDENCE_S:
            return math.inf
        weight = self.weight.get(model, 1.0)
        cost = EVICTION_COST
        if engine.running[model]:
            cost += (
                BUSY_UNLOAD_COST + RUNNING_REQUEST_COST * engine.running[model]
            )
        other_holders = [
            other for other in self.holders[model] if other is not engine
        ]
        if model not in self._spec.models:
            return cost  # No route uses it any more.
        if not other_holders:
            if self.waiting[model]:
                return math.inf
            cost += LAST_REPLICA_COST * weight * self.rate[model]
            return cost + self._last_replica_cost(model)
        if len(other_holders) == 1:
            cost += self._second_replica_cost(model)
        if model not in self.priority:
            return cost
        demand = self.demand(model)
        load = sum(other.running.total() for other in other_holders)
        share = SPARE_SHARE * target_share(self._spec.models[model].load_s)
        capacity = share * sum(other.slots for other in other_holders)
        missing_slots = max(load + engine.running[model], demand) - capacity
        # One replica serves only its share of the demand.
        served_slots = demand / (1 + len(other_holders))
        missing_slots = max(0.0, min(missing_slots, served_slots))
        spare = SPARE_REPLICA_SHARE * demand if len(other_holders) == 1 else 0.0
        return cost + weight * (missing_slots + spare)


def limit_slots(engine: EngineView, limit_per_s: float | None) -> EngineView:
    """Returns an engine with no more slots than its limit keeps busy.

    Args:
        engine: The engine.
        limit_per_s: Requests a second that it takes from all hosts; None if it
            has named no limit.
    """
    if limit_per_s is None:
        return engine
    slots = int(min(engine.slots, limit_per_s * MIN_SLOT_TIME_S))
    return msgspec.structs.replace(engine, slots=slots, is_limited=True)


def weight_of(priority: int) -> float:
    """Returns the weight of a request of a priority."""
    return PRIORITY_WEIGHTS[min(priority, len(PRIORITY_WEIGHTS) - 1)]


def target_share(load_s: float) -> float:
    """Returns the share of its replicas' slots that a model should use."""
    share = TARGET_SHARE - TARGET_SHARE_DROP_PER_LOAD_S * load_s
    return max(MIN_TARGET_SHARE, share)
