"""Requests were refused after all engines of a service had stood still."""

import asyncio
import contextlib

from test.gateway.accept_queue import full_accept_queue
from test.gateway.kv_engines import EVENTS
from test.gateway.serving import GatewayTest

SILENCE_S = 1.2


class UnservedAfterASilenceTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()

        async def stream(arrival):
            await arrival.stream(*EVENTS)

        for engine in self.engines:
            engine.script = stream

    @contextlib.asynccontextmanager
    async def _silence(self, upstreams):
        async with contextlib.AsyncExitStack() as stack:
            for upstream in upstreams:
                await stack.enter_async_context(full_accept_queue(upstream))
            yield

    async def _check_served(self, upstreams, count, path, **headers):
        async with self._silence(upstreams):
            asking = [
                asyncio.create_task(self.ask(path, **headers))
                for _ in range(count)
            ]
            await asyncio.sleep(SILENCE_S)
        answers = await asyncio.gather(*asking)
        self.assertEqual([200] * count, [answer.status for answer in answers])

    async def test_stream_was_sent_to_no_engine(self):
        await self._check_served(
            self.engines, 1, "/stream/x", Acaciaspoke_Model="m1"
        )

    async def test_request_was_sent_to_no_upstream(self):
        await self._check_served(self.apps, 1, "/unsafe/x")
