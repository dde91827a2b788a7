"""Records that messages contain and processes store."""

from enum import Enum

import msgspec

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


class MemberState(Enum):
    """The state of a member as seen by its failure domain."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """The membership record of a control process.

    Attributes:
        address: Address of its mailbox.
        admin_address: ``ip:port`` of its administration API.
        incarnation: Incremented by the member itself to refute a suspicion.
        entry_processes: Number of live entry processes of its host.
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
    """Whether an upstream is leaving, or removed, according to the host list.

    Attributes:
        list_revision: Orders the notices of an upstream; the highest wins.
    """

    upstream: UpstreamId
    leaving: bool
    list_revision: int


class PatchRow(msgspec.Struct, frozen=True, kw_only=True):
    """One committed patch.

    Attributes:
        version: The configuration version that the patch created.
        merge_patch: The RFC 7396 merge patch as JSON text.
    """

    version: ConfigVersion
    patch_id: str
    author: str
    merge_patch: str


class UpstreamState(Enum):
    """The lifecycle of an upstream, see ``charts/upstream.yaml``."""

    UNKNOWN = "unknown"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"


class Resident(msgspec.Struct, frozen=True, kw_only=True):
    """An artifact loaded in an engine's memory."""

    name: ArtifactName
    version: str
    memory_bytes: int
    order_id: OrderId = OrderId("")


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """The response of an upstream to ``GET /v2/report``.

    Attributes:
        boot_id: Changes at each start of the upstream.
        sequence: Increases with each report of one boot.
        recent_order_ids: Orders that have taken effect, newest last.
        fencing_token: The highest token that the engine has received.
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
    """The state of an upstream as a control process sees it.

    Attributes:
        sequence: The sequence of the report, which orders reports of one boot.
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


class Load(msgspec.Struct, frozen=True, array_like=True):
    """The load of one upstream, encoded in a few bytes.

    Attributes:
        content_hash: Hash of the boot id and the resident artifacts, which
            lets a receiver detect a missed change.
        age_ds: Age of the report in tenths of a second.
    """

    content_hash: int
    sequence: int
    running: int
    waiting: int
    age_ds: int
    suspect: bool = False


class Suspicion(msgspec.Struct, frozen=True, kw_only=True):
    """Upstream crashes with requests of one fingerprint in flight.

    Attributes:
        crashes: Boots of upstreams that crashed, with whether this was the only
            suspect request in flight.
        voided: Crashes cleared by a later success of the request.
        age_s: Time since the last change.
    """

    fingerprint: Fingerprint
    crashes: dict[BootId, bool]
    voided: tuple[BootId, ...] = ()
    age_s: float = 0.0


class ServiceWindow(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one rank and service in one time window.

    Attributes:
        start_age_s: Age of the start of the window; less than ``length_s`` if
            the process started recording later.
        length_s: Nominal length, one of the windows of the burn report.
        good: Number of requests that met their targets.
        total: Number of all requests that count.
        first_token: Encoded HdrHistogram in milliseconds.
        token_gap: Encoded HdrHistogram in tenths of milliseconds.
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
    """Requests of one rank and service per time slice, newest first."""

    rank: RankId
    service: ServiceId
    slice_s: float
    good: tuple[int, ...]
    total: tuple[int, ...]
