"""Tests of acaciaspoke.gateway.durations."""

import unittest

from acaciaspoke.gateway.durations import (
    MIN_MEASUREMENTS,
    WINDOW_S,
    Durations,
)


class DurationsTest(unittest.TestCase):

    def setUp(self):
        self.durations = Durations()

    def _record(self, *durations_s, now_s=0.0):
        for duration_s in durations_s:
            self.durations.record(duration_s, now_s)

    def test_longest_is_unknown_with_few_measurements(self):
        self._record(*[1.0] * (MIN_MEASUREMENTS - 1))
        self.assertIsNone(self.durations.longest_s(0.0))
        self._record(1.0)
        self.assertEqual(1.0, self.durations.longest_s(0.0))

    def test_longest_is_that_of_the_window(self):
        self._record(9.0, 3.0, 5.0)
        self._record(*[1.0] * MIN_MEASUREMENTS, now_s=WINDOW_S / 2)
        self.assertEqual(9.0, self.durations.longest_s(WINDOW_S))
        self.assertEqual(1.0, self.durations.longest_s(1.2 * WINDOW_S))
        self.assertIsNone(self.durations.longest_s(2 * WINDOW_S))

    def test_mean_starts_with_the_first_measurement(self):
        self.assertIsNone(self.durations.mean_s)
        self._record(2.0)
        self.assertEqual(2.0, self.durations.mean_s)
        self._record(4.0)
        self.assertAlmostEqual(2.1, self.durations.mean_s)
