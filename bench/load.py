"""A load tool for the entry process, run as a process of its own.

``python -m bench.load PLAN`` runs one plan, given as JSON, and prints its
outcome as one line of JSON. The plans are the structs below. The callers are
plain asyncio protocols, as an HTTP client library would take more processor
time than what is measured.
"""

import asyncio
import itertools
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import uvloop

# One clock tick of /proc/PID/stat.
TICK_S = 0.01

# A process is idle if it uses at most one tick in this time.
IDLE_WINDOW_S = 0.1
IDLE_SAMPLE_S = 0.01
IDLE_TIMEOUT_S = 60.0

REQUEST_TIMEOUT_S = 30.0

# More tokens than an engine sends before the streams of ``Close`` are closed.
CLOSED_TOKENS = 1000

_EVENT_END = b"\n\n"
_SENT = b'"sent_s":'
_DONE = b"data: [DONE]"
_LAST_CHUNK = b"0\r\n\r\n"


class Load(msgspec.Struct, tag=True, kw_only=True):
    """Keeps a number of streams open and measures what they receive.

    The first stream of each caller is shortened by a different amount, so that
    ends of streams are spread evenly over time from the beginning.

    Attributes:
        process: Id of the process whose processor time is measured.
        tokens: Number of tokens of a stream.
    """

    address: str
    model: str
    process: int
    streams: int
    tokens: int
    warm_up_s: float
    measured_s: float


class LoadOutcome(msgspec.Struct, kw_only=True):
    """What the streams of a ``Load`` received in the measured time.

    Attributes:
        failed: Streams without a complete answer, over the whole run.
        delays_ms: Time between the send of a token by the engine and its
            arrival.
        problems: Descriptions of up to 5 failures.
    """

    elapsed_s: float
    cpu_s: float
    tokens: int
    requests: int
    failed: int
    delays_ms: list[float]
    problems: list[str]


class Pairs(msgspec.Struct, tag=True, kw_only=True):
    """Sends one-token requests alternately through the system and directly.

    Attributes:
        address: The entry process.
        direct: The engine to which the entry process sends ``model``.
        callers: Number of concurrent callers, each with one pair at a time.
    """

    address: str
    direct: str
    model: str
    callers: int
    measured_s: float


class Pair(msgspec.Struct, array_like=True):
    """Times of a request through the system and of a direct one."""

    relayed_first_ms: float
    direct_first_ms: float
    relayed_ms: float
    direct_ms: float


class Close(msgspec.Struct, tag=True, kw_only=True):
    """Opens streams, closes all of them, and waits until a process is idle."""

    address: str
    model: str
    process: int
    streams: int


class CloseOutcome(msgspec.Struct, kw_only=True):
    """The load of a process after its callers have closed their streams.

    Attributes:
        opened: Number of streams that received tokens until they were closed.
        busy_s: Time until the process was idle.
    """

    opened: int
    busy_s: float
    cpu_s: float


class Call(asyncio.Protocol):
    """One request with a streamed answer, on its own connection.

    Attributes:
        problem: What was wrong with the answer; empty if nothing was.
        done: Set when the answer is complete or the connection is lost.
    """

    def __init__(
        self,
        address: str,
        model: str,
        tokens: int,
        on_token: Callable[[float, float], None] | None = None,
    ):
        self.tokens = 0
        self.problem = ""
        self.first_ms = 0.0
        self.complete_ms = 0.0
        self.done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._address = address
        self._expected = tokens
        self._request = _request(address, model, tokens)
        self._on_token = on_token
        self._buffer = b""
        self._sent_s = 0.0
        self._transport: asyncio.Transport | None = None

    async def start(self) -> None:
        """Connects and sends the request."""
        ip, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: self, ip, int(port))

    def abort(self) -> None:
        """Closes the connection at once."""
        self._transport.abort()

    def connection_made(self, transport) -> None:
        """Sends the request."""
        self._transport = transport
        self._sent_s = time.monotonic()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Counts complete events and detects the end of the answer."""
        now_s = time.monotonic()
        self._buffer += data
        *events, self._buffer = self._buffer.split(_EVENT_END)
        for event in events:
            position = event.rfind(_SENT)
            if position >= 0:
                self._record_token(event[position + len(_SENT) :], now_s)
            elif _DONE not in event:
                self._finish(f"unexpected event {event[:200]!r}")
        if self._buffer.endswith(_LAST_CHUNK):
            self.complete_ms = (now_s - self._sent_s) * 1000
            missing = self._expected - self.tokens
            self._finish(f"{missing} tokens are missing" if missing else "")

    def _record_token(self, text: bytes, now_s: float) -> None:
        if not self.tokens:
            self.first_ms = (now_s - self._sent_s) * 1000
        self.tokens += 1
        if self._on_token is not None:
            self._on_token(float(text.partition(b"}")[0]), now_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the call; an error unless the answer was complete."""
        self._finish(f"connection lost after {self._buffer[:200]!r}: {exc}")

    def _finish(self, problem: str) -> None:
        if not self.done.done():
            self.problem = problem
            self.done.set_result(None)
            self._transport.close()


