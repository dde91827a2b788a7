"""Tests of acaciaspoke.gateway.placement and adapter_placement."""

import unittest
from collections import Counter

from acaciaspoke.gateway.adapter_placement import plan_adapters
from acaciaspoke.gateway.demand import DemandTracker
from acaciaspoke.gateway.messages import DemandDigest
from acaciaspoke.gateway.placement import Obstacle, plan_models
from acaciaspoke.gateway.replicas import MIN_RESIDENCE_S
from acaciaspoke.ids import BootId, HostId, ModelId
from acaciaspoke.platform.engine import OrderAction
from test.gateway.builders import (
    artifact,
    demand_for,
    demands,
    engine,
    engine_spec,
    new_dispatcher,
    request,
    route,
)

MODELS = ("m1", "m2", "m3", "m4", "m5")
SPEC = engine_spec(*MODELS)


def _plan(engines, demand, cold_loads=5):
    # Each model has had a request.
    known = demands(
        *(demand_for(artifact(model), priority=2) for model in MODELS)
    )
    return plan_models(engines, known | demand, SPEC, cold_loads, 0.0)


class ColdModelTest(unittest.TestCase):
    """Requests for more models than the engines hold."""

    def test_memory_for_a_waiting_model_is_freed_once(self):
        # Otherwise every engine frees memory for the same model.
        engines = [engine(f"u{n}", "m1", "m2", "m3") for n in range(1, 4)]
        demand = demands(demand_for(artifact("m5"), waiting=1, oldest_s=0.1))
        orders = _plan(engines, demand)
        self.assertEqual(1, len(orders))
        self.assertEqual(OrderAction.UNLOAD, orders[0].action)
        self.assertEqual("m5", orders[0].reserve_for)

    def test_reserved_memory_counts_as_a_loading_replica(self):
        first = engine(
            "u1",
            "m1",
            "m2",
            "m3",
            unloading_models=frozenset([ModelId("m3")]),
            reserved=ModelId("m5"),
            accepts_model_order=False,
        )
        others = [engine(f"u{n}", "m1", "m2", "m3") for n in range(2, 4)]
        demand = demands(demand_for(artifact("m5"), waiting=1, oldest_s=0.2))
        self.assertEqual([], _plan([first, *others], demand))

    def test_model_is_loaded_into_reserved_memory(self):
        ready = engine("u1", "m1", "m2", reserved=ModelId("m5"))
        demand = demands(demand_for(artifact("m5"), waiting=1))
        (order,) = _plan([ready], demand)
        self.assertEqual((OrderAction.LOAD, artifact("m5")), order[1:3])

    def test_free_memory_is_used_without_an_unload(self):
        engines = [engine("u1", "m1", "m2", "m3"), engine("u2", "m1")]
        (order,) = _plan(
            engines, demands(demand_for(artifact("m5"), waiting=1))
        )
        self.assertEqual(("u2", OrderAction.LOAD), order[:2])

    def test_least_used_replica_is_evicted(self):
        only = engine("u1", "m1", "m2", "m3")
        demand = demands(
            demand_for(artifact("m1"), rate_per_s=3.0),
            demand_for(artifact("m2"), rate_per_s=0.1),
            demand_for(artifact("m3"), rate_per_s=5.0),
            demand_for(artifact("m5"), waiting=2, oldest_s=0.5),
        )
        (order,) = _plan([only], demand)
        self.assertEqual(artifact("m2"), order.artifact)

    def test_last_replica_with_waiting_requests_is_kept(self):
        only = engine("u1", "m1", "m2", "m3")
        demand = demands(
            *(demand_for(artifact(m), waiting=1) for m in ("m1", "m2", "m3")),
            demand_for(artifact("m5"), waiting=9, oldest_s=5.0),
        )
        self.assertEqual([], _plan([only], demand))

    def test_new_replica_is_not_evicted_before_it_has_served(self):
        loaded_s = -0.5 * MIN_RESIDENCE_S
        only = engine(
            "u1", models={ModelId(m): loaded_s for m in ("m1", "m2", "m3")}
        )
        demand = demands(demand_for(artifact("m5"), waiting=1, oldest_s=1.0))
        self.assertEqual([], _plan([only], demand))

    def test_exhausted_load_limit_allows_only_cached_loads(self):
        cold = engine("u1", "m1")
        cached = engine(
            "u2", "m1", "m2", cached_models=frozenset([ModelId("m5")])
        )
        demand = demands(demand_for(artifact("m5"), waiting=1))
        self.assertEqual([], _plan([cold], demand, cold_loads=0))
        (order,) = _plan([cold, cached], demand, cold_loads=0)
        self.assertEqual("u2", order.upstream)


