"""Periodic tasks that survive errors of single iterations."""

from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from acaciaspoke.util.metrics import Metrics


async def run_periodically(
    step: Callable[[], Awaitable[None] | None],
    interval_s: float,
    metrics: Metrics,
) -> None:
    """Calls ``step`` periodically until cancelled.

    An unexpected error in one iteration is logged and counted. Ending the
    process would turn one bad input into an outage of all hosts that receive
    it.
    """
    while True:
        await run_logging_errors(step, metrics)
        await anyio.sleep(interval_s)


async def run_logging_errors(
    step: Callable[[], Awaitable[None] | None], metrics: Metrics
) -> None:
    """Calls ``step`` once; logs and counts an unexpected error."""
    try:
        pending = step()
        if pending is not None:
            await pending
    except Exception:
        metrics.count("task.failed")
        logger.exception("an iteration of a task failed")
