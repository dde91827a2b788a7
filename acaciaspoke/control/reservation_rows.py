"""Reads and writes reservation rows under a lease.

Each write compares the row and the lease row in one transaction, so that a
holder that was paused past its lease can't change a row.
"""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import NamedTuple, Protocol

import msgspec

from acaciaspoke.control.reservations import Reservation, decode, encode
from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.ids import UpstreamId

PREFIX = "reservation/"


class RowError(AcaciaspokeError):
    """A row that could not be read or written; nothing may be ordered."""


class RowConflictError(RowError):
    """The row or the lease row has changed since it was read."""


class RowUnknownError(RowError):
    """The write's answer was lost, and the write may yet take effect."""


class LeaseLostError(RowError):
    """This process does not hold the lease."""


class Written(Enum):
    """The outcome of a transaction."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class StoredRow(Protocol):
    """A row as the table client returns it."""

    value: bytes
    mod_revision: int


class RowTable(Protocol):
    """What reservations need of the table client."""

    async def read(self, key: str) -> StoredRow | None:
        """Reads a row, linearizable.

        Raises:
            RowError: If the table gives no answer.
        """

    async def replace(
        self, key: str, value: bytes, mod_revisions: Mapping[str, int]
    ) -> Written:
        """Puts a row if all named rows have their mod_revision; 0 is absent.

        Raises:
            RowError: If nothing was written.
        """


class HeldLease(Protocol):
    """The lease of the own failure domain.

    ``mod_revision`` is that of the last renewal.
    """

    key: str
    mod_revision: int
    epoch: int


class Versioned(NamedTuple):
    """A reservation and the revision of its row."""

    reservation: Reservation
    mod_revision: int


class ReservationRows:
    """The reservation rows, as the lease holder changes them."""

    def __init__(
        self,
        table: RowTable,
        lease: Callable[[], HeldLease | None],
        make_id: Callable[[], str],
    ):
        self._table = table
        self._lease = lease
        self._make_id = make_id

    def held_lease(self) -> HeldLease:
        """Returns the lease.

        Raises:
            LeaseLostError: If it is not held.
        """
        lease = self._lease()
        if lease is None:
            raise LeaseLostError("this process does not hold the lease")
        return lease

    async def read(self, upstream: UpstreamId) -> Versioned:
        """Reads a row; an absent one is a reservation without memory.

        Raises:
            RowError: If the table gives no answer.
        """
        row = await self._table.read(PREFIX + upstream)
        if row is None:
            return Versioned(Reservation(upstream=upstream, memory_bytes=0), 0)
        return Versioned(decode(row.value), row.mod_revision)

    async def write(
        self, base: Versioned, changed: Reservation, lease: HeldLease
    ) -> Reservation:
        """Replaces the row that ``base`` was read from.

        The lease is the one under which the change was decided.

        Raises:
            RowError: If the row was not written, or may not have been.
        """
        changed = msgspec.structs.replace(changed, write_id=self._make_id())
        key = PREFIX + changed.upstream
        written = await self._table.replace(
            key,
            encode(changed),
            {key: base.mod_revision, lease.key: lease.mod_revision},
        )
        if written is Written.CONFLICT:
            raise RowConflictError(f"{key} or {lease.key} has changed")
        if written is Written.UNKNOWN:
            await self._resolve(base, changed)
        return changed

    async def _resolve(self, base: Versioned, changed: Reservation) -> None:
        key = PREFIX + changed.upstream
        try:
            found = await self.read(changed.upstream)
        except RowError as error:
            raise RowUnknownError(f"{key}: outcome unknown") from error
        if found.reservation.write_id == changed.write_id:
            return
        if found.mod_revision == base.mod_revision:
            raise RowUnknownError(f"{key}: outcome unknown")
        raise RowConflictError(f"{key} has changed")
