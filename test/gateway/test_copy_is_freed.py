"""A copy of a run kept a slot at the other engine though it was not used."""

import asyncio

from test.gateway.kv_engines import EVENTS, KvEngines
from test.gateway.serving import GatewayTest


class CopyIsFreedTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Only long runs get a KV backup.
        self.gateway._dispatcher.estimates.durations["stream"].mean_s = 2.0
        self.kv = KvEngines(self.engines)
        self.kv.answers_calls = True

    def _names(self, kind):
        return [name for one in self.engines for name in getattr(one, kind)]

    async def _ask(self):
        return await self.ask("/stream/x", Acaciaspoke_Model="m1")

    async def _check_freed(self):
        await self.eventually(lambda: self._names("freed"))
        (name,) = self._names("copied")
        self.assertEqual([f"moved-{name}"], self._names("freed"))
        self.assertEqual([], self._names("stops"))

    async def test_engine_goes_on(self):
        self.kv.silence_s = 1.4
        answer = await self._ask()
        self.assertEqual(b"".join(EVENTS), answer.content)
        await self._check_freed()

    async def test_engine_goes_on_while_it_is_copied(self):
        # The name of the copy comes after the event that ends the wait for it.
        self.kv.silence_s = 1.2

        async def wait():
            await asyncio.sleep(0.6)

        for engine in self.engines:
            engine.before_copy = wait
        answer = await self._ask()
        self.assertEqual(b"".join(EVENTS), answer.content)
        await self._check_freed()

    async def test_caller_leaves(self):
        self.kv.silence_s = 5.0
        asking = asyncio.create_task(self._ask())
        await self.eventually(lambda: self._names("copied"))
        asking.cancel()
        await self._check_freed()

    async def test_stopped_run_keeps_it(self):
        self.kv.silence_s = 3.0
        answer = await self._ask()
        self.assertEqual(b"".join(EVENTS), answer.content)
        self.assertEqual(1, len(self._names("stops")))
        self.assertEqual([], self._names("freed"))
