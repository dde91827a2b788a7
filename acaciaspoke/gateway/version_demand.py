"""Requests that wait because no engine of their version holds their artifact.

A stream goes on only at the software version that began it. While engines of
several versions serve, its artifact may be held at others only. All functions
are pure.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable

from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.messages import VersionDemand
from acaciaspoke.gateway.types import Artifact, Request
from acaciaspoke.ids import ServiceId, SoftwareVersion


def lack_version(
    waiting: Iterable[Request], fleet: Fleet, now_s: float
) -> frozenset[Request]:
    """Returns the requests that only another load can serve.

    Those of a service with one version are left out: any load serves them.

    Args:
        waiting: The waiting requests.
        fleet: The upstreams.
        now_s: The current time.
    """
    pinned = [
        request
        for request in waiting
        if request.version is not None and request.artifact is not None
    ]
    if not pinned:
        return frozenset()
    unreachable = fleet.reachability.unreachable(now_s)

    def is_lacking(
        service: ServiceId, artifact: Artifact, version: SoftwareVersion
    ) -> bool:
        others = (
            upstream.record.version != version
            for upstream in fleet.of_service(service)
        )
        return any(others) and all(
            upstream.record.upstream in unreachable
            for upstream in fleet.holders(service, artifact, now_s, version)
        )

    keys = {_key(request) for request in pinned}
    lacking = {key for key in keys if is_lacking(*key)}
    return frozenset(request for request in pinned if _key(request) in lacking)


def _key(request: Request) -> tuple[ServiceId, Artifact, SoftwareVersion]:
    return request.service, request.artifact, request.version


def report_version_demand(
    waiting: Iterable[Request],
    now_s: float,
    latest_start_s: Callable[[Request], float],
) -> tuple[VersionDemand, ...]:
    """Returns the demand of waiting requests that have a version.

    Args:
        waiting: The requests, each with an artifact and a version.
        now_s: The current time.
        latest_start_s: Returns the latest time at which a request may be sent
            to an upstream.
    """
    return tuple(
        sum_version_demand(
            VersionDemand(
                service=request.service,
                artifact=request.artifact,
                version=request.version,
                waiting=1,
                priority=request.route.priority,
                oldest_s=now_s - request.arrived_s,
                remaining_s=latest_start_s(request) - now_s,
            )
            for request in waiting
        )
    )


def sum_version_demand(items: Iterable[VersionDemand]) -> list[VersionDemand]:
    """Returns the sum of the items of each service, artifact and version."""
    groups: defaultdict[tuple, list[VersionDemand]] = defaultdict(list)
    for item in items:
        groups[item.service, item.artifact, item.version].append(item)
    return [
        VersionDemand(
            *key,
            waiting=sum(item.waiting for item in group),
            priority=min(item.priority for item in group),
            oldest_s=max(item.oldest_s for item in group),
            remaining_s=max(item.remaining_s for item in group),
        )
        for key, group in groups.items()
    ]
