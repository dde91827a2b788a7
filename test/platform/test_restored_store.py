"""Tests of the store's client while the store comes back from a copy."""

import unittest
from contextlib import asynccontextmanager

from acaciaspoke.clients.table import (
    Committed,
    Condition,
    Conflict,
    OutcomeUnknown,
    Put,
    TableUnavailable,
    Transaction,
)
from acaciaspoke.platform.store import HistoryGoneError, StoreClient
from standins.faults import Faults
from test.builders import next_address
from test.clients.row_contract import RowContract
from test.platform.restored_store import (
    Scripted,
    scripted_store,
    store_with_eras,
)


def _put(key, value=b"x", *conditions):
    return Transaction(conditions, (Put(key, value),))


def _values(page):
    return {row.key: row.value for row in page.rows}


class StoreWithErasTest(RowContract, unittest.IsolatedAsyncioTestCase):

    def service(self, timeout_s=5.0):
        return store_with_eras(timeout_s)

    def unconnected(self):
        return StoreClient(next_address(), 1.0)


class ReadTest(unittest.IsolatedAsyncioTestCase):
    """Versions go back, and are given out again to other rows."""

    async def test_rows_are_read_although_their_versions_are_lower(self):
        async with store_with_eras() as (standin, store):
            copy = standin.copy()
            for number in range(3):
                standin.put("hosts", f"lost{number}", b"x")
            before = await store.read_table("hosts")
            standin.restore(copy)
            standin.put("hosts", "new", b"y")
            after = await store.read_table("hosts")
            self.assertEqual({"new": b"y"}, _values(after))
            row = await store.read("hosts/new")
            self.assertEqual(b"y", row.value)
            self.assertIsNone(await store.read("hosts/lost0"))
            # Versions that leave the client are ordered across eras.
            self.assertGreater(after.version, before.version)
            self.assertGreater(row.mod_revision, before.version)
            self.assertEqual(row.mod_revision, after.rows[0].version)

    async def test_any_restore_is_known_after_the_first_response(self):
        async with store_with_eras() as (standin, store):
            await store.read_table("hosts")
            self.assertFalse(store.was_restored)
        async with store_with_eras() as (standin, store):
            standin.restore(standin.copy())
            await store.read_table("hosts")
            self.assertTrue(store.was_restored)

    async def test_feed_after_a_version_that_exists_again_misses_no_row(self):
        for knows_era in (False, True):
            with self.subTest(knows_era=knows_era):
                async with store_with_eras() as (standin, store):
                    await self._check_feed_after_a_lost_version(
                        standin, store, knows_era
                    )

    async def _check_feed_after_a_lost_version(self, standin, store, knows_era):
        copy = standin.copy()
        for number in range(3):
            standin.put("servers", f"lost{number}", b"x")
        before = await store.read_table("servers")
        standin.restore(copy)
        for number in range(5):
            standin.put("servers", f"new{number}", b"y")
        if knows_era:
            await store.read("hosts/none")
        with self.assertRaises(HistoryGoneError):
            await store.follow("servers", before.version, 0.1)
        page = await store.read_table("servers")
        self.assertEqual({f"new{n}": b"y" for n in range(5)}, _values(page))
        standin.put("servers", "newest", b"z")
        page = await store.follow("servers", page.version, 1.0)
        self.assertEqual({"newest": b"z"}, _values(page))
        page = await store.follow("servers", page.version, 0.1)
        self.assertEqual([], page.rows)

    async def test_feed_after_a_version_that_was_lost_is_read_again(self):
        async with store_with_eras() as (standin, store):
            copy = standin.copy()
            standin.put("servers", "lost", b"x")
            before = await store.read_table("servers")
            standin.restore(copy)
            with self.assertRaises(HistoryGoneError):
                await store.follow("servers", before.version, 0.1)
            page = await store.read_table("servers")
            self.assertEqual([], page.rows)

    async def test_table_whose_pages_are_of_two_eras_is_read_again(self):
        async with store_with_eras() as (standin, store):
            for number in range(600):
                standin.put("servers", f"u{number:03}", b"x")
            respond = standin.respond

            async def restore_before_the_second_page(call, body):
                if "from=" in call.query:
                    standin.respond = respond
                    standin.restore(standin.copy())
                    standin.put("servers", "a-new-row", b"y")
                return await respond(call, body)

            standin.respond = restore_before_the_second_page
            with self.assertRaises(TableUnavailable):
                page = await store.read_table("servers")
                await store.follow("servers", page.version, 0.1)
            page = await store.read_table("servers")
            self.assertEqual(601, len(_values(page)))


