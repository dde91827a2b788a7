"""Tests of the check of copies that are not used."""

import unittest

from soak.copies import MAX_HELD_S, find_kept_copies, read_copies, summarize
from soak.takeovers import group_by_id
from test.soak.builders import make_run, make_stream

COPIED = "copied 127.0.0.1:1/1000.0-s0-0 s0-0 worker3 11.700"
FREED = "released 127.0.0.1:1/1000.0-s0-0 freed worker3 12.100"
LAPSED = FREED.replace("freed", "lapsed").replace("12.100", "21.700")


class KeptCopyTest(unittest.TestCase):
    """Guards against violations that are missed or reported wrongly."""

    def _find(self, *lines: str, stream=None, runs=(), now_s=30.0) -> str:
        found = find_kept_copies(
            read_copies({3: ["a line of something else", *lines]}),
            [stream or make_stream()],
            group_by_id(runs or [make_run()]),
            MAX_HELD_S,
            now_s,
        )
        return "\n".join(found)

    def test_copy_that_is_freed(self):
        self.assertEqual("", self._find(COPIED, FREED))

    def test_copy_that_is_held(self):
        self.assertIn("for 18.00 s", self._find(COPIED))
        self.assertIn("for 9.70 s", self._find(COPIED, LAPSED))
        self.assertEqual("", self._find(COPIED, now_s=14.9))

    def test_second_copy_of_a_run(self):
        again = COPIED.replace("11.700", "11.950")
        self.assertIn("for 18.00 s", self._find(COPIED, FREED, again))

    def test_stream_that_is_not_whole_or_went_on_elsewhere(self):
        broken = make_stream(is_complete=False)
        self.assertEqual("", self._find(COPIED, stream=broken))
        runs = [make_run(), make_run(engine=3, is_afresh=False, begin_s=12.0)]
        self.assertEqual("", self._find(COPIED, runs=runs))

    def test_summary(self):
        lines = [COPIED, FREED, COPIED, LAPSED, COPIED]
        self.assertEqual(
            "3 copies of runs: 0 used, 1 freed, 1 lapsed",
            summarize(read_copies({3: lines})),
        )
