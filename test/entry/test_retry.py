"""Tests of outcomes and retries."""

import itertools
import unittest

from acaciaspoke.entry.retry import (
    Exchange,
    Outcome,
    RetryBudget,
    may_retry,
    outcome_of,
    outcome_of_all,
)
from test.entry.builders import request


class OutcomeTest(unittest.TestCase):

    def test_not_run_only_with_proof(self):
        """Guards against reporting not_run for work that ran (I4)."""
        for sent, refused, answered, relayed in itertools.product(
            (0, 10), *[(False, True)] * 3
        ):
            exchange = Exchange(
                bytes_sent=sent,
                refused=refused,
                answered=answered,
                relayed=relayed,
            )
            proof = not sent or (refused and not answered and not relayed)
            with self.subTest(exchange=exchange):
                self.assertEqual(outcome_of(exchange) is Outcome.NOT_RUN, proof)

    def test_one_unknown_attempt_makes_the_outcome_unknown(self):
        """Guards against a refusal that hides an earlier broken attempt."""
        broken = Exchange(bytes_sent=1)
        refused = Exchange(bytes_sent=1, refused=True)
        self.assertIs(outcome_of_all([broken, refused]), Outcome.UNKNOWN)
        self.assertIs(outcome_of_all([refused, refused]), Outcome.NOT_RUN)
        self.assertIs(outcome_of_all([]), Outcome.NOT_RUN)


class RetryTest(unittest.TestCase):

    def may(self, r=None, exchange=None, now_s=1.0, attempts=1):
        return may_retry(
            r or request(),
            exchange or Exchange(bytes_sent=1),
            attempts=attempts,
            budget=RetryBudget(),
            now_s=now_s,
        )

    def test_conditions(self):
        """Guards against a second run, or a retry after the first byte (I5)."""
        self.assertTrue(self.may())
        self.assertFalse(self.may(request(idempotent=False)))
        self.assertFalse(self.may(exchange=Exchange(relayed=True)))
        self.assertFalse(self.may(request(deadline_s=1.0)))
        self.assertFalse(self.may(attempts=3))

    def test_budget_limits_retries_to_a_share(self):
        """Guards against retries that multiply the load during an outage."""
        budget = RetryBudget()
        retries = 0
        for n in range(2000):
            budget.record_request(n / 100)
            if budget.allows(n / 100):
                budget.record_retry(n / 100)
                retries += 1
        self.assertLessEqual(retries, 2000 * 0.1 + 10)
        self.assertGreaterEqual(retries, 2000 * 0.1 - 10)
