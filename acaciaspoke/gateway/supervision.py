"""Keeps a fault in one background task from ending the process."""

from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from acaciaspoke.gateway.metrics import GatewayMetrics

# Pause before a task that has failed is started again.
RESTART_PAUSE_S = 0.5


async def run_supervised(
    run: Callable[[], Awaitable[None]], name: str, metrics: GatewayMetrics
) -> None:
    """Runs a task, and again each time it fails, until it returns.

    Requests in progress do not depend on any single background task, and would
    all be lost with the process.

    Args:
        run: Runs the task; it keeps its state between runs.
        name: Names the task in the log.
        metrics: Counts faults.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            metrics.faults.inc()
            logger.exception("task {} failed; starting it again", name)
            await anyio.sleep(RESTART_PAUSE_S)
