"""Tests of the at-most-once claims, on a virtual clock."""

import functools
import itertools
import unittest
from contextlib import asynccontextmanager

import anyio

from acaciaspoke.entry import claims as claims_module
from acaciaspoke.entry.claimrows import (
    CLOCK_TOLERANCE_S,
    MAX_STORED_RESPONSE_BYTES,
    RETENTION_S,
    Answer,
    RowState,
    hash_body,
    read_row,
    sweep_step,
)
from acaciaspoke.entry.claims import MAX_DISPATCH_AGE_S, Claims
from acaciaspoke.entry.claimtypes import (
    AlreadyClaimed,
    Claimed,
    ClaimState,
    KeyReused,
    Replay,
    ResponseNotStored,
    StoreUnavailable,
)
from acaciaspoke.util.chart import ChartError
from acaciaspoke.util.metrics import Metrics
from test import virtualtime
from test.fakes_table import FakeTable, Fault

WALL_S = 1.7e9
BODY = hash_body("POST", "/book", b"{}")
ANSWER = Answer(status=201, headers=(("content-type", "a/b"),), body=b"ok")

_ids = itertools.count()


def wall_now():
    return WALL_S + anyio.current_time()


@asynccontextmanager
async def running(table, wall=wall_now):
    """Runs the claims of one entry process, which dies at the context's end."""
    claims = Claims(
        table,
        Metrics(),
        owner="entry",
        new_id=lambda: f"claim-{next(_ids)}",
        now=anyio.current_time,
        wall_now=wall,
    )
    async with anyio.create_task_group() as tasks:
        await tasks.start(claims.run)
        yield claims
        tasks.cancel_scope.cancel()


def on_virtual_clock(test):
    @functools.wraps(test)
    def run(self):
        return virtualtime.run(test, self)

    return run


async def claim(claims, key="k", body=BODY):
    return await claims.claim("acme", "ledger", key, body)


async def gather(*calls):
    results = [None] * len(calls)

    async def keep(index, call):
        results[index] = await call

    async with anyio.create_task_group() as tasks:
        for index, call in enumerate(calls):
            tasks.start_soon(keep, index, call)
    return results


async def release(claims, claim):
    claims.release(claim)
    await claim.settled.wait()


def row_states(table):
    return [read_row(row.value).state for row in table.rows.values()]


class ClaimTest(unittest.TestCase):

    @on_virtual_clock
    async def test_two_processes_claim_one_key_at_once(self):
        """Guards against a key that two processes both dispatch."""
        table = FakeTable()
        async with running(table) as one, running(table) as two:
            results = await gather(claim(one), claim(two))
        kinds = sorted(type(result).__name__ for result in results)
        self.assertEqual(kinds, ["AlreadyClaimed", "Claimed"])

    @on_virtual_clock
    async def test_one_process_claims_one_key_twice_in_a_batch(self):
        """Guards against putting a key twice in one write, which is refused."""
        table = FakeTable()
        other = hash_body("POST", "/book", b"other")
        async with running(table) as claims:
            results = await gather(
                claim(claims), claim(claims), claim(claims, body=other)
            )
        self.assertIsInstance(results[0], Claimed)
        self.assertEqual(results[1:], [AlreadyClaimed(), KeyReused()])
        self.assertEqual(table.batch_sizes, [1])

    @on_virtual_clock
    async def test_batches_share_writes(self):
        """Guards against one write per claim, which overloads the table."""
        table = FakeTable()
        async with running(table) as claims:
            await gather(*(claim(claims, str(i)) for i in range(100)))
        self.assertEqual(table.batch_sizes, [64, 36])

    @on_virtual_clock
    async def test_claim_of_a_dead_process_is_kept(self):
        """Guards against a second run after the owner of a claim died."""
        table = FakeTable()
        async with running(table) as dead:
            self.assertIsInstance(await claim(dead), Claimed)
        async with running(table) as claims:
            await anyio.sleep(RETENTION_S - 60)
            self.assertEqual(await claim(claims), AlreadyClaimed())

    @on_virtual_clock
    async def test_replays_the_stored_response(self):
        """Guards against a lost response, or one for a different body."""
        table = FakeTable()
        async with running(table) as one, running(table) as two:
            own = (await claim(one)).claim
            self.assertTrue(one.begin_dispatch(own))
            one.record_response(own, ANSWER)
            await own.settled.wait()
            self.assertIs(own.state, ClaimState.DONE)
            self.assertEqual(await claim(two), Replay(ANSWER))
            other = hash_body("POST", "/book", b"other")
            self.assertEqual(await claim(two, body=other), KeyReused())

    @on_virtual_clock
    async def test_large_response_is_not_stored_but_counts_as_run(self):
        """Guards against a second run because no response is stored."""
        table = FakeTable()
        async with running(table) as claims:
            own = (await claim(claims)).claim
            claims.begin_dispatch(own)
            body = b"x" * (MAX_STORED_RESPONSE_BYTES + 1)
            claims.record_response(own, Answer(status=200, body=body))
            await own.settled.wait()
            self.assertEqual(await claim(claims), ResponseNotStored())


