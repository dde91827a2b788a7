"""Which lines give way to an artifact that needs room."""

import bisect
import itertools
from enum import IntEnum
from typing import NamedTuple

from acaciaspoke.config.schema import Artifact
from acaciaspoke.control.fleet import Fleet, Key, Place
from acaciaspoke.control.moves import Reason
from acaciaspoke.control.reservations import Line

# An artifact gives way to another one only if the other one is worth this
# many times as much, so that noise in two similar rates moves nothing.
HYSTERESIS = 2.0

# A last copy stays this long before a cold model may take its place, so that
# two models that share one place swap at most this often.
MIN_RESIDENCE_S = 10.0

# A last copy that is worth more than the cold model stays this many times as
# long: the cold model stays reachable without driving out busy ones.
BUSY_RESIDENCE_FACTOR = 4.0


class Tier(IntEnum):
    """The order in which lines are given up."""

    STALE = 0
    REPLICA = 1
    GUEST = 2
    LAST_COPY = 3
    OWN_OLD_VERSION = 4


class Need(NamedTuple):
    """An artifact that should be loaded, and what that is worth."""

    artifact: Artifact
    reason: Reason
    worth: float


class Victim(NamedTuple):
    """A line that may be given up.

    Attributes:
        is_costly: A model that would make room for a mere adapter.
    """

    tier: Tier
    is_costly: bool
    worth: float
    line: Line


def victims_for(fleet: Fleet, place: Place, need: Need) -> list[Victim]:
    """Returns the cheapest lines that make enough room, or none."""
    candidates = [
        Victim(
            tier,
            bool(need.artifact.base_model) and not fleet.is_adapter(key),
            fleet.worth(key.name),
            line,
        )
        for key, line in place.lines.items()
        if (tier := _tier(fleet, place, key, line, need)) is not None
    ]
    candidates.sort(
        key=lambda victim: (
            *victim[:3],
            victim.line.artifact.name,
            victim.line.artifact.version,
        )
    )
    missing_bytes = need.artifact.memory_bytes - (
        max(0, place.free_bytes) + place.coming_bytes
    )
    chosen: dict[Key, Victim] = {}
    for victim in candidates:
        if missing_bytes <= 0:
            break
        for line in (*place.dependents(victim.line), victim.line):
            key = Key(line.artifact.name, line.artifact.version)
            if key not in chosen:
                chosen[key] = victim._replace(line=line)
                missing_bytes -= line.artifact.memory_bytes
    return [] if missing_bytes > 0 else list(chosen.values())


def may_make_room(fleet: Fleet, place: Place, need: Need) -> bool:
    """Tells whether it is worth looking for victims for a replica.

    The table of a place is made once per plan. Evictions only raise the losses
    of other copies, so that it never hides a victim.
    """
    if need.reason is not Reason.REPLICA:
        return True
    table = fleet.losses.get(place.id)
    if table is None:
        table = fleet.losses[place.id] = _loss_table(fleet, place)
    losses, freed_bytes = table
    cheap = bisect.bisect_left(losses, need.worth / HYSTERESIS)
    missing_bytes = need.artifact.memory_bytes - (
        max(0, place.free_bytes) + place.coming_bytes
    )
    return cheap > 0 and freed_bytes[cheap - 1] >= missing_bytes


def _loss_table(fleet: Fleet, place: Place) -> tuple[list[float], list[int]]:
    """Returns the least losses of lines, and the bytes freed up to each."""
    items = []
    for key, line in place.lines.items():
        count = fleet.resident[key]
        if key.name not in fleet.in_force or fleet.is_replaced(place, key):
            loss = float("-inf")
        elif count > 1:
            loss = fleet.recent_worth(key.name) / (count * (count - 1))
        elif key.name in fleet.situation.elsewhere:
            loss = fleet.worth(key.name)
        else:
            continue
        lines = (line, *place.dependents(line))
        items.append((loss, sum(each.artifact.memory_bytes for each in lines)))
    items.sort()
    return (
        [loss for loss, _ in items],
        list(itertools.accumulate(size for _, size in items)),
    )


def _tier(
    fleet: Fleet, place: Place, key: Key, line: Line, need: Need
) -> Tier | None:
    """Judges whether a line may make room for ``need``."""
    if line.pending or key.name == need.artifact.base_model:
        return None  # its unload frees nothing, or it is needed
    if place.is_awaited(key.name):
        return None  # its unload would be refused
    artifact = fleet.in_force.get(key.name)
    if artifact is None or fleet.is_replaced(place, key):
        return Tier.STALE
    if key.name == need.artifact.name:
        is_first = need.reason is not Reason.REPLICA
        return Tier.OWN_OLD_VERSION if is_first else None
    age_s = fleet.situation.ages_s.get((place.id, key.name), float("inf"))
    if fleet.resident[key] > 1:
        if need.reason is not Reason.REPLICA:
            return Tier.REPLICA
        count = fleet.resident[key]
        loss = fleet.recent_worth(key.name) / (count * (count - 1))
        is_old = age_s >= MIN_RESIDENCE_S
        is_worse = loss * HYSTERESIS < need.worth
        is_last = any(
            fleet.count(other.artifact) <= 1 for other in place.dependents(line)
        )
        return Tier.REPLICA if is_old and is_worse and not is_last else None
    return _tier_of_last_copy(fleet, key, need, age_s)


def _tier_of_last_copy(
    fleet: Fleet, key: Key, need: Need, age_s: float
) -> Tier | None:
    worth = fleet.worth(key.name)
    model = fleet.in_force[key.name].base_model or key.name
    has_other_copy = key.name in fleet.situation.elsewhere
    is_guest = model not in fleet.wanted
    if need.reason is Reason.COLD:
        # A copy in another domain keeps a guest reachable, whereas a wanted
        # model that goes comes back at once at the cost of another one.
        if is_guest and has_other_copy and age_s >= MIN_RESIDENCE_S:
            return Tier.GUEST
        is_cold = key.name in fleet.situation.cold
        is_busy = worth > need.worth
        factor = BUSY_RESIDENCE_FACTOR if is_busy or is_cold else 1.0
        if age_s >= MIN_RESIDENCE_S * factor:
            return Tier.LAST_COPY
        return None
    # Where the domains can hold their shares, another domain's model has a
    # copy there. Otherwise the copy here may be the last one.
    if not is_guest or age_s < MIN_RESIDENCE_S:
        return None
    is_worse = worth * HYSTERESIS < need.worth
    if need.reason is Reason.COPY:
        may_go = is_worse or has_other_copy or fleet.is_share_held
    else:
        may_go = is_worse and has_other_copy
    return Tier.GUEST if may_go else None
