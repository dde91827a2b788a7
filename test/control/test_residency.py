"""Tests of residence times and of missing artifacts."""

import unittest

from acaciaspoke.control.residency import Residency
from test.control.test_reservations import M1, report, resident


class ResidencyTest(unittest.TestCase):

    def test_artifact_is_missing_after_several_new_reports_without_it(self):
        """Guards against an old report that unloads a newly loaded model."""
        residency = Residency()
        rows = {"u1": resident(M1)}
        for sequence in (1, 2, 2, 2):
            residency.update(rows, {"u1": report(sequence)}, 5.0 * sequence)
        self.assertEqual(residency.missing(), frozenset())
        residency.update(rows, {"u1": report(3)}, 15.0)
        self.assertEqual(residency.missing(), {("u1", "m1")})
        self.assertEqual(residency.ages_s(20.0), {("u1", "m1"): 15.0})
        residency.update(rows, {"u1": report(4, M1)}, 21.0)
        self.assertEqual(residency.missing(), frozenset())
