"""Schema of the configuration that operators patch.

The configuration is one JSON object. Every mapping is keyed by id, so that a
merge patch can add, change or delete single entries.
"""

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from acaciaspoke.ids import (
    AccountId,
    AdapterId,
    ArtifactName,
    ConfigVersion,
    DomainId,
    ModelId,
    RankId,
    ServiceId,
    UpstreamId,
)

Bytes = Annotated[int, Meta(ge=0, le=2**62)]
ArtifactBytes = Annotated[int, Meta(ge=1, le=2**62)]
Count = Annotated[int, Meta(ge=1, lt=2**31)]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}\Z")]
Operation = Annotated[str, Meta(pattern=r"^[A-Z]+ /\S*\Z")]
Positive = Annotated[float, Meta(gt=0)]
RefusalStatus = Annotated[int, Meta(ge=400, le=599)]
Share = Annotated[float, Meta(ge=0, le=1)]
Version = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z")]


class ServiceKind(Enum):
    """The kind of upstreams of a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class _Base(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Common options of the configuration types."""


class Rank(_Base):
    """A priority class with its targets.

    Attributes:
        level: 0 is the most urgent.
        floor_share: Share of dispatches guaranteed while it has work, 0 to 1.
        first_token_target_s: Target for the first token or a plain response.
        token_gap_target_ms: Target for the time between two tokens.
        attainment_target: Share of requests that should meet the targets.
        worth: Weight of one request when placement compares ranks.
        queue_limit: Maximum of waiting requests in one entry process.
        default_deadline_s: Deadline of requests that specify none.
    """

    level: Annotated[int, Meta(ge=0, le=1000)]
    floor_share: Share = 0.05
    first_token_target_s: Positive = 2.0
    token_gap_target_ms: Positive = 45.0
    attainment_target: Share = 0.95
    worth: Positive = 1.0
    queue_limit: Count = 256
    default_deadline_s: Positive = 60.0


class Service(_Base):
    """A group of interchangeable upstreams.

    Attributes:
        kind: Model engines, or a plain service routed to by path.
        non_idempotent: ``METHOD /path-prefix`` of calls that may run only once.
        refusal_statuses: Statuses that mean that an upstream refused the
            request before running it.
        timeout_s: Longest time between two reads of a response.
        echoes_request_id: Whether upstreams return ``X-Request-Id``.
    """

    kind: ServiceKind
    non_idempotent: tuple[Operation, ...] = ()
    refusal_statuses: tuple[RefusalStatus, ...] = (429, 503)
    timeout_s: Positive = 30.0
    echoes_request_id: bool = True


class Model(_Base):
    """A base model.

    Attributes:
        service: The service whose engines run it.
        memory_bytes: Accelerator memory of one replica.
        version: The version to serve.
    """

    service: ServiceId
    memory_bytes: ArtifactBytes
    version: Version = "1"


class Adapter(_Base):
    """An adapter that is loaded in addition to its base model."""

    model: ModelId
    memory_bytes: ArtifactBytes
    version: Version = "1"


class Upstream(_Base):
    """A model engine or a plain service instance.

    Attributes:
        address: ``ip:port``.
        memory_bytes: Accelerator memory for models and adapters; 0 if plain.
        slots: Number of requests that it runs concurrently.
        checks_fencing: Whether it refuses orders with an old fencing token.
    """

    service: ServiceId
    failure_domain: DomainId
    address: str
    memory_bytes: Bytes = 0
    slots: Count = 16
    checks_fencing: bool = False


class Account(_Base):
    """An account shared by callers.

    Attributes:
        key_sha256: Hex digest of its bearer key.
    """

    key_sha256: Digest


class WeightStore(_Base):
    """Limits of the platform's weight store and of adapter loading."""

    model_loads_per_s: Positive = 3.0
    concurrent_model_loads: Count = 4
    adapters_in_transit: Count = 32


class Config(_Base):
    """The whole configuration of one version."""

    version: ConfigVersion = ConfigVersion(0)
    ranks: dict[RankId, Rank] = {}
    services: dict[ServiceId, Service] = {}
    models: dict[ModelId, Model] = {}
    adapters: dict[AdapterId, Adapter] = {}
    upstreams: dict[UpstreamId, Upstream] = {}
    accounts: dict[AccountId, Account] = {}
    weight_store: WeightStore = WeightStore()


class Artifact(msgspec.Struct, frozen=True):
    """A version of a model or adapter that engines can load."""

    name: ArtifactName
    version: str
    memory_bytes: int
    base_model: ArtifactName | None = None


def artifact_of(
    config: Config, name: ModelId | AdapterId | ArtifactName
) -> Artifact | None:
    """Returns the artifact in force under ``name``, or None if unknown."""
    model = config.models.get(ModelId(name))
    if model is not None:
        return Artifact(ArtifactName(name), model.version, model.memory_bytes)
    adapter = config.adapters.get(AdapterId(name))
    if adapter is not None:
        return Artifact(
            ArtifactName(name),
            adapter.version,
            adapter.memory_bytes,
            ArtifactName(adapter.model),
        )
    return None
