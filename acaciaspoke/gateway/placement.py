"""Plans which engine holds which model.

There are more models than fit into the engines. A rarely used model is loaded
when a request waits for it, and replaces the replica that is cheapest to evict;
a busy model gets more replicas as its engines fill up. All functions are pure.
"""

from collections.abc import Callable, Collection, Iterator, Mapping
from enum import Enum
from typing import NamedTuple

from acaciaspoke.gateway.demand import TotalDemand
from acaciaspoke.gateway.engine_speed import DEFAULT_PREFILL_TOKENS_PER_S
from acaciaspoke.gateway.engineview import EngineView, PlannedOrder, free_mb
from acaciaspoke.gateway.messages import VersionDemand
from acaciaspoke.gateway.replicas import (
    SPARE_REPLICA_MIN_DEMAND,
    SPARE_REPLICA_SHARE,
    TARGET_SHARE,
    WAITING_GAIN_PER_S,
    Addition,
    Replicas,
    target_share,
)
from acaciaspoke.gateway.types import Artifact, EngineSpec
from acaciaspoke.gateway.version_placement import version_replicas_to_add
from acaciaspoke.ids import ModelId, SoftwareVersion, UpstreamId
from acaciaspoke.platform.engine import OrderAction

# An engine counts as full if at least this share of its slots is in use.
FULL_SHARE = 0.95

# Cost of each second for which a load blocks other model orders at an engine.
ENGINE_TIME_COST_PER_S = 0.5

# Cost of a new replica at an engine whose slots are all in use, or that limits
# the requests that it takes.
FULL_ENGINE_COST = 2.0

# Gain of loading a model without any request so far, per second of its load
# time.
PRELOAD_GAIN_PER_LOAD_S = 0.7

# Cost of each second of a load for each request that waits for it. Loads from
# the weight store take up to ten times as long as from host memory or disk.
DELAY_COST_PER_S = 0.5

# Time from planning a load until it begins: the order, and an unload before it.
ORDER_DELAY_S = 0.5

# Cost of a replica in a failure domain that already has one.
SAME_DOMAIN_COST = 0.2


class Obstacle(Enum):
    """Why no engine gets an order for a model.

    ``ENGINE``: all engines that lack it execute or await other orders.
    ``LOAD_LIMIT``: the weight store allows no load now. ``LATE``: the waiting
    requests will be refused before any load ends. ``COST``: at each engine, the
    load costs more than the model gains.
    """

    ENGINE = "engine"
    LOAD_LIMIT = "load_limit"
    LATE = "late"
    COST = "cost"


class ReplicaCost(NamedTuple):
    """The cost of a new replica at an engine.

    Attributes:
        eviction: Of the replica that is evicted for it.
        load: Of the engine's load and of replicas in its failure domain.
        engine_time: Of the time for which it executes no other order.
        adapters: Of the adapters that it cannot load meanwhile.
    """

    eviction: float
    load: float
    engine_time: float
    adapters: float


class Unplaced(NamedTuple):
    """A model for which no engine gets an order now.

    Attributes:
        gain: The gain of a replica.
        least_cost: The least cost of one; None if no engine was examined.
        version: The only software version at which it is useful, if any.
    """

    model: ModelId
    obstacle: Obstacle
    gain: float
    least_cost: ReplicaCost | None = None
    version: SoftwareVersion | None = None


