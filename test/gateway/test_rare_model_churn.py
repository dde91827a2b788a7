"""Tests that a rarely used model does not displace busy ones for nothing."""

import unittest
from collections import Counter

from acaciaspoke.gateway.demand import DemandTracker
from acaciaspoke.gateway.messages import ArtifactDemand, DemandDigest
from acaciaspoke.gateway.placement import plan_models
from acaciaspoke.ids import BootId, HostId, ModelId, UpstreamId
from acaciaspoke.platform.engine import OrderAction
from test.gateway.builders import SERVICE, artifact, engine, engine_spec

BUSY = ("m1", "m2", "m3")
RARE = "m5"
LOAD_S = 4.0
SPEC = engine_spec("m1", "m2", "m3", "m5", load_s=LOAD_S, slots=12)

# Requests for the rare model arrive at this interval and wait for less than a
# load takes.
INTERVAL_S = 13.0
PATIENCE_S = 1.75
STEP_S = 0.1
DURATION_S = 600.0


class _Fleet:
    """One engine for three models, and the demand for four."""

    def __init__(self) -> None:
        self.tracker = DemandTracker()
        self.models = {ModelId(model): -100.0 for model in BUSY}
        self.reserved: ModelId | None = None
        self.loading: ModelId | None = None
        self.busy_until_s = 0.0
        self.missing_since_s: dict[ModelId, float] = {}
        self.unloaded: Counter[ModelId] = Counter()
        self.served_rare = 0
        self._sequence = 0
        self._last_served = -1

    def step(self, now_s: float) -> None:
        """Reports the demand and executes the orders."""
        if self.loading is not None and now_s >= self.busy_until_s:
            self.loading = None
        self._report(now_s)
        order = self._plan(now_s)
        if order is None:
            return
        model = order.artifact.model
        if order.action is OrderAction.UNLOAD:
            del self.models[model]
            self.reserved = order.reserve_for
            self.unloaded[model] += 1
            return
        self.reserved = None
        self.loading = model
        self.busy_until_s = now_s + LOAD_S
        self.models[model] = self.busy_until_s

    def _ready(self, model: str) -> bool:
        return model in self.models and model != self.loading

    def _running(self, now_s: float) -> Counter[ModelId]:
        running = Counter({ModelId(m): 2 for m in BUSY if self._ready(m)})
        if self._ready(RARE) and now_s % INTERVAL_S < PATIENCE_S:
            running[ModelId(RARE)] = 1
        return running

    def _report(self, now_s: float) -> None:
        self._sequence += 1
        requests, wait_s = divmod(now_s, INTERVAL_S)
        running = self._running(now_s)
        if running[ModelId(RARE)] and int(requests) != self._last_served:
            self._last_served = int(requests)
            self.served_rare += 1
        waits = wait_s < PATIENCE_S and not self._ready(RARE)
        items = [
            ArtifactDemand(
                SERVICE,
                artifact(RARE),
                int(requests) + 1,
                int(waits),
                2,
                wait_s if waits else 0.0,
                0,
                PATIENCE_S - wait_s if waits else 0.0,
                PATIENCE_S + 0.25,
            )
        ]
        for model in map(ModelId, BUSY):
            if self._ready(model):
                self.missing_since_s[model] = now_s
            missing_s = now_s - self.missing_since_s.get(model, now_s)
            waiting = 0 if self._ready(model) else 4
            items.append(
                ArtifactDemand(
                    SERVICE,
                    artifact(model),
                    int(3 * now_s),
                    waiting,
                    1,
                    min(PATIENCE_S, missing_s),
                    0,
                    PATIENCE_S if waiting else 0.0,
                    PATIENCE_S + 0.25,
                )
            )
        counts = tuple((artifact(m), n) for m, n in running.items())
        self.tracker.apply(
            DemandDigest(
                host=HostId("h1"),
                boot=BootId("b"),
                sequence=self._sequence,
                demand=tuple(items),
                running={UpstreamId("u1"): counts},
            ),
            now_s,
        )

    def _plan(self, now_s: float):
        view = engine(
            "u1",
            slots=12,
            models=dict(self.models),
            running=self._running(now_s),
            accepts_model_order=self.loading is None,
            accepts_adapter_order=self.loading is None,
            loading=self.loading,
            reserved=self.reserved,
        )
        demands = self.tracker.totals(now_s)
        orders = plan_models([view], demands, SPEC, 5, now_s, observed_s=now_s)
        return orders[0] if orders else None


class UnusedReplicaTest(unittest.TestCase):
    """The replica of a rarely used model is evicted before its next request."""

    def test_model_that_is_never_served_does_not_displace_urgent_ones_again(
        self,
    ):
        fleet = _Fleet()
        for step in range(round(DURATION_S / STEP_S)):
            fleet.step(step * STEP_S)
        displaced = sum(fleet.unloaded[ModelId(model)] for model in BUSY)
        # At most one displacement for each request that was served.
        self.assertLessEqual(displaced, fleet.served_rare)


if __name__ == "__main__":
    unittest.main()
