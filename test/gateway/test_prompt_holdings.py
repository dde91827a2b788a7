"""Tests of the estimate of the prompt parts that engines hold."""

import unittest

from acaciaspoke.gateway.prompts.holdings import (
    CONFIDENT_WEIGHT,
    HALF_LIFE_S,
    MAX_AGE_S,
    MAX_ESTIMATES,
    NOTHING_CACHED,
    Holdings,
)
from acaciaspoke.gateway.types import ResumePoint
from acaciaspoke.ids import UpstreamId
from test.gateway.builders import artifact, fleet, record
from test.gateway.prompt_builders import configuration, prompt

MEMORY_TOKENS = 10_000


class HoldingsTest(unittest.TestCase):

    def setUp(self):
        self.fleet = fleet(record("u1", "m1", "m2"), record("u2", "m1"))
        self.holdings = self.fleet.holdings
        self.holdings.set_configuration(configuration(MEMORY_TOKENS))

    def _learn(self, sent, name="u1", now_s=0.0):
        upstream = self.fleet.upstreams[name]
        self.fleet.record_sent(upstream, sent)
        self.assertTrue(self.fleet.record_event(UpstreamId(name), sent, now_s))
        self.fleet.record_finished(UpstreamId(name), sent)

    def _cached(self, sent, name="u1", now_s=0.0, running=0):
        upstream = self.fleet.upstreams[name]
        return self.holdings.cached_tokens(upstream, sent, running, now_s)

    def test_repeated_prompt_is_cached_where_it_was_processed(self):
        self.assertEqual(NOTHING_CACHED, self._cached(prompt("q1", "a", "s")))
        self._learn(prompt("q1", "a", "s"))
        again = prompt("q2", "a", "s")
        self.assertEqual((400.0, 400), self._cached(again))
        self.assertEqual(NOTHING_CACHED, self._cached(again, "u2"))

    def test_prompt_without_a_first_event_is_not_known(self):
        sent = prompt("q1", "a", "s")
        self.fleet.record_sent(self.fleet.upstreams["u1"], sent)
        self.assertEqual(NOTHING_CACHED, self._cached(prompt("q2", "a", "s")))

    def test_shared_part_is_cached_for_other_sessions(self):
        self._learn(prompt("q1", "a", "s"))
        self.assertEqual((200.0, 200), self._cached(prompt("q2", "a", "t")))

    def test_part_counts_only_after_the_same_parts(self):
        # Keys of single parts would find "s" behind another part.
        self._learn(prompt("q1", "a", "s"))
        self.assertEqual(NOTHING_CACHED, self._cached(prompt("q2", "b", "s")))
        self.assertEqual(NOTHING_CACHED, self._cached(prompt("q2", "s")))

    def test_parts_of_other_models_and_adapters_do_not_count(self):
        self._learn(prompt("q1", "a", "s"))
        for other in (artifact("m2"), artifact("m1", "a1")):
            sent = prompt("q2", "a", "s", artifact=other)
            self.assertEqual(NOTHING_CACHED, self._cached(sent))

    def test_restart_clears_the_estimate(self):
        self._learn(prompt("q1", "a", "s"))
        self.fleet.put(record("u1", "m1", "m2", started_ms=2))
        self.assertEqual(NOTHING_CACHED, self._cached(prompt("q2", "a", "s")))

    def test_renewed_record_keeps_the_estimate(self):
        self._learn(prompt("q1", "a", "s"))
        self.fleet.put(record("u1", "m1", "m2", heartbeat=7))
        self.assertEqual(400, self._cached(prompt("q2", "a", "s")).confident)

    def test_unload_clears_the_estimate_also_if_loaded_again(self):
        self._learn(prompt("q1", "a", "s"))
        self.fleet.put(record("u1", "m2"))
        self.fleet.put(record("u1", "m1", "m2"))
        self.assertEqual(NOTHING_CACHED, self._cached(prompt("q2", "a", "s")))

    def test_withdrawal_clears_the_model_and_its_adapters(self):
        adapter = artifact("m1", "a1")
        other = prompt("q3", "a", artifact=artifact("m2"))
        self._learn(prompt("q1", "a", artifact=adapter))
        self._learn(other)
        self.fleet.upstreams["u1"].withdraw(artifact("m1"), 0.0)
        again = prompt("q2", "a", artifact=adapter)
        self.assertEqual(NOTHING_CACHED, self._cached(again))
        self.assertEqual(200, self._cached(other).confident)

    def test_removed_upstream_holds_nothing_when_it_returns(self):
        self._learn(prompt("q1", "a", "s"))
        self.fleet.remove(UpstreamId("u1"))
        self.fleet.put(record("u1", "m1", "m2"))
        self.assertEqual(NOTHING_CACHED, self._cached(prompt("q2", "a", "s")))

    def test_part_is_evicted_after_other_prompts_fill_the_memory(self):
        self._learn(prompt("q1", "a", "s"))
        self._learn(prompt("q2", "b", prompt_tokens=MEMORY_TOKENS // 2))
        self.assertEqual(400, self._cached(prompt("q3", "a", "s")).confident)
        self.holdings.record_prefill(UpstreamId("u1"), MEMORY_TOKENS // 2)
        self.assertEqual(NOTHING_CACHED, self._cached(prompt("q3", "a", "s")))

    def test_use_of_a_part_postpones_its_eviction(self):
        self._learn(prompt("q1", "a", "s"))
        self.holdings.record_prefill(UpstreamId("u1"), 3 * MEMORY_TOKENS // 4)
        self._learn(prompt("q2", "a", "t"))
        self.holdings.record_prefill(UpstreamId("u1"), MEMORY_TOKENS // 2)
        self.assertEqual(200, self._cached(prompt("q3", "a", "s")).confident)

    def test_running_requests_leave_less_memory_for_parts(self):
        self._learn(prompt("q1", "a", "s", prompt_tokens=2_000))
        self.holdings.record_prefill(UpstreamId("u1"), MEMORY_TOKENS // 2)
        again = prompt("q2", "a", "s")
        self.assertEqual(400, self._cached(again, running=1).confident)
        self.assertEqual(NOTHING_CACHED, self._cached(again, running=3))

    def test_full_engine_holds_nothing(self):
        self._learn(prompt("q1", "a", "s", prompt_tokens=2_000))
        again = prompt("q2", "a", "s")
        self.assertEqual(400, self._cached(again, running=4).confident)
        self.assertEqual(NOTHING_CACHED, self._cached(again, running=5))

    def test_stale_estimate_has_less_weight(self):
        self._learn(prompt("q1", "a", "s"))
        again = prompt("q2", "a", "s")
        expected, confident = self._cached(again, now_s=HALF_LIFE_S)
        self.assertAlmostEqual(CONFIDENT_WEIGHT * 400, expected)
        self.assertEqual(400, confident)
        expected, confident = self._cached(again, now_s=2 * HALF_LIFE_S)
        self.assertAlmostEqual(100, expected)
        self.assertEqual(0, confident)

    def test_parts_are_bounded_in_number_and_age(self):
        holdings = Holdings(max_parts=10)
        upstream = self.fleet.upstreams["u1"]
        for number in range(20):
            holdings.learn(upstream, prompt(f"q{number}", f"{number}"), 0.0)
        self.assertEqual(10, len(holdings))
        holdings.learn(upstream, prompt("q", "a"), MAX_AGE_S + 1)
        self.assertEqual(1, len(holdings))

    def test_cached_tokens_are_at_most_those_of_the_prompt(self):
        self._learn(prompt("q1", "a", "s"))
        short = prompt("q2", "a", "s", prompt_tokens=50)
        self.assertEqual((50.0, 50), self._cached(short))

    def test_estimates_of_a_round_are_bounded(self):
        # With 320 waiting requests, a round of decisions took 22 ms.
        self._learn(prompt("q1", "a", "s"))
        again = prompt("q2", "a", "s")
        for _ in range(MAX_ESTIMATES):
            self.assertEqual(400, self._cached(again, now_s=1.0).confident)
        self.assertEqual(NOTHING_CACHED, self._cached(again, now_s=1.0))
        self.assertEqual(400, self._cached(again, now_s=1.01).confident)

    def test_run_that_goes_on_teaches_nothing(self):
        moved = prompt("q1", "a", "s")
        moved.resume_at = ResumePoint(UpstreamId("u1"), "10.0.0.1:80", "x")
        self._learn(moved)
        self.assertEqual(NOTHING_CACHED, self._cached(prompt("q2", "a", "s")))


if __name__ == "__main__":
    unittest.main()
