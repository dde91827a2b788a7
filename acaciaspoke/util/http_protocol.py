"""An HTTP protocol for uvicorn: bounded, no early resets."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable

from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from acaciaspoke.util.connections import (
    ConnectionBounds,
    ConnectionLimiter,
    HeldFlow,
    Limit,
    RequestInput,
    request_cost_bytes,
)
from acaciaspoke.util.net import has_unread_data
from acaciaspoke.util.request_parser import RequestParser

# How long a caller may go on sending a request after the response that ends its
# connection.
LINGER_S = 3.0

# asyncio reads up to 256 KiB at once by default. Each connection that sends may
# hold several copies of what is read until its request takes it.
READ_BYTES = 16 * 1024

# A closed connection is aborted if its peer reads nothing for this time, as
# its unread output keeps its descriptor and memory.
UNREAD_OUTPUT_TIMEOUT_S = 30.0


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
        self._abort_timer: asyncio.TimerHandle | None = None

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
            self._close()
            return
        try:
            self._transport.write_eof()
        except OSError:
            # The peer has reset the connection, which was not noticed yet.
            self._close()
            return
        self._transport.resume_reading()
        self._close_timer = asyncio.get_running_loop().call_later(
            LINGER_S, self._close
        )

    def _close(self) -> None:
        self._transport.close()
        self._abort_if_unread(None)

    def _abort_if_unread(self, earlier_bytes: int | None) -> None:
        unread_bytes = self._transport.get_write_buffer_size()
        if unread_bytes == earlier_bytes:
            self._transport.abort()
        elif unread_bytes:
            self._abort_timer = asyncio.get_running_loop().call_later(
                UNREAD_OUTPUT_TIMEOUT_S, self._abort_if_unread, unread_bytes
            )

    def stop_timers(self) -> None:
        """Stops the timers, as the connection is lost."""
        for timer in (self._close_timer, self._abort_timer):
            if timer is not None:
                timer.cancel()


class HttpProtocol(HttpToolsProtocol):
    """uvicorn's protocol, with bodies behind Upgrade headers and no resets.

    A request that is refused while it is read gets its answer after those of
    all requests before it, which may have been passed on already.

    Attributes:
        limiter: Bounds what each connection and all of them hold.
    """

    limiter = ConnectionLimiter(ConnectionBounds())

    # The last cycle that was started; uvicorn's ``cycle`` may wait behind it.
    _running: RequestResponseCycle | None = None
    _refusal: bytes | None = None
    # The cycle whose response announces the end of the connection, as the
    # server stops.
    _last_due_to_stop: RequestResponseCycle | None = None
    _in_message = False
    _in_head = False
    # Bytes of the current message since the last part of its body; those that
    # are known to follow as its body.
    _unframed_bytes = 0
    _body_bytes = 0

    def connection_made(self, transport) -> None:
        """Prepares a new connection."""
        with contextlib.suppress(AttributeError):
            transport.max_size = READ_BYTES
        super().connection_made(
            _LingeringTransport(transport, lambda: self._in_message)
        )
        self.flow = HeldFlow(self.transport)
        self.parser = RequestParser(self)
        self._input = RequestInput()
        self.limiter.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends what waits for the connection."""
        self.transport.stop_timers()
        self.limiter.remove(self)
        self._input.clear()
        self._disconnect_running()
        super().connection_lost(exc)
        self.pipeline.clear()

    def _disconnect_running(self) -> None:
        """Tells the running request that the client is gone."""
        running = self._running
        if running is not None and not running.response_complete:
            running.disconnected = True
            running.message_event.set()

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._in_message = self._in_head = True
        self._unframed_bytes = self._body_bytes = 0
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; discards trailers (RFC 9110, section 6.5.1)."""
        if self._in_head:
            super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        """Adds a part of a body."""
        self._unframed_bytes = 0
        self._body_bytes = max(0, self._body_bytes - len(body))
        self.cycle.input_bytes += len(body)
        super().on_body(body)

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
        self._in_head = False
        earlier = self.cycle
        super().on_headers_complete()
        self.cycle.input_bytes = request_cost_bytes(self.headers)
        lengths = [v for n, v in self.headers if n == b"content-length"]
        if lengths and lengths[0].isdigit():
            self._body_bytes = int(lengths[0])
        is_last = earlier is not None and earlier is self._last_due_to_stop
        if is_last and not earlier.response_started:
            earlier.keep_alive = True

    def data_received(self, data: bytes) -> None:
        """Parses received data within the bounds of the connection.

        Ignores it once the connection is closing.
        """
        if self._takes_input():
            self.limiter.touch(self)
            self._input.add(data)
            self._parse_input()

    def parse(self, data: bytes) -> None:
        """Parses a part of the received data."""
        in_body = self._in_message and not self._in_head
        self._unframed_bytes += len(data) * in_body
        super().data_received(data)
        if self._unframed_bytes > self.limiter.bounds.max_trailer_bytes:
            self.limiter.record(Limit.TRAILERS)
            self._refuse_rest(b"431 Request Header Fields Too Large")

    def _refuse_rest(self, status: bytes, *headers: bytes) -> None:
        """Refuses the request whose body is being read."""
        if self.cycle.response_complete:
            # It has been answered, and nothing else may follow.
            self.transport.close()
        else:
            self.refuse(status, headers=headers)

    def _takes_input(self) -> bool:
        return self._refusal is None and not self.transport.is_closing()

    def _parse_input(self) -> None:
        """Parses what has arrived, until the bounds are reached."""
        while self._input and self._takes_input() and not self._is_full():
            self.parse(self._input.take(self._body_bytes))
        if not self._takes_input():
            self._input.clear()
        if not self._input:
            self.flow.release()
        elif not self.flow.is_held:
            self.limiter.record(Limit.PIPELINE)
            self.flow.hold()
        self._record_held()

    def _is_full(self) -> bool:
        bounds = self.limiter.bounds
        return (
            len(self.pipeline) >= bounds.max_pipelined
            or self._pipeline_bytes() >= bounds.max_queued_bytes
        )

    def _pipeline_bytes(self) -> int:
        return sum(cycle.input_bytes for cycle, _ in self.pipeline)

    # What the limiter asks.

    def queued_bytes(self) -> int:
        """Returns what the connection holds beside the running request."""
        return (
            len(self._input)
            + self._pipeline_bytes()
            + self.transport.get_write_buffer_size()
        )

    def is_idle(self) -> bool:
        """Returns whether no request runs or is being read."""
        return not self._in_message and not self._is_running()

    def is_receiving(self) -> bool:
        """Returns whether the only request is still being read."""
        if not self._in_message or self._refusal is not None:
            return False
        return not self._is_running() or self._running.more_body

    def refuse_for_memory(self) -> None:
        """Refuses the request that is being read, which has not run."""
        if self._in_head:
            self.abort()
            return
        self._refuse_rest(b"503 Service Unavailable", b"retry-after: 1")
        self._disconnect_running()

    def abort(self) -> None:
        """Closes the connection at once."""
        self.transport.abort()

    def pause_writing(self) -> None:
        """Records that output waits until the client reads."""
        super().pause_writing()
        self._record_held()

    def resume_writing(self) -> None:
        """Records that the client has read output."""
        super().resume_writing()
        self.limiter.touch(self)
        self._record_held()

    def _is_running(self) -> bool:
        return self._running is not None and not self._running.response_complete

    def _record_held(self) -> None:
        held_bytes = self.queued_bytes()
        if self._is_running() and not self._running.disconnected:
            held_bytes += self._running.input_bytes
        self.limiter.update(self, held_bytes)

    def send_400_response(self, msg: str) -> None:
        """Refuses a request that cannot be parsed."""
        self.refuse(b"400 Bad Request", msg.encode())

    def refuse(
        self, status: bytes, body: bytes = b"", headers: Iterable[bytes] = ()
    ) -> None:
        """Refuses the request that is being read and closes the connection.

        Args:
            status: Code and reason.
            body: A text that says why.
            headers: Further header lines.
        """
        if self._refusal is not None:
            return
        lines = [b"HTTP/1.1 " + status, b"content-length: %d" % len(body)]
        lines += headers
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
        self._parse_input()

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
