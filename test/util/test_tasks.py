"""Tests of periodic tasks that survive errors of single iterations."""

import unittest

import anyio

from acaciaspoke.util.metrics import Metrics
from acaciaspoke.util.tasks import run_periodically


class RunPeriodicallyTest(unittest.TestCase):

    def test_continues_after_a_failed_iteration(self):
        """Guards against one bad input that ends the whole process."""
        iterations = []

        async def run():
            async def step():
                iterations.append(len(iterations))
                if len(iterations) == 1:
                    raise ValueError("first iteration")
                if len(iterations) == 3:
                    scope.cancel()

            with anyio.CancelScope() as scope:
                await run_periodically(step, 0.0, Metrics())

        anyio.run(run)
        self.assertEqual(iterations, [0, 1, 2])
