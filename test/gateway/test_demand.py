"""Tests of acaciaspoke.gateway.demand."""

import unittest

from acaciaspoke.gateway.demand import DemandTracker
from acaciaspoke.gateway.messages import ArtifactDemand, DemandDigest
from acaciaspoke.ids import BootId, HostId
from test.gateway.builders import (
    SERVICE,
    artifact,
    new_dispatcher,
    request,
    route,
)


class RateTest(unittest.TestCase):
    """Demand moves to a model within a second."""

    def setUp(self):
        self.tracker = DemandTracker()
        self.sequence = 0

    def _update(self, arrivals, now_s, tokens=0, priority=0):
        self.sequence += 1
        item = ArtifactDemand(
            SERVICE, artifact("m1"), arrivals, 0, priority, 0.0, tokens
        )
        self.tracker.apply(
            DemandDigest(
                host=HostId("h1"),
                boot=BootId("b"),
                sequence=self.sequence,
                demand=(item,),
            ),
            now_s,
        )

    def _demand(self, now_s):
        return self.tracker.totals(now_s)[artifact("m1")]

    def test_new_demand_is_estimated_at_its_full_rate(self):
        # Without extrapolation it counted at a third of its rate after a
        # second, and replicas were loaded late.
        for tenth in range(1, 16):
            self._update(tenth, tenth / 10, 500 * tenth)
        self.assertAlmostEqual(10.0, self._demand(1.5).rate_per_s, delta=2.0)
        self.assertAlmostEqual(5000, self._demand(1.5).tokens_per_s, delta=1000)

    def test_one_request_is_no_trend(self):
        self._update(1, 0.0)
        self.assertLess(self._demand(0.01).rate_per_s, 1.5)

    def test_demand_after_an_idle_time_is_a_new_rate(self):
        for tenth in range(1, 31):
            self._update(tenth, tenth / 10)
        self.assertLess(self._demand(30.0).rate_per_s, 0.1)
        for tenth in range(1, 16):
            self._update(30 + tenth, 30 + tenth / 10)
        self.assertAlmostEqual(10.0, self._demand(31.5).rate_per_s, delta=2.0)

    def test_arrivals_while_another_host_was_the_leader_are_no_burst(self):
        # A host that regained the lease after 20 s took the 200 requests of
        # that time for new ones: 189 instead of 10 requests a second.
        for tenth in range(1, 31):
            self._update(tenth, tenth / 10)
        for tenth in range(231, 240):
            self._update(tenth, tenth / 10)
        self.assertLess(self._demand(23.9).rate_per_s, 20.0)

    def test_report_that_comes_late_counts_whole(self):
        for tenth in (*range(1, 31), 45):
            self._update(tenth, tenth / 10)
        self.assertAlmostEqual(10.0, self._demand(4.5).rate_per_s, delta=2.0)

    def test_priority_is_known_while_nothing_waits(self):
        # Otherwise models of the least urgent work count as most urgent
        # whenever none of their requests waits, and keep their replicas.
        self._update(1, 0.0, priority=2)
        self.assertEqual(2, self._demand(0.1).priority)
        self._update(2, 0.2, priority=1)
        self._update(3, 0.3, priority=2)
        self.assertEqual(1, self._demand(0.4).priority)


class PatienceTest(unittest.TestCase):
    """Hosts report how long their waiting requests can wait for a replica."""

    def _report(self, *requests, now_s):
        dispatcher = new_dispatcher()
        for each in requests:
            dispatcher.submit(each, each.arrived_s)
        (item,) = dispatcher.demand(now_s, full=True)
        return item

    def test_request_with_most_time_left_counts(self):
        calm = route(objective_s=8.0, timeout_s=15.0, priority=2)
        item = self._report(
            request("q1", 0.0, route=calm),
            request("q2", 3.0, route=calm),
            now_s=10.0,
        )
        self.assertEqual(15.0, item.patience_s)
        self.assertAlmostEqual(8.0 - 0.25, item.remaining_s)

    def test_shortest_patience_counts(self):
        # The next requests of an urgent route need the replica in any case.
        calm = route(objective_s=8.0, timeout_s=15.0, priority=2)
        urgent = route(objective_s=0.5, timeout_s=3.0)
        item = self._report(
            request("q1", 0.0, route=calm),
            request("q2", 1.0, route=urgent),
            now_s=1.0,
        )
        self.assertEqual(2.0, item.patience_s)

    def test_repeat_does_not_shorten_the_patience_of_its_route(self):
        # Callers repeat a request with the time that they have left.
        calm = route(objective_s=8.0, timeout_s=15.0, priority=2)
        repeat = request("q1", 0.0, route=calm, deadline_s=4.0)
        item = self._report(repeat, now_s=1.0)
        self.assertEqual(15.0, item.patience_s)
        self.assertLess(item.remaining_s, 3.0)

    def test_repeat_does_not_hide_the_wait_of_an_older_request(self):
        # Its deadline is earlier, so that it goes first.
        calm = route(objective_s=8.0, timeout_s=15.0, priority=2)
        item = self._report(
            request("q1", 0.0, route=calm),
            request("q2", 5.0, route=calm, deadline_s=11.0),
            now_s=6.0,
        )
        self.assertEqual(6.0, item.oldest_s)