class ObstacleTest(unittest.TestCase):
    """A model with waiting requests gets no order."""

    def _unplaced(self, engines, cold_loads=5):
        found = []
        demand = demands(
            *(demand_for(artifact(m), rate_per_s=9.0) for m in MODELS[:4]),
            demand_for(artifact("m5"), waiting=1, priority=2),
        )
        orders = plan_models(
            engines, demand, SPEC, cold_loads, 0.0, on_unplaced=found.append
        )
        self.assertEqual([], orders)
        (unplaced,) = [each for each in found if each.model == "m5"]
        return unplaced

    def test_engines_execute_other_orders(self):
        busy = engine("u1", "m1", "m2", "m3", accepts_model_order=False)
        unplaced = self._unplaced([busy])
        self.assertEqual(Obstacle.ENGINE, unplaced.obstacle)
        self.assertIsNone(unplaced.least_cost)

    def test_weight_store_allows_no_load(self):
        unplaced = self._unplaced([engine("u1", "m1")], cold_loads=0)
        self.assertEqual(Obstacle.LOAD_LIMIT, unplaced.obstacle)

    def test_eviction_costs_more_than_the_model_gains(self):
        unplaced = self._unplaced([engine("u1", "m1", "m2", "m3")])
        self.assertEqual(Obstacle.COST, unplaced.obstacle)
        costs = unplaced.least_cost
        self.assertEqual(max(costs), costs.eviction)
        self.assertGreater(sum(costs), unplaced.gain)


