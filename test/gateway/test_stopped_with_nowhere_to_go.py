"""Runs were stopped though no engine would get them any more."""

import asyncio
import time

from acaciaspoke.gateway.types import Artifact
from acaciaspoke.ids import ModelId
from test.gateway.kv_engines import EVENTS, KvEngines, refuse
from test.gateway.serving import GatewayTest

PAUSE_S = 9.0


class StoppedWithNowhereToGoTest(GatewayTest):
    """What an engine says after the copy was made was not regarded."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Only long runs get a KV backup.
        self.gateway._dispatcher.estimates.durations["stream"].mean_s = 2.0
        self.kv = KvEngines(self.engines)
        self.kv.at_backup = self.kv.at_source = refuse
        self.kv.silence_s, self.kv.answers_calls = 2.2, True

    async def _check_stays(self, on_copy):
        asking = asyncio.create_task(
            self.ask("/stream/x", Acaciaspoke_Model="m1")
        )
        await self.eventually(lambda: any(e.copied for e in self.engines))
        source, other = sorted(self.engines, key=lambda e: not e.copied)
        on_copy(source, other)
        answer = await asking
        self.assertEqual(b"".join(EVENTS), answer.content)
        self.assertEqual([], source.stops)

    def _pause(self, engine):
        self.gateway._dispatcher.fleet.record_named_pause(
            engine.name, engine.born, PAUSE_S, time.monotonic()
        )

    async def test_other_engine_leaves(self):
        await self._check_stays(
            lambda _, other: self.store.put(
                "servers", other.name, other.row(state="draining", seq=2)
            )
        )

    async def test_other_engine_wants_no_requests_for_a_while(self):
        await self._check_stays(lambda _, other: self._pause(other))

    async def test_engine_of_the_run_wants_no_requests_for_a_while(self):
        await self._check_stays(lambda source, _: self._pause(source))

    async def test_other_engine_unloads_the_model(self):
        await self._check_stays(lambda _, other: self._unload(other))

    async def test_engine_of_the_run_unloads_the_model(self):
        """It waits for the run to end, and cannot get it back."""
        await self._check_stays(lambda source, _: self._unload(source))

    def _unload(self, engine):
        upstream = self.gateway._dispatcher.fleet.upstreams[engine.name]
        upstream.withdraw(Artifact(ModelId("m1")), time.monotonic())
