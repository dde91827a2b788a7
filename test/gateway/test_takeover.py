"""Which evidence ends a run, and where it can go on then."""

import itertools
import unittest

from acaciaspoke.gateway.responsiveness import Responsiveness
from acaciaspoke.gateway.stalls import EVENT_TIMEOUT_S
from acaciaspoke.gateway.takeover import (
    COPY_AFTER_S,
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

# Long after callers have left.
GIVE_UP_S = 5.0

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


class _SilentEngine:
    """An engine that sends no events; time passes only as the code waits.

    Attributes:
        now_s: The time since the last event of the run's stream.
        event_s: The time of the engine's last event.
        outcomes: Outcomes of the checks in turn; it answers all further ones.
        stands_until_s: Until when it answers nothing.
        copies: Outcomes of the asks for copies in turn; all further ones are
            made.
        may_take_over: Whether the other engine may get the run.
        goes_on: Whether it sends an event to another stream, and its host
            acknowledges, while the other engine is asked.
        stop: The answers to stop orders in turn.
        copied_s: When it was asked for copies.
        stopped_s: When it was told to stop the run.
    """

    def __init__(self, outcomes=(), copies=(), stop=(STOPPED,), age_s=9.0):
        self.now_s = EVENT_TIMEOUT_S
        self.event_s = 0.0
        self.outcomes = list(outcomes)
        self.stands_until_s = 0.0
        self.copies = list(copies)
        self.may_take_over = True
        self.goes_on = False
        self.stop = list(map(_to_stop, stop))
        self.age_s = age_s
        self.copied_s = []
        self.stopped_s = []
        self._responsiveness = Responsiveness(lambda: self.now_s)

    async def end(self) -> RunStop:
        """Ends its run."""
        calls = EngineCalls(
            self._check, self._ask_other, self._copy, self._stop
        )
        silence = Silence(
            lambda: self.now_s - self.event_s,
            lambda: self._responsiveness.duration_s,
            lambda: self.age_s,
            STOP_AFTER_S,
        )
        return await end_silent_run(calls, silence, self._sleep)

    async def _sleep(self, pause_s):
        self.now_s += pause_s
        if self.now_s > GIVE_UP_S:
            raise _NoEndError

    async def _check(self):
        asked_s = self.now_s
        self.now_s = max(asked_s, self.stands_until_s)
        outcome = StopOutcome.ANSWERED
        if self.outcomes:
            outcome = self.outcomes.pop(0)
        if outcome is StopOutcome.ANSWERED:
            self._responsiveness.record_answer(asked_s)
        else:
            self._responsiveness.record_failure()
        return outcome

    async def _ask_other(self):
        if self.goes_on:
            self.event_s, self.age_s = self.now_s, 0.0
        return self.may_take_over

    async def _copy(self):
        self.copied_s.append(self.now_s)
        return self.copies.pop(0) if self.copies else CopyOutcome.MADE

    async def _stop(self):
        self.stopped_s.append(self.now_s)
        if not self.stop:
            raise _NoEndError
        return self.stop.pop(0)


class EndOfSilentRunTest(unittest.IsolatedAsyncioTestCase):

    async def _check_stays(self, engine):
        with self.assertRaises(_NoEndError):
            await engine.end()
        self.assertEqual([], engine.stopped_s)

    def _check_time(self, expected_s, time_s):
        self.assertAlmostEqual(expected_s, time_s, delta=0.01)

    async def test_engine_that_answers_calls_is_told_to_stop(self):
        engine = _SilentEngine()
        self.assertEqual(STOPPED, await engine.end())
        (copied_s,), (stopped_s,) = engine.copied_s, engine.stopped_s
        self._check_time(EVENT_TIMEOUT_S + COPY_AFTER_S, copied_s)
        self._check_time(STOP_AFTER_S, stopped_s)

    async def test_engine_that_stood_still_gets_time_to_go_on(self):
        # It was stopped as it had answered the check that waited.
        for stands_until_s in (1.0, 1.3, 1.5):
            with self.subTest(stands_until_s):
                engine = _SilentEngine()
                engine.stands_until_s = stands_until_s
                self.assertEqual(STOPPED, await engine.end())
                copied_s, stopped_s = engine.copied_s[0], engine.stopped_s[0]
                awake_s = copied_s - stands_until_s
                self._check_time(COPY_AFTER_S, awake_s)
                latest_s = max(STOP_AFTER_S, stands_until_s + MIN_RESPONSIVE_S)
                self._check_time(latest_s, stopped_s)

    async def test_engine_that_stands_still_is_not_told_to_stop(self):
        engine = _SilentEngine()
        engine.stands_until_s = GIVE_UP_S + 1.0
        await self._check_stays(engine)
        self.assertEqual([], engine.copied_s)

    async def test_run_stays_while_the_other_engine_may_not_get_it(self):
        engine = _SilentEngine()
        engine.may_take_over = False
        await self._check_stays(engine)

    async def test_run_without_contact_stays_while_the_other_may_not_get_it(
        self,
    ):
        engine = _SilentEngine([StopOutcome.UNREACHABLE] * 99)
        engine.may_take_over = False
        await self._check_stays(engine)

    async def test_event_that_comes_while_the_other_engine_is_asked(self):
        """Another stream of the engine had it; the run was still stopped."""
        engine = _SilentEngine()
        engine.goes_on = True
        await self._check_stays(engine)

    async def test_host_that_acknowledges_while_the_other_engine_is_asked(self):
        engine = _SilentEngine([StopOutcome.UNREACHABLE] * 99)
        engine.goes_on = True
        await self._check_stays(engine)

    async def test_engine_without_a_copy_has_to_answer_for_longer(self):
        for stands_until_s in (0.0, 1.0):
            with self.subTest(stands_until_s):
                engine = _SilentEngine(copies=[CopyOutcome.REFUSED] * 99)
                engine.stands_until_s = stands_until_s
                self.assertEqual(STOPPED, await engine.end())
                (stopped_s,) = engine.stopped_s
                since_s = max(EVENT_TIMEOUT_S, stands_until_s)
                self._check_time(
                    max(STOP_AFTER_S, since_s + MIN_RESPONSIVE_WITHOUT_COPY_S),
                    stopped_s,
                )
                # An ask just before the stop would delay it.
                self.assertTrue(engine.copied_s)
                self.assertGreater(stopped_s - engine.copied_s[-1], 0.25)

    async def test_copy_that_is_made_late(self):
        engine = _SilentEngine(copies=[CopyOutcome.REFUSED])
        self.assertEqual(STOPPED, await engine.end())
        self.assertEqual(2, len(engine.copied_s))
        self._check_time(STOP_AFTER_S, engine.stopped_s[0])

    async def test_open_connection_and_refused_ones_are_no_end(self):
        await self._check_stays(_SilentEngine([StopOutcome.REFUSED] * 99))

    async def test_one_connection_that_is_not_established_is_no_end(self):
        unreachable, unknown = StopOutcome.UNREACHABLE, StopOutcome.UNKNOWN
        engine = _SilentEngine([unreachable, *[unknown, unreachable] * 50])
        await self._check_stays(engine)
        engine = _SilentEngine([unknown, unreachable, unreachable])
        self.assertIs(unreachable, (await engine.end()).outcome)

    async def test_host_that_acknowledges_is_no_end(self):
        unreachable = [StopOutcome.UNREACHABLE] * 99
        await self._check_stays(_SilentEngine(unreachable, age_s=0.5))
        ended = await _SilentEngine(unreachable, age_s=None).end()
        self.assertIs(StopOutcome.UNREACHABLE, ended.outcome)

    async def test_process_that_has_ended(self):
        engine = _SilentEngine([StopOutcome.OTHER_PROCESS])
        ended = await engine.end()
        self.assertIs(StopOutcome.OTHER_PROCESS, ended.outcome)

    async def test_unclear_answers_to_a_stop_order_are_no_end(self):
        unclear = (
            StopOutcome.UNKNOWN,
            StopOutcome.REFUSED,
            StopOutcome.NO_RUN,
        )
        for outcome in unclear:
            with self.subTest(outcome), self.assertRaises(_NoEndError):
                await _SilentEngine(stop=[outcome] * 2).end()


class EndOfLostRunTest(unittest.IsolatedAsyncioTestCase):

    async def _end_lost(self, stop, others=(), age_s=None):
        others = itertools.chain(others, itertools.repeat(False))
        return await end_lost_run(
            _answers(map(_to_stop, stop)),
            lambda: EngineConnections(next(others), age_s),
            _skip,
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
