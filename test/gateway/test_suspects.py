"""Tests of acaciaspoke.gateway.suspects."""

import unittest

from acaciaspoke.gateway.suspects import (
    LOST_ATTEMPT_RETENTION_S,
    MAX_LOST_ATTEMPTS,
    CrashSuspects,
)
from acaciaspoke.ids import HostId


class CrashSuspectsTest(unittest.TestCase):
    """A request crashes each upstream that runs it, at several hosts."""

    def test_lost_attempts_at_all_hosts_count(self):
        suspects = CrashSuspects()
        suspects.record_crash(7, 0.0)
        self.assertFalse(suspects.is_blocked(7, 0.0))
        suspects.apply_counts(HostId("h2"), {7: MAX_LOST_ATTEMPTS - 1}, 0.1)
        self.assertTrue(suspects.is_blocked(7, 0.2))
        self.assertFalse(suspects.is_blocked(8, 0.2))

    def test_answer_unblocks_a_request(self):
        suspects = CrashSuspects()
        for _ in range(MAX_LOST_ATTEMPTS):
            suspects.record_crash(7, 0.0)
        suspects.record_success(7)
        self.assertFalse(suspects.is_blocked(7, 0.1))

    def test_lost_attempts_expire(self):
        suspects = CrashSuspects()
        suspects.record_crash(7, 0.0)
        self.assertEqual({7: 1}, suspects.local_counts(1.0))
        self.assertEqual(
            {}, suspects.local_counts(LOST_ATTEMPT_RETENTION_S + 1)
        )
