"""A request that offers another protocol is read whole."""

import asyncio

from test.gateway.serving import GatewayTest

OFFER = (
    "connection: Upgrade, HTTP2-Settings",
    "upgrade: h2c",
    "http2-settings: AAMAAABkAAQAAP__",
)


class UpgradeHeaderTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()

        async def echo(arrival):
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

    def _head(self, *framing, method="POST", lines=OFFER):
        headers = [f"{name}: {text}" for name, text in self.headers().items()]
        first = f"{method} /unsafe/x HTTP/1.1"
        text = "\r\n".join([first, *headers, *lines, *framing, "", ""])
        return text.encode()

    async def _answer(self):
        head = await self.reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 200 ", head.split(b"\r\n")[0])
        length = head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
        return await self.reader.readexactly(int(length))

    async def test_body_with_a_length(self):
        # The worker ran it with an empty body, and the caller got 200.
        self.writer.write(self._head("content-length: 4") + b"book")
        self.assertEqual(b"book", await self._answer())

    async def test_body_that_comes_later(self):
        self.writer.write(self._head("content-length: 4"))
        await asyncio.sleep(0.1)
        for part in (b"bo", b"ok"):
            self.writer.write(part)
            await asyncio.sleep(0.05)
        self.assertEqual(b"book", await self._answer())

    async def test_body_in_chunks(self):
        body = b"2\r\nbo\r\n2\r\nok\r\n0\r\n\r\n"
        self.writer.write(self._head("transfer-encoding: chunked") + body)
        self.assertEqual(b"book", await self._answer())

    async def test_next_request_on_the_connection(self):
        self.writer.write(
            self._head("content-length: 4")
            + b"book"
            + self._head("content-length: 3", lines=())
            + b"two"
        )
        self.assertEqual(b"book", await self._answer())
        self.assertEqual(b"two", await self._answer())

    async def test_request_without_a_body(self):
        self.writer.write(self._head(method="GET"))
        self.assertEqual(b"", await self._answer())

    async def test_head_in_pieces(self):
        for piece in self._head("content-length: 4").splitlines(keepends=True):
            self.writer.write(piece)
            await asyncio.sleep(0.01)
        self.writer.write(b"book")
        self.assertEqual(b"book", await self._answer())
