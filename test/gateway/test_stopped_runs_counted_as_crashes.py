"""Streams were cut, as runs that this host had given up counted as crashes."""

from acaciaspoke.gateway.suspects import MAX_LOST_ATTEMPTS
from test.gateway.accept_queue import full_accept_queue
from test.gateway.silent_streams import EVENTS, SilentStreamTest


async def _go_on(arrival):
    last = int(arrival.headers["last-event-id"])
    await arrival.stream(*EVENTS[last:])


# Longer than the time after which the run of a silent engine is stopped.
SILENCE_S = 2.2


class StoppedRunsCountedAsCrashesTest(SilentStreamTest):

    async def test_equal_requests_whose_engines_are_silent(self):
        self.silent.answers_calls = True
        self.begin(MAX_LOST_ATTEMPTS + 1, body=b"equal")
        await self.eventually(self.all_have_begun)
        await self.silent.pause(SILENCE_S)
        streams = await self.check_answered()
        self.assertEqual({200}, {stream.status for stream in streams})
        self.assertGreaterEqual(len(self.silent.stopped), MAX_LOST_ATTEMPTS)

    async def test_equal_requests_whose_engine_is_without_contact(self):
        self.silent.at_other = _go_on
        self.begin(2 * MAX_LOST_ATTEMPTS, body=b"equal")
        await self.eventually(self.all_have_begun)
        engine = max(self.engines, key=lambda each: len(each.arrivals))
        self.assertGreaterEqual(len(engine.arrivals), MAX_LOST_ATTEMPTS)
        attempts = self.gateway._request_handler.attempts
        attempts._pool(engine.address).acknowledgement_age_s = lambda: 9.0
        async with full_accept_queue(engine):
            # Of the engines, only the other one answers calls.
            self.silent.answers_calls = True
            await self.silent.pause(SILENCE_S)
        streams = await self.check_answered()
        self.assertEqual({200}, {stream.status for stream in streams})
        self.assertGreaterEqual(len(self.silent.resumed), MAX_LOST_ATTEMPTS)
