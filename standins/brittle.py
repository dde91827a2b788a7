"""A script of a worker that falls over if it refuses too much while brittle."""

import asyncio
import time

from standins.worker import Arrival, Worker

# From the platform's rule: from when on a brittle worker lets fewer wait.
CONTACT_S = 3.0
DOWN_S = 4.0


class BrittleScript:
    """Runs requests in the slots of a worker; refuses what finds no room.

    Attributes:
        refusals_per_s: Refusals a second that it survives, which all responses
            name; None if it is not brittle.
        falls_s: When it fell over.
        refusals_s: When it refused a request.
        running: Requests that run.
    """

    def __init__(self, worker: Worker, service_s: float, waiting_room: int):
        """Creates a script of a worker that is not brittle.

        Args:
            worker: The worker.
            service_s: How long a request runs.
            waiting_room: Requests that may wait while it is brittle.
        """
        self.refusals_per_s: int | None = None
        self.falls_s: list[float] = []
        self.refusals_s: list[float] = []
        self.running = 0
        self._slots = worker.slots
        self._service_s = service_s
        self._waiting_room = waiting_room
        self._brittle_since_s = 0.0
        self._waiting = 0
        self._is_free = asyncio.Condition()
        self._present: set[Arrival] = set()

    def become_brittle(self, refusals_per_s: int | None) -> None:
        """Names from now on what it survives, or nothing any more."""
        self.refusals_per_s = refusals_per_s
        self._brittle_since_s = time.monotonic()

    @property
    def is_down(self) -> bool:
        """Whether it has fallen over and is not back yet."""
        return bool(self.falls_s) and (
            time.monotonic() < self.falls_s[-1] + DOWN_S
        )

    @property
    def _has_little_room(self) -> bool:
        age_s = time.monotonic() - self._brittle_since_s
        return self.refusals_per_s is not None and age_s >= CONTACT_S

    async def __call__(self, arrival: Arrival) -> None:
        """Answers a request."""
        if self.is_down:
            arrival.reset()
            return
        if self.refusals_per_s is not None:
            arrival.server_headers = {
                "server-brittle": str(self.refusals_per_s)
            }
        room = self._waiting_room if self._has_little_room else self._slots
        if self.running >= self._slots and self._waiting >= room:
            headers = {"acaciaspoke-not-executed": "1"}
            await arrival.answer(503, b"", headers)
            self._record_refusal()
            return
        self._present.add(arrival)
        try:
            await self._run(arrival)
        finally:
            self._present.discard(arrival)

    async def _run(self, arrival: Arrival) -> None:
        self._waiting += 1
        try:
            async with self._is_free:
                await self._is_free.wait_for(lambda: self.running < self._slots)
                self.running += 1
        finally:
            self._waiting -= 1
        try:
            # A request whose connection closes is dropped.
            closing = asyncio.ensure_future(arrival.reader.read(1))
            done, _ = await asyncio.wait({closing}, timeout=self._service_s)
            closing.cancel()
            await asyncio.gather(closing, return_exceptions=True)
        finally:
            async with self._is_free:
                self.running -= 1
                self._is_free.notify()
        if not done:
            await arrival.answer()

    def _record_refusal(self) -> None:
        now_s = time.monotonic()
        self.refusals_s.append(now_s)
        recent = [each for each in self.refusals_s if each > now_s - 1]
        if self._has_little_room and len(recent) > self.refusals_per_s:
            self.falls_s.append(now_s)
            for arrival in self._present:
                arrival.reset()
