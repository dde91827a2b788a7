"""What the claims need of the table service's client.

The names and meanings are those of ``acaciaspoke.platform.table``. Only this
module has to change if that client differs.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from acaciaspoke.errors import AcaciaspokeError


class TableUnavailable(AcaciaspokeError):  # noqa: N818
    """The table did not answer, and nothing was written."""


class OutcomeUnknown(AcaciaspokeError):  # noqa: N818
    """The answer was lost; the write may take effect, even later."""


class Row(NamedTuple):
    """A row as it was read."""

    key: str
    value: bytes
    mod_revision: int
    create_revision: int


class Condition(NamedTuple):
    """The key has this revision; 0 means that it is absent."""

    key: str
    mod_revision: int


class Write(NamedTuple):
    """A new value of a key; None deletes it."""

    key: str
    value: bytes | None


class Transaction(NamedTuple):
    """Writes that take effect together if all the conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Committed(NamedTuple):
    """The writes took effect and gave their keys this revision."""

    revision: int


class Conflict(NamedTuple):
    """A condition did not hold; the rows are those of the compared keys."""

    rows: dict[str, Row]


class Table(Protocol):
    """The table service's client.

    Both methods raise ``TableUnavailable`` or ``OutcomeUnknown``.
    """

    async def commit_each(
        self, transactions: Sequence[Transaction]
    ) -> list[Committed | Conflict]:
        """Commits independent transactions in one write of the table."""

    async def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Commits one transaction."""
