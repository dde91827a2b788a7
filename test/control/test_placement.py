"""Tests of placement, without a clock and without engines."""

import random
import unittest

import msgspec

from acaciaspoke.config.schema import (
    Adapter,
    Config,
    Model,
    Service,
    ServiceKind,
    Upstream,
)
from acaciaspoke.control.demand import Rate
from acaciaspoke.control.fleet import DomainSnapshot, home_domain
from acaciaspoke.control.placement import plan
from acaciaspoke.control.planned_orders import OrderKind, Reason
from acaciaspoke.control.reservations import Line, LineState, Reservation
from acaciaspoke.net.records import UpstreamState

MAX_PLANS = 100


def fleet_config(models, upstreams=3, memory=100, adapters=0, size=10):
    return Config(
        services={"s": Service(kind=ServiceKind.ENGINE)},
        models={
            f"m{n}": Model(service="s", memory_bytes=size)
            for n in range(models)
        },
        adapters={
            f"a{n}": Adapter(model=f"m{n % models}", memory_bytes=1)
            for n in range(adapters)
        },
        upstreams={
            f"{domain}u{n}": Upstream(
                service="s",
                failure_domain=domain,
                address="127.0.0.1:1",
                memory_bytes=memory,
            )
            for domain in ("d1", "d2", "d3")
            for n in range(upstreams)
        },
    )


class Domain:
    """Executes plans at once, and checks the memory at each order."""

    def __init__(self, config, domain="d1"):
        mine = {
            name: upstream
            for name, upstream in config.upstreams.items()
            if upstream.failure_domain == domain
        }
        self.orders = []
        self.snapshot = DomainSnapshot(
            config=config,
            domain=domain,
            live_domains=frozenset({"d1", "d2", "d3"}),
            reservations={
                name: Reservation(
                    upstream=name, memory_bytes=upstream.memory_bytes
                )
                for name, upstream in mine.items()
            },
            states=dict.fromkeys(mine, UpstreamState.LIVE),
        )

    def change(self, **changes):
        self.snapshot = msgspec.structs.replace(self.snapshot, **changes)

    def settle(self):
        """Executes plans until one is empty; returns all orders."""
        done = []
        for _ in range(MAX_PLANS):
            orders = plan(self.snapshot)
            if not orders:
                return done
            for order in orders:
                self.execute(order)
            done += orders
        raise AssertionError("the plans never become empty")

    def execute(self, order):
        reservation = self.snapshot.reservations[order.upstream]
        lines = tuple(
            line
            for line in reservation.lines
            if line.artifact != order.artifact
        )
        if order.kind is OrderKind.LOAD:
            lines += (Line(artifact=order.artifact, state=LineState.RESIDENT),)
        changed = msgspec.structs.replace(reservation, lines=lines)
        assert changed.reserved_bytes <= changed.memory_bytes, order
        self.change(
            reservations={
                **self.snapshot.reservations,
                order.upstream: changed,
            }
        )

    def replicas(self, usable=lambda _: True):
        return [
            (line.artifact.name, line.artifact.version)
            for name, reservation in self.snapshot.reservations.items()
            for line in reservation.lines
            if usable(name)
        ]

    def names(self, **options):
        return {name for name, _ in self.replicas(**options)}