class LateLoadTest(unittest.TestCase):
    """Requests wait for a model, but not until a load has ended."""

    SLOW = engine_spec(*MODELS, load_s=4.0)

    def _plan(self, *engines, **demand):
        found = []
        orders = plan_models(
            list(engines),
            demands(
                *(demand_for(artifact(model), priority=2) for model in MODELS),
                demand_for(
                    artifact("m5"), priority=2, **{"waiting": 1, **demand}
                ),
            ),
            self.SLOW,
            5,
            0.0,
            on_unplaced=found.append,
        )
        return orders, [each.obstacle for each in found]

    def test_request_that_is_refused_before_the_load_ends_starts_none(self):
        # Loads were ordered 12 s after a request arrived; it was refused as
        # they began, and nobody was served.
        late = {"oldest_s": 12.0, "remaining_s": 2.0, "patience_s": 14.0}
        orders, obstacles = self._plan(engine("u1", "m1"), **late)
        self.assertEqual([], orders)
        self.assertEqual([Obstacle.LATE], obstacles)

    CALM = route(objective_s=8.0, timeout_s=15.0, priority=2)

    def _orders_after(self, wait_s, request_route=CALM, spec=SLOW):
        """Returns the orders once a host's only request has waited so long."""
        dispatcher = new_dispatcher()
        waiting = request(route=request_route, artifact=artifact("m5"))
        dispatcher.submit(waiting, 0.0)
        tracker = DemandTracker()
        tracker.apply(
            DemandDigest(
                host=HostId("h1"),
                boot=BootId("b"),
                sequence=1,
                demand=dispatcher.demand(wait_s, full=True),
            ),
            wait_s,
        )
        known = demands(
            *(demand_for(artifact(model), priority=2) for model in MODELS)
        )
        return plan_models(
            [engine("u1", "m1")],
            known | tracker.totals(wait_s),
            spec,
            5,
            wait_s,
        )

    def test_load_is_ordered_only_while_the_request_can_wait_for_it(self):
        (order,) = self._orders_after(9.0)
        self.assertEqual(artifact("m5"), order.artifact)
        self.assertEqual([], self._orders_after(12.0))

    def test_model_of_a_route_that_hardly_waits_for_a_load_gets_one(self):
        # A load of 1.2 s was left out 0.1 s after the request arrived, and one
        # of 4.2 s always if callers wait for 4.5 s, so that neither model was
        # ever loaded.
        for load_s, patience_s in ((1.2, 2.0), (4.2, 4.5), (4.2, 5.5)):
            with self.subTest(load_s=load_s, patience_s=patience_s):
                short = route(objective_s=patience_s / 4, timeout_s=10.0)
                spec = engine_spec(*MODELS, load_s=load_s)
                self.assertNotEqual([], self._orders_after(0.2, short, spec))

    def test_model_whose_requests_are_refused_on_arrival_gets_one(self):
        # They never wait, so that the planner saw no need for a replica.
        dispatcher, tracker = new_dispatcher(), DemandTracker()
        hasty = route(timeout_s=1.8)
        spec = engine_spec(*MODELS, load_s=1.2)
        known = demands(
            *(demand_for(artifact(model), priority=2) for model in MODELS)
        )
        orders = []
        for number in range(1, 41):
            now_s = number / 4
            hasty_request = request(
                f"q{number}", now_s, route=hasty, artifact=artifact("m5")
            )
            self.assertIsNotNone(dispatcher.submit(hasty_request, now_s))
            digest = DemandDigest(
                host=HostId("h1"),
                boot=BootId("b"),
                sequence=number,
                demand=dispatcher.demand(now_s, full=True),
            )
            tracker.apply(digest, now_s)
            totals = known | tracker.totals(now_s)
            orders += plan_models([engine("u1")], totals, spec, 5, now_s)
        self.assertNotEqual([], orders)

    def _orders_for_refused(self, *engines, rate_per_s=20.0):
        refused = demand_for(
            artifact("m5"), priority=2, rate_per_s=rate_per_s, last_s=0.0
        )
        urgent = (
            demand_for(artifact(model), priority=1) for model in MODELS[:3]
        )
        idle = demand_for(artifact("m4"), priority=2)
        spec = engine_spec(*MODELS, load_s=1.2)
        totals = demands(*urgent, idle, refused)
        return plan_models(list(engines), totals, spec, 5, 0.0)

    def test_model_whose_requests_are_refused_displaces_no_urgent_one(self):
        full = engine("u1", "m1", "m2", "m3")
        self.assertEqual([], self._orders_for_refused(full))

    def test_model_whose_requests_are_refused_displaces_an_idle_one(self):
        engines = engine("u1", "m1", "m2", "m3"), engine("u2", "m1", "m2", "m4")
        (order,) = self._orders_for_refused(*engines)
        self.assertEqual(artifact("m4"), order.artifact)

    def test_model_whose_requests_are_seldom_refused_gets_none(self):
        empty = engine("u1")
        self.assertEqual([], self._orders_for_refused(empty, rate_per_s=0.5))

    def test_request_that_can_wait_starts_a_load(self):
        early = {"oldest_s": 9.0, "remaining_s": 5.0, "patience_s": 14.0}
        (order,), _ = self._plan(engine("u1", "m1"), **early)
        self.assertEqual(artifact("m5"), order.artifact)

    def test_engine_with_cached_weights_loads_in_time(self):
        late = {"oldest_s": 12.0, "remaining_s": 2.0, "patience_s": 14.0}
        cached = engine("u2", "m1", cached_models=frozenset([ModelId("m5")]))
        (order,), _ = self._plan(engine("u1", "m1"), cached, **late)
        self.assertEqual("u2", order.upstream)

    def test_route_that_never_waits_for_a_load_starts_one(self):
        # Its next requests find the replica.
        short = {"oldest_s": 1.0, "remaining_s": 1.0, "patience_s": 2.0}
        cold = engine("u1", "m1")
        (order,), _ = self._plan(cold, waiting=9, **short)
        self.assertEqual(artifact("m5"), order.artifact)
        short["remaining_s"] = 0.1
        cached = engine("u2", "m1", cached_models=frozenset([ModelId("m5")]))
        (order,), _ = self._plan(cold, cached, waiting=9, **short)
        self.assertEqual("u2", order.upstream)


