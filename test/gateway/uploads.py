"""Callers that send their requests in pieces over kept connections."""

import asyncio
import contextlib
import itertools
import time
from typing import NamedTuple

# Callers reuse connections that have been idle for up to four fifths of the
# limit (the platform's protocol).
MAX_IDLE_SHARE = 0.8

_ids = map("u{}".format, itertools.count())


class Upload(NamedTuple):
    """A request and its answer.

    Attributes:
        peer: The caller's end of the connection, as gateways log it.
        is_first: Whether the connection was new.
        status: 0 if there was no complete answer.
    """

    id: str
    path: str
    peer: str
    is_first: bool
    sent_s: float
    ended_s: float
    status: int
    body: bytes = b""


class UploadCaller:
    """Sends one request after the other over a kept connection.

    An answer is read when the whole request has been sent.
    """

    def __init__(self, address: str, rng, max_idle_s: float, deadline_s: float):
        """Creates a caller without a connection.

        Args:
            address: Address of the gateway.
            rng: Draws sizes and pauses.
            max_idle_s: The shortest idle limit.
            deadline_s: How long an answer may take.
        """
        self._address = address.split(":")
        self._rng = rng
        self._max_idle_s = MAX_IDLE_SHARE * max_idle_s
        self._deadline_s = deadline_s
        self._streams = None
        self._idle_since_s = 0.0

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def send(self, path: str, duration_s: float) -> Upload:
        """Sends a request.

        Args:
            path: Path of the request.
            duration_s: How long sending it takes.
        """
        if time.monotonic() - self._idle_since_s > self._max_idle_s:
            self.close()
        is_first = self._streams is None
        if is_first:
            host, port = self._address
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        peer = "{}:{}".format(*writer.get_extra_info("sockname"))
        request_id, sent_s = next(_ids), time.monotonic()
        pieces = self._pieces(request_id, path)
        status, body, is_kept = 0, b"", False
        with contextlib.suppress(OSError, EOFError):
            async with asyncio.timeout(self._deadline_s):
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(duration_s / len(pieces))
                status, body, is_kept = await _read_answer(reader)
        self._idle_since_s = time.monotonic()
        if not is_kept:
            self.close()
        return Upload(
            *(request_id, path, peer, is_first, sent_s, self._idle_since_s),
            *(status, body),
        )

    def _pieces(self, request_id: str, path: str) -> list[bytes]:
        lines = [
            f"POST {path} HTTP/1.1",
            "host: a.example",
            f"acaciaspoke-attempt-id: {request_id}",
            f"acaciaspoke-time-remaining-ms: {self._deadline_s * 1000:.0f}",
            "acaciaspoke-model: m1",
        ]
        body = request_id.encode().ljust(self._rng.choice([9, 900]))
        parts = [body[begin : begin + 300] for begin in range(0, 900, 300)]
        parts = [part for part in parts if part] + [b""]
        if self._rng.random() < 0.5:
            lines.append("transfer-encoding: chunked")
            parts = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
        else:
            lines.append(f"content-length: {len(body)}")
        return ["\r\n".join([*lines, "", ""]).encode(), *parts]


async def _read_answer(reader) -> tuple[int, bytes, bool]:
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    status = int(head.split(b" ")[1])
    is_kept = b"connection: close" not in head
    if b"chunked" not in head:
        length = head.split(b"content-length: ")[1].split(b"\r\n")[0]
        return status, await reader.readexactly(int(length)), is_kept
    chunks = []
    while not chunks or chunks[-1]:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunks.append((await reader.readexactly(size + 2))[:-2])
    return status, b"".join(chunks), is_kept
