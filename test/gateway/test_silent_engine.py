"""A stream whose engine is silent for a while is whole in the end."""

import asyncio
import time
from unittest import mock

from acaciaspoke.entry.caller import Caller
from test.gateway.serving import GatewayTest

EVENTS = tuple(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
REFUSED = {"acaciaspoke-not-executed": "1"}

# Longer than the time after which an engine counts as silent.
SILENCE_S = 1.2


async def send_chunks(arrival, events):
    for event in (*events, b""):
        arrival.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    await arrival.writer.drain()


class SilentEngineTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Only long runs get a KV backup.
        self.gateway._dispatcher.estimates.durations["stream"].mean_s = 2.0
        self.closed = []

    def _script(self, at_backup, silence_s=SILENCE_S):
        async def script(arrival):
            if "kv-from" in arrival.headers:
                await at_backup(arrival)
                return
            await arrival.stream(*EVENTS[:2], end=False)
            await asyncio.sleep(silence_s)
            try:
                await send_chunks(arrival, EVENTS[2:])
            except ConnectionError:
                self.closed.append(arrival)
                raise

        for engine in self.engines:
            engine.script = script

    async def _check_whole(self):
        """Checks the stream of a caller while the process stops."""
        asking = asyncio.create_task(
            self.ask("/stream/x", Acaciaspoke_Model="m1")
        )
        await self.eventually(lambda: any(e.arrivals for e in self.engines))
        self.gateway.drain.request_stop()
        answer = await asking
        self.assertEqual(b"".join(EVENTS), answer.content)
        await self.tasks[-1]

    @staticmethod
    def _is_resumed_at(engine):
        return any("kv-from" in arrival.headers for arrival in engine.arrivals)

    def _resumed(self):
        return [
            arrival
            for engine in self.engines
            for arrival in engine.arrivals
            if "kv-from" in arrival.headers
        ]

    async def test_stream_stays_where_the_other_engine_has_no_copy(self):
        async def refuse(arrival):
            await arrival.answer(503, b"", REFUSED, sealed=False)

        self._script(refuse)
        await self._check_whole()
        self.assertEqual(1, len(self._resumed()))

    async def test_pause_that_the_other_engine_names_is_its_own(self):
        async def refuse(arrival):
            headers = REFUSED | {"retry-after": "9"}
            await arrival.answer(503, b"", headers, sealed=False)

        self._script(refuse, silence_s=2.0)
        asking = asyncio.create_task(
            self.ask("/stream/x", Acaciaspoke_Model="m1")
        )
        await self.eventually(self._resumed)
        paused = self.gateway._dispatcher.fleet.in_named_pause
        await self.eventually(lambda: paused(time.monotonic()))
        (other,) = (e.name for e in self.engines if self._is_resumed_at(e))
        self.assertEqual({other}, paused(time.monotonic()))
        self.assertEqual(b"".join(EVENTS), (await asking).content)
        self.assertEqual(1, len(self._resumed()))

    async def test_stream_stays_where_the_other_engine_resets(self):
        async def reset(arrival):
            arrival.reset()

        self._script(reset)
        await self._check_whole()

    async def test_stream_stays_where_the_other_engine_leaves(self):
        async def refuse(arrival):
            await arrival.answer(503, b"", REFUSED, sealed=False)

        self._script(refuse)
        asking = asyncio.create_task(
            self.ask("/stream/x", Acaciaspoke_Model="m1")
        )
        await self.eventually(lambda: any(e.arrivals for e in self.engines))
        other = next(e for e in self.engines if not e.arrivals)
        self.store.put("servers", other.name, other.row(state="draining"))
        self.assertEqual(b"".join(EVENTS), (await asking).content)
        self.assertEqual([], self._resumed())

    async def test_stream_goes_on_where_the_other_engine_accepts(self):
        async def go_on(arrival):
            self.assertEqual("2", arrival.headers["last-event-id"])
            await arrival.stream(*EVENTS[2:])

        self._script(go_on, silence_s=3.0)
        await self._check_whole()
        await self.eventually(lambda: self.closed)

    async def test_events_that_come_while_the_other_engine_is_asked(self):
        """The other engine goes on after the event that it was told."""

        async def go_on(arrival):
            await asyncio.sleep(0.2)
            await arrival.stream(*EVENTS[2:])

        self._script(go_on, silence_s=0.8)
        await self._check_whole()
        self.assertEqual(1, len(self._resumed()))

    async def test_other_engine_that_does_not_answer(self):
        """The first engine has sent events again before the other answered."""

        async def hang(arrival):
            await arrival.wait_for_close()

        self._script(hang, silence_s=0.85)
        await self._check_whole()

    async def test_stream_stays_where_the_other_engine_refuses_late(self):
        # It was stopped before the other engine had answered, and lost.
        async def refuse(arrival):
            await asyncio.sleep(0.6)
            await arrival.answer(503, b"", REFUSED, sealed=False)

        self._script(refuse, silence_s=1.6)
        await self._check_whole()
        self.assertEqual(1, len(self._resumed()))

    async def test_stream_stays_while_both_engines_are_silent(self):
        left = asyncio.Event()

        async def hang(arrival):
            await arrival.wait_for_close()
            left.set()

        self._script(hang, silence_s=1.6)
        await self._check_whole()
        await asyncio.wait_for(left.wait(), 1.0)
        self.assertEqual([], self.closed)

    async def test_silent_engine_and_other_one_that_does_not_answer(self):
        # The stream was cut after 0.35 s without an answer of the other engine.
        async def hang(arrival):
            await arrival.wait_for_close()

        self._script(hang)
        await self._check_whole()
        await self.eventually(lambda: self._resumed()[0].is_closed)

    async def test_silent_engine_and_other_one_that_refuses_late(self):
        async def refuse(arrival):
            await asyncio.sleep(0.45)
            await arrival.answer(503, b"", REFUSED, sealed=False)

        self._script(refuse)
        await self._check_whole()

    async def test_silent_engine_that_ends_while_the_other_one_is_asked(self):
        async def script(arrival):
            if "kv-from" in arrival.headers:
                await asyncio.sleep(0.5)
                await arrival.stream(*EVENTS[2:])
                return
            await arrival.stream(*EVENTS[:2], end=False)
            await self.eventually(self._resumed)
            arrival.reset()

        for engine in self.engines:
            engine.script = script
        await self._check_whole()
        self.assertEqual(1, len(self._resumed()))

    async def test_caller_that_does_not_read_is_no_silent_engine(self):
        # The stream was moved, and lacked the event that waited for the caller.
        send, has_waited = Caller.send, False

        async def send_slowly(caller, data, *, more):
            nonlocal has_waited
            if not has_waited:
                has_waited = True
                await asyncio.sleep(2.0)
            await send(caller, data, more=more)

        async def script(arrival):
            start = int(arrival.headers.get("last-event-id", 0))
            await arrival.stream(*EVENTS[start : start + 1], end=False)
            await send_chunks(arrival, EVENTS[start + 1 :])

        for engine in self.engines:
            engine.script = script
        with mock.patch.object(Caller, "send", send_slowly):
            answer = await self.ask("/stream/x", Acaciaspoke_Model="m1")
        self.assertEqual(b"".join(EVENTS), answer.content)
        self.assertEqual([], self._resumed())

    async def test_silent_engine_is_given_up_for_a_slow_one(self):
        async def go_on(arrival):
            await asyncio.sleep(0.6)
            await arrival.stream(*EVENTS[2:])

        self._script(go_on, silence_s=3.0)
        await self._check_whole()
        await self.eventually(lambda: self.closed)