def _request(address: str, model: str, tokens: int) -> bytes:
    body = msgspec.json.encode(
        {
            "model": model,
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": f"{random.random()}"}],
        }
    )
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\n"
        b"host: %s\r\ncontent-type: application/json\r\n"
        b"x-request-id: load-%d\r\ncontent-length: %d\r\n\r\n%s"
        % (address.encode(), next(_numbers), len(body), body)
    )


_numbers = itertools.count()


def cpu_s(process: int) -> float:
    """Returns the processor time that a process has used."""
    stat = Path(f"/proc/{process}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


async def run_load(plan: Load) -> LoadOutcome:
    """Runs the streams until the measured time is over."""
    outcome = LoadOutcome(
        elapsed_s=0.0,
        cpu_s=0.0,
        tokens=0,
        requests=0,
        failed=0,
        delays_ms=[],
        problems=[],
    )
    measuring = False

    def on_token(sent_s: float, now_s: float) -> None:
        if measuring:
            outcome.delays_ms.append((now_s - sent_s) * 1000)

    async def caller(first_tokens: int, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        tokens = first_tokens
        while True:
            call = Call(plan.address, plan.model, tokens, on_token)
            await call.start()
            outcome.requests += measuring
            await call.done
            if call.problem:
                outcome.failed += 1
                outcome.problems = [*outcome.problems, call.problem][:5]
                # Avoids a flood of requests if the service refuses everything.
                await asyncio.sleep(1.0)
            tokens = plan.tokens

    # Evenly spaced lengths in random order: with random lengths the number of
    # requests in a short time would vary.
    positions = list(range(plan.streams))
    random.Random(1).shuffle(positions)
    callers = [
        asyncio.create_task(
            caller(
                max(1, plan.tokens * position // plan.streams),
                plan.warm_up_s * 0.8 * number / plan.streams,
            )
        )
        for number, position in enumerate(positions)
    ]
    await asyncio.sleep(plan.warm_up_s)
    measuring = True
    start_s, cpu_before_s = time.monotonic(), cpu_s(plan.process)
    await asyncio.sleep(plan.measured_s)
    outcome.elapsed_s = time.monotonic() - start_s
    outcome.cpu_s = cpu_s(plan.process) - cpu_before_s
    measuring = False
    outcome.tokens = len(outcome.delays_ms)
    # The task of a caller ends only if it could not connect.
    outcome.failed += sum(task.done() for task in callers)
    for task in callers:
        task.cancel()
    return outcome


async def run_pairs(plan: Pairs) -> list[Pair]:
    """Runs pairs for the measured time; raises if a request fails."""
    pairs: list[Pair] = []
    end_s = time.monotonic() + plan.measured_s

    async def send_one(address: str) -> Call:
        call = Call(address, plan.model, 1)
        await call.start()
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            await call.done
        if call.problem:
            raise ConnectionError(call.problem)
        return call

    async def caller(number: int) -> None:
        await asyncio.sleep(number * 0.01)
        for turn in itertools.count(number):
            if time.monotonic() >= end_s:
                return
            if turn % 2:
                relayed = await send_one(plan.address)
                direct = await send_one(plan.direct)
            else:
                direct = await send_one(plan.direct)
                relayed = await send_one(plan.address)
            pairs.append(
                Pair(
                    relayed.first_ms,
                    direct.first_ms,
                    relayed.complete_ms,
                    direct.complete_ms,
                )
            )

    await asyncio.gather(*map(caller, range(plan.callers)))
    return pairs


async def run_close(plan: Close) -> CloseOutcome:
    """Opens the streams, closes them, and measures the process until idle."""
    calls = [
        Call(plan.address, plan.model, CLOSED_TOKENS)
        for _ in range(plan.streams)
    ]
    for call in calls:
        await call.start()
    deadline_s = time.monotonic() + REQUEST_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if all(call.tokens or call.done.done() for call in calls):
            break
        await asyncio.sleep(0.05)
    opened = sum(call.tokens > 0 and not call.done.done() for call in calls)
    before_s = cpu_s(plan.process)
    closed_s = time.monotonic()
    for call in calls:
        call.abort()
    samples = [(closed_s, before_s)]
    window_samples = round(IDLE_WINDOW_S / IDLE_SAMPLE_S)
    while time.monotonic() - closed_s < IDLE_TIMEOUT_S:
        await asyncio.sleep(IDLE_SAMPLE_S)
        samples.append((time.monotonic(), cpu_s(plan.process)))
        if len(samples) > window_samples:
            used_s = samples[-1][1] - samples[-1 - window_samples][1]
            if used_s <= 1.5 * TICK_S:
                break
    idle_s, cpu_after_s = samples[-1 - window_samples]
    return CloseOutcome(
        opened=opened, busy_s=idle_s - closed_s, cpu_s=cpu_after_s - before_s
    )


_RUNNERS = {Load: run_load, Pairs: run_pairs, Close: run_close}


def main() -> None:
    """Runs the plan given on the command line."""
    plan = msgspec.json.decode(sys.argv[1], type=Load | Pairs | Close)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        outcome = runner.run(_RUNNERS[type(plan)](plan))
    sys.stdout.write(msgspec.json.encode(outcome).decode() + "\n")


if __name__ == "__main__":
    main()
