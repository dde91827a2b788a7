"""Messages between processes.

Every message is one-way and may be lost, repeated or reordered; receivers must
converge to the same state in any case. Messages are encoded as MessagePack with
a type tag. Times are durations, never wall-clock times, as the clocks of hosts
may differ.
"""

from typing import NamedTuple

import msgspec

from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.ids import (
    Address,
    ArtifactName,
    BootId,
    ConfigVersion,
    DomainId,
    HostId,
    RankId,
    UpstreamId,
)
from acaciaspoke.net.records import (
    LeavingNotice,
    Load,
    Member,
    PatchRow,
    ServiceTrend,
    ServiceWindow,
    Suspicion,
    UpstreamView,
)


class _Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Common encoding options of the messages."""


class Ping(_Message):
    """A probe of a peer that carries gossip.

    Attributes:
        view_digest: Hashes of buckets of the sender's members and leaving
            notices. The ack carries the receiver's records of buckets that
            differ.
    """

    sender: Member
    sequence: int
    members: tuple[Member, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()
    suspicions: tuple["Suspicion", ...] = ()
    view_digest: bytes = b""


class Ack(_Message):
    """The response to a probe; carries gossip as the probe does."""

    sender: Member
    sequence: int
    members: tuple[Member, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()
    suspicions: tuple["Suspicion", ...] = ()


class PingRequest(_Message):
    """Requests an indirect probe of another member."""

    sender: Member
    sequence: int
    target: Address


class ConfigPull(_Message):
    """Requests the patches after a version."""

    reply_to: Address
    after_version: ConfigVersion


class ConfigPush(_Message):
    """Committed patches in order, or a whole configuration, or both.

    Attributes:
        snapshot: A whole configuration as JSON text, if the receiver needs it.
        patches: The patches that follow the snapshot or the receiver's version.
        sender: The sending control process.
        version: The version in force at the sender, which may be higher than
            that of the last patch included.
    """

    snapshot: str = ""
    patches: tuple[PatchRow, ...] = ()
    sender: Address = Address("")
    version: ConfigVersion = ConfigVersion(0)


class EntryHello(_Message):
    """Heartbeat of an entry process to its control process.

    Sent every second; the control process removes an entry process after a few
    seconds without one.
    """

    address: Address
    boot: BootId
    config_version: ConfigVersion
    queued: dict[RankId, int] = {}
    in_flight: int = 0
    draining: bool = False


class FleetView(_Message):
    """The state of upstreams, from a control process to its entry processes.

    Attributes:
        entry_processes: Number of live entry processes that share the
            upstreams.
    """

    upstreams: tuple[UpstreamView, ...]
    entry_processes: int = 1


class UpstreamReports(_Message):
    """Upstream reports, forwarded by the control process that polled them."""

    sender: HostId
    upstreams: tuple[UpstreamView, ...]


class UpstreamLoads(_Message):
    """Upstream loads, forwarded by the control process that polled them.

    Sent far more often than ``UpstreamReports``, which is too large for every
    host to receive from every other one within a few seconds.
    """

    sender: HostId
    loads: dict[UpstreamId, Load]


class UpstreamPull(_Message):
    """Requests ``UpstreamReports`` of the listed upstreams."""

    reply_to: Address
    upstreams: tuple[UpstreamId, ...]


class Demand(_Message):
    """Request arrivals at entry processes since their last message.

    Attributes:
        is_foreign: Whether it was forwarded by another failure domain that has
            no engines left.
        arrivals: Number of requests per artifact and rank.
        cold: Artifacts with waiting requests and no reachable replica.
        interval_s: The time that the counts cover.
    """

    sender: Address
    arrivals: dict[ArtifactName, dict[RankId, int]]
    cold: tuple[ArtifactName, ...] = ()
    interval_s: float = 1.0
    is_foreign: bool = False


class ConnectionLost(_Message):
    """An entry process lost a connection with requests in flight."""

    upstream: UpstreamId
    boot_id: BootId


class SuspicionNotice(_Message):
    """Crash suspicions that the receiver merges with its own.

    Attributes:
        reply_to: Mailbox for a ``SuspicionAck``; empty if none is requested.
    """

    suspicions: tuple[Suspicion, ...]
    reply_to: Address = Address("")
    sequence: int = 0


class SuspicionAck(_Message):
    """Confirms that a control process has applied and forwarded a notice."""

    sequence: int


class WindowsRequest(_Message):
    """Requests service-level windows.

    A control process forwards it to the entry processes of its host.
    """

    reply_to: Address
    sequence: int


class DomainRequest(_Message):
    """Requests a ``DomainAnswer`` from a member of another failure domain."""

    reply_to: Address
    sequence: int


class DomainAnswer(_Message):
    """The members and lease of a failure domain as a control process sees them.

    Attributes:
        lease_holder: Empty if no holder is known.
    """

    failure_domain: DomainId
    sequence: int
    members: tuple[Member, ...]
    lease_holder: HostId = HostId("")
    lease_epoch: int = 0


class HostEntries(_Message):
    """Lists the entry processes to which a request was forwarded."""

    sender: HostId
    sequence: int
    entries: tuple[Address, ...]


class Windows(_Message):
    """The service-level windows of an entry process."""

    sender: Address
    sequence: int
    windows: tuple[ServiceWindow, ...]
    trends: tuple[ServiceTrend, ...] = ()


Message = (
    Ping
    | Ack
    | PingRequest
    | ConfigPull
    | ConfigPush
    | EntryHello
    | FleetView
    | UpstreamReports
    | UpstreamLoads
    | UpstreamPull
    | Demand
    | ConnectionLost
    | SuspicionNotice
    | SuspicionAck
    | WindowsRequest
    | HostEntries
    | DomainRequest
    | DomainAnswer
    | Windows
)


class Outgoing(NamedTuple):
    """A message to send, and its destination."""

    address: Address
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class MessageError(AcaciaspokeError):
    """Data that cannot be decoded as a message."""


def encode(message: Message) -> bytes:
    """Encodes a message as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decodes a message.

    Raises:
        MessageError: If the data is not a known message.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        # A RecursionError comes from unknown fields that are nested too deeply.
        raise MessageError(str(error)) from error
