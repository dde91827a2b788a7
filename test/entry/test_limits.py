"""Tests of the concurrency limits."""

import random
import unittest

from acaciaspoke.entry.limits import ConcurrencyLimits
from acaciaspoke.entry.rank_queue import Urgency
from test.entry.builders import fleet, request, view

FLOOD = Urgency(0, flooding=True)


def new_limits(entry_processes):
    return ConcurrencyLimits(entry_processes, random.Random(1))


def one_upstream(slots=16):
    f = fleet({"u1": "d1"}, slots=slots)
    return f, f.upstreams["u1"]


class ConcurrencyLimitsTest(unittest.TestCase):

    def test_starts_at_the_share_of_live_entry_processes(self):
        """Guards against entry processes that each use all slots."""
        _, status = one_upstream()
        self.assertEqual(new_limits(8).limit(status), 2)
        self.assertEqual(new_limits(100).limit(status), 1)

    def test_borrows_and_returns_idle_slots(self):
        """Guards against idle slots, and against keeping borrowed slots."""
        f, status = one_upstream()
        limits = new_limits(8)
        for n in range(60):
            while limits.has_capacity(status, FLOOD, 0.0):
                f.record_sent("u1", request(), n)
            f.update([view("u1", running=len(status.in_flight))], n + 0.5)
            limits.record_report(status)
        self.assertGreaterEqual(limits.limit(status), 14)
        for r in list(status.in_flight)[2:]:
            f.record_finished("u1", r)
        for n in range(60, 90):
            f.update([view("u1", running=16, waiting=8)], n)
            limits.record_report(status)
        self.assertEqual(limits.limit(status), 2)

    def test_simultaneous_refusals_count_once(self):
        """Guards against a window that one burst of refusals collapses."""
        _, status = one_upstream()
        limits = new_limits(1)
        for _ in range(10):
            limits.record_refusal(status, sent_s=1.0, now_s=2.0)
        # 16 * 0.7, rounded up or down at random.
        self.assertIn(limits.limit(status), (11, 12))
        limits.record_refusal(status, sent_s=2.5, now_s=3.0)
        self.assertIn(limits.limit(status), (7, 8))

    def test_window_recovers_from_refusals(self):
        """Guards against an upstream that is never tried again."""
        f, status = one_upstream()
        limits = new_limits(1)
        for n in range(50):
            limits.record_refusal(status, sent_s=n, now_s=n)
        self.assertTrue(limits.has_capacity(status, FLOOD, 0.0))
        for n in range(50, 100):
            f.update([view("u1")], n)
            limits.record_report(status)
        self.assertEqual(limits.limit(status), 16)

    def test_less_urgent_work_leaves_slots_free(self):
        """Guards against slots that batch work occupies for long."""
        f, status = one_upstream()
        limits = new_limits(1)
        batch = Urgency(2, flooding=False)
        for level in range(2):
            limits.record_arrival(level, 0.0)
        while limits.has_capacity(status, batch, 0.0):
            f.record_sent("u1", request(), 0.0)
        self.assertEqual(len(status.in_flight), 12)
        self.assertTrue(limits.has_capacity(status, Urgency(0, False), 0.0))
        self.assertTrue(limits.has_capacity(status, batch, 100.0))

    def test_floods_of_all_entry_processes_fit_one_report(self):
        """Guards against entry processes that all fill the same free slots."""
        total = 0
        for seed in range(8):
            f, status = one_upstream()
            limits = ConcurrencyLimits(8, random.Random(seed))
            f.update([view("u1", running=10)], 1.0)
            limits.record_report(status)
            while limits.has_capacity(status, FLOOD, 1.0):
                f.record_sent("u1", request(), 1.0, flooding=True)
            total += len(status.in_flight)
        self.assertLessEqual(total, 6)

    def test_less_urgent_work_continues_with_one_slot_or_old_reports(self):
        """Guards against ranks that get no more than their floors."""
        flood = Urgency(2, flooding=True)
        for slots, running, now_s in ((1, 0, 1.0), (16, 16, 100.0)):
            f, status = one_upstream(slots)
            limits = new_limits(1)
            limits.record_arrival(0, now_s)
            f.update([view("u1", running=running)], 1.0)
            self.assertTrue(limits.has_capacity(status, flood, now_s))

    def test_idle_upstream_with_few_slots_runs_the_least_urgent(self):
        """Guards against a reserve that takes all slots."""
        for slots in (1, 2):
            _, status = one_upstream(slots)
            limits = new_limits(1)
            for level in range(3):
                limits.record_arrival(level, 0.0)
            least = Urgency(2, flooding=False)
            self.assertTrue(limits.has_capacity(status, least, 1.0), slots)
