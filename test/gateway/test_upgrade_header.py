"""A request that offers another protocol is read whole."""

import asyncio

from test.gateway.raw_connection import RawConnectionTest

OFFER = (
    "connection: Upgrade, HTTP2-Settings",
    "upgrade: h2c",
    "http2-settings: AAMAAABkAAQAAP__",
)


class UpgradeHeaderTest(RawConnectionTest):

    def _head(self, *framing, method="POST", lines=OFFER):
        return self.head("/unsafe/x", *lines, *framing, method=method)

    async def _check_answered(self, body):
        answer = await self.answer()
        self.assertEqual((200, body), (answer.status, answer.body))

    async def test_body_with_a_length(self):
        # The worker ran it with an empty body, and the caller got 200.
        self.writer.write(self._head("content-length: 4") + b"book")
        await self._check_answered(b"book")

    async def test_body_that_comes_later(self):
        self.writer.write(self._head("content-length: 4"))
        await asyncio.sleep(0.1)
        for part in (b"bo", b"ok"):
            self.writer.write(part)
            await asyncio.sleep(0.05)
        await self._check_answered(b"book")

    async def test_body_in_chunks(self):
        body = b"2\r\nbo\r\n2\r\nok\r\n0\r\n\r\n"
        self.writer.write(self._head("transfer-encoding: chunked") + body)
        await self._check_answered(b"book")

    async def test_next_request_on_the_connection(self):
        self.writer.write(
            self._head("content-length: 4")
            + b"book"
            + self._head("content-length: 3", lines=())
            + b"two"
        )
        await self._check_answered(b"book")
        await self._check_answered(b"two")

    async def test_request_without_a_body(self):
        self.writer.write(self._head(method="GET"))
        await self._check_answered(b"")

    async def test_head_in_pieces(self):
        for piece in self._head("content-length: 4").splitlines(keepends=True):
            self.writer.write(piece)
            await asyncio.sleep(0.01)
        self.writer.write(b"book")
        await self._check_answered(b"book")
