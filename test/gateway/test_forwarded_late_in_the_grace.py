"""Requests were cut, as a host that stops had forwarded them too late."""

import asyncio

from test.gateway.test_forwarding import LostLinksTest

# After the stop was requested.
LATE_S = 0.5


class ForwardedLateInTheGraceTest(LostLinksTest):

    stop_grace_s = 4

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.gateway.drain.request_stop()
        await asyncio.sleep(LATE_S)

    async def test_request_that_may_outlast_the_process_is_not_forwarded(self):
        answer = await self.ask("/unsafe/x")
        self.assertEqual(503, answer.status)
        self.assertEqual([], self.arrivals(self.apps))

    async def test_request_that_ends_before_the_process_is_forwarded(self):
        answer = await self.ask(
            "/unsafe/x", Acaciaspoke_Time_Remaining_Ms="2000"
        )
        self.assertEqual(200, answer.status)
        self.assertEqual(1, self.served_for_others())
