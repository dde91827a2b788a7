"""Answers that came after a silence were given up without another attempt."""

import asyncio
import contextlib

from acaciaspoke.gateway.retry_budget import RetryBudget
from test.gateway.accept_queue import full_accept_queue
from test.gateway.serving import GatewayTest

SILENCE_S = 1.4
REQUESTS = 4


class AnswersGivenUpWithLostLinksTest(GatewayTest):
    """All upstreams stand still, which looks like lost links of this host."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.awake = asyncio.Event()

        async def answer(arrival):
            await self.awake.wait()
            await arrival.answer()

        for app in self.apps:
            app.script = answer

    async def _check_all_answered(self):
        asking = [
            asyncio.create_task(self.ask("/safe/x")) for _ in range(REQUESTS)
        ]
        await self.eventually(
            lambda: sum(len(app.arrivals) for app in self.apps) == REQUESTS
        )
        async with contextlib.AsyncExitStack() as silence:
            for upstream in (*self.apps, *self.engines):
                await silence.enter_async_context(full_accept_queue(upstream))
            await asyncio.sleep(SILENCE_S)
        self.awake.set()
        answers = await asyncio.gather(*asking)
        self.assertEqual([200] * REQUESTS, [one.status for one in answers])

    async def test_no_retry_is_left(self):
        self.gateway._dispatcher._budgets["app"] = RetryBudget(
            0.0, 0.0, 10.0, lambda: 1
        )
        await self._check_all_answered()

    async def test_only_upstream_of_a_service(self):
        self.store.remove("servers", self.apps[1].name)
        await self.eventually(lambda: self.apps[1].name not in self.known())
        await self._check_all_answered()
