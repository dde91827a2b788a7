"""Clients that keep to no limit, and the memory of a process."""

import asyncio
import contextlib
import itertools
import os
import re
import socket
import struct
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

# A client stops once it has sent for this time, or this much.
SEND_S = 6.0
MAX_SENT_BYTES = 24 << 20

BLOCK_BYTES = 64 * 1024

# Makes ``close`` reset the connection.
_RESET = struct.pack("ii", 1, 0)


class ProcessState(NamedTuple):
    """Memory and descriptors of a process.

    Attributes:
        peak_kb: Largest resident memory so far.
        anonymous_kb: Resident memory without files.
        descriptors: Open file descriptors.
    """

    peak_kb: int
    anonymous_kb: int
    descriptors: int


def read_state(pid: int) -> ProcessState:
    """Returns the state of a live process."""
    text = Path(f"/proc/{pid}/status").read_text()
    peak, anonymous = (
        int(re.search(rf"^{name}:\s+(\d+) kB", text, re.MULTILINE)[1])
        for name in ("VmHWM", "RssAnon")
    )
    return ProcessState(peak, anonymous, len(os.listdir(f"/proc/{pid}/fd")))


def blocks(start: bytes, repeated: bytes) -> Iterator[bytes]:
    """Yields a start and then a repeated text without end."""
    yield start
    yield from itertools.repeat(repeated * max(1, BLOCK_BYTES // len(repeated)))


class Connection:
    """A connection of a client that reads nothing."""

    def __init__(self, address: str):
        """Prepares a connection to ``ip:port``."""
        ip, port = address.split(":")
        self._target = (ip, int(port))
        self._socket = socket.socket()
        self._socket.setblocking(False)

    async def open(self) -> None:
        """Connects; ignores a refusal."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_S):
                await loop.sock_connect(self._socket, self._target)

    async def send(self, parts: Iterable[bytes], pause_s: float = 0.0) -> int:
        """Sends parts until the limits; returns how many bytes were sent."""
        loop = asyncio.get_running_loop()
        sent_bytes = 0
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_S):
                for part in parts:
                    await loop.sock_sendall(self._socket, part)
                    sent_bytes += len(part)
                    await asyncio.sleep(pause_s)
                    if sent_bytes >= MAX_SENT_BYTES:
                        break
        return sent_bytes

    def reset(self) -> None:
        """Ends the connection with a reset."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._socket.close()

    def close(self) -> None:
        """Ends the connection."""
        self._socket.close()


async def connect(address: str, count: int) -> list[Connection]:
    """Opens connections at the same time."""
    connections = [Connection(address) for _ in range(count)]
    await asyncio.gather(*(each.open() for each in connections))
    return connections
