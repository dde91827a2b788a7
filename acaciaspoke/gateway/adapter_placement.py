"""Plans which engine holds which adapter.

There are more adapters than fit beside their models. An adapter is loaded when
a request waits for it, and replaces one that no request uses. All functions are
pure.
"""

from collections.abc import Collection, Iterator, Mapping

import xxhash

from acaciaspoke.gateway.demand import TotalDemand
from acaciaspoke.gateway.engineview import EngineView, PlannedOrder, free_mb
from acaciaspoke.gateway.messages import VersionDemand
from acaciaspoke.gateway.replicas import TARGET_SHARE
from acaciaspoke.gateway.types import Artifact, EngineSpec
from acaciaspoke.ids import UpstreamId
from acaciaspoke.platform.engine import OrderAction


def plan_adapters(
    engines: list[EngineView],
    demands: Mapping[Artifact, TotalDemand],
    spec: EngineSpec,
    version_demand: Collection[VersionDemand] = (),
) -> Iterator[PlannedOrder]:
    """Yields the adapter orders to send now, at most one for each engine.

    Args:
        engines: The engines of a service.
        demands: The demand for their artifacts.
        spec: The properties that the engines share.
        version_demand: Requests that wait for engines of their version.
    """
    available = {
        engine.name: engine
        for engine in engines
        if engine.accepts_adapter_order
    }
    waiting: list[tuple[TotalDemand | VersionDemand, list[EngineView]]] = [
        (total, engines)
        for artifact, total in demands.items()
        if artifact.adapter is not None and total.waiting
    ]
    waiting += [
        (item, [each for each in engines if each.version == item.version])
        for item in version_demand
        if item.artifact.adapter is not None
    ]
    waiting.sort(key=lambda entry: (entry[0].priority, -entry[0].oldest_s))
    for total, suitable in waiting:
        order = _plan_adapter(
            total.artifact, suitable, available, demands, spec
        )
        if order is not None:
            del available[order.upstream]
            yield order


def _plan_adapter(
    artifact: Artifact,
    engines: list[EngineView],
    available: Mapping[UpstreamId, EngineView],
    demands: Mapping[Artifact, TotalDemand],
    spec: EngineSpec,
) -> PlannedOrder | None:
    holders = [engine for engine in engines if artifact in engine.adapters]
    if any(engine.load_share < 1 for engine in holders):
        return None  # It runs as soon as its host receives the notice.
    candidates = sorted(
        (
            engine
            for engine in engines
            if engine.name in available
            and artifact.model in engine.models
            and artifact.model not in engine.unloading_models
            and artifact not in engine.adapters
        ),
        key=lambda engine: (
            engine.load_share >= TARGET_SHARE,
            len(engine.adapters) >= spec.adapter_slots,
            -_preference(artifact, engine),
        ),
    )
    for engine in candidates:
        adapter_mb = spec.models[artifact.model].adapter_mb
        fits = free_mb(engine, spec) >= adapter_mb
        if fits and len(engine.adapters) < spec.adapter_slots:
            return PlannedOrder(
                engine.name, OrderAction.LOAD, artifact, "waited for"
            )
        victim = _idle_adapter(engine, demands)
        if victim is not None:
            return PlannedOrder(
                engine.name,
                OrderAction.UNLOAD,
                victim,
                f"for {artifact}",
                then_load=artifact,
            )
    return None


def _preference(artifact: Artifact, engine: EngineView) -> int:
    key = f"{artifact.model}\0{artifact.adapter}\0{engine.name}"
    return xxhash.xxh32_intdigest(key.encode())


def _idle_adapter(
    engine: EngineView, demands: Mapping[Artifact, TotalDemand]
) -> Artifact | None:
    idle = [
        (demands[adapter].rate_per_s if adapter in demands else 0.0, adapter)
        for adapter in engine.adapters - engine.adapters_in_use
        if adapter not in demands or not demands[adapter].waiting
    ]
    return min(idle)[1] if idle else None
