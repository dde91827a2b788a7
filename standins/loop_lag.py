"""Measures how long a process stood still, by the delays of its event loop."""

import asyncio
import time
from collections.abc import Callable

INTERVAL_S = 0.02


async def watch_lag(on_lag: Callable[[float, float], None]) -> None:
    """Watches the event loop until cancelled.

    Args:
        on_lag: Called with the begin and the end of each delay, which may be
            short.
    """
    while True:
        due_s = time.monotonic() + INTERVAL_S
        await asyncio.sleep(INTERVAL_S)
        on_lag(due_s, time.monotonic())
