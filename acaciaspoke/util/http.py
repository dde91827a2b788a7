"""A small HTTP client on httpcore with a total timeout per request."""

import errno
import re
import socket
import struct
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, Self

import anyio
import httpcore

from acaciaspoke.util.net import split_address
from acaciaspoke.util.pacing import PartPacer

MAX_CONNECTIONS = 32

# Larger bodies are an error. A table is read in pages of 1 MB; the largest
# single document is the configuration.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

# Limit on what is read before the response's head is complete. It includes
# heads of informational responses, of which there may be any number.
MAX_HEAD_BYTES = 64 * 1024

# Detects a peer lost to a partition or power loss: an idle connection is probed
# each second, and any connection closes after about 2 s without acknowledgement
# (TCP_USER_TIMEOUT, which takes precedence over TCP_KEEPCNT).
DEAD_PEER_DETECTION_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000),
)

# With this option close() resets the connection and discards unsent data.
_RESET_ON_CLOSE_OPTION = (
    socket.SOL_SOCKET,
    socket.SO_LINGER,
    struct.pack("ii", 1, 0),
)


# The largest status that has a class (RFC 9110, section 15).
MAX_STATUS = 599

_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def is_sendable_value(value: bytes) -> bool:
    """Returns whether a header value may be sent.

    The HTTP parsers accept control characters in values of responses, and the
    writers refuse them.
    """
    return not _CONTROL_CHARACTER.search(value)


_UNREACHABLE = frozenset(
    {errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT}
)


class HttpError(Exception):
    """A request without a complete response.

    Attributes:
        was_sent: Whether the server may have the whole request. False only if
            sending of its last part, the body if there is one, did not start.
        connection_refused: Whether the connection was refused, so that no
            process listens on the address.
        was_unreachable: Whether the connection was not established in time, or
            there is no route. False for errors of this host, such as a lack of
            file descriptors.
    """

    def __init__(
        self,
        problem: str,
        *,
        was_sent: bool,
        connection_refused: bool = False,
        was_unreachable: bool = False,
    ):
        super().__init__(problem)
        self.was_sent = was_sent
        self.connection_refused = connection_refused
        self.was_unreachable = was_unreachable


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    body: bytes
    headers: Sequence[tuple[bytes, bytes]] = ()


