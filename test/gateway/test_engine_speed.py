"""Decisions follow the measured speed of engines."""

import random
import unittest

from acaciaspoke.gateway.balance import prefill_limit_tokens
from acaciaspoke.gateway.dispatch import Assignment
from acaciaspoke.gateway.engine_speed import (
    DEFAULT_PREFILL_TOKENS_PER_S,
    MAX_PREFILL_TOKENS_PER_S,
    EngineSpeed,
)
from acaciaspoke.gateway.placement import plan_models
from acaciaspoke.ids import ServiceId
from test.gateway.builders import (
    SERVICE,
    artifact,
    demand_for,
    demands,
    engine,
    engine_spec,
    new_dispatcher,
    record,
    request,
)

# Delay of a first event that does not depend on the prompt.
BASE_DELAY_S = 0.02


def measured(tokens_per_s, samples=32, seed=1):
    """Returns a speed measured at engines of a rate, with disturbances.

    A sixth of the prompts is delayed, and another sixth is cached.
    """
    rng = random.Random(seed)
    speed = EngineSpeed()
    for number in range(samples):
        tokens = rng.randint(100, 3000)
        delay_s = BASE_DELAY_S + tokens / tokens_per_s
        match rng.randrange(6):
            case 0:
                delay_s += rng.uniform(0.0, 0.3)
            case 1:
                delay_s = BASE_DELAY_S + 0.3 * tokens / tokens_per_s
        speed.record_prefill(SERVICE, tokens, delay_s, float(number))
    return speed


class EstimateTest(unittest.TestCase):

    def test_rate_is_found_for_slow_and_fast_engines(self):
        for rate in (5_000, 10_000, 19_000, 38_000, 76_000):
            for seed in range(5):
                with self.subTest(rate=rate, seed=seed):
                    speed = measured(rate, seed=seed)
                    found = speed.prefill_tokens_per_s(SERVICE)
                    # The default rate keeps a fifth of the weight.
                    expected = rate * (DEFAULT_PREFILL_TOKENS_PER_S / rate) ** (
                        8 / 40
                    )
                    self.assertLess(abs(found / expected - 1), 0.3)

    def test_default_rate_without_samples_and_for_other_services(self):
        speed = measured(10_000)
        for service in (None, ServiceId("other")):
            self.assertEqual(
                DEFAULT_PREFILL_TOKENS_PER_S,
                speed.prefill_tokens_per_s(service),
            )

    def test_equal_prompts_say_nothing(self):
        speed = EngineSpeed()
        for number in range(32):
            speed.record_prefill(SERVICE, 500, 0.9, float(number))
        self.assertEqual(
            DEFAULT_PREFILL_TOKENS_PER_S, speed.prefill_tokens_per_s(SERVICE)
        )

    def test_cached_prompts_leave_the_rate_within_bounds(self):
        speed = EngineSpeed()
        for number in range(32):
            speed.record_prefill(SERVICE, 100 * number, 0.02, float(number))
        found = speed.prefill_tokens_per_s(SERVICE)
        self.assertLessEqual(found, MAX_PREFILL_TOKENS_PER_S)

    def test_old_samples_are_forgotten(self):
        speed = measured(5_000)
        rng = random.Random(2)
        for number in range(16):
            tokens = rng.randint(100, 3000)
            speed.record_prefill(
                SERVICE, tokens, tokens / 76_000, 1000.0 + number
            )
        self.assertGreater(speed.prefill_tokens_per_s(SERVICE), 38_000)


class DecisionTest(unittest.TestCase):
    """Engines of half and of double the speed get half and double the work."""

    def test_prompts_that_an_engine_may_prefill_follow_the_rate(self):
        slow, fast = (
            prefill_limit_tokens(request(), measured(rate))
            for rate in (10_000, 40_000)
        )
        self.assertGreater(fast, 2.5 * slow)

    def test_slow_engines_need_more_replicas_for_the_same_prompts(self):
        engines = [engine("u1", "m1"), engine("u2", "m2")]
        demand = demands(
            demand_for(artifact("m1"), rate_per_s=3.0, tokens_per_s=12_000.0)
        )
        spec = engine_spec("m1", "m2")

        def orders(rate):
            return plan_models(engines, demand, spec, 5, 0.0, rate)

        self.assertEqual([], orders(76_000.0))
        self.assertEqual(["u2"], [order.upstream for order in orders(19_000.0)])

    def test_first_events_of_prompts_alone_at_their_engine_are_measured(self):
        dispatcher = new_dispatcher(record("u1", "m1", slots=64))
        now_s = 0.0
        for number in range(40):
            now_s += 1.0
            prompt = request(
                f"q{number}",
                prompt_tokens=200 + 100 * (number % 20),
                arrived_s=now_s,
                deadline_s=now_s + 9,
            )
            dispatcher.submit(prompt, now_s)
            (decision,) = dispatcher.decide(now_s)
            self.assertIsInstance(decision, Assignment)
            first_s = now_s + BASE_DELAY_S + prompt.prompt_tokens / 10_000
            dispatcher.record_event(prompt, first_s)
            dispatcher.record_finished(prompt)
        found = dispatcher.fleet.speed.prefill_tokens_per_s(SERVICE)
        self.assertLess(found, 15_000)

    def test_prompts_behind_others_are_not_measured(self):
        dispatcher = new_dispatcher(record("u1", "m1", slots=64))
        for number in range(20):
            prompt = request(f"q{number}", prompt_tokens=50 + 10 * number)
            dispatcher.submit(prompt, 0.0)
        prompts = [decision.request for decision in dispatcher.decide(0.0)]
        for number, prompt in enumerate(prompts):
            dispatcher.record_event(prompt, 0.5 + 0.1 * number)
        self.assertEqual(
            DEFAULT_PREFILL_TOKENS_PER_S,
            dispatcher.fleet.speed.prefill_tokens_per_s(SERVICE),
        )
