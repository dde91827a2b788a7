"""The input of placement, and the memory of upstreams during a plan."""

import math
from collections import Counter, defaultdict
from collections.abc import Collection, Iterator, Mapping
from typing import NamedTuple

import msgspec
import xxhash

from acaciaspoke.config.schema import Artifact, Config, ServiceKind, artifact_of
from acaciaspoke.control.demand import Rate
from acaciaspoke.control.planned_orders import OrderKind, PlannedOrder
from acaciaspoke.control.reservations import Line, LineState, Reservation
from acaciaspoke.ids import ArtifactName, DomainId, ServiceId, UpstreamId
from acaciaspoke.net.records import UpstreamState

# Demand that one replica is expected to serve. Another replica is added above
# this rate per replica.
REPLICA_REQUESTS_PER_S = 4.0

# An unanswered load is resent until this many orders are pending, as each of
# them takes space in the reservation row. Then another upstream is chosen.
MAX_PENDING_ORDERS = 8


class Key(NamedTuple):
    """The name and version that identify an artifact."""

    name: ArtifactName
    version: str


class DomainSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that a plan depends on.

    Attributes:
        domain: The failure domain to plan.
        live_domains: The domains that share the models.
        long_term_rates: The demand averaged over a longer time, as additional
            replicas depend on both; None to use ``rates`` alone.
        cold: Artifacts with waiting requests and no reachable replica, with
            the level of the most urgent rank that waits.
        in_flight: Orders that have started and not ended.
        ages_s: How long an artifact has been resident on an upstream; without
            an entry, longer than any minimum.
        missing: Artifacts with a resident line that newer reports of the
            upstream do not list.
        foreign_resident: Artifacts known to have a replica in another live
            domain.
    """

    config: Config
    domain: DomainId
    live_domains: frozenset[DomainId]
    reservations: Mapping[UpstreamId, Reservation]
    states: Mapping[UpstreamId, UpstreamState]
    rates: Mapping[ArtifactName, Rate] = {}
    long_term_rates: Mapping[ArtifactName, Rate] | None = None
    cold: Mapping[ArtifactName, int] = {}
    in_flight: Collection[PlannedOrder] = ()
    ages_s: Mapping[tuple[UpstreamId, ArtifactName], float] = {}
    missing: Collection[tuple[UpstreamId, ArtifactName]] = ()
    foreign_resident: Collection[ArtifactName] = ()


class PlannedUpstream:
    """The memory of a usable upstream while a plan is made.

    Attributes:
        free_bytes: Memory without a line or a planned load.
        unloading_bytes: Memory that pending and planned unloads will free.
        lines: The lines without a pending or planned unload.
        unloading: Artifacts with a pending or planned unload.
        loading: Artifacts with a pending or planned load.
        unanswered: Lines with an unanswered order that no task waits for.
        given_up: Loads with too many unanswered orders.
    """

    def __init__(self, snapshot: DomainSnapshot, reservation: Reservation):
        self.id = reservation.upstream
        upstream = snapshot.config.upstreams[self.id]
        self.service = upstream.service
        self.free_bytes = reservation.free_bytes
        self.unloading_bytes = 0
        self.lines: dict[Key, Line] = {}
        self.unloading: set[Key] = set()
        self.loading: dict[Key, Artifact] = {}
        self.unanswered: list[Line] = []
        self.given_up: set[Key] = set()
        self._by_base: defaultdict[str | None, list[Line]] | None = None
        self._resident_counts: Counter[ArtifactName] | None = None
        orders = {
            (
                order.kind,
                Key(order.artifact.name, order.artifact.version),
            ): order
            for order in snapshot.in_flight
            if order.upstream == self.id
        }
        for line in reservation.lines:
            self._add_line(line, orders)
        for (kind, key), order in orders.items():
            has_line = key in self.lines or key in self.loading
            if kind is OrderKind.LOAD and not has_line:
                self.plan_load(order.artifact)

    def _add_line(self, line: Line, orders) -> None:
        key = Key(line.artifact.name, line.artifact.version)
        if line.is_loading:
            self.loading[key] = line.artifact
            if (OrderKind.LOAD, key) not in orders:
                if len(line.pending) < MAX_PENDING_ORDERS:
                    self.unanswered.append(line)
                else:
                    self.given_up.add(key)
        elif (OrderKind.UNLOAD, key) in orders:
            self.unloading.add(key)
            self.unloading_bytes += line.artifact.memory_bytes
        elif line.state is LineState.UNLOADING:
            self.unloading.add(key)
            self.unloading_bytes += line.artifact.memory_bytes
            self.unanswered.append(line)
        else:
            self.lines[key] = line

    def plan_load(self, artifact: Artifact) -> None:
        """Subtracts a planned load from the free memory."""
        self.loading[Key(artifact.name, artifact.version)] = artifact
        self.free_bytes -= artifact.memory_bytes

    def plan_unload(self, line: Line) -> None:
        """Counts the memory of a line as being unloaded."""
        key = Key(line.artifact.name, line.artifact.version)
        del self.lines[key]
        self.unloading.add(key)
        self._by_base = None
        self._resident_counts = None
        self.unloading_bytes += line.artifact.memory_bytes

    def reserve(self, memory_bytes: int) -> None:
        """Reserves memory for a load that waits for unloads."""
        self.unloading_bytes -= max(0, memory_bytes - max(0, self.free_bytes))
        self.free_bytes -= min(memory_bytes, max(0, self.free_bytes))

    def has_resident(self, name: ArtifactName) -> bool:
        """Returns whether some version of an artifact is resident."""
        return name in self._count_by_name()

    def has_loading_adapter(self, name: ArtifactName) -> bool:
        """Returns whether a model's adapter has a pending or planned load."""
        return any(
            artifact.base_model == name for artifact in self.loading.values()
        )

    def dependents(self, line: Line) -> list[Line]:
        """Returns the adapters to unload before a line."""
        if self._by_base is None:
            self._by_base = defaultdict(list)
            for other in self.lines.values():
                self._by_base[other.artifact.base_model].append(other)
        name = line.artifact.name
        if name not in self._by_base:
            return []
        if self._count_by_name()[name] > 1:
            return []
        return self._by_base[name]

    def _count_by_name(self) -> Counter[ArtifactName]:
        if self._resident_counts is None:
            self._resident_counts = Counter(key.name for key in self.lines)
        return self._resident_counts