def plan_models(
    engines: list[EngineView],
    demands: Mapping[Artifact, TotalDemand],
    spec: EngineSpec,
    cold_loads: int,
    now_s: float,
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S,
    observed_s: float = 0.0,
    on_unplaced: Callable[[Unplaced], None] = lambda unplaced: None,
    version_demand: Collection[VersionDemand] = (),
    replaces_slow_unloads: bool = False,
) -> list[PlannedOrder]:
    """Returns the model orders to send now.

    There is at most one for each engine and for each model that gets a replica.

    Args:
        engines: The engines of a service.
        demands: The demand for their artifacts.
        spec: The properties that the engines share.
        cold_loads: Loads from the weight store that may begin now.
        now_s: The current time.
        prefill_tokens_per_s: The prefill rate of an engine.
        observed_s: For how long the demand has been observed.
        on_unplaced: Called with each model that should get a replica, but for
            which no order is sent.
        version_demand: Requests that wait for engines of their version.
        replaces_slow_unloads: Whether a model may get another engine while the
            one that makes room for it takes longer than a load.
    """
    replicas = Replicas(
        engines,
        demands,
        spec,
        now_s,
        prefill_tokens_per_s,
        observed_s,
        replaces_slow_unloads,
    )
    available = {
        engine.name: engine for engine in engines if engine.accepts_model_order
    }
    needed = {item.artifact.model for item in version_demand}
    orders = list(_reserved_loads(available, replicas, spec, needed))
    for order in orders:
        engine = available.pop(order.upstream)
        cold_loads -= order.artifact.model not in engine.cached_models
    additions = [
        *_replicas_to_add(replicas, spec),
        *version_replicas_to_add(version_demand, replicas),
    ]
    added: set[ModelId] = set()
    for addition in sorted(additions, key=lambda each: -each.gain):
        model = addition.model
        if model in added:
            continue
        order = _plan_replica(addition, available, replicas, spec, cold_loads)
        if isinstance(order, Unplaced):
            on_unplaced(order)
            continue
        added.add(model)
        orders.append(order)
        engine = available.pop(order.upstream)
        if order.action is OrderAction.LOAD:
            cold_loads -= model not in engine.cached_models
        else:
            replicas.holders[order.artifact.model].remove(engine)
            replicas.invalidate(order.artifact.model)
        replicas.holders[model].append(engine)
        replicas.invalidate(model)
    return orders


def _reserved_loads(
    available: Mapping[UpstreamId, EngineView],
    replicas: Replicas,
    spec: EngineSpec,
    needed: Collection[ModelId],
) -> Iterator[PlannedOrder]:
    for engine in available.values():
        model = engine.reserved
        if model is None or model in engine.models or model not in spec.models:
            continue
        fits = free_mb(engine, spec) >= spec.models[model].weights_mb
        has_demand = (
            replicas.waiting[model]
            or replicas.rate[model] > 0.1
            or model in needed
        )
        if fits and (has_demand or model not in replicas.priority):
            yield PlannedOrder(
                engine.name, OrderAction.LOAD, Artifact(model), "room made"
            )


def _replicas_to_add(
    replicas: Replicas, spec: EngineSpec
) -> Iterator[Addition]:
    for model in spec.models:
        holders = replicas.holders[model]
        weight = replicas.weight.get(model, 1.0)
        demand = replicas.demand(model)
        if not holders:
            if replicas.waiting[model]:
                gain = weight * (demand + replicas.waiting[model])
                gain += weight * WAITING_GAIN_PER_S * replicas.unserved_s(model)
                yield Addition(model, gain, "no copy")
            elif demand >= 1:
                # Its requests are refused on arrival, as they can't wait for a
                # load; the next ones find the replica.
                yield Addition(model, weight * demand, "refused")
            elif model not in replicas.priority:
                gain = PRELOAD_GAIN_PER_LOAD_S * spec.models[model].load_s
                gain *= replicas.unrequested_share
                yield Addition(model, gain, "not asked for yet")
            continue
        slots = sum(engine.slots for engine in holders)
        load = sum(engine.running.total() for engine in holders)
        share = target_share(spec.models[model].load_s)
        missing_slots = max(load, demand) - share * slots
        # A rarely used model gets no replica just because other models'
        # requests fill its engines.
        # One more replica serves only its share of the demand.
        missing_slots = min(missing_slots, demand / (1 + len(holders)))
        is_full = all(engine.load_share >= FULL_SHARE for engine in holders)
        if is_full and model not in replicas.loading_models:
            missing_slots += replicas.waiting[model]
        if missing_slots > 0 and demand >= 1:
            yield Addition(model, weight * missing_slots, "busy")
        elif len(holders) == 1 and demand >= SPARE_REPLICA_MIN_DEMAND:
            gain = weight * SPARE_REPLICA_SHARE * demand
            yield Addition(model, gain, "one copy")


