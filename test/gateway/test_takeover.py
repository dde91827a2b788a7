"""Which evidence ends a run, and where it can go on then."""

import itertools
import unittest

from acaciaspoke.gateway.takeover import (
    LATER_WITHOUT_COPY_S,
    MIN_RESPONSIVE_S,
    MIN_RESPONSIVE_WITHOUT_COPY_S,
    EngineCalls,
    EngineConnections,
    Run,
    Silence,
    end_lost_run,
    end_silent_run,
    resume_points,
)
from acaciaspoke.gateway.types import BackupEngine
from acaciaspoke.platform.engine import CopyOutcome, RunStop, StopOutcome

STOP_AFTER_S = 1.6

STOPPED = RunStop(StopOutcome.STOPPED, "h", is_copied=True)

RUN = Run("q", "u1", "10.0.0.1:80", BackupEngine("u2", "10.0.0.2:80"))


class _NoEndError(Exception):
    """The calls were made without an end of the run."""


def _answers(outcomes):
    """Returns a call that returns the outcomes in turn."""
    outcomes = iter(outcomes)

    async def call():
        for outcome in outcomes:
            return outcome
        raise _NoEndError

    return call


def _to_stop(result):
    return result if isinstance(result, RunStop) else RunStop(result)


async def _skip(_):
    pass


