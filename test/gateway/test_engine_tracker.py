"""Tests of acaciaspoke.gateway.engine_tracker."""

import unittest

from acaciaspoke.gateway.engine_tracker import EngineTracker
from acaciaspoke.gateway.engineview import PlannedOrder
from acaciaspoke.gateway.types import EngineReport
from acaciaspoke.ids import ModelId, UpstreamId
from acaciaspoke.platform.engine import OrderAction, OrderResult
from test.gateway.builders import artifact, engine_spec, record


def _report(seq, *models, in_progress=False, started_ms=1):
    return EngineReport(
        artifacts=frozenset(artifact(model) for model in models),
        order_seq=seq,
        is_order_in_progress=in_progress,
        started_ms=started_ms,
    )


def _order(action, name):
    return PlannedOrder(UpstreamId("u1"), action, name, "test", ModelId("m9"))


LOAD, UNLOAD = OrderAction.LOAD, OrderAction.UNLOAD


class EngineTrackerTest(unittest.TestCase):

    def setUp(self):
        self.tracker = EngineTracker(record("u1", "m1"))
        self.tracker.apply_report(_report(3, "m1"), 0.0)

    def test_state_is_not_confirmed_before_the_first_report(self):
        self.assertFalse(EngineTracker(record("u1", "m1")).is_confirmed)
        self.assertTrue(self.tracker.is_confirmed)

    def test_report_from_before_an_order_is_ignored(self):
        # Otherwise it restores an older order count, and each order that
        # follows conflicts.
        self.tracker.apply_result(
            _order(LOAD, artifact("m2")), OrderResult.ACCEPTED, 1.0
        )
        self.tracker.apply_report(_report(3, "m1"), 1.1)
        self.assertEqual(4, self.tracker.seq)
        self.assertIn(artifact("m2"), self.tracker.artifacts)

    def test_order_with_unknown_result_blocks_orders_until_a_later_report(self):
        self.tracker.apply_result(
            _order(LOAD, artifact("m2")), OrderResult.UNKNOWN, 1.0
        )
        self.assertFalse(self.tracker.is_confirmed)
        self.assertGreater(self.tracker.query_due_s, 1.2)
        self.tracker.apply_report(_report(4, "m1", "m2"), 1.5)
        self.assertTrue(self.tracker.is_confirmed)
        self.assertEqual(4, self.tracker.seq)

    def test_next_ready_model_is_announced_with_its_time(self):
        slow = engine_spec("m1", "m9", load_s=5.0)
        self.assertIsNone(self.tracker.next_ready_model(slow, 1.0))
        self.tracker.apply_result(
            _order(UNLOAD, artifact("m1")), OrderResult.ACCEPTED, 1.0
        )
        self.tracker.query_due_s = 1.2
        model, remaining_s = self.tracker.next_ready_model(slow, 1.0)
        self.assertEqual("m9", model)
        self.assertAlmostEqual(5.2, remaining_s)
        self.tracker.apply_report(_report(4), 1.3)
        self.tracker.apply_result(
            _order(LOAD, artifact("m9")), OrderResult.ACCEPTED, 1.3
        )
        self.tracker.query_due_s = 6.3
        self.assertAlmostEqual(4.0, self.tracker.next_ready_model(slow, 2.3)[1])

    def test_model_stays_reserved_while_it_is_unloaded(self):
        self.tracker.apply_result(
            _order(UNLOAD, artifact("m1")), OrderResult.ACCEPTED, 1.0
        )
        self.assertIn(artifact("m1"), self.tracker.artifacts)
        self.assertEqual("m9", self.tracker.reserved)
        self.tracker.apply_report(_report(4, "m1", in_progress=True), 1.1)
        self.assertIn(artifact("m1"), self.tracker.artifacts)
        self.tracker.apply_report(_report(4), 1.4)
        self.assertEqual(set(), self.tracker.artifacts)

    def test_restart_clears_the_state(self):
        self.tracker.apply_record(record("u1", started_ms=2), 2.0)
        self.assertEqual(set(), self.tracker.artifacts)
        self.assertFalse(self.tracker.is_confirmed)
        self.tracker.apply_report(_report(0, started_ms=2), 2.1)
        self.assertEqual(0, self.tracker.seq)
        self.assertTrue(self.tracker.is_confirmed)

    def test_loaded_adapter_counts_before_it_is_reported(self):
        adapter = artifact("m1", "a1")
        self.tracker.apply_result(
            _order(LOAD, adapter), OrderResult.ACCEPTED, 1.0
        )
        self.tracker.apply_report(_report(4, "m1"), 1.1)
        self.assertIn(adapter, self.tracker.artifacts)

    def test_record_ends_a_model_order(self):
        self.tracker.apply_result(
            _order(LOAD, artifact("m2")), OrderResult.ACCEPTED, 1.0
        )
        self.tracker.apply_record(record("u1", "m1", "m2"), 2.2)
        self.assertIsNone(self.tracker.model_order)
        self.assertEqual((artifact("m2"),), self.tracker.loaded_since(2.0))
