"""A stream whose engine's host is cut off goes on before its caller leaves."""

import unittest

from acaciaspoke.gateway.stalls import EVENT_TIMEOUT_S
from acaciaspoke.gateway.takeover import (
    CLOSE_TIMEOUT_S,
    MIN_CALLER_PATIENCE_S,
    EngineCalls,
    Silence,
    end_silent_run,
)
from acaciaspoke.platform.engine import CONNECT_TIMEOUT_S, StopOutcome

# Time between two checks for stalls, and until the first event of another
# engine.
STALL_CHECK_S = 0.05
FIRST_EVENT_S = 0.1


class UnreachableEngineFoundLateTest(unittest.IsolatedAsyncioTestCase):

    async def test_caller_leaves_before_the_second_check_ends(self):
        now_s = EVENT_TIMEOUT_S + STALL_CHECK_S

        async def check():
            nonlocal now_s
            now_s += CONNECT_TIMEOUT_S
            return StopOutcome.UNREACHABLE

        async def take_over():
            return True

        async def sleep(pause_s):
            nonlocal now_s
            now_s += pause_s

        stop = await end_silent_run(
            EngineCalls(check, take_over, check, check),
            Silence(lambda: now_s, lambda: 0.0, lambda: now_s),
            MIN_CALLER_PATIENCE_S,
            sleep,
        )
        self.assertIs(StopOutcome.UNREACHABLE, stop.outcome)
        went_on_s = now_s + CLOSE_TIMEOUT_S + FIRST_EVENT_S
        self.assertLess(went_on_s, MIN_CALLER_PATIENCE_S)
