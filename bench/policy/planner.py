"""Collects demand for a placement and executes its orders."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from acaciaspoke.control.planned_orders import OrderKind, PlannedOrder, Reason
from acaciaspoke.entry.request import Request
from bench.policy import placements
from bench.policy.deployments import RANKS

if TYPE_CHECKING:
    from bench.policy.world import World

ORDER_DELAY_S = 0.02
PLAN_INTERVAL_S = 0.25
AVERAGE_INTERVAL_S = 1.0

# Keeps a flood of requests of little worth from evicting replicas that others
# use.
WORTH_WEIGHTS = {
    name: math.sqrt(rank.worth / max(r.worth for r in RANKS.values()))
    for name, rank in RANKS.items()
}


class Planner:
    """Collects demand, calls the placement and sends its orders."""

    def __init__(self, world: World):
        self.world = world
        self.last_used_s: dict[str, float] = {}
        self.planned_orders: list[tuple[float, PlannedOrder]] = []
        self.plan_ms: list[float] = []
        self._demand: dict[str, dict[str, float]] = {}
        self._arrived: dict[str, dict[str, int]] = {}
        self._slot_use: dict[str, float] = {}

    def record_request(self, request: Request) -> None:
        """Records an arrival."""
        name = request.artifact
        if name is None:
            return
        self.last_used_s[name] = self.world.clock.now_s
        base = self.world.artifacts[name].base_model
        if base is not None:
            self.last_used_s[base] = self.world.clock.now_s
        ranks = self._arrived.setdefault(name, {})
        ranks[request.rank] = ranks.get(request.rank, 0) + 1

    def prepare(self, weights: dict[str, float], per_s: float) -> None:
        """Loads models by long-term demand before the run."""
        for name, weight in weights.items():
            base = self.world.artifacts[name].base_model or name
            use = self._slot_use.get(base, 0.0)
            # A request occupies its slot for about 2.3 s on average.
            self._slot_use[base] = use + weight * per_s * 2.3
            self._demand[name] = {"urgent": weight * per_s}
        for _ in range(100):
            snapshot = self._snapshot()
            snapshot.concurrent_loads = 1000
            orders = placements.replicate(snapshot)
            for order in orders:
                self._execute(order, immediately=True)
            if not orders:
                break
        self.planned_orders.clear()

    def start(self) -> None:
        """Starts the averaging of demand and the planning."""
        self.world.clock.every(AVERAGE_INTERVAL_S, self.update_averages)
        self.world.clock.every(PLAN_INTERVAL_S, self.plan)

    def stop_domain(self, domain: str) -> None:
        """Does nothing; this planner is outside of the failure domains."""

    def plan(self) -> None:
        """Runs the placement and sends its orders."""
        for order in self.world.policy.place(self._snapshot()):
            self.world.clock.after(ORDER_DELAY_S, self._execute, order)

    def update_averages(self) -> None:
        """Averages demand and slot use over about 10 s."""
        keep = 0.9
        for name in self._demand.keys() | self._arrived.keys():
            old = self._demand.setdefault(name, {})
            new = self._arrived.get(name, {})
            for rank in old.keys() | new.keys():
                old[rank] = keep * old.get(rank, 0.0) + (1 - keep) * new.get(
                    rank, 0
                )
        self._arrived = {}
        use: dict[str, float] = {}
        for entry in self.world.entries:
            for pending in entry.pending_requests.values():
                name = pending.record.arrival.request.artifact
                if name is not None:
                    base = self.world.artifacts[name].base_model or name
                    rank = pending.record.arrival.request.rank
                    use[base] = use.get(base, 0.0) + WORTH_WEIGHTS[rank]
        for base in use.keys() | self._slot_use.keys():
            self._slot_use[base] = keep * self._slot_use.get(base, 0.0) + (
                1 - keep
            ) * use.get(base, 0.0)

    def _snapshot(self) -> placements.Snapshot:
        engines = {
            name: placements.EngineState(
                name=name,
                failure_domain=engine.config.failure_domain,
                slots=engine.config.slots,
                free_bytes=engine.free_bytes,
                resident=engine.resident | engine.reserved,
            )
            for name, engine in self.world.engines.items()
            if engine.alive and engine.config.memory_bytes
        }
        held = {n for e in engines.values() for n in e.resident}
        waiting = {
            pending.record.arrival.request.artifact
            for entry in getattr(self.world, "entries", ())
            for pending in entry.pending_requests.values()
        }
        return placements.Snapshot(
            now_s=self.world.clock.now_s,
            engines=engines,
            artifacts=self.world.artifacts,
            ranks=RANKS,
            demand=self._demand,
            slot_use=self._slot_use,
            cold=waiting - held - {None},
            last_used_s=self.last_used_s,
            loads_running=self.world.store.model_loads_running,
            concurrent_loads=self.world.deployment.concurrent_model_loads,
        )

    def _execute(
        self, order: placements.Order, immediately: bool = False
    ) -> None:
        engine = self.world.engines[order.engine]
        for name in order.unload:
            self._record_order(OrderKind.UNLOAD, order.engine, name)
            engine.unload(name)
        artifact = self.world.artifacts[order.load]
        held = engine.resident | engine.reserved
        if artifact.base_model and artifact.base_model not in engine.resident:
            return
        if order.load in held or not engine.reserve(artifact):
            return
        self._record_order(OrderKind.LOAD, order.engine, order.load)
        if immediately:
            engine.finish_load(order.load, engine.boots)
        else:
            self.world.store.load(engine, artifact)

    def _record_order(self, kind: OrderKind, engine: str, name: str) -> None:
        order = PlannedOrder(
            kind=kind,
            upstream=engine,
            artifact=self.world.artifacts[name],
            reason=Reason.FIRST_REPLICA,
        )
        self.planned_orders.append((self.world.clock.now_s, order))
