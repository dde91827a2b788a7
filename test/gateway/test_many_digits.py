"""Numbers in heads of upstreams with more digits than Python converts."""

import asyncio

from test.gateway.serving import GatewayTest

# Too many for a float, and too many for an integer.
MANY_DIGITS = ("9" * 400, "9" * 5000)
LOAD = "acaciaspoke-server-load"


class ManyDigitsTest(GatewayTest):
    """The answer was replaced by an internal error, or the stream cut."""

    async def _check_answered(self, **headers):
        async def script(arrival):
            await arrival.answer(headers=headers)

        for app in self.apps:
            app.script = script
        answer = await self.ask("/unsafe/x")
        self.assertEqual((200, b"answer"), (answer.status, answer.content))

    async def test_load(self):
        for digits in MANY_DIGITS:
            for load in (f"1,2,{digits}", f"1,2,3,{digits}"):
                with self.subTest(load[:8], length=len(load)):
                    await self._check_answered(**{LOAD: load})

    async def test_idle_time(self):
        for digits in MANY_DIGITS:
            with self.subTest(len(digits)):
                idle = {"keep-alive": f"timeout={digits}"}
                await self._check_answered(**idle)

    async def test_load_of_an_engine_that_is_asked_for_a_stream(self):
        # Only long runs get a KV backup.
        self.gateway._dispatcher.estimates.durations["stream"].mean_s = 2.0

        async def script(arrival):
            if "kv-from" in arrival.headers:
                refused = {"acaciaspoke-not-executed": "1"}
                refused[LOAD] = f"1,2,{MANY_DIGITS[1]}"
                await arrival.answer(503, b"", refused, sealed=False)
                return
            await arrival.stream(b"id: 1\n\n", end=False)
            await asyncio.sleep(1.2)
            arrival.writer.write(b"7\r\nid: 2\n\n\r\n0\r\n\r\n")
            await arrival.writer.drain()

        for engine in self.engines:
            engine.script = script
        answer = await self.ask("/stream/x", Acaciaspoke_Model="m1")
        self.assertEqual(b"id: 1\n\nid: 2\n\n", answer.content)
