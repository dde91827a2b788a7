"""The planner's view of an engine, and the orders that it plans."""

from collections import Counter
from typing import NamedTuple

import msgspec

from acaciaspoke.gateway.types import Artifact, EngineSpec
from acaciaspoke.ids import DomainId, ModelId, SoftwareVersion, UpstreamId
from acaciaspoke.platform.engine import OrderAction


class EngineView(msgspec.Struct, kw_only=True):
    """The state of an engine for the planner.

    Attributes:
        models: Models that it holds or is loading, and since when.
        adapters: Adapters that it holds or is loading.
        adapters_in_use: Adapters that running requests use.
        accepts_model_order: Whether it accepts a model order now.
        accepts_adapter_order: Whether it accepts an adapter order now.
        unloading_models: Models that are being unloaded.
        unloading_s: For how long a model has been unloading.
        loading: The model that is being loaded.
        reserved: The model for which memory was freed.
        running: Requests of all hosts, by model.
        cached_models: Models that it can load without the weight store.
        version: The version of its software.
        is_limited: Whether it limits the requests that it takes.
    """

    name: UpstreamId
    failure_domain: DomainId
    slots: int
    models: dict[ModelId, float]
    adapters: frozenset[Artifact]
    accepts_model_order: bool
    accepts_adapter_order: bool
    unloading_models: frozenset[ModelId] = frozenset()
    unloading_s: float = 0.0
    adapters_in_use: frozenset[Artifact] = frozenset()
    loading: ModelId | None = None
    reserved: ModelId | None = None
    running: Counter[ModelId] = msgspec.field(default_factory=Counter)
    cached_models: frozenset[ModelId] = frozenset()
    version: SoftwareVersion = SoftwareVersion("")
    is_limited: bool = False

    @property
    def load_share(self) -> float:
        """Requests as a share of the slots."""
        return self.running.total() / max(1, self.slots)


class PlannedOrder(NamedTuple):
    """An order to send to an engine.

    Attributes:
        reserve_for: The model for which an unload frees memory.
        then_load: The adapter to load once this one is unloaded.
    """

    upstream: UpstreamId
    action: OrderAction
    artifact: Artifact
    reason: str
    reserve_for: ModelId | None = None
    then_load: Artifact | None = None


def free_mb(engine: EngineView, spec: EngineSpec) -> float:
    """Returns the weight memory of an engine that no artifact uses."""
    used = sum(
        spec.models[model].weights_mb
        for model in engine.models
        if model in spec.models
    )
    used += sum(
        spec.models[adapter.model].adapter_mb
        for adapter in engine.adapters
        if adapter.model in spec.models
    )
    return spec.weights_mb - used
