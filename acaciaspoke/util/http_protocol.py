"""An HTTP protocol for uvicorn: no changes of the protocol, no early resets.

httptools ends a request with an Upgrade header at its head, and leaves the rest
to the other protocol. A server that ignores the offer (RFC 9110, section 7.8)
has to read the body as that of any other request.
"""

import asyncio
from collections.abc import Callable

import httptools
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from acaciaspoke.util.net import has_unread_data

_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")

# How long a caller may go on sending a request after the response that ends its
# connection.
LINGER_S = 3.0


class _LingeringTransport:
    """A transport that is closed without a reset while its peer sends.

    Data that reaches a closed socket resets the connection (RFC 9112, section
    9.6), and the peer may lose a response that it has not read.
    """

    def __init__(
        self, transport: asyncio.Transport, is_receiving: Callable[[], bool]
    ):
        """Wraps a transport.

        Args:
            transport: The transport.
            is_receiving: Whether the peer is in the middle of a request.
        """
        self._transport = transport
        self._is_receiving = is_receiving
        self._close_timer: asyncio.TimerHandle | None = None

    def __getattr__(self, name: str):
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Returns whether nothing more can be sent."""
        return self._close_timer is not None or self._transport.is_closing()

    def write(self, data: bytes) -> None:
        """Sends data; drops it after ``close`` has sent the end."""
        if self._close_timer is None:
            self._transport.write(data)

    def close(self) -> None:
        """Sends what is buffered and the end; waits until the peer closes.

        The protocol has to discard what it still receives.
        """
        if self.is_closing():
            return
        if not self._is_receiving():
            self._transport.close()
            return
        try:
            self._transport.write_eof()
        except OSError:
            # The peer has reset the connection, which was not noticed yet.
            self._transport.close()
            return
        self._transport.resume_reading()
        self._close_timer = asyncio.get_running_loop().call_later(
            LINGER_S, self._transport.close
        )

    def stop_timer(self) -> None:
        """Stops the timer, as the connection is lost."""
        if self._close_timer is not None:
            self._close_timer.cancel()


class _Parser:
    """A request parser that reads the body behind an Upgrade header, too."""

    def __init__(self, protocol: HttpToolsProtocol):
        self._protocol = protocol
        # Whether the head being parsed repeats the framing of one that ended
        # with an offer to upgrade, so that its body is read.
        self._is_repeated_head = False
        self._parser = self._new_parser()

    def _new_parser(self) -> httptools.HttpRequestParser:
        parser = httptools.HttpRequestParser(self)
        parser.set_dangerous_leniencies(lenient_data_after_close=True)
        return parser

    def feed_data(self, data: bytes) -> None:
        """Parses received data.

        Raises:
            httptools.HttpParserError: If it is invalid.
        """
        while data:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
                self._parser = self._new_parser()
                self._is_repeated_head = True
                self._parser.feed_data(self._framing())

    def _framing(self) -> bytes:
        lines = [
            b"%s: %s" % header
            for header in self._protocol.headers
            if header[0] in _FRAMING_HEADERS
        ]
        return b"\r\n".join([b"POST / HTTP/1.1", *lines, b"", b""])

    def get_http_version(self) -> str:
        """Returns the version of the current request."""
        return self._parser.get_http_version()

    def get_method(self) -> bytes:
        """Returns the method of the current request."""
        return self._parser.get_method()

    def should_keep_alive(self) -> bool:
        """Returns whether the connection may be used again."""
        return self._parser.should_keep_alive()

    def should_upgrade(self) -> bool:
        """Returns whether to change the protocol: never."""
        return False

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        if not self._is_repeated_head:
            self._protocol.on_message_begin()

    def on_url(self, url: bytes) -> None:
        if not self._is_repeated_head:
            self._protocol.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._is_repeated_head:
            self._protocol.on_header(name, value)

    def on_headers_complete(self) -> None:
        if not self._is_repeated_head:
            self._protocol.on_headers_complete()
        self._is_repeated_head = False

    def on_body(self, body: bytes) -> None:
        self._protocol.on_body(body)

    def on_message_complete(self) -> None:
        if not self._parser.should_upgrade():
            self._protocol.on_message_complete()


class HttpProtocol(HttpToolsProtocol):
    """uvicorn's protocol, with bodies behind Upgrade headers and no resets.

    A request that is refused while it is read gets its answer after those of
    all requests before it, which may have been passed on already.
    """

    # The last cycle that was started; uvicorn's ``cycle`` may wait behind it.
    _running: RequestResponseCycle | None = None
    _refusal: bytes | None = None
    # The cycle whose response announces the end of the connection, as the
    # server stops.
    _last_due_to_stop: RequestResponseCycle | None = None
    _in_message = False

    def connection_made(self, transport) -> None:
        """Prepares a new connection."""
        super().connection_made(
            _LingeringTransport(transport, lambda: self._in_message)
        )
        self.parser = _Parser(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends what waits for the connection."""
        self.transport.stop_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._in_message = True
        super().on_message_begin()

    def on_message_complete(self) -> None:
        """Ends the body of a request."""
        self._in_message = False
        super().on_message_complete()

    def shutdown(self) -> None:
        """Closes an idle connection, or announces its end in the next response.

        A connection with a request that has not been read yet, or with a
        response that has begun, stays open; the server calls this again.
        """
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            if not has_unread_data(self.transport):
                super().shutdown()
        elif cycle.keep_alive and not cycle.response_started:
            self._last_due_to_stop = cycle
            super().shutdown()

    def on_headers_complete(self) -> None:
        """Starts or queues a request; the one before it is not the last."""
        earlier = self.cycle
        super().on_headers_complete()
        is_last = earlier is not None and earlier is self._last_due_to_stop
        if is_last and not earlier.response_started:
            earlier.keep_alive = True

    def data_received(self, data: bytes) -> None:
        """Parses received data; ignores it once the connection is closing."""
        if self._refusal is None and not self.transport.is_closing():
            super().data_received(data)

    def send_400_response(self, msg: str) -> None:
        """Refuses a request that cannot be parsed."""
        self.refuse(b"400 Bad Request", msg.encode())

    def refuse(self, status: bytes, body: bytes = b"") -> None:
        """Refuses the request that is being read and closes the connection.

        Args:
            status: Code and reason.
            body: A text that says why.
        """
        if self._refusal is not None:
            return
        lines = [b"HTTP/1.1 " + status, b"content-length: %d" % len(body)]
        if body:
            lines.append(b"content-type: text/plain; charset=utf-8")
        lines += [b"connection: close", b"", body]
        self._refusal = b"\r\n".join(lines)
        if self.pipeline and self.pipeline[0][0].more_body:
            self.pipeline.popleft()
        self._send_due_refusal()

    def is_followed(self) -> bool:
        """Returns whether another request waits behind the running one."""
        return bool(self.pipeline)

    def on_response_complete(self) -> None:
        """Starts the next request, or sends the refusal of the last one."""
        super().on_response_complete()
        self._send_due_refusal()

    def _send_due_refusal(self) -> None:
        if self._refusal is None or self.transport.is_closing():
            return
        running = self._running
        if running is not None and not running.response_complete:
            if self.pipeline or not running.more_body:
                return
            # The running request itself is refused.
            if running.response_started:
                self.transport.close()
                return
        self.transport.write(self._refusal)
        self.transport.close()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app) -> None:
        self._running = cycle
        super()._start_asgi_task(cycle, app)
