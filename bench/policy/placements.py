"""Simple placements, to compare with the planner of the product.

A placement is a function from a ``Snapshot`` to ``Order``s, called four times a
second.
"""

import math
from collections.abc import Iterator, Mapping

import msgspec

from acaciaspoke.config.schema import Artifact, Rank


class EngineState(msgspec.Struct):
    """An engine in a snapshot.

    Attributes:
        resident: Artifacts that are loaded or loading, or whose load is
            ordered.
        free_bytes: Memory that is neither used nor reserved.
    """

    name: str
    failure_domain: str
    slots: int
    free_bytes: int
    resident: dict[str, Artifact]


class Snapshot(msgspec.Struct):
    """The input of a placement.

    Attributes:
        engines: The live engines.
        artifacts: All models and adapters.
        demand: Arrivals per second by artifact and rank, averaged over 10 s.
        slot_use: Slots used or waited for, by base model, weighted by worth
            and averaged over 10 s.
        cold: Artifacts without a replica that requests wait for.
        last_used_s: When a request last asked for an artifact.
        loads_running: Number of model loads in progress.
    """

    now_s: float
    engines: dict[str, EngineState]
    artifacts: Mapping[str, Artifact]
    ranks: Mapping[str, Rank]
    demand: dict[str, dict[str, float]]
    slot_use: dict[str, float]
    cold: set[str]
    last_used_s: dict[str, float]
    loads_running: int
    concurrent_loads: int


class Order(msgspec.Struct, frozen=True):
    """Loads an artifact on an engine, after unloading others there."""

    engine: str
    load: str
    unload: tuple[str, ...] = ()


# Replicas are added until a model uses this share of their slots.
TARGET_SLOT_USE = 0.45

# Models that use this many slots per replica get replicas in free memory.
SPARE_SLOT_USE = 1.0


def replicate(snapshot: Snapshot) -> list[Order]:
    """Loads one replica of every model, then adds replicas by slot use."""
    orders: list[Order] = []
    replicas = _replica_counts(snapshot)
    load_capacity = max(0, snapshot.concurrent_loads - snapshot.loads_running)
    for model in _models_to_load(snapshot, replicas):
        if len(orders) >= load_capacity:
            break
        order = _load_somewhere(snapshot, replicas, model)
        if order is not None:
            orders.append(order)
    return orders + list(_adapter_orders(snapshot))


def load_on_demand(snapshot: Snapshot) -> list[Order]:
    """Loads what requests wait for; evicts the least recently used model."""
    orders = []
    for name in sorted(snapshot.cold):
        artifact = snapshot.artifacts[name]
        base = artifact.base_model
        holders = [e for e in snapshot.engines.values() if base in e.resident]
        if base is not None and not holders:
            artifact = snapshot.artifacts[base]
        if any(artifact.name in e.resident for e in snapshot.engines.values()):
            continue
        order = _load_with_eviction(
            snapshot, artifact, holders or list(snapshot.engines.values())
        )
        if order is not None:
            orders.append(order)
    return orders


def _load_with_eviction(
    snapshot: Snapshot, artifact: Artifact, engines: list[EngineState]
) -> Order | None:
    if not engines:
        return None
    engine = max(engines, key=lambda e: e.free_bytes)
    unload: list[str] = []
    freed = engine.free_bytes
    # A model is evicted together with its adapters on the same engine.
    by_last_use = sorted(
        (n for n, a in engine.resident.items() if a.base_model is None),
        key=lambda n: snapshot.last_used_s.get(n, 0.0),
    )
    for victim in by_last_use:
        if freed >= artifact.memory_bytes or victim == artifact.base_model:
            break
        evicted = _with_adapters(engine, victim)
        freed += sum(engine.resident[n].memory_bytes for n in evicted)
        unload.extend(evicted)
    if freed < artifact.memory_bytes:
        return None
    _apply(engine, artifact, unload)
    return Order(engine.name, artifact.name, tuple(unload))


def _replica_counts(snapshot: Snapshot) -> dict[str, int]:
    replicas = dict.fromkeys(
        (n for n, a in snapshot.artifacts.items() if a.base_model is None), 0
    )
    for engine in snapshot.engines.values():
        for name, artifact in engine.resident.items():
            if artifact.base_model is None:
                replicas[name] += 1
    return replicas


def _models_to_load(
    snapshot: Snapshot, replicas: dict[str, int]
) -> Iterator[str]:
    """Yields models without a replica, then those with too few replicas."""
    cold = {snapshot.artifacts[n].base_model or n for n in snapshot.cold}
    yield from sorted(
        (m for m, count in replicas.items() if not count),
        key=lambda m: (m not in cold, m),
    )

    def slots_per_replica(model: str) -> float:
        use = snapshot.slot_use.get(model, 0.0)
        return use / max(1, replicas[model])

    for model in sorted(replicas, key=slots_per_replica, reverse=True):
        # Free memory is used for replicas before they are needed.
        if 0 < replicas[model] < len(snapshot.engines) and (
            replicas[model] < _target_replicas(snapshot, model)
            or slots_per_replica(model) >= SPARE_SLOT_USE
        ):
            yield model