class CommitTest(unittest.IsolatedAsyncioTestCase):
    """A row with the version of a condition is not the row that was read."""

    @asynccontextmanager
    async def _service(self):
        """Yields a stand-in and a client that has not seen the restore.

        The row of ``condition`` has another value in the new era, but the same
        version; newer versions are higher than all that the client has seen.
        """
        async with store_with_eras() as (standin, store):
            copy = standin.copy()
            await store.commit(_put("lease/a", b"mine"))
            self.row = await store.read("lease/a")
            self.condition = Condition("lease/a", self.row.mod_revision)
            standin.restore(copy)
            standin.put("lease", "a", b"of another host")
            standin.put("lease", "b", b"x")
            standin.put("lease", "b", b"y")
            yield standin, store

    async def _commit(self, store, *conditions):
        return await store.commit(
            _put("lease/a", b"mine again", self.condition, *conditions)
        )

    async def test_condition_of_an_earlier_era_conflicts(self):
        async with self._service() as (standin, store):
            await store.read("lease/b")
            conflict = await self._commit(store, Condition("lease/none"))
            self.assertIsInstance(conflict, Conflict)
            self.assertEqual(b"of another host", conflict.rows["lease/a"].value)
            self.assertIsNone(conflict.rows["lease/none"])
            self.assertEqual(
                (b"of another host", 1), standin.rows["lease", "", "a"]
            )

    async def test_current_rows_of_a_conflict_are_a_valid_condition(self):
        async with self._service() as (standin, store):
            await store.read("lease/b")
            conflict = await self._commit(store)
            self.assertIsInstance(conflict, Conflict)
            revision = conflict.rows["lease/a"].mod_revision
            self.condition = Condition("lease/a", revision)
            self.assertIsInstance(await self._commit(store), Committed)
            self.assertEqual((b"mine again", 4), standin.rows["lease", "", "a"])

    async def test_outcome_is_unknown_if_the_era_was_not_known(self):
        async with self._service() as (_, store):
            with self.assertRaises(OutcomeUnknown):
                await self._commit(store)

    async def test_conflict_in_an_era_that_was_not_known_has_current_rows(self):
        async with self._service() as (standin, store):
            standin.put("lease", "a", b"newest")
            conflict = await self._commit(store)
            self.assertIsInstance(conflict, Conflict)
            row = await store.read("lease/a")
            self.assertEqual(b"newest", row.value)
            self.assertEqual(row, conflict.rows["lease/a"])
            self.assertGreater(row.mod_revision, self.row.mod_revision)

    async def test_condition_without_a_row_holds_in_any_era(self):
        async with self._service() as (_, store):
            await store.read("lease/b")
            created = await store.commit(
                _put("lease/new", b"x", Condition("lease/new"))
            )
            self.assertIsInstance(created, Committed)
            self.assertGreater(created.revision, self.row.mod_revision)
            row = await store.read("lease/new")
            self.assertEqual(created.revision, row.mod_revision)

    async def test_write_with_a_lower_version_in_a_known_era_is_committed(self):
        async with store_with_eras() as (standin, store):
            copy = standin.copy()
            for number in range(5):
                await store.commit(_put(f"hosts/lost{number}"))
            standin.restore(copy)
            await store.read("hosts/none")
            done = await store.commit(_put("hosts/new"))
            self.assertIsInstance(done, Committed)


