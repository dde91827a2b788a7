"""SIGTERM to a gateway that runs as a process of its own."""

import asyncio
import functools
import signal
import time

from test.gateway.kv_engines import EVENTS, refuse, send_rest
from test.gateway.process_serving import GatewayProcessTest

# Longer than the time after which the run of a silent engine is stopped.
SILENCE_S = 1.8

# Streams go on for longer than a request that needs no KV backup.
WORK_S = 0.8

# The balancer sends new connections until two of its checks have failed.
BALANCER_S = 2.0


class StoppingProcessTest(GatewayProcessTest):

    def _stream(self):
        return asyncio.create_task(
            self.ask("/stream/x", Acaciaspoke_Model="m1")
        )

    async def test_streams_of_engines_that_are_silent_for_a_while(self):
        # They were cut, as the engines with their KV backups refused them.
        asked_for_copy, awake = 0, asyncio.Event()
        awake.set()

        async def script(engine, arrival):
            nonlocal asked_for_copy
            if "kv-from" in arrival.headers:
                asked_for_copy += 1
                if arrival.id in engine.stops:
                    last = int(arrival.headers["last-event-id"])
                    await arrival.stream(*EVENTS[last:])
                else:
                    await refuse(arrival)
                return
            await awake.wait()
            await arrival.stream(*EVENTS[:2], end=False)
            await asyncio.sleep(WORK_S)
            await awake.wait()
            await send_rest(arrival, 2)

        async def pause():
            awake.clear()
            await asyncio.sleep(SILENCE_S)
            awake.set()

        for engine in self.engines:
            engine.script = functools.partial(script, engine)
        # Only streams of a route whose requests take long get a KV backup.
        while (await self._stream()).status != 200:
            await asyncio.sleep(0.1)
        tasks = [self._stream() for _ in range(3)]
        await asyncio.sleep(0.2)
        self.process.send_signal(signal.SIGTERM)
        stopped_s = time.monotonic()
        pausing = asyncio.create_task(pause())
        while time.monotonic() < stopped_s + BALANCER_S:
            tasks.append(self._stream())
            await asyncio.sleep(0.3)
        answers = await asyncio.gather(*tasks)
        await pausing
        whole = [answer for answer in answers if answer.status == 200]
        self.assertLessEqual({answer.status for answer in answers}, {200, 503})
        self.assertGreaterEqual(len(whole), 3)
        self.assertEqual({b"".join(EVENTS)}, {one.content for one in whole})
        self.assertGreater(asked_for_copy, 0)
        self.assertEqual(0, await self.process.wait())
        self.assertLess(time.monotonic(), stopped_s + self.stop_grace_s)
