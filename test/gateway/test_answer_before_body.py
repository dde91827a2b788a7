"""Answers that are sent before the body of their request has been read."""

import asyncio
import contextlib

from test.gateway.raw_connection import RawConnectionTest

ANSWER_BYTES = 8 * 1024 * 1024
BODY_BYTES = 200_000
PIECES = 10
PIECE_S = 0.03

# Longer than a stop waits for the rest of a head.
STOPPING_S = 4.0

# Fits into the buffers of a connection.
SHORT_ANSWER_BYTES = 500_000
READING_DELAY_S = 0.5


class AnswerBeforeBodyTest(RawConnectionTest):
    """The connection was reset as it was closed, and the answer lost."""

    def _write_head(self, path, length, *lines):
        self.writer.write(self.head(path, f"content-length: {length}", *lines))

    async def _send_body(self):
        with contextlib.suppress(ConnectionError):
            for _ in range(PIECES):
                self.writer.write(b"x" * (BODY_BYTES // PIECES))
                await self.writer.drain()
                await asyncio.sleep(PIECE_S)

    async def test_request_that_asks_for_the_end_of_its_connection(self):
        self._write_head("/gone/x", BODY_BYTES, "connection: close")
        await self._send_body()
        self.assertEqual(404, (await self.answer()).status)
        self.assertEqual(b"", await self.reader.read())

    async def test_request_behind_one_with_a_long_answer(self):
        async def answer(arrival):
            await asyncio.sleep(0.3)
            await arrival.answer(body=b"y" * ANSWER_BYTES)

        for app in self.apps:
            app.script = answer
        self.gateway.drain.request_stop()
        self._write_head("/safe/x", 0)
        self._write_head("/gone/x", BODY_BYTES)
        sending = asyncio.create_task(self._send_body())
        first = await self.answer()
        self.assertEqual((200, ANSWER_BYTES), (first.status, len(first.body)))
        self.assertEqual(404, (await self.answer()).status)
        self.assertEqual(b"", await self.reader.read())
        await sending

    async def test_request_before_a_head_that_is_not_complete_at_a_stop(self):
        async def answer(arrival):
            await asyncio.sleep(STOPPING_S)
            await arrival.answer(body=b"y" * SHORT_ANSWER_BYTES)

        async def send_head():
            with contextlib.suppress(ConnectionError):
                while True:
                    self.writer.write(b"n")
                    await self.writer.drain()
                    await asyncio.sleep(PIECE_S)

        for app in self.apps:
            app.script = answer
        self._write_head("/safe/x", 0)
        self.writer.write(b"POST /safe/x HTTP/1.1\r\nx-note: ")
        sending = asyncio.create_task(send_head())
        self.gateway.drain.request_stop()
        # A reset discards what the caller has not read yet.
        await asyncio.sleep(STOPPING_S + READING_DELAY_S)
        first = await self.answer()
        self.assertEqual(
            (200, SHORT_ANSWER_BYTES), (first.status, len(first.body))
        )
        self.assertEqual(b"", await self.reader.read())
        sending.cancel()
