"""Tests of engines that hang or end while others are sound."""

import itertools
import unittest

from soak.fault_kinds import (
    HANG_KINDS,
    KINDS_WITHOUT_BREAKS,
    Fault,
    FaultKind,
)
from soak.faults import InjectedFault
from soak.hangs import Hang, count_hangs
from soak.plan import make_plan
from soak.silence_plan import max_hangs
from soak.takeovers import group_by_id
from test.soak.builders import make_run, make_stream

LENGTH_S = 26.0


class HangPlanTest(unittest.TestCase):

    def test_other_faults_are_those_of_the_seed_that_break_no_stream(self):
        kinds = set()
        for seed in range(20):
            usual = make_plan(seed, LENGTH_S, 8).faults
            kept = {one for one in usual if one.kind in KINDS_WITHOUT_BREAKS}
            plan = make_plan(seed, LENGTH_S, 8, hangs=4)
            self.assertLessEqual(kept, set(plan.faults))
            added = {one.kind for one in set(plan.faults) - kept}
            self.assertLessEqual(added, set(HANG_KINDS))
            kinds |= added
        self.assertEqual(set(HANG_KINDS), kinds)

    def test_one_engine_after_the_other_hangs(self):
        most = max_hangs(LENGTH_S)
        for seed in range(20):
            plan = make_plan(seed, LENGTH_S, 8, hangs=most)
            hangs = [one for one in plan.faults if one.kind in HANG_KINDS]
            self.assertEqual(most, len(hangs))
            for hang in hangs:
                self.assertIn(hang.target, plan.engines)
                self.assertTrue(3.0 <= hang.duration_s <= 5.0)
                self.assertLess(hang.at_s + hang.duration_s, LENGTH_S)
            for first, then in itertools.pairwise(hangs):
                self.assertLess(first.at_s + first.duration_s, then.at_s)
        with self.assertRaises(ValueError):
            make_plan(7, LENGTH_S, 8, hangs=most + 1)


class HangCountTest(unittest.TestCase):

    def _streams(self):
        cut = {"is_complete": False, "ended_s": 12.2}
        streams = [
            make_stream(id="on", longest_gap_s=1.7),
            make_stream(id="stayed", longest_gap_s=3.1),
            make_stream(id="broke", **cut),
            make_stream(id="left", has_left=True, **cut),
            make_stream(id="ended", ended_s=9.9),
            make_stream(id="refused", status=503, is_complete=False),
            make_stream(id="elsewhere"),
            make_stream(id="later"),
        ]
        return streams

    def test_counts(self):
        runs = [make_run(id=one.tries[0].id) for one in self._streams()[:6]]
        runs += [
            make_run(id="on", engine=3, begin_s=11.7),
            make_run(id="elsewhere", engine=3),
            make_run(id="later", begin_s=10.5),
        ]
        injected = [
            InjectedFault(Fault(4.0, kind, 1, 3.5), 10.0, 13.5)
            for kind in (FaultKind.HOLD_EVENTS, FaultKind.RESET_STORE)
        ]
        counted = count_hangs(injected, self._streams(), group_by_id(runs))
        expected = Hang(FaultKind.HOLD_EVENTS, 1, 1, 1, 1, 1, 1.7)
        self.assertEqual([expected], list(counted))
