"""Clients that keep to no limit.

They made a gateway process run out of memory or descriptors. Each test starts
a process, and checks only that it lives, that its memory and descriptors are
bounded, and that it serves a request afterwards.
"""

import asyncio
import itertools
import resource

import msgspec

from test.gateway.process_serving import GatewayProcessTest
from test.gateway.serving import (
    PEER_PORT,
    READY_PORT,
    configuration,
)
from test.gateway.untrusted_clients import blocks, connect, read_state

MEMORY_MB = 96
MAX_GROWTH_KB = 48 * 1024
MAX_DESCRIPTORS = 256
# Those of the process's own files and upstreams are never exhausted.
MAX_OPEN = MAX_DESCRIPTORS - 32

MAX_BODY_BYTES = 100_000
MAX_HEADER_BYTES = 4096

METRICS_PORT = PEER_PORT + 2

CHUNKED = b"POST /safe/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
IDS = b"Acaciaspoke-Attempt-Id: q\r\nAcaciaspoke-Time-Remaining-Ms: 60000\r\n"
POST_BYTES = 60_000


class UntrustedClientsTest(GatewayProcessTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for app in self.apps:
            app.script = self._answer

    async def _answer(self, arrival):
        # Only an upstream's answer is large, the test's own request is small.
        size_bytes = 200_000 if arrival.target.startswith("/safe/large") else 1
        await arrival.answer(body=b"x" * size_bytes)

    async def start_gateway(self, settings):
        limits = {
            "max-body-bytes": MAX_BODY_BYTES,
            "max-header-bytes": MAX_HEADER_BYTES,
        }
        self.store.put("op", "config", configuration(2, limits=limits))
        settings = msgspec.structs.replace(settings, memory_mb=MEMORY_MB)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, hard))
        try:
            await super().start_gateway(settings)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        await self._wait_for_served()
        self.before = read_state(self.process.pid)

    async def _wait_for_served(self):
        async with asyncio.timeout(20):
            while True:
                try:
                    answer = await self.ask("/safe/x")
                except Exception:
                    answer = None
                if answer is not None and answer.status == 200:
                    return
                await asyncio.sleep(0.1)

    def _address(self, port):
        return f"{self.address.split(':')[0]}:{port}"

    async def _connect(self, address, count):
        connections = await connect(address, count)
        for each in connections:
            self.addCleanup(each.close)
        return connections

    async def _send(self, address, count, parts, **options):
        """Lets several clients send, then reset their connections."""
        connections = await self._connect(address, count)
        await asyncio.gather(
            *(each.send(parts(), **options) for each in connections)
        )
        self._check_bounds()
        for each in connections:
            each.reset()
        await self._check()

    def _check_bounds(self):
        self.assertIsNone(self.process.returncode, "the process has ended")
        state = read_state(self.process.pid)
        growth_kb = state.peak_kb - self.before.peak_kb
        print(
            f"{self.id().rpartition('.')[2]}: +{growth_kb} kB,"
            f" anonymous {state.anonymous_kb - self.before.anonymous_kb:+} kB,"
            f" {state.descriptors} descriptors",
            flush=True,
        )
        self.assertLess(growth_kb, MAX_GROWTH_KB)
        self.assertLess(state.descriptors, MAX_OPEN)

    async def _check(self):
        await self._wait_for_served()
        self._check_bounds()

    async def test_trailers_without_end(self):
        start = CHUNKED + IDS + b"\r\n1\r\nx\r\n0\r\n"
        await self._send(
            self.address, 8, lambda: blocks(start, b"a: " + b"b" * 60 + b"\r\n")
        )

    async def test_one_trailer_without_end(self):
        start = CHUNKED + IDS + b"\r\n0\r\na: "
        await self._send(self.address, 8, lambda: blocks(start, b"b"))

    async def test_requests_with_only_a_host(self):
        head = b"GET /safe/large HTTP/1.1\r\nHost: a\r\n\r\n"
        await self._send(self.address, 8, lambda: blocks(b"", head))

    async def test_requests_with_large_answers(self):
        head = b"GET /safe/large HTTP/1.1\r\nHost: a.example\r\n" + IDS
        await self._send(self.address, 8, lambda: blocks(b"", head + b"\r\n"))

    async def test_posts_sent_ahead(self):
        head = b"POST /safe/large HTTP/1.1\r\nHost: a.example\r\n" + IDS
        head += b"Content-Length: %d\r\n\r\n" % POST_BYTES
        post = head + b"x" * POST_BYTES
        await self._send(self.address, 24, lambda: blocks(b"", post))

    async def test_posts_without_headers_sent_ahead(self):
        head = b"POST /safe/large HTTP/1.1\r\nHost: a\r\n"
        head += b"Content-Length: %d\r\n\r\n" % POST_BYTES
        post = head + b"x" * POST_BYTES
        await self._send(self.address, 24, lambda: blocks(b"", post))

    async def test_announced_body_over_the_limit(self):
        start = b"POST /safe/x HTTP/1.1\r\nHost: a.example\r\n" + IDS
        start += b"Content-Length: 1000000000\r\n\r\n"
        await self._send(self.address, 8, lambda: blocks(start, b"x"))

    async def test_body_in_chunks_over_the_limit(self):
        chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
        await self._send(
            self.address, 8, lambda: blocks(CHUNKED + IDS + b"\r\n", chunk)
        )

    async def test_large_bodies_without_end(self):
        # Each is within the configured limit, but not all of them together.
        limits = {"max-body-bytes": 4 << 20}
        self.store.put("op", "config", configuration(3, limits=limits))
        start = b"POST /safe/x HTTP/1.1\r\nHost: a.example\r\n" + IDS
        start += b"Content-Length: %d\r\n\r\n" % (4 << 20)
        body = [start, *63 * [b"x" * 65_536]]
        await asyncio.sleep(1)
        await self._send(self.address, 40, lambda: body)

    async def test_slow_senders(self):
        head = b"POST /safe/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
        await self._send(
            self.address,
            8,
            lambda: (bytes([byte]) for byte in head),
            pause_s=1.0,
        )

    async def _hold_connections(self, address, start):
        connections = await self._connect(address, 2 * MAX_DESCRIPTORS)
        for each in connections:
            await each.send([start])
        await asyncio.sleep(1)
        self._check_bounds()
        for each in connections:
            each.close()
        await self._check()

    async def test_idle_connections(self):
        await self._hold_connections(self.address, b"")

    async def test_connections_within_a_head(self):
        await self._hold_connections(self.address, b"GET / HTTP/1.1\r\n")

    async def test_connections_within_a_body(self):
        start = CHUNKED + IDS + b"\r\n1\r\nx\r\n"
        await self._hold_connections(self.address, start)

    async def test_idle_connections_for_other_hosts(self):
        await self._hold_connections(self._address(PEER_PORT), b"")

    async def test_resets(self):
        head = b"GET /safe/large HTTP/1.1\r\nHost: a.example\r\n" + IDS
        starts = (
            *(b"", b"GET / HTTP/1.1\r\n", CHUNKED + b"\r\n1\r\nx\r\n0\r\na: b"),
            *(head + b"\r\n", 50 * (head + b"\r\n")),
        )
        for start in itertools.islice(itertools.cycle(starts), 50):
            connections = await self._connect(self.address, 4)
            for each in connections:
                await each.send([start])
                each.reset()
        await self._check()

    async def _check_other_port(self, port):
        address = self._address(port)
        head = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
        await self._send(address, 8, lambda: blocks(b"", head))
        start = CHUNKED + b"\r\n0\r\n"
        await self._send(
            address, 8, lambda: blocks(start, b"a: " + b"b" * 60 + b"\r\n")
        )

    async def test_port_for_other_hosts(self):
        await self._check_other_port(PEER_PORT)

    async def test_ready_port(self):
        await self._check_other_port(READY_PORT)

    async def test_metrics_port(self):
        await self._check_other_port(METRICS_PORT)
