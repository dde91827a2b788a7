"""Streams of an engine that hangs were left as the other one was full."""

import time

from acaciaspoke.gateway.takeover import MIN_CALLER_PATIENCE_S
from test.gateway.kv_engines import EVENTS, KvEngines, refuse, resumed
from test.gateway.serving import GatewayTest


class HungEngineBesideFullOneTest(GatewayTest):
    """The other engine keeps no room for copies, but admits the stream."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Only long runs get a KV backup.
        self.gateway._dispatcher.estimates.durations["stream"].mean_s = 2.0
        self.kv = KvEngines(self.engines)
        self.kv.silence_s, self.kv.answers_calls = 4.0, True
        for engine in self.engines:
            engine.has_room = False

    async def _check_whole(self):
        answer = await self.ask("/stream/x", Acaciaspoke_Model="m1")
        self.assertEqual(b"".join(EVENTS), answer.content)

    async def test_stream_goes_on_before_its_caller_leaves(self):
        await self._check_whole()
        (other,) = resumed(self.engines)
        (first,) = (
            arrival
            for engine in self.engines
            for arrival in engine.arrivals
            if "kv-from" not in arrival.headers
        )
        silent_s = other.arrived_s - first.arrived_s
        self.assertLess(silent_s, MIN_CALLER_PATIENCE_S)

    async def test_room_that_is_found_late(self):
        # A refused copy counted as an engine that answers no calls.
        copied_s = []

        async def find_room():
            copied_s.append(time.monotonic())
            for engine in self.engines:
                engine.has_room = len(copied_s) > 2

        for engine in self.engines:
            engine.before_copy = find_room
        self.kv.at_source = refuse
        await self._check_whole()
        self.assertEqual(3, len(copied_s))
        self.assertLess(copied_s[-1] - copied_s[0], 0.8)
