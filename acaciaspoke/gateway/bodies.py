"""Reads and sends bodies within bounds on size, memory and processor time.

A faulty upstream may send bytes without end. A body or an event that is
buffered until it is complete therefore has a limit of its own, and all of them
share the memory that the host has for them. Bodies in many small parts share
the event loop with all else.
"""

from collections.abc import AsyncIterable, AsyncIterator, Iterator
from contextlib import contextmanager

import anyio
import httpcore

from acaciaspoke.util.pacing import PartPacer

# Size of a successful response that is buffered, and of an error response.
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_ERROR_BODY_BYTES = 1024 * 1024

# The body of a refusal is read only so that its connection can be reused.
MAX_REFUSAL_BODY_BYTES = 64 * 1024
REFUSAL_BODY_TIMEOUT_S = 0.25

# The first part of each body needs no reservation, so that oversized responses
# do not make small ones fail.
UNRESERVED_BYTES = 64 * 1024

# How much of a caller's body is passed to a transport at once.
SENT_PART_BYTES = 64 * 1024

# Share of the host's memory for all that is buffered together.
MEMORY_SHARE = 0.25


def in_parts(body: bytes) -> bytes | AsyncIterable[bytes]:
    """Returns the content of a request that is sent a part at a time.

    A transport copies what the upstream has not read yet, of a large body
    nearly all.
    """
    return body if len(body) <= SENT_PART_BYTES else _Parts(body)


class _Parts:

    def __init__(self, body: bytes):
        self._body = body

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for start in range(0, len(self._body), SENT_PART_BYTES):
            yield self._body[start : start + SENT_PART_BYTES]


class BodyMemory:
    """The memory that buffered bodies and events share.

    Attributes:
        limit_bytes: Maximum size of all reservations together.
        reserved_bytes: Size of the current reservations.
        pacer: Limits the parts in which the bodies arrive.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self.pacer = PartPacer()

    @contextmanager
    def reservation(self) -> Iterator["BodyReservation"]:
        """Yields one response's reservation and releases it at the end."""
        reservation = BodyReservation(self)
        try:
            yield reservation
        finally:
            self.reserved_bytes -= reservation.reserved_bytes


class BodyReservation:
    """The memory reserved for one body or event.

    Attributes:
        reserved_bytes: Its size beyond ``UNRESERVED_BYTES``.
    """

    def __init__(self, memory: BodyMemory):
        self.reserved_bytes = 0
        self._memory = memory

    def resize(self, size_bytes: int) -> None:
        """Reserves memory for what is buffered now, and releases the rest.

        Raises:
            httpcore.RemoteProtocolError: If too little memory is left.
        """
        needed_bytes = max(0, size_bytes - UNRESERVED_BYTES)
        added_bytes = needed_bytes - self.reserved_bytes
        if not added_bytes:
            return
        memory = self._memory
        if added_bytes > max(0, memory.limit_bytes - memory.reserved_bytes):
            raise httpcore.RemoteProtocolError(
                "too little memory is left for the body:"
                f" {memory.reserved_bytes} of {memory.limit_bytes} bytes in use"
            )
        memory.reserved_bytes += added_bytes
        self.reserved_bytes += added_bytes


async def read_body(
    response: httpcore.Response, memory: BodyMemory, max_bytes: int
) -> bytes:
    """Returns the whole body.

    Raises:
        httpcore.RemoteProtocolError: If it is larger than ``max_bytes``, or
            than the memory that is left.
    """
    parts: list[bytes] = []
    size_bytes = 0
    pace = memory.pacer.new_response()
    with memory.reservation() as reservation:
        async for part in response.aiter_stream():
            if pace.add_part():
                await pace.wait()
            size_bytes += len(part)
            if size_bytes > max_bytes:
                raise httpcore.RemoteProtocolError(
                    f"the body is larger than {max_bytes} bytes"
                )
            reservation.resize(size_bytes)
            parts.append(part)
        return b"".join(parts)


async def discard_body(response: httpcore.Response, memory: BodyMemory) -> None:
    """Reads a body that nobody needs; gives up if it is long or slow.

    Never raises for failures of the upstream; the connection of a body that
    was not read to its end is not reused.
    """
    size_bytes = 0
    pace = memory.pacer.new_response()
    with anyio.move_on_after(REFUSAL_BODY_TIMEOUT_S):
        try:
            async for part in response.aiter_stream():
                if pace.add_part():
                    await pace.wait()
                size_bytes += len(part)
                if size_bytes > MAX_REFUSAL_BODY_BYTES:
                    return
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return
