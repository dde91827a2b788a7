"""Messages between gateways: datagrams that may be lost, repeated, late."""

from typing import NamedTuple

import msgspec

from acaciaspoke.clients.table import Condition, Put, Transaction
from acaciaspoke.gateway.types import Artifact
from acaciaspoke.ids import (
    BootId,
    HostId,
    ModelId,
    ServiceId,
    UpstreamId,
)


class _Message(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True
):
    """Common options, and who sent the message.

    Attributes:
        host: The sender; set when the message is sent, as the other two.
        boot: The run of the sender's process.
        sequence: Rises with each message of a run.
    """

    host: HostId = HostId("")
    boot: BootId = BootId("")
    sequence: int = 0


class LoadDigest(_Message, kw_only=True):
    """What a host has at the upstreams, and what waits.

    It goes to all hosts or, in a large deployment, to the aggregator.

    Attributes:
        in_flight: Requests at each upstream.
        reading: Prompt tokens at each engine whose first event is awaited.
        waiting: Requests that wait, by model and priority.
        unreachable: Upstreams that took no connection several times in a row.
        slow: Engines that make events far more slowly than others.
        configuration: The version in force.
        crashes: Runs that ended with a lost connection, by fingerprint of
            the request.
    """

    in_flight: dict[UpstreamId, int] = {}
    reading: dict[UpstreamId, int] = {}
    waiting: dict[ModelId, dict[int, int]] = {}
    unreachable: tuple[UpstreamId, ...] = ()
    slow: tuple[UpstreamId, ...] = ()
    configuration: int = 0
    crashes: dict[int, int] = {}


class RowsRead(NamedTuple):
    """What a host knows of the upstreams' table.

    Attributes:
        changed: Version of the newest change that it has heard of.
        age_s: Since when the table may have changed without its notice.
    """

    changed: int
    age_s: float


class DomainLoads(LoadDigest, kw_only=True):
    """The sum of many hosts' digests; from one aggregator to the others.

    Attributes:
        members: The hosts that were heard lately.
        rows_read: What the aggregator knows of the upstreams' table.
    """

    members: tuple[HostId, ...] = ()
    rows_read: RowsRead | None = None


class LoadSummary(LoadDigest, kw_only=True):
    """The sum of all other hosts' digests; from an aggregator to a host.

    Attributes:
        silent: Hosts that no aggregator has heard lately.
        rows_read: What the aggregator knows of the upstreams' table.
    """

    silent: tuple[HostId, ...] = ()
    rows_read: RowsRead | None = None


class SendNotice(_Message, kw_only=True):
    """A request that a host sends to an engine now; goes where digests go.

    Hosts that send to an engine within a tenth of a second would otherwise not
    know of each other's prompts. The next digest includes it.

    Attributes:
        upstream: The engine.
        prompt_tokens: What it has to read.
    """

    upstream: UpstreamId
    prompt_tokens: int = 0


class SendBatch(_Message, kw_only=True):
    """Requests that hosts of an aggregator have just sent.

    Attributes:
        sends: The engines and their prompt tokens.
        is_summary: Whether it adds to a ``LoadSummary``, else to
            ``DomainLoads``.
    """

    sends: tuple[tuple[UpstreamId, int], ...]
    is_summary: bool

    def notices(self) -> list[SendNotice]:
        """Returns them one by one, as sent by the aggregator."""
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


class RowChanges(_Message, kw_only=True):
    """Changes of the upstreams' table; from an aggregator to a host.

    Attributes:
        after: The version that the rows were changed after.
        version: The version up to which these are all changes.
    """

    after: int
    version: int
    rows: tuple[RelayedRow, ...]


class ArtifactDemand(msgspec.Struct, frozen=True, array_like=True):
    """What callers of one host want of an artifact.

    Attributes:
        arrivals: Requests since the process started.
        waiting: Requests that wait now.
        priority: Of the most urgent one that waits.
        oldest_s: How long the oldest has waited.
        prompt_tokens: Tokens of the prompts of all arrivals.
    """

    service: ServiceId
    artifact: Artifact
    arrivals: int
    waiting: int
    priority: int
    oldest_s: float
    prompt_tokens: int = 0


class DemandDigest(_Message, kw_only=True):
    """Demand and use of artifacts; to the host that gives orders.

    Attributes:
        demand: Artifacts that were asked for lately.
        running: Requests at each engine, by artifact.
    """

    demand: tuple[ArtifactDemand, ...] = ()
    running: dict[UpstreamId, tuple[tuple[Artifact, int], ...]] = {}


class PlacementNotice(_Message, kw_only=True):
    """Sent to all hosts by the one that gives orders, also without news.

    Attributes:
        epoch: Of the lease under which the orders were given.
        lease_value: The row of the lease as the sender last wrote it.
        lease_revision: The version of that row.
        loaded: Artifacts that were loaded lately.
        withdrawn: Artifacts that are being unloaded.
        coming_s: When models that are being loaded will be there, from now.
    """

    epoch: int
    lease_value: bytes = b""
    lease_revision: int = 0
    loaded: dict[UpstreamId, tuple[Artifact, ...]] = {}
    withdrawn: dict[UpstreamId, tuple[Artifact, ...]] = {}
    coming_s: dict[ModelId, float] = {}


class RowRequest(_Message, kw_only=True):
    """Asks another host to read or write the row of a lease in the store.

    Attributes:
        number: Names the call at the sender.
        value: What to write; None to read.
        expected_revision: The version that the row must have to be written.
    """

    number: int
    key: str
    value: bytes | None = None
    expected_revision: int = 0

    def to_transaction(self) -> Transaction:
        """Returns the compare-and-put."""
        return Transaction(
            (Condition(self.key, self.expected_revision),),
            (Put(self.key, self.value or b""),),
        )


class RowAnswer(_Message, kw_only=True):
    """What came of a ``RowRequest``.

    Attributes:
        asked_by: The host that asked.
        number: Of the request.
        is_committed: Whether the row was written; else it is told.
        revision: The row's version; 0 if there is none.
    """

    asked_by: HostId
    number: int
    key: str
    is_committed: bool = False
    revision: int = 0
    value: bytes = b""


def is_overtaken(message: _Message, known: _Message) -> bool:
    """Tells whether a later message of the same run has come before."""
    return known.boot == message.boot and known.sequence >= message.sequence


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
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns the datagram of a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message of a datagram.

    Raises:
        msgspec.MsgspecError: If it is none.
    """
    return _decoder.decode(data)
