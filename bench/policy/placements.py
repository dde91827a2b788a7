"""Where models are loaded: the place at which a planner is plugged in.

A placement is a function from a ``Situation`` to ``Order``s, called four times
a second.
"""

import math
from collections.abc import Iterator, Mapping

import msgspec

from acaciaspoke.config.schema import Artifact, Rank


class EngineState(msgspec.Struct):
    """An engine as a planner sees it.

    Attributes:
        resident: Artifacts that are loaded, are loading, or are ordered.
        free_bytes: Memory that is neither used nor reserved.
    """

    name: str
    failure_domain: str
    slots: int
    free_bytes: int
    resident: dict[str, Artifact]


class Situation(msgspec.Struct):
    """What a planner knows.

    Attributes:
        engines: The live engines.
        artifacts: All models and adapters.
        demand: Arrivals per second by artifact and rank, averaged over 10 s.
        slot_use: Slots used or waited for, by base model, weighted by worth
            and averaged over 10 s.
        cold: Artifacts that requests wait for without a copy.
        last_used_s: When a request last asked for an artifact.
        loads_running: Model loads that have not ended.
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


# Copies are added until a model would use this share of their slots.
TARGET_USE = 0.45

# Free memory takes replicas of models that use this many slots per copy.
SPARE_USE = 1.0


def replicate(situation: Situation) -> list[Order]:
    """Keeps a copy of every model, then adds replicas by use of slots."""
    orders: list[Order] = []
    copies = _copies(situation)
    room = max(0, situation.concurrent_loads - situation.loads_running)
    for model in _by_need(situation, copies):
        if len(orders) >= room:
            break
        order = _load_somewhere(situation, copies, model)
        if order is not None:
            orders.append(order)
    return orders + list(_adapter_orders(situation))


def load_on_demand(situation: Situation) -> list[Order]:
    """Loads what is asked for; unloads what was least recently used."""
    orders = []
    for name in sorted(situation.cold):
        artifact = situation.artifacts[name]
        base = artifact.base_model
        holders = [e for e in situation.engines.values() if base in e.resident]
        if base is not None and not holders:
            artifact = situation.artifacts[base]
        if any(artifact.name in e.resident for e in situation.engines.values()):
            continue
        order = _load_least_recent(
            situation, artifact, holders or list(situation.engines.values())
        )
        if order is not None:
            orders.append(order)
    return orders


def _load_least_recent(
    situation: Situation, artifact: Artifact, engines: list[EngineState]
) -> Order | None:
    if not engines:
        return None
    engine = max(engines, key=lambda e: e.free_bytes)
    unload: list[str] = []
    freed = engine.free_bytes
    # A model goes together with its adapters on the same engine.
    by_age = sorted(
        (n for n, a in engine.resident.items() if a.base_model is None),
        key=lambda n: situation.last_used_s.get(n, 0.0),
    )
    for victim in by_age:
        if freed >= artifact.memory_bytes or victim == artifact.base_model:
            break
        family = _family(engine, victim)
        freed += sum(engine.resident[n].memory_bytes for n in family)
        unload.extend(family)
    if freed < artifact.memory_bytes:
        return None
    _apply(engine, artifact, unload)
    return Order(engine.name, artifact.name, tuple(unload))


def _copies(situation: Situation) -> dict[str, int]:
    copies = dict.fromkeys(
        (n for n, a in situation.artifacts.items() if a.base_model is None), 0
    )
    for engine in situation.engines.values():
        for name, artifact in engine.resident.items():
            if artifact.base_model is None:
                copies[name] += 1
    return copies


def _by_need(situation: Situation, copies: dict[str, int]) -> Iterator[str]:
    """Yields models without a copy, then those that lack replicas."""
    cold = {situation.artifacts[n].base_model or n for n in situation.cold}
    yield from sorted(
        (m for m, count in copies.items() if not count),
        key=lambda m: (m not in cold, m),
    )

    def lack(model: str) -> float:
        use = situation.slot_use.get(model, 0.0)
        return use / max(1, copies[model])

    for model in sorted(copies, key=lack, reverse=True):
        # Memory that is free anyway takes replicas before they are needed.
        if 0 < copies[model] < len(situation.engines) and (
            copies[model] < _wanted(situation, model)
            or lack(model) >= SPARE_USE
        ):
            yield model


def _wanted(situation: Situation, model: str) -> int:
    slots = max((e.slots for e in situation.engines.values()), default=1)
    use = situation.slot_use.get(model, 0.0)
    return max(1, math.ceil(use / (slots * TARGET_USE)))


def _room(situation: Situation, engine: EngineState) -> int:
    """Returns free memory less what adapters of resident models still need."""
    missing = sum(
        a.memory_bytes
        for a in situation.artifacts.values()
        if a.base_model in engine.resident and a.name not in engine.resident
    )
    return engine.free_bytes - missing


def _family_bytes(situation: Situation, model: str) -> int:
    return sum(
        a.memory_bytes
        for a in situation.artifacts.values()
        if model in (a.name, a.base_model)
    )


def _load_somewhere(
    situation: Situation, copies: dict[str, int], model: str
) -> Order | None:
    artifact = situation.artifacts[model]
    engines = [e for e in situation.engines.values() if model not in e.resident]
    used = {
        e.failure_domain
        for e in situation.engines.values()
        if model in e.resident
    }
    engines.sort(key=lambda e: (e.failure_domain in used, _use(situation, e)))
    for engine in engines:
        if _room(situation, engine) >= _family_bytes(situation, model):
            _apply(engine, artifact, [])
            copies[model] += 1
            return Order(engine.name, model)
    if copies[model] >= _wanted(situation, model):
        return None
    for engine in engines:
        unload = _make_room(situation, copies, engine, artifact)
        if unload:
            _apply(engine, artifact, unload)
            copies[model] += 1
            return Order(engine.name, model, tuple(unload))
    return None


def _use(situation: Situation, engine: EngineState) -> float:
    """Returns the expected slot use of an engine's models."""
    copies = _copies(situation)
    return sum(
        situation.slot_use.get(n, 0.0) / copies[n]
        for n, a in engine.resident.items()
        if a.base_model is None
    )


