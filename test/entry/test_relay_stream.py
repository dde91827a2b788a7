"""Tests of the relay of streamed answers."""

import asyncio
import unittest

import httpcore

from acaciaspoke.config.schema import Service, ServiceKind
from acaciaspoke.entry.caller import Caller
from acaciaspoke.entry.pool import Connection
from acaciaspoke.entry.relay import Ending, Timings, UpstreamCall, attempt

HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"x-request-id: r1\r\ntransfer-encoding: chunked\r\n\r\n"
)
CALL = UpstreamCall(
    request_id="r1",
    method=b"POST",
    target=b"/v1/chat/completions",
    headers=[],
    body=b"{}",
    stream=True,
)


def chunks(*parts: bytes) -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


async def relay(*writes: bytes, is_caller_slow: bool = False):
    """Relays what an upstream writes, one read for each write.

    Returns:
        The result, and the parts of the body that the caller got.
    """
    sent: list[bytes] = []

    async def send(message) -> None:
        if message.get("body"):
            sent.append(message["body"])
            if is_caller_slow and len(sent) == 1:
                await asyncio.sleep(0.05)

    served = asyncio.Event()

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"{}")
        writer.write(HEAD)
        for data in writes:
            writer.write(data)
            await asyncio.sleep(0.005)
        writer.close()
        served.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    scope = {"method": "POST", "path": "/", "query_string": b"", "headers": []}
    caller = Caller(scope, None, send, "r1")
    connection = Connection(httpcore.Origin(b"http", b"127.0.0.1", port))
    result = await attempt(
        connection,
        f"127.0.0.1:{port}",
        CALL,
        Service(kind=ServiceKind.ENGINE),
        caller,
        Timings(),
    )
    await connection.http.aclose()
    await served.wait()
    server.close()
    return result, sent


class EndMarkerTest(unittest.IsolatedAsyncioTestCase):

    async def test_marker_may_come_in_parts(self):
        # Taken for missing, a whole answer would end with an error.
        for parts in (
            [b"data: 1\n\ndata: [DONE]\n\n"],
            [b"data: 1\n\n", b"data: [D", b"ON", b"E]\n\n"],
            [b"data: 1\n\n", b"data: [DONE]", b"\r\n", b"\r\n"],
        ):
            for writes in ([chunks(*parts)], map(chunks, parts)):
                result, sent = await relay(*writes, chunks(b""))
                self.assertIs(result.ending, Ending.ANSWERED, parts)
                self.assertEqual(b"".join(sent), b"".join(parts))

    async def test_stream_without_marker_is_broken(self):
        # A caller must not take a part of an answer for the whole.
        for last in (b"data: 2\n\n", b"data: [DONE", b"data: [DONE]\n\nx"):
            result, _ = await relay(chunks(b"data: 1\n\n", last), chunks(b""))
            self.assertIs(result.ending, Ending.BROKEN, last)

    async def test_cut_connection_is_broken_even_after_the_marker(self):
        result, _ = await relay(chunks(b"data: [DONE]\n\n"))
        self.assertIs(result.ending, Ending.BROKEN)


class PartsTest(unittest.IsolatedAsyncioTestCase):

    async def test_parts_of_one_read_leave_in_one_write(self):
        # Each write is a system call and a wake-up of the caller.
        parts = [b"data: 1\n\n", b"data: 2\n\n", b"data: [DONE]\n\n"]
        _, sent = await relay(chunks(*parts), chunks(b""))
        self.assertEqual(sent, [b"".join(parts)])

    async def test_what_arrives_while_the_caller_is_slow_leaves_together(self):
        parts = [b"data: %d\n\n" % n for n in range(4)] + [b"data: [DONE]\n\n"]
        writes = [chunks(part) for part in parts]
        result, sent = await relay(*writes, chunks(b""), is_caller_slow=True)
        self.assertIs(result.ending, Ending.ANSWERED)
        self.assertEqual(sent, [parts[0], b"".join(parts[1:])])


if __name__ == "__main__":
    unittest.main()
