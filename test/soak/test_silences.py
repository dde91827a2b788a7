"""Tests of silences of sound engines: their plans, and the checks."""

import itertools
import unittest

from soak.__main__ import run_seed
from soak.fault_kinds import (
    BESIDE_SILENCES_KINDS,
    KINDS_WITHOUT_BREAKS,
    SILENCE_KINDS,
    Fault,
    FaultKind,
)
from soak.faults import InjectedFault
from soak.plan import make_plan
from soak.silence_plan import AFTER_CHANGE_S, max_silences
from soak.silences import (
    Silence,
    add_lags,
    find_cut_streams,
    find_silences,
    summarize,
)
from soak.takeovers import group_by_id
from test.soak.builders import make_run, make_stream

LENGTH_S = 12.0
SILENCES = 3

SILENT = Silence(1, 10.0, 11.4)


def _plans(count: int = 50):
    return [
        make_plan(seed, LENGTH_S, 8, silences=SILENCES) for seed in range(count)
    ]


def _of_kinds(plan, kinds) -> list[Fault]:
    return [fault for fault in plan.faults if fault.kind in kinds]


class SilencePlanTest(unittest.TestCase):

    def test_other_faults_are_those_of_the_seed_that_break_no_stream(self):
        for seed, plan in enumerate(_plans(20)):
            usual = make_plan(seed, LENGTH_S, 8)
            kept = _of_kinds(usual, KINDS_WITHOUT_BREAKS)
            self.assertLessEqual(set(kept), set(plan.faults))
            added = {one.kind for one in set(plan.faults) - set(kept)}
            allowed = {*SILENCE_KINDS, *BESIDE_SILENCES_KINDS}
            self.assertLessEqual(
                added, allowed | {FaultKind.CHANGE_CONFIGURATION}
            )
            self.assertEqual(
                (usual.gateways, usual.workers), (plan.gateways, plan.workers)
            )

    def test_engines_fall_silent_together_after_a_change(self):
        shares = set()
        for plan in _plans():
            changes_s = [
                fault.at_s
                for fault in _of_kinds(plan, {FaultKind.CHANGE_CONFIGURATION})
            ]
            silent = _of_kinds(plan, SILENCE_KINDS)
            times = itertools.groupby(silent, lambda fault: fault.at_s)
            groups = [list(group) for _, group in times]
            self.assertEqual(SILENCES, len(groups))
            for group in groups:
                first = group[0]
                self.assertIn(first.at_s - AFTER_CHANGE_S, changes_s)
                self.assertTrue(0.8 <= first.duration_s <= 1.5)
                is_late = first.kind is FaultKind.STAND_STILL
                self.assertEqual(is_late, 0.05 <= first.delay_s <= 0.2)
                what = {(one.kind, one.duration_s) for one in group}
                self.assertEqual(1, len(what))
                shares.add(len(group) == len(plan.engines))
        self.assertEqual({True, False}, shares)

    def test_an_engine_goes_on_before_it_is_silent_again(self):
        for plan in _plans():
            silent = _of_kinds(plan, SILENCE_KINDS)
            for first, then in itertools.combinations(silent, 2):
                end_s = first.at_s + first.duration_s + first.delay_s
                if first.target == then.target:
                    self.assertLess(end_s, then.at_s)

    def test_silences_end_within_the_length(self):
        most = max_silences(LENGTH_S)
        for fault in make_plan(7, LENGTH_S, 8, silences=most).faults:
            end_s = fault.at_s + fault.duration_s
            if fault.kind in SILENCE_KINDS:
                end_s += fault.delay_s
            self.assertLessEqual(end_s, LENGTH_S)
        with self.assertRaises(ValueError):
            make_plan(7, LENGTH_S, 8, silences=most + 1)

    def test_all_kinds_occur(self):
        faults = itertools.chain.from_iterable(plan.faults for plan in _plans())
        kinds = {fault.kind for fault in faults}
        self.assertLessEqual({*SILENCE_KINDS, *BESIDE_SILENCES_KINDS}, kinds)
        self.assertIn(FaultKind.STOP_GATEWAY, kinds)


