"""Bounds on what the clients of a process's listeners make it hold.

In go the memory and descriptors of the process and, from each connection, what
it holds; out come connections to close. Input that would exceed the bounds of
a connection waits unparsed while reading is paused.
"""

from acaciaspoke.util.connections.bounds import (
    ConnectionBounds,
    derive_bounds,
    max_descriptors,
)
from acaciaspoke.util.connections.limiter import (
    BoundedConnection,
    ConnectionLimiter,
    Limit,
)
from acaciaspoke.util.connections.reading import (
    HeldFlow,
    RequestInput,
    request_cost_bytes,
)

__all__ = [
    "BoundedConnection",
    "ConnectionBounds",
    "ConnectionLimiter",
    "HeldFlow",
    "Limit",
    "RequestInput",
    "derive_bounds",
    "max_descriptors",
    "request_cost_bytes",
]
