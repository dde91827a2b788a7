"""Measures the processor time and the memory of calls."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from bench.result import Result

BATCHES = 3

# Minimum time of a batch; calls that take longer are not repeated in it.
BATCH_S = 0.1

MAX_CALLS = 100_000


def cpu_s(call: Callable[[], object]) -> float:
    """Returns the processor time of one call, as the median of batches."""
    calls = 1
    while True:
        elapsed_s = _batch_s(call, calls)
        if elapsed_s >= BATCH_S or calls >= MAX_CALLS:
            break
        target = calls * BATCH_S / max(elapsed_s, 1e-6)
        # Increased gradually, as first calls may do less than later ones.
        calls = min(MAX_CALLS, 8 * calls, max(calls + 1, int(1.1 * target)))
    batches_s = [elapsed_s]
    batches_s += [_batch_s(call, calls) for _ in range(BATCHES - 1)]
    return statistics.median(batches_s) / calls


def _batch_s(call: Callable[[], object], calls: int) -> float:
    start_s = time.process_time()
    for _ in range(calls):
        call()
    return time.process_time() - start_s


def allocated_bytes(create: Callable[[], Any]) -> int:
    """Returns the memory that the result of ``create`` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    result = create()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return after - before


def ms(name: str, seconds: float) -> Result:
    """Returns a processor time as a result in milliseconds."""
    return Result(name=name, value=seconds * 1e3, unit="ms of a core")


def size(name: str, value: float) -> Result:
    """Returns a number of bytes as a result."""
    return Result(name=name, value=value, unit="bytes")
