"""Tests that a gateway refuses at once what no upstream can take in time."""

import time
import unittest

from test.gateway.serving import GatewayTest, configuration

KEYS = {"a": "0123456789abcdef", "b": "fedcba9876543210"}


class RefusedByProcessTest(GatewayTest):

    async def test_all_upstreams_pause(self):
        # Callers waited for the end of a pause that came too late for them.
        tenants = [
            {"name": name, "api-keys": [key]} for name, key in KEYS.items()
        ]
        self.store.put("op", "config", configuration(2, tenants=tenants))
        dispatcher = self.gateway._dispatcher
        await self.eventually(lambda: dispatcher.order.is_active)
        key = {"Acaciaspoke-Key": KEYS["a"]}
        response = await self.ask("/safe/x", **key)
        self.assertEqual(200, response.status)
        for upstream in dispatcher.fleet.upstreams.values():
            upstream.paused_until_s = time.monotonic() + 1000
        response = await self.ask("/safe/x", **key)
        self.assertEqual(503, response.status)
        metrics = self.gateway.metrics.exposition().decode()
        self.assertIn(
            'acaciaspoke_refusals_total{reason="paused"} 1.0', metrics
        )


if __name__ == "__main__":
    unittest.main()