class _HeadLimitedStream(httpcore.AsyncNetworkStream):
    """A stream that limits what is read after each write.

    Attributes:
        readable_bytes: How much may still be read; None if there is no limit.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream):
        self._stream = stream
        self.readable_bytes: int | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads available data, or waits for some."""
        if self.readable_bytes is not None and self.readable_bytes <= 0:
            raise httpcore.RemoteProtocolError("the head is too large")
        data = await self._stream.read(max_bytes, timeout)
        if self.readable_bytes is not None:
            self.readable_bytes -= len(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes a part of a request; its response has a head again."""
        self.readable_bytes = MAX_HEAD_BYTES
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Returns what httpcore needs to check an idle connection."""
        return self._stream.get_extra_info(info)


class _HeadLimitedBackend(httpcore.AnyIOBackend):
    """Connects streams that limit the heads of responses."""

    async def connect_tcp(
        self, *args: Any, **options: Any
    ) -> httpcore.AsyncNetworkStream:
        """Connects as its base class does."""
        return _HeadLimitedStream(await super().connect_tcp(*args, **options))


class HttpClient:
    """An async context manager with a connection pool for one address."""

    def __init__(
        self,
        address: str,
        timeout_s: float,
        *,
        reset_on_close: bool = False,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ):
        """Creates the pool without connecting.

        Args:
            address: ``ip:port`` of the server.
            timeout_s: Timeout of requests that specify none.
            reset_on_close: Whether closing a connection discards undelivered
                data. The kernel would otherwise deliver it later.
            max_response_bytes: Larger bodies of responses are an error.

        Raises:
            ValueError: If the address is not an IP address and a port.
        """
        options = list(DEAD_PEER_DETECTION_OPTIONS)
        if reset_on_close:
            options.append(_RESET_ON_CLOSE_OPTION)
        self._server = split_address(address)
        self._timeout_s = timeout_s
        self._max_response_bytes = max_response_bytes
        self._pacer = PartPacer()
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            socket_options=options,
            network_backend=_HeadLimitedBackend(),
        )

    async def __aenter__(self) -> Self:
        await self._pool.__aenter__()
        return self

    async def __aexit__(self, *error) -> None:
        await self._pool.__aexit__(*error)

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float | None = None,
        connect_timeout_s: float | None = None,
    ) -> HttpResponse:
        """Sends a request once and reads its complete response.

        Args:
            method: The method.
            path: Path and query.
            body: The body.
            headers: The headers.
            timeout_s: Timeout of the whole call; None for that of the client.
            connect_timeout_s: Timeout for a new connection; None for that of
                the call.

        Raises:
            HttpError: If there is no complete response within the timeout, or
                its body is too large.
        """
        was_sent = was_connected = False
        last_part = "body" if body else "headers"

        async def trace(event: str, _) -> None:
            nonlocal was_connected, was_sent
            was_connected |= event.endswith("send_request_headers.started")
            was_sent |= event.endswith(f"send_request_{last_part}.started")

        timeout_s = self._timeout_s if timeout_s is None else timeout_s
        try:
            with anyio.fail_after(timeout_s):
                async with self._pool.stream(
                    method,
                    httpcore.URL(
                        scheme=b"http",
                        host=self._server.ip.encode(),
                        port=self._server.port,
                        target=path.encode(),
                    ),
                    headers=dict(headers or {}),
                    content=body,
                    extensions={
                        "trace": trace,
                        "timeout": {"connect": connect_timeout_s},
                    },
                ) as response:
                    response.extensions["network_stream"].readable_bytes = None
                    if response.status > MAX_STATUS:
                        raise httpcore.RemoteProtocolError(
                            f"status {response.status}"
                        )
                    return await _read(
                        response, self._max_response_bytes, self._pacer
                    )
        except TimeoutError as error:
            raise HttpError(
                f"no answer within {timeout_s} s",
                was_sent=was_sent,
                was_unreachable=not was_connected,
            ) from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            problem = f"{type(error).__name__}: {error}"
            raise HttpError(
                problem,
                was_sent=was_sent,
                connection_refused=_error_number(error) == errno.ECONNREFUSED,
                was_unreachable=isinstance(error, httpcore.ConnectTimeout)
                or _error_number(error) in _UNREACHABLE,
            ) from error


def _error_number(error: Exception) -> int | None:
    """Returns the error number of a failed connection attempt, if any."""
    cause = error if isinstance(error, httpcore.ConnectError) else None
    while cause is not None and getattr(cause, "errno", None) is None:
        cause = cause.__cause__ or cause.__context__
    return cause.errno if cause is not None else None


async def _read(
    response: httpcore.Response, max_bytes: int, pacer: PartPacer
) -> HttpResponse:
    parts: list[bytes] = []
    size_bytes = 0
    pace = pacer.new_response()
    async for part in response.aiter_stream():
        if pace.add_part():
            await pace.wait()
        size_bytes += len(part)
        if size_bytes > max_bytes:
            raise httpcore.RemoteProtocolError(
                f"the body is larger than {max_bytes} bytes"
            )
        parts.append(part)
    if _has_trailing_data(response):
        # It would be taken for the response to the next request. The pool
        # drops a connection whose stream is closed.
        await response.extensions["network_stream"].aclose()
    return HttpResponse(response.status, b"".join(parts), response.headers)


def _has_trailing_data(response: httpcore.Response) -> bool:
    """Returns whether the server sent data after the end of the response."""
    http11 = response.stream._stream._connection
    return bool(http11._h11_state.trailing_data[0])
