"""Tests of acaciaspoke.gateway.demand."""

import unittest

from acaciaspoke.gateway.demand import DemandBoard
from acaciaspoke.gateway.messages import ArtifactDemand, DemandDigest
from acaciaspoke.ids import BootId, HostId
from test.gateway.builders import SERVICE, artifact


class RateTest(unittest.TestCase):
    """Demand moves to a model within a second."""

    def setUp(self):
        self.board = DemandBoard()
        self.sequence = 0

    def _take(self, arrivals, now_s, tokens=0, priority=0):
        self.sequence += 1
        item = ArtifactDemand(
            SERVICE, artifact("m1"), arrivals, 0, priority, 0.0, tokens
        )
        self.board.take(
            DemandDigest(
                host=HostId("h1"),
                boot=BootId("b"),
                sequence=self.sequence,
                demand=(item,),
            ),
            now_s,
        )

    def _want(self, now_s):
        return self.board.wants(now_s)[artifact("m1")]

    def test_new_demand_is_seen_at_its_full_rate(self):
        # It was seen at a third of its rate after a second, and copies came
        # late.
        for tenth in range(1, 16):
            self._take(tenth, tenth / 10, 500 * tenth)
        self.assertAlmostEqual(10.0, self._want(1.5).rate_per_s, delta=2.0)
        self.assertAlmostEqual(5000, self._want(1.5).tokens_per_s, delta=1000)

    def test_one_request_is_no_trend(self):
        self._take(1, 0.0)
        self.assertLess(self._want(0.01).rate_per_s, 1.5)

    def test_demand_after_silence_is_new(self):
        for tenth in range(1, 31):
            self._take(tenth, tenth / 10)
        self.assertLess(self._want(30.0).rate_per_s, 0.1)
        for tenth in range(1, 16):
            self._take(30 + tenth, 30 + tenth / 10)
        self.assertAlmostEqual(10.0, self._want(31.5).rate_per_s, delta=2.0)

    def test_priority_is_known_while_nothing_waits(self):
        # Models of the least urgent work counted as the most urgent ones
        # whenever none of their requests waited, and kept their copies.
        self._take(1, 0.0, priority=2)
        self.assertEqual(2, self._want(0.1).priority)
        self._take(2, 0.2, priority=1)
        self._take(3, 0.3, priority=2)
        self.assertEqual(1, self._want(0.4).priority)
