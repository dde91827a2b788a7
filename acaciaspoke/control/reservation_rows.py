"""Reads and writes reservation rows under a lease.

Each write is conditional on the revisions of the row and of the lease row, so a
holder that was paused beyond the end of its lease can't change a row.
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
    """A row could not be read or written; no order may be sent."""


class RowConflictError(RowError):
    """The row or the lease row has changed since it was read."""


class RowOutcomeUnknownError(RowError):
    """The response to a write was lost; the write may still take effect."""


class LeaseLostError(RowError):
    """This process does not hold the lease."""


class WriteOutcome(Enum):
    """The outcome of a transaction."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class StoredRow(Protocol):
    """A row as the table client returns it."""

    value: bytes
    mod_revision: int


class RowTable(Protocol):
    """The table operations that reservation rows use."""

    async def read(self, key: str) -> StoredRow | None:
        """Returns a row by a linearizable read.

        Raises:
            RowError: If the table does not respond.
        """

    async def replace(
        self, key: str, value: bytes, mod_revisions: Mapping[str, int]
    ) -> WriteOutcome:
        """Writes a row if all given mod_revisions match; 0 means absent.

        Raises:
            RowError: If nothing was written.
        """


class HeldLease(Protocol):
    """The lease of this host's failure domain.

    ``mod_revision`` is that of the last renewal.
    """

    key: str
    mod_revision: int
    epoch: int


class StoredReservation(NamedTuple):
    """A reservation and the revision of its row."""

    reservation: Reservation
    mod_revision: int


class ReservationRows:
    """Reads and writes the reservation rows of the lease holder."""

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

    async def read(self, upstream: UpstreamId) -> StoredReservation:
        """Returns a row; an absent one is a reservation without memory.

        Raises:
            RowError: If the table does not respond.
        """
        row = await self._table.read(PREFIX + upstream)
        if row is None:
            return StoredReservation(
                Reservation(upstream=upstream, memory_bytes=0), 0
            )
        return StoredReservation(decode(row.value), row.mod_revision)

    async def write(
        self, base: StoredReservation, changed: Reservation, lease: HeldLease
    ) -> Reservation:
        """Replaces the row that ``base`` was read from.

        ``lease`` must be the lease under which the change was decided.

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
        if written is WriteOutcome.CONFLICT:
            raise RowConflictError(f"{key} or {lease.key} has changed")
        if written is WriteOutcome.UNKNOWN:
            await self._resolve(base, changed)
        return changed

    async def _resolve(
        self, base: StoredReservation, changed: Reservation
    ) -> None:
        key = PREFIX + changed.upstream
        try:
            found = await self.read(changed.upstream)
        except RowError as error:
            raise RowOutcomeUnknownError(
                f"{key}: outcome of the write unknown"
            ) from error
        if found.reservation.write_id == changed.write_id:
            return
        if found.mod_revision == base.mod_revision:
            raise RowOutcomeUnknownError(f"{key}: outcome of the write unknown")
        raise RowConflictError(f"{key} has changed")
