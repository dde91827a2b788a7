"""Byte streams for the connections to upstreams.

httpcore reads and writes through these streams. They provide two things that it
does not: the number of bytes written, which shows whether any byte of a request
was sent, and a callback once all bytes that arrived together have been read.
"""

import asyncio
import os
import socket
import ssl
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import anyio.lowlevel
import httpcore

from acaciaspoke.util.http import DEAD_PEER_DETECTION_OPTIONS
from acaciaspoke.util.net import has_unread_data

# Reading pauses while this much is buffered, so that an upstream that is faster
# than its caller does not exhaust the memory.
HIGH_WATER_BYTES = 64 * 1024

# The heads that one read brings are parsed without a turn for other tasks; an
# upstream may send informational ones without end.
HEAD_READ_BYTES = 4 * 1024


class _Protocol(asyncio.Protocol):
    """Buffers the data received on a connection until it is read.

    anyio's streams pause and resume the transport's reading around each receive
    call, which takes a tenth of the CPU time of a relayed token.

    Attributes:
        transport: The connection.
        ended: Whether the end of the stream has been reached.
        error: The error that ended the connection, or None.
        is_write_paused: Whether the transport's write buffer is full.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.ended = False
        self.error: Exception | None = None
        self.is_write_paused = False
        self._arrived: list[bytes] = []
        self._arrived_bytes = 0
        self._read_paused = False
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None

    @property
    def is_readable(self) -> bool:
        """Whether a read returns without waiting."""
        return bool(self._arrived) or self.ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffers the data and wakes the reader."""
        self._arrived.append(data)
        self._arrived_bytes += len(data)
        if self._arrived_bytes >= HIGH_WATER_BYTES and not self._read_paused:
            self._read_paused = True
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Records the end; keeps the connection open for unsent data."""
        # libuv reports a reset that arrives together with data as an orderly
        # end. The error is then still pending on the socket.
        raw = self.transport.get_extra_info("socket")
        code = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.error = OSError(code, os.strerror(code))
        self.ended = True
        self._wake_reader()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes the reader and the writer."""
        self.ended = True
        self.error = exc
        self._wake_reader()
        self.resume_writing()

    def pause_writing(self) -> None:
        """Makes ``drain`` wait."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Lets ``drain`` return."""
        self.is_write_paused = False
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    async def wait(self) -> None:
        """Waits until data or the end of the stream arrives."""
        self._reader = asyncio.get_running_loop().create_future()
        try:
            await self._reader
        finally:
            self._reader = None

    async def drain(self) -> None:
        """Waits until the transport's write buffer has drained."""
        while self.is_write_paused:
            self._writer = asyncio.get_running_loop().create_future()
            try:
                await self._writer
            finally:
                self._writer = None

    def take(self, max_bytes: int) -> bytes:
        """Returns buffered data; empty at the end of the stream."""
        arrived = self._arrived
        if len(arrived) == 1 and self._arrived_bytes <= max_bytes:
            data = arrived[0]
            arrived.clear()
        else:
            whole = b"".join(arrived)
            data, rest = whole[:max_bytes], whole[max_bytes:]
            self._arrived = [rest] if rest else []
        self._arrived_bytes -= len(data)
        if self._read_paused and self._arrived_bytes < HIGH_WATER_BYTES:
            self._read_paused = False
            # A closed transport has nothing to resume.
            if not self.transport.is_closing():
                self.transport.resume_reading()
        return data


