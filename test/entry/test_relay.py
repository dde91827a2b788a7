"""Tests of single attempts, with generated responses and over sockets."""

import asyncio
import unittest
from unittest import mock

import anyio
import httpcore
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciaspoke.config.schema import Service, ServiceKind
from acaciaspoke.entry.caller import Caller
from acaciaspoke.entry.pool import Connection, ConnectionPool
from acaciaspoke.entry.relay import Ending, TokenTimings, UpstreamCall, attempt
from test.entry.serving import FakeCaller

ADDRESS = "127.0.0.1:1"
EVENTS = b'data: {"n": 1}\n\ndata: [DONE]\n\n'


class FakeStream(httpcore.AsyncNetworkStream):
    """Returns the parts of a response, one per read, and then the end."""

    def __init__(self, parts):
        self.parts = parts
        self.before_read = None
        self.written_bytes = 0
        self.closed = False

    async def read(self, max_bytes, timeout=None):
        if self.before_read is not None:
            await self.before_read()
        return self.parts.pop(0) if self.parts else b""

    async def write(self, buffer, timeout=None):
        self.written_bytes += len(buffer)

    async def aclose(self):
        self.closed = True

    def get_extra_info(self, info):
        return bool(self.parts) if info == "is_readable" else None


class FakeBackend(httpcore.AsyncNetworkBackend):
    """Connects to a fake upstream with a prepared response."""

    parts: list[bytes] = []

    def __init__(self):
        self.stream = None

    async def connect_tcp(self, *_, **__):
        self.stream = FakeStream(type(self).parts)
        return self.stream

    def limit_reads(self, readable_bytes):
        """Prepared responses need no limit."""


class ResponseCase:
    """A generated response of an upstream, with its expected properties."""

    def __init__(
        self, echo, framing, status, body, headers, surplus, sent_percent
    ):
        self.matches_request = echo == [b"r1"]
        self.body = body
        self.surplus = surplus
        lines = [b"HTTP/1.1 %d X" % status, *headers]
        lines += [b"X-Request-Id: " + name for name in echo]
        if framing == "length":
            lines.append(b"content-length: %d" % len(body))
        elif framing == "chunked":
            lines.append(b"Transfer-Encoding: chunked")
            half = len(body) // 2
            parts = [p for p in (body[:half], body[half:]) if p]
            body = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
            body += b"0\r\n\r\n"
        whole = b"\r\n".join([*lines, b"", body])
        sent_size = len(whole) * sent_percent // 100
        self.is_whole = sent_size == len(whole)
        self.bytes = whole[:sent_size] + (surplus if self.is_whole else b"")


RESPONSES = st.builds(
    ResponseCase,
    st.sampled_from([[b"r1"], [b"r1"], [b"r2"], [], [b"r1", b"r2"]]),
    st.sampled_from(["length", "chunked", "none"]),
    st.sampled_from([200, 200, 429, 500, 307]) | st.integers(100, 999),
    st.sampled_from([EVENTS, EVENTS[:20], b""]) | st.binary(max_size=30),
    st.lists(
        st.sampled_from(
            [
                b"Content-Type: text/event-stream",
                b"Connection: close",
                b"X-Odd: a\x01\x7f",
                b"Content-Length: 3",
                b"Date : x",
            ]
        ),
        max_size=2,
        unique=True,
    ),
    st.sampled_from([b"", b"", b"HTTP/1.1 200 X\r\n\r\n", b"\0"]),
    st.sampled_from([100, 100, 99, 90, 50]) | st.integers(0, 100),
)


def split(data: bytes, size: int) -> list[bytes]:
    return [data[i : i + size] for i in range(0, len(data), size)]


class FuzzTest(unittest.TestCase):

    async def attempt(self, parts, stream):
        fake = FakeCaller()
        caller = Caller(fake.scope, fake.receive, fake.send, "r1")
        call = UpstreamCall(
            request_id="r1",
            method=b"POST",
            target=b"/",
            headers=[],
            body=b"{}",
            stream=stream,
        )
        with (
            mock.patch("acaciaspoke.entry.pool.UpstreamBackend", FakeBackend),
            mock.patch.object(FakeBackend, "parts", parts),
        ):
            pool = ConnectionPool(ADDRESS)
            connection = await pool.acquire()
            service = Service(kind="engine", timeout_s=5)
            with anyio.fail_after(10):
                result = await attempt(
                    connection, ADDRESS, call, service, caller, TokenTimings()
                )
        clean = result.ending in (Ending.ANSWERED, Ending.REFUSED)
        await pool.release(connection, clean=clean)
        return result, fake, connection, await pool.acquire()

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(RESPONSES, st.booleans(), st.sampled_from([1, 7, 1000]))
    def test_any_response(self, case, stream, size):
        """Guards against wrong, truncated or left-over responses (I3)."""
        parts = split(case.bytes, size)
        result, fake, connection, taken = asyncio.run(
            self.attempt(parts, stream)
        )
        if result.ending is Ending.ANSWERED or fake.status:
            self.assertTrue(case.matches_request)
        if result.ending is Ending.ANSWERED:
            if fake.complete:
                self.assertEqual(fake.body, result.body or fake.body)
                self.assertIn(b"data: [DONE]", fake.body)
            elif result.status not in (204, 304):
                # The generated length may differ from that of the body.
                sent = case.body + case.surplus
                self.assertTrue(sent.startswith(result.body))
                self.assertTrue(case.is_whole or len(result.body) == 3)
        else:
            self.assertFalse(fake.complete)
        if taken is not connection:
            self.assertTrue(connection.stream.closed)
        else:
            self.assertTrue(case.matches_request)
            self.assertFalse(connection.stream.parts)
            self.assertFalse(connection.has_trailing_data)


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
    """Relays the writes of an upstream, one read for each write.

    Returns:
        The result, and the parts of the body that the caller received.
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
        TokenTimings(),
    )
    await connection.http.aclose()
    await served.wait()
    server.close()
    return result, sent


class EndMarkerTest(unittest.IsolatedAsyncioTestCase):

    async def test_marker_split_across_parts(self):
        # If the marker is not found, a complete response ends with an error.
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
        # A caller must not take a truncated response for a complete one.
        for last in (b"data: 2\n\n", b"data: [DONE", b"data: [DONE]\n\nx"):
            result, _ = await relay(chunks(b"data: 1\n\n", last), chunks(b""))
            self.assertIs(result.ending, Ending.BROKEN, last)

    async def test_cut_connection_after_the_marker_is_broken(self):
        result, _ = await relay(chunks(b"data: [DONE]\n\n"))
        self.assertIs(result.ending, Ending.BROKEN)


class PartsTest(unittest.IsolatedAsyncioTestCase):

    async def test_parts_of_one_read_are_relayed_in_one_write(self):
        # Each write costs a system call and wakes the caller.
        parts = [b"data: 1\n\n", b"data: 2\n\n", b"data: [DONE]\n\n"]
        _, sent = await relay(chunks(*parts), chunks(b""))
        self.assertEqual(sent, [b"".join(parts)])

    async def test_parts_received_during_a_slow_write_are_relayed_together(
        self,
    ):
        parts = [b"data: %d\n\n" % n for n in range(4)] + [b"data: [DONE]\n\n"]
        writes = [chunks(part) for part in parts]
        result, sent = await relay(*writes, chunks(b""), is_caller_slow=True)
        self.assertIs(result.ending, Ending.ANSWERED)
        self.assertEqual(sent, [parts[0], b"".join(parts[1:])])


if __name__ == "__main__":
    unittest.main()
