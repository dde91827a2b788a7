"""Tests of the byte streams to upstreams."""

import asyncio
import socket
import struct
import time
import unittest
from contextlib import asynccontextmanager

import anyio
import httpcore
import uvloop

from acaciaspoke.entry.transport import HIGH_WATER_BYTES, UpstreamBackend

# Larger than the buffers of two sockets and a stream.
FLOOD_BYTES = 32 * 1024 * 1024


@asynccontextmanager
async def connected():
    """Yields a stream and the peer's reader and writer."""
    accepted = asyncio.Queue()
    server = await asyncio.start_server(
        lambda *ends: accepted.put_nowait(ends), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    stream = await UpstreamBackend().connect_tcp("127.0.0.1", port)
    reader, writer = await accepted.get()
    try:
        yield stream, reader, writer
    finally:
        await stream.aclose()
        writer.transport.abort()
        server.close()


async def until(condition):
    with anyio.fail_after(10):
        while not condition():
            await asyncio.sleep(0.001)


class ReadTest(unittest.IsolatedAsyncioTestCase):

    async def test_received_data_is_read_before_the_end(self):
        # A response whose last bytes arrive with the end must not be truncated.
        async with connected() as (stream, _, writer):
            writer.write(b"whole answer")
            writer.close()
            await until(lambda: stream._protocol.ended)
            self.assertEqual(await stream.read(5), b"whole")
            self.assertEqual(await stream.read(100), b" answer")
            self.assertEqual(await stream.read(100), b"")

    async def test_a_reset_is_an_error_and_not_an_end(self):
        # Otherwise a response without a length would look complete after the
        # upstream crashed.
        async with connected() as (stream, _, writer):
            raw = writer.get_extra_info("socket")
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
            with self.assertRaises(httpcore.ReadError):
                await stream.read(100)

    async def test_a_timeout_loses_no_bytes(self):
        async with connected() as (stream, _, writer):
            with self.assertRaises(httpcore.ReadTimeout):
                await stream.read(100, timeout=0.01)
            writer.write(b"late")
            self.assertEqual(await stream.read(100), b"late")

    async def test_a_read_after_the_close_fails(self):
        async with connected() as (stream, _, _writer):
            await stream.aclose()
            with self.assertRaises(httpcore.ReadError):
                await stream.read(100)

    async def test_a_fast_upstream_does_not_exhaust_the_memory(self):
        # While the caller does not read, the stream is not read either.
        async with connected() as (stream, _, writer):
            writer.write(bytes(FLOOD_BYTES))
            await until(lambda: stream._protocol._read_paused)
            await asyncio.sleep(0.05)
            buffered_bytes = stream._protocol._arrived_bytes
            self.assertLess(buffered_bytes, HIGH_WATER_BYTES + 1024 * 1024)
            left_bytes = FLOOD_BYTES
            with anyio.fail_after(10):
                while left_bytes:
                    left_bytes -= len(await stream.read(64 * 1024))

    async def test_callback_runs_before_a_wait(self):
        # A token must not be kept until the next one arrives, nor be relayed
        # alone while another one has arrived already.
        async with connected() as (stream, _, writer):
            waits = []

            async def record_wait():
                waits.append(stream.written_bytes)

            stream.before_read = record_wait
            writer.write(b"abcdef")
            self.assertEqual(await stream.read(3), b"abc")
            self.assertEqual(len(waits), 1)
            self.assertEqual(await stream.read(3), b"def")
            self.assertEqual(len(waits), 1)


class WriteTest(unittest.IsolatedAsyncioTestCase):

    async def test_a_write_waits_for_a_slow_upstream(self):
        async with connected() as (stream, reader, _):
            with self.assertRaises(httpcore.WriteTimeout):
                await stream.write(bytes(FLOOD_BYTES), timeout=0.05)
            # The caller may be told "not run" only if no byte was sent.
            self.assertEqual(stream.written_bytes, FLOOD_BYTES)
            with anyio.fail_after(10):
                await reader.readexactly(FLOOD_BYTES)

    async def test_a_write_after_the_close_fails(self):
        async with connected() as (stream, _, _writer):
            await stream.aclose()
            with self.assertRaises(httpcore.WriteError):
                await stream.write(b"x")


class IdleTest(unittest.IsolatedAsyncioTestCase):

    async def test_an_idle_stream_is_readable_after_data_or_the_end(self):
        # A request on such a connection would read a foreign response, or fail
        # although the upstream works.
        for last_act in ("write", "close"):
            with self.subTest(last_act):
                async with connected() as (stream, _, writer):
                    self.assertFalse(stream.get_extra_info("is_readable"))
                    if last_act == "write":
                        writer.write(b"nobody asked")
                    else:
                        writer.close()
                    await until(lambda: stream.get_extra_info("is_readable"))


if __name__ == "__main__":
    unittest.main()


class ResetAfterDataTest(unittest.TestCase):

    def test_reset_that_comes_with_data_is_an_error(self):
        # uvloop reports it as the orderly end of the stream, so that a response
        # without a length would look complete.
        for loop_factory in (asyncio.new_event_loop, uvloop.new_event_loop):
            with self.subTest(loop_factory.__module__):
                with asyncio.Runner(loop_factory=loop_factory) as runner:
                    runner.run(self._read_cut_answer())

    async def _read_cut_answer(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
            stream = await UpstreamBackend().connect_tcp("127.0.0.1", port)
            peer, _ = server.accept()
            linger = struct.pack("ii", 1, 0)
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            peer.sendall(b"half an ans")
            peer.close()
            # Lets the event loop find the data and the reset together.
            time.sleep(0.05)
            self.assertEqual(b"half an ans", await stream.read(100))
            with self.assertRaises(httpcore.ReadError):
                await stream.read(100)
            await stream.aclose()
