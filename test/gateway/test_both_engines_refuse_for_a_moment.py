"""Streams were cut as both engines with their memory refused them once."""

import asyncio
import time

import httpcore

from acaciaspoke.gateway.load_reports import local_loads
from acaciaspoke.gateway.retry_budget import USED_SHARE, RetryBudget
from test.gateway.kv_engines import EVENTS, KvEngines, refuse, resumed
from test.gateway.serving import GatewayTest

REFUSAL_S = 0.3

# That of requests in tests.
DEADLINE_S = 5.0


class BothEnginesRefuseForAMomentTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.dispatcher = self.gateway._dispatcher
        self.dispatcher.estimates.durations["stream"].mean_s = 2.0
        self.kv = KvEngines(self.engines)
        self.kv.loses_connection = self.kv.answers_calls = True
        self.kv.silence_s = 3.0
        self.first_refusal_s = None
        self.kv.at_backup = self.kv.at_source = self._refuse_for_a_moment

    async def _refuse_for_a_moment(self, arrival):
        if self.first_refusal_s is None:
            self.first_refusal_s = time.monotonic()
        if time.monotonic() - self.first_refusal_s < REFUSAL_S:
            await refuse(arrival)
        else:
            await self.kv.go_on(arrival)

    async def _check_whole(self):
        answer = await self.ask("/stream/x", Acaciaspoke_Model="m1")
        self.assertEqual(b"".join(EVENTS), answer.content)

    async def _check_cut(self, **headers):
        started_s = time.monotonic()
        with self.assertRaises(httpcore.RemoteProtocolError):
            await self.ask("/stream/x", Acaciaspoke_Model="m1", **headers)
        self.assertLess(time.monotonic() - started_s, DEADLINE_S)

    async def test_both_refuse_for_a_moment(self):
        await self._check_whole()

    async def test_engine_is_gone_and_the_other_one_takes_no_connections(self):
        async def crash(arrival):
            await arrival.stream(*EVENTS[:2], end=False)
            await asyncio.sleep(0.05)
            for engine in self.engines:
                engine.stop_listening()
            arrival.reset()
            await asyncio.sleep(REFUSAL_S)
            (other,) = (e for e in self.engines if arrival not in e.arrivals)
            await other.listen()

        self.kv.at_start, self.kv.at_backup = crash, self.kv.go_on
        await self._check_whole()

    async def test_run_breaks_at_the_engine_that_refused_before(self):
        async def refuse_and_fail(arrival):
            if len(resumed(self.engines)) < 3:
                await refuse(arrival)
            else:
                arrival.reset()

        self.kv.at_backup = refuse_and_fail
        await self._check_whole()

    async def test_refusals_name_a_pause(self):
        async def refuse_and_pause(arrival):
            headers = {"acaciaspoke-not-executed": "1", "retry-after": "0.5"}
            if len(resumed(self.engines)) <= 2:
                await arrival.answer(503, b"", headers, sealed=False)
            else:
                await self.kv.go_on(arrival)

        self.kv.at_backup = self.kv.at_source = refuse_and_pause
        await self._check_whole()
        times = [
            [arrival.arrived_s for arrival in resumed([engine])]
            for engine in self.engines
        ]
        (again,) = (each for each in times if len(each) > 1)
        self.assertGreater(again[1] - again[0], 0.5)

    async def test_engine_limits_its_requests(self):
        self.kv.at_backup = self.kv.at_source = refuse
        for engine in self.engines:
            engine.limit = "1"
        await self._check_cut()
        self.assertEqual(2, len(resumed(self.engines)))

    async def test_both_refuse_for_good(self):
        self.kv.at_backup = self.kv.at_source = refuse
        await self._check_cut()
        self.assertIn(len(resumed(self.engines)), range(3, 8))
        self.assertEqual({}, local_loads(self.dispatcher.fleet))

    async def test_deadline_passes(self):
        self.kv.at_backup = self.kv.at_source = refuse
        started_s = time.monotonic()
        await self._check_cut(Acaciaspoke_Time_Remaining_Ms="1500")
        self.assertLess(time.monotonic() - started_s, 1.6)
        self.assertGreater(len(resumed(self.engines)), 2)

    async def test_no_retry_is_left(self):
        retries = 3
        self.dispatcher._budgets["llm"] = RetryBudget(
            0.0, (retries + 0.5) / USED_SHARE, 10.0, lambda: 1
        )
        self.kv.at_backup = self.kv.at_source = refuse
        await self._check_cut()
        # Both engines once, and one of them again.
        self.assertEqual(retries, len(resumed(self.engines)))

    async def test_caller_leaves(self):
        self.kv.at_backup = self.kv.at_source = refuse
        asking = asyncio.create_task(
            self.ask("/stream/x", Acaciaspoke_Model="m1")
        )
        await self.eventually(lambda: len(resumed(self.engines)) == 2)
        asking.cancel()
        await asyncio.sleep(0.1)
        asked = len(resumed(self.engines))
        await asyncio.sleep(1.0)
        self.assertEqual(asked, len(resumed(self.engines)))
        self.assertEqual({}, local_loads(self.dispatcher.fleet))
