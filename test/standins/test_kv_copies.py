"""Tests of the memory of runs that the engine stand-in keeps."""

import unittest

from standins.kv_copies import LAPSE_S, RETENTION_S, KvCopies

SOURCE = "127.0.0.1:1"


class KvCopiesTest(unittest.TestCase):

    def setUp(self):
        self.now_s = 10.0
        self.lines: list[str] = []
        self.copies = KvCopies("e2", self.lines.append, lambda: self.now_s)

    def test_copy_that_was_ordered_holds_a_slot_until_it_lapses(self):
        self.copies.keep_ordered(f"{SOURCE}/h1", "a", 7)
        self.now_s += LAPSE_S - 1.0
        self.copies.keep_ordered(f"{SOURCE}/h1", "a", 9)
        self.now_s += 2.0
        self.assertEqual(1, self.copies.held_slots)
        self.now_s += LAPSE_S
        self.assertEqual(0, self.copies.held_slots)
        self.assertIsNone(self.copies.take(f"{SOURCE}/h1"))
        self.assertEqual(
            [
                f"copied {SOURCE}/h1 a e2 10.000",
                f"released {SOURCE}/h1 lapsed e2 31.000",
            ],
            self.lines,
        )

    def test_copy_is_used_once(self):
        self.copies.keep_ordered(f"{SOURCE}/h1", "a", 7)
        self.assertEqual(7, self.copies.take(f"{SOURCE}/h1"))
        self.assertIsNone(self.copies.take(f"{SOURCE}/h1"))
        self.assertEqual(0, self.copies.held_slots)
        self.assertEqual(
            "released 127.0.0.1:1/h1 used e2 10.000", self.lines[1]
        )

    def test_only_the_handle_that_is_named_is_freed(self):
        self.copies.keep_ordered(f"{SOURCE}/h1", "a", 7)
        self.copies.keep_ordered(f"{SOURCE}/h11", "b", 7)
        self.copies.free("h1")
        self.assertEqual(1, self.copies.held_slots)
        self.assertEqual(7, self.copies.take(f"{SOURCE}/h11"))

    def test_backups_and_stopped_runs_hold_no_slot(self):
        self.copies.keep_backup("127.0.0.1:2/a", 7)
        self.copies.keep_stopped("127.0.0.1:2/h1", 8)
        self.assertEqual(0, self.copies.held_slots)
        self.now_s += RETENTION_S
        self.assertNotIn("127.0.0.1:2/a", self.copies)
        self.assertIn("127.0.0.1:2/h1", self.copies)
        self.assertEqual([], self.lines)
