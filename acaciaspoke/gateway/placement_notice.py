"""Builds the notices that tell all hosts what was loaded and unloaded."""

from collections.abc import Iterable, Mapping

from acaciaspoke.clients.table import Row
from acaciaspoke.gateway.engine_tracker import EngineTracker
from acaciaspoke.gateway.messages import PlacementNotice
from acaciaspoke.gateway.types import Artifact, EngineSpec
from acaciaspoke.ids import ModelId, ServiceId, UpstreamId
from acaciaspoke.platform.versions import era_of, number_of


def build_notice(
    trackers: Iterable[EngineTracker],
    specs: Mapping[ServiceId, EngineSpec],
    since_s: float,
    now_s: float,
    epoch: int,
    lease_row: Row | None,
) -> PlacementNotice:
    """Returns a notice of recent changes.

    Args:
        trackers: The engines.
        specs: The properties of their services.
        since_s: The time of the oldest change to include.
        now_s: The current time.
        epoch: The epoch of the lease.
        lease_row: The lease's row, if it is known.
    """
    coming_s: dict[ModelId, float] = {}
    loaded: dict[UpstreamId, tuple[Artifact, ...]] = {}
    withdrawn: dict[UpstreamId, tuple[Artifact, ...]] = {}
    for tracker in trackers:
        name = tracker.record.upstream
        if artifacts := tracker.loaded_since(since_s):
            loaded[name] = artifacts
        if artifacts := tracker.withdrawn_since(since_s):
            withdrawn[name] = artifacts
        spec = specs.get(tracker.record.service)
        next_ready = tracker.next_ready_model(spec, now_s) if spec else None
        if next_ready is not None:
            model, remaining_s = next_ready
            coming_s[model] = min(remaining_s, coming_s.get(model, remaining_s))
    lease_version = lease_row.mod_revision if lease_row else 0
    return PlacementNotice(
        epoch=epoch,
        lease_value=lease_row.value if lease_row else b"",
        lease_revision=number_of(lease_version),
        lease_era=era_of(lease_version),
        loaded=loaded,
        withdrawn=withdrawn,
        coming_s=coming_s,
    )
