"""Tests of the configuration log against the platform's stand-ins."""

import unittest
from types import SimpleNamespace

import anyio
import msgspec

from acaciaspoke.clients.table import TableClient
from acaciaspoke.config.errors import (
    ConfigConflict,
    ConfigLogError,
    ConfigOutcomeUnknown,
    ConfigUnavailable,
    UnknownVersion,
)
from acaciaspoke.config.rows import LogRow
from acaciaspoke.config.store import (
    VERSIONS_PER_SNAPSHOT,
    ConfigStore,
    Submitted,
)
from standins.faults import Faults
from standins.objects import Objects
from standins.table import Table
from test.builders import config_log


async def add_rank(store: ConfigStore, level: int, base: int, patch_id=""):
    return await store.submit(
        {"ranks": {f"r{level}": {"level": level, "floor_share": 0}}},
        base_version=base,
        patch_id=patch_id or f"p{level}",
        author="op",
    )


def fill(table: Table, first: int, last: int) -> None:
    """Stores the rows of many versions directly."""
    for version in range(first, last + 1):
        rank = {"level": version, "floor_share": 0}
        patch = {"ranks": {f"r{version}": rank}}
        row = LogRow(
            version=version,
            patch_id=f"p{version}",
            author="op",
            merge_patch=msgspec.json.encode(patch).decode(),
        )
        table.put(b"config/patch/%012d" % version, msgspec.json.encode(row))
    table.put(b"config/head", b'{"version": %d}' % last)


class Race:
    """Delays commits until all racers have reached theirs."""

    def __init__(self, racers: int):
        self._missing = racers
        self._start = anyio.Event()

    def wrap(self, table: TableClient):
        async def commit(transaction):
            self._missing -= 1
            if not self._missing:
                self._start.set()
            await self._start.wait()
            return await table.commit(transaction)

        return SimpleNamespace(read=table.read, scan=table.scan, commit=commit)


class SubmitTest(unittest.IsolatedAsyncioTestCase):

    async def test_one_of_two_racing_operators_wins(self):
        """Guards against a patch that overwrites one unknown to its author."""
        async with config_log() as (_, open_store):
            race, results = Race(2), []
            stores = [open_store(race.wrap) for _ in range(2)]

            async def submit(store, level):
                try:
                    results.append(await add_rank(store, level, 0))
                except ConfigConflict as conflict:
                    results.append(conflict.current)

            async with anyio.create_task_group() as tasks:
                for level, store in enumerate(stores):
                    tasks.start_soon(submit, store, level)
            self.assertCountEqual(results, [Submitted(1), 1])
            config = await open_store().load()
            self.assertEqual((config.version, len(config.ranks)), (1, 1))

    async def test_repeated_id_returns_its_first_version(self):
        """Guards against a patch that is applied twice."""
        async with config_log() as (_, open_store):
            store = open_store()
            await add_rank(store, 0, 0, "same")
            await add_rank(store, 1, 1)
            repeated = await add_rank(open_store(), 2, 2, "same")
            self.assertEqual(repeated, Submitted(1, read_back=True))
            self.assertEqual((await store.load()).version, 2)

    async def test_concurrent_submits_of_one_id_create_one_version(self):
        """Guards against a host that caches its own patch as the winner."""
        async with config_log() as (_, open_store):
            race, versions = Race(2), []
            stores = [open_store(race.wrap) for _ in range(2)]

            async def submit(store, level):
                result = await add_rank(store, level, 0, "same")
                versions.append(result.version)

            async with anyio.create_task_group() as tasks:
                for level, store in enumerate(stores):
                    tasks.start_soon(submit, store, level)
            self.assertEqual(versions, [1, 1])
            first, second = [await store.load() for store in stores]
            self.assertEqual(first, second)

    async def test_lost_response_is_resolved_by_reading_back(self):
        """Guards against an error or a second version after a lost response."""
        for faults in (Faults(drop_answers=1), Faults(drop_requests=1)):
            with self.subTest(faults):
                async with config_log() as (table, open_store):
                    table.set_faults(faults)
                    result = await add_rank(open_store(), 0, 0)
                    self.assertEqual(result.version, 1)
                    rows = await open_store().history()
                    self.assertEqual([row.version for row in rows], [1])

    async def test_outcome_that_cannot_be_read_back_is_unknown(self):
        """Guards against "nothing was committed" after a lost response."""
        async with config_log() as (table, open_store):
            table.set_faults(Faults(drop_requests=9))
            with self.assertRaises(ConfigOutcomeUnknown):
                await add_rank(open_store(), 0, 0)
            table.set_faults(Faults(refuse=True))
            with self.assertRaises(ConfigUnavailable):
                await add_rank(open_store(), 0, 0)

    async def test_invalid_patch_is_not_stored(self):
        async with config_log() as (table, open_store):
            with self.assertRaises(ExceptionGroup):
                await add_rank(open_store(), -1, 0)
            self.assertEqual(table.writes, 0)