class RepeatedResponseTest(unittest.IsolatedAsyncioTestCase):
    """A response comes once more where the next one is expected."""

    async def test_rows_of_an_earlier_era_are_not_used(self):
        async with scripted_store(Scripted(2, 3), Scripted(1, 9)) as store:
            await store.read_table("hosts")
            with self.assertRaises(TableUnavailable):
                await store.read_table("hosts")

    async def test_rows_of_an_era_that_ended_during_the_call_are_not_used(self):
        """Another host has sent the new era meanwhile."""
        async with scripted_store(Scripted(1, 5), Scripted(1, 5)) as store:
            send = store._http.request

            async def request(*args, **options):
                response = await send(*args, **options)
                store.record_era(2)
                return response

            await store.read("lease/engines")
            store._http.request = request
            with self.assertRaises(TableUnavailable):
                await store.read("lease/engines")

    async def test_feed_of_an_earlier_era_is_not_used(self):
        async with scripted_store(Scripted(2, 3), Scripted(1, 9)) as store:
            page = await store.read_table("hosts")
            with self.assertRaises(TableUnavailable):
                await store.follow("hosts", page.version, 0.1)

    async def test_commit_of_an_earlier_era_is_not_taken_for_written(self):
        async with scripted_store(Scripted(2, 3), Scripted(1, 9)) as store:
            await store.read_table("hosts")
            with self.assertRaises(OutcomeUnknown):
                await store.commit(_put("hosts/a"))

    async def test_conflict_of_an_earlier_era_is_not_used(self):
        conflict = Scripted(1, 9, status=412)
        async with scripted_store(Scripted(2, 3), conflict) as store:
            await store.read_table("hosts")
            with self.assertRaises(OutcomeUnknown):
                await store.commit(_put("hosts/a", b"", Condition("hosts/a")))

    async def test_lower_version_within_a_later_era_is_not_used(self):
        responses = [Scripted(1, 9), Scripted(2, 5), Scripted(2, 4)]
        async with scripted_store(*responses) as store:
            await store.read_table("hosts")
            await store.read_table("hosts")
            with self.assertRaises(TableUnavailable):
                await store.read_table("hosts")

    async def test_era_that_is_no_number_is_an_error_of_the_call(self):
        for era in ("x", "-1", "1.5", "9" * 30, "9" * 5000):
            responses = [Scripted(1, 3), Scripted(era, 4), Scripted(1, 5)]
            with self.subTest(era=era[:9]):
                async with scripted_store(*responses) as store:
                    await store.read_table("hosts")
                    with self.assertRaises(TableUnavailable):
                        await store.read_table("hosts")
                    await store.read_table("hosts")


class EraTest(unittest.IsolatedAsyncioTestCase):
    """Callers of the client learn of a restore."""

    def setUp(self):
        self.restores = 0

    def _on_restored(self):
        self.restores += 1

    def _service(self):
        return store_with_eras(on_restored=self._on_restored)

    def _scripted(self, *responses):
        return scripted_store(*responses, on_restored=self._on_restored)

    async def test_first_era_is_no_restore(self):
        async with self._scripted(Scripted(4, 3)) as store:
            self.assertEqual(0, store.era)
            await store.read_table("hosts")
            self.assertEqual((4, 0), (store.era, self.restores))

    async def test_store_without_eras_is_never_restored(self):
        responses = [Scripted(None, 3), Scripted(None, 2), Scripted(None, 4)]
        async with self._scripted(*responses) as store:
            page = await store.read_table("hosts")
            self.assertEqual(3, page.version)
            with self.assertRaises(TableUnavailable):
                await store.read_table("hosts")
            await store.read_table("hosts")
            self.assertEqual((0, 0), (store.era, self.restores))

    async def test_callback_is_called_once_for_each_later_era(self):
        async with self._service() as (standin, store):
            await store.read_table("hosts")
            for era in (2, 3):
                standin.restore(standin.copy())
                for _ in range(3):
                    await store.read_table("hosts")
                    await store.commit(_put("hosts/a"))
                self.assertEqual((era, era - 1), (store.era, self.restores))

    async def test_two_restores_between_two_calls_call_back_once(self):
        async with self._service() as (standin, store):
            await store.read_table("hosts")
            for _ in range(2):
                standin.restore(standin.copy())
            await store.read_table("hosts")
            self.assertEqual((3, 1), (store.era, self.restores))

    async def test_earlier_era_does_not_call_back(self):
        responses = [Scripted(2, 3), Scripted(1, 9), Scripted(2, 4)]
        async with self._scripted(*responses) as store:
            await store.read_table("hosts")
            with self.assertRaises(TableUnavailable):
                await store.read_table("hosts")
            await store.read_table("hosts")
            self.assertEqual((2, 0), (store.era, self.restores))

    async def test_answer_of_any_status_tells_the_era(self):
        async def read(store):
            await store.read_table("hosts")

        async def follow(store):
            await store.follow("hosts", before.version, 0.1)

        async def commit(store):
            await store.commit(_put("hosts/a", b"", Condition("hosts/a", 99)))

        for call, faults in (
            (follow, Faults()),
            (commit, Faults()),
            (read, Faults(refuse=True)),
            (commit, Faults(refuse=True)),
        ):
            self.restores = 0
            with self.subTest(call=call.__name__, refuse=faults.refuse):
                async with self._service() as (standin, store):
                    copy = standin.copy()
                    standin.put("hosts", "lost", b"x")
                    before = await store.read_table("hosts")
                    standin.restore(copy)
                    standin.set_faults(faults)
                    try:
                        await call(store)
                    except (TableUnavailable, OutcomeUnknown):
                        pass
                    self.assertEqual((2, 1), (store.era, self.restores))
