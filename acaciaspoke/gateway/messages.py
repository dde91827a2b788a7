"""Messages between gateways.

They are sent as datagrams, which may be lost, duplicated or delayed.

The version of a lease's row is sent as the store's number and its era, since
hosts of earlier releases compare the number with those that they read.
"""

import math
from typing import NamedTuple

import msgspec

from acaciaspoke.clients.table import Condition, Put, Transaction
from acaciaspoke.gateway.fairness.shares import WorkspaceTokens
from acaciaspoke.gateway.message_base import (
    BaseMessage,
    Count,
    Epoch,
    Era,
    Number,
    Share,
    Time,
)
from acaciaspoke.gateway.part_suspects import PartEvidence
from acaciaspoke.gateway.peer_records.messages import RecordKept
from acaciaspoke.gateway.place_allocation import PlaceUse
from acaciaspoke.gateway.quotas.messages import (
    QuotaAnswer,
    QuotaAsk,
    QuotaSettlement,
)
from acaciaspoke.gateway.slowdown import SlowdownReport
from acaciaspoke.gateway.types import Artifact, HeldPart
from acaciaspoke.gateway.upstream_limits import LimitReport
from acaciaspoke.ids import (
    HostId,
    ModelId,
    PartId,
    ServiceId,
    SoftwareVersion,
    UpstreamId,
    WorkspaceId,
)
from acaciaspoke.platform.versions import to_version


class LoadDigest(BaseMessage, kw_only=True):
    """A host's loads at the upstreams, and its waiting requests.

    It goes to all hosts or, in a large deployment, to the aggregator.

    Attributes:
        in_flight: Number of requests at each upstream.
        reading: Prompt tokens in prefill at each engine.
        waiting: Number of waiting requests, by model and priority.
        unreachable: Upstreams to which several connections in a row failed.
        slow: Engines that produce events far more slowly than others.
        configuration: The version in force.
        crashes: Number of attempts that ended with a lost connection, by
            fingerprint of the request.
        suspected_parts: What is known of prompt parts that may crash engines.
        limits: What is known of upstreams that limit their requests. Hosts of
            earlier releases neither send nor read it.
        reached: Upstreams that several hosts report as unreachable, and that
            the host has reached lately.
        detached: The hosts that serve no requests for others, as they have lost
            their links to upstreams or have no configuration.
        stopping: The hosts that were told to stop; they serve requests of
            others only if no other host can.
        brittle: What is known of upstreams that say that they are brittle, with
            the refusals a second that they survive in place of a limit.
        slowdowns: What upstreams have just reported about how long work takes.
            Hosts of earlier releases neither send nor read it.
        held_parts: Shared prompt parts that engines have just processed. Hosts
            of earlier releases neither send nor read it.
        workspaces: Tokens of requests by workspace, if there are workspaces.
        waiting_over: Those waiting that are beyond their workspace's share.
    """

    in_flight: dict[UpstreamId, int] = {}
    reading: dict[UpstreamId, int] = {}
    waiting: dict[ModelId, dict[int, int]] = {}
    unreachable: tuple[UpstreamId, ...] = ()
    slow: tuple[UpstreamId, ...] = ()
    configuration: int = 0
    crashes: dict[int, int] = {}
    suspected_parts: dict[PartId, PartEvidence] = {}
    limits: dict[UpstreamId, LimitReport] = {}
    reached: tuple[UpstreamId, ...] = ()
    detached: tuple[HostId, ...] = ()
    stopping: tuple[HostId, ...] = ()
    brittle: dict[UpstreamId, LimitReport] = {}
    slowdowns: dict[UpstreamId, SlowdownReport] = {}
    held_parts: dict[UpstreamId, tuple[HeldPart, ...]] = {}
    workspaces: dict[WorkspaceId, WorkspaceTokens] = {}
    waiting_over: dict[ModelId, dict[int, int]] = {}


class ReadProgress(NamedTuple):
    """How current a host's upstreams table is.

    Attributes:
        newest_version: Version of the newest change that it knows of.
        age_s: Time since the table was last read; later changes may be unknown.
    """

    newest_version: int
    age_s: float


class DomainLoads(LoadDigest, kw_only=True):
    """The sum of many hosts' digests; from one aggregator to the others.

    Attributes:
        members: The hosts that sent a digest lately.
        rows_read: How current the aggregator's upstreams table is.
    """

    members: tuple[HostId, ...] = ()
    rows_read: ReadProgress | None = None


