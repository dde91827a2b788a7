"""An encoded slash does not move a request to another route."""

from standins.gateway_documents import gateway_route
from test.gateway.serving import GatewayTest, configuration


class EncodedPathTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        routes = configuration()["routes"]
        nested = gateway_route("/unsafe/status/", "safe", "app")
        nested["max-attempts"] = 2
        self.store.put(
            "op", "config", configuration(2, routes=[*routes, nested])
        )
        await self.eventually(
            lambda: self.gateway.app.configuration.version == 2
        )

        async def lose_answer(arrival):
            arrival.reset()

        for app in self.apps:
            app.script = lose_answer

    def _targets(self):
        return [arrival.target for app in self.apps for arrival in app.arrivals]

    async def test_unsafe_request_runs_once(self):
        # The worker takes "status%2Fx" for one segment of the unsafe route.
        answer = await self.ask("/unsafe/status%2Fx")
        self.assertEqual(502, answer.status)
        self.assertEqual(["/unsafe/status%2Fx"], self._targets())

    async def test_safe_request_is_retried(self):
        await self.ask("/unsafe/status/x%2Fy?a=%2F")
        self.assertEqual(2 * ["/unsafe/status/x%2Fy?a=%2F"], self._targets())
