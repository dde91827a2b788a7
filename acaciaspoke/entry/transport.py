"""The byte streams below the connections to upstreams.

httpcore reads and writes through these streams, which tell the layers above
two things that it does not: whether any byte of a request went out, and when
all bytes that arrived together have been handed over.
"""

import select
import ssl
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream


class UpstreamStream(httpcore.AsyncNetworkStream):
    """A TCP stream to an upstream.

    Attributes:
        written_bytes: Bytes handed to the operating system so far.
        before_read: Awaited before each read that has to wait for the peer.
    """

    def __init__(self, stream: SocketStream):
        self._stream = stream
        self.written_bytes = 0
        self.before_read: Callable[[], Awaitable[None]] | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads what has arrived, or waits up to ``timeout`` seconds."""
        if self.before_read is not None:
            await self.before_read()
        try:
            if timeout is None:
                return await self._stream.receive(max_bytes)
            with anyio.fail_after(timeout):
                return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except TimeoutError as error:
            raise httpcore.ReadTimeout("no bytes in time") from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(_reason(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes all of ``buffer`` within ``timeout`` seconds."""
        if not buffer:
            return
        # Counted first: a write that fails may have sent a part.
        self.written_bytes += len(buffer)
        try:
            with anyio.fail_after(timeout):
                await self._stream.send(buffer)
        except TimeoutError as error:
            raise httpcore.WriteTimeout("bytes not taken in time") from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.WriteError(_reason(error)) from error

    async def aclose(self) -> None:
        """Closes the stream."""
        await anyio.aclose_forcefully(self._stream)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuses: upstreams are addressed by plain TCP."""
        raise httpcore.UnsupportedProtocol("upstreams are called without TLS")

    def get_extra_info(self, info: str) -> Any:
        """Tells httpcore whether an idle stream has become readable."""
        if info == "is_readable":
            return self._has_unread_bytes()
        if info == "socket":
            return self._stream.extra(SocketAttribute.raw_socket, None)
        return None

    def _has_unread_bytes(self) -> bool:
        # anyio stops reading between two receive calls, so bytes that nobody
        # asked for, or the end of the stream, are still in the socket.
        raw = self._stream.extra(SocketAttribute.raw_socket, None)
        if raw is None or raw.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return bool(poll.poll(0))


def _reason(error: Exception) -> str:
    return str(error.__cause__ or error) or type(error).__name__


class UpstreamBackend(httpcore.AsyncNetworkBackend):
    """Connects streams to one upstream and remembers the newest."""

    def __init__(self) -> None:
        self.stream: UpstreamStream | None = None

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connects to an IP number within ``timeout`` seconds."""
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(host, port)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout("no connection in time") from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        self.stream = UpstreamStream(stream)
        return self.stream
