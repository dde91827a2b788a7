"""Plans for requests that only engines of one version can run."""

import unittest
from collections import Counter

from acaciaspoke.gateway.adapter_placement import plan_adapters
from acaciaspoke.gateway.messages import VersionDemand
from acaciaspoke.gateway.placement import Obstacle, plan_models
from acaciaspoke.ids import ModelId, SoftwareVersion
from acaciaspoke.platform.engine import OrderAction
from test.gateway.builders import (
    SERVICE,
    artifact,
    demand_for,
    demands,
    engine,
    engine_spec,
)

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
MODELS = ("m1", "m2", "m3", "m4")
SPEC = engine_spec(*MODELS)


def _waiting(name=None, **changes):
    fields = {
        "service": SERVICE,
        "artifact": name or artifact("m1"),
        "version": V1,
        "waiting": 1,
        "priority": 1,
        "oldest_s": 0.5,
        "remaining_s": 5.0,
    }
    return VersionDemand(**{**fields, **changes})


def _plan(engines, *waiting, known=None, **changes):
    every = demands(
        *(demand_for(artifact(model), priority=2) for model in MODELS)
    )
    fields = {"cold_loads": 5, "now_s": 0.0, "version_demand": waiting}
    return plan_models(
        engines, every | (known or {}), SPEC, **{**fields, **changes}
    )


class ModelTest(unittest.TestCase):
    """Engines of another version hold the model."""

    def setUp(self):
        self.new = engine("u1", "m1", version=V2)
        self.old = engine("u2", version=V1)

    def test_model_is_loaded_at_the_version(self):
        for engines in ([self.new, self.old], [self.old, self.new]):
            (order,) = _plan(engines, _waiting())
            self.assertEqual(
                ("u2", OrderAction.LOAD, artifact("m1")), order[:3]
            )
        self.assertEqual([], _plan([self.new, self.old]))

    def test_no_engine_of_the_version(self):
        other = engine("u2", version=V2)
        self.assertEqual([], _plan([self.new, other], _waiting()))

    def test_load_in_progress_is_waited_for(self):
        loading = engine(
            "u2", "m1", version=V1, loading=ModelId("m1"), models={"m1": 0.0}
        )
        idle = engine("u3", version=V1)
        self.assertEqual([], _plan([self.new, loading, idle], _waiting()))

    def test_reserved_memory_is_waited_for_and_used(self):
        making_room = engine(
            "u2",
            "m2",
            "m3",
            version=V1,
            reserved=ModelId("m1"),
            accepts_model_order=False,
        )
        idle = engine("u3", version=V1)
        self.assertEqual([], _plan([self.new, making_room, idle], _waiting()))
        ready = engine("u2", "m2", version=V1, reserved=ModelId("m1"))
        (order,) = _plan([self.new, ready], _waiting())
        self.assertEqual(("u2", OrderAction.LOAD, artifact("m1")), order[:3])

    def test_room_is_made_by_what_is_worth_less(self):
        full = engine("u2", "m2", "m3", "m4", version=V1)
        spare = engine("u3", "m2", "m4", version=V2)
        busy = demands(
            demand_for(artifact("m2"), priority=0, rate_per_s=8.0),
            demand_for(artifact("m4"), priority=0, rate_per_s=8.0),
        )
        (order,) = _plan([self.new, full, spare], _waiting(), known=busy)
        self.assertEqual(("u2", OrderAction.UNLOAD, artifact("m3")), order[:3])
        self.assertEqual("m1", order.reserve_for)

    def test_what_is_worth_more_stays(self):
        busy = demands(
            *(
                demand_for(artifact(model), priority=0, rate_per_s=8.0)
                for model in ("m2", "m3", "m4")
            )
        )
        full = engine(
            "u2", "m2", "m3", "m4", version=V1, running=Counter(m2=1, m3=1)
        )
        found = []
        orders = _plan(
            [self.new, full],
            _waiting(priority=2),
            known=busy,
            on_unplaced=found.append,
        )
        self.assertNotIn("u2", {order.upstream for order in orders})
        self.assertIn(
            ("m1", V1, Obstacle.COST),
            {(each.model, each.version, each.obstacle) for each in found},
        )

    def test_request_cannot_wait_for_the_load(self):
        engines = [self.new, self.old]
        late = _waiting(remaining_s=1.4)
        self.assertEqual([], _plan(engines, late))
        self.assertEqual(1, len(_plan(engines, _waiting(remaining_s=1.6))))

    def test_load_limit_holds(self):
        engines = [self.new, self.old]
        self.assertEqual([], _plan(engines, _waiting(), cold_loads=0))

    def test_urgent_work_goes_first(self):
        urgent = _waiting(priority=0)
        less_urgent = _waiting(artifact("m2"), priority=2)
        new = engine("u1", "m1", "m2", version=V2)
        (order,) = _plan([new, self.old], less_urgent, urgent)
        self.assertEqual(artifact("m1"), order.artifact)

    def test_one_load_for_a_model_in_a_round(self):
        # Requests of no version wait for it too; the first load may serve all.
        engines = [engine("u1", version=V1), engine("u2", version=V1)]
        known = demands(demand_for(artifact("m1"), waiting=1, priority=1))
        self.assertEqual(1, len(_plan(engines, _waiting(), known=known)))


class AdapterTest(unittest.TestCase):
    """Engines of another version hold the adapter."""

    def setUp(self):
        self.adapter = artifact("m1", "a1")
        self.new = engine(
            "u1", "m1", version=V2, adapters=frozenset([self.adapter])
        )
        self.waiting = _waiting(self.adapter)

    def _plan(self, *engines):
        return list(
            plan_adapters(
                list(engines), {}, SPEC, version_demand=[self.waiting]
            )
        )

    def test_adapter_is_loaded_at_the_version(self):
        old = engine("u2", "m1", version=V1)
        (order,) = self._plan(self.new, old)
        self.assertEqual(("u2", OrderAction.LOAD, self.adapter), order[:3])

    def test_model_is_loaded_at_the_version_first(self):
        old = engine("u2", version=V1)
        self.assertEqual([], self._plan(self.new, old))
        (order,) = _plan([self.new, old], self.waiting)
        self.assertEqual(("u2", OrderAction.LOAD, artifact("m1")), order[:3])

    def test_idle_adapter_makes_room(self):
        idle = artifact("m1", "a2")
        old = engine(
            "u2",
            "m1",
            version=V1,
            adapters=frozenset([idle, artifact("m1", "a3")]),
            adapters_in_use=frozenset([artifact("m1", "a3")]),
        )
        (order,) = self._plan(self.new, old)
        self.assertEqual(("u2", OrderAction.UNLOAD, idle), order[:3])
        self.assertEqual(self.adapter, order.then_load)

    def test_adapter_at_the_version_is_waited_for(self):
        old = engine("u2", "m1", version=V1, adapters=frozenset([self.adapter]))
        other = engine("u3", "m1", version=V1)
        self.assertEqual([], self._plan(self.new, old, other))
