"""Tests of acaciaspoke.gateway.stalls."""

import unittest

from acaciaspoke.gateway.stalls import EVENT_TIMEOUT_S, StallDetector


class StallDetectorTest(unittest.TestCase):

    def setUp(self):
        self.stalls = StallDetector()
        self.now_s = 0.0

    def _run(self, duration_s):
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += 0.05
            self.stalls.record_check(self.now_s)

    def _is_stalled(self, last_event_s, prefill_s=0.0):
        return self.stalls.is_stalled(last_event_s, prefill_s, self.now_s)

    def test_engine_without_events_is_stalled(self):
        self._run(EVENT_TIMEOUT_S + 0.1)
        self.assertTrue(self._is_stalled(0.0))
        self.assertFalse(self._is_stalled(self.now_s - 0.3))

    def test_suspension_of_this_process_does_not_count(self):
        self._run(1.0)
        last_event_s = self.now_s
        self.now_s += 5.0
        self.stalls.record_check(self.now_s)
        self.assertFalse(self._is_stalled(last_event_s))
        self._run(EVENT_TIMEOUT_S + 0.1)
        self.assertTrue(self._is_stalled(last_event_s))

    def test_prefill_of_other_prompts_extends_the_time(self):
        self._run(1.0)
        self.assertFalse(self._is_stalled(0.0, prefill_s=0.5))
        self._run(0.5)
        self.assertTrue(self._is_stalled(0.0, prefill_s=0.5))
