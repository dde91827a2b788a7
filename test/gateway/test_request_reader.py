"""No input makes a connection hold more than its bounds."""

import asyncio
import contextlib
import itertools
import logging
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from uvicorn import Config
from uvicorn.server import ServerState

from acaciaspoke.gateway.protocol import limited_protocol
from acaciaspoke.gateway.types import CallerLimits
from acaciaspoke.util.connections import ConnectionBounds, ConnectionLimiter
from acaciaspoke.util.connections.reading import PART_BYTES
from acaciaspoke.util.http_protocol import READ_BYTES
from test.util.fake_transport import FakeTransport

LIMITS = CallerLimits(max_header_bytes=2048)
HASTY_LIMITS = CallerLimits(header_timeout_s=0.02)
BOUNDS = ConnectionBounds(
    max_pipelined=4, max_queued_bytes=16_384, max_trailer_bytes=2048
)
SHORTEST_REQUEST = b"GET / HTTP/1.1\n\n"
MAX_PIPELINED = BOUNDS.max_pipelined + PART_BYTES // len(SHORTEST_REQUEST)
# The last part may bring that many requests, whose fixed cost counts, or the
# last piece of a body.
MAX_QUEUED_BYTES = BOUNDS.max_queued_bytes + READ_BYTES + MAX_PIPELINED * 4096

CHUNKED = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
STARTS = st.sampled_from([b"", CHUNKED, CHUNKED + b"0\r\n"])
TEXTS = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        SHORTEST_REQUEST,
        b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 6000\r\n\r\n",
        CHUNKED,
        b"POST / HTTP/1.1\r\nUpgrade: a\r\nConnection: upgrade\r\n"
        b"Content-Length: 9\r\n\r\n",
        b"CONNECT a:1 HTTP/1.1\r\nContent-Length: 99\r\n\r\n",
        *(b"0\r\n", b"1\r\nx\r\n", b"ff\r\n" + b"x" * 255 + b"\r\n"),
        *(b"a: b\r\n", b"a: ", b"b" * 100, b"x" * 6000, b"\r\n", b"1;"),
        b"Expect: 100-continue\r\n",
    ]
)
PIECES = st.tuples(
    st.one_of(TEXTS, st.binary(max_size=50)),
    st.sampled_from([1, 1, 3, 100, 3000]),
)


class RequestReaderTest(unittest.TestCase):

    def setUp(self):
        logger = logging.getLogger("uvicorn.error")
        self.addCleanup(logger.setLevel, logger.level)
        logger.setLevel(logging.CRITICAL)

    @settings(max_examples=200, deadline=None)
    @given(STARTS, st.lists(PIECES, max_size=12), st.booleans())
    def test_held_input_is_bounded(self, start, pieces, answers):
        data = b"".join(text * count for text, count in pieces)[: 1 << 20]
        data = start + data
        asyncio.run(_Reader(self, answers).feed(data))

    def test_trailers_are_no_headers(self):
        # They were added to the headers that were passed on.
        data = (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\nx\r\n0\r\nacaciaspoke-key: a\r\n\r\n"
        )
        reader = _Reader(self, True)
        asyncio.run(reader.feed(data))
        self.assertEqual([(b"transfer-encoding", b"chunked")], reader.headers)

    def test_sixteen_requests_ahead_are_all_answered(self):
        reader = _Reader(self, True, ConnectionBounds())
        asyncio.run(reader.feed(17 * b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
        self.assertEqual(17, reader.transport.written.count(b"200 OK"))

    def test_hundreds_of_requests_ahead_are_all_answered(self):
        # Those beyond the bound wait unparsed, and are not lost.
        reader = _Reader(self, True)
        asyncio.run(reader.feed(300 * b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
        self.assertEqual(300, reader.transport.written.count(b"200 OK"))

    def test_head_that_waits_unparsed_does_not_time_out(self):
        # The bound is reached within a head, whose rest waits here.
        reader = _Reader(self, False, limits=HASTY_LIMITS)
        data = 300 * b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        asyncio.run(reader.feed(data, wait_s=5 * HASTY_LIMITS.header_timeout_s))
        self.assertEqual(300, reader.transport.written.count(b"200 OK"))


class _Reader:
    """A connection to an application that answers, or never does."""

    def __init__(self, test, answers, bounds=BOUNDS, limits=LIMITS):
        self._test = test
        self._limits = limits
        self._may_answer = asyncio.Event()
        if answers:
            self._may_answer.set()
        self._limiter = ConnectionLimiter(bounds)
        self._bounds = bounds
        self.transport = FakeTransport()
        self.headers = []

    async def _app(self, scope, receive, send):
        await self._may_answer.wait()
        while (await receive()).get("more_body"):
            pass
        self.headers = list(scope["headers"])
        start = {"type": "http.response.start", "status": 200, "headers": []}
        await send(start)
        await send({"type": "http.response.body", "body": b""})

    async def feed(self, data, wait_s=None):
        """Sends data as fast as it is taken, and checks the bounds.

        Args:
            data: The data.
            wait_s: Time after the first part until the application answers.
        """
        config = Config(
            self._app,
            access_log=False,
            interface="asgi3",
            log_config=None,
            proxy_headers=False,
            ws="none",
        )
        protocol = limited_protocol(lambda: self._limits, self._limiter)(
            config, ServerState(), {}
        )
        protocol.connection_made(self.transport)
        for start in itertools.count(0, READ_BYTES):
            part = data[start : start + READ_BYTES]
            if part and self.transport.is_reading:
                protocol.data_received(part)
            self._check(protocol)
            if wait_s is not None and not start:
                await asyncio.sleep(wait_s)
                self._may_answer.set()
            for _ in range(400):
                await asyncio.sleep(0)
                self._check(protocol)
            if not part:
                break
        protocol.connection_lost(None)
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._test.assertEqual(0, self._limiter.held_bytes)

    def _check(self, protocol):
        test = self._test
        test.assertLessEqual(len(protocol._input), READ_BYTES)
        if self._bounds is BOUNDS:
            test.assertLessEqual(len(protocol.pipeline), MAX_PIPELINED)
            test.assertLessEqual(protocol._pipeline_bytes(), MAX_QUEUED_BYTES)
        head_bytes = sum(len(n) + len(v) for n, v in protocol.headers or ())
        test.assertLessEqual(head_bytes, LIMITS.max_header_bytes + PART_BYTES)
        if protocol.cycle is not None:
            test.assertLessEqual(len(protocol.cycle.body), 2 * READ_BYTES + 1)
        test.assertLessEqual(
            protocol._unframed_bytes, BOUNDS.max_trailer_bytes + PART_BYTES
        )
