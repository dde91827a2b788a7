"""Tests of acaciaspoke.gateway.registry."""

import unittest

from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.registry import UpstreamRegistry
from acaciaspoke.gateway.types import UpstreamState
from acaciaspoke.ids import UpstreamId
from test.gateway.builders import record


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

    def test_removed_draining_upstream_is_dropped_at_once(self):
        self.registry.put(record("u1", state=UpstreamState.DRAINING))
        for number in range(1, 5):
            self.registry.remove(UpstreamId(f"u{number}"), 0.0)
        self.assertNotIn("u1", self.fleet.upstreams)
        self.assertIn("u2", self.fleet.upstreams)
