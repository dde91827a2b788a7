"""Requests that are read behind one that has not been answered yet."""

import asyncio

from test.gateway.raw_connection import RawConnectionTest
from test.gateway.serving import configuration

HEADER_TIMEOUT_MS = 200
MAX_HEADER_BYTES = 2000


class PipelinedRefusalTest(RawConnectionTest):
    """A refusal of the later request was sent as the answer of the first."""

    work_s = 0.5

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

    def _request(self, body, *lines, is_chunked=False):
        framing = f"content-length: {len(body)}"
        if is_chunked:
            framing = "transfer-encoding: chunked"
        return self.head("/unsafe/x", framing, *lines) + body

    async def _check_answered(self, body):
        answer = await self.answer()
        self.assertEqual((200, body), (answer.status, answer.body))

    async def _check_refused(self, status):
        """Checks the answers of two requests, and that nothing follows."""
        await self._check_answered(b"book")
        self.assertEqual(status, (await self.answer()).status)
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
        self.assertEqual(400, (await self.answer()).status)
        self.assertEqual(b"", await self.reader.read())

    async def test_body_does_not_count_as_part_of_the_next_head(self):
        body = b"n" * 2 * MAX_HEADER_BYTES
        later = self._request(b"book")
        self.writer.write(self._request(body) + later[:9])
        await asyncio.sleep(0.05)
        self.writer.write(later[9:])
        await self._check_answered(body)
        await self._check_answered(b"book")
