"""Cost of recording service levels in the request path."""

import random
import time
from collections.abc import Iterator

import anyio

from acaciaspoke.config.schema import Rank
from acaciaspoke.report.histograms import ServiceWindows, TokenGaps
from bench.result import Result

TOKENS_PER_S = 10_000
STREAMS = 2_000
SHORT_STREAMS = 400
TOKENS_PER_STREAM = 250

# Recording may take a few percent of a core at 10,000 tokens/s.
BOUND_CORE_PERCENT = 3.0

# A step of the collection blocks the streams of its process; the bound is a
# quarter of the target between two tokens.
BOUND_STEP_MS = 11.0

# With this bound ten pairs of rank and service take 3 MB.
BOUND_SERIES_BYTES = 300_000


def run(short: bool = False) -> Iterator[Result]:
    """Measures the recording, the collection and the memory."""
    yield _measure_recording(SHORT_STREAMS if short else STREAMS)
    windows = _full_windows()
    yield Result(
        name="recording.series_memory",
        value=windows.memory_bytes(),
        unit="bytes",
        bound=BOUND_SERIES_BYTES,
    )
    yield Result(
        name="recording.collect_step",
        value=anyio.run(_longest_step_s, windows) * 1e3,
        unit="ms",
        bound=BOUND_STEP_MS,
    )


async def _longest_step_s(windows: ServiceWindows) -> float:
    """Returns the longest time that a collection blocks another task."""
    longest_s = 0.0
    async with anyio.create_task_group() as tasks:
        done = anyio.Event()

        async def collect():
            await windows.collect(3 * 86400.0)
            done.set()

        tasks.start_soon(collect)
        last_s = time.perf_counter()
        while not done.is_set():
            await anyio.lowlevel.checkpoint()
            now_s = time.perf_counter()
            longest_s = max(longest_s, now_s - last_s)
            last_s = now_s
    return longest_s


def _gap_s(rng: random.Random) -> float:
    return rng.lognormvariate(-3.7, 0.4)


def _measure_recording(streams: int) -> Result:
    """Measures the recording of tokens and ends of streams.

    The run spans several time slices, so that closing them is included.
    """
    rng = random.Random(1)
    gaps_s = [_gap_s(rng) for _ in range(TOKENS_PER_STREAM)]
    windows, rank = ServiceWindows(), Rank(level=0)
    seconds_per_stream = TOKENS_PER_STREAM / TOKENS_PER_S
    cost_s = 0.0
    for number in range(streams):
        rng.shuffle(gaps_s)
        jitter = rng.uniform(0.8, 1.2)
        times_s = [0.0]
        for gap_s in gaps_s:
            times_s.append(times_s[-1] + gap_s * jitter)
        start_s = time.perf_counter()
        stream = TokenGaps(0.0)
        for time_s in times_s[1:]:
            time.monotonic()
            stream.record_token(time_s)
        windows.record(
            "urgent",
            rank,
            "chat",
            number * seconds_per_stream,
            succeeded=True,
            first_token_s=times_s[1],
            gaps=stream,
        )
        cost_s += time.perf_counter() - start_s
    tokens = streams * TOKENS_PER_STREAM
    return Result(
        name="recording.tokens_10000_per_s",
        value=cost_s / tokens * TOKENS_PER_S * 100,
        unit="% of a core",
        bound=BOUND_CORE_PERCENT,
    )


def _full_windows() -> ServiceWindows:
    """Returns windows with all slices of three days in use, for one rank."""
    rng = random.Random(2)
    windows, rank = ServiceWindows(), Rank(level=0)
    for step in range(3 * 8640):
        now_s = step * 10.0
        for _ in range(2):
            stream, at_s = TokenGaps(0.0), 0.0
            for _ in range(20):
                at_s += _gap_s(rng)
                stream.record_token(at_s)
            windows.record(
                "urgent",
                rank,
                "chat",
                now_s,
                succeeded=True,
                first_token_s=rng.lognormvariate(-0.5, 0.5),
                gaps=stream,
            )
    return windows
