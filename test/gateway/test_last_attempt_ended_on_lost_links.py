"""Attempts that could not be repeated were ended when links were lost."""

import unittest

import anyio

from acaciaspoke.gateway.attempt import Relay
from acaciaspoke.gateway.attempt_result import Attempt, Ending
from acaciaspoke.gateway.bodies import BodyMemory
from acaciaspoke.gateway.lost_attempts import LostAttempts
from acaciaspoke.gateway.types import RouteKind
from test import virtualtime
from test.gateway.builders import request, route


class LastAttemptTest(unittest.TestCase):

    def _lose_link(self, starts: int) -> Attempt:
        """Loses links 1 s before an attempt is answered on its connection."""

        async def answer() -> Attempt:
            await anyio.sleep(2.0)
            return Attempt(ending=Ending.ANSWERED)

        async def lose() -> Attempt:
            attempts = LostAttempts(clock=anyio.current_time)
            one = request(route=route(kind=RouteKind.SAFE, max_attempts=2))
            one.starts = starts
            relay = Relay(None, b"/", b"", BodyMemory(1 << 20))

            async def end_silent() -> None:
                await anyio.sleep(1.0)
                attempts.end_silent()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(end_silent)
                return await attempts.run(one, relay, answer())

        return virtualtime.run(lose)

    def test_last_attempt_goes_on(self):
        self.assertIs(Ending.ANSWERED, self._lose_link(starts=2).ending)

    def test_other_attempt_is_ended(self):
        self.assertIs(Ending.BROKEN, self._lose_link(starts=1).ending)
