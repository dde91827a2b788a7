"""A route is removed while the store is asked for its default version."""

import asyncio

from standins.gateway_documents import gateway_route
from test.gateway.serving import configuration
from test.gateway.stream_serving import StreamTest


class RemovedRouteTest(StreamTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.until_default_is_known()
        self.reads_begun = asyncio.Event()
        self.reads_released = asyncio.Event()
        self.answers_released = asyncio.Event()
        for app in self.apps:
            app.script = self._answer_late
        self._respond = self.store.respond
        self.store.respond = self._respond_late

    async def _respond_late(self, call, body):
        if "stream-defaults" in call.query:
            self.reads_begun.set()
            await self.reads_released.wait()
        return await self._respond(call, body)

    async def _answer_late(self, arrival):
        await self.answers_released.wait()
        await arrival.answer()

    async def _configure(self, version, **changes):
        self.store.put("op", "config", configuration(version, **changes))
        await self.eventually(
            lambda: self.gateway.app.configuration.version == version
        )

    async def test_requests_are_answered_after_a_route_was_removed(self):
        routes, services = (
            configuration()[name] for name in ("routes", "services")
        )
        await self.worker("other1", "other", {"m1": []})
        await self._configure(
            2,
            routes=[
                *routes,
                gateway_route("/more/", "streaming", "other", resumable=True),
            ],
            services=[
                *services,
                {"name": "other", "engine": services[1]["engine"]},
            ],
        )
        await asyncio.wait_for(self.reads_begun.wait(), 5.0)
        await self._configure(3)
        running = asyncio.create_task(self.ask("/unsafe/x"))
        await self.eventually(lambda: any(app.arrivals for app in self.apps))
        self.reads_released.set()
        # The default versions are checked four times a second.
        await asyncio.sleep(0.6)
        self.answers_released.set()
        self.assertEqual(200, (await running).status)
        self.assertEqual(200, (await self.ask("/safe/x", "GET", b"")).status)
        self.assertFalse(self.tasks[1].done())
