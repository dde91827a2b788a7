"""The order lease is free before a host can read the configuration."""

import asyncio

import msgspec

from acaciaspoke.gateway.handover import LEASE_S
from acaciaspoke.gateway.process import GatewayProcess
from test.gateway.serving import (
    LISTEN_PORT,
    READY_PORT,
    GatewayTest,
    _NoLog,
    configuration,
    next_ip,
)


class LeaseWithoutConfigurationTest(GatewayTest):

    async def test_requests_are_refused_and_served_later(self):
        await self.eventually(lambda: self.gateway._leader.holds_lease)
        task = self.tasks.pop()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.store.remove("op", "config")
        ip = next_ip()
        self.address = f"{ip}:{LISTEN_PORT}"
        settings = msgspec.structs.replace(
            self.gateway._settings,
            host="h2",
            address=ip,
            listen=self.address,
            ready_listen=f"{ip}:{READY_PORT}",
        )
        self.gateway = GatewayProcess(settings, _NoLog())
        run = asyncio.create_task(self.gateway.run())
        self.tasks.append(run)
        # Longer than the lease of the host before it.
        await asyncio.sleep(3 * LEASE_S)
        self.assertFalse(run.done())
        self.assertEqual(503, (await self.ask("/safe/x", "GET", b"")).status)
        self.store.put("op", "config", configuration())
        await self.eventually(lambda: self.gateway._leader.holds_lease)
        self.assertEqual(200, (await self.ask("/safe/x", "GET", b"")).status)
