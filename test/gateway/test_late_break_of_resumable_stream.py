"""Streams that may be resumed were cut if they broke off late."""

import asyncio

from acaciaspoke.gateway.stop_limit import START_SHARE
from test.gateway.stream_serving import EVENTS, StreamTest, go_on

# Longer than callers wait for the first event.
LATE_S = 2.2


class LateBreakOfResumableStreamTest(StreamTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.break_after_s = LATE_S
        for engine in self.engines:
            engine.script = self._run

    async def _run(self, arrival):
        if "last-event-id" in arrival.headers:
            await go_on(arrival)
            return
        await arrival.stream(EVENTS[0], end=False)
        await asyncio.sleep(self.break_after_s)
        await arrival.send_events(EVENTS[1])
        await asyncio.sleep(0.1)
        arrival.reset()

    async def _check_whole(self):
        received = await self.read()
        self.assertEqual(b"".join(EVENTS), received.body)
        self.assertTrue(received.is_complete)

    async def test_stream_is_older_than_callers_wait_for_the_first_event(self):
        await self._check_whole()

    async def test_host_stops_and_starts_no_requests_any_more(self):
        self.break_after_s = START_SHARE * self.stop_grace_s + 0.3
        reading = asyncio.create_task(self._check_whole())
        await self.eventually(lambda: any(e.arrivals for e in self.engines))
        self.gateway.drain.request_stop()
        await reading
