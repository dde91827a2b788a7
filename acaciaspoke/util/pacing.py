"""Shares the event loop among responses that arrive in many parts.

The HTTP library hands out all parts that one read has brought without giving
other tasks a turn. It takes about 10 µs for each part, however small, so that
64 KB in chunks of one byte block a process for 0.1 s.
"""

import math

import anyio

# Parts of a response that are taken without a pause.
BATCH_PARTS = 64

# A response with fewer parts is not delayed. Engines send an event for a step,
# which takes several milliseconds.
UNDELAYED_PARTS_PER_S = 250.0

# Parts of all faster responses together: some 5% of a core.
SHARED_PARTS_PER_S = 4000.0


class PartPacer:
    """Limits the parts that all responses of a process take together."""

    def __init__(self) -> None:
        self._next_batch_s = -math.inf

    def new_response(self) -> "ResponsePace":
        """Returns the pace of a new response."""
        return ResponsePace(self)

    def reserve_batch(self, now_s: float) -> float:
        """Returns when the next batch may be taken."""
        begin_s = max(now_s, self._next_batch_s)
        self._next_batch_s = begin_s + BATCH_PARTS / SHARED_PARTS_PER_S
        return begin_s


class ResponsePace:
    """Counts the parts of one response."""

    def __init__(self, pacer: PartPacer):
        self._pacer = pacer
        self._parts = 0
        self._begin_s = anyio.current_time()

    def add_part(self) -> bool:
        """Counts a part; returns whether ``wait`` is due before the next."""
        self._parts += 1
        return self._parts >= BATCH_PARTS

    async def wait(self) -> None:
        """Gives other tasks a turn; waits if the response is fast."""
        self._parts = 0
        now_s = anyio.current_time()
        begin_s = now_s
        if now_s - self._begin_s < BATCH_PARTS / UNDELAYED_PARTS_PER_S:
            begin_s = self._pacer.reserve_batch(now_s)
        await anyio.sleep(begin_s - now_s)
        self._begin_s = anyio.current_time()
