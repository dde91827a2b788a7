"""Runs clients that keep to no limit, as a process of their own.

The arguments are the seed, the number of clients and the addresses of the
gateways. Each client opens one connection after the other, until the process is
ended. A line tells what a client has sent, and how much.
"""

import asyncio
import contextlib
import itertools
import random
import socket
import struct
import sys
from collections.abc import Callable, Iterator
from enum import Enum
from typing import NamedTuple

from soak.workspaces import UNTRUSTED_PREFIX

# A connection ends after this time, or this much.
MAX_SEND_S = 6.0
MAX_SENT_BYTES = 24 << 20

BLOCK_BYTES = 64 * 1024
POST_BYTES = 60_000

# Leaves processor time to ordinary callers on a busy machine.
BLOCK_PAUSE_S = 0.02
SLOW_PAUSE_S = 0.5
RESET_SHARE = 0.5

# A client holds this many idle connections at once.
IDLE_CONNECTIONS = 50

# Makes ``close`` reset the connection.
_RESET = struct.pack("ii", 1, 0)

_numbers = itertools.count()


class Behavior(Enum):
    """What a client sends on a connection; it reads nothing."""

    TRAILERS = "trailers without end"
    REQUESTS_AHEAD = "requests whose answers it does not read"
    POSTS_AHEAD = "requests with bodies, sent ahead"
    SLOW = "one byte at a time"
    IDLE = "nothing"


class Sending(NamedTuple):
    """Parts to send, with a pause after each."""

    parts: Iterator[bytes]
    pause_s: float


def _head(method: str, path: str, *headers: str) -> bytes:
    ids = (
        f"Acaciaspoke-Attempt-Id: {UNTRUSTED_PREFIX}{next(_numbers)}",
        "Acaciaspoke-Time-Remaining-Ms: 60000",
    )
    lines = (f"{method} {path} HTTP/1.1", "Host: a.example", *ids, *headers)
    return "\r\n".join([*lines, "", ""]).encode()


def _trailers() -> Iterator[bytes]:
    yield _head("POST", "/safe/", "Transfer-Encoding: chunked")
    yield b"1\r\nx\r\n0\r\n"
    line = b"a: " + b"b" * 60 + b"\r\n"
    yield from itertools.repeat(line * (BLOCK_BYTES // len(line)))


def _requests_ahead() -> Iterator[bytes]:
    while True:
        yield b"".join(_head("GET", "/safe/") for _ in range(100))


def _posts_ahead() -> Iterator[bytes]:
    while True:
        yield _head("POST", "/safe/", f"Content-Length: {POST_BYTES}")
        yield b"x" * POST_BYTES


def _slow() -> Iterator[bytes]:
    head = _head("POST", "/safe/", "Content-Length: 1000")
    for byte in head + b"x" * 1000:
        yield bytes([byte])


def _idle() -> Iterator[bytes]:
    # Nothing is sent in these pauses.
    return itertools.repeat(b"")


SENDINGS: dict[Behavior, Callable[[], Sending]] = {
    Behavior.TRAILERS: lambda: Sending(_trailers(), BLOCK_PAUSE_S),
    Behavior.REQUESTS_AHEAD: lambda: Sending(_requests_ahead(), BLOCK_PAUSE_S),
    Behavior.POSTS_AHEAD: lambda: Sending(_posts_ahead(), BLOCK_PAUSE_S),
    Behavior.SLOW: lambda: Sending(_slow(), SLOW_PAUSE_S),
    Behavior.IDLE: lambda: Sending(_idle(), SLOW_PAUSE_S),
}


async def use_connection(
    address: str, sending: Sending, max_s: float = MAX_SEND_S
) -> int:
    """Sends on one connection; returns how many bytes were sent."""
    loop = asyncio.get_running_loop()
    ip, port = address.split(":")
    sent_bytes = 0
    with socket.socket() as raw:
        raw.setblocking(False)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(max_s):
                await loop.sock_connect(raw, (ip, int(port)))
                for part in sending.parts:
                    await loop.sock_sendall(raw, part)
                    sent_bytes += len(part)
                    await asyncio.sleep(sending.pause_s)
                    if sent_bytes >= MAX_SENT_BYTES:
                        break
        if random.random() < RESET_SHARE:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    return sent_bytes


async def _run_client(rng: random.Random, addresses: list[str]) -> None:
    while True:
        behavior = rng.choice(list(Behavior))
        address = rng.choice(addresses)
        count = IDLE_CONNECTIONS if behavior is Behavior.IDLE else 1
        sent_bytes = await asyncio.gather(
            *(
                use_connection(address, SENDINGS[behavior]())
                for _ in range(count)
            )
        )
        print(f"{behavior.name} {address} {sum(sent_bytes)}", flush=True)
        # A gateway may refuse connections for a while.
        await asyncio.sleep(rng.uniform(0.0, SLOW_PAUSE_S))


async def _main(seed: str, clients: str, *addresses: str) -> None:
    async with asyncio.TaskGroup() as tasks:
        for number in range(int(clients)):
            rng = random.Random(f"untrusted client {number} of {seed}")
            tasks.create_task(_run_client(rng, list(addresses)))


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:]))