class ReleaseTest(unittest.TestCase):

    @on_virtual_clock
    async def test_released_key_can_be_claimed_but_not_dispatched(self):
        """Guards against a dispatch after the caller was told "not run"."""
        table = FakeTable()
        async with running(table) as one, running(table) as two:
            own = (await claim(one)).claim
            await release(one, own)
            self.assertFalse(one.begin_dispatch(own))
            self.assertIsInstance(await claim(two), Claimed)

    @on_virtual_clock
    async def test_refused_request_releases_its_key(self):
        """Guards against a key that stays claimed after a refusal."""
        table = FakeTable()
        async with running(table) as claims:
            own = (await claim(claims)).claim
            claims.begin_dispatch(own)
            with self.assertRaises(ChartError):
                claims.begin_dispatch(own)
            await release(claims, own)
            self.assertIsInstance(await claim(claims), Claimed)

    @on_virtual_clock
    async def test_release_and_claim_of_one_key_at_once(self):
        """Guards against a batch with a key twice, which the table refuses."""
        table = FakeTable()
        async with running(table) as claims:
            own = (await claim(claims)).claim
            claims.release(own)
            self.assertEqual(await claim(claims), AlreadyClaimed())
            await own.settled.wait()
            self.assertIsInstance(await claim(claims), Claimed)

    @on_virtual_clock
    async def test_suspended_owner_does_not_dispatch(self):
        """Guards against a late dispatch after the sweep deleted the row."""
        table = FakeTable()
        async with running(table) as suspended, running(table) as other:
            own = (await claim(suspended)).claim
            await anyio.sleep(RETENTION_S + CLOCK_TOLERANCE_S + 1)
            await sweep_step(table, "", wall_now())
            self.assertIsInstance(await claim(other), Claimed)
            self.assertFalse(suspended.begin_dispatch(own))
            await own.settled.wait()
            self.assertEqual(row_states(table), [RowState.CLAIMED])

    @on_virtual_clock
    async def test_suspended_owner_whose_monotonic_clock_stopped(self):
        """Guards against a late dispatch after a suspended machine resumes.

        Its monotonic clock may have stopped meanwhile.
        """
        jump = [0.0]
        table = FakeTable()
        async with running(table, lambda: wall_now() + jump[0]) as claims:
            own = (await claim(claims)).claim
            jump[0] = MAX_DISPATCH_AGE_S + 1
            self.assertFalse(claims.begin_dispatch(own))
            await own.settled.wait()
        self.assertEqual(row_states(table), [RowState.RELEASED])

    @on_virtual_clock
    async def test_cancelled_caller_leaves_no_claim(self):
        """Guards against a key blocked for a day after a disconnect."""
        table = FakeTable(write_s=0.1)
        async with running(table) as claims:
            with anyio.move_on_after(0.05):
                await claim(claims)
            await anyio.sleep(1)
            self.assertIsInstance(await claim(claims), Claimed)


