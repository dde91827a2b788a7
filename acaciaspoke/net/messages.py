"""Messages between the processes of the system.

Every message is one-way and may be lost, repeated or reordered; a receiver
must end in the same state whichever happens. The encoding is MessagePack with
a type tag. Times inside messages are durations, never wall-clock instants, as
hosts' clocks may differ.
"""

from enum import Enum
from typing import NamedTuple

import msgspec

from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.ids import (
    Address,
    ArtifactName,
    BootId,
    ConfigVersion,
    DomainId,
    FencingToken,
    Fingerprint,
    HostId,
    OrderId,
    RankId,
    ServiceId,
    UpstreamId,
)


class _Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Common options of the messages."""


class MemberState(Enum):
    """What the members of a failure domain believe of one of them."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A control process as its peers know it.

    Attributes:
        address: Its mailbox.
        admin_address: ``ip:port`` of its administration API.
        incarnation: Raised by the member itself to refute a suspicion.
        entry_processes: Live entry processes of its host.
    """

    host: HostId
    boot: BootId
    failure_domain: DomainId
    address: Address
    admin_address: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    config_version: ConfigVersion = ConfigVersion(0)
    entry_processes: int = 0


class LeavingNotice(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream that the host list shows as leaving or gone.

    Attributes:
        list_revision: The revision of the host list that said so; a higher
            one wins.
    """

    upstream: UpstreamId
    leaving: bool
    list_revision: int


