"""Requests that are read behind one that runs when the host stops."""

import asyncio

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

    def _request(self, body):
        headers = [f"{name}: {text}" for name, text in self.headers().items()]
        framing = f"content-length: {len(body)}"
        text = "\r\n".join(["POST /safe/x HTTP/1.1", *headers, framing])
        return f"{text}\r\n\r\n".encode() + body

    async def _answer(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        length = head.split(b"content-length: ")[1].split(b"\r\n")[0]
        return await self.reader.readexactly(int(length)), head

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
