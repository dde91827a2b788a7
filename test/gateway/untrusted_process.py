"""A gateway process with low limits that untrusted clients connect to."""

import asyncio
import resource

import msgspec

from test.gateway.process_serving import GatewayProcessTest
from test.gateway.serving import configuration
from test.gateway.untrusted_clients import connect, read_state

MEMORY_MB = 96
MAX_GROWTH_KB = 48 * 1024
MAX_DESCRIPTORS = 256
# Those of the process's own files and upstreams are never exhausted.
MAX_OPEN = MAX_DESCRIPTORS - 32

MAX_BODY_BYTES = 100_000
MAX_HEADER_BYTES = 4096


class UntrustedClientsCase(GatewayProcessTest):
    """Checks that the process lives, its bounds, and one ordinary request.

    Attributes:
        before: The state of the process before the clients connect.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for app in self.apps:
            app.script = self._answer

    async def _answer(self, arrival):
        # Only an upstream's answer is large, the test's own request is small.
        size_bytes = 200_000 if arrival.target.startswith("/safe/large") else 1
        await arrival.answer(body=b"x" * size_bytes)

    async def start_gateway(self, settings):
        limits = {
            "max-body-bytes": MAX_BODY_BYTES,
            "max-header-bytes": MAX_HEADER_BYTES,
        }
        self.store.put("op", "config", configuration(2, limits=limits))
        settings = msgspec.structs.replace(settings, memory_mb=MEMORY_MB)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, hard))
        try:
            await super().start_gateway(settings)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        await self.wait_for_served()
        self.before = read_state(self.process.pid)

    async def wait_for_served(self, body=b"x"):
        """Sends a request until it is answered."""
        async with asyncio.timeout(20):
            while True:
                try:
                    answer = await self.ask("/safe/x", body=body)
                except Exception:
                    answer = None
                if answer is not None and answer.status == 200:
                    return
                await asyncio.sleep(0.1)

    def address_at(self, port):
        return f"{self.address.split(':')[0]}:{port}"

    async def connect(self, address, count):
        connections = await connect(address, count)
        for each in connections:
            self.addCleanup(each.close)
        return connections

    async def send(self, address, count, parts, **options):
        """Lets several clients send, then reset their connections."""
        connections = await self.connect(address, count)
        await asyncio.gather(
            *(each.send(parts(), **options) for each in connections)
        )
        self.check_bounds()
        for each in connections:
            each.reset()
        await self.check()

    def check_bounds(self):
        self.assertIsNone(self.process.returncode, "the process has ended")
        state = read_state(self.process.pid)
        growth_kb = state.peak_kb - self.before.peak_kb
        print(
            f"{self.id().rpartition('.')[2]}: +{growth_kb} kB,"
            f" anonymous {state.anonymous_kb - self.before.anonymous_kb:+} kB,"
            f" {state.descriptors} descriptors",
            flush=True,
        )
        self.assertLess(growth_kb, MAX_GROWTH_KB)
        self.assertLess(state.descriptors, MAX_OPEN)

    async def check(self):
        await self.wait_for_served()
        self.check_bounds()