class ReplicaTest(unittest.TestCase):
    """One model gets more requests than its engine has slots."""

    def test_full_model_gets_a_replica_at_an_idle_engine(self):
        full = engine("u1", "m1", running=Counter({ModelId("m1"): 4}))
        idle = engine("u2", "m2")
        demand = demands(demand_for(artifact("m1"), rate_per_s=4.0, waiting=2))
        (order,) = _plan([full, idle], demand)
        self.assertEqual(("u2", artifact("m1")), (order[0], order[2]))

    def test_rarely_used_models_get_no_additional_replicas(self):
        engines = [engine("u1", "m1"), engine("u2", "m2")]
        demand = demands(demand_for(artifact("m1"), rate_per_s=0.2))
        self.assertEqual([], _plan(engines, demand))

    def test_replica_is_loaded_at_the_least_loaded_engine(self):
        full = engine("u1", "m1", running=Counter({ModelId("m1"): 4}))
        half = engine("u2", "m2", running=Counter({ModelId("m2"): 2}))
        idle = engine("u3", "m3")
        demand = demands(demand_for(artifact("m1"), rate_per_s=9.0, waiting=2))
        (order,) = _plan([full, half, idle], demand)
        self.assertEqual("u3", order.upstream)

    def test_model_with_much_prefill_gets_a_replica(self):
        # Short responses to long prompts take few slots, but made the streams
        # of the only replica pause for 170 ms again and again.
        prefilling = engine(
            "u1", "m1", slots=24, running=Counter({ModelId("m1"): 6})
        )
        idle = engine("u2", "m2", slots=24)
        demand = demands(
            demand_for(artifact("m1"), rate_per_s=20.0, tokens_per_s=16_000.0)
        )
        many = engine_spec(*MODELS, slots=24)
        (order,) = plan_models([prefilling, idle], demand, many, 5, 0.0)
        self.assertEqual(("u2", artifact("m1")), (order[0], order[2]))


class UnknownDemandTest(unittest.TestCase):
    """Engines hold several replicas of some models before any request."""

    def test_two_replicas_are_kept(self):
        # Otherwise all but one replica of the busiest model are evicted for
        # rarely used ones before the first request.
        engines = [engine(f"u{n}", "m1", "m2", "m3") for n in (1, 2)]
        self.assertEqual([], plan_models(engines, {}, SPEC, 5, 0.0))

    def test_third_replica_is_evicted(self):
        engines = [engine(f"u{n}", "m1", "m2", "m3") for n in (1, 2, 3)]
        orders = plan_models(engines, {}, SPEC, 5, 0.0)
        self.assertEqual(["m4", "m5"], sorted(m.reserve_for for m in orders))


class ManyReplicasTest(unittest.TestCase):
    """Urgent models have replicas at most engines of a large fleet."""

    SPEC = engine_spec(*MODELS, load_s=5.0, slots=24)

    def _plan(self, *demand, running=3):
        engines = [
            engine(
                f"u{n}",
                "m1",
                "m2",
                "m3",
                slots=24,
                running=Counter({ModelId(m): running for m in MODELS[:3]}),
            )
            for n in range(1, 11)
        ]
        busy = (demand_for(artifact(m), rate_per_s=50.0) for m in MODELS[:3])
        found = []
        orders = plan_models(
            engines,
            demands(*busy, demand_for(artifact("m4"), priority=2), *demand),
            self.SPEC,
            5,
            0.0,
            on_unplaced=found.append,
        )
        return orders, found

    def test_one_of_many_replicas_yields_to_a_model_without_any(self):
        # On 30 engines nearly all places were taken by replicas of eight busy
        # models; to evict one of ten cost as much as to evict all of them.
        waiting = demand_for(
            artifact("m5"), waiting=6, oldest_s=15.0, priority=2
        )
        (order,), _ = self._plan(waiting)
        self.assertEqual("m5", order.reserve_for)

    def test_one_of_many_replicas_costs_its_share_of_the_demand(self):
        waiting = demand_for(artifact("m5"), waiting=1, priority=2)
        _, found = self._plan(waiting)
        (unplaced,) = [each for each in found if each.model == "m5"]
        # Three slots of the most urgent weight, and the running requests.
        self.assertLess(unplaced.least_cost.eviction, 15.0)


