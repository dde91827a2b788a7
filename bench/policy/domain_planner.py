"""The planner of the product, one per failure domain.

Its input is that of a lease holder: demand messages of the local domain's entry
processes, its own reservations, and delayed states and reports.
"""

from __future__ import annotations

import itertools
import math
import time
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from acaciaspoke.config.schema import (
    Adapter,
    Artifact,
    Config,
    Model,
    WeightStore,
)
from acaciaspoke.control.contacts import DOMAIN_TIMEOUT_S
from acaciaspoke.control.demand import (
    LONG_HALF_LIFE_S,
    SHORT_HALF_LIFE_S,
    DemandRates,
)
from acaciaspoke.control.fleet import DomainSnapshot
from acaciaspoke.control.pacing import Pacer, domain_share
from acaciaspoke.control.placement import plan
from acaciaspoke.control.planned_orders import OrderKind, PlannedOrder
from acaciaspoke.control.planning import (
    IDLE_PLAN_INTERVAL_S,
    PLAN_CHECK_INTERVAL_S,
)
from acaciaspoke.control.reservations import (
    Answer,
    Order,
    Reservation,
    ReservationError,
    record_answer,
    reserve_load,
    reserve_unload,
)
from acaciaspoke.control.residency import Residency
from acaciaspoke.net.messages import Demand
from acaciaspoke.net.records import UpstreamState
from bench.policy.deployments import DOMAINS, KINDS, RANKS, SERVICES, Deployment

if TYPE_CHECKING:
    from bench.policy.world import World

DEMAND_INTERVAL_S = 1.0
# Time to write a reservation and to send the order.
ORDER_DELAY_S = 0.02
UNLOAD_CHECK_INTERVAL_S = 0.05
REPORT_TIMEOUT_S = 6.0
# Reports of upstreams in other domains are relayed, and so delayed.
FOREIGN_REPORT_INTERVAL_S = 2.0
MAX_PREPARE_ROUNDS = 200


class DomainPlanners:
    """The lease holders of all failure domains.

    Attributes:
        plan_ms: Processor time of each plan.
        planned_orders: The orders that were started, with their times.
    """

    def __init__(self, world: World):
        self.world = world
        self.plan_ms: list[float] = []
        self.planned_orders: list[tuple[float, PlannedOrder]] = []
        config = config_of(world)
        self.live = set(DOMAINS)
        self.by_domain = {
            domain: DomainPlanner(self, config, domain) for domain in DOMAINS
        }

    def prepare(self, weights: dict[str, float], per_s: float) -> None:
        """Loads artifacts by long-term demand before the run."""
        per_s_by_rank = Counter()
        for kind in KINDS:
            per_s_by_rank[kind.rank] += kind.per_s if kind.tokens else 0.0
        total = sum(per_s_by_rank.values())
        for planner in self.by_domain.values():
            for half_life_s, rates in (
                (SHORT_HALF_LIFE_S, planner.demand),
                (LONG_HALF_LIFE_S, planner.slow_demand),
            ):
                # The number of simultaneous arrivals that gives the
                # long-term rate.
                scale = per_s / len(DOMAINS) / total
                scale *= half_life_s / math.log(2)
                arrivals = {
                    name: {
                        rank: weight * rate * scale
                        for rank, rate in per_s_by_rank.items()
                    }
                    for name, weight in weights.items()
                }
                rates.add(Demand(sender="", arrivals=arrivals), 0.0)
        for _ in range(MAX_PREPARE_ROUNDS):
            planned_orders = [
                planner.plan_and_execute()
                for planner in self.by_domain.values()
            ]
            if not any(planned_orders):
                break
        self.planned_orders.clear()
        self.plan_ms.clear()

    def start(self) -> None:
        """Starts the demand reports of entry processes and the planning."""
        clock = self.world.clock
        for entry in self.world.entries:
            offset_s = self.world.rng.uniform(0, DEMAND_INTERVAL_S)
            clock.at(offset_s, self._report_demand, entry)
        for planner in self.by_domain.values():
            clock.every(PLAN_CHECK_INTERVAL_S, planner.step)
            clock.every(
                FOREIGN_REPORT_INTERVAL_S, planner.update_foreign_resident
            )

    def stop_domain(self, domain: str) -> None:
        """Stops a domain's planner; the others detect it after a time-out."""
        self.by_domain[domain].alive = False
        self.world.clock.after(DOMAIN_TIMEOUT_S, self.live.discard, domain)

    def _report_demand(self, entry) -> None:
        if not entry.alive:
            return
        demand = entry.collect_demand()
        if demand.arrivals or demand.cold:
            record_demand = self.by_domain[entry.domain].record_demand
            self.world.clock.after(
                self._demand_delay_s(), record_demand, demand
            )
        self.world.clock.after(DEMAND_INTERVAL_S, self._report_demand, entry)

    def _demand_delay_s(self) -> float:
        # From the entry process to its control process and to the holder.
        return 2 * self.world.deployment.domain_delay_s


