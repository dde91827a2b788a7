"""Rendezvous hashing: hosts agree on a choice without talking about it."""

import heapq
from collections.abc import Iterable, Mapping

import xxhash

from acaciaspoke.ids import HostId


def choose(key: str, candidates: Iterable[str], count: int) -> list[str]:
    """Returns the ``count`` candidates that rank highest for ``key``.

    Adding or removing a candidate changes only the choices that it wins.
    """
    return heapq.nlargest(
        count,
        candidates,
        key=lambda name: (_weight(key, name), name),
    )


def rank_by_link(
    key: str, links_mbps: Mapping[HostId, float], count: int
) -> list[HostId]:
    """Returns hosts in the order in which they should do work for others.

    What they send fills a slow link, so hosts with the fastest links come
    first, and among equals those that rank highest for ``key``.

    Args:
        key: Names the work.
        links_mbps: The hosts, with what their links carry.
        count: How many to return.
    """
    return heapq.nlargest(
        count,
        links_mbps,
        key=lambda host: (links_mbps[host], _weight(key, host), host),
    )


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
