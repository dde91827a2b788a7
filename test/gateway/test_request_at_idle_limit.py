"""Requests on connections that have been idle for as long as they may be."""

import asyncio
import socket
import time

from acaciaspoke.gateway.process import DRAIN_NOTICE_S
from acaciaspoke.gateway.protocol import MAX_HEADER_WAIT_S
from test.gateway.serving import GatewayTest, configuration

IDLE_S = 0.4


class RequestAtIdleLimitTest(GatewayTest):
    """The connection was closed without an answer."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self._set_idle_limit(2, IDLE_S)
        self.raw = socket.socket()
        self.addCleanup(self.raw.close)
        self.raw.setblocking(False)
        host, port = self.address.split(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.raw, (host, int(port)))

    async def _set_idle_limit(self, version, idle_s):
        await self._apply_limits(version, {"idle-timeout-ms": idle_s * 1000})

    async def _apply_limits(self, version, limits):
        row = configuration(version, limits=limits)
        self.store.put("op", "config", row)
        await self.eventually(
            lambda: self.gateway.app.configuration.version == version
        )

    def _request(self):
        headers = [f"{name}: {text}" for name, text in self.headers().items()]
        lines = ["GET /safe/x HTTP/1.1", *headers, "", ""]
        return "\r\n".join(lines).encode()

    def _send(self):
        self.raw.send(self._request())

    async def _check_answer(self):
        received = await asyncio.get_running_loop().sock_recv(self.raw, 9999)
        self.assertIn(b" 200 ", received)

    async def test_limit_that_was_raised_while_the_connection_was_idle(self):
        self._send()
        await self._check_answer()
        await self._set_idle_limit(3, 20 * IDLE_S)
        await asyncio.sleep(2 * IDLE_S)
        self._send()
        await self._check_answer()

    async def test_request_that_had_begun_before_the_last_answer(self):
        # Only the limit of a head applies to it.
        later = self._request()
        self.raw.send(self._request() + later[:30])
        await self._check_answer()
        await asyncio.sleep(2 * IDLE_S)
        self.raw.send(later[30:])
        await self._check_answer()

    async def test_first_request_of_a_connection(self):
        await asyncio.sleep(2 * IDLE_S)
        self._send()
        await self._check_answer()

    async def test_connection_without_a_request_is_closed(self):
        limits = {"idle-timeout-ms": 100, "header-timeout-ms": IDLE_S * 1000}
        await self._apply_limits(3, limits)
        loop = asyncio.get_running_loop()
        self.raw.send(b"\r\n")
        async with asyncio.timeout(10 * IDLE_S):
            self.assertEqual(b"", await loop.sock_recv(self.raw, 9999))

    async def test_request_that_arrives_while_the_process_is_busy(self):
        self._send()
        await self._check_answer()
        await self.eventually(lambda: self._protocol().timeout_keep_alive_task)
        end_s = self._protocol().timeout_keep_alive_task.when()
        loop = asyncio.get_running_loop()
        # Both are due after this, so that nothing is read between them.
        loop.call_at(end_s - 0.1, time.sleep, 0.2)
        loop.call_at(end_s - 0.05, self._send)
        await self._check_answer()

    async def test_request_that_arrives_as_the_process_stops(self):
        self._send()
        await self._check_answer()
        self._send()
        self._protocol().shutdown()
        await self._check_answer()

    async def test_head_that_arrives_in_pieces_as_the_process_stops(self):
        self._send()
        await self._check_answer()
        head = self._request()
        self.raw.send(head[:20])
        await self.eventually(lambda: self._protocol()._in_header)
        self._protocol().shutdown()
        self.raw.send(head[20:])
        await self._check_answer()

    async def test_head_without_an_end_as_the_process_stops(self):
        self._send()
        await self._check_answer()
        self.raw.send(self._request()[:20])
        await self.eventually(lambda: self._protocol()._in_header)
        self.gateway.drain.request_stop()
        async with asyncio.timeout(DRAIN_NOTICE_S + 2 * MAX_HEADER_WAIT_S):
            await self.tasks[-1]

    def _protocol(self):
        peer = self.raw.getsockname()
        (transport,) = (
            transport
            for transport in asyncio.get_running_loop()._transports.values()
            if transport.get_extra_info("peername") == peer
        )
        return transport.get_protocol()

    async def test_connection_is_closed_after_the_limit(self):
        self._send()
        await self._check_answer()
        loop = asyncio.get_running_loop()
        self.assertEqual(b"", await loop.sock_recv(self.raw, 9999))
