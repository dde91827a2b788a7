"""Callers go on with streams whose version no longer holds their model."""

from test.gateway.stream_serving import EVENTS, StreamTest, break_off, go_on


class ModelAtOtherVersionTest(StreamTest):
    """The engine that began the stream has restarted without its model."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.old, self.new = self.engines
        await self.until_default_is_known()
        await self.set_version(self.new, "v2")
        self.idle = await self.worker("llm3", "llm")
        self.idle.script = go_on

    def _upstream(self, engine):
        fleet = self.gateway._dispatcher.fleet
        return fleet.upstreams.get(engine.name)

    async def _put(self, engine, models):
        engine.models = models
        self.store.put("servers", engine.name, engine.row())
        await self.eventually(
            lambda: (
                (known := self._upstream(engine))
                and known.record.started_ms == engine.born
                and {each.model for each in known.record.artifacts}
                == set(models)
            )
        )

    async def _restart_empty(self, engine):
        engine.born += 1
        engine.orders.clear()
        await self._put(engine, {})

    async def _begin_and_restart(self, models, **headers):
        """Begins a stream at the old version, which then has no model."""
        await self._put(self.new, {})
        self.old.script = break_off
        received = await self.read(Acaciaspoke_Attempt_Id="begun", **headers)
        self.assertEqual(EVENTS[0], received.body)
        self.new.script = self.old.script = go_on
        await self._put(self.new, models)
        self.old.arrivals.clear()
        await self._restart_empty(self.old)

    async def _go_on(self, **headers):
        return await self.read(Resumes="begun", Last_Event_Id="1", **headers)

    async def test_model_is_loaded_at_the_version_of_the_stream(self):
        await self._begin_and_restart({"m1": []})
        received = await self._go_on()
        self.assertEqual((200, b"".join(EVENTS[1:]), True), received)
        self.assertEqual([], self.new.arrivals)

    async def test_adapter_is_loaded_at_the_version_of_the_stream(self):
        await self._put(self.old, {"m1": ["a1"]})
        headers = {"Acaciaspoke_Model": "m1/a1"}
        await self._begin_and_restart({"m1": ["a1"]}, **headers)
        received = await self._go_on(**headers)
        self.assertEqual((200, b"".join(EVENTS[1:]), True), received)
        self.assertEqual([], self.new.arrivals)
