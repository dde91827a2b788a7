"""Upstreams were avoided for seconds after they had stood still."""

import asyncio
import contextlib
import time

from test.gateway.accept_queue import full_accept_queue
from test.gateway.kv_engines import EVENTS
from test.gateway.serving import GatewayTest

SILENCE_S = 1.2

# Requests that meet the silence at the same time.
WAITING = 20

MAX_DELAY_S = 0.8


class AvoidedAfterASilenceTest(GatewayTest):

    async def _check(self, upstreams, path, **headers):
        """Sends requests during a silence of upstreams, and one after it."""
        async with contextlib.AsyncExitStack() as silence:
            for upstream in upstreams:
                await silence.enter_async_context(full_accept_queue(upstream))
            waiting = [
                asyncio.create_task(self.ask(path, **headers))
                for _ in range(WAITING)
            ]
            await asyncio.sleep(SILENCE_S)
        awake_s = time.monotonic()
        answer = await self.ask(path, **headers)
        self.assertEqual(200, answer.status)
        self.assertLess(time.monotonic() - awake_s, MAX_DELAY_S)
        for answer in await asyncio.gather(*waiting):
            self.assertEqual(200, answer.status)

    async def test_engines(self):
        async def stream(arrival):
            await arrival.stream(*EVENTS)

        for engine in self.engines:
            engine.script = stream
        await self._check(self.engines, "/stream/x", Acaciaspoke_Model="m1")

    async def test_plain_upstreams(self):
        await self._check(self.apps, "/unsafe/x")
