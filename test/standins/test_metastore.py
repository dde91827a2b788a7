"""Tests of the stand-in for a platform's metadata store."""

import asyncio
import base64
import io
import json
import unittest
from contextlib import redirect_stderr

import anyio
import httpcore

from standins.faults import Faults
from standins.http import serving
from standins.metastore import MetaStore
from test.builders import next_address

TIMEOUT_S = 10.0


class MetaStoreTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.store = MetaStore()
        self.address = next_address()
        self.pool = await self.enterAsyncContext(httpcore.AsyncConnectionPool())
        self.server = asyncio.create_task(self._serve())
        with anyio.fail_after(TIMEOUT_S):
            while not await self._is_served():
                await anyio.sleep(0.01)

    async def asyncTearDown(self):
        self.server.cancel()
        await asyncio.gather(self.server, return_exceptions=True)

    async def _serve(self):
        ip, port = self.address.split(":")
        # The test may replace the store.
        async with serving(lambda call: self.store.handle(call), ip, int(port)):
            await anyio.sleep_forever()

    async def _is_served(self):
        try:
            await self._call("/rows-get?table=op")
        except httpcore.ConnectError:
            return False
        return True

    async def _call(self, target, document=None):
        response = await self.pool.request(
            "GET" if document is None else "POST",
            f"http://{self.address}{target}",
            content=None if document is None else json.dumps(document).encode(),
        )
        headers = {name.lower(): text for name, text in response.headers}
        era = headers.get(b"store-era")
        return response.status, era, json.loads(response.content)

    async def _feed(self, after, table="op", wait_ms=0):
        return await self._call(
            f"/rows-feed?table={table}&after={after}&wait-ms={wait_ms}"
        )

    async def _calls_of_each_kind(self):
        row = {"table": "hosts", "part": "", "key": "h1"}
        put = {**row, "value": base64.b64encode(b"x").decode()}
        self.store.put("op", "config", b"1")
        self.store.discard_history()
        yield 200, await self._call("/rows-get?table=op")
        yield 200, await self._call("/rows-tx", {"put": [put]})
        yield 412, await self._call(
            "/rows-tx", {"precondition": [{**row, "ver": 99}]}
        )
        yield 200, await self._feed(self.store.version)
        yield 410, await self._feed(0)
        yield 404, await self._call("/none")
        with redirect_stderr(io.StringIO()):
            yield 500, await self._call("/rows-get")
        self.store.set_faults(Faults(refuse=True))
        yield 429, await self._call("/rows-get?table=op")
        self.store.set_faults(Faults())

    async def _wait_for_followers(self, count, table="op"):
        with anyio.fail_after(TIMEOUT_S):
            while self.store.count_followers(table) != count:
                await anyio.sleep(0.01)

    async def test_all_responses_have_the_era(self):
        async for expected, (status, era, _) in self._calls_of_each_kind():
            self.assertEqual((expected, b"1"), (status, era))
        self.store.restore(self.store.copy())
        async for expected, (status, era, _) in self._calls_of_each_kind():
            self.assertEqual((expected, b"2"), (status, era))

    async def test_store_without_eras_has_no_header(self):
        self.store = MetaStore(has_eras=False)
        async for expected, (status, era, _) in self._calls_of_each_kind():
            self.assertEqual((expected, None), (status, era))

    async def test_versions_of_lost_rows_are_given_out_again(self):
        self.store.put("hosts", "kept", b"1")
        copy = self.store.copy()
        self.store.put("hosts", "lost", b"2")
        self.store.put("hosts", "kept", b"3")
        self.store.restore(copy)
        _, _, found = await self._call("/rows-get?table=hosts")
        self.assertEqual(1, found["ver"])
        self.assertEqual(
            [("kept", 1)], [(row["key"], row["ver"]) for row in found["rows"]]
        )
        self.store.put("hosts", "new", b"4")
        _, _, found = await self._feed(1, "hosts")
        self.assertEqual(
            [("new", 2)], [(row["key"], row["ver"]) for row in found["rows"]]
        )

    async def test_copies_are_made_and_restored_over_http(self):
        self.store.put("op", "config", b"1")
        _, _, first = await self._call("/standin/copy", {})
        self.store.put("op", "config", b"2")
        await self._call("/standin/copy", {})
        _, era, _ = await self._call("/standin/restore", first)
        self.assertEqual(b"2", era)
        self.assertEqual((b"1", 1), self.store.rows["op", "", "config"])

    async def test_copy_does_not_change_with_the_store(self):
        self.store.put("hosts", "a", b"1")
        copy = self.store.copy()
        for value in (b"2", b"3"):
            self.store.put("hosts", "a", value)
            self.store.restore(copy)
        self.assertEqual(3, self.store.era)
        self.assertEqual({("hosts", "", "a"): (b"1", 1)}, self.store.rows)

    async def test_feed_from_a_version_that_was_lost_gets_410(self):
        copy = self.store.copy()
        self.store.put("op", "config", b"1")
        self.store.restore(copy)
        self.assertEqual(410, (await self._feed(1))[0])
        self.store.put("op", "config", b"1")
        self.assertEqual(200, (await self._feed(1))[0])

    async def _check_that_a_waiting_feed_ends(self, interrupt):
        ended = anyio.Event()

        async def follow():
            with self.assertRaises(httpcore.RemoteProtocolError):
                await self._feed(0, wait_ms=30_000)
            ended.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow)
            await self._wait_for_followers(1)
            interrupt()
            with anyio.fail_after(TIMEOUT_S):
                await ended.wait()
        self.assertEqual(0, self.store.count_followers("op"))

    async def test_feed_does_not_continue_in_the_next_era(self):
        def restore():
            self.store.restore(self.store.copy())
            self.store.put("op", "config", b"of the next era")

        await self._check_that_a_waiting_feed_ends(restore)

    async def test_feed_with_changes_just_before_the_restore_ends(self):
        def restore():
            copy = self.store.copy()
            self.store.put("op", "config", b"lost")
            self.store.restore(copy)

        await self._check_that_a_waiting_feed_ends(restore)

    async def test_store_that_is_away_answers_nothing(self):
        await self._check_that_a_waiting_feed_ends(
            lambda: self.store.set_faults(Faults(away=True))
        )
        put = {"table": "hosts", "key": "a", "value": ""}
        for target, document in (
            ("/rows-get?table=op", None),
            ("/rows-tx", {"put": [put]}),
        ):
            with self.assertRaises(httpcore.RemoteProtocolError):
                await self._call(target, document)
        self.assertEqual(0, self.store.version)
        self.store.set_faults(Faults())
        self.assertEqual(200, (await self._call("/rows-get?table=op"))[0])


