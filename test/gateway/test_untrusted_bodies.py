"""Bodies of legal size that together need more memory than a process has."""

import asyncio
import itertools

from test.gateway.serving import configuration
from test.gateway.untrusted_process import UntrustedClientsCase

MAX_BODY_BYTES = 4 << 20
PIECE_BYTES = 64 * 1024

HEAD = b"POST /safe/x HTTP/1.1\r\nHost: a.example\r\n"
HEAD += b"Acaciaspoke-Attempt-Id: q\r\n"
HEAD += b"Acaciaspoke-Time-Remaining-Ms: 60000\r\n"


def post(size_bytes, sent_bytes):
    """Returns the parts of a post that sends only some of its body."""
    start = HEAD + b"Content-Length: %d\r\n\r\n" % size_bytes
    return [start, *(sent_bytes // PIECE_BYTES) * [b"x" * PIECE_BYTES]]


class UntrustedBodiesTest(UntrustedClientsCase):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        limits = {"max-body-bytes": MAX_BODY_BYTES}
        self.store.put("op", "config", configuration(3, limits=limits))
        await asyncio.sleep(1)

    async def test_upload_beside_stalled_bodies(self):
        # Each stalled body was smaller than the upload, which was refused.
        stalled = await self.connect(self.address, 60)
        parts = post(MAX_BODY_BYTES, 1 << 20)
        await asyncio.gather(*(each.send(parts) for each in stalled))
        await asyncio.sleep(2)
        self.check_bounds()
        await self.wait_for_served(bytes(MAX_BODY_BYTES))
        self.check_bounds()

    async def test_whole_bodies_that_wait_for_answers(self):
        async def answer_late(arrival):
            await asyncio.sleep(3)
            await arrival.answer(body=b"x")

        for app in self.apps:
            app.script = answer_late
        parts = post(MAX_BODY_BYTES, MAX_BODY_BYTES)
        await self.send(self.address, 40, lambda: parts)

    async def test_bodies_in_small_pieces_that_stay_open(self):
        # Pieces of 64 bytes, with chunks of two bytes; most never end.
        start = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        piece = 9 * b"2\r\nxx\r\n"
        parts = (start, *itertools.repeat(piece, 20_000))
        connections = await self.connect(self.address, 40)
        await asyncio.gather(*(each.send(parts) for each in connections))
        self.check_bounds()
        await self.check()

    async def test_small_chunks_sent_ahead(self):
        # Requests of two-byte chunks wait behind one that is not answered.
        async def answer_late(arrival):
            await asyncio.sleep(3)
            await arrival.answer(body=b"x")

        for app in self.apps:
            app.script = answer_late
        first = HEAD + b"Content-Length: 1\r\n\r\nx"
        start = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        chunks = 9_000 * b"2\r\nxx\r\n"
        parts = (first + start, *itertools.repeat(chunks, 40))
        await self.send(self.address, 24, lambda: parts)
