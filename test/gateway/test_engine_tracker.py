"""Tests of acaciaspoke.gateway.engine_tracker."""

import unittest

from acaciaspoke.gateway.engine_tracker import EngineTracker
from acaciaspoke.gateway.engineview import PlannedOrder
from acaciaspoke.gateway.types import EngineReport
from acaciaspoke.ids import ModelId, UpstreamId
from acaciaspoke.platform.engine import OrderAction, OrderResult
from test.gateway.builders import artifact, engine_spec, record


def _report(seq, *models, moving=False, started_ms=1):
    return EngineReport(
        artifacts=frozenset(artifact(model) for model in models),
        order_seq=seq,
        is_order_in_progress=moving,
        started_ms=started_ms,
    )


def _move(action, name):
    return PlannedOrder(UpstreamId("u1"), action, name, "test", ModelId("m9"))


LOAD, UNLOAD = OrderAction.LOAD, OrderAction.UNLOAD


class LedgerTest(unittest.TestCase):

    def setUp(self):
        self.ledger = EngineTracker(record("u1", "m1"))
        self.ledger.take_report(_report(3, "m1"), 0.0)

    def test_nothing_is_ordered_before_the_engine_was_asked(self):
        self.assertFalse(EngineTracker(record("u1", "m1")).is_known)
        self.assertTrue(self.ledger.is_known)

    def test_report_from_before_an_order_is_not_believed(self):
        # Once, such a report brought back an older count, and each order
        # that followed conflicted.
        self.ledger.take_result(
            _move(LOAD, artifact("m2")), OrderResult.ACCEPTED, 1.0
        )
        self.ledger.take_report(_report(3, "m1"), 1.1)
        self.assertEqual(4, self.ledger.seq)
        self.assertIn(artifact("m2"), self.ledger.artifacts)

    def test_unanswered_order_stops_orders_until_a_later_report(self):
        self.ledger.take_result(
            _move(LOAD, artifact("m2")), OrderResult.UNKNOWN, 1.0
        )
        self.assertFalse(self.ledger.is_known)
        self.assertGreater(self.ledger.ask_due_s, 1.2)
        self.ledger.take_report(_report(4, "m1", "m2"), 1.5)
        self.assertTrue(self.ledger.is_known)
        self.assertEqual(4, self.ledger.seq)

    def test_model_that_comes_is_told_with_its_time(self):
        slow = engine_spec("m1", "m9", load_s=5.0)
        self.assertIsNone(self.ledger.coming(slow, 1.0))
        self.ledger.take_result(
            _move(UNLOAD, artifact("m1")), OrderResult.ACCEPTED, 1.0
        )
        self.ledger.ask_due_s = 1.2
        model, left_s = self.ledger.coming(slow, 1.0)
        self.assertEqual("m9", model)
        self.assertAlmostEqual(5.2, left_s)
        self.ledger.take_report(_report(4), 1.3)
        self.ledger.take_result(
            _move(LOAD, artifact("m9")), OrderResult.ACCEPTED, 1.3
        )
        self.ledger.ask_due_s = 6.3
        self.assertAlmostEqual(4.0, self.ledger.coming(slow, 2.3)[1])

    def test_model_stays_reserved_while_it_is_unloaded(self):
        self.ledger.take_result(
            _move(UNLOAD, artifact("m1")), OrderResult.ACCEPTED, 1.0
        )
        self.assertIn(artifact("m1"), self.ledger.artifacts)
        self.assertEqual("m9", self.ledger.reserved)
        self.ledger.take_report(_report(4, "m1", moving=True), 1.1)
        self.assertIn(artifact("m1"), self.ledger.artifacts)
        self.ledger.take_report(_report(4), 1.4)
        self.assertEqual(set(), self.ledger.artifacts)

    def test_restart_empties_the_engine(self):
        self.ledger.take_record(record("u1", started_ms=2), 2.0)
        self.assertEqual(set(), self.ledger.artifacts)
        self.assertFalse(self.ledger.is_known)
        self.ledger.take_report(_report(0, started_ms=2), 2.1)
        self.assertEqual(0, self.ledger.seq)
        self.assertTrue(self.ledger.is_known)

    def test_adapter_that_is_not_reported_yet_counts(self):
        adapter = artifact("m1", "a1")
        self.ledger.take_result(_move(LOAD, adapter), OrderResult.ACCEPTED, 1.0)
        self.ledger.take_report(_report(4, "m1"), 1.1)
        self.assertIn(adapter, self.ledger.artifacts)

    def test_record_ends_a_move(self):
        self.ledger.take_result(
            _move(LOAD, artifact("m2")), OrderResult.ACCEPTED, 1.0
        )
        self.ledger.take_record(record("u1", "m1", "m2"), 2.2)
        self.assertIsNone(self.ledger.moving)
        self.assertEqual((artifact("m2"),), self.ledger.loaded_since(2.0))