class ChurnTest(unittest.TestCase):
    """Busy and rarely used models compete while the engines are loaded."""

    def test_replica_in_use_is_not_evicted_for_a_rarely_used_model(self):
        # Such an unload blocked an engine for 3 s, and the replica was needed
        # again before the rarely used model was loaded.
        running = Counter({ModelId("m1"): 2})
        engines = [
            engine(f"u{n}", "m1", "m2", "m3", running=running) for n in (1, 2)
        ]
        demand = demands(
            demand_for(artifact("m1"), rate_per_s=9.0),
            demand_for(artifact("m2"), rate_per_s=0.1, priority=2),
            demand_for(artifact("m5"), waiting=1, oldest_s=2.0, priority=2),
        )
        (order,) = _plan(engines, demand)
        self.assertNotEqual(artifact("m1"), order.artifact)


class ShiftTest(unittest.TestCase):
    """Demand for urgent work moves to idle models."""

    SLOW = engine_spec(*MODELS, load_s=4.0)

    def test_model_of_least_urgent_work_is_evicted_first(self):
        # When a model without requests was evicted instead, 220 urgent
        # requests for it were refused during its load of 4 s.
        engines = [engine("u1", "m1", "m2", "m3")]
        demand = demands(
            demand_for(artifact("m1"), rate_per_s=9.0),
            demand_for(artifact("m2"), rate_per_s=0.3, priority=2),
            demand_for(artifact("m5"), waiting=1, oldest_s=0.5, priority=2),
        )
        (order,) = plan_models(engines, demand, self.SLOW, 5, 0.0)
        self.assertEqual(artifact("m2"), order.artifact)

    def test_unrequested_model_is_loaded_in_place_of_least_urgent_work(self):
        engines = [engine("u1", "m1", "m2", "m3")]
        demand = demands(
            *(
                demand_for(artifact(m), rate_per_s=1.0)
                for m in ("m1", "m3", "m4")
            ),
            demand_for(artifact("m2"), priority=2),
        )
        (order,) = plan_models(engines, demand, self.SLOW, 5, 0.0)
        self.assertEqual((artifact("m2"), "m5"), (order[2], order.reserve_for))

    def test_unrequested_model_does_not_displace_an_urgent_one(self):
        # Three replicas of the busiest models were evicted for models that
        # nobody had asked for; with loads of 8 s they were missing at once.
        engines = [engine(f"u{n}", "m1", "m2", "m3") for n in (1, 2, 3)]
        demand = demands(
            *(
                demand_for(artifact(m), rate_per_s=0.3)
                for m in ("m1", "m2", "m3")
            )
        )
        slow = engine_spec(*MODELS, load_s=8.0)
        self.assertEqual([], plan_models(engines, demand, slow, 5, 0.0))

    def test_models_that_nobody_asks_for_yield_with_time(self):
        # Requests of the least urgent work waited for up to 13 s and were then
        # refused, while models without any request kept their places.
        engines = [engine("u1", "m1", "m2", "m3")]
        demand = demands(
            *(demand_for(artifact(m), rate_per_s=3.0) for m in ("m1", "m2")),
            demand_for(artifact("m5"), waiting=1, oldest_s=6.0, priority=2),
        )

        def orders(observed_s):
            return plan_models(
                engines, demand, self.SLOW, 5, 0.0, observed_s=observed_s
            )

        self.assertEqual([], orders(0.0))
        (order,) = orders(60.0)
        self.assertEqual((artifact("m3"), "m5"), (order[2], order.reserve_for))

    def test_two_replicas_of_an_idle_urgent_model_are_kept(self):
        # When any request could evict the second one, half of the callers
        # waited for a load after the next shift of demand.
        engines = [engine("u1", "m1", "m2", "m3"), engine("u2", "m1", "m2")]
        demand = demands(
            *(demand_for(artifact(m)) for m in ("m1", "m2")),
            demand_for(artifact("m3"), priority=2),
            demand_for(artifact("m5"), waiting=2, oldest_s=3.0, priority=2),
        )
        engines[1].models[ModelId("m4")] = -100.0
        orders = plan_models(
            engines,
            demand | demands(demand_for(artifact("m4"), priority=2)),
            self.SLOW,
            5,
            0.0,
        )
        self.assertEqual(1, len(orders))
        self.assertIn(orders[0].artifact.model, ("m3", "m4"))