class OutageTest(unittest.TestCase):

    @on_virtual_clock
    async def test_lost_response_of_the_claim(self):
        """Guards against taking a claim of this process for another's."""
        for fault in (Fault.WRITTEN_ANSWER_LOST, Fault.LOST):
            with self.subTest(fault):
                table = FakeTable()
                table.faults = [fault]
                async with running(table) as claims:
                    self.assertIsInstance(await claim(claims), Claimed)
                    self.assertEqual(await claim(claims), AlreadyClaimed())

    @on_virtual_clock
    async def test_late_create_does_not_revive_a_released_claim(self):
        """Guards against a key that a late write claims after its time-out."""
        table = FakeTable()
        table.faults = [Fault.ARRIVES_LATE] + [Fault.NOT_WRITTEN] * 20
        async with running(table) as claims:
            self.assertEqual(await claim(claims), StoreUnavailable())
            await anyio.sleep(60)
            table.deliver_delayed_writes()
            self.assertEqual(row_states(table), [RowState.RELEASED])
            self.assertIsInstance(await claim(claims), Claimed)

    @on_virtual_clock
    async def test_abandoned_claim_that_was_written_is_released(self):
        """Guards against a key blocked for a day after a 503 to its caller."""
        table = FakeTable()
        table.faults = [Fault.WRITTEN_ANSWER_LOST] + [Fault.NOT_WRITTEN] * 20
        async with running(table) as claims, running(table) as other:
            self.assertEqual(await claim(claims), StoreUnavailable())
            await anyio.sleep(60)
            self.assertIsInstance(await claim(other), Claimed)

    @on_virtual_clock
    async def test_table_outage_before_the_claim(self):
        """Guards against a run without a claim, and against a long wait."""
        table = FakeTable()
        table.is_unavailable = True
        async with running(table) as claims:
            self.assertEqual(await claim(claims), StoreUnavailable())
            table.is_unavailable = False
            self.assertIsInstance(await claim(claims), Claimed)

    @on_virtual_clock
    async def test_slow_table_does_not_block_callers(self):
        """Guards against claims that wait long for a table that hangs."""
        table = FakeTable(write_s=1000)
        async with running(table) as claims:
            async with anyio.create_task_group() as tasks:
                for number in range(4 * 64):
                    tasks.start_soon(claim, claims, str(number))
                await anyio.sleep(0.1)
                self.assertEqual(await claim(claims), StoreUnavailable())
                self.assertLess(anyio.current_time(), 3)
                tasks.cancel_scope.cancel()

    @on_virtual_clock
    async def test_table_outage_after_the_run(self):
        """Guards against a lost response, and against running a duplicate."""
        table = FakeTable()
        async with running(table) as one, running(table) as two:
            own = (await claim(one)).claim
            one.begin_dispatch(own)
            table.is_unavailable = True
            one.record_response(own, ANSWER)
            await anyio.sleep(300)
            self.assertEqual(await claim(two), StoreUnavailable())
            table.is_unavailable = False
            self.assertEqual(await claim(two), AlreadyClaimed())
            table.faults = [Fault.WRITTEN_ANSWER_LOST]
            await own.settled.wait()
            self.assertIs(own.state, ClaimState.DONE)
            self.assertEqual(await claim(two), Replay(ANSWER))

    @on_virtual_clock
    async def test_long_outage_after_the_run_keeps_the_claim(self):
        """Guards against unbounded memory and a release after the run."""
        table = FakeTable()
        async with running(table) as claims:
            own = (await claim(claims)).claim
            claims.begin_dispatch(own)
            table.is_unavailable = True
            claims.record_response(own, ANSWER)
            await own.settled.wait()
            self.assertIs(own.state, ClaimState.UNKNOWN)
            self.assertLessEqual(
                anyio.current_time(), claims_module.WRITE_TIMEOUT_S + 5
            )
            self.assertEqual(claims.pending_writes, 0)
            table.is_unavailable = False
            self.assertEqual(await claim(claims), AlreadyClaimed())


class SweepTest(unittest.TestCase):

    @on_virtual_clock
    async def test_deletes_expired_rows_only(self):
        """Guards against deleting a claim within 24 h under clock skew."""
        table = FakeTable()
        async with running(table) as claims:
            await gather(*(claim(claims, str(i)) for i in range(100)))
        age_s = RETENTION_S + CLOCK_TOLERANCE_S
        step = await sweep_step(table, "", WALL_S + age_s)
        self.assertEqual((step.scanned, step.deleted), (64, 0))
        late_s = WALL_S + age_s + 10
        step = await sweep_step(table, "", late_s)
        self.assertEqual((step.scanned, step.deleted), (64, 64))
        step = await sweep_step(table, step.next_key, late_s)
        self.assertEqual((step.deleted, step.next_key), (36, ""))
        self.assertEqual(table.rows, {})

    @on_virtual_clock
    async def test_keeps_a_row_that_changed_after_it_was_read(self):
        """Guards against a sweep that deletes a newer claim of the key."""
        table = FakeTable()
        late_s = WALL_S + 2 * RETENTION_S
        async with running(table) as claims:
            own = (await claim(claims)).claim
            old_rows = list(table.rows.values())
            await release(claims, own)
            self.assertIsInstance(await claim(claims), Claimed)

        async def scan(*_):
            return old_rows

        table.scan = scan
        step = await sweep_step(table, "", late_s)
        self.assertEqual((step.deleted, len(table.rows)), (0, 1))
