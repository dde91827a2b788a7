"""Tests of acaciaspoke.gateway.registry."""

import unittest

from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.registry import UpstreamRegistry
from acaciaspoke.gateway.types import UpstreamRecord, UpstreamState
from acaciaspoke.ids import UpstreamId
from test.gateway.builders import SERVICE, record, request


def _record(name: str) -> UpstreamRecord:
    """Returns a record of a service of six upstreams, or of one with one."""
    service = "other" if name == "u9" else SERVICE
    return record(name, "m1", service=service)


class RegistryTest(unittest.TestCase):

    def setUp(self):
        self.fleet = Fleet()
        self.registry = UpstreamRegistry(self.fleet, 2.0)
        for number in range(1, 7):
            self.registry.put(record(f"u{number}", "m1"))

    def test_single_removal_takes_effect_at_once(self):
        self.registry.remove(UpstreamId("u1"), 0.0)
        self.registry.drop_lapsed(0.0)
        self.assertNotIn("u1", self.fleet.upstreams)

    def test_records_removed_together_may_return(self):
        for number in range(1, 5):
            self.registry.remove(UpstreamId(f"u{number}"), 0.0)
        self.registry.drop_lapsed(0.1)
        self.assertIn("u1", self.fleet.upstreams)
        self.registry.put(record("u1", "m1"))
        self.registry.drop_lapsed(1.5)
        self.assertIn("u1", self.fleet.upstreams)
        self.assertNotIn("u2", self.fleet.upstreams)

    def test_requests_at_an_upstream_that_returns_are_still_counted(self):
        # Its load was taken for 0, and fell below the requests that were sent
        # afterwards as the earlier ones ended.
        running, later = request("q1"), request("q2", 2.0)
        self.fleet.record_sent(self.fleet.upstreams["u1"], running)
        self.registry.remove(UpstreamId("u1"), 0.0)
        self.registry.drop_lapsed(0.0)
        self.registry.put(record("u1", "m1"))
        returned = self.fleet.upstreams["u1"]
        self.assertEqual(1, returned.local_load)
        self.fleet.record_sent(returned, later)
        self.fleet.record_finished(UpstreamId("u1"), running)
        self.assertEqual(1, returned.local_load)

    def test_stream_that_goes_on_without_a_record_is_not_taken_for_silent(self):
        # Events of an upstream without a record were not recorded, so that the
        # engine seemed to be unresponsive and slow as its record came back.
        name, stream = UpstreamId("u1"), request("q1")
        self.fleet.record_sent(self.fleet.upstreams[name], stream)
        self.fleet.record_event(name, stream, 0.1)
        self.registry.remove(name, 0.1)
        self.registry.drop_lapsed(0.1)
        for tenths in range(2, 100):
            self.fleet.record_event(name, stream, tenths / 10)
        self.registry.put(record("u1", "m1"))
        returned = self.fleet.upstreams[name]
        self.assertFalse(returned.is_unresponsive(0.4, 10.0))
        self.assertEqual(9.9, self.fleet.last_event_s(name, 0.0))

    def test_first_event_without_a_record_ends_a_prefill(self):
        # The prompt counted as being prefilled until the next event, and its
        # engine as slow in prefilling.
        name, stream = UpstreamId("u1"), request("q1", prompt_tokens=1000)
        self.fleet.record_sent(self.fleet.upstreams[name], stream)
        self.registry.remove(name, 0.0)
        self.registry.drop_lapsed(0.0)
        self.assertTrue(self.fleet.record_event(name, stream, 0.1))
        self.registry.put(record("u1", "m1"))
        self.assertEqual(0, self.fleet.prefill_tokens(10.0)[name])

    def test_requests_at_an_earlier_process_are_not_taken_off_its_successor(
        self,
    ):
        running, later = request("q1"), request("q2", 2.0)
        self.fleet.record_sent(self.fleet.upstreams["u1"], running)
        self.registry.remove(UpstreamId("u1"), 0.0)
        self.registry.drop_lapsed(0.0)
        self.registry.put(record("u1", "m1", started_ms=2))
        successor = self.fleet.upstreams["u1"]
        self.assertEqual(0, successor.local_load)
        self.fleet.record_sent(successor, later)
        self.fleet.record_finished(UpstreamId("u1"), running)
        self.assertEqual(1, successor.local_load)

    def test_upstream_that_a_copy_brings_back_is_not_kept(self):
        # Its removal was recorded after a failed call, so that it could return;
        # the copy's record, which is as old, was taken for its return.
        self.registry.record_store_failure(-0.5)
        self.registry.remove(UpstreamId("u1"), 0.0)
        self.registry.drop_lapsed(0.0)
        self.registry.record_restore()
        self._read_table("u1", "u2", "u3", "u4", "u5", "u6")
        self.registry.drop_lapsed(1.5)
        self.assertNotIn("u1", self.fleet.upstreams)
        self.assertIn("u2", self.fleet.upstreams)
        # The store would have removed it by now.
        self.registry.drop_lapsed(6.5)
        self.assertIn("u1", self.fleet.upstreams)

    def test_later_heartbeat_after_a_restore_is_a_return(self):
        self.registry.record_store_failure(-0.5)
        self.registry.remove(UpstreamId("u1"), 0.0)
        self.registry.record_restore()
        self._read_table("u1", "u2", "u3", "u4", "u5", "u6")
        self.registry.put(record("u1", "m1", heartbeat=9))
        self.registry.drop_lapsed(1.5)
        self.assertIn("u1", self.fleet.upstreams)

    def test_copy_that_is_read_twice_is_still_a_copy(self):
        # With the history gone, the whole table was read again, and the record
        # of the upstream that was gone was taken for its return.
        self.registry.remove(UpstreamId("u1"), 0.0)
        self.registry.drop_lapsed(0.0)
        self.registry.record_restore()
        for now_s in (1.0, 2.0):
            self._read_table("u1", "u2", "u3", "u4", "u5", "u6")
            self.registry.drop_lapsed(now_s)
            self.assertNotIn("u1", self.fleet.upstreams)

    def test_copy_is_not_confirmed_by_a_store_that_is_away(self):
        # The removal of its record could not be seen meanwhile.
        self.registry.remove(UpstreamId("u1"), 0.0)
        self.registry.drop_lapsed(0.0)
        self.registry.record_restore()
        self._read_table("u1", "u2", "u3", "u4", "u5", "u6")
        self.registry.drop_lapsed(1.0)
        for now_s in (2.0, 4.0, 6.0):
            self.registry.record_store_failure(now_s)
        self.registry.drop_lapsed(7.0)
        self.assertNotIn("u1", self.fleet.upstreams)
        self.registry.drop_lapsed(11.0)
        self.assertIn("u1", self.fleet.upstreams)

    def _lapse(self, *names):
        for name in names:
            self.registry.remove(UpstreamId(name), 0.0)
        self.registry.drop_lapsed(0.1)

    def test_service_that_lapsed_as_a_whole_is_used_after_a_restore(self):
        # All requests waited for four heartbeat intervals.
        names = [f"u{number}" for number in range(1, 7)]
        self.registry.put(_record("u9"))
        for dropped_s in (0.2, 1.5):
            self._lapse(*names)
            self.registry.drop_lapsed(dropped_s)
            self.registry.record_restore()
            self._read_table(*names, "u9")
            self.registry.drop_lapsed(2.5)
            self.assertEqual({*names, "u9"}, set(self.fleet.upstreams))

    def test_part_of_a_service_that_lapsed_is_not_used_after_a_restore(self):
        # They may have left; others serve.
        self._lapse("u1", "u2", "u3", "u4", "u5")
        self.registry.record_restore()
        self._read_table("u1", "u2", "u3", "u4", "u5", "u6")
        self.registry.drop_lapsed(2.5)
        self.assertEqual({"u6"}, set(self.fleet.upstreams))

    def test_only_upstream_that_was_removed_is_not_used_after_a_restore(self):
        self.registry.put(_record("u9"))
        self.registry.record_store_failure(-0.5)
        self._lapse("u9")
        self.registry.record_restore()
        self._read_table("u1", "u2", "u3", "u4", "u5", "u6", "u9")
        self.registry.drop_lapsed(2.5)
        self.assertNotIn("u9", self.fleet.upstreams)

    def test_record_that_returns_without_a_restore_is_used_at_once(self):
        self.registry.remove(UpstreamId("u1"), 0.0)
        self.registry.drop_lapsed(0.0)
        self.assertNotIn("u1", self.fleet.upstreams)
        self._read_table("u1", "u2", "u3", "u4", "u5", "u6")
        self.assertIn("u1", self.fleet.upstreams)

    def _read_table(self, *names):
        for name in names:
            self.registry.put(_record(name), is_snapshot=True)
        self.registry.retain(set(map(UpstreamId, names)), 1.0)

    def test_removed_draining_upstream_is_dropped_at_once(self):
        self.registry.put(record("u1", state=UpstreamState.DRAINING))
        for number in range(1, 5):
            self.registry.remove(UpstreamId(f"u{number}"), 0.0)
        self.assertNotIn("u1", self.fleet.upstreams)
        self.assertIn("u2", self.fleet.upstreams)