class AdapterTest(unittest.TestCase):
    """Requests wait for adapters that no engine holds."""

    def test_adapter_is_loaded_at_an_engine_with_its_model(self):
        engines = [engine("u1", "m2"), engine("u2", "m1")]
        demand = demands(demand_for(artifact("m1", "a1"), waiting=1))
        (order,) = plan_adapters(engines, demand, SPEC)
        self.assertEqual(("u2", OrderAction.LOAD), order[:2])

    def test_engine_with_a_model_order_gets_no_adapter_order(self):
        # Engines refuse adapter orders while they load or unload a model.
        busy = engine("u1", "m1", accepts_adapter_order=False)
        demand = demands(demand_for(artifact("m1", "a1"), waiting=1))
        self.assertEqual([], list(plan_adapters([busy], demand, SPEC)))

    def test_idle_adapter_is_evicted(self):
        held = frozenset([artifact("m1", "a1"), artifact("m1", "a2")])
        full = engine(
            "u1",
            "m1",
            adapters=held,
            adapters_in_use=frozenset([artifact("m1", "a1")]),
        )
        demand = demands(
            demand_for(artifact("m1", "a1"), rate_per_s=0.1),
            demand_for(artifact("m1", "a2"), rate_per_s=5.0),
            demand_for(artifact("m1", "a3"), waiting=1),
        )
        (order,) = plan_adapters([full], demand, SPEC)
        self.assertEqual((OrderAction.UNLOAD, artifact("m1", "a2")), order[1:3])

    def test_adapters_in_use_are_kept(self):
        held = frozenset([artifact("m1", "a1"), artifact("m1", "a2")])
        full = engine("u1", "m1", adapters=held, adapters_in_use=held)
        demand = demands(demand_for(artifact("m1", "a3"), waiting=1))
        self.assertEqual([], list(plan_adapters([full], demand, SPEC)))


class AdapterBlockTest(unittest.TestCase):
    """Engines accept no adapter orders while a model is loaded or unloaded."""

    def test_engine_with_much_demand_for_adapters_gets_no_model_order(self):
        adapter_engine = engine("u1", "m1", "m2")
        other = engine("u2", "m3", "m4")
        demand = demands(
            demand_for(artifact("m1", "a1"), rate_per_s=9.0),
            demand_for(artifact("m5"), waiting=1),
        )
        (order,) = _plan([adapter_engine, other], demand)
        self.assertEqual("u2", order.upstream)


class CachedLoadTest(unittest.TestCase):
    """Loads from the weight store take far longer than those from disk."""

    def test_engine_with_cached_weights_is_preferred(self):
        # The cold engine has free memory; the other one has to unload first.
        cold = engine("u1", "m1")
        cached = engine(
            "u2", "m1", "m2", "m3", cached_models=frozenset([ModelId("m5")])
        )
        demand = demands(demand_for(artifact("m5"), waiting=2, oldest_s=0.1))
        (order,) = _plan([cold, cached], demand)
        self.assertEqual(("u2", "m5"), (order.upstream, order.reserve_for))


class LongLoadTest(unittest.TestCase):
    """Loads take seconds, and each blocks other model orders at its engine."""

    def test_replica_is_added_earlier_the_longer_a_load_takes(self):
        running = Counter({ModelId("m1"): 12})
        engines = [
            *(engine(n, "m1", running=running, slots=20) for n in ("u1", "u2")),
            engine("u3", "m2", slots=20),
        ]
        demand = demands(
            demand_for(artifact("m1"), rate_per_s=9.0),
            *(demand_for(artifact(m), priority=2) for m in MODELS[1:]),
        )
        fast = plan_models(engines, demand, engine_spec(*MODELS), 5, 0.0)
        slow = plan_models(
            engines, demand, engine_spec(*MODELS, load_s=4.0), 5, 0.0
        )
        self.assertEqual(([], 1), (fast, len(slow)))

    def test_single_least_urgent_request_waits_longer_for_a_load(self):
        only = engine("u1", "m1", "m2", "m3")
        slow = engine_spec(*MODELS, load_s=4.0)

        def plan(oldest_s):
            demand = demands(
                *(demand_for(artifact(m), priority=2) for m in MODELS[:4]),
                demand_for(
                    artifact("m5"), priority=2, waiting=1, oldest_s=oldest_s
                ),
            )
            return plan_models([only], demand, slow, 5, 0.0)

        self.assertEqual([], plan(0.2))
        self.assertEqual(1, len(plan(3.0)))
