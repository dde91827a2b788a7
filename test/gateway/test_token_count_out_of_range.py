"""Requests that name more tokens than a message between hosts can carry."""

import asyncio

from test.gateway.serving import GatewayTest


class TokenCountOutOfRangeTest(GatewayTest):
    """One such request ended the gateway and all requests that it had."""

    async def test_other_requests_are_answered(self):
        async def script(arrival):
            await arrival.stream(b"id: 1\n\n")

        for engine in self.engines:
            engine.script = script
        for count in (f"{2**64},1", f"1,{2**64}", "-1,1", "1,-1"):
            with self.subTest(count):
                # No engine holds the model yet, so that the request waits.
                answer = await self.ask(
                    "/stream/x",
                    Acaciaspoke_Model="m2",
                    Acaciaspoke_Token_Count=count,
                )
                self.assertEqual(400, answer.status)
        largest = await self.ask(
            "/stream/x",
            Acaciaspoke_Model="m2",
            Acaciaspoke_Token_Count=f"{2**31 - 1},1",
        )
        self.assertEqual(200, largest.status)
        # The process ended at its next message to other hosts.
        await asyncio.sleep(0.5)
        self.assertFalse(self.tasks[-1].done())
