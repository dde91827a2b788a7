"""Tests of sending orders, against the engine stand-in on loopback."""

import functools
import logging
import unittest
from contextlib import asynccontextmanager

import anyio
from loguru import logger

from acaciaspoke.config.schema import Artifact, Upstream
from acaciaspoke.control.fencing import EPOCH_SHIFT
from acaciaspoke.control.orders import Outcome, Target, Verb
from acaciaspoke.control.reservation_rows import (
    LeaseLostError,
    RowOutcomeUnknownError,
    WriteOutcome,
)
from acaciaspoke.control.reservations import LineState, decode
from standins.engine import Engine, Faults
from test.control.fakes import FakeTable, lease_holder, serving_engine

M1 = Artifact("m1", "1", 6)
M2 = Artifact("m2", "1", 6)


def with_engine(*, checks_fencing=False):
    def decorate(test):
        @functools.wraps(test)
        async def run(self):
            async with self.serve(checks_fencing) as sender:
                await test(self, sender)

        return run

    return decorate


class OrdersTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        # uvicorn logs each connection that the stand-in closes on purpose.
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)
        logger.disable("acaciaspoke")
        self.addCleanup(logger.enable, "acaciaspoke")
        self.table = FakeTable()

    @asynccontextmanager
    async def serve(self, checks_fencing):
        """Serves an engine; yields the sender of its first lease holder."""
        self.engine = Engine(memory_bytes=10, checks_fencing=checks_fencing)
        upstream = Upstream(
            service="s", failure_domain="d", address="", memory_bytes=10
        )
        async with serving_engine(self.engine, upstream) as served:
            served_upstream, self.server = served
            self.target = Target("u1", served_upstream)
            yield self.holder(1)

    def holder(self, epoch):
        return lease_holder(self.table, epoch, answer_timeout_s=0.2)

    def states(self):
        row = self.table.rows.get("reservation/u1")
        return [line.state for line in decode(row.value).lines] if row else []

    @with_engine()
    async def test_load_and_unload(self, sender):
        done = await sender.send(self.target, Verb.LOAD, M1)
        self.assertIs(done, Outcome.DONE)
        self.assertEqual(self.states(), [LineState.RESIDENT])
        await sender.send(self.target, Verb.UNLOAD, M1)
        self.assertEqual(
            (self.states(), self.engine.repository.used_bytes), ([], 0)
        )

    @with_engine()
    async def test_lost_answer_is_resolved_by_a_report(self, sender):
        self.engine.faults = Faults(lose_answers=1)
        outcome = await sender.send(self.target, Verb.LOAD, M1)
        self.assertIs(outcome, Outcome.UNRESOLVED)
        await sender.reconcile(self.target)
        self.assertEqual(self.states(), [LineState.RESIDENT])

    @with_engine()
    async def test_lost_order_keeps_its_memory_on_an_unfenced_engine(
        self, sender
    ):
        self.engine.faults = Faults(lose_orders=1)
        await sender.send(self.target, Verb.LOAD, M1)
        row = await sender.reconcile(self.target)
        self.assertEqual(row.reserved_bytes, 6)
        repeated = await sender.send(self.target, Verb.LOAD, M1)
        self.assertIs(repeated, Outcome.DONE)
        self.engine.restart()
        row = await sender.reconcile(self.target)
        self.assertEqual(row.reserved_bytes, 0)

    @with_engine(checks_fencing=True)
    async def test_lost_order_is_freed_by_the_fence(self, sender):
        self.engine.faults = Faults(lose_orders=1)
        await sender.send(self.target, Verb.LOAD, M1)
        row = await sender.reconcile(self.target)
        self.assertEqual(row.reserved_bytes, 0)

    @with_engine()
    async def test_late_order_never_overcommits(self, sender):
        """Guards against freed memory of an order that takes effect late."""
        self.engine.faults = Faults(late_orders=1, late_s=0.4)
        outcome = await sender.send(self.target, Verb.LOAD, M1)
        self.assertIs(outcome, Outcome.UNRESOLVED)
        with self.assertRaisesRegex(Exception, "needs 6 bytes"):
            await sender.send(self.target, Verb.LOAD, M2)
        while not self.engine.repository.resident:
            await anyio.sleep(0.01)
        await sender.reconcile(self.target)
        self.assertEqual(self.states(), [LineState.RESIDENT])
        self.assertEqual(self.engine.repository.overcommits, 0)

    @with_engine()
    async def test_closed_connection_restarts_the_sequence(self, sender):
        """Guards against an order that reaches another boot by a reconnect."""
        boots = []

        def before_write():
            if not boots:
                boots.append(self.engine.boot_id)
                self.engine.restart()
                for connection in list(self.server.server_state.connections):
                    connection.transport.close()

        self.table.before_write = before_write
        original = self.table.replace

        async def replace(*arguments):
            written = await original(*arguments)
            await anyio.sleep(0.01)  # lets the close reach the client
            return written

        self.table.replace = replace
        outcome = await sender.send(self.target, Verb.LOAD, M1)
        self.assertIs(outcome, Outcome.DONE)
        self.assertEqual(self.engine.orders, ["load m1"])
        row = decode(self.table.rows["reservation/u1"].value)
        self.assertEqual(row.boot_id, self.engine.boot_id)
        self.assertEqual(len(row.lines), 1)

    @with_engine()
    async def test_former_holder_writes_and_sends_nothing(self, former):
        self.holder(2)
        outcome = await former.send(self.target, Verb.LOAD, M1)
        self.assertIs(outcome, Outcome.NOT_SENT)
        self.assertEqual((self.engine.orders, self.states()), ([], []))

    @with_engine(checks_fencing=True)
    async def test_new_holder_raises_the_fence_first(self, former):
        await former.send(self.target, Verb.LOAD, M1)
        await self.holder(2).reconcile(self.target)
        self.assertEqual(self.engine.repository.fencing_token, 2 << EPOCH_SHIFT)
        with self.assertRaises(LeaseLostError):
            await former.send(self.target, Verb.UNLOAD, M1)
        self.assertEqual(self.engine.orders, ["load m1"])

    @with_engine()
    async def test_lost_table_answer_to_a_write_that_took_effect(self, sender):
        self.table.outcomes = [WriteOutcome.UNKNOWN]
        outcome = await sender.send(self.target, Verb.LOAD, M1)
        self.assertIs(outcome, Outcome.DONE)

    @with_engine()
    async def test_lost_table_answer_to_a_write_that_may_take_effect(
        self, sender
    ):
        """No order is sent, and a line that appears later is freed."""
        self.table.outcomes, self.table.drops = [WriteOutcome.UNKNOWN], True
        late = []
        original = self.table.replace

        async def replace(*arguments):
            late.append(arguments)
            return await original(*arguments)

        self.table.replace = replace
        with self.assertRaises(RowOutcomeUnknownError):
            await sender.send(self.target, Verb.LOAD, M1)
        self.assertEqual(self.engine.orders, [])
        await original(*late[0])
        self.assertEqual(self.states(), [LineState.RESERVED])
        await sender.reconcile(self.target)
        self.assertEqual(self.states(), [])