def _plan_replica(
    addition: Addition,
    available: Mapping[UpstreamId, EngineView],
    replicas: Replicas,
    spec: EngineSpec,
    cold_loads: int,
) -> PlannedOrder | Unplaced:
    model, gain, reason, version, _ = addition
    best: tuple | None = None
    least_cost: ReplicaCost | None = None
    obstacle = Obstacle.ENGINE
    domains = {engine.failure_domain for engine in replicas.holders[model]}
    for engine in available.values():
        if model in engine.models or engine.reserved is not None:
            continue
        if version not in (None, engine.version):
            continue
        if cold_loads <= 0 and model not in engine.cached_models:
            if obstacle is Obstacle.ENGINE:
                obstacle = Obstacle.LOAD_LIMIT
            continue
        load_s = _load_s(model, engine, spec)
        if _is_too_late(addition, ORDER_DELAY_S + load_s, replicas):
            if obstacle is not Obstacle.COST:
                obstacle = Obstacle.LATE
            continue
        obstacle = Obstacle.COST
        victim, eviction_cost = _victim(model, engine, replicas, spec)
        is_waited_for = version is not None or (
            model in replicas.priority
            and (replicas.waiting[model] or replicas.holders[model])
        )
        if not is_waited_for and replicas.is_urgent(victim):
            continue
        costs = _replica_cost(
            gain,
            engine,
            engine.failure_domain in domains,
            eviction_cost,
            load_s,
            replicas,
        )
        cost = sum(costs)
        if least_cost is None or cost < sum(least_cost):
            least_cost = costs
        if cost >= gain:
            continue
        cost += _delay_cost(model, engine, replicas, spec)
        if best is None or cost < best[0]:
            best = (cost, engine, victim)
    if best is None:
        return Unplaced(model, obstacle, gain, least_cost, version)
    _, engine, victim = best
    if victim is None:
        return PlannedOrder(
            engine.name, OrderAction.LOAD, Artifact(model), reason
        )
    return PlannedOrder(
        engine.name,
        OrderAction.UNLOAD,
        Artifact(victim),
        f"{reason}: {model}",
        reserve_for=model,
    )


def _is_too_late(
    addition: Addition, ready_s: float, replicas: Replicas
) -> bool:
    """Returns whether the waiting requests cannot wait for a replica."""
    model = addition.model
    if addition.version is not None:
        return addition.remaining_s < ready_s
    is_needed_now = not replicas.holders[model] and replicas.waiting[model]
    return bool(is_needed_now) and replicas.is_too_late(model, ready_s)


def _replica_cost(
    gain: float,
    engine: EngineView,
    is_same_domain: bool,
    eviction_cost: float,
    load_s: float,
    replicas: Replicas,
) -> ReplicaCost:
    load_share = replicas.load_share(engine)
    load_cost = FULL_ENGINE_COST * max(load_share, engine.is_limited)
    load_cost += gain * max(0.0, load_share - TARGET_SHARE)
    load_cost += SAME_DOMAIN_COST if is_same_domain else 0.0
    return ReplicaCost(
        eviction=eviction_cost,
        load=load_cost,
        engine_time=ENGINE_TIME_COST_PER_S * load_s,
        adapters=replicas.adapter_block_cost(engine, load_s),
    )


def _delay_cost(
    model: ModelId, engine: EngineView, replicas: Replicas, spec: EngineSpec
) -> float:
    load_s = _load_s(model, engine, spec)
    return DELAY_COST_PER_S * load_s * max(1.0, replicas.waiting[model])


def _load_s(model: ModelId, engine: EngineView, spec: EngineSpec) -> float:
    model_spec = spec.models[model]
    return (
        model_spec.cached_load_s
        if model in engine.cached_models
        else model_spec.load_s
    )


def _victim(
    model: ModelId, engine: EngineView, replicas: Replicas, spec: EngineSpec
) -> tuple[ModelId | None, float]:
    needed_mb = spec.models[model].weights_mb
    if replicas.free_mb(engine) >= needed_mb:
        return None, 0.0
    return replicas.victim(engine)
