"""Decodes documents of the platform's store and reports of engines."""

from typing import Annotated, Any

import msgspec
import xxhash
from loguru import logger

from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.gateway.types import (
    Artifact,
    CallerLimits,
    Configuration,
    EngineReport,
    EngineSpec,
    ModelSpec,
    Route,
    RouteKind,
    Service,
    Target,
    UpstreamRecord,
    UpstreamState,
)
from acaciaspoke.ids import (
    AdapterId,
    ConfigVersion,
    DomainId,
    ModelId,
    ServiceId,
    SoftwareVersion,
    UpstreamId,
)
from acaciaspoke.platform.bounds import MAX_INTEGER, Count, Integer
from acaciaspoke.platform.workspaces import decode_workspaces
from acaciaspoke.util.decoding import decode_json
from acaciaspoke.util.net import split_address

# Slots of an upstream; a number beyond this is an error of its writer.
MAX_SLOTS = 1_000_000

Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]


# Versions are part of the records of streams; a hash replaces a longer one.
MAX_VERSION_LENGTH = 128


class DocumentError(AcaciaspokeError):
    """A document is invalid."""


class _Document(msgspec.Struct, frozen=True, kw_only=True, rename="kebab"):
    """Common decoding options; unknown fields are ignored."""


class _Split(_Document, kw_only=True):
    service: str
    weight: float = 1.0


class _Route(_Document, kw_only=True):
    name: str = ""
    host: str
    prefix: str
    kind: str
    # A route has either one service or a split.
    service: str = ""
    traffic_split: tuple[_Split, ...] = ()
    timeout_ms: float
    target_latency_ms: float = 1000.0
    target_gap_ms: float = 0.0
    priority: Integer = 0
    max_attempts: int = 1
    resumable: bool = False
    public: bool = False
    # Earlier releases ignored this field, so no value of it is an error.
    session_affinity: Any = False


class _Model(_Document, kw_only=True):
    name: str
    weights_mb: float = 0.0
    load_time_s: float = 1.0
    # Time to load from the engine's disk; host memory is slightly faster.
    disk_s: float = 0.5
    adapter_mb: float = 0.0


class _Engine(_Document, kw_only=True):
    slots: int
    kv_capacity_tokens: int
    # An engine's memory for weights and adapters, not the size of a model.
    weights_mb: float
    adapter_slots: int = 0
    loads_per_s: float = 1.0
    # Whether another engine can keep a KV backup of a run.
    backups: bool = False
    # How long a KV backup is kept after its run broke off. The only field name
    # with an underscore.
    handle_s: float = msgspec.field(name="handle_s", default=0.0)
    models: tuple[_Model, ...] = ()


class _Service(_Document, kw_only=True):
    name: str
    engine: _Engine | None = None


class _Limits(_Document, kw_only=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 15000.0


class _Configuration(_Document, kw_only=True):
    version: Integer
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    # Decoded one by one, so that an invalid entry does not affect the others.
    tenants: tuple[msgspec.Raw, ...] | None = None


class _LoadedModel(_Document, kw_only=True):
    name: str
    version: int = 0
    adapters: tuple[Any, ...] = ()


class _CachedModels(_Document, kw_only=True):
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()

    def models(self) -> frozenset[ModelId]:
        return frozenset(map(ModelId, (*self.in_memory, *self.on_disk)))


class _Server(_Document, kw_only=True):
    # The field "seq" of this document counts heartbeats, unlike _Report.seq.
    service: str
    address: str
    zone: str
    slots: Slots
    state: str
    # Unix time of the process's start, in milliseconds.
    born: int = 0
    seq: Count = 0
    # The version of its software; that of a model is in _LoadedModel.
    version: Any = ""
    models: tuple[_LoadedModel, ...] = ()
    at_hand: _CachedModels = _CachedModels()


class _Report(_Document, kw_only=True):
    models: tuple[_LoadedModel, ...] = ()
    # Whether a model is being loaded or unloaded; not about requests.
    busy: bool = False
    born: int = 0
    # Orders that the engine has accepted since its start.
    seq: Count
    at_hand: _CachedModels = _CachedModels()


def decode_configuration(data: bytes) -> Configuration:
    """Decodes the operator's configuration.

    Raises:
        DocumentError: If it is invalid.
    """
    document = _decode(data, _Configuration)
    return Configuration(
        version=ConfigVersion(document.version),
        routes=tuple(map(_to_route, document.routes)),
        services={
            ServiceId(service.name): _to_service(service)
            for service in document.services
        },
        limits=CallerLimits(
            max_header_bytes=document.limits.max_header_bytes,
            max_body_bytes=document.limits.max_body_bytes,
            header_timeout_s=document.limits.header_timeout_ms / 1000,
            idle_timeout_s=document.limits.idle_timeout_ms / 1000,
        ),
        workspaces=decode_workspaces(document.tenants or ()),
    )


def _to_route(route: _Route) -> Route:
    try:
        kind = RouteKind(route.kind)
    except ValueError:
        # Requests of an unknown kind must not be retried.
        logger.warning("route {}: unknown kind {!r}", route.name, route.kind)
        kind = RouteKind.UNSAFE
    targets = tuple(
        Target(ServiceId(part.service), part.weight)
        for part in route.traffic_split
    )
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=kind,
        targets=targets or (Target(ServiceId(route.service), 1.0),),
        resumable=route.resumable,
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.target_latency_ms / 1000,
        gap_objective_s=route.target_gap_ms / 1000,
        priority=route.priority,
        max_attempts=route.max_attempts,
        is_public=route.public,
        has_session_affinity=bool(route.session_affinity),
    )