class LoadSummary(LoadDigest, kw_only=True):
    """The sum of all other hosts' digests; from an aggregator to a host.

    Attributes:
        silent: Hosts that have sent nothing to any aggregator lately.
        rows_read: How current the aggregator's upstreams table is.
    """

    silent: tuple[HostId, ...] = ()
    rows_read: ReadProgress | None = None


class SendNotice(BaseMessage, kw_only=True):
    """A request that a host has just sent to an engine; goes where digests go.

    Without it, hosts that send to the same engine within a tenth of a second
    would not know of each other's prompts. The next digest includes it.

    Attributes:
        upstream: The engine.
        prompt_tokens: Prompt tokens that the engine has to process.
    """

    upstream: UpstreamId
    prompt_tokens: int = 0


class SendBatch(BaseMessage, kw_only=True):
    """Requests that hosts have just sent; from an aggregator.

    Attributes:
        sends: The engine and the prompt tokens of each request.
        is_summary: Whether the batch adds to a ``LoadSummary``; otherwise it
            adds to ``DomainLoads``.
    """

    sends: tuple[tuple[UpstreamId, int], ...]
    is_summary: bool

    def notices(self) -> list[SendNotice]:
        """Returns a notice for each request, sent by the aggregator."""
        return [
            SendNotice(
                host=self.host,
                boot=self.boot,
                sequence=self.sequence,
                upstream=upstream,
                prompt_tokens=prompt_tokens,
            )
            for upstream, prompt_tokens in self.sends
        ]


class RelayedRow(NamedTuple):
    """A change of a row; the value is None if the row was removed."""

    key: str
    value: bytes | None
    version: int


class RowChanges(BaseMessage, kw_only=True):
    """Changes of the upstreams' table; from an aggregator to a host.

    Attributes:
        after: The version that the changes follow.
        version: The version up to which the changes are complete.
    """

    after: int
    version: int
    rows: tuple[RelayedRow, ...]


class ArtifactDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one host's callers for an artifact.

    Attributes:
        arrivals: Number of requests since the process started.
        waiting: Number of requests that wait now.
        priority: Priority of the most urgent waiting request.
        oldest_s: How long the oldest request has waited.
        prompt_tokens: Prompt tokens of all arrivals.
        remaining_s: The longest time for which a waiting request can go on
            waiting until it is sent to an upstream.
        patience_s: The shortest time for which new requests of the routes of
            the waiting ones wait.
    """

    service: ServiceId
    artifact: Artifact
    arrivals: int
    waiting: int
    priority: int
    oldest_s: float
    prompt_tokens: int = 0
    remaining_s: float = math.inf
    patience_s: float = math.inf


class VersionDemand(msgspec.Struct, frozen=True, array_like=True):
    """Waiting requests that only engines of one software version can run.

    Attributes:
        waiting: Number of requests that wait now.
        priority: Priority of the most urgent one.
        oldest_s: How long the oldest one has waited.
        remaining_s: The longest time for which one of them can go on waiting
            until it is sent to an engine.
    """

    service: ServiceId
    artifact: Artifact
    version: SoftwareVersion
    waiting: int
    priority: int
    oldest_s: float
    remaining_s: float


class DemandDigest(BaseMessage, kw_only=True):
    """Demand for and use of artifacts; to the leader.

    Attributes:
        demand: Demand for each artifact that was requested lately, without the
            requests that ``version_demand`` counts as waiting.
        version_demand: Requests that wait because no engine of the only version
            that can run them holds their artifact. Hosts of earlier releases
            neither send nor read it.
        running: Number of requests at each engine, by artifact.
    """

    demand: tuple[ArtifactDemand, ...] = ()
    version_demand: tuple[VersionDemand, ...] = ()
    running: dict[UpstreamId, tuple[tuple[Artifact, int], ...]] = {}


class PlacementNotice(BaseMessage, kw_only=True):
    """Sent by the leader to all hosts, at intervals also without changes.

    Attributes:
        epoch: The epoch of the lease under which the orders were given.
        lease_value: The lease's row as the sender last wrote it.
        lease_revision: The store's number of the version of that row; 0 if it
            is not known.
        lease_era: The era of that version.
        loaded: Artifacts that were loaded lately.
        withdrawn: Artifacts that are being unloaded or were lately.
        coming_s: Time until each model that is being loaded is ready.
    """

    epoch: int
    lease_value: bytes = b""
    lease_revision: Number = 0
    lease_era: Era = 0
    loaded: dict[UpstreamId, tuple[Artifact, ...]] = {}
    withdrawn: dict[UpstreamId, tuple[Artifact, ...]] = {}
    coming_s: dict[ModelId, float] = {}

    @property
    def lease_version(self) -> int:
        """The version of the lease's row."""
        return to_version(self.lease_era, self.lease_revision)


