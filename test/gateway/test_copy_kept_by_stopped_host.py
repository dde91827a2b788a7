"""A copy of a run was kept at its engine after the host had stopped."""

import asyncio
import functools

from acaciaspoke.gateway.process import DRAIN_NOTICE_S
from test.gateway.kv_engines import EVENTS, send_rest
from test.gateway.serving import GatewayTest

# The stream ends after its copy was asked for, and before that is answered.
SILENCE_S = 1.3
COPY_S = 0.9


class CopyKeptByStoppedHostTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Only long runs get a KV backup.
        self.gateway._dispatcher.estimates.durations["stream"].mean_s = 2.0
        for engine in self.engines:
            engine.script = self._run
            engine.before_copy = functools.partial(asyncio.sleep, COPY_S)

    async def _run(self, arrival):
        await arrival.stream(*EVENTS[:2], end=False)
        await asyncio.sleep(SILENCE_S)
        await send_rest(arrival, 2)

    async def test_copy_that_is_made_as_the_last_request_ends(self):
        self.gateway.drain.request_stop()
        # The process goes on until the listener has closed.
        await asyncio.sleep(DRAIN_NOTICE_S - SILENCE_S + 0.2)
        answer = await self.ask("/stream/x", Acaciaspoke_Model="m1")
        self.assertEqual(b"".join(EVENTS), answer.content)
        await self.tasks[-1]
        await self.eventually(lambda: any(e.copied for e in self.engines))
        (engine,) = (e for e in self.engines if e.copied)
        (run,) = engine.copied
        self.assertEqual([f"moved-{run}"], engine.freed)
