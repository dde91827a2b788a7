"""Clients that keep to no limit.

They made a gateway process run out of memory or descriptors. Each test starts
a process, and checks only that it lives, that its memory and descriptors are
bounded, and that it serves a request afterwards.
"""

import asyncio
import itertools

from test.gateway.serving import PEER_PORT, READY_PORT, configuration
from test.gateway.untrusted_clients import blocks
from test.gateway.untrusted_process import (
    MAX_DESCRIPTORS,
    UntrustedClientsCase,
)

METRICS_PORT = PEER_PORT + 2

CHUNKED = b"POST /safe/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
IDS = b"Acaciaspoke-Attempt-Id: q\r\nAcaciaspoke-Time-Remaining-Ms: 60000\r\n"
POST_BYTES = 60_000


class UntrustedClientsTest(UntrustedClientsCase):

    async def test_trailers_without_end(self):
        start = CHUNKED + IDS + b"\r\n1\r\nx\r\n0\r\n"
        await self.send(
            self.address, 8, lambda: blocks(start, b"a: " + b"b" * 60 + b"\r\n")
        )

    async def test_one_trailer_without_end(self):
        start = CHUNKED + IDS + b"\r\n0\r\na: "
        await self.send(self.address, 8, lambda: blocks(start, b"b"))

    async def test_requests_with_only_a_host(self):
        head = b"GET /safe/large HTTP/1.1\r\nHost: a\r\n\r\n"
        await self.send(self.address, 8, lambda: blocks(b"", head))

    async def test_requests_with_large_answers(self):
        head = b"GET /safe/large HTTP/1.1\r\nHost: a.example\r\n" + IDS
        await self.send(self.address, 8, lambda: blocks(b"", head + b"\r\n"))

    async def test_posts_sent_ahead(self):
        head = b"POST /safe/large HTTP/1.1\r\nHost: a.example\r\n" + IDS
        head += b"Content-Length: %d\r\n\r\n" % POST_BYTES
        post = head + b"x" * POST_BYTES
        await self.send(self.address, 24, lambda: blocks(b"", post))

    async def test_posts_without_headers_sent_ahead(self):
        head = b"POST /safe/large HTTP/1.1\r\nHost: a\r\n"
        head += b"Content-Length: %d\r\n\r\n" % POST_BYTES
        post = head + b"x" * POST_BYTES
        await self.send(self.address, 24, lambda: blocks(b"", post))

    async def test_announced_body_over_the_limit(self):
        start = b"POST /safe/x HTTP/1.1\r\nHost: a.example\r\n" + IDS
        start += b"Content-Length: 1000000000\r\n\r\n"
        await self.send(self.address, 8, lambda: blocks(start, b"x"))

    async def test_body_in_chunks_over_the_limit(self):
        chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
        await self.send(
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
        await self.send(self.address, 40, lambda: body)

    async def test_slow_senders(self):
        head = b"POST /safe/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
        await self.send(
            self.address,
            8,
            lambda: (bytes([byte]) for byte in head),
            pause_s=1.0,
        )

    async def _hold_connections(self, address, start):
        connections = await self.connect(address, 2 * MAX_DESCRIPTORS)
        for each in connections:
            await each.send([start])
        await asyncio.sleep(1)
        self.check_bounds()
        for each in connections:
            each.close()
        await self.check()

    async def test_idle_connections(self):
        await self._hold_connections(self.address, b"")

    async def test_connections_within_a_head(self):
        await self._hold_connections(self.address, b"GET / HTTP/1.1\r\n")

    async def test_connections_within_a_body(self):
        start = CHUNKED + IDS + b"\r\n1\r\nx\r\n"
        await self._hold_connections(self.address, start)

    async def test_idle_connections_for_other_hosts(self):
        await self._hold_connections(self.address_at(PEER_PORT), b"")

    async def test_resets(self):
        head = b"GET /safe/large HTTP/1.1\r\nHost: a.example\r\n" + IDS
        starts = (
            *(b"", b"GET / HTTP/1.1\r\n", CHUNKED + b"\r\n1\r\nx\r\n0\r\na: b"),
            *(head + b"\r\n", 50 * (head + b"\r\n")),
        )
        for start in itertools.islice(itertools.cycle(starts), 50):
            connections = await self.connect(self.address, 4)
            for each in connections:
                await each.send([start])
                each.reset()
        await self.check()

    async def _check_other_port(self, port):
        address = self.address_at(port)
        head = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
        await self.send(address, 8, lambda: blocks(b"", head))
        start = CHUNKED + b"\r\n0\r\n"
        await self.send(
            address, 8, lambda: blocks(start, b"a: " + b"b" * 60 + b"\r\n")
        )

    async def test_port_for_other_hosts(self):
        await self._check_other_port(PEER_PORT)

    async def test_ready_port(self):
        await self._check_other_port(READY_PORT)

    async def test_metrics_port(self):
        await self._check_other_port(METRICS_PORT)
