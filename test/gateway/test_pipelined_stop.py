"""Requests that are read behind one that runs when the host stops."""

import asyncio

from acaciaspoke.gateway.process import DRAIN_NOTICE_S
from test.gateway.raw_connection import RawConnectionTest


class PipelinedStopTest(RawConnectionTest):
    """The connection was closed after the first answer."""

    work_s = 0.5

    def _request(self, body, path="/safe/x", *lines):
        return self.head(path, f"content-length: {len(body)}", *lines) + body

    async def _send_after_notice(self):
        """Sends a request once the listener has closed."""
        self.gateway.drain.request_stop()
        await asyncio.sleep(DRAIN_NOTICE_S + 0.5)
        self.writer.write(self._request(b"late"))

    async def _check_refused(self):
        """Checks that the late request is answered, and nothing follows."""
        answer = await self.answer()
        self.assertEqual(503, answer.status)
        self.assertIn(b"connection: close", answer.head)
        self.assertEqual(b"", await self.reader.read())
        await self.tasks[-1]

    async def test_request_behind_one_that_outlasts_the_notice(self):
        # The stop had made the answer before it the last one.
        self.work_s = DRAIN_NOTICE_S + 1.5
        self.writer.write(self._request(b"first"))
        await self.eventually(lambda: any(app.arrivals for app in self.apps))
        await self._send_after_notice()
        answer = await self.answer()
        self.assertEqual(b"first", answer.body)
        self.assertNotIn(b"connection: close", answer.head)
        await self._check_refused()

    async def test_request_behind_a_stream_that_outlasts_the_notice(self):
        # The connection was closed at the end of the stream.
        async def stream(arrival):
            await arrival.stream(b"id: 1\ndata: x\n\n", end=False)
            await asyncio.sleep(DRAIN_NOTICE_S + 1.5)
            arrival.writer.write(b"0\r\n\r\n")

        for engine in self.engines:
            engine.script = stream
        model = "Acaciaspoke-Model: m1"
        self.writer.write(self._request(b"first", "/stream/x", model))
        await self.reader.readuntil(b"id: 1\ndata: x\n\n")
        await self._send_after_notice()
        await self.reader.readuntil(b"\r\n0\r\n\r\n")
        await self._check_refused()

    async def test_all_requests_that_were_read_are_answered(self):
        bodies = (b"first", b"second", b"third")
        self.writer.write(b"".join(map(self._request, bodies)))
        await self.eventually(lambda: any(app.arrivals for app in self.apps))
        self.gateway.drain.request_stop()
        for body in bodies:
            answer = await self.answer()
            self.assertEqual(body, answer.body)
            is_last = body == bodies[-1]
            self.assertEqual(is_last, b"connection: close" in answer.head)
        self.assertEqual(b"", await self.reader.read())
        await self.tasks[-1]
