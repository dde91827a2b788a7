"""Plans which models and adapters an upstream should hold.

``plan`` is a pure function from a situation to a short list of moves in order
of urgency. It is called again and again: a load that needs room is planned
only after the unloads that make the room have ended.
"""

from collections.abc import Iterable

from acaciaspoke.config.schema import Artifact
from acaciaspoke.control.eviction import Need, may_make_room, victims_for
from acaciaspoke.control.fleet import (
    REQUESTS_PER_COPY_S,
    Fleet,
    Key,
    Place,
    Situation,
)
from acaciaspoke.control.moves import Move, MoveKind, Reason
from acaciaspoke.control.reservations import Line
from acaciaspoke.ids import ArtifactName

MAX_MOVES = 32

# Demand decides between places whose free memory differs by at most this many
# times the need. Without a limit, last copies fill the places with less demand
# and leave replicas no room there.
SIMILAR_ROOM = 2


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
        self.fleet = Fleet(situation)
        self.places = self.fleet.places

    @property
    def is_full(self) -> bool:
        return len(self.moves) >= self.max_moves

    # Steps.

    def repeat_lost(self) -> None:
        """Sends orders without an answer again; their memory is reserved."""
        for place in self.places:
            for line in place.lost:
                kind = MoveKind.LOAD if line.is_loading else MoveKind.UNLOAD
                artifact = self.fleet.in_force.get(line.artifact.name)
                version = artifact.version if artifact else None
                if not line.is_loading or line.artifact.version == version:
                    self._add(kind, place, line.artifact, Reason.COPY)

    def load_cold(self) -> None:
        """Loads artifacts for which requests wait, urgent ranks first."""
        cold = {
            name: level
            for name, level in self.situation.cold.items()
            if name in self.fleet.in_force
        }
        for name, level in list(cold.items()):
            base = self.fleet.in_force[name].base_model
            if base and base in self.fleet.in_force:
                cold[base] = min(level, cold.get(base, level))
        order = sorted(
            cold,
            key=lambda name: (
                cold[name],
                bool(self.fleet.in_force[name].base_model),
                -self.fleet.worth(name),
                name,
            ),
        )
        self._load_first_copies(order, Reason.COLD)

    def load_copies(self) -> None:
        """Loads one copy of each model of the domain and its adapters."""
        names = [
            name
            for name, artifact in self.fleet.in_force.items()
            if (artifact.base_model or name) in self.fleet.wanted
            or any(place.holds(name) for place in self.places)
        ]
        self._load_first_copies(sorted(names, key=self._rank), Reason.COPY)

    def fill(self) -> None:
        """Loads copies of the other domains' models into free memory."""
        if any(self._is_waiting(name) for name in self.fleet.wanted):
            return
        guests = self.fleet.in_force.keys() - self.fleet.wanted
        most_free = max((place.free_bytes for place in self.places), default=0)
        names = [
            name
            for name in guests
            if self.fleet.in_force[name].memory_bytes <= most_free
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
                elif key.name not in self.fleet.in_force:
                    self._unload(place, line, Reason.REMOVED)
                elif self.fleet.is_replaced(place, key):
                    self._unload(place, line, Reason.VERSION)

    def load_replicas(self) -> None:
        """Adds copies of busy artifacts, the largest gain first."""
        needs: list[Need] = []
        for name, artifact in self.fleet.in_force.items():
            count = self.fleet.count(artifact)
            rate = self.fleet.lasting_rate(name)
            if count and rate.per_s > count * REQUESTS_PER_COPY_S:
                gain = rate.worth_per_s / (count * (count + 1))
                needs.append(Need(artifact, Reason.REPLICA, gain))
        needs.sort(key=lambda need: (-need.worth, need.artifact.name))
        for need in needs:
            if self.is_full:
                return
            self._place(need)

    # Helpers.

    def _rank(self, name: ArtifactName):
        artifact = self.fleet.in_force[name]
        return (
            bool(artifact.base_model),
            -self.fleet.worth(name),
            -artifact.memory_bytes,
            name,
        )

    def _is_waiting(self, name: ArtifactName) -> bool:
        """Whether a copy is still to be loaded into memory that exists."""
        artifact = self.fleet.in_force[name]
        return not self.fleet.count(artifact) and any(
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
            artifact = self.fleet.in_force[name]
            if not self.fleet.count(artifact):
                need = Need(artifact, reason, self.fleet.worth(name))
                self._place(need, may_evict=may_evict)

    def _place(self, need: Need, *, may_evict: bool = True) -> None:
        artifact = need.artifact
        places = self._fitting(need)
        if not places:
            return
        roomy = [
            place
            for place in places
            if place.free_bytes >= artifact.memory_bytes
        ]
        if roomy:
            # Of the places with nearly the most memory, the one whose artifacts
            # are asked for least has the most slots left.
            spare = {place.id: self.fleet.spare_bytes(place) for place in roomy}
            enough_bytes = max(
                spare.values()
            ) - SIMILAR_ROOM * self.fleet.bytes_with_adapters(artifact)
            place = min(
                (place for place in roomy if spare[place.id] >= enough_bytes),
                key=lambda place: (
                    self.fleet.expected_per_s(place),
                    -spare[place.id],
                ),
            )
            place.plan_load(artifact)
            self.fleet.copies[Key(artifact.name, artifact.version)] += 1
            self._add(MoveKind.LOAD, place, artifact, need.reason)
            return
        for place in places:
            coming = max(0, place.free_bytes) + place.coming_bytes
            if coming >= artifact.memory_bytes:
                place.promise(artifact.memory_bytes)
                return
        if may_evict:
            self._make_room(places, need)

    def _fitting(self, need: Need) -> list[Place]:
        """Returns the places that may hold an artifact if there is room."""
        artifact = need.artifact
        key = Key(artifact.name, artifact.version)
        base = artifact.base_model
        models = self.situation.config.models
        service = None if base else models[artifact.name].service
        # The reservation refuses a load while the artifact is being unloaded.
        return [
            place
            for place in self.places
            if key not in place.lines
            and key not in place.loading
            and key not in place.leaving
            and (place.holds(base) if base else place.service == service)
        ]

    def _make_room(self, places: list[Place], need: Need) -> None:
        choices = []
        for place in places:
            if not may_make_room(self.fleet, place, need):
                continue
            victims = victims_for(self.fleet, place, need)
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

    def _unload(self, place: Place, line: Line, reason: Reason) -> None:
        for each in (*place.dependents(line), line):
            key = Key(each.artifact.name, each.artifact.version)
            place.plan_unload(each)
            self.fleet.copies[key] -= 1
            self.fleet.resident[key] -= 1
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