class EndOfRunTest(unittest.IsolatedAsyncioTestCase):

    async def _end_silent(
        self,
        check,
        stop=(),
        silent_s=9.0,
        age_s=9.0,
        copies=(),
        destination=(),
        responsive_s=9.0,
    ):
        copies = itertools.chain(copies, itertools.repeat(CopyOutcome.MADE))
        destination = itertools.chain(destination, itertools.repeat(True))
        calls = EngineCalls(
            *map(_answers, (check, destination, copies, map(_to_stop, stop)))
        )
        silence = Silence(lambda: silent_s, lambda: responsive_s, lambda: age_s)
        return await end_silent_run(calls, silence, STOP_AFTER_S, _skip)

    async def _end_lost(self, stop, others=(), age_s=None):
        others = itertools.chain(others, itertools.repeat(False))
        return await end_lost_run(
            _answers(map(_to_stop, stop)),
            lambda: EngineConnections(next(others), age_s),
            _skip,
        )

    async def test_silent_engine_that_answers_calls_is_told_to_stop(self):
        answered = [StopOutcome.ANSWERED] * 2
        self.assertEqual(STOPPED, await self._end_silent(answered, [STOPPED]))

    async def test_short_silence_is_waited_for(self):
        with self.assertRaises(_NoEndError):
            await self._end_silent(
                [StopOutcome.ANSWERED] * 9, [STOPPED], STOP_AFTER_S - 0.1
            )

    async def test_engine_that_has_just_woken_goes_on(self):
        # It has answered the check that waited, and no event has come yet.
        with self.assertRaises(_NoEndError):
            await self._end_silent(
                [StopOutcome.ANSWERED] * 9,
                [STOPPED],
                responsive_s=MIN_RESPONSIVE_S - 0.1,
            )

    async def _end_silent_until_asked(self, outcome):
        """Ends a run whose engine is heard of while the other one is asked."""
        age_s = 9.0

        async def may_take_over():
            nonlocal age_s
            age_s = 0.0
            return True

        calls = EngineCalls(
            _answers([outcome] * 9),
            may_take_over,
            _answers(itertools.repeat(CopyOutcome.MADE)),
            _answers([STOPPED]),
        )
        silence = Silence(lambda: age_s, lambda: 9.0, lambda: age_s)
        return await end_silent_run(calls, silence, STOP_AFTER_S, _skip)

    async def test_event_that_comes_while_the_other_engine_is_asked(self):
        """Another stream of the engine had it; the run was still stopped."""
        with self.assertRaises(_NoEndError):
            await self._end_silent_until_asked(StopOutcome.ANSWERED)

    async def test_host_that_acknowledges_while_the_other_engine_is_asked(self):
        with self.assertRaises(_NoEndError):
            await self._end_silent_until_asked(StopOutcome.UNREACHABLE)

    async def test_run_stays_while_the_other_engine_is_silent(self):
        with self.assertRaises(_NoEndError):
            await self._end_silent(
                [StopOutcome.ANSWERED] * 9, [STOPPED], destination=[False] * 9
            )

    async def test_run_without_contact_stays_while_the_other_is_silent(self):
        unreachable = [StopOutcome.UNREACHABLE] * 9
        with self.assertRaises(_NoEndError):
            await self._end_silent(unreachable, destination=[False] * 9)

    async def test_run_stays_while_the_other_engine_has_no_copy(self):
        with self.assertRaises(_NoEndError):
            await self._end_silent(
                [StopOutcome.ANSWERED] * 9,
                [STOPPED],
                STOP_AFTER_S,
                copies=[CopyOutcome.REFUSED] * 9,
            )

    async def test_run_is_stopped_once_the_other_engine_has_a_copy(self):
        stop = await self._end_silent(
            [StopOutcome.ANSWERED] * 9,
            [STOPPED],
            STOP_AFTER_S,
            copies=[CopyOutcome.REFUSED, CopyOutcome.UNKNOWN],
        )
        self.assertEqual(STOPPED, stop)

    async def test_run_without_a_copy_is_stopped_before_callers_leave(self):
        refused = [CopyOutcome.REFUSED] * 9
        silent_s = STOP_AFTER_S + LATER_WITHOUT_COPY_S
        stop = await self._end_silent(
            [StopOutcome.ANSWERED], [STOPPED], silent_s, copies=refused
        )
        self.assertEqual(STOPPED, stop)
        with self.assertRaises(_NoEndError):
            await self._end_silent(
                [StopOutcome.ANSWERED] * 9,
                [STOPPED],
                copies=refused,
                responsive_s=MIN_RESPONSIVE_WITHOUT_COPY_S - 0.1,
            )

    async def test_open_connection_and_refused_ones_are_no_end(self):
        with self.assertRaises(_NoEndError):
            await self._end_silent([StopOutcome.REFUSED] * 9)

    async def test_one_connection_that_is_not_established_is_no_end(self):
        unreachable, unknown = StopOutcome.UNREACHABLE, StopOutcome.UNKNOWN
        with self.assertRaises(_NoEndError):
            await self._end_silent([unreachable, unknown, unreachable])
        ended = await self._end_silent([unknown, unreachable, unreachable])
        self.assertIs(unreachable, ended.outcome)

    async def test_host_that_acknowledges_is_no_end(self):
        unreachable = [StopOutcome.UNREACHABLE] * 9
        with self.assertRaises(_NoEndError):
            await self._end_silent(unreachable, age_s=0.5)
        ended = await self._end_silent(unreachable, age_s=None)
        self.assertIs(StopOutcome.UNREACHABLE, ended.outcome)

    async def test_unclear_answers_to_a_stop_order_are_no_end(self):
        unclear = (
            StopOutcome.UNKNOWN,
            StopOutcome.REFUSED,
            StopOutcome.NO_RUN,
        )
        for outcome in unclear:
            with self.subTest(outcome), self.assertRaises(_NoEndError):
                await self._end_silent(
                    [StopOutcome.ANSWERED] * 3, [outcome] * 2
                )

    async def test_lost_run_ends_with_the_answer_to_a_stop_order(self):
        for outcome in (StopOutcome.NO_RUN, StopOutcome.OTHER_PROCESS):
            with self.subTest(outcome):
                ended = await self._end_lost([StopOutcome.UNKNOWN, outcome])
                self.assertIs(outcome, ended.outcome)
        self.assertEqual(STOPPED, await self._end_lost([STOPPED]))

    async def test_refused_connections_end_a_lost_run_without_others(self):
        refused = [StopOutcome.REFUSED] * 3
        with self.assertRaises(_NoEndError):
            await self._end_lost(refused, [True] * 3)
        ended = await self._end_lost(refused, [True, False])
        self.assertIs(StopOutcome.REFUSED, ended.outcome)

    async def test_lost_run_at_an_engine_that_cannot_be_reached(self):
        unreachable = [StopOutcome.UNREACHABLE] * 2
        for age_s in (None, 9.0):
            ended = await self._end_lost(unreachable, age_s=age_s)
            self.assertIs(StopOutcome.UNREACHABLE, ended.outcome)

    async def test_lost_run_at_a_host_that_acknowledges_is_no_end(self):
        unreachable = [StopOutcome.UNREACHABLE] * 9
        with self.assertRaises(_NoEndError):
            await self._end_lost(unreachable, [True] * 9, age_s=0.5)


class ResumePointsTest(unittest.TestCase):

    def _points(self, stop):
        return [(p.upstream, p.memory) for p in resume_points(RUN, stop)]

    def test_stopped_run_goes_on_with_its_newest_memory(self):
        memory = "10.0.0.1:80/h"
        self.assertEqual(
            [("u2", memory), ("u1", memory)], self._points(STOPPED)
        )

    def test_memory_that_was_not_copied_is_at_the_source(self):
        stop = STOPPED._replace(is_copied=False)
        self.assertEqual(
            [("u2", "10.0.0.2:80/q"), ("u1", "10.0.0.1:80/h")],
            self._points(stop),
        )

    def test_run_that_has_ended_goes_on_from_its_backup(self):
        for outcome in (StopOutcome.NO_RUN, StopOutcome.OTHER_PROCESS):
            self.assertEqual(
                [("u2", "10.0.0.2:80/q")], self._points(RunStop(outcome))
            )
