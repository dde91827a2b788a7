"""Requests that last longer than the grace time of a planned stop."""

import asyncio
import time

from test.gateway.serving import GatewayTest

# After the stop was requested.
LATE_S = 0.5


class EndOfGraceTest(GatewayTest):

    stop_grace_s = 4

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.work_s = {}

        async def answer_later(arrival):
            await asyncio.sleep(self.work_s.get(arrival.body, 0.0))
            await arrival.answer(body=arrival.body)

        for app in self.apps:
            app.script = answer_later

    def _ask(self, work_s, remaining_s):
        body = b"%f" % work_s
        self.work_s[body] = work_s
        return asyncio.create_task(
            self.ask(
                "/unsafe/x",
                body=body,
                Acaciaspoke_Time_Remaining_Ms=str(int(remaining_s * 1000)),
            )
        )

    def _arrived(self):
        return [arrival.body for app in self.apps for arrival in app.arrivals]

    async def test_request_that_may_outlast_the_process_is_not_started(self):
        # It was passed on, and cut without an answer when the process was
        # killed; the caller could not know whether it had run.
        self.gateway.drain.request_stop()
        await asyncio.sleep(LATE_S)
        answer = await self._ask(4.5, 5.0)
        self.assertEqual(503, answer.status)
        self.assertEqual([], self._arrived())

    async def test_request_that_ends_before_the_process_is_started(self):
        self.gateway.drain.request_stop()
        await asyncio.sleep(LATE_S)
        answer = await self._ask(1.0, 2.0)
        self.assertEqual(200, answer.status)

    async def test_requests_of_a_short_route_are_started(self):
        for _ in range(20):
            await self._ask(0.0, 5.0)
        self.gateway.drain.request_stop()
        await asyncio.sleep(LATE_S)
        self.assertEqual(200, (await self._ask(0.3, 5.0)).status)

    async def test_request_that_outlasts_the_grace_time_is_answered(self):
        asking = self._ask(4.5, 5.0)
        await self.eventually(self._arrived)
        stopped_s = time.monotonic()
        self.gateway.drain.request_stop()
        answer = await asking
        self.assertEqual(502, answer.status)
        self.assertIn(b'"unknown"', answer.content)
        await self.tasks[-1]
        self.assertLess(time.monotonic(), stopped_s + self.stop_grace_s)
