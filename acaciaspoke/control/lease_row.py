"""The row of a lease, and the reads and writes of it."""

from typing import NamedTuple

import msgspec

from acaciaspoke.clients.table import Condition, Put, Transaction
from acaciaspoke.ids import BootId, HostId


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """The content of ``lease/DOMAIN``.

    Attributes:
        holder: Empty after the lease was released.
        epoch: Incremented at each takeover.
        renewals: Incremented at each renewal, so that observers see a change.
        write_id: Identifies the write, so that a writer that got no response
            recognizes its own row.
        era: The table's era when the row was written.
    """

    holder: HostId
    boot: BootId
    epoch: int
    renewals: int = 0
    write_id: str = ""
    era: int = 0


class Read(NamedTuple):
    """A linearizable read of the lease row."""

    key: str


class Write(NamedTuple):
    """A conditional write of the lease row."""

    key: str
    row: LeaseRow
    expected_revision: int

    def transaction(self) -> Transaction:
        """Returns the write as a compare-and-put."""
        return Transaction(
            (Condition(self.key, self.expected_revision),),
            (Put(self.key, msgspec.json.encode(self.row)),),
        )
