"""The connections of a process, and which of them to close at a bound."""

import enum
import itertools
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from acaciaspoke.util.connections.bounds import ConnectionBounds

LOG_INTERVAL_S = 5.0

# To close connections that hold less would free little, and end streams whose
# callers read in time.
MIN_CLOSED_BYTES = 16 * 1024


# A request whose body grows by less in this time is refused before others at
# the bound of the process, so that bodies that are never completed do not keep
# out those that are. Links of 5 Mbit/s bring 40 times as much.
PROGRESS_BYTES = 16 * 1024
PROGRESS_S = 1.0


class Limit(enum.StrEnum):
    """A bound that was reached."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    PIPELINE = "pipeline"
    TRAILERS = "trailers"


class BoundedConnection(Protocol):
    """A connection as the limiter needs it."""

    def queued_bytes(self) -> int:
        """Returns what it holds beside the running request."""

    def is_idle(self) -> bool:
        """Returns whether no request runs or is being read."""

    def is_receiving(self) -> bool:
        """Returns whether the only request is still being read."""

    def refuse_for_memory(self) -> None:
        """Refuses the request that is being read, which has not run."""

    def abort(self) -> None:
        """Closes the connection at once."""


class ConnectionLimiter:
    """Adds up what connections hold, and closes some at a bound.

    Attributes:
        bounds: The bounds.
        held_bytes: What all connections hold.
    """

    def __init__(
        self,
        bounds: ConnectionBounds,
        on_limit: Callable[[Limit], None] = lambda limit: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Starts without connections.

        Args:
            bounds: The bounds.
            on_limit: Called each time that a bound is reached.
            clock: Returns the time in seconds.
        """
        self.bounds = bounds
        self.held_bytes = 0
        self._on_limit = on_limit
        self._clock = clock
        # What each holds, with the one that has sent nothing for the longest
        # time first.
        self._held_bytes: dict[BoundedConnection, int] = {}
        # What each held when it had last grown by ``PROGRESS_BYTES``, and when.
        self._progress: dict[BoundedConnection, tuple[int, float]] = {}
        self._unlogged: Counter[Limit] = Counter()
        self._log_due_s: dict[Limit, float] = {}

    def __len__(self) -> int:
        return len(self._held_bytes)

    def add(self, connection: BoundedConnection) -> None:
        """Adds a connection; closes one if there are too many."""
        self._held_bytes[connection] = 0
        if len(self._held_bytes) > self.bounds.max_connections:
            self.record(Limit.CONNECTIONS)
            victim = self._longest_unused(connection)
            self.remove(victim)
            victim.abort()

    def remove(self, connection: BoundedConnection) -> None:
        """Removes a connection that was closed."""
        self.held_bytes -= self._held_bytes.pop(connection, 0)
        self._progress.pop(connection, None)

    def touch(self, connection: BoundedConnection) -> None:
        """Records that a connection has sent something."""
        held_bytes = self._held_bytes.pop(connection, None)
        if held_bytes is not None:
            self._held_bytes[connection] = held_bytes

    def update(self, connection: BoundedConnection, held_bytes: int) -> None:
        """Records what a connection holds; closes some if it is too much."""
        earlier_bytes = self._held_bytes.get(connection)
        if earlier_bytes is None:
            return
        self._held_bytes[connection] = held_bytes
        self.held_bytes += held_bytes - earlier_bytes
        self._record_progress(connection, held_bytes)
        is_growing = held_bytes > earlier_bytes
        while is_growing and self.held_bytes > self.bounds.process_bytes:
            if not self._close_largest():
                return

    def record(self, limit: Limit) -> None:
        """Counts that a bound was reached, and logs it now and then."""
        self._on_limit(limit)
        self._unlogged[limit] += 1
        now_s = self._clock()
        if now_s < self._log_due_s.get(limit, now_s):
            return
        self._log_due_s[limit] = now_s + LOG_INTERVAL_S
        logger.warning(
            "limit of clients' connections reached: {}",
            limit.value,
            times=self._unlogged.pop(limit),
            connections=len(self),
            held_bytes=self.held_bytes,
        )

    def _longest_unused(self, newest: BoundedConnection) -> BoundedConnection:
        others = [each for each in self._held_bytes if each is not newest]
        return next(
            itertools.chain(
                (each for each in others if each.is_idle()),
                (each for each in others if each.is_receiving()),
                (newest,),
            )
        )

    def _record_progress(
        self, connection: BoundedConnection, held_bytes: int
    ) -> None:
        base_bytes, _ = self._progress.get(connection, (0, 0.0))
        if held_bytes < PROGRESS_BYTES:
            self._progress.pop(connection, None)
        elif not base_bytes <= held_bytes < base_bytes + PROGRESS_BYTES:
            self._progress[connection] = held_bytes, self._clock()

    def _stalled(self) -> list[BoundedConnection]:
        """Returns those whose only request has not grown for a while."""
        before_s = self._clock() - PROGRESS_S
        return [
            connection
            for connection, (_, grown_s) in self._progress.items()
            if grown_s <= before_s and connection.is_receiving()
        ]

    def _close_largest(self) -> bool:
        """Closes the connection that holds the most, first of stalled ones.

        What a running request needs does not count, as it goes on. A request
        that is still being read is refused.

        Returns:
            Whether there was any that holds ``MIN_CLOSED_BYTES``.
        """
        candidates = self._stalled() or self._held_bytes
        largest = max(candidates, key=self._freed_bytes)
        if self._freed_bytes(largest) < MIN_CLOSED_BYTES:
            return False
        self.record(Limit.MEMORY)
        if largest.is_receiving():
            self.held_bytes -= self._held_bytes[largest]
            self._held_bytes[largest] = 0
            self._progress.pop(largest, None)
            largest.refuse_for_memory()
        else:
            self.remove(largest)
            largest.abort()
        return True

    def _freed_bytes(self, connection: BoundedConnection) -> int:
        if connection.is_receiving():
            return self._held_bytes[connection]
        return connection.queued_bytes()
