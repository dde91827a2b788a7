"""The caller's side of a request, on top of ASGI."""

import math
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import anyio

from acaciaspoke.entry.errors import CallerError, ErrorType
from acaciaspoke.ids import RequestId

Headers = Iterable[tuple[bytes, bytes]]


# A slow body occupies memory and one of the open requests. 4 MiB take 30 s at
# 1.1 Mbit/s.
BODY_TIMEOUT_S = 30.0

# A caller that reads nothing for this time counts as disconnected.
SEND_TIMEOUT_S = 30.0
SEND_CHUNK_BYTES = 64 * 1024


class CallerDisconnectedError(Exception):
    """The caller closed its connection or does not read from it."""


class Caller:
    """Reads a caller's request and writes the response.

    Attributes:
        started: Whether any part of the response was sent.
    """

    def __init__(
        self,
        scope,
        receive,
        send,
        request_id: RequestId,
        is_closing: Callable[[], bool] = lambda: False,
    ):
        """Wraps an ASGI call.

        Args:
            scope: The ASGI scope.
            receive: Returns the next part of the body, or the disconnect.
            send: Sends a part of the response.
            request_id: The id of the request.
            is_closing: Whether the connection should be closed after the
                response, such as while the process drains.
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
        # A caller that waits for "100 Continue" may never send the body. Its
        # next request would then be read as the body.
        self._expects_continue = b"expect" in self.headers
        self._receive = receive
        self._send = send

    def header(self, name: str) -> str:
        """Returns a header's value, or an empty text."""
        return self.headers.get(name.encode(), b"").decode("latin-1")

    async def read_body(
        self, max_bytes: int, reserve: Callable[[int], None] = lambda _: None
    ) -> bytes:
        """Reads the whole body.

        Args:
            max_bytes: The maximum size.
            reserve: Called with the size of each part; may raise
                ``CallerError``.

        Raises:
            CallerError: If it is larger than ``max_bytes`` or did not arrive
                within ``BODY_TIMEOUT_S``.
            CallerDisconnectedError: If the caller disconnected before its end.
        """
        too_large = CallerError(
            ErrorType.TOO_LARGE, f"the body exceeds {max_bytes} bytes"
        )
        length = self.header("content-length")
        if length.isdecimal() and int(length) > max_bytes:
            raise too_large
        self._expects_continue = False
        with anyio.move_on_after(BODY_TIMEOUT_S):
            return await self._read_body(max_bytes, too_large, reserve)
        # The rest of the body may still arrive; it is not the next request.
        self._is_closing = lambda: True
        raise CallerError(
            ErrorType.BODY_TIMEOUT,
            f"the body did not arrive within {BODY_TIMEOUT_S:g} s",
        )

    async def _read_body(
        self,
        max_bytes: int,
        too_large: CallerError,
        reserve: Callable[[int], None],
    ) -> bytes:
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            part = message.get("body", b"")
            size_bytes += len(part)
            if size_bytes > max_bytes:
                raise too_large
            reserve(len(part))
            parts.append(part)
            if not message.get("more_body"):
                return b"".join(parts)

    async def wait_for_disconnect(self) -> None:
        """Returns when the caller has closed its connection.

        Never returns after a complete response, whose end ASGI reports in the
        same way.
        """
        while (await self._receive())["type"] != "http.disconnect":
            pass
        if self._is_finished:
            await anyio.sleep_forever()

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the status and the headers."""
        added = [(b"x-request-id", self.request_id.encode("latin-1"))]
        if self._expects_continue or self._is_closing():
            added.append((b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*headers, *added],
            }
        )
        # Set last: if the server rejects the start, no body may be sent, as it
        # would have no status.
        self.started = True

    async def send(self, data: bytes, *, more: bool) -> None:
        """Sends a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )
        self._is_finished = not more

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response.

        Raises:
            CallerDisconnectedError: If the caller reads nothing for
                ``SEND_TIMEOUT_S``.
        """
        headers = list(headers)
        # Responses to HEAD and with these statuses have no body, and the length
        # that they would declare is unknown here.
        if self.method != "HEAD" and status not in (204, 304):
            headers.append((b"content-length", str(len(body)).encode()))
        with _send_timeout():
            await self.start(status, headers)
        # Sent in parts, so that data for a slow caller is kept here, where it
        # counts as an open request, and not in the connection's buffer.
        for start in range(0, max(1, len(body)), SEND_CHUNK_BYTES):
            end = start + SEND_CHUNK_BYTES
            with _send_timeout():
                await self.send(body[start:end], more=end < len(body))

    async def send_error(self, error: CallerError) -> None:
        """Sends an error.

        A started response gets an error event and stays incomplete, so that the
        server closes the connection and no client takes the response for a
        complete one. A complete response is left unchanged.

        Raises:
            CallerDisconnectedError: If the caller reads nothing for
                ``SEND_TIMEOUT_S``.
        """
        if self._is_finished:
            return
        body = error.to_json(self.request_id)
        if self.started:
            # The empty line terminates an event that was cut off.
            event = b"\n\nevent: error\ndata: " + body + b"\n\n"
            with _send_timeout():
                await self.send(event, more=True)
            return
        headers = [(b"content-type", b"application/json")]
        if error.retry_after_s is not None:
            seconds = str(max(1, math.ceil(error.retry_after_s)))
            headers.append((b"retry-after", seconds.encode()))
        await self.answer(error.status, headers, body)


@contextmanager
def _send_timeout() -> Iterator[None]:
    with anyio.move_on_after(SEND_TIMEOUT_S) as scope:
        yield
    if scope.cancelled_caught:
        raise CallerDisconnectedError
