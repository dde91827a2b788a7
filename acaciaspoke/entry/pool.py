"""Connection pool for one upstream.

A connection carries one request at a time and is owned by that request.
httpcore's own pool is not used, because each close iterates over all of its
connections once per connection: when 300 streams ended together, it blocked a
process for up to 50 s.
"""

import collections
from types import TracebackType

import httpcore

from acaciaspoke.entry.transport import UpstreamBackend
from acaciaspoke.util.http import MAX_HEAD_BYTES
from acaciaspoke.util.net import acknowledgement_age_s, split_address

CONNECT_TIMEOUT_S = 1.0

# Longer than the gaps between requests of a busy entry process, but
# shorter than the usual keep-alive time of servers.
KEEPALIVE_S = 4.0
MAX_IDLE_CONNECTIONS = 32

# Longest idle time of a connection to an upstream that states its own one. A
# host in a large deployment sends a request to each of many upstreams every few
# seconds, so that half of its requests needed a new connection after 4 s.
MAX_KEEPALIVE_S = 30.0


class Connection:
    """A pooled connection and its byte stream.

    Attributes:
        is_reused: Whether it has carried another request before this one.
    """

    def __init__(self, origin: httpcore.Origin):
        self._backend = UpstreamBackend()
        self.http = httpcore.AsyncHTTPConnection(
            origin, keepalive_expiry=KEEPALIVE_S, network_backend=self._backend
        )
        self.is_reused = False
        self._written_before_bytes = 0

    @property
    def sent_bytes(self) -> int:
        """Bytes of the current request that may have reached the upstream."""
        stream = self._backend.stream
        if stream is None:
            return 0
        return stream.written_bytes - self._written_before_bytes

    @property
    def stream(self):
        """The byte stream, or None before the connection is established."""
        return self._backend.stream

    @property
    def has_trailing_data(self) -> bool:
        """Whether the upstream sent data after the end of the response.

        httpcore keeps such data and would parse it as the next response.
        """
        http11 = self.http._connection
        return http11 is not None and bool(http11._h11_state.trailing_data[0])

    async def send(self, request: httpcore.Request) -> httpcore.Response:
        """Sends a request; returns the response, whose body is not read yet.

        Raises:
            httpcore.RemoteProtocolError: If the head is invalid or exceeds
                ``MAX_HEAD_BYTES``.
            httpcore.NetworkError: If the connection fails.
            httpcore.TimeoutException: If a timeout of the request passes.
        """
        self._backend.limit_reads(MAX_HEAD_BYTES)
        response = await self.http.handle_async_request(request)
        self._backend.limit_reads(None)
        return response

    def limit_idle(self, idle_s: float) -> None:
        """Sets the idle time after which the connection is closed.

        Args:
            idle_s: The idle time that the upstream allows; a longer one than
                ``MAX_KEEPALIVE_S`` counts as this.
        """
        http11 = self.http._connection
        if http11 is not None:
            http11._keepalive_expiry = min(MAX_KEEPALIVE_S, idle_s)

    def begin_request(self) -> None:
        """Prepares an idle connection for a new request."""
        self.is_reused = True
        if self._backend.stream is not None:
            self._written_before_bytes = self._backend.stream.written_bytes


class ConnectionPool:
    """The connections of this process to one upstream."""

    def __init__(self, address: str, *, reuse: bool = True):
        """Creates an empty pool.

        Args:
            address: ``ip:port`` of the upstream.
            reuse: Whether a connection may be reused after a response that was
                read to its end.
        """
        ip, port = split_address(address)
        self._origin = httpcore.Origin(b"http", ip.encode(), port)
        self._reuse = reuse
        self._idle: collections.deque[Connection] = collections.deque()
        self._in_use: set[Connection] = set()
        self._closed = False

    async def __aenter__(self) -> "ConnectionPool":
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Closes idle connections; connections in use close on release."""
        self._closed = True
        while self._idle:
            await self._idle.pop().http.aclose()

    async def acquire(self, *, new: bool = False) -> Connection:
        """Returns a connection for one request.

        A new one is not connected yet; httpcore connects with the request.

        Args:
            new: Whether it must not have carried any request before.
        """
        while self._idle and not new:
            connection = self._idle.pop()
            if connection.http.is_available() and not (
                connection.http.has_expired()
            ):
                connection.begin_request()
                self._in_use.add(connection)
                return connection
            await connection.http.aclose()
        connection = Connection(self._origin)
        self._in_use.add(connection)
        return connection

    def acknowledgement_age_s(self) -> float | None:
        """Returns how long ago the upstream acknowledged anything.

        Returns:
            The time in seconds; None if no connection, idle or in use, is known
            to be established.
        """
        streams = [one.stream for one in (*self._idle, *self._in_use)]
        sockets = [
            stream.get_extra_info("socket")
            for stream in streams
            if stream is not None
        ]
        ages_s = [acknowledgement_age_s(raw) for raw in sockets]
        known_s = (age_s for age_s in ages_s if age_s is not None)
        return min(known_s, default=None)

    async def release(self, connection: Connection, *, clean: bool) -> None:
        """Returns a connection to the pool, or closes it.

        Args:
            connection: A connection from ``acquire``.
            clean: Whether the response belonged to the request and was read
                to its end.
        """
        self._in_use.discard(connection)
        keep = (
            clean
            and self._reuse
            and not self._closed
            and connection.http.is_available()
            and not connection.has_trailing_data
            and len(self._idle) < MAX_IDLE_CONNECTIONS
        )
        if keep:
            if connection.stream is not None:
                connection.stream.before_read = None
            self._idle.append(connection)
        else:
            await connection.http.aclose()
