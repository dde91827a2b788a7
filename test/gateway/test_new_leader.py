"""Tests that a new leader keeps what others have placed.

After all hosts had restarted at the same time, the leader unloaded replicas of
popular models for models without any request, as it had seen demand for 0.1 s.
"""

import unittest
from collections import Counter

from acaciaspoke.gateway.placement import plan_models
from acaciaspoke.gateway.replicas import MIN_OBSERVED_S
from acaciaspoke.ids import ModelId
from acaciaspoke.platform.engine import OrderAction
from test.gateway.builders import (
    artifact,
    demand_for,
    demands,
    engine,
    engine_spec,
)

POPULAR = ("p1", "p2", "p3")
RARE = tuple(f"r{number}" for number in range(6))
SPEC = engine_spec(*POPULAR, *RARE, load_s=2.0, slots=24)

OBSERVED_S = 0.1


def _engines():
    # Each popular model has four replicas, and all memory is in use.
    return [engine(f"u{number}", *POPULAR, slots=24) for number in range(4)]


def _plan(demand, engines=None, **options):
    options = {"has_predecessor": True, "observed_s": OBSERVED_S, **options}
    engines = _engines() if engines is None else engines
    return plan_models(engines, demand, SPEC, 100, 0.0, **options)


def _unloads(orders):
    return Counter(
        order.artifact.model
        for order in orders
        if order.action is OrderAction.UNLOAD
    )


class NewLeaderTest(unittest.TestCase):

    def test_replicas_stay_until_demand_is_known(self):
        first = demands(demand_for(artifact("p3"), arrivals=1, rate_per_s=1.0))
        self.assertEqual([], _plan(first))

    def test_replicas_stay_before_any_demand_is_known(self):
        self.assertEqual([], _plan({}, observed_s=0.0))

    def test_free_memory_is_used(self):
        orders = _plan({}, [engine("u9", "p1", slots=24), *_engines()])
        self.assertEqual([OrderAction.LOAD], [order.action for order in orders])

    def test_model_with_a_waiting_request_is_loaded(self):
        waiting = demands(
            demand_for(
                artifact("r1"),
                waiting=2,
                oldest_s=0.1,
                remaining_s=8.0,
                patience_s=8.0,
            )
        )
        (order,) = _plan(waiting)
        self.assertEqual(ModelId("r1"), order.reserve_for)

    def test_unused_replicas_go_once_demand_is_known(self):
        orders = _plan({}, observed_s=MIN_OBSERVED_S)
        self.assertTrue(_unloads(orders))

    def test_first_leader_places_models_before_any_demand(self):
        orders = _plan({}, has_predecessor=False, observed_s=0.0)
        self.assertTrue(_unloads(orders))