class UpstreamStream(httpcore.AsyncNetworkStream):
    """A TCP stream to an upstream.

    Attributes:
        written_bytes: Bytes passed to the transport so far.
        before_read: Awaited before each read that has to wait for the peer.
        readable_bytes: How much may still be read; None if there is no limit.
    """

    def __init__(self, protocol: _Protocol):
        self._protocol = protocol
        self._transport = protocol.transport
        self._closed = False
        self.written_bytes = 0
        self.before_read: Callable[[], Awaitable[None]] | None = None
        self.readable_bytes: int | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads available data, or waits up to ``timeout`` seconds."""
        if self.readable_bytes is not None and self.readable_bytes <= 0:
            raise httpcore.RemoteProtocolError("the head is too large")
        if self.readable_bytes is not None:
            if self._protocol.is_readable:
                await anyio.lowlevel.checkpoint()
            max_bytes = min(max_bytes, HEAD_READ_BYTES)
        data = await self._read(max_bytes, timeout)
        if self.readable_bytes is not None:
            self.readable_bytes -= len(data)
        return data

    async def _read(self, max_bytes: int, timeout: float | None) -> bytes:
        protocol = self._protocol
        if not protocol.is_readable:
            if self.before_read is not None:
                await self.before_read()
            # Data may have arrived during the callback.
            if not protocol.is_readable:
                if timeout is None:
                    await protocol.wait()
                else:
                    await self._wait(timeout)
        data = protocol.take(max_bytes)
        if not data and self._closed:
            raise httpcore.ReadError("the connection was closed")
        if not data and protocol.error is not None:
            raise _failed(httpcore.ReadError, protocol.error)
        return data

    async def _wait(self, timeout: float) -> None:
        try:
            with anyio.fail_after(timeout):
                await self._protocol.wait()
        except TimeoutError as error:
            raise httpcore.ReadTimeout("no bytes in time") from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes all of ``buffer`` within ``timeout`` seconds."""
        if not buffer:
            return
        # Counted before the write, as a failed write may have sent a part.
        self.written_bytes += len(buffer)
        if self._transport.is_closing():
            raise _failed(httpcore.WriteError, self._protocol.error)
        self._transport.write(buffer)
        if self._protocol.is_write_paused:
            try:
                with anyio.fail_after(timeout):
                    await self._protocol.drain()
            except TimeoutError as error:
                raise httpcore.WriteTimeout(
                    "bytes not taken in time"
                ) from error
        if self._protocol.error is not None:
            raise _failed(httpcore.WriteError, self._protocol.error)

    async def aclose(self) -> None:
        """Closes the stream and discards unsent data."""
        self._closed = True
        self._transport.abort()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raises an error, as upstreams are called without TLS."""
        raise httpcore.UnsupportedProtocol("upstreams are called without TLS")

    def get_extra_info(self, info: str) -> Any:
        """Returns what httpcore needs to check an idle connection."""
        if info == "is_readable":
            return self._has_unread_bytes()
        if info == "socket":
            return self._transport.get_extra_info("socket")
        return None

    def _has_unread_bytes(self) -> bool:
        # Unsolicited data or the end of the stream may be in the buffer or
        # still in the socket.
        if self._protocol.is_readable or self._transport.is_closing():
            return True
        return has_unread_data(self._transport)


def _failed(
    kind: type[httpcore.NetworkError], error: Exception | None
) -> httpcore.NetworkError:
    """Returns an error whose cause is that of the connection."""
    if error is None:
        return kind("the connection is closed")
    failed = kind(str(error) or type(error).__name__)
    failed.__cause__ = error
    return failed


class UpstreamBackend(httpcore.AsyncNetworkBackend):
    """Connects to one upstream and keeps the newest stream."""

    def __init__(self) -> None:
        self.stream: UpstreamStream | None = None
        self._readable_bytes: int | None = None

    def limit_reads(self, readable_bytes: int | None) -> None:
        """Limits how much may still be read, also from a future stream."""
        self._readable_bytes = readable_bytes
        if self.stream is not None:
            self.stream.readable_bytes = readable_bytes

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connects to an IP address within ``timeout`` seconds."""
        try:
            with anyio.fail_after(timeout):
                loop = asyncio.get_running_loop()
                _, protocol = await loop.create_connection(
                    _Protocol, host, port
                )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout("no connection in time") from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        raw = protocol.transport.get_extra_info("socket")
        for option in DEAD_PEER_DETECTION_OPTIONS:
            raw.setsockopt(*option)
        self.stream = UpstreamStream(protocol)
        self.stream.readable_bytes = self._readable_bytes
        return self.stream
