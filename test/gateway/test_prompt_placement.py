"""Tests of placement by the prompt parts that engines hold."""

import unittest
from collections import Counter

from acaciaspoke.gateway.balance import (
    Loads,
    choose_upstream,
    has_capacity,
    prefill_limit_tokens,
    record_prompt_use,
)
from acaciaspoke.gateway.dispatch import Assignment
from acaciaspoke.gateway.engine_speed import EngineSpeed
from acaciaspoke.gateway.prompts import Candidate, engines_by_wait
from acaciaspoke.ids import DomainId, UpstreamId
from test.gateway.builders import fleet, new_dispatcher, record
from test.gateway.prompt_builders import configuration, prompt
from test.gateway.prompt_simulation import Load, simulate

LOCAL = DomainId("a")
MEMORY_TOKENS = 60_000
TOKENS_PER_S = 38_000.0


class EnginesByWaitTest(unittest.TestCase):

    def _best(self, *candidates, sent=None):
        sent = sent or prompt("q1", "a", "s", part_tokens=500)
        return set(engines_by_wait(sent, candidates, TOKENS_PER_S, 0.0))

    def test_engines_that_hold_nothing_are_equal(self):
        self.assertEqual(
            {"u1", "u2"},
            self._best(Candidate("u1", 0, 0), Candidate("u2", 0, 0)),
        )

    def test_saving_outweighs_a_shorter_queue_only(self):
        for queued, best in (
            (100, {"u1"}),
            (2600, {"u1", "u2"}),
            (3500, {"u2"}),
        ):
            with self.subTest(queued):
                found = self._best(
                    Candidate("u1", queued, 900), Candidate("u2", 0, 0)
                )
                self.assertEqual(best, found)

    def test_engine_of_half_the_speed_saves_less(self):
        # 1,000 tokens take 26 ms at the faster engine; 600 take 32 ms here.
        slow = Candidate("u1", 0, 400, slowdown=2.0)
        self.assertEqual({"u2"}, self._best(slow, Candidate("u2", 0, 0)))
        slow = Candidate("u1", 0, 900, slowdown=2.0)
        self.assertEqual({"u1"}, self._best(slow, Candidate("u2", 0, 0)))

    def test_load_outweighs_the_saving(self):
        loaded = Candidate("u1", 0, 900, excess_load=0.5)
        self.assertEqual({"u2"}, self._best(loaded, Candidate("u2", 0, 0)))

    def test_engine_that_meets_the_objective_goes_first(self):
        late = Candidate("u1", 25_000, 1_000)
        loaded = Candidate("u2", 0, 0, excess_load=9.0)
        self.assertEqual({"u2"}, self._best(late, loaded))


class ChoiceTest(unittest.TestCase):
    """Choices between two replicas of which one holds the parts."""

    def setUp(self):
        self.fleet = fleet(
            record("u1", "m1", slots=24), record("u2", "m1", slots=24)
        )
        self.fleet.holdings.set_configuration(configuration(MEMORY_TOKENS))
        self.holders = list(self.fleet.upstreams.values())
        # A session that prefers u2 although u1 holds the parts.
        self.session = next(
            name
            for name in map(str, range(100))
            if self._choose(prompt("q1", "a", name)) == "u2"
        )
        self.prompt = prompt("q1", "a", self.session, part_tokens=500)

    def _loads(self, prefill=None, **running):
        return Loads(
            Counter(running),
            Counter(prefill),
            holdings=self.fleet.holdings,
        )

    def _choose(self, sent, loads=None):
        chosen = choose_upstream(
            sent, self.holders, loads or self._loads(), LOCAL, 0.0
        )
        return chosen and chosen.record.upstream

    def _learn(self, name="u1"):
        self.fleet.holdings.learn(self.fleet.upstreams[name], self.prompt, 0.0)

    def test_holder_of_the_parts_is_chosen(self):
        self._learn()
        self.assertEqual("u1", self._choose(self.prompt))

    def test_session_decides_if_both_hold_the_parts(self):
        self._learn("u1")
        self._learn("u2")
        self.assertEqual("u2", self._choose(self.prompt))

    def test_restarted_holder_loses_its_advantage(self):
        self._learn()
        self.fleet.put(record("u1", "m1", slots=24, started_ms=2))
        self.assertEqual("u2", self._choose(self.prompt))

    def test_holder_without_memory_loses_its_advantage(self):
        self._learn()
        self.fleet.holdings.set_configuration(configuration(4_000))
        loads = self._loads(u1=4, u2=4)
        self.assertEqual("u2", self._choose(self.prompt, loads))

    def test_busier_holder_loses_its_advantage(self):
        self._learn()
        self.assertEqual("u1", self._choose(self.prompt, self._loads(u1=4)))
        self.assertEqual("u2", self._choose(self.prompt, self._loads(u1=16)))

    def test_request_without_parts_is_placed_as_before(self):
        self._learn()
        plain = prompt("q1", affinity=self.session, prompt_tokens=1000)
        self.assertEqual("u2", self._choose(plain))

    def test_only_uncached_tokens_count_as_prefill(self):
        limit = prefill_limit_tokens(self.prompt, EngineSpeed())
        loads = self._loads(prefill={"u1": limit - 500, "u2": limit - 500})
        self._learn()
        self.assertTrue(has_capacity(self.holders[0], self.prompt, loads))
        self.assertFalse(has_capacity(self.holders[1], self.prompt, loads))
        record_prompt_use(self.prompt, self.holders[0], self.holders, loads)
        loads.add(UpstreamId("u1"), self.prompt)
        self.assertEqual(limit - 500, loads.prefill_tokens["u1"])
        self.assertTrue(self.prompt.is_off_session)
        self.assertEqual(1000, self.prompt.expected_cached_tokens)


