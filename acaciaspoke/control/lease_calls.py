"""Makes the calls to the table that a lease asks for."""

from collections.abc import Callable
from typing import Protocol

from loguru import logger

from acaciaspoke.clients.table import (
    Committed,
    Conflict,
    OutcomeUnknown,
    Row,
    TableUnavailable,
    Transaction,
)
from acaciaspoke.control.lease import Lease
from acaciaspoke.control.lease_errors import LeaseError
from acaciaspoke.control.lease_row import Read, Write


class LeaseTable(Protocol):
    """The part of the table client that the lease uses."""

    async def read(self, key: str) -> Row | None:
        """Returns the row by a linearizable read."""

    async def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Applies the transaction once, if all its conditions hold."""


async def execute_action(
    action: Read | Write | None,
    lease: Lease,
    table: LeaseTable,
    clock: Callable[[], float],
) -> None:
    """Executes an action that ``step`` or ``release`` returned."""
    try:
        if isinstance(action, Read):
            lease.on_row(await table.read(action.key), clock())
        elif isinstance(action, Write):
            result = await table.commit(action.transaction())
            if isinstance(result, Committed):
                lease.on_committed(action, result.revision, clock())
            else:
                lease.on_row(result.rows.get(action.key), clock())
    except OutcomeUnknown:
        lease.on_outcome_unknown()
    except TableUnavailable as error:
        # Nothing was written; ``step`` retries after ``retry_s``.
        lease.on_table_unavailable()
        logger.warning("{}: {}", lease.key, error)
    except LeaseError as error:
        logger.error("{}", error)
