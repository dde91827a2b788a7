"""Tests of the client of the platform's metadata store."""

import unittest
from contextlib import asynccontextmanager

from acaciaspoke.clients.table import Put, TableUnavailable, Transaction
from acaciaspoke.platform.store import HistoryGoneError, StoreClient
from standins.http import serving
from standins.metastore import MetaStore
from test.builders import next_address
from test.clients.row_contract import RowContract


@asynccontextmanager
async def store_service(timeout_s: float = 5.0):
    """Yields a stand-in of the store and its client."""
    standin = MetaStore()
    address = next_address()
    ip, port = address.split(":")
    async with serving(standin.handle, ip, int(port)):
        async with StoreClient(address, timeout_s) as store:
            yield standin, store


class StoreTest(RowContract, unittest.IsolatedAsyncioTestCase):

    def service(self, timeout_s=5.0):
        return store_service(timeout_s)

    def unconnected(self):
        return StoreClient(next_address(), 1.0)

    async def test_table_is_read_in_pages(self):
        async with store_service() as (standin, store):
            for number in range(1100):
                standin.put("servers", f"i{number:04}", {})
            page = await store.read_table("servers")
            self.assertEqual(1100, len({row.key for row in page.rows}))
            self.assertEqual(1100, page.version)

    async def test_feed_returns_changes_and_removals_in_order(self):
        async with store_service() as (standin, store):
            await store.commit(Transaction((), (Put("hosts/a", b"1"),)))
            page = await store.read_table("hosts")
            standin.put("hosts", "b", b"2")
            standin.put("op", "config", b"other table")
            standin.remove("hosts", "a")
            page = await store.follow("hosts", page.version, 1.0)
            self.assertEqual(
                [("b", b"2"), ("a", None)], [row[:2] for row in page.rows]
            )
            self.assertEqual(4, page.version)

    async def test_lost_history_differs_from_an_outage(self):
        async with store_service() as (standin, store):
            standin.put("op", "config", b"1")
            standin.discard_history()
            with self.assertRaises(HistoryGoneError):
                await store.follow("op", 0, 1.0)
        with self.assertRaises(TableUnavailable):
            async with self.unconnected() as store:
                await store.follow("op", 0, 0.1)
