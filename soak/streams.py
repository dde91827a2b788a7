"""Callers that go on with broken streams at other gateways."""

import asyncio
import itertools
import math
import random
import time

import httpcore
import msgspec

from soak import workspaces
from soak.callers import MAX_PAUSE_S
from soak.configuration import RESUMABLE_TIMEOUT_MS
from soak.deployment import Deployment
from standins.worker_process import RESUMABLE_PREFIX

# For all requests for a stream together.
DEADLINE_S = 12.0

MAX_TRIES = 6

# Callers leave a stream that is silent for this long.
SILENCE_S = 2.0

# Before the next request for the stream.
MIN_PAUSE_S = 0.05

# Some callers leave half of their streams after this time.
LEAVE_SHARE = 0.5
MIN_LEAVE_S = 0.2
MAX_LEAVE_S = 1.5

# The share of the time left that callers wait if a gateway asks for it.
MAX_RETRY_AFTER_SHARE = 1 / 3


class Try(msgspec.Struct):
    """One request for a stream.

    Attributes:
        id: Its attempt id.
        last_event: Number of the last event that the caller had; 0 for none.
        resumes: The id of the request that brought the first event.
        status: 0 without a response.
        deadline_s: When a gateway may give up, at the latest.
        events: The events that it brought, as the workers have written them.
        last_event_s: When the last data came; 0 if none has.
        longest_gap_s: The longest time between two events.
        is_complete: Whether the response looks complete.
        has_left: Whether the caller left it.
        problem: Why it did not look complete.
    """

    id: str
    gateway: int
    last_event: int
    resumes: str
    sent_s: float
    ended_s: float = 0.0
    deadline_s: float = math.inf
    status: int = 0
    retry_after_s: float = 0.0
    events: list[bytes] = []
    last_event_s: float = 0.0
    longest_gap_s: float = 0.0
    is_complete: bool = False
    has_left: bool = False
    problem: str = ""

    def record_data(self, now_s: float) -> None:
        """Records that data has come."""
        if self.last_event_s:
            gap_s = now_s - self.last_event_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_event_s = now_s

    @property
    def goes_on(self) -> bool:
        """Whether the stream goes on with it, or begins."""
        return self.status == 200 and bool(self.events or self.is_complete)


class Stream(msgspec.Struct):
    """A stream over all requests for it.

    Attributes:
        name: The body of its requests, which all its events hold.
    """

    name: str
    tries: list[Try] = []

    @property
    def events(self) -> list[bytes]:
        """All events that the caller has."""
        return list(
            itertools.chain.from_iterable(one.events for one in self.tries)
        )

    @property
    def is_complete(self) -> bool:
        """Whether the caller takes it for complete."""
        return any(one.is_complete for one in self.tries)

    def next_try(self, number: int, gateway: int) -> Try:
        """Returns the next request, which goes on after the last event."""
        first = next((one.id for one in self.tries if one.events), "")
        return Try(
            id=f"{self.name}-{number}",
            gateway=gateway,
            last_event=len(self.events),
            resumes=first,
            sent_s=time.monotonic(),
        )


class StreamCallers:
    """Reads streams through all gateways until stopped.

    Streams below ``RESUMABLE_PREFIX`` are resumable; callers of others do not
    go on.

    Attributes:
        streams: The streams that were begun.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        prefix: str = RESUMABLE_PREFIX,
        max_tries: int = MAX_TRIES,
        *,
        leaves: bool = False,
    ):
        self.streams: list[Stream] = []
        self._deployment = deployment
        self._prefix = prefix
        self._max_tries = max_tries
        self._leaves = leaves
        self._rng = random.Random(f"streams of {seed}")
        self._names = map("s{}".format, itertools.count())
        self._is_stopped = False

    def stop(self) -> None:
        """Makes callers stop after their current stream."""
        self._is_stopped = True

    async def run_caller(self) -> None:
        """Reads one stream after the other."""
        while not self._is_stopped:
            await self.read(list(range(self._deployment.plan.gateways)))
            await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))

    async def read(self, gateways: list[int]) -> Stream:
        """Reads a stream, each time through another gateway if there is one."""
        stream = Stream(next(self._names))
        self.streams.append(stream)
        deadline_s = time.monotonic() + DEADLINE_S
        gateway = self._rng.choice(gateways)
        numbers = itertools.count()
        while len(stream.tries) < self._max_tries and not stream.is_complete:
            one = stream.next_try(next(numbers), gateway)
            left_s = deadline_s - one.sent_s
            if left_s <= MIN_PAUSE_S:
                break
            one.deadline_s = min(
                deadline_s, one.sent_s + RESUMABLE_TIMEOUT_MS / 1000
            )
            is_sent = await self._send(stream, one, left_s)
            one.ended_s = time.monotonic()
            if is_sent:
                stream.tries.append(one)
            others = [other for other in gateways if other != gateway]
            gateway = self._rng.choice(others or gateways)
            left_s = deadline_s - one.ended_s
            pause_s = min(one.retry_after_s, MAX_RETRY_AFTER_SHARE * left_s)
            await asyncio.sleep(max(MIN_PAUSE_S, pause_s))
        return stream

    async def _send(self, stream: Stream, one: Try, left_s: float) -> bool:
        """Sends a request and reads its events; returns whether it was sent."""
        address = self._deployment.gateway_addresses[one.gateway]
        headers = {
            "Host": "a.example",
            "Acaciaspoke-Attempt-Id": one.id,
            "Acaciaspoke-Time-Remaining-Ms": str(int(left_s * 1000)),
            "Acaciaspoke-Model": "m1",
        }
        if self._deployment.plan.has_workspaces:
            headers |= workspaces.kept(workspaces.OPEN).headers()
        if one.last_event:
            headers["Last-Event-Id"] = str(one.last_event)
            headers["Resumes"] = one.resumes
        timeouts = {"connect": 1.0, "read": SILENCE_S}
        if self._leaves and self._rng.random() < LEAVE_SHARE:
            left_s = min(left_s, self._rng.uniform(MIN_LEAVE_S, MAX_LEAVE_S))
        try:
            async with (
                asyncio.timeout(left_s),
                httpcore.AsyncConnectionPool() as pool,
                pool.stream(
                    "POST",
                    f"http://{address}{self._prefix}",
                    headers=headers,
                    content=stream.name.encode(),
                    extensions={"timeout": timeouts},
                ) as response,
            ):
                await _read_response(response, one)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return False
        except (TimeoutError, httpcore.TimeoutException):
            one.has_left = True
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            one.problem = f"{type(error).__name__}: {error}"
        return True


async def _read_response(response: httpcore.Response, one: Try) -> None:
    one.status = response.status
    found = {name.lower(): value for name, value in response.headers}
    one.retry_after_s = float(found.get(b"retry-after", 0))
    received = b""
    async for data in response.aiter_stream():
        if one.status == 200:
            *events, received = (received + data).split(b"\n\n")
            one.events += events
            one.record_data(time.monotonic())
    if received:
        # The response looks complete, but ends inside an event.
        one.events.append(received)
    one.is_complete = one.status == 200
