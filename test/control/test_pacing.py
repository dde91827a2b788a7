"""Tests of the limits of loads and of averaged demand."""

import unittest

from acaciaspoke.config.schema import Artifact, Rank, WeightStore
from acaciaspoke.control.demand import SHORT_HALF_LIFE_S, DemandRates, DemandSum
from acaciaspoke.control.pacing import Pacer, domain_share
from acaciaspoke.control.planned_orders import OrderKind, PlannedOrder, Reason
from acaciaspoke.net.messages import Demand


def order(number, base=None, kind=OrderKind.LOAD, reason=Reason.FIRST_REPLICA):
    return PlannedOrder(
        kind=kind,
        upstream="u1",
        artifact=Artifact(f"x{number}", "1", 1, base),
        reason=reason,
    )


class PacerTest(unittest.TestCase):

    def setUp(self):
        limits = WeightStore(
            model_loads_per_s=2.0,
            concurrent_model_loads=3,
            adapters_in_transit=5,
        )
        self.pacer = Pacer(limits, now_s=0.0)

    def test_model_loads_are_limited_in_rate_and_number(self):
        orders = [order(number) for number in range(20)]
        started = self.pacer.admit(orders, 0.0)
        self.assertEqual(started, orders[:3])
        self.assertEqual(self.pacer.admit(orders, 10.0), [])
        for each in started:
            self.pacer.release(each)
        total = 0
        for tick in range(100):
            for each in self.pacer.admit(orders, 10.0 + tick / 10):
                self.pacer.release(each)
                total += 1
        self.assertLessEqual(total, 3 + 2 * 10)
        self.assertGreaterEqual(total, 2 * 9)

    def test_adapters_wait_at_the_transit_limit_but_unloads_do_not(self):
        adapters = [order(number, base="m") for number in range(9)]
        unloads = [order(n, kind=OrderKind.UNLOAD) for n in range(9)]
        admitted = self.pacer.admit(adapters + unloads, 0.0)
        self.assertEqual(admitted, adapters[:5] + unloads)

    def test_order_planned_for_another_reason_starts_once(self):
        self.pacer.admit([order(1)], 0.0)
        self.assertEqual(
            self.pacer.admit([order(1, reason=Reason.COLD)], 1.0), []
        )

    def test_shares_of_domains_add_up_to_the_limits(self):
        """Guards against domains that overload the weight store together."""
        domains = ["d1", "d2", "d3"]
        shares = [
            domain_share(WeightStore(), domain, domains) for domain in domains
        ]
        self.assertEqual(
            [share.concurrent_model_loads for share in shares], [2, 1, 1]
        )
        self.assertEqual(sum(share.adapters_in_transit for share in shares), 32)
        self.assertAlmostEqual(
            sum(share.model_loads_per_s for share in shares), 3.0
        )


class DemandSumTest(unittest.TestCase):

    def test_counts_each_request_once(self):
        """Guards against demand that is lost or counted twice in sums."""
        total, messages, sums = 0, 0, DemandSum()
        for step in range(400):
            for process in range(4):
                arrivals = {f"m{step % 3}": {"hi": process}}
                sums.add(Demand(sender="tcp://e", arrivals=arrivals))
            demand = sums.collect("tcp://c", step * 0.25)
            if demand is not None:
                messages += 1
                total += sum(c["hi"] for c in demand.arrivals.values())
        last = sums.collect("tcp://c", 1000.0)
        total += sum(c["hi"] for c in last.arrivals.values())
        self.assertEqual((total, messages), (400 * 6, 100))
        self.assertIsNone(sums.collect("tcp://c", 2000.0))

    def test_new_cold_miss_does_not_wait(self):
        """Guards against a late cold miss, and against a message for each."""
        sums, sent_s = DemandSum(), []
        for step in range(40):
            now_s = 10.0 + step * 0.1
            cold = ("m1", "m2") if now_s > 11.25 else ("m1",)
            sums.add(Demand(sender="tcp://e", arrivals={}, cold=cold))
            demand = sums.collect("tcp://c", now_s)
            if demand is not None:
                self.assertEqual(demand.cold, cold)
                sent_s.append(round(now_s, 1))
        self.assertEqual(sent_s, [10.0, 11.0, 11.3, 12.3, 13.3])


class DemandRatesTest(unittest.TestCase):

    def setUp(self):
        self.ranks = {"hi": Rank(level=0, worth=10.0), "lo": Rank(level=2)}
        self.rates = DemandRates()
        self.now_s = 0.0

    def run_for(self, duration_s, **counts):
        for _ in range(duration_s):
            self.now_s += 1.0
            self.rates.add(
                Demand(sender="tcp://e", arrivals={"m": counts}), self.now_s
            )
        return self.rates.rates(self.ranks, self.now_s)["m"]

    def test_rate_follows_a_tenfold_shift_in_four_half_lives(self):
        steady = self.run_for(60, lo=10)
        self.assertAlmostEqual(steady.per_s, 10.0, delta=1.5)
        shifted = self.run_for(round(4 * SHORT_HALF_LIFE_S), lo=100)
        self.assertGreater(shifted.per_s, 90.0)

    def test_rates_do_not_depend_on_when_they_are_read(self):
        """Guards against counts that decay twice or not at all."""
        read_often, read_late = DemandRates(), DemandRates()
        for step in range(1, 200):
            demand = Demand(
                sender="tcp://e", arrivals={"m": {"hi": step % 3}, "n": {}}
            )
            now_s = 0.13 * step + 0.5 * SHORT_HALF_LIFE_S * (step // 50)
            read_often.add(demand, now_s)
            read_late.add(demand, now_s)
            often = read_often.rates(self.ranks, now_s)
        late = read_late.rates(self.ranks, now_s)
        self.assertAlmostEqual(often["m"].per_s, late["m"].per_s)
        self.assertAlmostEqual(often["m"].worth_per_s, late["m"].worth_per_s)

    def test_rate_is_weighted_by_the_worth_of_ranks(self):
        rate = self.run_for(60, hi=5, lo=5)
        self.assertAlmostEqual(rate.worth_per_s / rate.per_s, 5.5)

    def test_cold_miss_ends_when_it_is_no_longer_reported(self):
        demand = Demand(
            sender="tcp://e", arrivals={"m": {"hi": 1, "lo": 9}}, cold=("m",)
        )
        self.rates.add(demand, 1.0)
        self.assertEqual(self.rates.cold(self.ranks, 2.0), {"m": 0})
        self.assertEqual(self.rates.cold(self.ranks, 9.0), {})
