"""Streams that would be joined from what two software versions write."""

from test.gateway.stream_serving import EVENTS, StreamTest, break_off, go_on


class RetryWithinAnAnswerTest(StreamTest):
    """A resumable stream breaks off, and the gateway resumes it."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engines[0].script = break_off
        self.engines[1].script = go_on

    async def _read_from_first(self):
        # Only the first engine has the model at the beginning.
        async def add_model(arrival):
            second = self.engines[1]
            self.store.put("servers", second.name, second.row())
            await self.eventually(
                lambda: self.gateway._dispatcher.fleet.upstreams[
                    second.name
                ].record.artifacts
            )
            await break_off(arrival)

        self.engines[0].script = add_model
        second = self.engines[1]
        row = second.row()
        self.store.put("servers", second.name, {**row, "models": []})
        await self.eventually(
            lambda: not self.gateway._dispatcher.fleet.upstreams[
                second.name
            ].record.artifacts
        )
        return await self.read()

    async def test_other_version_does_not_go_on(self):
        await self.set_version(self.engines[1], "v2")
        received = await self._read_from_first()
        self.assertEqual((200, EVENTS[0], False), received)
        self.assertEqual([], self.engines[1].arrivals)

    async def test_same_version_goes_on(self):
        received = await self._read_from_first()
        self.assertEqual((200, b"".join(EVENTS), True), received)
