"""Streams and heads that upstreams break off, and what follows them."""

import asyncio
import itertools

import httpcore

from standins.worker import ID_HEADER, SEAL_HEADER
from test.gateway.serving import GatewayTest

EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n")

ERROR_HEAD = b"HTTP/1.1 500 Error\r\ncontent-length: 5\r\n\r\n"

_bodies = map(b"body %d".__mod__, itertools.count())

NOT_EXECUTED = {"acaciaspoke-not-executed": "1"}


def _unframed_head(arrival, **headers):
    """Sends the head of a response that ends with its connection."""
    arrival.head(
        200,
        {
            ID_HEADER: arrival.id,
            SEAL_HEADER: f"seal-{arrival.id}",
            "content-type": "text/event-stream",
            "connection": "close",
            **headers,
        },
    )


async def _send(arrival, *parts):
    for part in parts:
        arrival.writer.write(part)
        await arrival.writer.drain()
        await asyncio.sleep(0.02)


async def _break_off(arrival):
    await arrival.stream(*EVENTS[:1], b"id: 2\nda", end=False)
    await asyncio.sleep(0.05)
    arrival.reset()


class _StreamTest(GatewayTest):

    def _set_script(self, script):
        for engine in self.engines:
            engine.script = script

    async def _read(self, path="/resume/x"):
        """Returns what a caller receives, and whether it looks complete."""
        received = bytearray()
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                async with pool.stream(
                    "POST",
                    f"http://{self.address}{path}",
                    headers=self.headers(Acaciaspoke_Model="m1"),
                    # Requests of which several are lost are blocked.
                    content=next(_bodies),
                    extensions={"target": path.encode()},
                ) as response:
                    async for data in response.aiter_stream():
                        received += data
            except httpcore.RemoteProtocolError:
                return bytes(received), False
        return bytes(received), True


class ErrorAfterBreakTest(_StreamTest):
    """A stream breaks off, and the next engine answers with an error."""

    async def _read_with(self, answer):
        """Returns what a caller gets if the next engine sends ``answer``."""

        async def script(arrival):
            is_resumed = "last-event-id" in arrival.headers
            await (answer if is_resumed else _break_off)(arrival)

        self._set_script(script)
        return await self._read()

    async def test_error_is_not_part_of_the_stream(self):
        for status, headers, sealed in (
            (500, {}, True),
            (500, {}, False),
            (404, {}, True),
            (503, NOT_EXECUTED, False),
            (200, {}, False),
            (200, {"content-type": "application/json"}, True),
        ):

            async def answer(
                arrival, status=status, headers=headers, sealed=sealed
            ):
                await arrival.answer(
                    status, b'{"error": "x"}\n\n', headers, sealed=sealed
                )

            with self.subTest(status=status, headers=headers, sealed=sealed):
                received, is_complete = await self._read_with(answer)
                self.assertEqual(EVENTS[0], received)
                self.assertFalse(is_complete)

    async def test_head_in_the_body_is_not_part_of_the_stream(self):
        async def answer(arrival):
            _unframed_head(arrival)
            await _send(arrival, ERROR_HEAD + b"error")
            arrival.writer.close()

        received, is_complete = await self._read_with(answer)
        self.assertEqual(EVENTS[0], received)
        self.assertFalse(is_complete)

    async def test_events_that_the_caller_has_are_not_repeated(self):
        async def answer(arrival):
            await arrival.stream(*EVENTS)

        received, is_complete = await self._read_with(answer)
        self.assertEqual(EVENTS[0], received)
        self.assertFalse(is_complete)

    async def test_head_without_an_end(self):
        async def answer(arrival):
            arrival.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n")
            await arrival.writer.drain()
            arrival.writer.close()

        received, is_complete = await self._read_with(answer)
        self.assertEqual(EVENTS[0], received)
        self.assertFalse(is_complete)


class UnframedStreamTest(_StreamTest):
    """Streams without length and chunks, which end with their connection."""

    async def _read_parts(self, *parts, path="/stream/x"):
        async def script(arrival):
            last = int(arrival.headers.get("last-event-id", 0))
            if last:
                await arrival.stream(*EVENTS[last:])
                return
            _unframed_head(arrival)
            await _send(arrival, *parts)
            arrival.writer.close()

        self._set_script(script)
        return await self._read(path)

    async def test_stream_that_ends_after_an_event_is_complete(self):
        self.assertEqual(
            (b"".join(EVENTS), True), await self._read_parts(*EVENTS)
        )

    async def test_stream_that_ends_inside_an_event_is_broken_off(self):
        self.assertEqual(
            (EVENTS[0], False),
            await self._read_parts(EVENTS[0], b"id: 2\ndata: b\n"),
        )

    async def test_stream_that_ends_inside_an_event_resumes(self):
        self.assertEqual(
            (b"".join(EVENTS), True),
            await self._read_parts(EVENTS[0], b"id: 2\n", path="/resume/x"),
        )

    async def test_head_between_events_is_not_forwarded(self):
        self.assertEqual(
            (EVENTS[0], False),
            await self._read_parts(EVENTS[0], ERROR_HEAD, EVENTS[1]),
        )


class UnfinishedHeadTest(_StreamTest):
    """A worker closes or resets the connection inside the head."""

    async def test_caller_gets_no_success(self):
        model = {"Acaciaspoke_Model": "m1"}
        for path, workers, headers in (
            ("/unsafe/x", self.apps, {}),
            ("/safe/x", self.apps, {}),
            ("/stream/x", self.engines, model),
        ):
            for lines in (1, 3, 5):
                for is_reset in (False, True):
                    with self.subTest(path=path, lines=lines, reset=is_reset):
                        self._break_off_in_head(workers, lines, is_reset)
                        answer = await self.ask(
                            path, body=next(_bodies), **headers
                        )
                        self.assertEqual(502, answer.status)

    def _break_off_in_head(self, workers, lines, is_reset):
        async def script(arrival):
            head = [
                "HTTP/1.1 200 OK",
                f"{ID_HEADER}: {arrival.id}",
                f"{SEAL_HEADER}: seal",
                "content-type: text/event-stream",
                "content-length: 0",
            ]
            await _send(arrival, "\r\n".join([*head[:lines], ""]).encode())
            if is_reset:
                arrival.reset()
            else:
                arrival.writer.close()

        for worker in workers:
            worker.script = script
        # The next request is sent at once, as if this one had not failed.
        for upstream in self.gateway._dispatcher.fleet.upstreams.values():
            upstream.failures, upstream.paused_until_s = 0, 0.0
