"""Chooses the lines to evict for an artifact that does not fit."""

import bisect
import itertools
from enum import IntEnum
from typing import NamedTuple

from acaciaspoke.config.schema import Artifact
from acaciaspoke.control.fleet import Fleet, Key, PlannedUpstream
from acaciaspoke.control.planned_orders import Reason
from acaciaspoke.control.reservations import Line

# An artifact is evicted for another one only if the other one is worth this
# many times as much, so that noise in similar rates causes no evictions.
HYSTERESIS_FACTOR = 2.0

# Minimum residence of a last replica before a cold model may evict it. Bounds
# how often two models that compete for the same memory are swapped.
MIN_RESIDENCE_S = 10.0

# Multiplies the minimum residence of a last replica that is worth more than
# the cold model, or is cold itself: the cold model is served in the end, but
# evicts busy models rarely.
BUSY_RESIDENCE_FACTOR = 4.0


class Tier(IntEnum):
    """The classes of lines, in the order of eviction."""

    STALE = 0
    ADDITIONAL_REPLICA = 1
    FOREIGN_MODEL = 2
    LAST_REPLICA = 3
    OWN_OLD_VERSION = 4


class PlannedLoad(NamedTuple):
    """An artifact to load, with the reason and the worth of the load."""

    artifact: Artifact
    reason: Reason
    worth: float


class Victim(NamedTuple):
    """A line that may be evicted.

    Attributes:
        is_model_evicted_for_adapter: Whether a model would be evicted for an
            adapter. Such lines are evicted after the others of their tier.
    """

    tier: Tier
    is_model_evicted_for_adapter: bool
    worth: float
    line: Line


def choose_victims(
    fleet: Fleet, upstream: PlannedUpstream, load: PlannedLoad
) -> list[Victim]:
    """Returns the cheapest lines that free enough memory, or none."""
    candidates = [
        Victim(
            tier,
            bool(load.artifact.base_model) and not fleet.is_adapter(key),
            fleet.worth(key.name),
            line,
        )
        for key, line in upstream.lines.items()
        if (tier := _tier(fleet, upstream, key, line, load)) is not None
    ]
    candidates.sort(
        key=lambda victim: (
            *victim[:3],
            victim.line.artifact.name,
            victim.line.artifact.version,
        )
    )
    missing_bytes = load.artifact.memory_bytes - (
        max(0, upstream.free_bytes) + upstream.unloading_bytes
    )
    chosen: dict[Key, Victim] = {}
    for victim in candidates:
        if missing_bytes <= 0:
            break
        for line in (*upstream.dependents(victim.line), victim.line):
            key = Key(line.artifact.name, line.artifact.version)
            if key not in chosen:
                chosen[key] = victim._replace(line=line)
                missing_bytes -= line.artifact.memory_bytes
    return [] if missing_bytes > 0 else list(chosen.values())


def may_find_victims(
    fleet: Fleet, upstream: PlannedUpstream, load: PlannedLoad
) -> bool:
    """Returns whether a load may find victims.

    Always true for loads other than those of additional replicas. The table of
    an upstream is built once per plan. Evictions only raise the losses of other
    replicas, so an old table never hides a victim.
    """
    if load.reason is not Reason.ADDITIONAL_REPLICA:
        return True
    table = fleet.losses.get(upstream.id)
    if table is None:
        table = fleet.losses[upstream.id] = _loss_table(fleet, upstream)
    losses, freed_bytes = table
    cheap = bisect.bisect_left(losses, load.worth / HYSTERESIS_FACTOR)
    missing_bytes = load.artifact.memory_bytes - (
        max(0, upstream.free_bytes) + upstream.unloading_bytes
    )
    return cheap > 0 and freed_bytes[cheap - 1] >= missing_bytes


def _loss_table(
    fleet: Fleet, upstream: PlannedUpstream
) -> tuple[list[float], list[int]]:
    """Returns the losses in rising order, and the bytes freed up to each."""
    items = []
    for key, line in upstream.lines.items():
        count = fleet.resident[key]
        if key.name not in fleet.configured or fleet.is_superseded(
            upstream, key
        ):
            loss = float("-inf")
        elif count > 1:
            loss = fleet.max_worth(key.name) / (count * (count - 1))
        elif key.name in fleet.snapshot.foreign_resident:
            loss = fleet.worth(key.name)
        else:
            continue
        lines = (line, *upstream.dependents(line))
        items.append((loss, sum(each.artifact.memory_bytes for each in lines)))
    items.sort()
    return (
        [loss for loss, _ in items],
        list(itertools.accumulate(size for _, size in items)),
    )


def _tier(
    fleet: Fleet,
    upstream: PlannedUpstream,
    key: Key,
    line: Line,
    load: PlannedLoad,
) -> Tier | None:
    """Returns the tier of a line, None if ``load`` may not evict it."""
    if line.pending or key.name == load.artifact.base_model:
        return None  # its unload frees nothing, or the load needs it
    if upstream.has_loading_adapter(key.name):
        return None  # its unload would be refused
    artifact = fleet.configured.get(key.name)
    if artifact is None or fleet.is_superseded(upstream, key):
        return Tier.STALE
    if key.name == load.artifact.name:
        is_first = load.reason is not Reason.ADDITIONAL_REPLICA
        return Tier.OWN_OLD_VERSION if is_first else None
    age_s = fleet.snapshot.ages_s.get((upstream.id, key.name), float("inf"))
    if fleet.resident[key] > 1:
        if load.reason is not Reason.ADDITIONAL_REPLICA:
            return Tier.ADDITIONAL_REPLICA
        count = fleet.resident[key]
        loss = fleet.max_worth(key.name) / (count * (count - 1))
        is_old = age_s >= MIN_RESIDENCE_S
        is_worse = loss * HYSTERESIS_FACTOR < load.worth
        has_last_adapter = any(
            fleet.count(other.artifact) <= 1
            for other in upstream.dependents(line)
        )
        return (
            Tier.ADDITIONAL_REPLICA
            if is_old and is_worse and not has_last_adapter
            else None
        )
    return _tier_of_last_replica(fleet, key, load, age_s)


def _tier_of_last_replica(
    fleet: Fleet, key: Key, load: PlannedLoad, age_s: float
) -> Tier | None:
    worth = fleet.worth(key.name)
    model = fleet.configured[key.name].base_model or key.name
    has_foreign_replica = key.name in fleet.snapshot.foreign_resident
    is_foreign = model not in fleet.required
    if load.reason is Reason.COLD:
        # A foreign model stays reachable in another domain, whereas a required
        # model is loaded again at once and evicts another one.
        if is_foreign and has_foreign_replica and age_s >= MIN_RESIDENCE_S:
            return Tier.FOREIGN_MODEL
        is_cold = key.name in fleet.snapshot.cold
        is_busy = worth > load.worth
        factor = BUSY_RESIDENCE_FACTOR if is_busy or is_cold else 1.0
        if age_s >= MIN_RESIDENCE_S * factor:
            return Tier.LAST_REPLICA
        return None
    # If domains have memory for their required models, a foreign model has a
    # replica in its home domain. Otherwise this replica may be the last one.
    if not is_foreign or age_s < MIN_RESIDENCE_S:
        return None
    is_worse = worth * HYSTERESIS_FACTOR < load.worth
    if load.reason is Reason.FIRST_REPLICA:
        may_evict = is_worse or has_foreign_replica or fleet.fits_required
    else:
        may_evict = is_worse and has_foreign_replica
    return Tier.FOREIGN_MODEL if may_evict else None
