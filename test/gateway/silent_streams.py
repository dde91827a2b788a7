"""Many streams of engines that fall silent together, for tests."""

import asyncio
import functools
import itertools
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import httpcore

from standins.worker import Arrival, Worker
from test.gateway.kv_engines import refuse
from test.gateway.serving import GatewayTest

EVENTS = tuple(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 9))
WHOLE = b"".join(EVENTS)

# Of the engines that work.
INTERVAL_S = 0.1

# Requests of which several are lost are blocked.
_bodies = map(b"body %d".__mod__, itertools.count())


class Stream(NamedTuple):
    """What a caller got.

    Attributes:
        is_complete: Whether the response looks complete.
    """

    path: str
    status: int
    body: bytes
    is_complete: bool

    @property
    def is_answered(self) -> bool:
        """Whether it is whole, or was refused before anything ran."""
        is_whole = self.body == WHOLE or not self.path.startswith("/stream/")
        return self.is_complete and (
            (self.status == 200 and is_whole) or self.status == 503
        )


class SilentEngines:
    """Scripts of engines that send events at an interval, unless all pause.

    Attributes:
        answers_calls: Whether they answer control calls in a silence.
        at_other: Answers requests that go on with a run elsewhere; None if
            engines take them.
        resumed: The requests that go on with a run.
    """

    def __init__(self, engines: list[Worker]):
        self.answers_calls = False
        self.at_other: Callable[[Arrival], Awaitable[None]] | None = None
        self.resumed: list[Arrival] = []
        self._awake = asyncio.Event()
        self._awake.set()
        self._engines = engines
        for engine in engines:
            engine.script = functools.partial(self._run, engine)
            engine.before_control = self._answer

    async def pause(self, silence_s: float) -> None:
        """Keeps all engines silent for some time."""
        self._awake.clear()
        await asyncio.sleep(silence_s)
        self._awake.set()

    @property
    def stopped(self) -> list[str]:
        """The requests whose runs were stopped."""
        return [name for engine in self._engines for name in engine.stops]

    async def _answer(self) -> None:
        if not self.answers_calls:
            await self._awake.wait()

    async def _run(self, engine: Worker, arrival: Arrival) -> None:
        if "kv-from" in arrival.headers:
            self.resumed.append(arrival)
            if self.at_other is not None and arrival.id not in engine.stops:
                await self.at_other(arrival)
                return
            if arrival.id not in self.stopped:
                await refuse(arrival)
                return
        start = int(arrival.headers.get("last-event-id", 0))
        await self._awake.wait()
        await arrival.stream(end=False)
        for event in EVENTS[start:]:
            await asyncio.sleep(INTERVAL_S)
            await self._awake.wait()
            await arrival.send_events(event)
        arrival.writer.write(b"0\r\n\r\n")
        await arrival.writer.drain()


async def in_chunks(body: bytes, pause_s: float = 0.0):
    """Yields a body in two parts."""
    yield body[:2]
    await asyncio.sleep(pause_s)
    yield body[2:]


class SilentStreamTest(GatewayTest):
    """Sends streams to engines that may fall silent.

    Attributes:
        sent: The streams of this test.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Only long runs get a KV backup.
        self.gateway._dispatcher.estimates.durations["stream"].mean_s = 2.0
        self.silent = SilentEngines(self.engines)
        self.sent: list[asyncio.Task[Stream]] = []

    def begin(
        self,
        count: int = 1,
        path: str = "/stream/x",
        address: str = "",
        body: bytes = b"",
    ) -> None:
        """Sends requests, half of them with bodies in chunks."""
        for number in range(count):
            sent = body or next(_bodies)
            content = in_chunks(sent) if number % 2 else sent
            self.sent.append(
                asyncio.create_task(
                    self.read(path, content, address or self.address)
                )
            )

    def all_have_begun(self) -> bool:
        """Returns whether engines have sent events of all requests."""
        return len(self.sent) == sum(
            arrival.events > 0
            for engine in self.engines
            for arrival in engine.arrivals
        )

    async def read(self, path: str, content, address: str) -> Stream:
        """Sends a request; reads its stream as far as it goes."""
        headers = self.headers(Acaciaspoke_Model="m1")
        received, is_complete = bytearray(), True
        async with httpcore.AsyncConnectionPool() as pool:
            async with pool.stream(
                "POST",
                f"http://{address}{path}",
                headers=headers,
                content=content,
                extensions={"target": path.encode()},
            ) as response:
                try:
                    async for data in response.aiter_stream():
                        received += data
                except httpcore.RemoteProtocolError:
                    is_complete = False
        return Stream(path, response.status, bytes(received), is_complete)

    async def check_answered(self) -> list[Stream]:
        """Checks that all requests are answered; returns the answers."""
        streams = await asyncio.gather(*self.sent)
        self.sent.clear()
        self.assertEqual([], [one for one in streams if not one.is_answered])
        return streams
