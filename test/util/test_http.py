"""Tests of acaciaspoke.util.http."""

import asyncio
import unittest

from acaciaspoke.util.http import HttpClient, HttpError


class GivenUpRequestTest(unittest.IsolatedAsyncioTestCase):

    async def test_request_that_is_given_up_is_discarded(self):
        # Bytes that a partition holds up would otherwise be delivered when it
        # heals: an order then came seconds after its sender's lease had ended.
        ended = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            try:
                ended.set_result(await reader.read())
            except ConnectionResetError as error:
                ended.set_result(error)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        async with (
            server,
            HttpClient(address, 0.1, reset_on_close=True) as client,
        ):
            with self.assertRaises(HttpError):
                await client.request("GET", "/")
            self.assertIsInstance(await ended, ConnectionResetError)