def _to_service(service: _Service) -> Service:
    engine = service.engine
    return Service(
        name=ServiceId(service.name),
        engine=engine
        and EngineSpec(
            slots=engine.slots,
            memory_tokens=engine.kv_capacity_tokens,
            weights_mb=engine.weights_mb,
            adapter_slots=engine.adapter_slots,
            loads_per_s=engine.loads_per_s,
            kv_backup_retention_s=engine.handle_s if engine.backups else 0.0,
            models={
                ModelId(model.name): ModelSpec(
                    name=ModelId(model.name),
                    weights_mb=model.weights_mb,
                    load_s=model.load_time_s,
                    cached_load_s=model.disk_s,
                    adapter_mb=model.adapter_mb,
                )
                for model in engine.models
            },
        ),
    )


def decode_upstream(upstream: UpstreamId, data: bytes) -> UpstreamRecord:
    """Decodes the record that an upstream registered.

    Raises:
        DocumentError: If it is invalid.
    """
    document = _decode(data, _Server)
    if not (upstream.isascii() and upstream.isprintable()):
        raise DocumentError(f"{upstream!r} is no name of an upstream")
    try:
        split_address(document.address)
        state = UpstreamState(document.state)
    except ValueError as error:
        raise DocumentError(f"record of {upstream}: {error}") from error
    return UpstreamRecord(
        upstream=upstream,
        service=ServiceId(document.service),
        address=document.address,
        failure_domain=DomainId(document.zone),
        state=state,
        slots=document.slots,
        started_ms=document.born,
        heartbeat=document.seq,
        version=_to_software_version(document.version),
        artifacts=_to_artifacts(document.models),
        cached_models=document.at_hand.models(),
    )


def _to_software_version(value: Any) -> SoftwareVersion:
    """Returns a version, which is only compared; empty if it names none."""
    is_number = isinstance(value, int | float) and abs(value) <= MAX_INTEGER
    if not (is_number or isinstance(value, str)):
        return SoftwareVersion("")
    text = str(value)
    if len(text) > MAX_VERSION_LENGTH:
        text = xxhash.xxh3_128_hexdigest(text.encode("utf-8", "replace"))
    return SoftwareVersion(text)


def decode_report(data: bytes) -> EngineReport:
    """Decodes an engine's report of its state.

    Raises:
        DocumentError: If it is invalid.
    """
    document = _decode(data, _Report)
    return EngineReport(
        artifacts=_to_artifacts(document.models),
        order_seq=document.seq,
        is_order_in_progress=document.busy,
        started_ms=document.born,
        cached_models=document.at_hand.models(),
    )


def _to_artifacts(models: tuple[_LoadedModel, ...]) -> frozenset[Artifact]:
    artifacts = set()
    for model in models:
        artifacts.add(Artifact(ModelId(model.name)))
        for adapter in model.adapters:
            name = (
                adapter if isinstance(adapter, str) else _adapter_name(adapter)
            )
            artifacts.add(Artifact(ModelId(model.name), AdapterId(name)))
    return frozenset(artifacts)


def _adapter_name(adapter: Any) -> str:
    if isinstance(adapter, dict) and isinstance(adapter.get("name"), str):
        return adapter["name"]
    raise DocumentError(f"an adapter has no name: {adapter!r}")


def _decode(data: bytes, kind: type) -> Any:
    try:
        return decode_json(data, kind)
    except msgspec.MsgspecError as error:
        raise DocumentError(str(error)) from error
