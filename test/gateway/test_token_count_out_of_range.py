"""Requests that name more tokens than a message between hosts can carry."""

import asyncio

from standins.gateway_documents import gateway_route
from test.gateway.serving import GatewayTest, configuration

# Longer than an engine takes to load a model on a busy machine.
WAIT_MS = 10_000


class TokenCountOutOfRangeTest(GatewayTest):
    """One such request ended the gateway and all requests that it had."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        route = gateway_route(
            "/stream/",
            "streaming",
            "llm",
            **{"target-latency-ms": WAIT_MS, "timeout-ms": WAIT_MS},
        )
        self.store.put("op", "config", configuration(2, routes=[route]))
        await self.eventually(
            lambda: self.gateway.app.configuration.version == 2
        )

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
            Acaciaspoke_Time_Remaining_Ms=str(WAIT_MS),
        )
        self.assertEqual(200, largest.status)
        # The process ended at its next message to other hosts.
        await asyncio.sleep(0.5)
        self.assertFalse(self.tasks[-1].done())
