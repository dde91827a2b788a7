"""HTTP protocol for callers' connections, with configured limits."""

import asyncio
from collections.abc import Callable

from loguru import logger

from acaciaspoke.entry.caller import BODY_TIMEOUT_S
from acaciaspoke.gateway.types import CallerLimits
from acaciaspoke.util.connections import ConnectionLimiter
from acaciaspoke.util.http_protocol import HttpProtocol
from acaciaspoke.util.net import has_unread_data

_TOO_LARGE = b"431 Request Header Fields Too Large"
_TIMEOUT = b"408 Request Timeout"

# Pause until an idle connection with unread data is checked again.
UNREAD_DATA_WAIT_S = 0.05

# How long a stop waits for the rest of a request's header.
MAX_HEADER_WAIT_S = 1.0


class _HeadRefusedError(Exception):
    """Stops the parser at a head that is refused."""


def limited_protocol(
    limits: Callable[[], CallerLimits], connections: ConnectionLimiter
) -> type[HttpProtocol]:
    """Returns a protocol class that applies the current ``limits``.

    Args:
        limits: Returns the limits in force.
        connections: Bounds what connections hold.
    """

    class LimitedProtocol(HttpProtocol):
        """Limits the size and time of headers, and idle connections."""

        limiter = connections
        _idle_since_s = 0.0
        _in_header = False
        _header_since_s = 0.0
        _begun_in_read = 0
        _header_bytes = 0
        _header_timer: asyncio.TimerHandle | None = None

        def connection_made(self, transport) -> None:
            super().connection_made(transport)
            self._idle_since_s = self.loop.time()
            self._close_when_idle_for(self._max_idle_s())

        def connection_lost(self, exc) -> None:
            self._stop_header_timer()
            super().connection_lost(exc)

        def parse(self, data: bytes) -> None:
            was_in_message = self._in_message
            self._begun_in_read = 0
            super().parse(data)
            if not self._in_header:
                self._watch_rest()
                return
            # A read that also has an earlier request is not counted.
            if self._begun_in_read + was_in_message == 1:
                self._header_bytes += len(data)
            if self._header_bytes > limits().max_header_bytes:
                self._refuse_head(_TOO_LARGE)

        def on_message_begin(self) -> None:
            super().on_message_begin()
            self._in_header = True
            self._header_since_s = self.loop.time()
            self._begun_in_read += 1
            self._header_bytes = 0
            self._header_timer = self.loop.call_later(
                limits().header_timeout_s, self._on_header_timeout
            )

        def on_headers_complete(self) -> None:
            self._in_header = False
            self._stop_header_timer()
            size_bytes = len(self.url) + sum(
                len(name) + len(value) + 4 for name, value in self.headers
            )
            if size_bytes > limits().max_header_bytes:
                self._refuse_head(_TOO_LARGE)
                raise _HeadRefusedError
            # The path and query as received; parsing would lose an empty query.
            self.scope["target"] = self.url
            self.scope["is_followed"] = self.is_followed
            super().on_headers_complete()

        def on_response_complete(self) -> None:
            self.timeout_keep_alive = self._max_idle_s()
            self._idle_since_s = self.loop.time()
            super().on_response_complete()

        def timeout_keep_alive_handler(self) -> None:
            if self._in_header:
                # A request has begun; the time of its head is limited.
                return
            # A newer configuration may allow more time, of which callers know.
            end_s = self._idle_since_s + self._max_idle_s()
            wait_s = end_s - self.loop.time()
            if wait_s <= 0 and has_unread_data(self.transport):
                # A request has arrived; it is read in the next iteration.
                wait_s = UNREAD_DATA_WAIT_S
            if wait_s > 0:
                self._close_when_idle_for(wait_s)
            else:
                self._log_close("idle")
                super().timeout_keep_alive_handler()

        def shutdown(self) -> None:
            if self._in_header:
                # The server calls this again.
                since_s = max(self._header_since_s, self._idle_since_s)
                if self.loop.time() - since_s < MAX_HEADER_WAIT_S:
                    return
                if self.cycle is None or self.cycle.response_complete:
                    # No response could be lost by a reset.
                    self._in_message = False
            was_closing = self.transport.is_closing()
            super().shutdown()
            if self.transport.is_closing() and not was_closing:
                self._log_close("stop")

        def _log_close(self, reason: str) -> None:
            logger.debug(
                "closing a connection without a request: {}",
                reason,
                peer=":".join(map(str, self.client or ())),
                idle_ms=round((self.loop.time() - self._idle_since_s) * 1000),
            )

        def _watch_rest(self) -> None:
            """Restarts the idle time if no request runs or begins."""
            is_idle = self.cycle is None or self.cycle.response_complete
            if is_idle and not self.transport.is_closing():
                self._idle_since_s = self.loop.time()
                self._close_when_idle_for(self._max_idle_s())

        def _max_idle_s(self) -> float:
            # The rest of a body, and the first request of a connection, may
            # take longer than a connection may be idle.
            idle_s = limits().idle_timeout_s
            if self._in_message:
                return max(idle_s, BODY_TIMEOUT_S)
            if self.cycle is None:
                return max(idle_s, limits().header_timeout_s)
            return idle_s

        def _close_when_idle_for(self, wait_s: float) -> None:
            self.timeout_keep_alive_task = self.loop.call_later(
                wait_s, self.timeout_keep_alive_handler
            )

        def _on_header_timeout(self) -> None:
            if self.flow.is_held:
                # The rest may have arrived, but is not parsed yet.
                self._header_timer = self.loop.call_later(
                    limits().header_timeout_s, self._on_header_timeout
                )
            else:
                self._refuse_head(_TIMEOUT)

        def _refuse_head(self, status: bytes) -> None:
            self._in_header = False
            self._stop_header_timer()
            self.refuse(status)

        def _stop_header_timer(self) -> None:
            if self._header_timer is not None:
                self._header_timer.cancel()
                self._header_timer = None

    return LimitedProtocol
