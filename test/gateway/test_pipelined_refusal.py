"""Requests that are read behind one that has not been answered yet."""

import asyncio

from test.gateway.serving import GatewayTest, configuration

WORK_S = 0.5
HEADER_TIMEOUT_MS = 200
MAX_HEADER_BYTES = 2000


class PipelinedRefusalTest(GatewayTest):
    """A refusal of the later request was sent as the answer of the first."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        limits = {
            "header-timeout-ms": HEADER_TIMEOUT_MS,
            "max-header-bytes": MAX_HEADER_BYTES,
        }
        self.store.put("op", "config", configuration(2, limits=limits))
        await self.eventually(
            lambda: self.gateway.app.configuration.version == 2
        )

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

    def _request(self, body, *lines, is_chunked=False):
        headers = [f"{name}: {text}" for name, text in self.headers().items()]
        framing = f"content-length: {len(body)}"
        if is_chunked:
            framing = "transfer-encoding: chunked"
        first = "POST /unsafe/x HTTP/1.1"
        text = "\r\n".join([first, *headers, framing, *lines, "", ""])
        return text.encode() + body

    async def _answer(self):
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
        body = await self.reader.readexactly(int(length))
        return int(head.split(b" ")[1]), body

    async def _check_refused(self, status):
        """Checks the answers of two requests, and that nothing follows."""
        self.assertEqual((200, b"book"), await self._answer())
        self.assertEqual(status, (await self._answer())[0])
        self.assertEqual(b"", await self.reader.read())

    async def test_head_that_does_not_arrive_in_time(self):
        self.writer.write(self._request(b"book") + b"POST /unsafe")
        await self._check_refused(408)

    async def test_head_that_is_too_large(self):
        line = "x-note: " + "n" * MAX_HEADER_BYTES
        self.writer.write(self._request(b"book") + self._request(b"x", line))
        await self._check_refused(431)

    async def test_unfinished_head_that_is_too_large(self):
        self.writer.write(self._request(b"book"))
        await asyncio.sleep(0.05)
        self.writer.write(b"POST /unsafe/" + b"n" * MAX_HEADER_BYTES)
        await self._check_refused(431)

    async def test_bytes_that_are_no_request(self):
        self.writer.write(self._request(b"book") + b"book\r\n\r\n")
        await self._check_refused(400)

    async def test_body_that_cannot_be_parsed(self):
        broken = self._request(b"no length\r\n", is_chunked=True)
        self.writer.write(self._request(b"book") + broken)
        await self._check_refused(400)

    async def test_only_body_that_cannot_be_parsed(self):
        self.writer.write(self._request(b"no length\r\n", is_chunked=True))
        self.assertEqual(400, (await self._answer())[0])
        self.assertEqual(b"", await self.reader.read())

    async def test_body_does_not_count_as_part_of_the_next_head(self):
        body = b"n" * 2 * MAX_HEADER_BYTES
        later = self._request(b"book")
        self.writer.write(self._request(body) + later[:9])
        await asyncio.sleep(0.05)
        self.writer.write(later[9:])
        self.assertEqual((200, body), await self._answer())
        self.assertEqual((200, b"book"), await self._answer())
