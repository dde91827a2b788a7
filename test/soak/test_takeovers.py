"""Tests of the check of streams that go on at other engines."""

import itertools
import unittest

from soak.__main__ import run_seed
from soak.fault_kinds import FaultKind
from soak.plan import make_plan
from soak.takeovers import (
    Cut,
    find_takeover_violations,
    group_by_id,
    read_runs,
    summarize,
)
from standins.kv_engine import count_events
from test.soak.builders import make_events, make_stream

LENGTH_S = 12.0

LINES = {
    1: [
        "began 1000.0 s0-0 afresh worker1 10.000",
        "a line of something else",
        "ended 1000.0 s0-0 worker1 12.000",
    ],
    3: [
        "began 2000.0 s0-0 copy worker3 11.700",
        "ended 2000.0 s0-0 worker3 13.000",
    ],
}


def _runs(*changed: tuple[int, list[str]], kills=()):
    lines = LINES | dict(changed)
    return group_by_id(read_runs(lines, kills, 20.0))


class TakeoverPromiseTest(unittest.TestCase):
    """Guards against violations that are missed or reported wrongly."""

    def _find(self, runs, stream=None, cuts=()) -> str:
        streams = [stream or make_stream()]
        found = find_takeover_violations(streams, runs, [], cuts)
        return "\n".join(found)

    def test_no_violation(self):
        self.assertEqual("", self._find(_runs()))

    def test_two_runs_afresh(self):
        line = LINES[3][0].replace("copy", "afresh")
        runs = _runs((3, [line, LINES[3][1]]))
        self.assertIn("ran afresh 2 times", self._find(runs))

    def test_two_engines_at_work(self):
        late = LINES[1][2].replace("12.000", "12.200")
        found = self._find(_runs((1, [LINES[1][0], late])))
        self.assertIn("at two engines for 0.50 s", found)
        # A run without an end works on until its engine is killed.
        runs = _runs((1, LINES[1][:1]))
        self.assertIn("at two engines for 1.30 s", self._find(runs))
        kills = [(3, 11.0), (1, 9.0), (1, 12.05), (1, 12.9)]
        runs = _runs((1, LINES[1][:1]), kills=kills)
        self.assertEqual("", self._find(runs))

    def test_two_runs_at_one_engine(self):
        again = [line.replace("2000.0", "2000.1") for line in LINES[3]]
        runs = _runs((3, LINES[3] + again))
        self.assertIn("at two engines for 1.30 s", self._find(runs))

    def test_engine_that_cannot_be_reached(self):
        late = LINES[1][2].replace("12.000", "12.800")
        runs = _runs((1, [LINES[1][0], late]))
        for cut, is_excused in (
            (Cut(1, 11.0, 12.5), True),
            (Cut(1, 11.9, 12.8), True),
            (Cut(1, 11.0, 12.3), False),
            (Cut(1, 12.2, 12.8), False),
            (Cut(3, 11.0, 13.0), False),
        ):
            with self.subTest(cut=cut):
                found = self._find(runs, cuts=[cut])
                self.assertEqual(is_excused, not found)

    def test_refused_stream_that_ran(self):
        for status in (408, 421, 429, 503):
            refused = make_stream(status=status, events=[], is_complete=False)
            self.assertIn("was answered", self._find(_runs(), refused))
            self.assertEqual("", self._find({}, refused))

    def test_status_that_is_not_allowed(self):
        failed = make_stream(status=404, events=[], is_complete=False)
        self.assertIn("was answered 404", self._find({}, failed))

    def test_stream_that_no_engine_ran(self):
        self.assertIn("not run", self._find({}))

    def test_request_without_an_answer(self):
        lost = make_stream(
            status=0, events=[], is_complete=False, problem="ReadError: "
        )
        self.assertIn("ReadError", self._find({}, lost))

    def test_streams_with_a_gap_a_duplicate_or_no_end(self):
        events = make_events(count_events("s0"))
        for wrong in (
            events[1:],
            [*events[:5], *events[6:]],
            [events[0], *events],
            events[:-1],
            [*events[:-1], events[-1][:4]],
        ):
            found = self._find(_runs(), make_stream(events=wrong))
            self.assertEqual(1, len(found.splitlines()))
        broken = make_stream(events=events[:9], is_complete=False)
        self.assertEqual("", self._find(_runs(), broken))

    def test_summary(self):
        broken = make_stream(events=make_events(9), is_complete=False)
        left = make_stream(
            events=make_events(9), is_complete=False, has_left=True
        )
        refused = make_stream(status=503, events=[], is_complete=False)
        streams = [make_stream(), broken, left, refused]
        self.assertEqual(
            "3 of 4 streams with copies began, 1 went on from a copy, 1 are"
            " complete, 1 broke off, 1 were left; 0 were at work at two"
            " engines for over 0.4 s, 0 with those at engines that were cut"
            " off",
            summarize(streams, _runs()),
        )
        late = LINES[1][2].replace("12.000", "12.200")
        runs = _runs((1, [LINES[1][0], late]))
        cuts = [Cut(1, 11.0, 12.5)]
        self.assertIn("; 0 were at work at two", summarize([], runs, cuts))
        self.assertIn("s, 1 with those", summarize([], runs, cuts))


class TakeoverPlanTest(unittest.TestCase):

    def test_takeovers_leave_the_other_faults_as_they_are(self):
        for seed in range(20):
            plan = make_plan(seed, 12.0, 8, restores=1)
            taken = make_plan(seed, 12.0, 8, restores=1, takeovers=9)
            self.assertLessEqual(set(plan.faults), set(taken.faults))
            self.assertEqual(
                (plan.gateways, plan.workers), (taken.gateways, taken.workers)
            )

    def test_faults_of_takeovers(self):
        plans = [make_plan(seed, 12.0, 8, takeovers=9) for seed in range(20)]
        faults = list(
            itertools.chain.from_iterable(plan.faults for plan in plans)
        )
        for fault in faults:
            self.assertLessEqual(fault.at_s + fault.duration_s, 12.0)
        kinds = {fault.kind for fault in faults}
        self.assertIn(FaultKind.PAUSE_ENGINE, kinds)
        self.assertIn(FaultKind.HOLD_EVENTS, kinds)
        self.assertIn(FaultKind.BREAK_OFF, kinds)
        self.assertNotIn(FaultKind.RELEASE, kinds)


class TakeoverRunTest(unittest.TestCase):

    def test_no_stream_is_at_work_at_two_engines(self):
        self.assertEqual([], run_seed(9704, LENGTH_S, 8, takeovers=12))
