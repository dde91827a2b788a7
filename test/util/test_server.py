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


class StopTest(unittest.IsolatedAsyncioTestCase):

    async def test_connection_accepted_as_the_listener_closes(self):
        # It was kept open, so that the process ran until it was killed.
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            address = free.getsockname()
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
