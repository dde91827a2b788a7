"""Plans which models and adapters an upstream should hold.

``plan`` is a pure function that returns a short list of orders by urgency. It
is called periodically: a load that needs an eviction is planned only after the
unloads that free the memory have ended.
"""

from collections.abc import Iterable

from acaciaspoke.config.schema import Artifact
from acaciaspoke.control.eviction import (
    PlannedLoad,
    choose_victims,
    may_find_victims,
)
from acaciaspoke.control.fleet import (
    REPLICA_REQUESTS_PER_S,
    DomainSnapshot,
    Fleet,
    Key,
    PlannedUpstream,
)
from acaciaspoke.control.planned_orders import OrderKind, PlannedOrder, Reason
from acaciaspoke.control.reservations import Line
from acaciaspoke.ids import ArtifactName

MAX_ORDERS = 32

# Demand decides between upstreams whose free memory differs by at most this
# many times the size of the load. Without a limit, last replicas fill the
# upstreams with little demand and leave no memory for additional replicas.
SPARE_TOLERANCE_FACTOR = 2


def plan(
    snapshot: DomainSnapshot, max_orders: int = MAX_ORDERS
) -> list[PlannedOrder]:
    """Returns the next orders of a failure domain, the most urgent first.

    Orders to one upstream must be executed in the sequence given.
    """
    planner = _Planner(snapshot, max_orders)
    steps = (
        planner.resend_unanswered,
        planner.load_cold,
        planner.load_first_replicas,
        planner.unload_stale,
        planner.fill_free_memory,
        planner.load_additional_replicas,
    )
    for step in steps:
        step()
    return planner.orders[:max_orders]


