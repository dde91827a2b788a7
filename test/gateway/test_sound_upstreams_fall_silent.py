"""Sound upstreams that fall silent for a moment are no trouble for requests."""

import asyncio
import time

from acaciaspoke.gateway.load_reports import local_loads
from test.gateway import test_forwarding
from test.gateway.kv_engines import EVENTS, send_rest
from test.gateway.serving import GatewayTest

SILENCE_S = 1.4

# Requests of each route that run then, and as many that come meanwhile.
REQUESTS = 6


class _SilenceTest:
    """Calls and requests wait until the upstreams go on."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.awake = asyncio.Event()
        self.awake.set()
        for gateway in self._serving():
            # Only long runs get a KV backup.
            gateway._dispatcher.estimates.durations["stream"].mean_s = 2.0
        for engine in self.engines:
            engine.script = self._stream
            engine.before_control = self.awake.wait
        for app in self.apps:
            app.script = self._answer

    async def _stream(self, arrival):
        await self.awake.wait()
        await arrival.stream(*EVENTS[:2], end=False)
        await asyncio.sleep(0.2)
        await self.awake.wait()
        await send_rest(arrival, 2)

    async def _answer(self, arrival):
        await asyncio.sleep(0.2)
        await self.awake.wait()
        await arrival.answer()

    def _ask_all(self):
        models = {
            "stream": {"Acaciaspoke_Model": "m1"},
            "resume": {"Acaciaspoke_Model": "m1"},
            "safe": {},
            "unsafe": {},
        }
        return [
            asyncio.create_task(self.ask(f"/{route}/{n}", **headers))
            for route, headers in models.items()
            for n in range(REQUESTS)
        ]

    async def test_running_and_new_requests(self):
        asking = self._ask_all()
        await asyncio.sleep(0.1)
        self.awake.clear()
        await asyncio.sleep(SILENCE_S / 2)
        asking += self._ask_all()
        await asyncio.sleep(SILENCE_S / 2)
        self.awake.set()
        for answer in await asyncio.gather(*asking):
            self.assertEqual(200, answer.status)
        workers = (*self.engines, *self.apps)
        arrivals = [arrival for each in workers for arrival in each.arrivals]
        self.assertEqual(len(asking), len(arrivals))
        self.assertEqual([], [e.name for e in self.engines if e.stops])
        for gateway in self._serving():
            self._check_nothing_is_left(gateway._dispatcher.fleet)

    def _check_nothing_is_left(self, fleet):
        now_s = time.monotonic()
        for upstream in fleet.upstreams.values():
            self.assertTrue(upstream.accepts(now_s))
            self.assertEqual(0, upstream.failures)
        self.assertEqual(set(), fleet.slow(now_s))
        self.assertEqual(set(), fleet.links.lost(now_s))
        self.assertEqual(set(), fleet.reachability.unreachable(now_s))
        self.assertEqual({}, local_loads(fleet))


class SilentUpstreamsTest(_SilenceTest, GatewayTest):

    def _serving(self):
        return [self.gateway]


class SilentUpstreamsOfOtherHostsTest(
    _SilenceTest, test_forwarding.LostLinksTest
):
    """Requests are forwarded to hosts whose upstreams fall silent."""

    def _serving(self):
        return self.others
