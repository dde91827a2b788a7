"""Streams were cut 2 s after their last event though their callers waited."""

import asyncio
import time

from test.gateway.kv_engines import EVENTS, KvEngines, refuse, resumed
from test.gateway.serving import GatewayTest


class GivenUpWhileTheCallerWaitsTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Only long runs get a KV backup.
        self.gateway._dispatcher.estimates.durations["stream"].mean_s = 2.0
        self.kv = KvEngines(self.engines)

    async def _check_whole(self):
        answer = await self.ask("/stream/x", Acaciaspoke_Model="m1")
        self.assertEqual(b"".join(EVENTS), answer.content)

    async def test_other_engine_fails_late(self):
        async def fail(arrival):
            await asyncio.sleep(0.8)
            await arrival.answer(500, b"")

        self.kv.silence_s, self.kv.answers_calls = 4.0, True
        self.kv.at_backup = fail
        await self._check_whole()
        # The stopped run goes on at its engine.
        self.assertEqual(2, len(resumed(self.engines)))

    async def test_engine_of_a_lost_stream_answers_late(self):
        self.kv.loses_connection = True
        self.kv.silence_s = 2.6
        await self._check_whole()
        self.assertEqual(1, len(resumed(self.engines)))

    async def test_both_engines_refuse_for_long(self):
        started_s = None

        async def refuse_for_long(arrival):
            nonlocal started_s
            started_s = started_s or time.monotonic()
            if time.monotonic() - started_s < 2.2:
                await refuse(arrival)
            else:
                await self.kv.go_on(arrival)

        self.kv.loses_connection = self.kv.answers_calls = True
        self.kv.silence_s = 5.0
        self.kv.at_backup = self.kv.at_source = refuse_for_long
        await self._check_whole()