class _Planner:
    """The state of one call of ``plan``."""

    def __init__(self, snapshot: DomainSnapshot, max_orders: int):
        self.snapshot = snapshot
        self.max_orders = max_orders
        self.orders: list[PlannedOrder] = []
        self.fleet = Fleet(snapshot)
        self.upstreams = self.fleet.upstreams

    @property
    def is_full(self) -> bool:
        return len(self.orders) >= self.max_orders

    # Steps.

    def resend_unanswered(self) -> None:
        """Resends unanswered orders, whose memory is still reserved.

        Loads of a version that is no longer configured are not resent.
        """
        for upstream in self.upstreams:
            for line in upstream.unanswered:
                kind = OrderKind.LOAD if line.is_loading else OrderKind.UNLOAD
                artifact = self.fleet.configured.get(line.artifact.name)
                version = artifact.version if artifact else None
                if not line.is_loading or line.artifact.version == version:
                    self._add(
                        kind, upstream, line.artifact, Reason.FIRST_REPLICA
                    )

    def load_cold(self) -> None:
        """Loads artifacts that requests wait for, most urgent rank first."""
        cold = {
            name: level
            for name, level in self.snapshot.cold.items()
            if name in self.fleet.configured
        }
        for name, level in list(cold.items()):
            base = self.fleet.configured[name].base_model
            if base and base in self.fleet.configured:
                cold[base] = min(level, cold.get(base, level))
        by_urgency = sorted(
            cold,
            key=lambda name: (
                cold[name],
                bool(self.fleet.configured[name].base_model),
                -self.fleet.worth(name),
                name,
            ),
        )
        self._load_absent(by_urgency, Reason.COLD)

    def load_first_replicas(self) -> None:
        """Loads one replica of each required model and of its adapters."""
        names = [
            name
            for name, artifact in self.fleet.configured.items()
            if (artifact.base_model or name) in self.fleet.required
            or any(upstream.has_resident(name) for upstream in self.upstreams)
        ]
        self._load_absent(sorted(names, key=self._rank), Reason.FIRST_REPLICA)

    def fill_free_memory(self) -> None:
        """Loads models that other domains require into free memory."""
        if any(self._will_be_loaded(name) for name in self.fleet.required):
            return
        foreign = self.fleet.configured.keys() - self.fleet.required
        most_free = max(
            (upstream.free_bytes for upstream in self.upstreams), default=0
        )
        names = [
            name
            for name in foreign
            if self.fleet.configured[name].memory_bytes <= most_free
        ]
        self._load_absent(
            sorted(names, key=self._rank),
            Reason.ADDITIONAL_REPLICA,
            may_evict=False,
        )

    def unload_stale(self) -> None:
        """Unloads lines that are removed, superseded or missing."""
        for upstream in self.upstreams:
            for key, line in list(upstream.lines.items()):
                if key not in upstream.lines or self.is_full:
                    continue
                if (upstream.id, key.name) in self.snapshot.missing:
                    self._unload(upstream, line, Reason.MISSING)
                elif key.name not in self.fleet.configured:
                    self._unload(upstream, line, Reason.REMOVED)
                elif self.fleet.is_superseded(upstream, key):
                    self._unload(upstream, line, Reason.VERSION)

    def load_additional_replicas(self) -> None:
        """Adds replicas of artifacts in demand, the largest gain first."""
        loads: list[PlannedLoad] = []
        for name, artifact in self.fleet.configured.items():
            count = self.fleet.count(artifact)
            rate = self.fleet.sustained_rate(name)
            if count and rate.per_s > count * REPLICA_REQUESTS_PER_S:
                gain = rate.worth_per_s / (count * (count + 1))
                loads.append(
                    PlannedLoad(artifact, Reason.ADDITIONAL_REPLICA, gain)
                )
        loads.sort(key=lambda load: (-load.worth, load.artifact.name))
        for load in loads:
            if self.is_full:
                return
            self._plan_load(load)

    # Helpers.

    def _rank(self, name: ArtifactName):
        artifact = self.fleet.configured[name]
        return (
            bool(artifact.base_model),
            -self.fleet.worth(name),
            -artifact.memory_bytes,
            name,
        )

    def _will_be_loaded(self, name: ArtifactName) -> bool:
        """Returns whether an absent artifact fits after pending unloads."""
        artifact = self.fleet.configured[name]
        return not self.fleet.count(artifact) and any(
            upstream.free_bytes + upstream.unloading_bytes
            >= artifact.memory_bytes
            for upstream in self.upstreams
        )

    def _load_absent(
        self,
        names: Iterable[ArtifactName],
        reason: Reason,
        *,
        may_evict: bool = True,
    ) -> None:
        for name in names:
            if self.is_full:
                return
            artifact = self.fleet.configured[name]
            if not self.fleet.count(artifact):
                load = PlannedLoad(artifact, reason, self.fleet.worth(name))
                self._plan_load(load, may_evict=may_evict)

    def _plan_load(self, load: PlannedLoad, *, may_evict: bool = True) -> None:
        artifact = load.artifact
        upstreams = self._eligible_upstreams(load)
        if not upstreams:
            return
        fitting = [
            upstream
            for upstream in upstreams
            if upstream.free_bytes >= artifact.memory_bytes
        ]
        if fitting:
            # Of the upstreams with nearly the most free memory, the one with
            # the least demand has the most free slots.
            spare = {
                upstream.id: self.fleet.spare_bytes(upstream)
                for upstream in fitting
            }
            min_spare_bytes = max(
                spare.values()
            ) - SPARE_TOLERANCE_FACTOR * self.fleet.bytes_with_adapters(
                artifact
            )
            upstream = min(
                (
                    upstream
                    for upstream in fitting
                    if spare[upstream.id] >= min_spare_bytes
                ),
                key=lambda upstream: (
                    self.fleet.expected_requests_per_s(upstream),
                    -spare[upstream.id],
                ),
            )
            upstream.plan_load(artifact)
            self.fleet.replicas[Key(artifact.name, artifact.version)] += 1
            self._add(OrderKind.LOAD, upstream, artifact, load.reason)
            return
        for upstream in upstreams:
            available_bytes = (
                max(0, upstream.free_bytes) + upstream.unloading_bytes
            )
            if available_bytes >= artifact.memory_bytes:
                upstream.reserve(artifact.memory_bytes)
                return
        if may_evict:
            self._evict_for(upstreams, load)

    def _eligible_upstreams(self, load: PlannedLoad) -> list[PlannedUpstream]:
        """Returns the upstreams that may hold an artifact if it fits."""
        artifact = load.artifact
        key = Key(artifact.name, artifact.version)
        base = artifact.base_model
        models = self.snapshot.config.models
        service = None if base else models[artifact.name].service
        # A reservation refuses to load an artifact that is being unloaded.
        return [
            upstream
            for upstream in self.upstreams
            if key not in upstream.lines
            and key not in upstream.loading
            and key not in upstream.unloading
            and (
                upstream.has_resident(base)
                if base
                else upstream.service == service
            )
        ]

    def _evict_for(
        self, upstreams: list[PlannedUpstream], load: PlannedLoad
    ) -> None:
        choices = []
        for upstream in upstreams:
            if not may_find_victims(self.fleet, upstream, load):
                continue
            victims = choose_victims(self.fleet, upstream, load)
            if victims:
                cost = (
                    max(victim[:2] for victim in victims),
                    sum(victim.worth for victim in victims),
                    len(victims),
                )
                choices.append((cost, upstream.id, upstream, victims))
        if not choices:
            return
        _, _, upstream, victims = min(choices, key=lambda choice: choice[:2])
        for victim in victims:
            key = Key(victim.line.artifact.name, victim.line.artifact.version)
            if key in upstream.lines:
                self._unload(upstream, victim.line, Reason.EVICTION)
        upstream.reserve(load.artifact.memory_bytes)

    def _unload(
        self, upstream: PlannedUpstream, line: Line, reason: Reason
    ) -> None:
        for each in (*upstream.dependents(line), line):
            key = Key(each.artifact.name, each.artifact.version)
            upstream.plan_unload(each)
            self.fleet.replicas[key] -= 1
            self.fleet.resident[key] -= 1
            self._add(OrderKind.UNLOAD, upstream, each.artifact, reason)

    def _add(
        self,
        kind: OrderKind,
        upstream: PlannedUpstream,
        artifact: Artifact,
        reason: Reason,
    ) -> None:
        self.orders.append(
            PlannedOrder(
                kind=kind,
                upstream=upstream.id,
                artifact=artifact,
                reason=reason,
            )
        )
