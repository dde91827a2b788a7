"""Tests of acaciaspoke.util.http."""

import asyncio
import unittest

from acaciaspoke.util.http import HttpClient, HttpError


class TimedOutRequestTest(unittest.IsolatedAsyncioTestCase):

    async def test_undelivered_data_of_a_timed_out_request_is_discarded(self):
        # Data held up by a partition was delivered when the partition healed:
        # an order arrived seconds after the lease of its sender had expired.
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
