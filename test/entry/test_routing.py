"""Tests of upstream selection."""

import random
import unittest
from collections import Counter

from acaciaspoke.entry.routing import choose_upstream
from acaciaspoke.net.records import UpstreamState
from test.entry.builders import fleet, request, view

TWO_DOMAINS = {"u1": "d1", "u2": "d1", "u3": "d2"}


def choose(f, r=None, **kwargs):
    defaults = {
        "local_domain": "d1",
        "has_capacity": lambda status: True,
        "rng": random.Random(1),
    }
    return choose_upstream(r or request(), f, **(defaults | kwargs))


class ChoiceTest(unittest.TestCase):

    def test_only_live_holders_are_chosen(self):
        """Guards against new work for an upstream in state leaving (I6)."""
        f = fleet(TWO_DOMAINS)
        f.update([view("u1", state=UpstreamState.LEAVING)], 1.0)
        f.update([view("u2", resident=("m2",))], 1.0)
        self.assertEqual({choose(f) for _ in range(9)}, {"u3"})
        self.assertIsNone(choose(f, tried={"u3"}))
        self.assertEqual(choose(f, request(artifact="m2")), "u2")

    def test_spills_when_the_local_domain_is_full(self):
        """Guards against waiting while another domain has idle upstreams."""
        f = fleet(TWO_DOMAINS, slots=1)
        self.assertIn(choose(f), ("u1", "u2"))
        f.record_sent("u1", request(), 1.0)
        f.record_sent("u2", request(), 1.0)
        self.assertEqual(choose(f), "u3")

    def test_prefers_the_configured_version(self):
        """Guards against an unavailable model during a version change (I2)."""
        f = fleet({"u1": "d1", "u2": "d1"})
        f.update(
            [
                view("u2").__class__(
                    upstream="u2",
                    state=UpstreamState.LIVE,
                    resident={"m1": "2"},
                )
            ],
            1.0,
        )
        self.assertEqual(choose(f, version="2"), "u2")
        self.assertEqual(choose(f, version="2", tried={"u2"}), "u1")

    def test_holders_follow_reports_in_any_order(self):
        """Guards against an index with stale or missing holders (I2)."""
        rng = random.Random(3)
        names = [f"u{n}" for n in range(6)]
        f = fleet(dict.fromkeys(names, "d1"))
        for step in range(300):
            resident = rng.sample(("m1", "m2", "m3", "a1"), rng.randrange(4))
            late = {"report_age_s": rng.choice((0.0, 0.0, 9.0))}
            f.update([view(rng.choice(names), resident, **late)], step / 10)
            if step % 50 == 0:
                f.set_upstreams(
                    {name: f.upstreams[name].config for name in names}
                )
            for artifact in ("m1", "m2", "m3", "a1"):
                holders = f.holders("draft", artifact)
                self.assertEqual(
                    sorted(status.upstream for status in holders),
                    [n for n in names if artifact in f.upstreams[n].resident],
                )

    def test_does_not_herd_on_one_late_report(self):
        """Guards against herding to an upstream that reported as idle."""
        f = fleet({f"u{n}": "d1" for n in range(4)}, slots=8)
        f.update([view("u0", running=0)], 1.0)
        f.update([view(f"u{n}", running=4) for n in (1, 2, 3)], 1.0)
        counts = Counter()
        for _ in range(12):
            r = request()
            upstream = choose(f, r, rng=random.Random(counts.total()))
            f.record_sent(upstream, r, 1.1)
            counts[upstream] += 1
        self.assertLessEqual(counts["u0"], 8)

    def test_out_of_order_report_is_ignored(self):
        """Guards against a late report that marks a dead upstream live."""
        f = fleet({"u1": "d1"})
        f.upstreams["u1"].record_connection_lost(10.0)
        f.update([view("u1", report_age_s=3.0)], 12.0)
        self.assertIsNone(choose(f))
        f.update([view("u1", running=2)], 13.0)
        f.update([view("u1", running=9, report_age_s=2.0)], 13.5)
        self.assertEqual(choose(f), "u1")
        self.assertEqual(f.upstreams["u1"].load, 2)

    def test_load_counts_each_request_once(self):
        """Guards against counting requests that a report already contains."""
        f = fleet({"u1": "d1"})
        first, second = request(), request()
        f.record_sent("u1", first, 1.0)
        f.update([view("u1", running=3)], 2.0)
        f.record_sent("u1", second, 2.5)
        self.assertEqual(f.upstreams["u1"].load, 4)
        f.record_finished("u1", first.request_id)
        f.record_finished("u1", second.request_id)
        self.assertEqual(f.upstreams["u1"].load, 2)
        self.assertIsNone(f.record_finished("u1", second.request_id))


class AffinityTest(unittest.TestCase):

    def test_equal_prefixes_share_an_upstream_up_to_the_load_limit(self):
        """Guards against cache misses, and against one overloaded engine."""
        f = fleet({f"u{n}": "d1" for n in range(4)}, slots=16)
        chosen = []
        for n in range(32):
            r = request(prefix_hash=7)
            chosen.append(choose(f, r, rng=random.Random(n)))
            f.record_sent(chosen[-1], r, 1.0)
        preferred, count = Counter(chosen).most_common(1)[0]
        self.assertEqual(chosen[0], preferred)
        self.assertLessEqual(count, 32 / 4 * 1.25 + 2)


class IsolationTest(unittest.TestCase):

    def test_suspect_runs_as_sole_suspect(self):
        """Guards against two suspects on one upstream: a crash blames both."""
        f = fleet({"u1": "d1", "u2": "d1"})
        for _ in range(2):
            r = request()
            f.record_sent(choose(f, r, suspect=True), r, 1.0, suspect=True)
        self.assertEqual(
            [len(s.in_flight) for s in f.upstreams.values()], [1, 1]
        )
        self.assertIsNone(choose(f, suspect=True))

    def test_duplicates_stay_on_one_upstream(self):
        """Guards against duplicates of a crashing request on all upstreams."""
        f = fleet({f"u{n}": "d1" for n in range(8)})
        duplicates = [request(fingerprint="same") for _ in range(6)]
        for n, r in enumerate(duplicates):
            f.record_sent(choose(f, r, rng=random.Random(n)), r, 1.0)
        self.assertEqual(len(f.upstreams_running("same")), 1)
        upstream = next(iter(f.upstreams_running("same")))
        for r in duplicates:
            f.record_finished(upstream, r.request_id)
        self.assertFalse(f.upstreams_running("same"))
