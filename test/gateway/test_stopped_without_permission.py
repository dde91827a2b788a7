"""Runs were stopped, but their requests got no attempt to go on with them."""

import asyncio
import time

from acaciaspoke.gateway.suspects import MAX_LOST_ATTEMPTS
from test.gateway.kv_engines import EVENTS, KvEngines
from test.gateway.test_keys_of_requests import KeysTest
from test.gateway.workspace_documents import KEY, entry, keyed_configuration


class StoppedWithoutPermissionTest(KeysTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Only long runs get a KV backup.
        self.gateway._dispatcher.estimates.durations["stream"].mean_s = 2.0
        self.kv = KvEngines(self.engines)
        self.kv.silence_s, self.kv.answers_calls = 3.0, True

    def _begin(self):
        return asyncio.create_task(
            self.ask("/stream/x", Acaciaspoke_Model="m1", Acaciaspoke_Key=KEY)
        )

    async def _check_stays(self, asking):
        answer = await asking
        self.assertEqual(b"".join(EVENTS), answer.content)
        self.assertEqual([], [e.name for e in self.engines if e.stops])

    async def test_key_that_was_removed_before_the_first_event(self):
        is_removed, begin = asyncio.Event(), self.kv.at_start

        async def begin_late(arrival):
            await is_removed.wait()
            await begin(arrival)

        self.kv.at_start = begin_late
        asking = self._begin()
        await self.eventually(self.arrivals)
        await self.configure(keyed_configuration(3, entry("beta", "other")))
        is_removed.set()
        await self._check_stays(asking)

    async def test_request_that_is_blocked_meanwhile(self):
        asking = self._begin()
        await self.eventually(
            lambda: any(each.events for each in self.arrivals())
        )
        (open_request,) = self.gateway.app._requests._requests.values()
        for _ in range(MAX_LOST_ATTEMPTS):
            self.gateway._request_handler.crash_guard.requests.record_crash(
                open_request.request.fingerprint, time.monotonic()
            )
        await self._check_stays(asking)
