"""Loops that outlive a fault in one of their rounds."""

from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from acaciaspoke.util.metrics import Metrics


async def repeat(
    step: Callable[[], Awaitable[None] | None],
    interval_s: float,
    metrics: Metrics,
) -> None:
    """Calls ``step`` again and again until cancelled.

    An unexpected error in one round is logged and counted: ending the whole
    process for it would turn one bad input into an outage of every host that
    meets it.
    """
    while True:
        await guarded(step, metrics)
        await anyio.sleep(interval_s)


async def guarded(
    step: Callable[[], Awaitable[None] | None], metrics: Metrics
) -> None:
    """Calls ``step`` once; logs and counts an unexpected error."""
    try:
        pending = step()
        if pending is not None:
            await pending
    except Exception:
        metrics.count("task.failed")
        logger.exception("a round of a task failed")
