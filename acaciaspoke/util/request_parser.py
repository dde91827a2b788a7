"""A request parser that never changes the protocol.

httptools ends a request with an Upgrade header at its head, and leaves the rest
to the other protocol. A server that ignores the offer (RFC 9110, section 7.8)
has to read the body as that of any other request.
"""

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class RequestParser:
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
        """Begins a request."""
        if not self._is_repeated_head:
            self._protocol.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Adds a part of the target."""
        if not self._is_repeated_head:
            self._protocol.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header or trailer."""
        if not self._is_repeated_head:
            self._protocol.on_header(name, value)

    def on_headers_complete(self) -> None:
        """Ends the head."""
        if not self._is_repeated_head:
            self._protocol.on_headers_complete()
        self._is_repeated_head = False

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._protocol.on_body(body)

    def on_message_complete(self) -> None:
        """Ends a request, unless its body follows."""
        if not self._parser.should_upgrade():
            self._protocol.on_message_complete()
