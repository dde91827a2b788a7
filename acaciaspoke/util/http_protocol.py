"""An HTTP protocol for uvicorn that ignores offers to change the protocol.

httptools ends a request with an Upgrade header at its head, and leaves the rest
to the other protocol. A server that ignores the offer (RFC 9110, section 7.8)
has to read the body as that of any other request.
"""

import httptools
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from acaciaspoke.util.net import has_unread_data

_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")

# How long a new connection is kept for its first request when the server stops.
# Callers send it as soon as they are connected, so it is a round trip away.
FIRST_REQUEST_WAIT_S = 0.5


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
    """uvicorn's protocol, with bodies behind Upgrade headers.

    A request that is refused while it is read gets its answer after those of
    all requests before it, which may have been passed on already.
    """

    # The last cycle that was started; uvicorn's ``cycle`` may wait behind it.
    _running: RequestResponseCycle | None = None
    _refusal: bytes | None = None
    _connected_s = 0.0

    def connection_made(self, transport) -> None:
        """Prepares a new connection."""
        super().connection_made(transport)
        self.parser = _Parser(self)
        self._connected_s = self.loop.time()

    def shutdown(self) -> None:
        """Closes an idle connection, or has it closed after its response.

        A connection with a request that has not been read yet, or whose first
        request may be on its way, stays open; the server calls this again.
        """
        is_idle = self.cycle is None or self.cycle.response_complete
        if not (is_idle and self._may_get_request()):
            super().shutdown()

    def _may_get_request(self) -> bool:
        age_s = self.loop.time() - self._connected_s
        is_new = self.cycle is None and age_s < FIRST_REQUEST_WAIT_S
        return is_new or has_unread_data(self.transport)

    def data_received(self, data: bytes) -> None:
        """Parses received data; ignores what follows a refused request."""
        if self._refusal is None:
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
