"""The room of a worker: its slots, and the requests that may wait for one.

A worker without room refuses a request. At times workers are brittle: their
responses name a number, fewer requests may wait some seconds later, and a
worker that refuses more than this number within a second falls over.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable

from standins.worker import Arrival, Script

NOT_EXECUTED = {"Acaciaspoke-Not-Executed": "1"}

# How long a worker names the number before fewer requests may wait.
NOTICE_S = 3.0
BRITTLE_PLACES = 1

REFUSED_WITHIN_S = 1.0


class Room:
    """Runs or refuses the requests of a worker.

    Attributes:
        running: Requests that have a slot.
        waiting: Requests that wait for one.
    """

    def __init__(
        self,
        slots: int,
        places: int,
        fall_over: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        """Creates an empty room.

        Args:
            slots: Requests that run at once.
            places: Requests that may wait.
            fall_over: Called when too many were refused.
            clock: Returns the time.
        """
        self.running = 0
        self.waiting = 0
        self._slots = slots
        self._places = places
        self._fall_over = fall_over
        self._clock = clock
        self._slot = asyncio.Semaphore(slots)
        self._refused_s: deque[float] = deque()
        self._allowed = 0
        self._begin_s = self._end_s = float("-inf")

    def begin_brittle(
        self, allowed: int, length_s: float, notice_s: float = NOTICE_S
    ) -> None:
        """Makes the worker brittle.

        Args:
            allowed: Refused requests within a second after which it still
                stands.
            length_s: How long it is brittle.
            notice_s: Time before fewer requests may wait.
        """
        now_s = self._clock()
        self._allowed = allowed
        self._begin_s, self._end_s = now_s + notice_s, now_s + length_s
        self._refused_s.clear()

    @property
    def headers(self) -> dict[str, str]:
        """Headers of each response."""
        load = f"{self.running},{self.waiting},{self._slots}"
        headers = {"Acaciaspoke-Server-Load": load}
        if self._clock() < self._end_s:
            headers["Server-Brittle"] = str(self._allowed)
        return headers

    async def run(self, arrival: Arrival, script: Script) -> None:
        """Runs a request in a slot, or refuses it."""
        if self.running == self._slots and self.waiting >= self._free_places():
            self._record_refused()
            await arrival.answer(503, b"", NOT_EXECUTED)
            return
        left_ms = int(
            arrival.headers.get("acaciaspoke-time-remaining-ms", 60_000)
        )
        self.waiting += 1
        try:
            async with asyncio.timeout(left_ms / 1000):
                await self._slot.acquire()
        except TimeoutError:
            await arrival.answer(503, b"", NOT_EXECUTED)
            return
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            if not arrival.reader.at_eof():
                await script(arrival)
        finally:
            self.running -= 1
            self._slot.release()

    @property
    def _is_brittle(self) -> bool:
        return self._begin_s <= self._clock() < self._end_s

    def _free_places(self) -> int:
        return BRITTLE_PLACES if self._is_brittle else self._places

    def _record_refused(self) -> None:
        if not self._is_brittle:
            return
        now_s = self._clock()
        self._refused_s.append(now_s)
        while self._refused_s[0] <= now_s - REFUSED_WITHIN_S:
            self._refused_s.popleft()
        if len(self._refused_s) > self._allowed:
            self._fall_over()