class LoadTest(unittest.IsolatedAsyncioTestCase):

    async def test_stale_read_never_lowers_the_version(self):
        """Guards against a version in force that reverts."""
        async with config_log() as (table, open_store):
            store = open_store()
            await add_rank(store, 0, 0)
            table.set_faults(Faults(stale=True))
            await add_rank(store, 1, 1)
            self.assertEqual((await store.refresh()).version, 2)
            self.assertFalse(store.apply_rows(await store.history()))
            self.assertEqual((await open_store().load()).version, 2)

    async def test_table_that_lost_rows_is_reported(self):
        """Guards against version numbers that are assigned twice."""
        async with config_log() as (table, open_store):
            store = open_store()
            await add_rank(store, 0, 0)
            for key in list(table.rows):
                table.delete(key)
            self.assertEqual((await store.load()).version, 1)
            with self.assertRaises(ConfigLogError):
                await add_rank(store, 1, 1)

    async def test_invalid_patch_row_keeps_the_cached_version(self):
        """Guards against exceptions that users of the log do not handle."""
        async with config_log() as (table, open_store):
            store = open_store()
            await add_rank(store, 0, 0)
            for text in ('{"newer": 1}', "not JSON"):
                row = LogRow(
                    version=2, patch_id="p", author="op", merge_patch=text
                )
                with self.subTest(text), self.assertRaises(ConfigLogError):
                    store.apply_rows([row])
            self.assertEqual(store.config.version, 1)
            table.put(b"config/head", b"[]")
            with self.assertRaises(ConfigLogError):
                await store.load()

    async def test_rows_after_a_gap_are_not_applied(self):
        """Guards against a patch that is applied to the wrong version."""
        async with config_log() as (_, open_store):
            store, other = open_store(), open_store()
            for level in range(3):
                await add_rank(store, level, level)
            third, second, first = await store.history()
            self.assertFalse(other.apply_rows([third, second]))
            self.assertTrue(other.apply_rows([third, first]))
            self.assertEqual(other.config.version, 1)
            self.assertTrue(other.apply_rows([first, second, third]))
            self.assertEqual(other.config, store.config)

    async def test_history_and_old_versions(self):
        async with config_log() as (_, open_store):
            store = open_store()
            for level in range(4):
                await add_rank(store, level, level)
            rows = await store.history(limit=2)
            self.assertEqual([row.version for row in rows], [4, 3])
            self.assertEqual((rows[0].author, rows[0].patch_id), ("op", "p3"))
            rows = await store.history(limit=9, before=3)
            self.assertEqual([row.version for row in rows], [2, 1])
            self.assertEqual(len((await open_store().at(2)).ranks), 2)
            with self.assertRaises(UnknownVersion):
                await store.at(5)

    async def test_snapshots_replace_patch_rows_and_may_be_missing(self):
        """Guards against a restart that depends on the object store."""
        objects = Objects()
        async with config_log(objects) as (table, open_store):
            fill(table, 1, VERSIONS_PER_SNAPSHOT - 1)
            await add_rank(
                open_store(), VERSIONS_PER_SNAPSHOT, VERSIONS_PER_SNAPSHOT - 1
            )
            (first,) = objects.objects
            fill(
                table, VERSIONS_PER_SNAPSHOT + 1, 2 * VERSIONS_PER_SNAPSHOT + 3
            )
            # The host that committed the second snapshot's version failed.
            expected = await open_store().load()
            self.assertEqual(len(expected.ranks), 2 * VERSIONS_PER_SNAPSHOT + 3)
            self.assertEqual(len(objects.objects), 2)
            del objects.objects[first]
            objects.set_faults(Faults(refuse=True))
            self.assertEqual(await open_store().load(), expected)
            objects.set_faults(Faults())
            for version in range(2 * VERSIONS_PER_SNAPSHOT + 1):
                table.delete(b"config/patch/%012d" % version)
            self.assertEqual(await open_store().load(), expected)
