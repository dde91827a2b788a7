"""Bounds for connections, derived from a process's memory and descriptors."""

import resource
import sys

import msgspec

# Requests that may wait behind the running one. Clients that pipeline at all
# send a few ahead.
MAX_PIPELINED = 16

# Input of the requests that wait, with the memory of their headers. The rest is
# read when their turn comes.
MAX_QUEUED_BYTES = 512 * 1024

# As for headers. Trailers are discarded.
MAX_TRAILER_BYTES = 16_384

# Share of the memory for input and unread output of all connections. At the
# smallest hosts, of 160 MB, 15 bodies of 4 MiB are read or run at once.
MEMORY_SHARE = 0.4

# Share of the descriptors for clients. Each request in progress may need
# another one for its upstream.
DESCRIPTOR_SHARE = 0.5


class ConnectionBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of each connection and of a process.

    Attributes:
        max_pipelined: Requests that wait behind the running one.
        max_queued_bytes: Input of these requests.
        max_trailer_bytes: Bytes behind the last part of a body.
        process_bytes: Input and unread output of all connections.
        max_connections: Open connections.
    """

    max_pipelined: int = MAX_PIPELINED
    max_queued_bytes: int = MAX_QUEUED_BYTES
    max_trailer_bytes: int = MAX_TRAILER_BYTES
    process_bytes: int = sys.maxsize
    max_connections: int = sys.maxsize


def max_descriptors() -> int:
    """Returns how many descriptors this process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


def derive_bounds(memory_bytes: float, descriptors: int) -> ConnectionBounds:
    """Returns the bounds for a process.

    Args:
        memory_bytes: The memory that the process may use.
        descriptors: The descriptors that it may open.
    """
    return ConnectionBounds(
        process_bytes=int(MEMORY_SHARE * memory_bytes),
        max_connections=max(1, int(DESCRIPTOR_SHARE * descriptors)),
    )
