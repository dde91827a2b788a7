"""Tests that every client with conditional writes has to pass."""

from acaciaspoke.clients.table import (
    Committed,
    Condition,
    Conflict,
    Delete,
    OutcomeUnknown,
    Put,
    TableUnavailable,
    Transaction,
)
from standins.faults import Faults


def create(key: str, value: bytes = b"v") -> Transaction:
    return Transaction((Condition(key),), (Put(key, value),))


class RowContract:
    """Mixin of a test case, which provides the service and its client.

    The first part of a key is the table's name if the service has tables.
    """

    def service(self, timeout_s: float = 5.0):
        """Returns a context manager of a stand-in and its client."""
        raise NotImplementedError

    def unconnected(self):
        """Returns a client of an address where nothing listens."""
        raise NotImplementedError

    async def test_reads_what_was_committed(self):
        async with self.service() as (_, table):
            self.assertIsNone(await table.read("t/a"))
            done = await table.commit(create("t/a", b"\xff"))
            row = await table.read("t/a")
            self.assertEqual(row.value, b"\xff")
            self.assertEqual(done, Committed(row.mod_revision))
            await table.commit(Transaction((), (Delete("t/a"),)))
            self.assertIsNone(await table.read("t/a"))

    async def test_conflict_carries_current_rows(self):
        """Guards against a create that overwrites an existing row."""
        async with self.service() as (_, table):
            await table.commit(create("t/a", b"first"))
            result = await table.commit(
                Transaction(
                    (Condition("t/a"), Condition("t/b")),
                    (Put("t/a", b"second"),),
                )
            )
            self.assertIsInstance(result, Conflict)
            self.assertEqual(result.rows["t/a"].value, b"first")
            self.assertIsNone(result.rows["t/b"])

    async def test_write_with_lost_response_is_unknown_and_sent_once(self):
        """Guards against a retry of a write that may have been applied."""
        for faults, applied in (
            (Faults(drop_answers=9), 1),
            (Faults(drop_requests=9), 0),
            (Faults(delay_s=5), 0),
        ):
            with self.subTest(faults):
                async with self.service(timeout_s=0.3) as (standin, table):
                    standin.set_faults(faults)
                    with self.assertRaises(OutcomeUnknown):
                        await table.commit(create("t/a"))
                    self.assertEqual(standin.writes, applied)

    async def test_refusal_and_failed_connection_are_certain(self):
        """Guards against reporting a certain failure as unknown."""
        async with self.service() as (standin, table):
            standin.set_faults(Faults(refuse=True))
            with self.assertRaises(TableUnavailable):
                await table.commit(create("t/a"))
        async with self.unconnected() as table:
            with self.assertRaises(TableUnavailable):
                await table.commit(create("t/a"))
            with self.assertRaises(TableUnavailable):
                await table.read("t/a")
