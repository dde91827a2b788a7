"""Integers of a configuration that messages between hosts cannot carry."""

import asyncio

from standins.gateway_documents import gateway_route
from test.gateway.serving import GatewayTest, configuration


class ConfigurationOutOfRangeTest(GatewayTest):
    """The process ended at its next message to other hosts."""

    async def _check_ignored(self, changed, model):
        self.store.put("op", "config", changed)
        await asyncio.sleep(0.7)
        # No engine holds m2 yet, so that its first request waits.
        await self.ask("/stream/x", Acaciaspoke_Model=model)
        await asyncio.sleep(0.5)
        self.assertFalse(self.tasks[-1].done())
        self.assertEqual(1, self.gateway.app.configuration.version)

    async def asyncSetUp(self):
        async def script(arrival):
            await arrival.stream(b"id: 1\n\n")

        await super().asyncSetUp()
        for engine in self.engines:
            engine.script = script

    async def test_version(self):
        for version in (2**64, -(2**64)):
            with self.subTest(version):
                await self._check_ignored(configuration(version), "m1")

    async def test_priority_of_a_route(self):
        route = gateway_route("/stream/", "streaming", "llm", priority=2**64)
        await self._check_ignored(configuration(2, routes=[route]), "m2")

    async def test_largest_values(self):
        route = gateway_route(
            "/stream/", "streaming", "llm", priority=2**63 - 1
        )
        largest = configuration(2**63 - 1, routes=[route])
        self.store.put("op", "config", largest)
        await self.eventually(
            lambda: self.gateway.app.configuration.version == 2**63 - 1
        )
        answer = await self.ask("/stream/x", Acaciaspoke_Model="m2")
        self.assertEqual(200, answer.status)
        await asyncio.sleep(0.5)
        self.assertFalse(self.tasks[-1].done())
