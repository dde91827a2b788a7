"""The caller's side of a request: an ASGI connection with a little state."""

import math
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import anyio

from acaciaspoke.entry.errors import CallerError, ErrorType
from acaciaspoke.ids import RequestId

Headers = Iterable[tuple[bytes, bytes]]


# A body that trickles in holds memory and one of the open requests. 4 MiB
# take 30 s at 1.1 Mbit/s.
BODY_TIMEOUT_S = 30.0

# A caller that takes nothing for so long counts as gone.
SEND_TIMEOUT_S = 30.0
PART_BYTES = 64 * 1024


class CallerGoneError(Exception):
    """The caller closed its connection, or takes nothing from it."""


class Caller:
    """Reads a request from a caller and writes its answer.

    Attributes:
        started: Whether any part of the answer was sent.
    """

    def __init__(
        self,
        scope,
        receive,
        send,
        request_id: RequestId,
        is_closing: Callable[[], bool] = lambda: False,
    ):
        """Takes the parts of an ASGI call.

        Args:
            scope: What was asked for.
            receive: Returns the next part of the body, or the disconnect.
            send: Sends a part of the answer.
            request_id: The id of the request.
            is_closing: Whether the caller should open another connection for
                its next request, as while the process drains.
        """
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query: bytes = scope["query_string"]
        self.header_list: list[tuple[bytes, bytes]] = list(scope["headers"])
        self.headers: dict[bytes, bytes] = dict(scope["headers"])
        self.request_id = request_id
        self.started = False
        self._is_closing = is_closing
        self._is_finished = False
        # A caller that waits for "100 Continue" may never send the body, and
        # its next request would then be read as that body.
        self._waits_to_send = b"expect" in self.headers
        self._receive = receive
        self._send = send

    def header(self, name: str) -> str:
        """Returns a header's value, or an empty text."""
        return self.headers.get(name.encode(), b"").decode("latin-1")

    async def read_body(
        self, max_bytes: int, hold: Callable[[int], None] = lambda _: None
    ) -> bytes:
        """Reads the whole body.

        Args:
            max_bytes: The largest size.
            hold: Told of the size of each part; may raise ``CallerError``.

        Raises:
            CallerError: If it is larger than ``max_bytes`` or did not arrive
                in ``BODY_TIMEOUT_S``.
            CallerGoneError: If the caller left before its end.
        """
        too_large = CallerError(
            ErrorType.TOO_LARGE, f"the body exceeds {max_bytes} bytes"
        )
        length = self.header("content-length")
        if length.isdecimal() and int(length) > max_bytes:
            raise too_large
        self._waits_to_send = False
        with anyio.move_on_after(BODY_TIMEOUT_S):
            return await self._read_body(max_bytes, too_large, hold)
        # The rest may still come and is not the next request.
        self._is_closing = lambda: True
        raise CallerError(
            ErrorType.BODY_TIMEOUT,
            f"the body did not arrive within {BODY_TIMEOUT_S:g} s",
        )

    async def _read_body(
        self,
        max_bytes: int,
        too_large: CallerError,
        hold: Callable[[int], None],
    ) -> bytes:
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError
            part = message.get("body", b"")
            size_bytes += len(part)
            if size_bytes > max_bytes:
                raise too_large
            hold(len(part))
            parts.append(part)
            if not message.get("more_body"):
                return b"".join(parts)

    async def wait_until_gone(self) -> None:
        """Returns when the caller has closed its connection."""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the status and the headers."""
        own = [(b"x-request-id", self.request_id.encode("latin-1"))]
        if self._waits_to_send or self._is_closing():
            own.append((b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*headers, *own],
            }
        )
        # Set last: after a start that the server refused, a part of a body
        # would go out without a status.
        self.started = True

    async def send(self, data: bytes, *, more: bool) -> None:
        """Sends a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )
        self._is_finished = not more

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer.

        Raises:
            CallerGoneError: If the caller takes nothing for
                ``SEND_TIMEOUT_S``.
        """
        headers = list(headers)
        # These have no body, and the length of the body that another method
        # or status would have is not known here.
        if self.method != "HEAD" and status not in (204, 304):
            headers.append((b"content-length", str(len(body)).encode()))
        with _time_limit():
            await self.start(status, headers)
        # In parts, so that what a slow caller has not taken is held here and
        # counts as an open request, not in the buffer of its connection.
        for start in range(0, max(1, len(body)), PART_BYTES):
            end = start + PART_BYTES
            with _time_limit():
                await self.send(body[start:end], more=end < len(body))

    async def fail(self, error: CallerError) -> None:
        """Sends an error.

        An answer that has begun gets an error event and stays unfinished, so
        that the server breaks the connection and no client can take the
        answer for a whole one. A whole answer stays as it is.

        Raises:
            CallerGoneError: If the caller takes nothing for
                ``SEND_TIMEOUT_S``.
        """
        if self._is_finished:
            return
        body = error.to_json(self.request_id)
        if self.started:
            # The empty line ends an event that was cut off.
            event = b"\n\nevent: error\ndata: " + body + b"\n\n"
            with _time_limit():
                await self.send(event, more=True)
            return
        headers = [(b"content-type", b"application/json")]
        if error.retry_after_s is not None:
            seconds = str(max(1, math.ceil(error.retry_after_s)))
            headers.append((b"retry-after", seconds.encode()))
        await self.answer(error.status, headers, body)


@contextmanager
def _time_limit() -> Iterator[None]:
    with anyio.move_on_after(SEND_TIMEOUT_S) as scope:
        yield
    if scope.cancelled_caught:
        raise CallerGoneError
