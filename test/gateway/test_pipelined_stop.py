"""Requests that are read behind one that runs when the host stops."""

import asyncio

from acaciaspoke.gateway.process import DRAIN_NOTICE_S
from test.gateway.serving import GatewayTest

WORK_S = 0.5


class PipelinedStopTest(GatewayTest):
    """The connection was closed after the first answer."""

    async def asyncSetUp(self):
        await super().asyncSetUp()

        async def echo(arrival):
            await asyncio.sleep(WORK_S)
            await arrival.answer(body=arrival.body)

        for app in self.apps:
            app.script = echo
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )

    async def asyncTearDown(self):
        self.writer.close()
        await super().asyncTearDown()

    def _request(self, body, path="/safe/x", more=()):
        fields = {**self.headers(), **dict(more)}
        headers = [f"{name}: {text}" for name, text in fields.items()]
        framing = f"content-length: {len(body)}"
        text = "\r\n".join([f"POST {path} HTTP/1.1", *headers, framing])
        return f"{text}\r\n\r\n".encode() + body

    async def _answer(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        length = head.split(b"content-length: ")[1].split(b"\r\n")[0]
        return await self.reader.readexactly(int(length)), head

    async def _send_after_notice(self):
        """Sends a request once the listener has closed."""
        self.gateway.drain.request_stop()
        await asyncio.sleep(DRAIN_NOTICE_S + 0.5)
        self.writer.write(self._request(b"late"))

    async def _check_refused(self):
        """Checks that the late request is answered, and nothing follows."""
        _, head = await self._answer()
        self.assertIn(b" 503 ", head)
        self.assertIn(b"connection: close", head)
        self.assertEqual(b"", await self.reader.read())
        await self.tasks[-1]

    async def test_request_behind_one_that_outlasts_the_notice(self):
        # The stop had made the answer before it the last one.
        async def work(arrival):
            await asyncio.sleep(DRAIN_NOTICE_S + 1.5)
            await arrival.answer(body=arrival.body)

        for app in self.apps:
            app.script = work
        self.writer.write(self._request(b"first"))
        await self.eventually(lambda: any(app.arrivals for app in self.apps))
        await self._send_after_notice()
        answered, head = await self._answer()
        self.assertEqual(b"first", answered)
        self.assertNotIn(b"connection: close", head)
        await self._check_refused()

    async def test_request_behind_a_stream_that_outlasts_the_notice(self):
        # The connection was closed at the end of the stream.
        async def stream(arrival):
            await arrival.stream(b"id: 1\ndata: x\n\n", end=False)
            await asyncio.sleep(DRAIN_NOTICE_S + 1.5)
            arrival.writer.write(b"0\r\n\r\n")

        for engine in self.engines:
            engine.script = stream
        model = {"Acaciaspoke-Model": "m1"}
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
            answered, head = await self._answer()
            self.assertEqual(body, answered)
            is_last = body == bodies[-1]
            self.assertEqual(is_last, b"connection: close" in head)
        self.assertEqual(b"", await self.reader.read())
        await self.tasks[-1]
