"""Two gateways as processes keep a workspace within its quota together."""

import asyncio
import time

import msgspec

from standins.gateway_documents import gateway_route
from test.gateway.process_serving import GatewayProcessTest
from test.gateway.serving import (
    LISTEN_PORT,
    READY_PORT,
    TIMEOUT_S,
    configuration,
    next_ip,
)

SMALL_KEY = "key-of-small"
LARGE_KEY = "key-of-large"
WAITING_KEY = "key-of-waiting"
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
    {
        "name": "waiting",
        "api-keys": [WAITING_KEY],
        # A second request waits for 0.8 s.
        "rate-per-s": 1.25,
        "burst": 1.0,
    },
]


class QuotaWithProcessesTest(GatewayProcessTest):

    async def start_gateway(self, settings):
        self.settings = settings
        changed = configuration(version=2, tenants=TENANTS)
        # Its requests can wait for tokens for a second.
        changed["routes"].append(
            gateway_route(
                "/patient/", "unsafe", "app", **{"target-latency-ms": 5000}
            )
        )
        self.store.put("op", "config", changed)
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

    async def test_stop_while_a_request_waits_for_tokens(self):
        # The host that stops must not lose a request that has no tokens yet.
        self.address = self.addresses[1]
        # Two granted in a row show that the second has waited, as the host now
        # knows the other one.
        statuses = []
        deadline_s = time.monotonic() + TIMEOUT_S
        while statuses[-2:] != [200, 200]:
            self.assertLess(time.monotonic(), deadline_s, statuses)
            asked = await self.ask("/patient/x", Acaciaspoke_Key=WAITING_KEY)
            statuses.append(asked.status)
            await asyncio.sleep(0.05 * (asked.status != 200))
        waiting = asyncio.create_task(
            self.ask("/patient/x", Acaciaspoke_Key=WAITING_KEY)
        )
        await asyncio.sleep(0.05)
        self.process.terminate()
        self.assertEqual((await waiting).status, 200)
        self.assertEqual(await self.process.wait(), 0)
