"""What a host reports of its requests; all functions are pure."""

from collections.abc import Iterable

from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.types import Artifact, Request
from acaciaspoke.ids import ModelId, UpstreamId


def waiting_by_model(
    waiting: Iterable[Request],
) -> dict[ModelId, dict[int, int]]:
    """Returns the number of waiting requests, by model and priority."""
    counts_by_model: dict[ModelId, dict[int, int]] = {}
    for request in waiting:
        if request.artifact is not None:
            counts = counts_by_model.setdefault(request.artifact.model, {})
            priority = request.priority
            counts[priority] = counts.get(priority, 0) + 1
    return counts_by_model


def local_loads(fleet: Fleet) -> dict[UpstreamId, int]:
    """Returns this host's requests at each upstream."""
    return {
        name: upstream.local_load
        for name, upstream in fleet.upstreams.items()
        if upstream.in_flight
    }


def running_by_artifact(
    fleet: Fleet,
) -> dict[UpstreamId, tuple[tuple[Artifact, int], ...]]:
    """Returns this host's requests at each engine, by artifact."""
    return {
        name: counts
        for name, upstream in fleet.upstreams.items()
        if (
            counts := tuple(
                (artifact, count)
                for artifact, count in upstream.in_flight.items()
                if artifact is not None
            )
        )
    }
