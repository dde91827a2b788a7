"""Types that the gateway's modules share."""

from enum import Enum
from typing import NamedTuple

import msgspec

from acaciaspoke.ids import (
    AdapterId,
    ConfigVersion,
    DomainId,
    HostId,
    ModelId,
    PartId,
    RequestId,
    ServiceId,
    SoftwareVersion,
    UpstreamId,
    WorkspaceId,
)

# Priorities of workspaces and of routes beyond these count as the last one.
PRIORITY_LEVELS = 10


class RouteKind(Enum):
    """Whether requests of a route may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class Artifact(NamedTuple):
    """A model, or an adapter of it."""

    model: ModelId
    adapter: AdapterId | None = None

    @property
    def base(self) -> "Artifact":
        """The model without the adapter."""
        return Artifact(self.model)

    def __str__(self) -> str:
        if self.adapter is None:
            return self.model
        return f"{self.model}/{self.adapter}"


class Target(NamedTuple):
    """A service of a route, and its share of the requests."""

    service: ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests of a host and path prefix are routed.

    Attributes:
        resumable: Whether a broken stream may resume at another upstream.
        timeout_s: Longest time until the complete response.
        objective_s: Latency objective, for streams up to the first event.
        gap_objective_s: Objective for the gap between events; 0 if the route
            is not a stream.
        priority: Priority of the requests; 0 is the most urgent.
        max_attempts: How many upstreams may run one request.
        is_public: Whether requests need no API key.
        has_session_affinity: Whether requests that list the parts of their
            prompts go to engines that hold these.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    resumable: bool = False
    timeout_s: float
    objective_s: float
    gap_objective_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    has_session_affinity: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable


class ModelSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The memory and load times of a model.

    Attributes:
        load_s: Time to load it from the weight store.
        cached_load_s: Time to load it from host memory or disk.
    """

    name: ModelId
    weights_mb: float
    load_s: float
    cached_load_s: float = 0.5
    adapter_mb: float = 0.0


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Properties that all engines of a service share.

    Attributes:
        loads_per_s: Loads a second that the weight store allows for all engines
            together.
        kv_backup_retention_s: How long the KV backup of an interrupted request
            is kept; 0 if there are no backups.
    """

    slots: int
    memory_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    kv_backup_retention_s: float = 0.0
    models: dict[ModelId, ModelSpec]


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of upstreams that serve the same requests."""

    name: ServiceId
    engine: EngineSpec | None = None


class Quota(msgspec.Struct, frozen=True, kw_only=True):
    """What a workspace may send through all hosts together.

    Attributes:
        tokens_per_s: Rate at which tokens accrue.
        burst_tokens: Tokens that accrue at most while none are used.
        plain_tokens: Tokens of a request that states none.
        counts_tokens: Whether a request counts by the tokens that it states;
            otherwise each request counts as one token.
    """

    tokens_per_s: float
    burst_tokens: float
    plain_tokens: int = 1
    counts_tokens: bool = True


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A group of callers with API keys of its own.

    Attributes:
        key_digests: Digests of its API keys.
        priority: Goes before the priority of routes; None if it has none.
        quota: None if it may send any number of requests.
    """

    name: WorkspaceId
    key_digests: frozenset[bytes]
    priority: int | None = None
    quota: Quota | None = None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and duration of a caller's request."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the routes, services, limits and workspaces.

    Attributes:
        workspaces: Empty if requests need no API key.
    """

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: dict[ServiceId, Service]
    limits: CallerLimits
    workspaces: tuple[Workspace, ...] = ()

    def has_model(self, service_id: ServiceId, model: ModelId) -> bool:
        """Returns whether engines of a service may load a model."""
        service = self.services.get(service_id)
        engine = service.engine if service else None
        return engine is not None and model in engine.models


class UpstreamState(Enum):
    """Whether an upstream may get new work."""

    READY = "ready"
    DRAINING = "draining"


class UpstreamRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream's registered description of itself.

    Attributes:
        started_ms: Start of the process; distinguishes two boots under one id.
        heartbeat: Number of the heartbeat that wrote the record; 0 if unknown.
        version: Version of its software; empty if its record names none.
        artifacts: Models and adapters that it holds.
        cached_models: Models whose weights are in host memory or on disk.
    """

    upstream: UpstreamId
    service: ServiceId
    address: str
    failure_domain: DomainId
    state: UpstreamState
    slots: int
    started_ms: int = 0
    heartbeat: int = 0
    version: SoftwareVersion = SoftwareVersion("")
    artifacts: frozenset[Artifact] = frozenset()
    cached_models: frozenset[ModelId] = frozenset()


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's response to a state query.

    Attributes:
        order_seq: Number of orders that the engine has accepted.
        is_order_in_progress: Whether a model order is in progress.
        started_ms: Start of the process.
        cached_models: Models whose weights are in host memory or on disk.
    """

    artifacts: frozenset[Artifact]
    order_seq: int
    is_order_in_progress: bool
    started_ms: int = 0
    cached_models: frozenset[ModelId] = frozenset()


class WaitReason(Enum):
    """Why a request waits.

    ``REPLICA`` means that no upstream holds the artifact, ``UNREACHABLE`` that
    those which do are paused or were tried already, ``SLOT`` that they are
    full, ``PREFILL`` that they prefill other prompts, ``LIMIT`` that they limit
    the requests that they take, and ``ROOM`` that they are brittle and other
    hosts have the places there.
    """

    REPLICA = "copy"
    UNREACHABLE = "reach"
    SLOT = "slot"
    PREFILL = "reading"
    LIMIT = "limit"
    ROOM = "room"


class BackupEngine(NamedTuple):
    """An engine that receives the KV backup of a running request."""

    upstream: UpstreamId
    address: str


class ResumePoint(NamedTuple):
    """An engine at which an interrupted run can go on.

    Attributes:
        memory: Address of an engine and the name under which it has the memory
            of the run.
        returns_to: The engine that has stopped the run and has its memory, too,
            so that it can come back from this one; None if it cannot.
        is_confirmed: Whether that one has said that the memory is there.
    """

    upstream: UpstreamId
    address: str
    memory: str
    returns_to: BackupEngine | None = None
    is_confirmed: bool = False


class PromptPart(NamedTuple):
    """A part of a prompt.

    Attributes:
        tokens: Its size; 0 if it is not known.
    """

    id: PartId
    tokens: int


class HeldPart(NamedTuple):
    """A shared part of prompts that an engine has just processed.

    Attributes:
        artifact: Hash of the artifact and of the start of the engine's process
            (32 bits).
        chain: Hash of the ids of this part and those before it (64 bits).
    """

    artifact: int
    chain: int