class WriteAgainTest(unittest.TestCase):
    """The operator and the upstreams write again what a restore lost."""

    def setUp(self):
        self.store = MetaStore()
        for name in ("u1", "u2"):
            self.store.put("servers", name, b"copied")
        self.copy = self.store.copy()

    def _rows(self):
        return {
            f"{key[0]}/{key[2]}": row[0] for key, row in self.store.rows.items()
        }

    def test_rows_of_the_system_stay_lost(self):
        self.store.put("servers", "u1", b"newer")
        self.store.remove("servers", "u2")
        self.store.put("op", "config", b"newer")
        self.store.put("hosts", "h1", b"newer")
        self.store.put("lease", "engines", b"newer")
        self.store.restore(self.copy)
        copied = {"servers/u1": b"copied", "servers/u2": b"copied"}
        self.assertEqual(copied, self._rows())
        self.store.write_again()
        self.assertEqual(
            {"servers/u1": b"newer", "op/config": b"newer"}, self._rows()
        )
        self.assertEqual(self.copy.version + 3, self.store.version)

    def test_only_chosen_rows_are_written(self):
        self.store.put("servers", "u1", b"newer")
        self.store.put("servers", "u2", b"newer")
        self.store.restore(self.copy)
        self.store.write_again(["u1"])
        self.assertEqual(
            {"servers/u1": b"newer", "servers/u2": b"copied"}, self._rows()
        )
        self.store.write_again()
        self.assertEqual(b"newer", self._rows()["servers/u2"])

    def test_rows_lost_in_two_restores_are_written(self):
        self.store.put("servers", "u1", b"newer")
        self.store.restore(self.copy)
        self.store.put("servers", "u2", b"newest")
        self.store.restore(self.copy)
        self.store.write_again()
        self.assertEqual(
            {"servers/u1": b"newer", "servers/u2": b"newest"}, self._rows()
        )

    def test_row_that_was_written_since_is_not_overwritten(self):
        self.store.put("servers", "u1", b"newer")
        self.store.restore(self.copy)
        self.store.put("servers", "u1", b"newest")
        self.store.write_again()
        self.assertEqual(b"newest", self._rows()["servers/u1"])
