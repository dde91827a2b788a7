"""Tests that a model does not wait for an engine behind long requests.

On a day with demand that moved, an engine took 8 s to unload another model, as
one of its streams took as long. No other engine was chosen meanwhile, and the
requests for a popular model were refused all the time.
"""

import unittest
from collections import Counter

from acaciaspoke.gateway.placement import plan_models
from acaciaspoke.ids import ModelId
from acaciaspoke.platform.engine import OrderAction
from test.gateway.builders import (
    artifact,
    demand_for,
    demands,
    engine,
    engine_spec,
)

LOAD_S = 1.5
SPEC = engine_spec("m1", "m2", "m3", "m5", load_s=LOAD_S, slots=24)
MODEL = ModelId("m5")
STEP_S = 0.1


def _engine(name, *models, **changes):
    return engine(name, *models, slots=24, **changes)


OTHER = _engine("u2", "m1", "m2", "m3")


def _plan(engines, waiting, now_s=0.0, **options):
    demand = demands(
        demand_for(
            artifact(MODEL),
            arrivals=20,
            rate_per_s=4.0,
            waiting=waiting,
            oldest_s=0.1,
            remaining_s=8.0,
            patience_s=8.0,
        )
    )
    return plan_models(engines, demand, SPEC, 100, now_s, **options)


def _unloading(name, since_s, **changes):
    return _engine(
        name,
        *("m1", "m2", "m3"),
        reserved=MODEL,
        unloading_models=frozenset([ModelId("m3")]),
        unloading_s=since_s,
        accepts_model_order=False,
        accepts_adapter_order=False,
        **changes,
    )


def first_replica_s(unloads_s: dict[str, float], **options) -> float:
    """Returns when a model without a replica has one.

    Args:
        unloads_s: How long an unload takes at each engine. The planner does not
            know, and prefers the first one, which is empty.
        options: Options of the planner.
    """
    unloading: dict[str, float] = {}
    step = 0
    while True:
        now_s = STEP_S * step
        engines = []
        for name, unload_s in unloads_s.items():
            since_s = unloading.get(name)
            if since_s is None:
                running = Counter({ModelId("m1"): len(engines)})
                engines.append(_engine(name, "m1", "m2", "m3", running=running))
            elif now_s - since_s < unload_s:
                engines.append(_unloading(name, now_s - since_s))
            else:
                return now_s + LOAD_S
        for order in _plan(engines, 4, now_s, **options):
            assert order.action is OrderAction.UNLOAD
            unloading[order.upstream] = now_s
        step += 1


class SlowUnloadTest(unittest.TestCase):

    def test_another_engine_is_chosen_while_one_unloads_for_long(self):
        engines = [_unloading("u1", 1.1 * LOAD_S), OTHER]
        (order,) = _plan(engines, 4, replaces_slow_unloads=True)
        self.assertEqual((OTHER.name, MODEL), (order[0], order.reserve_for))

    def test_short_unload_is_waited_for(self):
        # Otherwise each load would evict two models.
        engines = [_unloading("u1", 0.9 * LOAD_S), OTHER]
        self.assertEqual([], _plan(engines, 4, replaces_slow_unloads=True))

    def test_engines_of_one_speed_are_waited_for(self):
        engines = [_unloading("u1", 10 * LOAD_S), OTHER]
        self.assertEqual([], _plan(engines, 4))

    def test_loading_engine_is_waited_for(self):
        loading = _engine(
            "u1",
            *("m1", "m2", "m3", "m5"),
            loading=MODEL,
            accepts_model_order=False,
            accepts_adapter_order=False,
        )
        engines = [loading, OTHER]
        self.assertEqual([], _plan(engines, 4, replaces_slow_unloads=True))

    def test_popular_model_behind_a_long_stream(self):
        unloads_s = {"u1": 8.0, "u2": 0.3, "u3": 0.3}
        before_s = first_replica_s(unloads_s)
        after_s = first_replica_s(unloads_s, replaces_slow_unloads=True)
        self.assertGreaterEqual(before_s, 8.0 + LOAD_S)
        self.assertLess(after_s, 2 * LOAD_S + 1.0)

    def test_usual_unloads_are_as_fast_as_before(self):
        unloads_s = {"u1": 0.5, "u2": 0.3}
        self.assertEqual(
            first_replica_s(unloads_s),
            first_replica_s(unloads_s, replaces_slow_unloads=True),
        )