def usable_upstreams(snapshot: DomainSnapshot) -> list[PlannedUpstream]:
    """Returns the live engines of the domain, in a stable order."""
    config = snapshot.config
    return [
        PlannedUpstream(snapshot, reservation)
        for upstream_id, reservation in sorted(snapshot.reservations.items())
        if (upstream := config.upstreams.get(upstream_id)) is not None
        and upstream.failure_domain == snapshot.domain
        and upstream.service in config.services
        and config.services[upstream.service].kind is ServiceKind.ENGINE
        and snapshot.states.get(upstream_id) is UpstreamState.LIVE
    ]


def artifacts(config: Config) -> Iterator[Artifact]:
    """Yields all configured models, then all configured adapters."""
    for name in (*config.models, *config.adapters):
        artifact = artifact_of(config, name)
        if artifact is not None:
            yield artifact


def required_models(
    snapshot: DomainSnapshot, upstreams: Collection[PlannedUpstream]
) -> frozenset[ArtifactName]:
    """Returns the models that the domain should always hold.

    These are all models of a service if they fit with their adapters,
    otherwise the models whose home is the domain.
    """
    config = snapshot.config
    needed: dict[ServiceId, int] = {}
    for artifact in artifacts(config):
        model = config.models.get(artifact.base_model or artifact.name)
        if model is not None:
            needed[model.service] = (
                needed.get(model.service, 0) + artifact.memory_bytes
            )
    memory: dict[ServiceId, int] = {}
    for upstream in upstreams:
        size = snapshot.reservations[upstream.id].memory_bytes
        memory[upstream.service] = memory.get(upstream.service, 0) + size
    weights = _domain_weights(snapshot)
    return frozenset(
        name
        for name, model in config.models.items()
        if needed[model.service] <= memory.get(model.service, 0)
        or home_domain(name, weights.get(model.service, {})) == snapshot.domain
    )


def _domain_weights(
    snapshot: DomainSnapshot,
) -> dict[ServiceId, dict[DomainId, int]]:
    weights: dict[ServiceId, dict[DomainId, int]] = {}
    for upstream in snapshot.config.upstreams.values():
        domain = upstream.failure_domain
        if domain in snapshot.live_domains or domain == snapshot.domain:
            of_service = weights.setdefault(upstream.service, {})
            of_service[domain] = (
                of_service.get(domain, 0) + upstream.memory_bytes
            )
    return weights


def home_domain(
    name: ArtifactName, weights: Mapping[DomainId, int]
) -> DomainId | None:
    """Returns the home domain of a model by weighted rendezvous hashing.

    When a domain is removed, only its own models get another home.
    """

    def score(domain: DomainId) -> float:
        digest = xxhash.xxh3_64_intdigest(f"{domain}/{name}".encode())
        return -weights[domain] / math.log((digest + 1) / (2**64 + 1))

    return max(sorted(weights), key=score, default=None)


