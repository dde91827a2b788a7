"""A host stops while streams pause, wait or are moved."""

import asyncio
import time

from acaciaspoke.gateway.process import DRAIN_NOTICE_S
from test.gateway.kv_engines import refuse
from test.gateway.serving import configuration
from test.gateway.silent_streams import EVENTS, SilentStreamTest
from test.gateway.test_forwarding import LostLinksTest

# The balancer sends new connections until two of its checks have failed.
BALANCER_S = 2.0

SILENCE_S = 1.3

# Longer than the time after which runs of silent engines are stopped.
LONG_SILENCE_S = 2.2

# The whole time of the streams that go on until the end of the grace time.
LONG_S = 4.0


class StopTest(SilentStreamTest):
    """Callers wait for longer than the grace time."""

    remaining_ms = 15_000

    async def asyncSetUp(self):
        await super().asyncSetUp()
        routes = [
            {**route, "timeout-ms": self.remaining_ms}
            for route in configuration()["routes"]
        ]
        self.store.put("op", "config", configuration(2, routes=routes))
        await self.eventually(
            lambda: all(
                gateway.app.configuration.version == 2
                for gateway in self.gateways()
            )
        )
        # Hosts that stop start only requests whose times they know.
        for gateway in self.gateways():
            durations = gateway._dispatcher.estimates.durations["stream"]
            for _ in range(20):
                durations.record(2.0, time.monotonic())

    def gateways(self):
        return [self.gateway]

    async def stop(self) -> float:
        """Requests the stop once streams flow; returns when that was."""
        self.begin(4)
        await self.eventually(self.all_have_begun)
        self.gateway.drain.request_stop()
        return time.monotonic()

    async def begin_until_out_of_rotation(self, stopped_s: float) -> None:
        while time.monotonic() < stopped_s + BALANCER_S:
            self.begin()
            await asyncio.sleep(0.3)

    async def check_stopped(self, stopped_s: float) -> None:
        """Checks that all are answered, and that the process ends in time."""
        streams = await self.check_answered()
        self.assertEqual({200}, {stream.status for stream in streams[:4]})
        await asyncio.gather(*self.tasks[-len(self.gateways()) :])
        self.assertLess(time.monotonic(), stopped_s + self.stop_grace_s)


class StopAmidSilencesTest(StopTest):

    async def test_silences_as_the_host_stops_and_as_the_listener_closes(self):
        pausing = asyncio.create_task(self._pause_after(0.2, 1.0))
        stopped_s = await self.stop()
        await self.begin_until_out_of_rotation(stopped_s)
        await pausing
        await self.silent.pause(SILENCE_S)
        await self.check_stopped(stopped_s)

    async def _pause_after(self, after_s, silence_s):
        await asyncio.sleep(after_s)
        await self.silent.pause(silence_s)

    async def test_engines_answer_calls_before_their_next_events(self):
        self.silent.at_other, self.silent.takes_back = refuse, False
        stopped_s = await self.stop()
        await self.silent.pause(SILENCE_S, event_delay_s=0.15)
        await self.check_stopped(stopped_s)
        self.assertEqual([], self.silent.stopped)

    async def test_runs_are_moved_as_the_last_requests_start(self):
        self.silent.answers_calls = True
        self.silent.at_other = refuse
        stopped_s = await self.stop()
        beginning = asyncio.create_task(
            self.begin_until_out_of_rotation(stopped_s)
        )
        # The runs are stopped after the last start.
        await asyncio.sleep(DRAIN_NOTICE_S - LONG_SILENCE_S / 2)
        await self.silent.pause(LONG_SILENCE_S)
        await beginning
        await self.check_stopped(stopped_s)
        self.assertTrue(self.silent.stopped)

    async def test_silence_near_the_end_of_the_grace_time(self):
        self.silent.interval_s = LONG_S / len(EVENTS)
        stopped_s = await self.stop()
        await asyncio.sleep(LONG_S - 1.0)
        self.silent.answers_calls = True
        await self.silent.pause(LONG_SILENCE_S)
        await self.check_stopped(stopped_s)


class StopOfForwardingHostTest(StopTest, LostLinksTest):

    def gateways(self):
        return [self.gateway, *self.others]

    async def test_hosts_stop_that_forward_and_that_serve(self):
        stopped_s = await self.stop()
        for other in self.others:
            other.drain.request_stop()
        self.begin(4)
        await self.eventually(self.all_are_accepted)
        await self.silent.pause(SILENCE_S)
        await self.check_stopped(stopped_s)
        self.assertEqual(8, self.served_for_others())
