"""Runs of sound engines were stopped after a silence, and then lost."""

from test.gateway.kv_engines import EVENTS, KvEngines, refuse, resumed
from test.gateway.serving import GatewayTest


class StoppedAfterASilenceTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Only long runs get a KV backup.
        self.gateway._dispatcher.estimates.durations["stream"].mean_s = 2.0
        self.kv = KvEngines(self.engines)
        self.kv.at_backup = self.kv.at_source = refuse

    async def _check_whole(self):
        answer = await self.ask("/stream/x", Acaciaspoke_Model="m1")
        self.assertEqual(b"".join(EVENTS), answer.content)
        self.assertEqual([], resumed(self.engines))
        self.assertEqual([], [e.name for e in self.engines if e.stops])

    async def test_engine_answers_calls_before_its_next_event(self):
        self.kv.silence_s, self.kv.event_delay_s = 1.3, 0.15
        await self._check_whole()

    async def test_events_are_held_back_while_calls_are_answered(self):
        self.kv.silence_s, self.kv.answers_calls = 1.4, True
        await self._check_whole()

    async def test_other_engine_has_no_room(self):
        for engine in self.engines:
            engine.has_room = False
        self.kv.silence_s, self.kv.answers_calls = 1.6, True
        await self._check_whole()
