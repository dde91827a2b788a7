"""Records that messages carry and that processes keep."""

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