class Fleet:
    """The usable upstreams of a domain while a plan is made.

    Attributes:
        required: Models that the domain should always hold.
        configured: The artifacts of the configuration.
        replicas: Number of resident or loading lines of each version.
        resident: Number of resident lines of each version.
        adapters: The adapters of each model.
        rates: The demand; that of an adapter counts for its model as well.
        long_term_rates: The same over a longer time.
        fits_required: Whether the required models fit with adapters.
        losses: The loss table of each upstream, see ``may_find_victims``.
    """

    def __init__(self, snapshot: DomainSnapshot):
        self.snapshot = snapshot
        self.upstreams = usable_upstreams(snapshot)
        self.required = required_models(snapshot, self.upstreams)
        self.configured = {
            artifact.name: artifact for artifact in artifacts(snapshot.config)
        }
        self.replicas: defaultdict[Key, int] = defaultdict(int)
        self.resident: defaultdict[Key, int] = defaultdict(int)
        for upstream in self.upstreams:
            for key in upstream.lines:
                if (upstream.id, key.name) not in snapshot.missing:
                    self.resident[key] += 1
                    self.replicas[key] += 1
            for key in upstream.loading.keys() - upstream.given_up:
                self.replicas[key] += 1
        self.adapters: defaultdict[ArtifactName, list[Artifact]] = defaultdict(
            list
        )
        for artifact in self.configured.values():
            if artifact.base_model:
                self.adapters[artifact.base_model].append(artifact)
        self.rates = self._with_adapters(snapshot.rates)
        self.long_term_rates = (
            self.rates
            if snapshot.long_term_rates is None
            else self._with_adapters(snapshot.long_term_rates)
        )
        self.losses: dict[UpstreamId, tuple[list[float], list[int]]] = {}
        self.fits_required = self._required_bytes() <= sum(
            snapshot.reservations[upstream.id].memory_bytes
            for upstream in self.upstreams
        )

    def _required_bytes(self) -> int:
        return sum(
            artifact.memory_bytes
            for artifact in self.configured.values()
            if (artifact.base_model or artifact.name) in self.required
        )

    def _with_adapters(
        self, given: Mapping[ArtifactName, Rate]
    ) -> dict[ArtifactName, Rate]:
        """Returns the rates, with those of adapters added to their models."""
        rates = dict(given)
        for name, rate in given.items():
            artifact = self.configured.get(name)
            if artifact is not None and artifact.base_model:
                base = rates.get(artifact.base_model, Rate())
                rates[artifact.base_model] = Rate(
                    base.per_s + rate.per_s,
                    base.worth_per_s + rate.worth_per_s,
                )
        return rates

    def worth(self, name: ArtifactName) -> float:
        """Returns the demand for an artifact, weighted by the ranks' worth."""
        return self.rates.get(name, Rate()).worth_per_s

    def sustained_rate(self, name: ArtifactName) -> Rate:
        """Returns the lower of the short-term and the long-term demand."""
        return min(
            self.rates.get(name, Rate()), self.long_term_rates.get(name, Rate())
        )

    def max_worth(self, name: ArtifactName) -> float:
        """Returns the higher of the short-term and the long-term worth."""
        slow = self.long_term_rates.get(name, Rate())
        return max(self.worth(name), slow.worth_per_s)

    def count(self, artifact: Artifact) -> int:
        """Returns the number of resident or loading replicas of a version."""
        return self.replicas[Key(artifact.name, artifact.version)]

    def expected_requests_per_s(self, upstream: PlannedUpstream) -> float:
        """Returns the demand that the models of an upstream will get."""
        return sum(
            self.rates[key.name].per_s / max(1, self.replicas[key])
            for key in (*upstream.lines, *upstream.loading)
            if key.name in self.rates and not self.is_adapter(key)
        )

    def bytes_with_adapters(self, artifact: Artifact) -> int:
        """Returns the memory of an artifact with its adapters."""
        return artifact.memory_bytes + sum(
            adapter.memory_bytes for adapter in self.adapters[artifact.name]
        )

    def spare_bytes(self, upstream: PlannedUpstream) -> int:
        """Returns free memory less that for absent adapters of its models."""
        held = {key.name for key in (*upstream.lines, *upstream.loading)}
        return upstream.free_bytes - sum(
            artifact.memory_bytes
            for name in held
            for artifact in self.adapters.get(name, ())
            if artifact.name not in held and not self.count(artifact)
        )

    def is_adapter(self, key: Key) -> bool:
        """Returns whether the configuration has an adapter of this name."""
        artifact = self.configured.get(key.name)
        return artifact is not None and bool(artifact.base_model)

    def is_superseded(self, upstream: PlannedUpstream, key: Key) -> bool:
        """Returns whether the configured version can replace ``key``."""
        artifact = self.configured.get(key.name)
        if artifact is None or artifact.version == key.version:
            return False
        new = Key(artifact.name, artifact.version)
        rate = self.rates.get(key.name, Rate()).per_s
        enough = max(1, round(rate / REPLICA_REQUESTS_PER_S))
        old = sum(
            count
            for other, count in self.resident.items()
            if other.name == key.name and other != new
        )
        return (
            new in upstream.lines or self.resident[new] >= min(old, enough) > 0
        )