def _target_replicas(snapshot: Snapshot, model: str) -> int:
    slots = max((e.slots for e in snapshot.engines.values()), default=1)
    use = snapshot.slot_use.get(model, 0.0)
    return max(1, math.ceil(use / (slots * TARGET_SLOT_USE)))


def _free_bytes(snapshot: Snapshot, engine: EngineState) -> int:
    """Returns free memory minus that of missing adapters of resident models."""
    missing = sum(
        a.memory_bytes
        for a in snapshot.artifacts.values()
        if a.base_model in engine.resident and a.name not in engine.resident
    )
    return engine.free_bytes - missing


def _bytes_with_adapters(snapshot: Snapshot, model: str) -> int:
    return sum(
        a.memory_bytes
        for a in snapshot.artifacts.values()
        if model in (a.name, a.base_model)
    )


def _load_somewhere(
    snapshot: Snapshot, replicas: dict[str, int], model: str
) -> Order | None:
    artifact = snapshot.artifacts[model]
    engines = [e for e in snapshot.engines.values() if model not in e.resident]
    used = {
        e.failure_domain
        for e in snapshot.engines.values()
        if model in e.resident
    }
    engines.sort(
        key=lambda e: (e.failure_domain in used, _slot_use_of(snapshot, e))
    )
    for engine in engines:
        if _free_bytes(snapshot, engine) >= _bytes_with_adapters(
            snapshot, model
        ):
            _apply(engine, artifact, [])
            replicas[model] += 1
            return Order(engine.name, model)
    if replicas[model] >= _target_replicas(snapshot, model):
        return None
    for engine in engines:
        unload = _choose_evictions(snapshot, replicas, engine, artifact)
        if unload:
            _apply(engine, artifact, unload)
            replicas[model] += 1
            return Order(engine.name, model, tuple(unload))
    return None


def _slot_use_of(snapshot: Snapshot, engine: EngineState) -> float:
    """Returns the expected slot use of an engine's models."""
    replicas = _replica_counts(snapshot)
    return sum(
        snapshot.slot_use.get(n, 0.0) / replicas[n]
        for n, a in engine.resident.items()
        if a.base_model is None
    )


def _choose_evictions(
    snapshot: Snapshot,
    replicas: dict[str, int],
    engine: EngineState,
    artifact: Artifact,
) -> list[str]:
    """Returns what to unload, replicas with the least slot use first.

    A replica is evicted only if the slot use per remaining replica of its model
    is well below that of the model to load. Models without a replica evict
    replicas in any case.
    """
    use = snapshot.slot_use

    def use_after(model: str) -> float:
        return use.get(model, 0.0) / max(1, replicas[model] - 1)

    need = use.get(artifact.name, 0.0) / max(1, replicas[artifact.name])
    victims = sorted(
        (m for m in engine.resident if replicas.get(m, 0) > 1), key=use_after
    )
    unload: list[str] = []
    freed = _free_bytes(snapshot, engine)
    needed = _bytes_with_adapters(snapshot, artifact.name)
    for victim in victims:
        if freed >= needed:
            break
        if replicas[artifact.name] and use_after(victim) > 0.7 * need:
            break
        evicted = _with_adapters(engine, victim)
        freed += sum(engine.resident[n].memory_bytes for n in evicted)
        unload.extend(evicted)
    if freed < needed:
        return []
    for name in unload:
        if name in replicas:
            replicas[name] -= 1
    return unload


def _with_adapters(engine: EngineState, model: str) -> list[str]:
    adapters = [n for n, a in engine.resident.items() if a.base_model == model]
    return [*adapters, model]


def _apply(engine: EngineState, artifact: Artifact, unload: list[str]) -> None:
    for name in unload:
        engine.free_bytes += engine.resident.pop(name).memory_bytes
    engine.resident[artifact.name] = artifact
    engine.free_bytes -= artifact.memory_bytes


def _adapter_orders(snapshot: Snapshot) -> Iterator[Order]:
    """Yields loads of adapters at each replica of their model."""
    adapters = [a for a in snapshot.artifacts.values() if a.base_model]
    for engine in snapshot.engines.values():
        for adapter in adapters:
            if (
                adapter.base_model in engine.resident
                and adapter.name not in engine.resident
                and adapter.memory_bytes <= engine.free_bytes
            ):
                _apply(engine, adapter, [])
                yield Order(engine.name, adapter.name)