class Ping(_Message):
    """A liveness probe that carries gossip.

    Attributes:
        view_digest: Hashes of parts of what the sender knows of its domain's
            members and of leaving upstreams; the answer has what a receiver
            knows of the parts that differ.
    """

    sender: Member
    sequence: int
    members: tuple[Member, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()
    suspicions: tuple["Suspicion", ...] = ()
    view_digest: bytes = b""


class Ack(_Message):
    """The answer to a probe; carries gossip as the probe does."""

    sender: Member
    sequence: int
    members: tuple[Member, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()
    suspicions: tuple["Suspicion", ...] = ()


class PingRequest(_Message):
    """Asks a member to probe another one in the sender's place."""

    sender: Member
    sequence: int
    target: Address


class ConfigPull(_Message):
    """Asks for the patches after a version."""

    reply_to: Address
    after_version: ConfigVersion


class PatchRow(msgspec.Struct, frozen=True, kw_only=True):
    """One committed patch.

    Attributes:
        version: The version that it made.
        merge_patch: The RFC 7396 merge patch as JSON text.
    """

    version: ConfigVersion
    patch_id: str
    author: str
    merge_patch: str


class ConfigPush(_Message):
    """Committed patches in order, or a whole configuration, or both.

    Attributes:
        snapshot: A whole configuration as JSON text, if the receiver needs it.
        patches: The patches that follow the snapshot or the receiver's version.
        sender: The control process that sent it.
        version: The version in force at the sender, which may be higher than
            the last patch here.
    """

    snapshot: str = ""
    patches: tuple[PatchRow, ...] = ()
    sender: Address = Address("")
    version: ConfigVersion = ConfigVersion(0)


class EntryHello(_Message):
    """An entry process tells its control process that it runs.

    Sent every second; a control process forgets an entry process that was
    silent for a few seconds.
    """

    address: Address
    boot: BootId
    config_version: ConfigVersion
    queued: dict[RankId, int] = {}
    in_flight: int = 0
    draining: bool = False


class UpstreamState(Enum):
    """The lifecycle of an upstream, see ``charts/upstream.yaml``."""

    UNKNOWN = "unknown"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"


class Resident(msgspec.Struct, frozen=True, kw_only=True):
    """An artifact in an engine's memory."""

    name: ArtifactName
    version: str
    memory_bytes: int
    order_id: OrderId = OrderId("")


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an upstream says of itself in ``GET /v2/report``.

    Attributes:
        boot_id: New after each start of the upstream.
        sequence: Grows with each report of one boot.
        recent_order_ids: Orders that have taken effect, newest last.
        fencing_token: The highest that the engine has seen.
    """

    boot_id: BootId
    sequence: int
    slots: int = 0
    running: int = 0
    waiting: int = 0
    memory_bytes: int = 0
    resident: tuple[Resident, ...] = ()
    recent_order_ids: tuple[OrderId, ...] = ()
    fencing_token: FencingToken = FencingToken(0)


class UpstreamView(msgspec.Struct, frozen=True, kw_only=True):
    """What a control process knows of an upstream.

    Attributes:
        sequence: Of the report, which orders the reports of one boot.
        report_age_s: Age of the report when the message was sent.
    """

    upstream: UpstreamId
    state: UpstreamState
    boot_id: BootId = BootId("")
    sequence: int = 0
    running: int = 0
    waiting: int = 0
    resident: dict[ArtifactName, str] = {}
    report_age_s: float = 0.0


class FleetView(_Message):
    """A control process tells its entry processes of the upstreams.

    Attributes:
        entry_processes: Live entry processes that share the upstreams.
    """

    upstreams: tuple[UpstreamView, ...]
    entry_processes: int = 1


class UpstreamReports(_Message):
    """A control process passes on the reports that it polled."""

    sender: HostId
    upstreams: tuple[UpstreamView, ...]


class Load(msgspec.Struct, frozen=True, array_like=True):
    """The load of one upstream, as short as a few bytes.

    Attributes:
        content_hash: Hash of the boot id and the resident artifacts, by which
            a receiver finds that it missed a change of them.
        age_ds: Age of the report in tenths of a second.
    """

    content_hash: int
    sequence: int
    running: int
    waiting: int
    age_ds: int
    suspect: bool = False


class UpstreamLoads(_Message):
    """A control process passes on the loads that it polled.

    It is sent far more often than ``UpstreamReports``, which is too large for
    each host to get from each other one every few seconds.
    """

    sender: HostId
    loads: dict[UpstreamId, Load]


class UpstreamPull(_Message):
    """Asks for ``UpstreamReports`` of some upstreams."""

    reply_to: Address
    upstreams: tuple[UpstreamId, ...]


class Demand(_Message):
    """Requests that entry processes saw since their last message.

    Attributes:
        is_foreign: Whether it was passed on by another failure domain, which
            has no engines left.
        arrivals: Requests per artifact and rank.
        cold: Artifacts with waiting requests and no reachable copy.
        interval_s: The time that the counts cover.
    """

    sender: Address
    arrivals: dict[ArtifactName, dict[RankId, int]]
    cold: tuple[ArtifactName, ...] = ()
    interval_s: float = 1.0
    is_foreign: bool = False


class ConnectionLost(_Message):
    """An entry process lost a connection to an upstream with work on it."""

    upstream: UpstreamId
    boot_id: BootId


class Suspicion(msgspec.Struct, frozen=True, kw_only=True):
    """Crashes in which requests of one fingerprint were in flight.

    Attributes:
        crashes: Boots of upstreams that ended with such a request in flight,
            with whether it was the only suspect there.
        voided: The crashes that a later success of the request has cleared.
        age_s: Time since the last change.
    """

    fingerprint: Fingerprint
    crashes: dict[BootId, bool]
    voided: tuple[BootId, ...] = ()
    age_s: float = 0.0


class SuspicionNotice(_Message):
    """Suspicions that the receiver merges with its own.

    Attributes:
        reply_to: Where to send a ``SuspicionAck``, or empty.
    """

    suspicions: tuple[Suspicion, ...]
    reply_to: Address = Address("")
    sequence: int = 0


class SuspicionAck(_Message):
    """A control process has taken a notice and passed it on."""

    sequence: int


class WindowsRequest(_Message):
    """Asks for service-level windows.

    A control process passes it on to the entry processes of its host.
    """

    reply_to: Address
    sequence: int


class DomainRequest(_Message):
    """Asks a control process about its failure domain."""

    reply_to: Address
    sequence: int


class DomainAnswer(_Message):
    """What a control process knows of its failure domain.

    Attributes:
        lease_holder: Empty if nobody is known to hold the lease.
    """

    failure_domain: DomainId
    sequence: int
    members: tuple[Member, ...]
    lease_holder: HostId = HostId("")
    lease_epoch: int = 0


class HostEntries(_Message):
    """Names the entry processes to which a question was passed on."""

    sender: HostId
    sequence: int
    entries: tuple[Address, ...]


class ServiceWindow(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one rank and service in one stretch of time.

    Attributes:
        start_age_s: How long ago the stretch began; less than ``length_s`` if
            the process began to record later.
        length_s: Its nominal length, one of the burn report's windows.
        good: Requests that met their targets.
        total: All requests that count.
        first_token: HdrHistogram of milliseconds, encoded.
        token_gap: HdrHistogram of tenths of milliseconds, encoded.
    """

    rank: RankId
    service: ServiceId
    start_age_s: float
    length_s: float
    good: int
    total: int
    first_token: bytes = b""
    token_gap: bytes = b""


class ServiceTrend(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one rank and service in slices of time, newest first."""

    rank: RankId
    service: ServiceId
    slice_s: float
    good: tuple[int, ...]
    total: tuple[int, ...]


class Windows(_Message):
    """An entry process's service-level windows."""

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
    """A message that a decision module wants sent."""

    address: Address
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class MessageError(AcaciaspokeError):
    """Bytes that are not a message of this version."""


def encode(message: Message) -> bytes:
    """Returns the message in MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Reads a message.

    Raises:
        MessageError: If the bytes are no known message.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        # Fields that this version does not know may be nested too deeply.
        raise MessageError(str(error)) from error
