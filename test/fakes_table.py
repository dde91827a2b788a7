"""An in-memory table with injectable write faults."""

from enum import Enum

import anyio

from acaciaspoke.clients.table import (
    Committed,
    Conflict,
    OutcomeUnknown,
    Put,
    Row,
    TableUnavailable,
)


class Fault(Enum):
    """The outcome of a faulty write."""

    NOT_WRITTEN = 1
    WRITTEN_ANSWER_LOST = 2
    LOST = 3
    ARRIVES_LATE = 4


class FakeTable:
    """A fake of the table client.

    Attributes:
        faults: Faults of the next writes, in order.
        is_unavailable: Whether the table is unavailable.
        batch_sizes: The number of transactions of each write.
        late: Delayed writes that have not arrived yet.
    """

    def __init__(self, write_s: float = 0.01):
        self.rows: dict[str, Row] = {}
        self.faults: list[Fault] = []
        self.is_unavailable = False
        self.batch_sizes: list[int] = []
        self.late = []
        self._revision = 0
        self._write_s = write_s

    async def commit_each(self, transactions):
        await anyio.sleep(self._write_s)
        self.batch_sizes.append(len(transactions))
        fault = self.faults.pop(0) if self.faults else None
        if self.is_unavailable or fault is Fault.NOT_WRITTEN:
            raise TableUnavailable("out")
        if fault is Fault.ARRIVES_LATE:
            self.late.append(transactions)
        if fault in (Fault.ARRIVES_LATE, Fault.LOST):
            raise OutcomeUnknown("no answer")
        results = self._apply(transactions)
        if fault is Fault.WRITTEN_ANSWER_LOST:
            raise OutcomeUnknown("no answer")
        return results

    async def commit(self, transaction):
        return (await self.commit_each([transaction]))[0]

    async def read(self, key, stale_ok=False):
        await anyio.sleep(self._write_s)
        if self.is_unavailable:
            raise TableUnavailable("out")
        return self.rows.get(key)

    async def scan(self, prefix, limit, start_after=""):
        keys = sorted(
            key
            for key in self.rows
            if key.startswith(prefix) and key > start_after
        )
        return [self.rows[key] for key in keys[:limit]]

    def deliver_delayed_writes(self) -> None:
        """Applies the delayed writes."""
        for transactions in self.late:
            self._apply(transactions)
        self.late.clear()

    def _apply(self, transactions):
        written = [w.key for t in transactions for w in t.writes]
        if len(written) != len(set(written)):
            raise AssertionError("duplicate key given in txn request")
        self._revision += 1
        return [self._apply_one(transaction) for transaction in transactions]

    def _apply_one(self, transaction):
        rows = {
            condition.key: self.rows[condition.key]
            for condition in transaction.conditions
            if condition.key in self.rows
        }
        for key, mod_revision in transaction.conditions:
            if mod_revision != (rows[key].mod_revision if key in rows else 0):
                return Conflict(rows)
        for write in transaction.writes:
            old = self.rows.pop(write.key, None)
            if isinstance(write, Put):
                created = old.create_revision if old else self._revision
                self.rows[write.key] = Row(
                    write.key, write.value, self._revision, created
                )
        return Committed(self._revision)
