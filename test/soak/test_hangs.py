"""Tests of engines that hang or end while others are sound."""

import itertools
import unittest

from soak.copies import Copy
from soak.fault_kinds import (
    HANG_KINDS,
    KINDS_WITHOUT_BREAKS,
    Fault,
    FaultKind,
)
from soak.faults import InjectedFault
from soak.hangs import Hang, Loss, count_hangs, find_losses, summarize
from soak.plan import make_plan
from soak.silence_plan import max_hangs
from soak.silences import Silence
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


class LossTest(unittest.TestCase):
    """An engine holds the events of a stream back from 10.0 s on."""

    HOLD = InjectedFault(Fault(4.0, FaultKind.HOLD_EVENTS, 1, 3.5), 10.0, 13.5)

    def _losses(
        self, *others, copies=(), lags=(), hangs=(HOLD,), **changes
    ) -> list[Loss]:
        """Returns the losses of a stream that was left, with runs beside it."""
        stream = make_stream(
            **{
                "is_complete": False,
                "has_left": True,
                "last_event_s": 10.0,
                "ended_s": 12.0,
            }
            | changes
        )
        runs = group_by_id([make_run(), *others])
        slots = {1: 2, 3: 2}
        return list(find_losses(hangs, [stream], runs, copies, lags, slots))

    def _is_excused(self, *others, **changes) -> bool:
        (loss,) = self._losses(*others, **changes)
        return loss.is_excused

    def _run(self, number: int, begin_s: float, end_s: float):
        return make_run(
            id=f"other{number}", engine=3, begin_s=begin_s, end_s=end_s
        )

    def test_left_or_cut_with_a_free_slot_elsewhere(self):
        self.assertFalse(self._is_excused())
        self.assertFalse(self._is_excused(has_left=False, ended_s=11.1))
        (loss,) = self._losses()
        self.assertEqual([3], loss.free_engines)
        self.assertIn("engines [3] had a free slot", str(loss))
        self.assertIn("1 streams were left or cut", summarize([loss]))

    def test_whole_stream(self):
        self.assertEqual([], self._losses(is_complete=True))

    def test_stream_that_had_events_of_another_engine(self):
        self.assertEqual([], self._losses(self._run(0, 9.0, 13.0), id="other0"))
        moved = make_run(engine=3, begin_s=11.0, end_s=14.0)
        cut = {"last_event_s": 11.5, "ended_s": 13.5}
        self.assertEqual([], self._losses(moved, **cut))

    def test_stream_whose_next_engine_sent_nothing(self):
        moved = make_run(engine=3, begin_s=11.9, end_s=14.0)
        self.assertFalse(self._is_excused(moved))

    def test_all_slots_taken_for_a_moment(self):
        runs = [self._run(0, 9.0, 11.3), self._run(1, 11.2, 14.0)]
        self.assertTrue(self._is_excused(*runs))
        self.assertFalse(self._is_excused(runs[0]))

    def test_slots_taken_one_after_the_other(self):
        runs = [self._run(0, 9.0, 11.2), self._run(1, 11.2, 14.0)]
        self.assertFalse(self._is_excused(*runs))

    def test_slots_taken_before_and_after(self):
        runs = [
            *(self._run(0, 9.0, 10.6), self._run(1, 9.0, 10.6)),
            *(self._run(2, 12.1, 13.0), self._run(3, 12.1, 13.0)),
        ]
        self.assertFalse(self._is_excused(*runs))

    def test_slots_taken_by_copies(self):
        run = self._run(0, 9.0, 14.0)
        copies = [Copy("other1", 3, 11.0, 14.0)]
        self.assertTrue(self._is_excused(run, copies=copies))
        own = [Copy("s0-0", 3, 11.0, 14.0)]
        self.assertFalse(self._is_excused(run, copies=own))

    def test_fault_of_the_other_engine(self):
        for begin_s, is_excused in ((8.0, False), (11.5, True), (12.5, False)):
            hang = Fault(4.0, FaultKind.KILL_WORKER, 3, 2.0)
            hangs = (self.HOLD, InjectedFault(hang, begin_s, begin_s + 2.0))
            self.assertEqual(is_excused, self._is_excused(hangs=hangs))

    def test_engines_that_stand_still(self):
        self.assertTrue(self._is_excused(lags=[Silence(3, 11.5, 11.7)]))
        self.assertFalse(self._is_excused(lags=[Silence(3, 10.1, 10.3)]))
        self.assertTrue(self._is_excused(lags=[Silence(1, 10.1, 10.3)]))

    def test_paused_engine(self):
        pause = Fault(4.0, FaultKind.PAUSE_ENGINE, 1, 3.5)
        hangs = (InjectedFault(pause, 10.0, 13.5),)
        self.assertEqual([], self._losses(hangs=hangs))
