"""Requests waited for pauses of upstreams after the links were back."""

import unittest

from acaciaspoke.gateway.dispatch import Assignment
from acaciaspoke.gateway.upstream import MAX_FAILURE_PAUSE_S
from acaciaspoke.ids import UpstreamId
from test.gateway.builders import new_dispatcher, record, request

U1, U2 = UpstreamId("u1"), UpstreamId("u2")


class PausesTest(unittest.TestCase):

    def setUp(self):
        self.dispatcher = new_dispatcher(record("u1", "m1"), record("u2", "m2"))
        self.fleet = self.dispatcher.fleet

    def _fail(self, upstream: UpstreamId, now_s: float) -> None:
        for _ in range(4):
            self.fleet.record_failure(upstream, now_s)

    def test_request_after_the_links_are_back(self):
        self._fail(U1, 5.0)
        self.dispatcher.submit(request(now_s=5.1), 5.1)
        self.assertEqual([], list(self.dispatcher.decide(5.1)))
        self.fleet.forget_failures(4.0, 5.2)
        self.assertIsInstance(next(self.dispatcher.decide(5.2)), Assignment)
        # Its next failure pauses it as shortly as the first one.
        self.fleet.record_failure(U1, 5.3)
        paused_s = self.fleet.upstreams[U1].paused_until_s - 5.3
        self.assertLess(paused_s, MAX_FAILURE_PAUSE_S / 2)

    def test_pause_of_an_upstream_that_is_still_not_reached(self):
        self._fail(U1, 5.0)
        self._fail(U2, 5.0)
        self.fleet.links.record_failed(U1, 5.2)
        self.fleet.forget_failures(4.0, 5.2)
        self.assertEqual((U1,), self.fleet.reachability.local_unreachable(5.2))
        self.assertTrue(self.fleet.upstreams[U2].accepts(5.2))

    def test_pause_of_an_upstream_that_failed_before(self):
        self._fail(U1, 3.9)
        self.fleet.forget_failures(4.0, 5.2)
        self.assertFalse(self.fleet.upstreams[U1].accepts(5.2))

    def test_named_pause_stays(self):
        self.fleet.record_named_pause(U1, 1, 3.0, 5.0)
        self._fail(U1, 5.0)
        self.fleet.forget_failures(4.0, 5.2)
        self.assertFalse(self.fleet.upstreams[U1].accepts(5.2))
