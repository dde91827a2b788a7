"""Tests of acaciaspoke.util.server."""

import asyncio
import socket
import time
import unittest

import anyio

from acaciaspoke.util.server import HttpServer


async def _answer(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"answer"})


def _free_address():
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()


class StopTest(unittest.IsolatedAsyncioTestCase):

    async def test_connection_accepted_as_the_listener_closes(self):
        # It was kept open, so that the process ran until it was killed.
        address = _free_address()
        server = HttpServer(_answer, f"{address[0]}:{address[1]}")
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.serve)
            server.stop()
            # The listener becomes readable while the server's next check of
            # the stop is due.
            with socket.create_connection(address) as client:
                time.sleep(0.2)
                started_s = time.monotonic()
                client.setblocking(False)
                loop = asyncio.get_running_loop()
                with anyio.fail_after(2.0):
                    self.assertEqual(b"", await loop.sock_recv(client, 1))
        self.assertLess(time.monotonic() - started_s, 2.0)

    async def test_first_request_that_is_on_its_way_at_a_stop(self):
        # The connection was closed: the caller got no answer and no refusal.
        address = _free_address()
        server = HttpServer(_answer, f"{address[0]}:{address[1]}")
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.serve)
            reader, writer = await asyncio.open_connection(*address)
            server.stop()
            await anyio.sleep(0.2)
            writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            with anyio.fail_after(2.0):
                self.assertIn(b"answer", await reader.read())
            writer.close()
