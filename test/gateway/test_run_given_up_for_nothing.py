"""Streams were cut off at an engine without contact that went on."""

import asyncio

from acaciaspoke.gateway.retry_budget import RetryBudget
from acaciaspoke.gateway.stalls import EVENT_TIMEOUT_S
from test.gateway.accept_queue import full_accept_queue
from test.gateway.kv_engines import EVENTS, KvEngines, resumed, send_rest
from test.gateway.serving import GatewayTest

SILENCE_S = 1.8


class RunGivenUpForNothingTest(GatewayTest):
    """The engine of a run acknowledges nothing for a while, and goes on."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.dispatcher = self.gateway._dispatcher
        self.dispatcher.estimates.durations["stream"].mean_s = 2.0
        self.kv = KvEngines(self.engines)
        self.kv.at_start = self._lose_contact

    async def _lose_contact(self, arrival):
        (engine,) = (e for e in self.engines if arrival in e.arrivals)
        (self.other,) = (e for e in self.engines if e is not engine)
        pool = self.gateway._request_handler.attempts._pool(engine.address)
        pool.acknowledgement_age_s = lambda: 9.0
        await arrival.stream(*EVENTS[:2], end=False)
        async with full_accept_queue(engine):
            await asyncio.sleep(EVENT_TIMEOUT_S + 0.2)
            await self.meanwhile()
            await asyncio.sleep(SILENCE_S - EVENT_TIMEOUT_S - 0.2)
            await send_rest(arrival, 2)

    async def _check_whole(self):
        answer = await self.ask("/stream/x", Acaciaspoke_Model="m1")
        self.assertEqual(b"".join(EVENTS), answer.content)
        self.assertEqual([], resumed(self.engines))

    async def test_no_retry_is_left(self):
        async def meanwhile():
            self.dispatcher._budgets["llm"] = RetryBudget(
                0.0, 0.0, 10.0, lambda: 1
            )

        self.meanwhile = meanwhile
        await self._check_whole()

    async def test_other_engine_leaves(self):
        async def meanwhile():
            row = self.other.row(state="draining")
            self.store.put("servers", self.other.name, row)

        self.meanwhile = meanwhile
        await self._check_whole()

    async def test_other_engine_is_silent(self):
        async def wait():
            await asyncio.sleep(SILENCE_S)

        async def meanwhile():
            self.other.before_control = wait

        self.meanwhile = meanwhile
        await self._check_whole()
