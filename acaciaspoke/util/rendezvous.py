"""Rendezvous hashing: hosts make the same choice without communication."""

import heapq
from collections.abc import Iterable, Mapping

import xxhash

from acaciaspoke.ids import HostId


def choose(key: str, candidates: Iterable[str], count: int) -> list[str]:
    """Returns the ``count`` candidates that rank highest for ``key``.

    Adding or removing a candidate changes only the choices that include it.
    """
    return heapq.nlargest(
        count,
        candidates,
        key=lambda name: (_weight(key, name), name),
    )


def rank_by_link(
    key: str, links_mbps: Mapping[HostId, float], count: int
) -> list[HostId]:
    """Returns the hosts to be given work for other hosts, preferred first.

    Hosts with faster links come first, as the messages of this work would fill
    a slow link; equal links are ordered by the hash for ``key``.

    Args:
        key: Identifies the work.
        links_mbps: The link bandwidth of each host.
        count: The number of hosts to return.
    """
    return heapq.nlargest(
        count,
        links_mbps,
        key=lambda host: (links_mbps[host], _weight(key, host), host),
    )


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
