"""Tests of acaciaspoke.gateway.routes."""

import unittest

from acaciaspoke.gateway.routes import RouteTable, choose_service
from acaciaspoke.gateway.types import Target
from acaciaspoke.ids import RequestId, ServiceId
from test.gateway.builders import route


class RouteTableTest(unittest.TestCase):

    def setUp(self):
        self.table = RouteTable(
            route(name=prefix, prefix=prefix)
            for prefix in ("/", "/a/", "/a/b/")
        )

    def _name(self, path, host="a.example"):
        found = self.table.match(host, path)
        return found and found.name

    def test_longest_prefix_wins(self):
        self.assertEqual("/a/b/", self._name("/a/b/c"))
        self.assertEqual("/a/", self._name("/a/bc"))
        self.assertEqual("/", self._name("/ab"))

    def test_host_must_match(self):
        self.assertIsNone(self._name("/a/", "b.example"))
        self.assertEqual("/a/", self._name("/a/", "A.example:80"))

    def test_requests_are_split_by_weight(self):
        split = route(
            targets=(
                Target(ServiceId("x"), 90.0),
                Target(ServiceId("y"), 10.0),
            )
        )
        chosen = [
            choose_service(split, RequestId(str(number)))
            for number in range(2000)
        ]
        self.assertAlmostEqual(0.9, chosen.count("x") / 2000, delta=0.03)