class PlacementTest(unittest.TestCase):

    def test_everything_that_fits_is_resident(self):
        config = fleet_config(models=22, adapters=40)
        domain = Domain(config)
        orders = domain.settle()
        self.assertEqual(
            domain.names(), config.models.keys() | config.adapters.keys()
        )
        self.assertEqual(len(orders), 62)

    def test_domains_share_models_that_do_not_fit(self):
        config = fleet_config(models=80)
        names = set()
        for domain_id in ("d1", "d2", "d3"):
            domain = Domain(config, domain_id)
            domain.settle()
            names |= domain.names()
        self.assertEqual(names, config.models.keys())

    def test_models_of_a_lost_domain_get_another_home(self):
        config = fleet_config(models=50)
        domain = Domain(config)
        domain.settle()
        domain.change(live_domains=frozenset({"d1", "d2"}))
        domain.settle()
        home = {
            name
            for name in config.models
            if home_domain(name, {"d1": 1, "d2": 1}) == "d1"
        }
        self.assertLessEqual(home, domain.names())

    def test_lost_upstream_gets_no_orders_and_its_models_are_loaded(self):
        for state in (UpstreamState.SUSPECT, UpstreamState.LEAVING):
            config = fleet_config(models=18)
            domain = Domain(config)
            domain.settle()
            domain.change(states=domain.snapshot.states | {"d1u0": state})
            orders = domain.settle()
            self.assertNotIn("d1u0", {order.upstream for order in orders})
            rest = domain.names(usable=lambda name: name != "d1u0")
            self.assertEqual(rest, config.models.keys())
            self.assertEqual(len(orders), 6)

    def test_urgent_cold_miss_is_loaded_first_in_a_flood(self):
        """Guards against a flood that keeps an urgent cold model waiting."""
        config = fleet_config(models=60, upstreams=1)
        domain = Domain(config)
        domain.change(live_domains=frozenset({"d1"}))
        domain.settle()
        missing = sorted(config.models.keys() - domain.names())
        flood = dict.fromkeys(missing, 2) | {missing[-1]: 0}
        rates = {name: Rate(500.0, 500.0) for name in missing[:-1]}
        domain.change(cold=flood, rates=rates)
        orders = plan(domain.snapshot)
        self.assertIs(orders[0].reason, Reason.EVICTION)
        for order in orders:
            domain.execute(order)
        first = plan(domain.snapshot)[0]
        self.assertEqual(first.artifact.name, missing[-1])
        self.assertIs(first.reason, Reason.COLD)

    def test_cold_model_evicts_no_recent_last_replica(self):
        """Guards against two models that evict each other at each miss."""
        config = fleet_config(models=2, upstreams=1, memory=10)
        domain = Domain(config)
        domain.change(live_domains=frozenset({"d1"}))
        domain.settle()
        (loaded,) = domain.names()
        (cold,) = config.models.keys() - {loaded}
        domain.change(cold={cold: 0}, ages_s={("d1u0", loaded): 9.0})
        self.assertEqual(domain.settle(), [])
        domain.change(ages_s={("d1u0", loaded): 40.0})
        domain.settle()
        self.assertEqual(domain.names(), {cold})

    def test_cold_model_evicts_a_foreign_model_with_another_replica(self):
        """Guards against a chain of evictions of required models."""
        domain = Domain(fleet_config(models=40))
        domain.settle()
        own = {
            name
            for name in domain.names()
            if home_domain(name, dict.fromkeys(("d1", "d2", "d3"), 300)) == "d1"
        }
        foreign = domain.names() - own
        cold = min(domain.snapshot.config.models.keys() - domain.names())
        domain.change(
            cold={cold: 0},
            foreign_resident=foreign,
            # Foreign models are worth more, so only their replicas elsewhere
            # make them victims.
            rates={name: Rate(1.0, 1.0) for name in foreign},
        )
        self.assertEqual(len(domain.settle()), 2)
        self.assertIn(cold, domain.names())
        self.assertLessEqual(own, domain.names())

    def test_artifact_is_not_loaded_where_it_is_being_unloaded(self):
        """Guards against loads that the reservation refuses repeatedly."""
        domain = Domain(fleet_config(models=1, upstreams=1))
        (load,) = domain.settle()
        unload = msgspec.structs.replace(load, kind=OrderKind.UNLOAD)
        domain.change(in_flight=(unload,), cold={"m0": 0})
        self.assertEqual(plan(domain.snapshot), [])

    def test_model_stays_while_its_adapter_is_loaded(self):
        """Guards against unloads that the reservation refuses."""
        config = fleet_config(models=2, upstreams=1, memory=11, adapters=1)
        domain = Domain(config)
        domain.change(live_domains=frozenset({"d1"}), rates={"m0": Rate(9, 9)})
        loads = domain.settle()
        self.assertEqual(domain.names(), {"m0", "a0"})
        adapter = next(order for order in loads if order.artifact.base_model)
        domain.execute(msgspec.structs.replace(adapter, kind=OrderKind.UNLOAD))
        domain.change(in_flight=(adapter,), cold={"m1": 0}, ages_s={})
        self.assertEqual(plan(domain.snapshot), [])

    def test_burst_swaps_no_replicas(self):
        """Guards against replicas swapped by noise of a few seconds."""
        domain = Domain(fleet_config(models=25))
        long_term = {"m0": Rate(30.0, 30.0)}
        domain.change(rates=long_term, long_term_rates=long_term)
        domain.settle()
        domain.change(rates={"m0": Rate(3.0, 3.0), "m1": Rate(30.0, 30.0)})
        self.assertEqual(domain.settle(), [])
        domain.change(long_term_rates=domain.snapshot.rates)
        domain.settle()
        self.assertEqual(domain.replicas().count(("m1", "1")), 3)

    def test_cold_model_causes_one_eviction(self):
        """Guards against a chain of evictions where memory is too small."""
        domain = Domain(fleet_config(models=120))
        domain.settle()
        missing = min(domain.snapshot.config.models.keys() - domain.names())
        domain.change(cold={missing: 1})
        self.assertEqual(len(domain.settle()), 2)
        domain.change(cold={})
        self.assertEqual(domain.settle(), [])
        self.assertIn(missing, domain.names())

    def test_additional_replica_evicts_no_last_replica(self):
        config = fleet_config(models=30)
        domain = Domain(config)
        domain.settle()
        domain.change(rates={"m0": Rate(1000.0, 1000.0)})
        self.assertEqual(domain.settle(), [])
        self.assertEqual(domain.names(), config.models.keys())

    def test_steady_noisy_demand_causes_no_orders(self):
        config = fleet_config(models=20)
        domain = Domain(config)
        generator = random.Random(7)

        def noisy(base):
            return {
                name: Rate(rate, rate)
                for name, mean in base.items()
                for rate in [mean * generator.uniform(0.8, 1.2)]
            }

        base = {f"m{n}": 40.0 / (n + 1) for n in range(20)}
        domain.change(rates=noisy(base))
        domain.settle()
        orders = 0
        for _ in range(60):
            domain.change(rates=noisy(base))
            orders += len(domain.settle())
        self.assertLessEqual(orders, 4)
        self.assertEqual(domain.names(), config.models.keys())

    def test_tenfold_shift_swaps_replicas(self):
        config = fleet_config(models=25)
        domain = Domain(config)
        domain.change(rates={"m0": Rate(30.0, 30.0)})
        domain.settle()
        self.assertEqual(domain.replicas().count(("m0", "1")), 3)
        domain.change(rates={"m0": Rate(3.0, 3.0), "m1": Rate(30.0, 30.0)})
        domain.settle()
        self.assertEqual(domain.replicas().count(("m1", "1")), 3)

    def change_version(self, domain):
        config = domain.snapshot.config
        model = msgspec.structs.replace(config.models["m0"], version="2")
        domain.change(
            config=msgspec.structs.replace(
                config, models=config.models | {"m0": model}
            )
        )

    def test_new_version_is_loaded_before_the_old_one_is_unloaded(self):
        domain = Domain(fleet_config(models=20))
        domain.settle()
        self.change_version(domain)
        orders = domain.settle()
        self.assertEqual(
            [(order.kind, order.artifact.version) for order in orders],
            [(OrderKind.LOAD, "2"), (OrderKind.UNLOAD, "1")],
        )

    def test_new_version_replaces_the_old_one_if_memory_is_full(self):
        domain = Domain(fleet_config(models=30))
        domain.settle()
        self.change_version(domain)
        domain.settle()
        self.assertIn(("m0", "2"), domain.replicas())
        self.assertEqual(len(domain.names()), 30)

    def test_base_model_is_unloaded_after_its_adapters(self):
        config = fleet_config(models=5, adapters=5)
        domain = Domain(config)
        domain.settle()
        kept = {key: m for key, m in config.models.items() if key != "m0"}
        loaded = {key: a for key, a in config.adapters.items() if key != "a0"}
        domain.change(
            config=msgspec.structs.replace(config, models=kept, adapters=loaded)
        )
        orders = domain.settle()
        self.assertEqual(
            [order.artifact.name for order in orders], ["a0", "m0"]
        )
