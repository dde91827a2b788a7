"""Deletes expired claims of idempotency keys, while the lease is held."""

import time
from collections.abc import Callable

import anyio
from loguru import logger

from acaciaspoke.clients.table import TableClient, TableError
from acaciaspoke.entry.claimrows import sweep_step
from acaciaspoke.util.metrics import Metrics

# Two pages per second with at most one write each delete 128 claims per second,
# and leave the table's several hundred writes per second to new claims.
STEP_INTERVAL_S = 0.5

# Pause between two passes over all claims.
PASS_INTERVAL_S = 60.0


async def sweep_claims(
    table: TableClient, is_holder: Callable[[], bool], metrics: Metrics
) -> None:
    """Sweeps until cancelled.

    Args:
        table: The platform's table.
        is_holder: Whether this host holds the lease and has to sweep.
        metrics: Counts the deleted claims.
    """
    after = ""
    while True:
        await anyio.sleep(STEP_INTERVAL_S if after else PASS_INTERVAL_S)
        if not is_holder():
            continue
        try:
            step = await sweep_step(table, after, time.time())
        except TableError as error:
            logger.warning("sweep of claims failed: {}", error)
            continue
        metrics.count("control.claims_swept", step.deleted)
        after = step.next_key
