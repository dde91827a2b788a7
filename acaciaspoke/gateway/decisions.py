"""What a host does with a request: assign, refuse or forward it."""

from typing import NamedTuple

from acaciaspoke.gateway.admission import Refusal
from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import HostId, SoftwareVersion, UpstreamId


class Assignment(NamedTuple):
    """A request and the upstream chosen for it.

    Attributes:
        started_ms: The start of the upstream's process.
        version: The version of its software.
    """

    request: Request
    upstream: UpstreamId
    address: str
    started_ms: int = 0
    version: SoftwareVersion = SoftwareVersion("")


class DroppedRequest(NamedTuple):
    """A waiting request that is refused."""

    request: Request
    refusal: Refusal


class Forward(NamedTuple):
    """A request that another host has to serve.

    Attributes:
        host: That host.
    """

    request: Request
    host: HostId


class Decline(NamedTuple):
    """A forwarded request that this host cannot serve after all."""

    request: Request


def must_decline(request: Request, fleet: Fleet, now_s: float) -> bool:
    """Returns whether the host that has forwarded a request must serve it.

    This host has lost its links since it accepted the request, and has sent it
    to no upstream.
    """
    return (
        request.forwarded_by is not None
        and request.starts <= request.starts_elsewhere
        and fleet.links.is_cut_off(now_s)
    )


def needs_other_host(request: Request, fleet: Fleet, now_s: float) -> bool:
    """Returns whether this host reaches no upstream for a request.

    A request that another host has forwarded stays here.
    """
    if request.forwarded_by is not None or request.resume_at is not None:
        return False
    if fleet.links.is_cut_off(now_s):
        return True
    lost = fleet.links.lost(now_s)
    if not lost:
        return False
    holders = {
        upstream.record.upstream
        for upstream in fleet.holders(
            request.service, request.artifact, now_s, request.version
        )
    }
    return bool(holders) and holders <= lost