def _make_room(
    situation: Situation,
    copies: dict[str, int],
    engine: EngineState,
    artifact: Artifact,
) -> list[str]:
    """Returns what to unload, replicas with the least use first.

    A replica goes only if the model would use less of the slots that stay
    than the one that comes does of its own.
    """
    use = situation.slot_use

    def use_after(model: str) -> float:
        return use.get(model, 0.0) / max(1, copies[model] - 1)

    need = use.get(artifact.name, 0.0) / max(1, copies[artifact.name])
    victims = sorted(
        (m for m in engine.resident if copies.get(m, 0) > 1), key=use_after
    )
    unload: list[str] = []
    freed = _room(situation, engine)
    needed = _family_bytes(situation, artifact.name)
    for victim in victims:
        if freed >= needed:
            break
        if copies[artifact.name] and use_after(victim) > 0.7 * need:
            break
        family = _family(engine, victim)
        freed += sum(engine.resident[n].memory_bytes for n in family)
        unload.extend(family)
    if freed < needed:
        return []
    for name in unload:
        if name in copies:
            copies[name] -= 1
    return unload


def _family(engine: EngineState, model: str) -> list[str]:
    adapters = [n for n, a in engine.resident.items() if a.base_model == model]
    return [*adapters, model]


def _apply(engine: EngineState, artifact: Artifact, unload: list[str]) -> None:
    for name in unload:
        engine.free_bytes += engine.resident.pop(name).memory_bytes
    engine.resident[artifact.name] = artifact
    engine.free_bytes -= artifact.memory_bytes


def _adapter_orders(situation: Situation) -> Iterator[Order]:
    """Yields loads of adapters beside each copy of their model."""
    adapters = [a for a in situation.artifacts.values() if a.base_model]
    for engine in situation.engines.values():
        for adapter in adapters:
            if (
                adapter.base_model in engine.resident
                and adapter.name not in engine.resident
                and adapter.memory_bytes <= engine.free_bytes
            ):
                _apply(engine, adapter, [])
                yield Order(engine.name, adapter.name)
