"""Tests of the table client against the stand-in."""

import unittest

from acaciaspoke.clients.table import Committed, Conflict, TableClient
from acaciaspoke.util.metrics import Metrics
from standins.faults import Faults
from test.builders import next_address, table_service
from test.clients.row_contract import RowContract, create


class TableTest(RowContract, unittest.IsolatedAsyncioTestCase):

    def service(self, timeout_s=5.0):
        return table_service(timeout_s=timeout_s)

    def unconnected(self):
        return TableClient(next_address(), 1.0, Metrics())

    async def test_scans_a_prefix_in_pages(self):
        """Guards against pages that repeat or omit a row."""
        async with table_service() as (_, table):
            for key in ("p/1", "p/2", "p/3", "p0", "o"):
                await table.commit(create(key))
            first = await table.scan("p/", limit=2)
            rest = await table.scan("p/", start_after=first[-1].key)
            keys = [row.key for row in first + rest]
            self.assertEqual(keys, ["p/1", "p/2", "p/3"])

    async def test_commits_each_transaction_independently(self):
        """Guards against a conflict that fails the whole batch."""
        async with table_service() as (standin, table):
            await table.commit(create("b"))
            results = await table.commit_each([create(k) for k in "abc"])
            kinds = [type(result) for result in results]
            self.assertEqual(kinds, [Committed, Conflict, Committed])
            self.assertEqual(standin.writes, 2)
            with self.assertRaises(ValueError):
                await table.commit_each([create("d"), create("d")])

    async def test_reads_are_stale_only_if_allowed(self):
        """Guards against a linearizable read that is sent as serializable."""
        async with table_service() as (standin, table):
            standin.set_faults(Faults(stale=True))
            await table.commit(create("a"))
            self.assertIsNotNone(await table.read("a"))
            self.assertIsNone(await table.read("a", stale_ok=True))