class DomainPlanner:
    """Plans like ``acaciaspoke.control.planning``, on a virtual clock."""

    def __init__(self, planners: DomainPlanners, config: Config, domain: str):
        self.alive = True
        self.demand = DemandRates()
        self.slow_demand = DemandRates(LONG_HALF_LIFE_S)
        self._planners = planners
        self._world = planners.world
        self._config = config
        self._domain = domain
        self._rows = {
            name: Reservation(upstream=name, memory_bytes=u.memory_bytes)
            for name, u in config.upstreams.items()
            if u.failure_domain == domain and u.memory_bytes
        }
        self._residency = Residency()
        self._order_ids = itertools.count()
        limits = domain_share(config.weight_store, domain, planners.live)
        self._pacer = Pacer(limits, 0.0)
        self._foreign_resident: frozenset[str] = frozenset()
        self._planned_s = float("-inf")
        self._states_at_check: tuple = ()
        self._interval_s = IDLE_PLAN_INTERVAL_S

    def record_demand(self, demand: Demand) -> None:
        """Records a demand message of an entry process."""
        now_s = self._world.clock.now_s
        self.demand.add(demand, now_s)
        self.slow_demand.add(demand, now_s)

    def update_foreign_resident(self) -> None:
        """Updates the set of artifacts that are resident in other domains."""
        self._foreign_resident = frozenset(
            name
            for engine in self._world.engines.values()
            if engine.config.failure_domain != self._domain and engine.alive
            for name in engine.resident
        )

    def plan_and_execute(self) -> list[PlannedOrder]:
        """Plans before the run and executes the orders without delay."""
        self.update_foreign_resident()
        planned_orders = plan(self._snapshot())
        for planned in planned_orders:
            engine = self._world.engines[planned.upstream]
            if planned.kind is OrderKind.UNLOAD:
                engine.unload(planned.artifact.name)
                reserve = reserve_unload
            else:
                engine.reserve(planned.artifact)
                engine.finish_load(planned.artifact.name, engine.boots)
                reserve = reserve_load
            order = self._order()
            row = reserve(self._rows[planned.upstream], planned.artifact, order)
            self._rows[planned.upstream] = row
            self._record_result(planned, order)
        return planned_orders

    def step(self) -> None:
        """Plans if a plan is due, and starts the admitted orders."""
        now_s = self._world.clock.now_s
        if not self.alive or not self._is_due(now_s):
            return
        self._planned_s = now_s
        live = frozenset(self._planners.live)
        self._pacer.limits = domain_share(
            self._config.weight_store, self._domain, live
        )
        snapshot = self._snapshot()
        began_s = time.process_time()
        planned_orders = plan(snapshot)
        self._planners.plan_ms.append(1e3 * (time.process_time() - began_s))
        self._interval_s = (
            PLAN_CHECK_INTERVAL_S if planned_orders else IDLE_PLAN_INTERVAL_S
        )
        unloads: defaultdict[str, list[PlannedOrder]] = defaultdict(list)
        for planned in self._pacer.admit(planned_orders, now_s):
            self._planners.planned_orders.append((now_s, planned))
            if planned.kind is OrderKind.UNLOAD:
                unloads[planned.upstream].append(planned)
            else:
                self._load(planned)
        for batch in unloads.values():
            self._unload(batch)

    def _is_due(self, now_s: float) -> bool:
        states = tuple(self._states(now_s).items())
        changed, self._states_at_check = states != self._states_at_check, states
        return bool(
            changed
            or self._pacer.in_flight
            or self.demand.cold(RANKS, now_s)
            or now_s - self._planned_s >= self._interval_s
        )

    def _states(self, now_s: float) -> dict[str, UpstreamState]:
        engines = self._world.engines
        return {
            name: UpstreamState.SUSPECT
            if now_s - engines[name].crashed_s > REPORT_TIMEOUT_S
            else UpstreamState.LIVE
            for name in self._rows
        }

    def _snapshot(self) -> DomainSnapshot:
        now_s = self._world.clock.now_s
        self._residency.update(self._rows, {}, now_s)
        is_preparing = not self._world.clock.now_s
        return DomainSnapshot(
            config=self._config,
            domain=self._domain,
            live_domains=frozenset(self._planners.live),
            reservations=dict(self._rows),
            states=self._states(now_s),
            rates=self.demand.rates(RANKS, now_s),
            long_term_rates=self.slow_demand.rates(RANKS, now_s),
            cold=self.demand.cold(RANKS, now_s),
            in_flight=self._pacer.in_flight,
            ages_s={} if is_preparing else self._residency.ages_s(now_s),
            foreign_resident=self._foreign_resident,
        )

    # Orders.

    def _load(self, planned: PlannedOrder) -> None:
        order = self._order()
        try:
            row = reserve_load(
                self._rows[planned.upstream], planned.artifact, order
            )
        except ReservationError:
            self._pacer.release(planned)
            return
        self._rows[planned.upstream] = row
        self._world.clock.after(ORDER_DELAY_S, self._send_load, planned, order)

    def _send_load(self, planned: PlannedOrder, order: Order) -> None:
        engine = self._world.engines[planned.upstream]
        if engine.reserve(planned.artifact):
            self._world.store.load(
                engine, planned.artifact, self._record_result, planned, order
            )
        else:
            self._record_result(planned, order, Answer.REFUSED)

    def _unload(self, batch: list[PlannedOrder]) -> None:
        """Unloads in sequence: a model is unloaded after its adapters."""
        for number, planned in enumerate(batch):
            order = self._order()
            try:
                row = reserve_unload(
                    self._rows[planned.upstream], planned.artifact, order
                )
            except ReservationError:
                self._pacer.release(planned)
                continue
            self._rows[planned.upstream] = row
            rest = batch[number + 1 :]
            engine = self._world.engines[planned.upstream]
            clock = self._world.clock
            clock.after(ORDER_DELAY_S, engine.unload, planned.artifact.name)
            clock.after(
                UNLOAD_CHECK_INTERVAL_S,
                self._check_unload,
                planned,
                order,
                rest,
            )
            return

    def _check_unload(
        self, planned: PlannedOrder, order: Order, rest: list[PlannedOrder]
    ) -> None:
        engine = self._world.engines[planned.upstream]
        if planned.artifact.name in engine.unloading:
            self._world.clock.after(
                UNLOAD_CHECK_INTERVAL_S,
                self._check_unload,
                planned,
                order,
                rest,
            )
            return
        self._record_result(planned, order)
        self._unload(rest)

    def _record_result(
        self,
        planned: PlannedOrder,
        order: Order,
        answer: Answer = Answer.ACKNOWLEDGED,
    ) -> None:
        self._pacer.release(planned)
        row = self._rows[planned.upstream]
        self._rows[planned.upstream] = record_answer(
            row, order.order_id, answer
        )

    def _order(self) -> Order:
        return Order(
            order_id=str(next(self._order_ids)),
            boot_id="",
            token=0,
            after_sequence=0,
        )


def config_of(world: World) -> Config:
    """Returns the configuration of a lease holder."""
    deployment: Deployment = world.deployment
    known: dict[str, Artifact] = world.artifacts
    return Config(
        ranks=RANKS,
        services=SERVICES,
        models={
            name: Model(service="draft", memory_bytes=artifact.memory_bytes)
            for name, artifact in known.items()
            if artifact.base_model is None
        },
        adapters={
            name: Adapter(
                model=artifact.base_model, memory_bytes=artifact.memory_bytes
            )
            for name, artifact in known.items()
            if artifact.base_model is not None
        },
        upstreams=world.upstreams,
        weight_store=WeightStore(
            model_loads_per_s=deployment.model_loads_per_s,
            concurrent_model_loads=deployment.concurrent_model_loads,
            adapters_in_transit=deployment.adapters_in_transit,
        ),
    )
