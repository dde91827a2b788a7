"""Rendezvous hashing: hosts agree on a choice without talking about it."""

import heapq
from collections.abc import Iterable

import xxhash


def choose(key: str, candidates: Iterable[str], count: int) -> list[str]:
    """Returns the ``count`` candidates that rank highest for ``key``.

    Adding or removing a candidate changes only the choices that it wins.
    """
    return heapq.nlargest(
        count,
        candidates,
        key=lambda name: (_weight(key, name), name),
    )


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
