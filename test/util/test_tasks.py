"""Tests of loops that outlive a fault in one of their rounds."""

import unittest

import anyio

from acaciaspoke.util.metrics import Metrics
from acaciaspoke.util.tasks import run_periodically


class RepeatTest(unittest.TestCase):

    def test_goes_on_after_a_failed_round(self):
        """Guards against one bad input that ends a whole process."""
        rounds = []

        async def run():
            async def step():
                rounds.append(len(rounds))
                if len(rounds) == 1:
                    raise ValueError("first round")
                if len(rounds) == 3:
                    scope.cancel()

            with anyio.CancelScope() as scope:
                await run_periodically(step, 0.0, Metrics())

        anyio.run(run)
        self.assertEqual(rounds, [0, 1, 2])
