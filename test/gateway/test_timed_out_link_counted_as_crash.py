"""Engines behind a cut seemed to crash when connections to them timed out."""

import asyncio
import errno
import os
import unittest
from types import SimpleNamespace

from acaciaspoke.entry.transport import UpstreamBackend
from acaciaspoke.gateway.attempt import Relay
from acaciaspoke.gateway.attempt_result import Attempt, Ending
from acaciaspoke.gateway.bodies import BodyMemory
from acaciaspoke.gateway.crash_guard import CrashGuard
from acaciaspoke.gateway.dispatch import Assignment
from acaciaspoke.ids import PartId, UpstreamId
from test.gateway.builders import request

ADDRESS = "127.0.0.1:1"
PART = PartId("5c1e07a2")


class TimedOutConnectionTest(unittest.IsolatedAsyncioTestCase):

    async def _end(self, code: int, *, writes: bool = False):
        """Returns the attempt whose connection ends with a system error."""
        server = await asyncio.start_server(lambda *ends: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        stream = await UpstreamBackend().connect_tcp("127.0.0.1", port)

        async def exchange():
            await stream.write(b"GET / HTTP/1.1\r\n")
            stream._protocol.connection_lost(OSError(code, os.strerror(code)))
            if writes:
                await stream.write(b"\r\n")
            else:
                await stream.read(100)

        relay = Relay(SimpleNamespace(), b"/", b"", BodyMemory(1000))
        try:
            return await relay.end_attempt(
                ADDRESS, SimpleNamespace(sent_bytes=16), exchange()
            )
        finally:
            await stream.aclose()
            server.close()

    async def test_connection_that_timed_out_shows_no_crash(self):
        for code in (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH):
            for writes in (False, True):
                attempt = await self._end(code, writes=writes)
                self.assertIs(Ending.BROKEN, attempt.ending)
                self.assertFalse(attempt.is_closed)
                self._assert_crashes(0, attempt)

    async def test_reset_connection_may_show_a_crash(self):
        for code in (errno.ECONNRESET, errno.EPIPE):
            for writes in (False, True):
                attempt = await self._end(code, writes=writes)
                self.assertIs(Ending.BROKEN, attempt.ending)
                self.assertTrue(attempt.is_closed)
                self._assert_crashes(1, attempt)

    def _assert_crashes(self, count: int, attempt: Attempt) -> None:
        guard = CrashGuard()
        lost = request(shared_parts=(PART,), fingerprint=7)
        assignment = Assignment(lost, UpstreamId("u1"), ADDRESS, 1)
        guard.record_attempt(assignment, attempt, False, 1.0)
        counts = guard.requests.local_counts(1.0)
        self.assertEqual(count, counts.get(7, 0))
        self.assertEqual(count, len(guard.parts.local_evidence(1.0)))
