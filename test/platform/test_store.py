"""Tests of the client of the platform's metadata store."""

import asyncio
import re
import unittest
from contextlib import asynccontextmanager

from acaciaspoke.clients.table import (
    Committed,
    OutcomeUnknown,
    Put,
    TableUnavailable,
    Transaction,
)
from acaciaspoke.platform.store import HistoryGoneError, StoreClient
from standins.http import serving
from standins.metastore import MetaStore
from test.builders import next_address
from test.clients.row_contract import RowContract


@asynccontextmanager
async def store_service(timeout_s: float = 5.0):
    """Yields a stand-in of a store without eras, and its client."""
    standin = MetaStore(has_eras=False)
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


class RepeatedResponseTest(unittest.IsolatedAsyncioTestCase):
    """A response comes once more where the next one is expected."""

    async def asyncSetUp(self):
        self.address = next_address()
        self.responses = []
        self.asked = []
        ip, port = self.address.split(":")
        server = await asyncio.start_server(self._serve, ip, int(port))
        await self.enterAsyncContext(server)
        self.store = await self.enterAsyncContext(
            StoreClient(self.address, 2.0)
        )

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                match = re.search(rb"(?i)content-length: (\d+)", head)
                if match:
                    await reader.readexactly(int(match[1]))
                self.asked.append(head.split(b" ", 2)[1].decode())
                for version in self.responses.pop(0):
                    body = b'{"ver": %d, "rows": []}' % version
                    writer.write(
                        b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s"
                        % (len(body), body)
                    )
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            writer.close()

    async def _commit(self):
        return await self.store.commit(Transaction((), (Put("hosts/a", b""),)))

    async def test_commit_is_not_taken_for_written(self):
        # The second response comes after the request that it does not answer.
        self.responses = [[5], [5, 6]]
        self.assertEqual(Committed(5), await self._commit())
        with self.assertRaises(OutcomeUnknown):
            await self._commit()

    async def test_rows_of_an_earlier_read_are_not_used(self):
        self.responses = [[5], [6], [5, 6]]
        await self.store.read_table("hosts")
        await self._commit()
        with self.assertRaises(TableUnavailable):
            await self.store.read_table("hosts")

    async def test_copy_that_comes_at_once_is_not_read_at_all(self):
        self.responses = [[5, 5], [6, 6], [7]]
        for version in (5, 6, 7):
            self.assertEqual(Committed(version), await self._commit())
