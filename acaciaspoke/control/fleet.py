"""What placement sees: a situation, and a working view of its memory."""

import math
from collections import Counter, defaultdict
from collections.abc import Collection, Iterator, Mapping
from typing import NamedTuple

import msgspec
import xxhash

from acaciaspoke.config.schema import Artifact, Config, ServiceKind, artifact_of
from acaciaspoke.control.demand import Rate
from acaciaspoke.control.moves import Move, MoveKind
from acaciaspoke.control.reservations import Line, LineState, Reservation
from acaciaspoke.ids import ArtifactName, DomainId, ServiceId, UpstreamId
from acaciaspoke.net.records import UpstreamState

# Requests/s that one copy is expected to serve. A further replica is added
# above this rate per copy.
REQUESTS_PER_COPY_S = 4.0


# A load without an answer is repeated until this many orders are pending, as
# each of them takes room in the reservation row. Then another upstream is
# chosen.
MAX_PENDING = 8


class Key(NamedTuple):
    """One version of an artifact."""

    name: ArtifactName
    version: str


class Situation(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that a plan depends on.

    Attributes:
        domain: The failure domain that is planned.
        live_domains: The domains that share the models.
        slow_rates: The same demand over a longer time, by which replicas are
            judged as well; without it, ``rates`` decide alone.
        cold: Artifacts with waiting requests and no reachable copy, with the
            level of the most urgent rank that waits.
        in_flight: Moves that have been started and have not ended.
        ages_s: For how long an artifact has been on an upstream; artifacts
            without an entry have been there for long.
        missing: Artifacts that have a resident line, but that newer reports
            of the upstream do not show.
        elsewhere: Artifacts that are known to have a copy in another live
            domain.
    """

    config: Config
    domain: DomainId
    live_domains: frozenset[DomainId]
    reservations: Mapping[UpstreamId, Reservation]
    states: Mapping[UpstreamId, UpstreamState]
    rates: Mapping[ArtifactName, Rate] = {}
    slow_rates: Mapping[ArtifactName, Rate] | None = None
    cold: Mapping[ArtifactName, int] = {}
    in_flight: Collection[Move] = ()
    ages_s: Mapping[tuple[UpstreamId, ArtifactName], float] = {}
    missing: Collection[tuple[UpstreamId, ArtifactName]] = ()
    elsewhere: Collection[ArtifactName] = ()


class Place:
    """One usable upstream while a plan is made.

    Attributes:
        free_bytes: Memory without a line or a planned load.
        coming_bytes: Memory that unloads on their way will give back.
        lines: Its lines, but for those being unloaded.
        leaving: Artifacts that are being unloaded or planned to be.
        loading: Artifacts that are being loaded or planned to be.
        lost: Lines whose order got no answer and that nobody waits for.
        stuck: Loads that were repeated without an answer too often.
    """

    def __init__(self, situation: Situation, reservation: Reservation):
        self.id = reservation.upstream
        upstream = situation.config.upstreams[self.id]
        self.service = upstream.service
        self.free_bytes = reservation.free_bytes
        self.coming_bytes = 0
        self.lines: dict[Key, Line] = {}
        self.leaving: set[Key] = set()
        self.loading: dict[Key, Artifact] = {}
        self.lost: list[Line] = []
        self.stuck: set[Key] = set()
        self._by_base: defaultdict[str | None, list[Line]] | None = None
        self._held: Counter[ArtifactName] | None = None
        moves = {
            (move.kind, Key(move.artifact.name, move.artifact.version)): move
            for move in situation.in_flight
            if move.upstream == self.id
        }
        for line in reservation.lines:
            self._add_line(line, moves)
        for (kind, key), move in moves.items():
            has_line = key in self.lines or key in self.loading
            if kind is MoveKind.LOAD and not has_line:
                self.plan_load(move.artifact)

    def _add_line(self, line: Line, moves) -> None:
        key = Key(line.artifact.name, line.artifact.version)
        if line.is_loading:
            self.loading[key] = line.artifact
            if (MoveKind.LOAD, key) not in moves:
                if len(line.pending) < MAX_PENDING:
                    self.lost.append(line)
                else:
                    self.stuck.add(key)
        elif (MoveKind.UNLOAD, key) in moves:
            self.leaving.add(key)
            self.coming_bytes += line.artifact.memory_bytes
        elif line.state is LineState.UNLOADING:
            self.leaving.add(key)
            self.coming_bytes += line.artifact.memory_bytes
            self.lost.append(line)
        else:
            self.lines[key] = line

    def plan_load(self, artifact: Artifact) -> None:
        """Takes memory for a planned load."""
        self.loading[Key(artifact.name, artifact.version)] = artifact
        self.free_bytes -= artifact.memory_bytes

    def plan_unload(self, line: Line) -> None:
        """Counts the memory of a line as coming."""
        key = Key(line.artifact.name, line.artifact.version)
        del self.lines[key]
        self.leaving.add(key)
        self._by_base = None
        self._held = None
        self.coming_bytes += line.artifact.memory_bytes

    def promise(self, memory_bytes: int) -> None:
        """Keeps memory for a load that waits for unloads."""
        self.coming_bytes -= max(0, memory_bytes - max(0, self.free_bytes))
        self.free_bytes -= min(memory_bytes, max(0, self.free_bytes))

    def holds(self, name: ArtifactName) -> bool:
        """Whether some version of an artifact is resident."""
        return name in self._names()

    def is_awaited(self, name: ArtifactName) -> bool:
        """Whether an adapter of a model is being loaded."""
        return any(
            artifact.base_model == name for artifact in self.loading.values()
        )

    def dependents(self, line: Line) -> list[Line]:
        """Returns the adapters that need a line's model."""
        if self._by_base is None:
            self._by_base = defaultdict(list)
            for other in self.lines.values():
                self._by_base[other.artifact.base_model].append(other)
        name = line.artifact.name
        if name not in self._by_base:
            return []
        if self._names()[name] > 1:
            return []
        return self._by_base[name]

    def _names(self) -> Counter[ArtifactName]:
        if self._held is None:
            self._held = Counter(key.name for key in self.lines)
        return self._held


def usable_places(situation: Situation) -> list[Place]:
    """Returns the live engines of the domain, in a stable order."""
    config = situation.config
    return [
        Place(situation, reservation)
        for upstream_id, reservation in sorted(situation.reservations.items())
        if (upstream := config.upstreams.get(upstream_id)) is not None
        and upstream.failure_domain == situation.domain
        and upstream.service in config.services
        and config.services[upstream.service].kind is ServiceKind.ENGINE
        and situation.states.get(upstream_id) is UpstreamState.LIVE
    ]


def artifacts(config: Config) -> Iterator[Artifact]:
    """Yields all models, then all adapters in force."""
    for name in (*config.models, *config.adapters):
        artifact = artifact_of(config, name)
        if artifact is not None:
            yield artifact


def wanted_models(
    situation: Situation, places: Collection[Place]
) -> frozenset[ArtifactName]:
    """Returns the models of which the domain should always have a copy.

    These are all models of a service if they fit with their adapters,
    otherwise the domain's share of them.
    """
    config = situation.config
    needed: dict[ServiceId, int] = {}
    for artifact in artifacts(config):
        model = config.models.get(artifact.base_model or artifact.name)
        if model is not None:
            needed[model.service] = (
                needed.get(model.service, 0) + artifact.memory_bytes
            )
    memory: dict[ServiceId, int] = {}
    for place in places:
        size = situation.reservations[place.id].memory_bytes
        memory[place.service] = memory.get(place.service, 0) + size
    weights = _domain_weights(situation)
    return frozenset(
        name
        for name, model in config.models.items()
        if needed[model.service] <= memory.get(model.service, 0)
        or home_domain(name, weights.get(model.service, {})) == situation.domain
    )


def _domain_weights(
    situation: Situation,
) -> dict[ServiceId, dict[DomainId, int]]:
    weights: dict[ServiceId, dict[DomainId, int]] = {}
    for upstream in situation.config.upstreams.values():
        domain = upstream.failure_domain
        if domain in situation.live_domains or domain == situation.domain:
            of_service = weights.setdefault(upstream.service, {})
            of_service[domain] = (
                of_service.get(domain, 0) + upstream.memory_bytes
            )
    return weights


def home_domain(
    name: ArtifactName, weights: Mapping[DomainId, int]
) -> DomainId | None:
    """Returns a model's domain by weighted rendezvous hash.

    When a domain goes, only its own models get another home.
    """

    def score(domain: DomainId) -> float:
        digest = xxhash.xxh3_64_intdigest(f"{domain}/{name}".encode())
        return -weights[domain] / math.log((digest + 1) / (2**64 + 1))

    return max(sorted(weights), key=score, default=None)


class Fleet:
    """The usable places of a domain while a plan is made.

    Attributes:
        wanted: Models of which the domain should always have a copy.
        in_force: The artifacts of the configuration.
        copies: Lines of each version that are resident or being loaded.
        resident: Lines of each version that are resident.
        adapters: The adapters of each model.
        rates: The demand; that of adapters counts for the base as well.
        slow_rates: The same over a longer time.
        is_share_held: Whether all wanted models fit with their adapters.
        losses: What eviction has found out of each place.
    """

    def __init__(self, situation: Situation):
        self.situation = situation
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
            for key in place.loading.keys() - place.stuck:
                self.copies[key] += 1
        self.adapters: defaultdict[ArtifactName, list[Artifact]] = defaultdict(
            list
        )
        for artifact in self.in_force.values():
            if artifact.base_model:
                self.adapters[artifact.base_model].append(artifact)
        self.rates = self._with_adapters(situation.rates)
        self.slow_rates = (
            self.rates
            if situation.slow_rates is None
            else self._with_adapters(situation.slow_rates)
        )
        self.losses: dict[UpstreamId, tuple[list[float], list[int]]] = {}
        self.is_share_held = self._wanted_bytes() <= sum(
            situation.reservations[place.id].memory_bytes
            for place in self.places
        )

    def _wanted_bytes(self) -> int:
        return sum(
            artifact.memory_bytes
            for artifact in self.in_force.values()
            if (artifact.base_model or artifact.name) in self.wanted
        )

    def _with_adapters(
        self, given: Mapping[ArtifactName, Rate]
    ) -> dict[ArtifactName, Rate]:
        """Returns the rates; those of adapters count for the base as well."""
        rates = dict(given)
        for name, rate in given.items():
            artifact = self.in_force.get(name)
            if artifact is not None and artifact.base_model:
                base = rates.get(artifact.base_model, Rate())
                rates[artifact.base_model] = Rate(
                    base.per_s + rate.per_s,
                    base.worth_per_s + rate.worth_per_s,
                )
        return rates

    def worth(self, name: ArtifactName) -> float:
        """Returns the demand for an artifact, weighted by worth."""
        return self.rates.get(name, Rate()).worth_per_s

    def lasting_rate(self, name: ArtifactName) -> Rate:
        """Returns the demand that both the short and the long time show."""
        return min(
            self.rates.get(name, Rate()), self.slow_rates.get(name, Rate())
        )

    def recent_worth(self, name: ArtifactName) -> float:
        """Returns the larger worth of the short and the long time."""
        slow = self.slow_rates.get(name, Rate())
        return max(self.worth(name), slow.worth_per_s)

    def count(self, artifact: Artifact) -> int:
        """Returns the copies of one version, with those being loaded."""
        return self.copies[Key(artifact.name, artifact.version)]

    def expected_per_s(self, place: Place) -> float:
        """Returns the requests per second that a place's models will get."""
        return sum(
            self.rates[key.name].per_s / max(1, self.copies[key])
            for key in (*place.lines, *place.loading)
            if key.name in self.rates and not self.is_adapter(key)
        )

    def bytes_with_adapters(self, artifact: Artifact) -> int:
        """Returns the memory of an artifact with its adapters."""
        return artifact.memory_bytes + sum(
            adapter.memory_bytes for adapter in self.adapters[artifact.name]
        )

    def spare_bytes(self, place: Place) -> int:
        """Returns free memory, less what adapters of its models will need."""
        held = {key.name for key in (*place.lines, *place.loading)}
        return place.free_bytes - sum(
            artifact.memory_bytes
            for name in held
            for artifact in self.adapters.get(name, ())
            if artifact.name not in held and not self.count(artifact)
        )

    def is_adapter(self, key: Key) -> bool:
        """Whether the configuration has an adapter of this name."""
        artifact = self.in_force.get(key.name)
        return artifact is not None and bool(artifact.base_model)

    def is_replaced(self, place: Place, key: Key) -> bool:
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
