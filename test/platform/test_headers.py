"""Tests of acaciaspoke.platform.headers."""

import unittest

from acaciaspoke.platform.headers import LoadReport, decode_response


def decode(value):
    return decode_response([(b"Acaciaspoke-Server-Load", value)])


class LoadTest(unittest.TestCase):

    def test_three_figures(self):
        self.assertEqual(LoadReport(3, 1, 8, 100), decode(b"3, 1,8").load)

    def test_fourth_figure_is_the_time_of_work(self):
        """All loads of workers on shared machines were dropped."""
        self.assertEqual(LoadReport(3, 1, 8, 250), decode(b"3,1,8,250").load)

    def test_further_figures_are_ignored(self):
        self.assertEqual(LoadReport(3, 1, 8, 90), decode(b"3,1,8,90,x").load)

    def test_invalid_fourth_figure_leaves_the_others(self):
        for text in (b"3,1,8,", b"3,1,8,fast", b"3,1,8,-1", b"3,1,8,0"):
            with self.subTest(text):
                self.assertEqual(LoadReport(3, 1, 8, 100), decode(text).load)

    def test_invalid_load_is_reported(self):
        for text in (b"", b"3,1", b"a,1,8", b"-1,0,8", "٣,1,8".encode()):
            with self.subTest(text):
                fields = decode(text)
                self.assertIsNone(fields.load)
                self.assertTrue(fields.has_invalid_load)

    def test_figures_of_thousands_of_digits(self):
        """The caller got 502 in place of the answer."""
        digits = b"9" * 5000
        self.assertTrue(decode(digits + b",1,8").has_invalid_load)
        load = decode(b"3,1,8," + digits).load
        self.assertEqual(LoadReport(3, 1, 8, 100), load)

    def test_missing_load_is_not_invalid(self):
        self.assertFalse(decode_response([]).has_invalid_load)
