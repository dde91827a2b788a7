"""Requests that are refused before their whole body has arrived."""

import asyncio
from unittest import mock

from acaciaspoke.util import http_protocol
from test.gateway.serving import GatewayTest, configuration

IDLE_S = 0.3
MAX_BODY_BYTES = 1000
MAX_HEADER_BYTES = 2000


class RefusedUploadTest(GatewayTest):
    """The connection was reset while the caller sent the rest of the body."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        limits = {
            "idle-timeout-ms": IDLE_S * 1000,
            "max-body-bytes": MAX_BODY_BYTES,
            "max-header-bytes": MAX_HEADER_BYTES,
        }
        self.store.put("op", "config", configuration(2, limits=limits))
        await self.eventually(
            lambda: self.gateway.app.configuration.version == 2
        )
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )

    async def asyncTearDown(self):
        self.writer.close()
        await super().asyncTearDown()

    def _send_head(self, path, *lines):
        headers = [f"{name}: {text}" for name, text in self.headers().items()]
        text = "\r\n".join([f"POST {path} HTTP/1.1", *headers, *lines, "", ""])
        self.writer.write(text.encode())

    async def _send_slowly(self, *parts):
        for part in parts:
            await asyncio.sleep(2 * IDLE_S)
            self.writer.write(part)
            await self.writer.drain()

    async def _answer(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        length = head.split(b"content-length: ")[1].split(b"\r\n")[0]
        await self.reader.readexactly(int(length))
        return int(head.split(b" ")[1]), head

    async def _check_next_request(self):
        self._send_head("/safe/x", "content-length: 1")
        self.writer.write(b"x")
        self.assertEqual(200, (await self._answer())[0])

    async def test_body_that_is_too_large(self):
        self._send_head("/safe/x", f"content-length: {2 * MAX_BODY_BYTES}")
        await self._send_slowly(*[b"x" * (MAX_BODY_BYTES // 2)] * 4)
        self.assertEqual(413, (await self._answer())[0])
        await self._check_next_request()

    async def test_request_without_a_route(self):
        self._send_head("/none/x", "transfer-encoding: chunked")
        await self._send_slowly(b"1\r\nx\r\n", b"1\r\nx\r\n", b"0\r\n\r\n")
        self.assertEqual(404, (await self._answer())[0])
        await self._check_next_request()

    async def test_idle_time_counts_from_the_end_of_the_body(self):
        self._send_head("/none/x", "content-length: 2")
        await self._send_slowly(b"x", b"x")
        self.assertEqual(404, (await self._answer())[0])
        async with asyncio.timeout(10 * IDLE_S):
            self.assertEqual(b"", await self.reader.read())

    async def test_request_without_a_route_while_the_host_stops(self):
        self.gateway.drain.request_stop()
        self._send_head("/none/x", "content-length: 3")
        await self._send_slowly(b"x", b"x", b"x")
        self.assertEqual(404, (await self._answer())[0])
        self.assertEqual(b"", await self.reader.read())
        self.writer.close()
        await self.tasks[-1]

    async def test_caller_that_wants_the_connection_closed(self):
        self._send_head("/none/x", "content-length: 3", "connection: close")
        await self._send_slowly(b"x", b"x", b"x")
        self.assertEqual(404, (await self._answer())[0])
        self.assertEqual(b"", await self.reader.read())

    async def test_upload_as_the_listener_closes(self):
        self._send_head("/none/x", "content-length: 3")
        self.assertEqual(404, (await self._answer())[0])
        self._protocol().shutdown()
        await self._send_slowly(b"x", b"x", b"x")
        self.assertEqual(b"", await self.reader.read())

    async def test_head_that_is_too_large(self):
        note = "x-note: " + "n" * MAX_HEADER_BYTES
        self._send_head("/safe/x", note, "content-length: 3")
        await self._send_slowly(b"x", b"x", b"x")
        self.assertEqual(431, (await self._answer())[0])
        self.assertEqual(b"", await self.reader.read())

    async def test_request_after_the_refused_one_does_not_run(self):
        self._send_head("/none/x", "content-length: 1", "connection: close")
        self.assertEqual(404, (await self._answer())[0])
        self.writer.write(b"x")
        self._send_head("/safe/x", "content-length: 0")
        self.assertEqual(b"", await self.reader.read())
        await asyncio.sleep(IDLE_S)
        self.assertFalse([app.arrivals for app in self.apps if app.arrivals])

    async def test_invalid_body_that_is_also_too_large(self):
        # The second refusal was written after the end of the connection.
        self._send_head("/safe/x", "transfer-encoding: chunked")
        size = b"%x" % (2 * MAX_BODY_BYTES)
        self.writer.write(size + b"\r\n" + b"x" * 2 * MAX_BODY_BYTES + b"!!")
        with self.assertNoLogs("uvicorn.error", "ERROR"):
            self.assertEqual(400, (await self._answer())[0])
            self.assertEqual(b"", await self.reader.read())
            await self.eventually(lambda: not self.gateway.app.open_requests)

    async def test_upload_without_end(self):
        with mock.patch.object(http_protocol, "LINGER_S", IDLE_S):
            self._send_head(
                "/none/x", "content-length: 99", "connection: close"
            )
            self.assertEqual(404, (await self._answer())[0])
            with self.assertRaises(ConnectionError):
                await self._send_slowly(*[b"x"] * 9)

    def _protocol(self):
        peer = self.writer.get_extra_info("sockname")
        (transport,) = (
            transport
            for transport in asyncio.get_running_loop()._transports.values()
            if transport.get_extra_info("peername") == peer
        )
        return transport.get_protocol()