class Request(msgspec.Struct, kw_only=True, eq=False):
    """A caller's request from its arrival until it ends.

    Attributes:
        arrived_s: When its headers had arrived.
        deadline_s: When it must be answered.
        artifact: The model or adapter that it needs.
        affinity: Key of the session or shared prompt prefix.
        shared_parts: Parts of the prompt that other requests may share.
        tried: Upstreams that did not serve it.
        unreached: Upstreams to which it could not be sent; once they can be
            reached, they get it if no other one can.
        starts: Number of upstreams that may have run it.
        last_event_s: When its caller got the last event of a stream that broke
            off; None if there was none.
        has_retry: Whether a retry of it is counted already.
        wait_reason: Why it waits, or waited last.
        backup_engine: The engine with the KV backup of the current attempt.
        stopped_at: The engine that has stopped its run, while another one goes
            on with it.
        resume_at: The engine at which it goes on with its run.
        resume_later_at: Other engines for this, in order of preference.
        resume_again_at: Engines that have not taken it, and may do so later.
        resume_pauses: How often it has waited to ask one of them again.
        version: The software version that began its stream, and the only one
            that can go on with it; None before its first event.
        continues: The caller's earlier request that brought the first event of
            the stream, if this one goes on with it.
        forwarded_by: The host that has forwarded it to this one; None if its
            caller sent it here.
        starts_elsewhere: How often it had been sent to an upstream before.
        tried_hosts: Hosts to which it was forwarded, and that did not serve it.
        workspace: The workspace that holds its API key; None if it has none.
        states_tokens: Whether its caller has stated the numbers of tokens.
        prompt_parts: Parts of the prompt in order; empty if the route does not
            place requests by them.
        prompt_chains: A hash of the parts up to each one, and its tokens; None
            until it is needed.
        expected_cached_tokens: Prompt tokens that the chosen engine probably
            holds.
        cached_tokens: Those of which that is confident.
        is_off_session: Whether the chosen engine is not that of its session.
        is_permitted: Whether the configuration in force permits further
            attempts; otherwise its API key was removed.
        is_probe: Whether it is admitted although the mean duration of its route
            excludes it.
    """

    id: RequestId
    route: Route
    service: ServiceId
    arrived_s: float
    deadline_s: float
    artifact: Artifact | None = None
    affinity: str = ""
    shared_parts: tuple[PartId, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    fingerprint: int = 0
    tried: set[UpstreamId] = msgspec.field(default_factory=set)
    unreached: set[UpstreamId] = msgspec.field(default_factory=set)
    starts: int = 0
    last_event_s: float | None = None
    has_retry: bool = False
    sent_s: float = 0.0
    wait_reason: WaitReason | None = None
    backup_engine: BackupEngine | None = None
    stopped_at: BackupEngine | None = None
    resume_at: ResumePoint | None = None
    resume_later_at: list[ResumePoint] = msgspec.field(default_factory=list)
    resume_again_at: list[ResumePoint] = msgspec.field(default_factory=list)
    resume_pauses: int = 0
    version: SoftwareVersion | None = None
    continues: RequestId | None = None
    forwarded_by: HostId | None = None
    starts_elsewhere: int = 0
    tried_hosts: set[HostId] = msgspec.field(default_factory=set)
    workspace: Workspace | None = None
    states_tokens: bool = False
    prompt_parts: tuple[PromptPart, ...] = ()
    prompt_chains: tuple[tuple[int, int], ...] | None = None
    expected_cached_tokens: float = 0.0
    cached_tokens: int = 0
    is_off_session: bool = False
    is_permitted: bool = True
    is_probe: bool = False

    @property
    def has_sized_parts(self) -> bool:
        """Whether it is placed by the parts of its prompt."""
        return self.artifact is not None and bool(self.prompt_parts)

    @property
    def uncached_tokens(self) -> int:
        """Prompt tokens that the chosen engine has to process."""
        return max(0, self.prompt_tokens - self.cached_tokens)

    @property
    def priority(self) -> int:
        """Its rank in queues; 0 is the most urgent.

        The priority of its workspace goes before that of its route.
        """
        if self.workspace is None:
            return self.route.priority
        first, second = self._priorities
        return PRIORITY_LEVELS * first + second

    @property
    def engine_priority(self) -> int:
        """Its priority at an engine, which knows few levels."""
        if self.workspace is None:
            return self.route.priority
        first, second = (min(level, 2) for level in self._priorities)
        return 3 * first + second

    @property
    def _priorities(self) -> tuple[int, int]:
        own = self.workspace.priority
        levels = (
            self.route.priority if own is None else own,
            self.route.priority,
        )
        first, second = (
            min(max(level, 0), PRIORITY_LEVELS - 1) for level in levels
        )
        return first, second

    @property
    def objective_s(self) -> float:
        """The time until which a response meets its latency objective."""
        return self.arrived_s + self.route.objective_s
