"""What was withdrawn stays withdrawn after a restart of a process."""

import asyncio

import msgspec

from acaciaspoke.gateway.process import GatewayProcess
from test.gateway.builders import artifact, fleet, record
from test.gateway.serving import (
    LISTEN_PORT,
    READY_PORT,
    GatewayTest,
    _NoLog,
    configuration,
    next_ip,
)


class GatewayRestartTest(GatewayTest):
    """A gateway starts again; the store has newer rows than it had seen."""

    async def _restart(self, known: int):
        task = self.tasks.pop()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        # A cancelled server still listens, so the new process gets an address.
        ip = next_ip()
        self.address = f"{ip}:{LISTEN_PORT}"
        settings = msgspec.structs.replace(
            self.gateway._settings,
            address=ip,
            listen=self.address,
            ready_listen=f"{ip}:{READY_PORT}",
        )
        self.gateway = GatewayProcess(settings, _NoLog())
        self.tasks.append(asyncio.create_task(self.gateway.run()))
        await self.eventually(
            lambda: self.gateway.is_ready and len(self.known()) == known
        )

    async def _check_gets_nothing(self, worker):
        for _ in range(6):
            answer = await self.ask("/safe/x", "GET")
            self.assertEqual(200, answer.status)
        self.assertEqual([], worker.arrivals)

    async def test_upstream_that_left(self):
        self.store.remove("servers", "app1")
        await self._restart(3)
        await self._check_gets_nothing(self.apps[0])

    async def test_upstream_that_drains(self):
        draining = self.apps[0].row(state="draining")
        self.store.put("servers", "app1", draining)
        await self._restart(3)
        await self._check_gets_nothing(self.apps[0])

    async def test_upstream_whose_row_was_damaged(self):
        for row in (b"\x00{", {"service": "app"}, {"state": "gone"}):
            with self.subTest(row):
                self.store.put("servers", "app1", row)
                await self._restart(3)
                await self._check_gets_nothing(self.apps[0])

    async def test_removed_route(self):
        routes = configuration()["routes"]
        kept = [route for route in routes if route["prefix"] != "/safe/"]
        self.store.put("op", "config", configuration(2, routes=kept))
        await self._restart(4)
        self.assertEqual(2, self.gateway.app.configuration.version)
        self.assertEqual(404, (await self.ask("/safe/x", "GET")).status)

    async def test_address_that_another_service_uses_now(self):
        """Its new worker refuses what is meant for the old one."""
        await self.ask("/safe/x", "GET")
        await self.ask("/safe/x", "GET")
        row = self.apps[0].row(service="other")
        self.store.remove("servers", "app1")
        self.store.put("servers", "other1", row)
        await self.eventually(lambda: "other1" in self.known())
        self.apps[0].arrivals.clear()
        await self._check_gets_nothing(self.apps[0])
        await self._restart(4)
        await self._check_gets_nothing(self.apps[0])


class UpstreamRestartTest(GatewayTest):
    """A worker starts again under its id and holds nothing of before."""

    async def test_announced_artifacts_of_the_boot_before(self):
        upstreams = fleet(record("u1", "m1"))
        upstream = upstreams.upstreams["u1"]
        upstream.announce(artifact("m2"), 1.0)
        self.assertTrue(upstream.holds(artifact("m2"), 1.1))
        upstreams.put(record("u1", started_ms=2))
        for name in ("m1", "m2"):
            self.assertFalse(upstream.holds(artifact(name), 1.1))

    async def test_models_of_the_boot_before_get_no_requests(self):
        async def script(arrival):
            await arrival.stream(b"id: 1\ndata: a\n\n")

        for engine in self.engines:
            engine.script = script
        self.engines[0].born = 2
        self.engines[0].models = {}
        self.engines[0].orders.clear()
        self.store.put("servers", "llm1", self.engines[0].row())
        holders = self.gateway._dispatcher.fleet.upstreams
        await self.eventually(lambda: holders["llm1"].record.started_ms == 2)
        for _ in range(4):
            answer = await self.ask("/stream/x", Acaciaspoke_Model="m1")
            self.assertEqual(200, answer.status)
        self.assertEqual([], self.engines[0].arrivals)
