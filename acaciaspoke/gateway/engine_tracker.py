"""Tracks the state of one engine, as the leader knows it.

Each order carries the number of orders that the engine has accepted so far, and
the engine rejects it if that number has changed. An order whose answer was lost
can therefore not take effect any more once another order is accepted.
"""

from collections import Counter

from msgspec.structs import replace

from acaciaspoke.gateway.engineview import EngineView, PlannedOrder
from acaciaspoke.gateway.types import (
    Artifact,
    EngineReport,
    EngineSpec,
    UpstreamRecord,
)
from acaciaspoke.ids import ModelId
from acaciaspoke.platform.engine import OrderAction, OrderResult

# Delay until the requests that waited for a new adapter are at the engine and
# known here.
ADAPTER_DEMAND_LAG_S = 0.25

# Reports are some tenths of a second old, so adapters that were loaded within
# this time are kept although a report lacks them.
REPORT_LAG_S = 0.6

# Delay until a record that an engine has written reaches the store.
RECORD_LAG_S = 0.2

# Lower bound of the expected time of an order; also used for one that takes
# longer than expected.
MIN_ORDER_S = 0.1


class EngineTracker:
    """The state of one engine, from its records, reports and order results.

    Attributes:
        seq: Number of orders that the engine is known to have accepted.
        is_known: Whether ``seq`` and ``artifacts`` are confirmed.
        artifacts: What it holds, is loading, or may still hold.
        since_s: When artifacts were loaded.
        evicted_s: When adapters were unloaded.
        moving: The model order that it is carrying out.
        moved_s: When that order was accepted.
        reserved: The model for which memory was freed.
        is_busy: Whether an order or a state query is in flight.
        ask_due_s: When to query its state.
        warm: Models whose weights are in its host's memory or disk.
    """

    def __init__(self, record: UpstreamRecord):
        self.record = record
        self.seq = 0
        self.is_known = False
        self.artifacts: set[Artifact] = set(record.artifacts)
        self.since_s: dict[Artifact, float] = {}
        self.moving: PlannedOrder | None = None
        self.moved_s = 0.0
        self.reserved: ModelId | None = None
        self.is_busy = False
        self.ask_due_s = 0.0
        self.warm: frozenset[ModelId] = record.cached_models
        self.evicted_s: dict[Artifact, float] = {}

    def take_record(self, record: UpstreamRecord, now_s: float) -> None:
        """Updates the state from the engine's registered record."""
        if record.started_ms != self.record.started_ms:
            self._restart(record.started_ms)
        is_new = record is not self.record
        self.record = record
        if is_new:
            self.warm = record.cached_models | {
                one.model for one in self.artifacts
            }
        if self.moving is None or not is_new:
            return
        # A record that was written before the order was accepted may still
        # arrive.
        if now_s - self.moved_s >= RECORD_LAG_S:
            artifact = self.moving.artifact
            loaded = self.moving.action is OrderAction.LOAD
            if (artifact in record.artifacts) is loaded:
                self._finish_move(now_s)

    def take_report(self, report: EngineReport, now_s: float) -> None:
        """Updates the state from the engine's answer to a state query."""
        if report.started_ms and report.started_ms != self.record.started_ms:
            self._restart(report.started_ms)
        if report.order_seq < self.seq or report.is_order_in_progress:
            # The report is older than the last order, or that order is still in
            # progress.
            self.ask_due_s = now_s + REPORT_LAG_S / 4
            return
        self.warm = report.cached_models | {
            one.model for one in report.artifacts
        }
        recent = {
            one
            for one in self.artifacts - report.artifacts
            if one.adapter is not None
            and now_s - self.since_s.get(one, 0.0) < REPORT_LAG_S
        }
        if self.moving is not None:
            self._finish_move(now_s)
        self.artifacts = set(report.artifacts) | recent
        self.seq = report.order_seq
        self.is_known = True
        self.ask_due_s = float("inf")

    def take_result(
        self, move: PlannedOrder, result: OrderResult, now_s: float
    ) -> None:
        """Updates the state from the engine's answer to an order."""
        is_model = move.artifact.adapter is None
        is_unload = move.action is OrderAction.UNLOAD
        match result:
            case OrderResult.ACCEPTED:
                self.seq += 1
                self._apply(move, now_s)
                if is_model:
                    self.moving = move
                    self.moved_s = now_s
            case OrderResult.HOLDS_ALREADY if is_unload and not is_model:
                # An idle adapter is unloaded at once.
                self.seq += 1
                self._apply(move, now_s)
            case _:
                # The engine's state differs from the one assumed. An immediate
                # query would still return an old report.
                self.is_known = False
                self.ask_due_s = now_s + REPORT_LAG_S / 2

    def loaded_since(self, start_s: float) -> tuple[Artifact, ...]:
        """Returns the usable artifacts that were loaded since a time."""
        moving = self.moving.artifact if self.moving else None
        return tuple(
            artifact
            for artifact, since_s in self.since_s.items()
            if since_s >= start_s
            and artifact in self.artifacts
            and artifact != moving
        )

    def coming(
        self, spec: EngineSpec, now_s: float
    ) -> tuple[ModelId, float] | None:
        """Returns the model that is ready next, and in how many seconds."""
        if self.moving is None:
            return None
        left_s = max(MIN_ORDER_S, self.ask_due_s - now_s)
        if self.moving.action is OrderAction.LOAD:
            return self.moving.artifact.model, left_s
        model = spec.models.get(self.reserved)
        if model is None:
            return None
        is_warm = model.name in self.warm
        load_s = model.cached_load_s if is_warm else model.load_s
        return model.name, left_s + load_s

    def withdrawn_since(self, start_s: float) -> tuple[Artifact, ...]:
        """Returns the artifacts that are or were unloaded since a time."""
        withdrawn = [
            artifact
            for artifact, evicted_s in self.evicted_s.items()
            if evicted_s >= start_s
        ]
        if self.moving and self.moving.action is OrderAction.UNLOAD:
            withdrawn.append(self.moving.artifact)
        return tuple(withdrawn)

    def view(self, running: Counter[Artifact], now_s: float) -> EngineView:
        """Returns the engine's state for the planner.

        Args:
            running: Requests of all hosts at the engine.
            now_s: The current time.
        """
        is_idle = self.is_known and not self.is_busy
        leaving: frozenset[ModelId] = frozenset()
        loading = None
        if self.moving and self.moving.action is OrderAction.UNLOAD:
            leaving = frozenset([self.moving.artifact.model])
        elif self.moving:
            loading = self.moving.artifact.model
        by_model: Counter[ModelId] = Counter()
        for artifact, count in running.items():
            by_model[artifact.model] += count
        adapters = {one for one in self.artifacts if one.adapter is not None}
        in_use = {
            one
            for one in adapters
            if running[one]
            or now_s - self.since_s.get(one, 0.0) < ADAPTER_DEMAND_LAG_S
        }
        return EngineView(
            name=self.record.upstream,
            failure_domain=self.record.failure_domain,
            slots=self.record.slots,
            models={
                one.model: self.since_s.get(one, 0.0)
                for one in self.artifacts
                if one.adapter is None
            },
            adapters=frozenset(adapters),
            adapters_in_use=frozenset(in_use),
            accepts_model_order=is_idle and self.moving is None,
            accepts_adapter_order=is_idle and self.moving is None,
            leaving=leaving,
            loading=loading,
            reserved=self.reserved,
            running=by_model,
            warm=frozenset(self.warm),
        )

    def _apply(self, move: PlannedOrder, now_s: float) -> None:
        artifact = move.artifact
        if artifact.adapter is None:
            self.reserved = move.room_for
        if move.action is OrderAction.LOAD:
            self.artifacts.add(artifact)
            self.since_s[artifact] = now_s
            self.evicted_s.pop(artifact, None)
            self.warm |= {artifact.model}
        elif artifact.adapter is not None:
            self.artifacts.discard(artifact)
            self.evicted_s[artifact] = now_s

    def _finish_move(self, now_s: float) -> None:
        move, self.moving = self.moving, None
        self.ask_due_s = float("inf")
        if move.action is OrderAction.LOAD:
            self.since_s[move.artifact] = now_s
            return
        self.artifacts = {
            one for one in self.artifacts if one.model != move.artifact.model
        }

    def _restart(self, started_ms: int) -> None:
        self.record = replace(self.record, started_ms=started_ms)
        self.artifacts = set()
        self.moving = None
        self.reserved = None
        self.seq = 0
        self.is_known = False
        self.ask_due_s = 0.0
