"""Plans which models and adapters an upstream should hold.

``plan`` is a pure function from a situation to a short list of moves in order
of urgency. It is called again and again: a load that needs room is planned
only after the unloads that make the room have ended.
"""

from collections import defaultdict
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from acaciaspoke.config.schema import Artifact
from acaciaspoke.control.demand import Rate
from acaciaspoke.control.fleet import (
    Key,
    Place,
    Situation,
    artifacts,
    usable_places,
    wanted_models,
)
from acaciaspoke.control.moves import Move, MoveKind, Reason
from acaciaspoke.control.reservations import Line
from acaciaspoke.ids import ArtifactName

MAX_MOVES = 32

# A load without an answer is repeated until this many orders are pending, as
# each of them takes room in the reservation row.
MAX_PENDING = 8

# Requests/s that one copy is expected to serve. A further replica is added
# above this rate per copy.
REQUESTS_PER_COPY_S = 4.0

# An artifact gives way to another one only if the other one is worth this
# many times as much, so that noise in two similar rates moves nothing.
HYSTERESIS = 2.0

# A last copy stays this long before a cold model may take its place, so that
# two models that share one place swap at most this often.
MIN_RESIDENCE_S = 10.0

# A last copy that is worth more than the cold model stays this many times as
# long: the cold model stays reachable without driving out busy ones.
BUSY_RESIDENCE_FACTOR = 4.0


class _Tier(IntEnum):
    """The order in which lines are given up."""

    STALE = 0
    REPLICA = 1
    GUEST = 2
    LAST_COPY = 3
    OWN_OLD_VERSION = 4


class _Need(NamedTuple):
    artifact: Artifact
    reason: Reason
    worth: float


class _Victim(NamedTuple):
    """A line that may be given up.

    Attributes:
        is_costly: A model that would make room for a mere adapter.
    """

    tier: _Tier
    is_costly: bool
    worth: float
    line: Line


def plan(situation: Situation, max_moves: int = MAX_MOVES) -> list[Move]:
    """Returns the next moves of a failure domain, the most urgent first.

    Moves of one upstream must be carried out in their order.
    """
    planner = _Planner(situation, max_moves)
    steps = (
        planner.repeat_lost,
        planner.load_cold,
        planner.load_copies,
        planner.unload_stale,
        planner.fill,
        planner.load_replicas,
    )
    for step in steps:
        step()
    return planner.moves[:max_moves]