class DispatchTest(unittest.TestCase):
    """What a dispatcher does with the parts of prompts."""

    def setUp(self):
        self.dispatcher = new_dispatcher(
            record("u1", "m1", slots=24), record("u2", "m1", slots=24)
        )
        self.dispatcher.set_configuration(configuration(MEMORY_TOKENS))

    def _assign(self, now_s, *sent):
        for each in sent:
            self.assertIsNone(self.dispatcher.submit(each, now_s))
        return Counter(
            decision.upstream
            for decision in self.dispatcher.decide(now_s)
            if isinstance(decision, Assignment)
        )

    def test_dispatcher_learns_at_the_first_event(self):
        first = prompt("q1", "a", "s", part_tokens=500)
        (name,) = self._assign(0.0, first)
        self.assertEqual(0, first.cached_tokens)
        self.dispatcher.record_event(first, 0.1)
        again = prompt("q2", "a", "s", part_tokens=500, now_s=0.3)
        self.assertEqual({name: 1}, self._assign(0.3, again))
        self.assertEqual(1000, again.cached_tokens)
        # The next attempt may run at an engine that holds nothing.
        self.dispatcher.record_finished(again)
        self.dispatcher.resubmit(again, 0.3)
        self.assertEqual(1000, again.uncached_tokens)

    def test_burst_on_one_part_spreads(self):
        first = prompt("q0", "a", part_tokens=300)
        (name,) = self._assign(0.0, first)
        self.dispatcher.record_event(first, 0.1)
        burst = [
            prompt(f"q{n}", "a", f"s{n}", part_tokens=300, now_s=0.3)
            for n in range(1, 9)
        ]
        found = self._assign(0.3, *burst)
        self.assertEqual({"u1", "u2"}, set(found))
        self.assertLessEqual(abs(found["u1"] - found["u2"]), 4)


class SimulationTest(unittest.TestCase):
    """Guards against placement that costs more than it saves."""

    def test_tokens_read_and_waits_are_about_those_of_sessions(self):
        load = Load(mode="hash", duration_s=5.0, use=0.7)
        by_session = simulate(load)
        for mode in ("own", "shared", "exact"):
            with self.subTest(mode):
                found = simulate(Load(mode=mode, duration_s=5.0, use=0.7))
                self.assertLess(found.read_share, by_session.read_share + 0.04)
                self.assertLess(found.first_ms, 1.05 * by_session.first_ms)
                self.assertLess(found.expected_error, 0.05)
                self.assertLessEqual(found.busiest, 1.25)

    def test_reports_save_tokens_where_each_host_knows_little(self):
        rare = {"models": 80, "replicas": 4, "hosts": 40, "use": 0.6}
        read_shares = {
            mode: simulate(Load(mode=mode, duration_s=6.0, **rare)).read_share
            for mode in ("hash", "own", "shared")
        }
        self.assertLess(read_shares["shared"], read_shares["hash"] - 0.01)
        self.assertLess(read_shares["shared"], read_shares["own"])

    def test_engines_of_half_the_speed_do_not_get_slower(self):
        found = {
            mode: simulate(
                Load(mode=mode, duration_s=6.0, half_speed=3, use=0.5)
            )
            for mode in ("hash", "shared")
        }
        self.assertLess(found["shared"].first_ms, 1.05 * found["hash"].first_ms)


if __name__ == "__main__":
    unittest.main()