class SilencePromiseTest(unittest.TestCase):
    """Guards against violations that are missed or reported wrongly."""

    def _find(self, stream, runs=(), silences=(SILENT,)) -> str:
        grouped = group_by_id(runs or [make_run()])
        return "\n".join(find_cut_streams([stream], grouped, silences))

    def _cut(self, **changes):
        fields = {
            "is_complete": False,
            "problem": "RemoteProtocolError",
            "ended_s": 11.6,
            "last_event_s": 9.98,
        }
        return make_stream(**{**fields, **changes})

    def _left(self, **changes):
        fields = {"has_left": True, "problem": "", "ended_s": 11.98}
        return self._cut(**{**fields, **changes})

    def test_whole_stream(self):
        self.assertEqual("", self._find(make_stream()))

    def test_stream_that_was_cut(self):
        self.assertIn("was cut at 11.600", self._find(self._cut()))
        self.assertIn("was cut", self._find(self._cut(), silences=()))

    def test_stream_that_had_not_begun(self):
        for status in (0, 503, 504):
            refused = self._cut(status=status, events=[])
            self.assertEqual("", self._find(refused))

    def test_stream_at_its_deadline(self):
        self.assertIn("was cut", self._find(self._cut(deadline_s=11.61)))
        self.assertEqual("", self._find(self._cut(deadline_s=11.6)))
        self.assertEqual("", self._find(self._left(deadline_s=11.98)))

    def test_stream_that_was_left_after_its_engine_was_silent(self):
        self.assertIn("for 0.60 s of which", self._find(self._left()))
        other = Silence(3, 10.0, 11.9)
        self.assertIn("for 2.00 s", self._find(self._left(), silences=[other]))

    def test_stream_that_was_left_as_its_engine_was_silent_until_then(self):
        long = Silence(1, 10.0, 11.85)
        self.assertEqual("", self._find(self._left(), silences=[long]))

    def test_silence_of_the_engine_that_sent_the_last_event_counts(self):
        runs = [make_run(), make_run(engine=3, begin_s=11.5, end_s=12.0)]
        self.assertIn("for 0.60 s of which", self._find(self._left(), runs))
        long = Silence(3, 10.0, 11.85)
        found = self._find(self._left(), runs, [long])
        self.assertIn("for 2.00 s of which", found)

    def test_time_in_which_engines_were_really_silent(self):
        kinds = (FaultKind.STAND_STILL, FaultKind.RESET_STORE)
        injected = [
            InjectedFault(Fault(4.0, kind, 1, 1.2), 10.0, 11.4)
            for kind in kinds
        ]
        self.assertEqual([SILENT], find_silences(injected))
        lines = {
            1: [
                "stood-still 9.700 10.200",
                "a line of something else",
                "stood-still 11.300 11.350",
                "stood-still 12.000 12.300",
            ],
            3: ["stood-still 11.000 11.500"],
        }
        self.assertEqual(
            [
                Silence(1, 9.7, 11.4),
                Silence(1, 12.0, 12.3),
                Silence(3, 11.0, 11.5),
            ],
            add_lags(find_silences(injected), lines),
        )

    def test_summary(self):
        streams = [make_stream(), self._cut(), self._left()]
        for number, stream in enumerate(streams):
            stream.tries[0].id = f"s{number}"
        runs = group_by_id(
            [
                *(make_run(id=f"s{number}") for number in range(3)),
                make_run(id="s2", engine=3, begin_s=11.5),
                make_run(id="s3"),
            ]
        )
        self.assertEqual(
            "3 streams met 1 silences of engines, 1 went on at another engine,"
            " 1 were cut, 1 were left; the longest time between two events was"
            " 0.00 s",
            summarize(streams, runs, [SILENT]),
        )
        self.assertIn("0 streams met", summarize(streams, runs, []))


class SilenceRunTest(unittest.TestCase):

    def test_no_stream_of_a_sound_engine_is_cut(self):
        self.assertEqual([], run_seed(9937, LENGTH_S, 8, silences=SILENCES))
