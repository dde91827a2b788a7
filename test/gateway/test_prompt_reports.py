"""Tests of what hosts tell each other about the parts that engines hold."""

import unittest

import msgspec

from acaciaspoke.gateway.aggregate import LoadAggregator
from acaciaspoke.gateway.messages import LoadDigest, decode, encode
from acaciaspoke.gateway.prompts.holdings import NOTHING_CACHED
from acaciaspoke.gateway.prompts.reports import (
    MAX_MERGED_REPORTS,
    MAX_REPORTS,
    REPEATS,
    REPORT_INTERVAL_S,
    PartReports,
    merge_parts,
)
from acaciaspoke.gateway.types import HeldPart
from acaciaspoke.ids import BootId, HostId, UpstreamId
from test.gateway.builders import artifact, fleet, record
from test.gateway.prompt_builders import configuration, prompt

ENGINE = UpstreamId("u1")


def _fleet():
    found = fleet(record("u1", "m1"))
    found.holdings.set_configuration(configuration(10_000))
    return found


class ReportsTest(unittest.TestCase):

    def setUp(self):
        self.local, self.other = _fleet(), _fleet()

    def _learn(self, sent, now_s=0.0):
        self.local.holdings.learn(self.local.upstreams["u1"], sent, now_s)

    def _send(self, now_s=0.0):
        held = self.local.holdings.take_reports()
        self.other.holdings.apply_reports(held, self.other.upstreams, now_s)
        return held

    def _cached(self, sent, now_s=0.0):
        return self.other.holdings.cached_tokens(
            self.other.upstreams["u1"], sent, 0, now_s
        )

    def test_all_shared_parts_are_known_from_the_last_one(self):
        self._learn(prompt("q1", "a", "b", "s"))
        self.assertEqual(1, len(self._send()[ENGINE]))
        self.assertEqual(400, self._cached(prompt("q2", "a", "b", "t"))[1])
        # The session's part is not reported.
        self.assertEqual(400, self._cached(prompt("q2", "a", "b", "s"))[1])
        other_model = prompt("q3", "a", "b", "t", artifact=artifact("m2"))
        self.assertEqual(NOTHING_CACHED, self._cached(other_model))

    def test_small_parts_and_sessions_are_not_reported(self):
        self._learn(prompt("q1", "s"))
        self._learn(prompt("q2", "a", "s", part_tokens=10))
        self.assertEqual({}, self._send())

    def test_part_is_reported_by_one_host_at_intervals(self):
        self._learn(prompt("q1", "a", "s"))
        for _ in range(REPEATS):
            self.assertTrue(self._send())
        self.assertEqual({}, self._send())
        later_s = REPORT_INTERVAL_S / 2
        self._learn(prompt("q2", "a", "t"), later_s)
        self.assertEqual({}, self._send(later_s))
        # The other host knows that it was reported.
        upstream = self.other.upstreams["u1"]
        self.other.holdings.learn(upstream, prompt("q3", "a", "u"), later_s)
        self.assertEqual({}, self.other.holdings.take_reports())
        later_s = REPORT_INTERVAL_S
        self._learn(prompt("q4", "a", "t"), later_s)
        self.assertTrue(self._send(later_s))

    def test_report_of_an_earlier_process_is_ignored(self):
        self._learn(prompt("q1", "a", "s"))
        self.other.put(record("u1", "m1", started_ms=2))
        self._send()
        self.assertEqual(NOTHING_CACHED, self._cached(prompt("q2", "a", "t")))

    def test_report_for_a_withdrawn_model_is_ignored(self):
        self._learn(prompt("q1", "a", "s"))
        self.other.upstreams["u1"].withdraw(artifact("m1"), 0.0)
        self._send()
        self.assertEqual({}, self.other.upstreams["u1"].prompt_epochs)

    def test_report_of_an_unknown_engine_is_ignored(self):
        self._learn(prompt("q1", "a", "s"))
        self.other.remove(ENGINE)
        self._send()
        self.assertEqual(0, len(self.other.holdings))

    def test_repeated_report_does_not_make_a_part_recent(self):
        self._learn(prompt("q1", "a", "s"))
        self._send(0.0)
        self._send(0.2)
        expected = self._cached(prompt("q2", "a", "t"), 20.0).expected
        self.assertAlmostEqual(100.0, expected)


class BoundsTest(unittest.TestCase):
    """Guards against datagrams that are too large."""

    def test_reports_of_a_host_are_bounded(self):
        reports = PartReports()
        for number in range(MAX_REPORTS):
            self.assertTrue(reports.add(ENGINE, HeldPart(1, number)))
        self.assertFalse(reports.add(ENGINE, HeldPart(2, 0)))
        for _ in range(REPEATS):
            self.assertEqual(MAX_REPORTS, len(reports.take()[ENGINE]))
        self.assertTrue(reports.add(ENGINE, HeldPart(2, 0)))
        self.assertEqual({ENGINE: (HeldPart(2, 0),)}, reports.take())

    def test_merged_reports_are_bounded_and_have_no_duplicates(self):
        reports = [
            {ENGINE: tuple(HeldPart(1, n) for n in range(start, start + 64))}
            for start in range(0, 640, 32)
        ]
        merged = merge_parts(reports)[ENGINE]
        self.assertEqual(MAX_MERGED_REPORTS, len(set(merged)))
        self.assertEqual(MAX_MERGED_REPORTS, len(merged))


class MessageTest(unittest.TestCase):

    def test_aggregator_passes_reports_on(self):
        part = HeldPart(2**32 - 1, 2**64 - 1)
        digest = LoadDigest(
            host=HostId("h1"),
            boot=BootId("b"),
            sequence=1,
            held_parts={ENGINE: (part,)},
        )
        aggregator = LoadAggregator()
        aggregator.apply_digest(decode(encode(digest)), 0.0)
        loads = aggregator.domain_loads(0.0)
        self.assertEqual({ENGINE: (part,)}, loads.held_parts)

    def test_digest_of_an_earlier_release_has_no_reports(self):
        digest = LoadDigest(host=HostId("h1"), boot=BootId("b"), sequence=1)
        fields = msgspec.msgpack.decode(encode(digest))
        fields.pop("held_parts", None)
        found = decode(msgspec.msgpack.encode(fields))
        self.assertEqual({}, found.held_parts)


if __name__ == "__main__":
    unittest.main()