class RowRequest(BaseMessage, kw_only=True):
    """Asks another host to read or write a row in the store.

    Attributes:
        number: Identifies the call at the sender.
        value: The value to write; None to read.
        expected_revision: The store's number of the version that the row must
            have for the write; 0 if there must be none.
        expected_era: The era of that version.
    """

    number: int
    key: str
    value: bytes | None = None
    expected_revision: Number = 0
    expected_era: Era = 0

    def to_transaction(self) -> Transaction:
        """Returns the compare-and-put."""
        expected = self.expected_revision and to_version(
            self.expected_era, self.expected_revision
        )
        return Transaction(
            (Condition(self.key, expected),),
            (Put(self.key, self.value or b""),),
        )


class RowAnswer(BaseMessage, kw_only=True):
    """The result of a ``RowRequest``.

    Attributes:
        asked_by: The host that sent the request.
        number: The number of the request.
        is_committed: Whether the row was written; otherwise the answer has the
            current row.
        revision: The store's number of the row's version; 0 if there is no
            row.
        era: The highest era of the store that the sender knows, and that of the
            version.
    """

    asked_by: HostId
    number: int
    key: str
    is_committed: bool = False
    revision: Number = 0
    value: bytes = b""
    era: Era = 0

    @property
    def version(self) -> int:
        """The row's version."""
        return to_version(self.era, self.revision)


class LimitRequest(BaseMessage, kw_only=True):
    """Asks the owner of a limited upstream's budget for tokens.

    Attributes:
        waiting: Number of the sender's requests that wait for a token, by
            priority; replaces what it asked for before.
        charged: Number of requests that it sent without a token since its last
            message.
        asker: The host whose request the sender passes on; None if its own.
    """

    upstream: UpstreamId
    waiting: dict[int, Number] = {}
    charged: Number = 0
    asker: HostId | None = None


class LimitGrant(BaseMessage, kw_only=True):
    """Tokens for a limited upstream; each is for one request.

    Attributes:
        waits: Expected waits, as ``LimitBudget.waits`` returns them.
        asker: The host to pass it on to, or that it was passed on to; None if
            it was sent to the host that asked.
    """

    upstream: UpstreamId
    tokens: Count = 0
    waits: dict[int, tuple[float, float]] = {}
    asker: HostId | None = None


class PlaceReport(BaseMessage, kw_only=True):
    """What a host uses of a brittle service; goes to the owner of its room.

    Attributes:
        sent_s: When it was sent, by the sender's clock.
        applied: Epoch and number of the last grant that the sender has applied.
        uses: What it uses and wants; nothing at upstreams without an entry.
    """

    service: ServiceId
    sent_s: Time = 0.0
    applied: tuple[Epoch, Number] = (0, 0)
    uses: dict[UpstreamId, PlaceUse] = {}


class PlaceGrant(BaseMessage, kw_only=True):
    """All places of a host at a brittle service.

    Attributes:
        epoch: Distinguishes the owner's allocation from others.
        number: Increases with each grant of an allocation.
        reported_s: When the report that it answers was sent, by the clock of
            the host that gets it.
        share: The part of the room that the host can count on.
        is_scarce: Whether it should return places that it does not use.
    """

    service: ServiceId
    epoch: Epoch = 0
    number: Number = 0
    reported_s: Time = 0.0
    places: dict[UpstreamId, Count] = {}
    share: Share = 1.0
    is_scarce: bool = False


Message = (
    LoadDigest
    | DomainLoads
    | LoadSummary
    | SendNotice
    | SendBatch
    | RowChanges
    | DemandDigest
    | PlacementNotice
    | RowRequest
    | RowAnswer
    | RecordKept
    | LimitRequest
    | LimitGrant
    | PlaceReport
    | PlaceGrant
    | QuotaAsk
    | QuotaAnswer
    | QuotaSettlement
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns the datagram of a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message of a datagram.

    Raises:
        msgspec.MsgspecError: If the datagram is not a valid message.
    """
    return _decoder.decode(data)
