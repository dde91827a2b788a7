"""HTTP protocol for callers' connections, with configured limits."""

import asyncio
from collections.abc import Callable

from acaciaspoke.gateway.types import CallerLimits
from acaciaspoke.util.http_protocol import HttpProtocol

_TOO_LARGE = b"431 Request Header Fields Too Large"
_TIMEOUT = b"408 Request Timeout"


def limited_protocol(
    limits: Callable[[], CallerLimits],
) -> type[HttpProtocol]:
    """Returns a protocol class that applies the current ``limits``."""

    class LimitedProtocol(HttpProtocol):
        """Limits the size and time of headers, and idle connections."""

        _in_header = False
        _header_bytes = 0
        _header_timer: asyncio.TimerHandle | None = None

        def connection_made(self, transport) -> None:
            super().connection_made(transport)
            self.timeout_keep_alive_task = self.loop.call_later(
                limits().idle_timeout_s, self.timeout_keep_alive_handler
            )

        def connection_lost(self, exc) -> None:
            self._stop_header_timer()
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            super().data_received(data)
            if self._in_header and not self.transport.is_closing():
                self._header_bytes += len(data)
                if self._header_bytes > limits().max_header_bytes:
                    self._reject(_TOO_LARGE)

        def on_message_begin(self) -> None:
            super().on_message_begin()
            self._in_header = True
            self._header_bytes = 0
            self._header_timer = self.loop.call_later(
                limits().header_timeout_s, self._reject, _TIMEOUT
            )

        def on_headers_complete(self) -> None:
            self._in_header = False
            self._stop_header_timer()
            size_bytes = len(self.url) + sum(
                len(name) + len(value) + 4 for name, value in self.headers
            )
            if size_bytes > limits().max_header_bytes:
                self._reject(_TOO_LARGE)
                return
            # The path and query as received; parsing would lose an empty query.
            self.scope["target"] = self.url
            super().on_headers_complete()

        def on_response_complete(self) -> None:
            self.timeout_keep_alive = limits().idle_timeout_s
            super().on_response_complete()

        def _reject(self, status: bytes) -> None:
            self._stop_header_timer()
            if self.transport.is_closing():
                return
            self.transport.write(
                b"HTTP/1.1 " + status + b"\r\n"
                b"content-length: 0\r\nconnection: close\r\n\r\n"
            )
            self.transport.close()

        def _stop_header_timer(self) -> None:
            if self._header_timer is not None:
                self._header_timer.cancel()
                self._header_timer = None

    return LimitedProtocol
