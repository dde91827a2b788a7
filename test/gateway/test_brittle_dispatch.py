"""A host sends to brittle upstreams only within its places."""

import unittest

from acaciaspoke.gateway.backups import usable_backup
from acaciaspoke.gateway.dispatch import Assignment
from acaciaspoke.gateway.host_places import UNGRANTED_S
from acaciaspoke.gateway.types import BackupEngine, ResumePoint, WaitReason
from acaciaspoke.ids import UpstreamId
from test.gateway.builders import (
    SERVICE,
    new_dispatcher,
    record,
    request,
    route,
)

U1, U2 = UpstreamId("u1"), UpstreamId("u2")
EPOCH = 7


class BrittleDispatchTest(unittest.TestCase):

    def setUp(self):
        self.dispatcher = new_dispatcher(
            record("u1", "m1", slots=4), record("u2", "m1", slots=4)
        )
        self.fleet = self.dispatcher.fleet
        self.fleet.brittle.named.record_limit(U1, 1, 2.0, 0.0)
        self.now_s = 1.0 + UNGRANTED_S
        self.grants = 0

    def _grant(self, **places):
        self.grants += 1
        names = {UpstreamId(name): count for name, count in places.items()}
        self.fleet.places.apply(SERVICE, EPOCH, self.grants, names, self.now_s)

    def _submit(self, name="q1", **changes):
        new = request(name, self.now_s, **changes)
        self.assertIsNone(self.dispatcher.submit(new, self.now_s))
        return new

    def _decide(self):
        return [
            (decision.request.id, decision.upstream)
            for decision in self.dispatcher.decide(self.now_s)
            if isinstance(decision, Assignment)
        ]

    def test_waits_without_a_place(self):
        waiting = self._submit()
        self.assertEqual([], self._decide())
        self.assertEqual(WaitReason.ROOM, waiting.wait_reason)
        needed = self.fleet.places.waiting(SERVICE)
        self.assertEqual({U1: {0: 1}, U2: {0: 1}}, needed)
        self._grant(u2=1)
        self.assertEqual([("q1", U2)], self._decide())

    def test_place_is_used_again(self):
        first = self._submit("q1")
        self._submit("q2")
        self._grant(u1=1)
        self.assertEqual([("q1", U1)], self._decide())
        self.dispatcher.record_finished(first)
        self.assertEqual([("q2", U1)], self._decide())

    def test_urgent_request_goes_first(self):
        self._submit("q1", route=route(priority=2))
        self._submit("q2", route=route(priority=0))
        self._grant(u1=1)
        self.assertEqual([("q2", U1)], self._decide())

    def test_loads_of_other_hosts_do_not_block_a_place(self):
        self._grant(u1=1)
        self.fleet.peer_loads.loads = lambda *_: {U1: 99, U2: 99}
        self._submit()
        self.assertEqual([("q1", U1)], self._decide())

    def test_run_is_not_stopped_without_a_place_at_the_other_engine(self):
        """It was stopped, and waited for a place until its caller left."""
        stream = self._submit()
        self._grant(u1=1)
        self.assertEqual([("q1", U1)], self._decide())
        stream.backup_engine = BackupEngine(U2, "10.0.0.2:80")
        self.assertIsNone(self._usable_backup(stream))
        self._grant(u1=1, u2=1)
        self.assertIsNotNone(self._usable_backup(stream))

    def _usable_backup(self, stream):
        budget = self.dispatcher.budget(SERVICE)
        return usable_backup(stream, self.fleet, budget, self.now_s)

    def test_takeover_waits_for_a_place(self):
        stream = self._submit()
        stream.resume_at = ResumePoint(U2, "10.0.0.2:80", "memory")
        self._grant(u1=2)
        self.assertEqual([], self._decide())
        self.assertEqual({U2: {0: 1}}, self.fleet.places.waiting(SERVICE))
        self._grant(u1=1, u2=1)
        self.assertEqual([("q1", U2)], self._decide())

    def test_report_counts_running_and_waiting_requests(self):
        self._submit("q1", route=route(priority=1))
        self._submit("q2", route=route(priority=2))
        self._grant(u1=1)
        self._decide()
        running = self.dispatcher.running_priorities()
        uses = self.fleet.places.uses(SERVICE, running, self.now_s)
        self.assertEqual({1: 1, 2: 1}, uses[U1].wanted)
        self.assertEqual((1, 1), (uses[U1].in_flight, uses[U1].allowed))
        self.assertEqual({2: 1}, uses[U2].wanted)
