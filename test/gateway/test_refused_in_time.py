"""Tests of what callers and operators learn of requests that never ran."""

import time
import unittest
from types import SimpleNamespace

import anyio

from acaciaspoke.gateway import answers
from acaciaspoke.gateway.admission import Refusal
from acaciaspoke.gateway.metrics import GatewayMetrics
from test.gateway.builders import request
from test.gateway.fairness_simulation import workspace


class _Caller:
    started = False
    request_id = "q1"

    def __init__(self):
        self.status = None

    async def answer(self, status, headers, body):
        self.status = status


def ask(call, *arguments):
    """Returns the status of an answer, and the metrics after it."""
    metrics, caller = GatewayMetrics(), _Caller()
    relay = SimpleNamespace(caller=caller)
    asked, *rest = arguments
    anyio.run(call, metrics, asked, relay, *rest)
    return caller.status, metrics.exposition().decode()


class ExpiredRequestTest(unittest.TestCase):

    def test_request_that_never_ran_gets_503(self):
        # Callers got 504, which tells nothing about whether it ran.
        waited = request(now_s=time.monotonic() - 10, workspace=workspace("a"))
        status, metrics = ask(answers.answer_expired, waited)
        self.assertEqual(503, status)
        self.assertIn('acaciaspoke_refusals_total{reason="expired"} 1', metrics)

    def test_request_that_may_have_run_gets_504(self):
        ran = request(now_s=time.monotonic() - 10, workspace=workspace("a"))
        ran.starts = 1
        self.assertEqual(504, ask(answers.answer_expired, ran)[0])

    def test_without_workspaces_the_status_is_as_before(self):
        waited = request(now_s=time.monotonic() - 10)
        self.assertEqual(504, ask(answers.answer_expired, waited)[0])


class RefusalMetricsTest(unittest.TestCase):

    def test_refusals_are_counted(self):
        now_s = time.monotonic()
        returned = request(
            now_s=now_s, deadline_s=now_s + 8, workspace=workspace("a")
        )
        refusal = Refusal("overloaded", 0.5, True)
        status, metrics = ask(answers.answer_refused, returned, refusal)
        self.assertEqual(503, status)
        for line in (
            'acaciaspoke_refusals_total{reason="overloaded"} 1.0',
            'acaciaspoke_refused_returns_total{route="r1",workspace="a"} 1.0',
            'acaciaspoke_over_share_refusals_total{workspace="a"} 1.0',
            "acaciaspoke_held_before_refusal_seconds_count 1.0",
        ):
            self.assertIn(line, metrics)

    def test_first_request_is_no_return(self):
        first = request(now_s=time.monotonic(), workspace=workspace("a"))
        _, metrics = ask(
            answers.answer_refused, first, Refusal("overloaded", 0.5)
        )
        self.assertNotIn("acaciaspoke_refused_returns_total{", metrics)
        self.assertNotIn("acaciaspoke_over_share_refusals_total{", metrics)


if __name__ == "__main__":
    unittest.main()
