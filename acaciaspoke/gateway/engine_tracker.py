"""Tracks the state of one engine, as the leader knows it.

Each order carries the number of orders that the engine has accepted so far, and
the engine rejects it if that number has changed. An order whose response was
lost can therefore not take effect any more once another order is accepted.
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
        is_confirmed: Whether ``seq`` and ``artifacts`` are confirmed.
        artifacts: What it holds, is loading, or may still hold.
        loaded_s: When artifacts were loaded.
        unloaded_s: When adapters were unloaded.
        model_order: The model order in progress.
        accepted_s: When that order was accepted.
        reserved: The model for which memory was freed.
        is_busy: Whether an order or a state query is in flight.
        query_due_s: When to query its state.
        cached_models: Models whose weights are in its host's memory or disk.
    """

    def __init__(self, record: UpstreamRecord):
        self.record = record
        self.seq = 0
        self.is_confirmed = False
        self.artifacts: set[Artifact] = set(record.artifacts)
        self.loaded_s: dict[Artifact, float] = {}
        self.model_order: PlannedOrder | None = None
        self.accepted_s = 0.0
        self.reserved: ModelId | None = None
        self.is_busy = False
        self.query_due_s = 0.0
        self.cached_models: frozenset[ModelId] = record.cached_models
        self.unloaded_s: dict[Artifact, float] = {}

    def apply_record(self, record: UpstreamRecord, now_s: float) -> None:
        """Updates the state from the engine's registered record."""
        if record.started_ms != self.record.started_ms:
            self._restart(record.started_ms)
        is_new = record is not self.record
        self.record = record
        if is_new:
            self.cached_models = record.cached_models | {
                artifact.model for artifact in self.artifacts
            }
        if self.model_order is None or not is_new:
            return
        # A record that was written before the order was accepted may still
        # arrive.
        if now_s - self.accepted_s >= RECORD_LAG_S:
            artifact = self.model_order.artifact
            loaded = self.model_order.action is OrderAction.LOAD
            if (artifact in record.artifacts) is loaded:
                self._finish_model_order(now_s)

    def apply_report(self, report: EngineReport, now_s: float) -> None:
        """Updates the state from an engine's report."""
        if report.started_ms and report.started_ms != self.record.started_ms:
            self._restart(report.started_ms)
        if report.order_seq < self.seq or report.is_order_in_progress:
            # The report is older than the last order, or that order is still in
            # progress.
            self.query_due_s = now_s + REPORT_LAG_S / 4
            return
        self.cached_models = report.cached_models | {
            artifact.model for artifact in report.artifacts
        }
        recent = {
            artifact
            for artifact in self.artifacts - report.artifacts
            if artifact.adapter is not None
            and now_s - self.loaded_s.get(artifact, 0.0) < REPORT_LAG_S
        }
        if self.model_order is not None:
            self._finish_model_order(now_s)
        self.artifacts = set(report.artifacts) | recent
        self.seq = report.order_seq
        self.is_confirmed = True
        self.query_due_s = float("inf")

    def apply_result(
        self, order: PlannedOrder, result: OrderResult, now_s: float
    ) -> None:
        """Updates the state from the engine's response to an order."""
        is_model = order.artifact.adapter is None
        is_unload = order.action is OrderAction.UNLOAD
        match result:
            case OrderResult.ACCEPTED:
                self.seq += 1
                self._apply(order, now_s)
                if is_model:
                    self.model_order = order
                    self.accepted_s = now_s
            case OrderResult.HOLDS_ALREADY if is_unload and not is_model:
                # An idle adapter is unloaded at once.
                self.seq += 1
                self._apply(order, now_s)
            case _:
                # The engine's state differs from the one assumed. An immediate
                # query would still return an old report.
                self.is_confirmed = False
                self.query_due_s = now_s + REPORT_LAG_S / 2

    def loaded_since(self, start_s: float) -> tuple[Artifact, ...]:
        """Returns the usable artifacts that were loaded since a time."""
        in_progress_artifact = (
            self.model_order.artifact if self.model_order else None
        )
        return tuple(
            artifact
            for artifact, loaded_s in self.loaded_s.items()
            if loaded_s >= start_s
            and artifact in self.artifacts
            and artifact != in_progress_artifact
        )

    def next_ready_model(
        self, spec: EngineSpec, now_s: float
    ) -> tuple[ModelId, float] | None:
        """Returns the model that is ready next, and in how many seconds."""
        if self.model_order is None:
            return None
        remaining_s = max(MIN_ORDER_S, self.query_due_s - now_s)
        if self.model_order.action is OrderAction.LOAD:
            return self.model_order.artifact.model, remaining_s
        model = spec.models.get(self.reserved)
        if model is None:
            return None
        is_cached = model.name in self.cached_models
        load_s = model.cached_load_s if is_cached else model.load_s
        return model.name, remaining_s + load_s

    def withdrawn_since(self, start_s: float) -> tuple[Artifact, ...]:
        """Returns the artifacts being unloaded, or unloaded since a time."""
        withdrawn = [
            artifact
            for artifact, unloaded_s in self.unloaded_s.items()
            if unloaded_s >= start_s
        ]
        if self.model_order and self.model_order.action is OrderAction.UNLOAD:
            withdrawn.append(self.model_order.artifact)
        return tuple(withdrawn)

    def view(self, running: Counter[Artifact], now_s: float) -> EngineView:
        """Returns the engine's state for the planner.

        Args:
            running: Requests of all hosts at the engine.
            now_s: The current time.
        """
        is_idle = self.is_confirmed and not self.is_busy
        unloading_models: frozenset[ModelId] = frozenset()
        unloading_s = 0.0
        loading = None
        if self.model_order and self.model_order.action is OrderAction.UNLOAD:
            unloading_models = frozenset([self.model_order.artifact.model])
            unloading_s = now_s - self.accepted_s
        elif self.model_order:
            loading = self.model_order.artifact.model
        by_model: Counter[ModelId] = Counter()
        for artifact, count in running.items():
            by_model[artifact.model] += count
        adapters = {
            artifact
            for artifact in self.artifacts
            if artifact.adapter is not None
        }
        in_use = {
            artifact
            for artifact in adapters
            if running[artifact]
            or now_s - self.loaded_s.get(artifact, 0.0) < ADAPTER_DEMAND_LAG_S
        }
        return EngineView(
            name=self.record.upstream,
            failure_domain=self.record.failure_domain,
            slots=self.record.slots,
            models={
                artifact.model: self.loaded_s.get(artifact, 0.0)
                for artifact in self.artifacts
                if artifact.adapter is None
            },
            adapters=frozenset(adapters),
            adapters_in_use=frozenset(in_use),
            accepts_model_order=is_idle and self.model_order is None,
            accepts_adapter_order=is_idle and self.model_order is None,
            unloading_models=unloading_models,
            unloading_s=unloading_s,
            loading=loading,
            reserved=self.reserved,
            running=by_model,
            cached_models=frozenset(self.cached_models),
            version=self.record.version,
        )

    def _apply(self, order: PlannedOrder, now_s: float) -> None:
        artifact = order.artifact
        if artifact.adapter is None:
            self.reserved = order.reserve_for
        if order.action is OrderAction.LOAD:
            self.artifacts.add(artifact)
            self.loaded_s[artifact] = now_s
            self.unloaded_s.pop(artifact, None)
            self.cached_models |= {artifact.model}
        elif artifact.adapter is not None:
            self.artifacts.discard(artifact)
            self.unloaded_s[artifact] = now_s

    def _finish_model_order(self, now_s: float) -> None:
        order, self.model_order = self.model_order, None
        self.query_due_s = float("inf")
        if order.action is OrderAction.LOAD:
            self.loaded_s[order.artifact] = now_s
            return
        self.artifacts = {
            artifact
            for artifact in self.artifacts
            if artifact.model != order.artifact.model
        }

    def _restart(self, started_ms: int) -> None:
        self.record = replace(self.record, started_ms=started_ms)
        self.artifacts = set()
        self.model_order = None
        self.reserved = None
        self.seq = 0
        self.is_confirmed = False
        self.query_due_s = 0.0