class _Planner:
    """The state of one call of ``plan``."""

    def __init__(self, situation: Situation, max_moves: int):
        self.situation = situation
        self.max_moves = max_moves
        self.moves: list[Move] = []
        self.places = usable_places(situation)
        self.wanted = wanted_models(situation, self.places)
        self.in_force = {
            artifact.name: artifact for artifact in artifacts(situation.config)
        }
        self.copies: defaultdict[Key, int] = defaultdict(int)
        self.resident: defaultdict[Key, int] = defaultdict(int)
        for place in self.places:
            for key in place.lines:
                if (place.id, key.name) not in situation.missing:
                    self.resident[key] += 1
                    self.copies[key] += 1
            for key in place.loading:
                self.copies[key] += 1
        self.adapters: defaultdict[ArtifactName, list[Artifact]] = defaultdict(
            list
        )
        for artifact in self.in_force.values():
            if artifact.base_model:
                self.adapters[artifact.base_model].append(artifact)
        self.rates = self._rates_with_adapters()

    def _rates_with_adapters(self) -> dict[ArtifactName, Rate]:
        """Returns the rates; those of adapters count for the base as well."""
        rates = dict(self.situation.rates)
        for name, rate in self.situation.rates.items():
            artifact = self.in_force.get(name)
            if artifact is not None and artifact.base_model:
                base = rates.get(artifact.base_model, Rate())
                rates[artifact.base_model] = Rate(
                    base.per_s + rate.per_s,
                    base.worth_per_s + rate.worth_per_s,
                )
        return rates

    @property
    def is_full(self) -> bool:
        return len(self.moves) >= self.max_moves

    def worth(self, name: ArtifactName) -> float:
        return self.rates.get(name, Rate()).worth_per_s

    def count(self, artifact: Artifact) -> int:
        return self.copies[Key(artifact.name, artifact.version)]

    # Steps.

    def repeat_lost(self) -> None:
        """Sends orders without an answer again; their memory is reserved."""
        for place in self.places:
            for line in place.lost:
                kind = MoveKind.LOAD if line.is_loading else MoveKind.UNLOAD
                is_wanted = line.artifact.version == getattr(
                    self.in_force.get(line.artifact.name), "version", None
                )
                if kind is MoveKind.LOAD and (
                    not is_wanted or len(line.pending) >= MAX_PENDING
                ):
                    continue
                self._add(kind, place, line.artifact, Reason.COPY)

    def load_cold(self) -> None:
        """Loads artifacts for which requests wait, urgent ranks first."""
        cold = {
            name: level
            for name, level in self.situation.cold.items()
            if name in self.in_force
        }
        for name, level in list(cold.items()):
            base = self.in_force[name].base_model
            if base and base in self.in_force:
                cold[base] = min(level, cold.get(base, level))
        order = sorted(
            cold,
            key=lambda name: (
                cold[name],
                bool(self.in_force[name].base_model),
                -self.worth(name),
                name,
            ),
        )
        self._load_first_copies(order, Reason.COLD)

    def load_copies(self) -> None:
        """Loads one copy of each model of the domain and its adapters."""
        names = [
            name
            for name, artifact in self.in_force.items()
            if (artifact.base_model or name) in self.wanted
            or any(place.holds(name) for place in self.places)
        ]
        self._load_first_copies(sorted(names, key=self._rank), Reason.COPY)

    def fill(self) -> None:
        """Loads copies of the other domains' models into free memory."""
        if any(self._is_waiting(name) for name in self.wanted):
            return
        guests = self.in_force.keys() - self.wanted
        most_free = max((place.free_bytes for place in self.places), default=0)
        names = [
            name
            for name in guests
            if self.in_force[name].memory_bytes <= most_free
        ]
        self._load_first_copies(
            sorted(names, key=self._rank), Reason.REPLICA, may_evict=False
        )

    def unload_stale(self) -> None:
        """Unloads what is removed, replaced by a new version, or missing."""
        for place in self.places:
            for key, line in list(place.lines.items()):
                if key not in place.lines or self.is_full:
                    continue
                if (place.id, key.name) in self.situation.missing:
                    self._unload(place, line, Reason.MISSING)
                elif key.name not in self.in_force:
                    self._unload(place, line, Reason.REMOVED)
                elif self._is_replaced(place, key):
                    self._unload(place, line, Reason.VERSION)

    def load_replicas(self) -> None:
        """Adds copies of busy artifacts, the largest gain first."""
        needs = []
        for name, artifact in self.in_force.items():
            count = self.count(artifact)
            rate = self.rates.get(name, Rate())
            if count and rate.per_s > count * REQUESTS_PER_COPY_S:
                gain = rate.worth_per_s / (count * (count + 1))
                needs.append(_Need(artifact, Reason.REPLICA, gain))
        needs.sort(key=lambda need: (-need.worth, need.artifact.name))
        for need in needs:
            if self.is_full:
                return
            self._place(need)

    # Helpers.

    def _rank(self, name: ArtifactName):
        artifact = self.in_force[name]
        return (
            bool(artifact.base_model),
            -self.worth(name),
            -artifact.memory_bytes,
            name,
        )

    def _is_waiting(self, name: ArtifactName) -> bool:
        """Whether a copy is still to be loaded into memory that exists."""
        artifact = self.in_force[name]
        return not self.count(artifact) and any(
            place.free_bytes + place.coming_bytes >= artifact.memory_bytes
            for place in self.places
        )

    def _load_first_copies(
        self,
        names: Iterable[ArtifactName],
        reason: Reason,
        *,
        may_evict: bool = True,
    ) -> None:
        for name in names:
            if self.is_full:
                return
            artifact = self.in_force[name]
            if not self.count(artifact):
                need = _Need(artifact, reason, self.worth(name))
                self._place(need, may_evict=may_evict)

    def _place(self, need: _Need, *, may_evict: bool = True) -> None:
        artifact = need.artifact
        places = [place for place in self.places if self._fits(place, need)]
        if not places:
            return
        roomy = [
            place
            for place in places
            if place.free_bytes >= artifact.memory_bytes
        ]
        if roomy:
            # The most free memory also means the fewest artifacts that share
            # the upstream's slots.
            place = max(roomy, key=self._spare_bytes)
            place.plan_load(artifact)
            self.copies[Key(artifact.name, artifact.version)] += 1
            self._add(MoveKind.LOAD, place, artifact, need.reason)
            return
        for place in places:
            coming = max(0, place.free_bytes) + place.coming_bytes
            if coming >= artifact.memory_bytes:
                place.promise(artifact.memory_bytes)
                return
        if may_evict:
            self._make_room(places, need)

    def _spare_bytes(self, place: Place) -> int:
        """Returns free memory, less what adapters of its models will need."""
        held = {key.name for key in (*place.lines, *place.loading)}
        return place.free_bytes - sum(
            artifact.memory_bytes
            for name in held
            for artifact in self.adapters.get(name, ())
            if artifact.name not in held and not self.count(artifact)
        )

    def _fits(self, place: Place, need: _Need) -> bool:
        artifact = need.artifact
        key = Key(artifact.name, artifact.version)
        if key in place.lines or key in place.loading:
            return False
        if artifact.base_model:
            return place.holds(artifact.base_model)
        model = self.situation.config.models[artifact.name]
        return place.service == model.service

    def _make_room(self, places: list[Place], need: _Need) -> None:
        choices = []
        for place in places:
            victims = self._victims(place, need)
            if victims:
                cost = (
                    max(victim[:2] for victim in victims),
                    sum(victim.worth for victim in victims),
                    len(victims),
                )
                choices.append((cost, place.id, place, victims))
        if not choices:
            return
        _, _, place, victims = min(choices, key=lambda choice: choice[:2])
        for victim in victims:
            key = Key(victim.line.artifact.name, victim.line.artifact.version)
            if key in place.lines:
                self._unload(place, victim.line, Reason.ROOM)
        place.promise(need.artifact.memory_bytes)

    def _victims(self, place: Place, need: _Need) -> list[_Victim]:
        """Returns the cheapest lines that make enough room, or none."""
        candidates = [
            _Victim(
                tier,
                bool(need.artifact.base_model) and not self._is_adapter(key),
                self.worth(key.name),
                line,
            )
            for key, line in place.lines.items()
            if (tier := self._tier(place, key, line, need)) is not None
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
        chosen: dict[Key, _Victim] = {}
        for victim in candidates:
            if missing_bytes <= 0:
                break
            for line in (*place.dependents(victim.line), victim.line):
                key = Key(line.artifact.name, line.artifact.version)
                if key not in chosen:
                    chosen[key] = victim._replace(line=line)
                    missing_bytes -= line.artifact.memory_bytes
        return [] if missing_bytes > 0 else list(chosen.values())

    def _tier(
        self, place: Place, key: Key, line: Line, need: _Need
    ) -> _Tier | None:
        """Judges whether a line may make room for ``need``."""
        if line.pending or key.name == need.artifact.base_model:
            return None  # its unload frees nothing, or it is needed
        artifact = self.in_force.get(key.name)
        if artifact is None or self._is_replaced(place, key):
            return _Tier.STALE
        if key.name == need.artifact.name:
            is_first = need.reason is not Reason.REPLICA
            return _Tier.OWN_OLD_VERSION if is_first else None
        worth = self.worth(key.name)
        age_s = self.situation.ages_s.get((place.id, key.name), float("inf"))
        if self.resident[key] > 1:
            if need.reason is not Reason.REPLICA:
                return _Tier.REPLICA
            count = self.resident[key]
            loss = worth / (count * (count - 1))
            is_old = age_s >= MIN_RESIDENCE_S
            is_worse = loss * HYSTERESIS < need.worth
            return _Tier.REPLICA if is_old and is_worse else None
        if need.reason is Reason.COLD:
            is_cold = key.name in self.situation.cold
            is_busy = worth >= need.worth
            factor = BUSY_RESIDENCE_FACTOR if is_busy or is_cold else 1.0
            if age_s >= MIN_RESIDENCE_S * factor:
                return _Tier.LAST_COPY
        elif need.reason is Reason.COPY:
            is_guest = (artifact.base_model or key.name) not in self.wanted
            if is_guest and age_s >= MIN_RESIDENCE_S:
                return _Tier.GUEST
        return None

    def _is_adapter(self, key: Key) -> bool:
        artifact = self.in_force.get(key.name)
        return artifact is not None and bool(artifact.base_model)

    def _is_replaced(self, place: Place, key: Key) -> bool:
        """Whether the new version serves in an old version's place."""
        artifact = self.in_force.get(key.name)
        if artifact is None or artifact.version == key.version:
            return False
        new = Key(artifact.name, artifact.version)
        rate = self.rates.get(key.name, Rate()).per_s
        enough = max(1, round(rate / REQUESTS_PER_COPY_S))
        old = sum(
            count
            for other, count in self.resident.items()
            if other.name == key.name and other != new
        )
        return new in place.lines or self.resident[new] >= min(old, enough) > 0

    def _unload(self, place: Place, line: Line, reason: Reason) -> None:
        for each in (*place.dependents(line), line):
            key = Key(each.artifact.name, each.artifact.version)
            place.plan_unload(each)
            self.copies[key] -= 1
            self.resident[key] -= 1
            self._add(MoveKind.UNLOAD, place, each.artifact, reason)

    def _add(
        self, kind: MoveKind, place: Place, artifact: Artifact, reason: Reason
    ) -> None:
        self.moves.append(
            Move(
                kind=kind,
                upstream=place.id,
                artifact=artifact,
                reason=reason,
            )
        )
