"""Cost of the burn report over the entry processes of a failure domain."""

import time
from collections.abc import Iterator

import anyio
import msgspec

from acaciaspoke.net.messages import Windows, decode, encode
from acaciaspoke.report.burn import BurnMerger, Source
from bench.capacity import scale
from bench.capacity.measure import cpu_s, ms, size
from bench.recording import _full_windows
from bench.result import Result

SERIES = (1, 6)
PROCESSES = (10, 100, 300)


def run() -> Iterator[Result]:
    """Measures the answers of processes with 1 and 6 ranks and services."""
    recorded = _full_windows()
    now_s = 3 * 86400.0
    start_s = time.process_time()
    windows = anyio.run(recorded.collect, now_s)
    yield ms("burn.collect_one_series", time.process_time() - start_s)
    trends = tuple(recorded.trends(now_s))
    for series in SERIES:
        answer = Windows(
            sender="tcp://10.0.0.1:7000",
            sequence=1,
            windows=_repeat(windows, series),
            trends=_repeat(trends, series),
        )
        data = encode(answer)
        yield size(f"burn.answer.{series}_series", len(data))
        yield ms(
            f"burn.answer.{series}_series.decode",
            cpu_s(lambda data=data: decode(data)),
        )
        for processes in PROCESSES:
            yield ms(
                f"burn.merge.{series}_series.{processes}_processes",
                _merge_s(answer, processes),
            )


def _repeat(items, count: int) -> tuple:
    return tuple(
        msgspec.structs.replace(item, service=f"service-{number}")
        for number in range(count)
        for item in items
    )


def _merge_s(answer: Windows, processes: int) -> float:
    merger = BurnMerger()
    start_s = time.process_time()
    for number in range(processes):
        merger.add(Source("h", f"tcp://10.0.0.1:{number}"), answer)
    merger.report(scale.config(scale.TODAY).ranks, 1, "now")
    return time.process_time() - start_s
