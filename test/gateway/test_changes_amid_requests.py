"""Configurations that change while requests run and wait."""

import asyncio

from test.gateway.serving import GatewayTest, configuration

# More than the upstreams of a service get at the same time.
REQUESTS = 24


def _without_route(prefix):
    routes = configuration()["routes"]
    return {"routes": [one for one in routes if one["prefix"] != prefix]}


def _with_route(prefix, **changes):
    routes = configuration()["routes"]
    return {
        "routes": [
            {**one, **changes} if one["prefix"] == prefix else one
            for one in routes
        ]
    }


def _without_service(name, *prefixes):
    full = configuration()
    return {
        "routes": [
            one for one in full["routes"] if one["prefix"] not in prefixes
        ],
        "services": [one for one in full["services"] if one["name"] != name],
    }


class ChangesAmidRequestsTest(GatewayTest):
    """All requests are answered, whatever happens to their route."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.released = asyncio.Event()
        for worker in (*self.apps, *self.engines):
            worker.script = self._answer_late

    async def _answer_late(self, arrival):
        await self.released.wait()
        if arrival.target.startswith("/unsafe/"):
            await arrival.answer()
        else:
            await arrival.stream(b"id: 1\ndata: x\n\n")

    async def _check(self, path, number, **changes):
        self.released.clear()
        version = self.gateway.app.configuration.version + 1
        headers = {} if path == "/unsafe/x" else {"Acaciaspoke_Model": "m1"}
        requests = [
            asyncio.create_task(
                self.ask(path, body=b"%d %d" % (number, each), **headers)
            )
            for each in range(REQUESTS)
        ]
        dispatcher = self.gateway._dispatcher
        await self.eventually(
            lambda: len(dispatcher._running) + dispatcher.waiting == REQUESTS
        )
        self.assertGreater(dispatcher.waiting, 0)
        self.store.put("op", "config", configuration(version, **changes))
        await self.eventually(
            lambda: self.gateway.app.configuration.version == version
        )
        self.released.set()
        answers = await asyncio.gather(*requests)
        self.assertEqual({200}, {answer.status for answer in answers})
        self.store.put("op", "config", configuration(version + 1))
        await self.eventually(
            lambda: self.gateway.app.configuration.version == version + 1
        )

    async def test_requests_that_run_once(self):
        app_routes = ("/safe/", "/unsafe/", "/short/")
        for number, changes in enumerate(
            (
                _without_route("/unsafe/"),
                _without_service("app", *app_routes),
                _with_route("/unsafe/", **{"timeout-ms": 1}),
                _with_route("/unsafe/", service="llm"),
                _with_route("/unsafe/", kind="streaming"),
            )
        ):
            with self.subTest(changes=changes):
                await self._check("/unsafe/x", number, **changes)

    async def test_streams(self):
        for number, changes in enumerate(
            (
                _without_route("/resume/"),
                _without_service("llm", "/stream/", "/resume/"),
                _with_route("/resume/", **{"timeout-ms": 1}),
                _with_route("/resume/", service="app"),
                _with_route("/resume/", resumable=False),
                _with_route("/resume/", kind="unsafe"),
            )
        ):
            with self.subTest(changes=changes):
                await self._check("/resume/x", number, **changes)
