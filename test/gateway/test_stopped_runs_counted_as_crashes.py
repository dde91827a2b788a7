"""Streams were cut, as runs that this host had stopped counted as crashes."""

from acaciaspoke.gateway.suspects import MAX_LOST_ATTEMPTS
from test.gateway.silent_streams import SilentStreamTest

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
