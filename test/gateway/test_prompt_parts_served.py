"""Tests of gateway processes that place requests by their prompt parts."""

import unittest

from standins.gateway_documents import engine_spec, gateway_route
from standins.worker import Arrival
from test.gateway.serving import configuration
from test.gateway.stream_serving import StreamTest, go_on

# Below the memory of an engine, so that it is not full with one request.
PARTS = {
    "Acaciaspoke_Prompt_Prefix": "a1:100,b2:100,5e:40",
    "Acaciaspoke_Token_Count": "300,20",
}


class PromptPartsTest(StreamTest):
    """Runs two gateways with two engines for the same model."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.parts = []
        engine = engine_spec(("m1", "m2"), **{"kv-capacity-tokens": 10_000})
        changed = configuration(
            version=2,
            routes=[
                gateway_route(
                    "/affine/", "streaming", "llm", **{"session-affinity": True}
                ),
                gateway_route("/stream/", "streaming", "llm"),
                gateway_route("/resume/", "streaming", "llm", resumable=True),
            ],
            services=[{"name": "app"}, {"name": "llm", "engine": engine}],
        )
        for worker in self.engines:
            worker.script = self._stream
        self.store.put("op", "config", changed)
        await self.eventually(
            lambda: self.gateway.app.configuration.version == 2
        )

    async def _stream(self, arrival: Arrival) -> None:
        self.parts.append(arrival.headers.get("acaciaspoke-prompt-prefix"))
        await go_on(arrival)

    def _count(self, gateway, state):
        sample = "acaciaspoke_prompt_tokens_total"
        registry = gateway.metrics.registry
        return registry.get_sample_value(sample, {"state": state}) or 0.0

    async def test_second_request_is_expected_cached(self):
        self.assertEqual(200, (await self.read("/affine/x", **PARTS)).status)
        self.assertEqual(0.0, self._count(self.gateway, "cached"))
        self.assertEqual(300.0, self._count(self.gateway, "uncached"))
        self.assertEqual(200, (await self.read("/affine/x", **PARTS)).status)
        self.assertAlmostEqual(240.0, self._count(self.gateway, "cached"), -1)
        # Engines get the list as the caller sent it.
        self.assertEqual(["a1:100,b2:100,5e:40"] * 2, self.parts)

    async def test_route_without_session_affinity_learns_nothing(self):
        self.assertEqual(200, (await self.read("/stream/x", **PARTS)).status)
        self.assertEqual(0, len(self.gateway._dispatcher.fleet.holdings))
        self.assertEqual(0.0, self._count(self.gateway, "uncached"))

    async def test_another_host_learns_of_the_shared_parts(self):
        other = await self.start_second_gateway()
        # Reports are in two digests only.
        await self.eventually(lambda: "h2" in self.gateway._peers.rows)
        self.assertEqual(200, (await self.read("/affine/x", **PARTS)).status)
        await self.eventually(
            lambda: len(other._dispatcher.fleet.holdings) == 1
        )


if __name__ == "__main__":
    unittest.main()
