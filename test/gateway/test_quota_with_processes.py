"""Two gateways as processes keep a workspace within its quota together."""

import msgspec

from test.gateway.process_serving import GatewayProcessTest
from test.gateway.serving import (
    LISTEN_PORT,
    READY_PORT,
    configuration,
    next_ip,
)

SMALL_KEY = "key-of-small"
LARGE_KEY = "key-of-large"
SMALL_BURST = 6
# Each key is used this often at each gateway.
REQUESTS = 8

TENANTS = [
    {
        "name": "small",
        "api-keys": [SMALL_KEY],
        # None accrues during the test.
        "rate-per-s": 0.001,
        "burst": SMALL_BURST,
    },
    {
        "name": "large",
        "api-keys": [LARGE_KEY],
        "unit": "tokens",
        "plain-tokens": 200,
        "rate-per-s": 1e5,
        "burst": 1e5,
    },
]


class QuotaWithProcessesTest(GatewayProcessTest):

    async def start_gateway(self, settings):
        self.settings = settings
        self.store.put(
            "op", "config", configuration(version=2, tenants=TENANTS)
        )
        await super().start_gateway(settings)
        ip = next_ip()
        second = msgspec.structs.replace(
            settings,
            host="h2",
            address=ip,
            listen=f"{ip}:{LISTEN_PORT}",
            ready_listen=f"{ip}:{READY_PORT}",
        )
        await super().start_gateway(second)
        self.addresses = [settings.listen, second.listen]

    async def _ask_both(self, key):
        responses = {address: [] for address in self.addresses}
        for _ in range(REQUESTS):
            for address in self.addresses:
                self.address = address
                response = await self.ask("/unsafe/x", Acaciaspoke_Key=key)
                responses[address].append(response)
        return list(responses.values())

    async def test_workspace_over_its_quota(self):
        at_first, at_second = await self._ask_both(SMALL_KEY)
        granted = [
            response
            for response in at_first + at_second
            if response.status == 200
        ]
        self.assertGreater(len(granted), 0)
        # A host that has just started grants one before it knows the other.
        self.assertLessEqual(len(granted), SMALL_BURST + 1)
        arrivals = [arrival for app in self.apps for arrival in app.arrivals]
        # A refusal promises that no upstream has got the request.
        self.assertEqual(len(arrivals), len(granted))
        for responses in (at_first, at_second):
            self.assertEqual(responses[-1].status, 429)
        for response in at_first + at_second:
            self.assertIn(response.status, (200, 429))
            if response.status == 429:
                headers = {
                    name.lower(): text for name, text in response.headers
                }
                self.assertGreater(float(headers[b"retry-after"]), 0.0)
                error = msgspec.json.decode(response.content)["error"]
                self.assertEqual(error["type"], "quota_exceeded")
                self.assertEqual(error["outcome"], "not_run")

    async def test_workspace_within_its_quota(self):
        for responses in await self._ask_both(LARGE_KEY):
            self.assertEqual({one.status for one in responses}, {200})
        for app in self.apps:
            for arrival in app.arrivals:
                self.assertEqual(arrival.headers["acaciaspoke-tenant"], "large")
                self.assertNotIn("acaciaspoke-key", arrival.headers)
                self.assertNotIn(LARGE_KEY, str(arrival.headers))
