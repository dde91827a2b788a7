"""Tests of the service-level windows of an entry process."""

import unittest

import anyio

from acaciaspoke.config.schema import Rank
from acaciaspoke.net.messages import Windows, decode, encode
from acaciaspoke.report.hdr import (
    HistogramError,
    add_encoded,
    new_histogram,
    percentiles,
)
from acaciaspoke.report.histograms import (
    MAX_SERIES,
    WINDOWS_S,
    ServiceWindows,
    TokenGaps,
)

RANK = Rank(level=0, first_token_target_s=2.0, token_gap_target_ms=45.0)


def gaps(*gaps_ms):
    stream, at_s = TokenGaps(100.0), 100.0
    for gap_ms in gaps_ms:
        at_s += gap_ms / 1000
        stream.record_token(at_s)
    return stream


def record(windows, now_s, first_token_s=1.0, service="chat", **fields):
    fields = {"succeeded": True} | fields
    windows.record(
        "urgent", RANK, service, now_s, first_token_s=first_token_s, **fields
    )


def collect(windows, now_s):
    found = anyio.run(windows.collect, now_s)
    return {window.length_s: window for window in found}


def totals(windows, now_s):
    found = collect(windows, now_s)
    return [found[length_s].total for length_s in WINDOWS_S]


class ServiceWindowsTest(unittest.TestCase):

    def test_counts_each_request_once_in_each_window(self):
        """Guards against slices lost or added twice when a ring is advanced."""
        windows = ServiceWindows()
        start_s = 1_000_003.0
        for second in range(4000):
            record(windows, start_s + second)
        self.assertEqual(totals(windows, start_s + 3999)[2:], [4000, 4000])
        five_min, hour, *_ = totals(windows, start_s + 3999)
        self.assertAlmostEqual(five_min, 300, delta=10)
        self.assertAlmostEqual(hour, 3600, delta=300)

    def test_old_requests_drop_out_of_the_windows(self):
        """Guards against an idle service that reports old requests."""
        windows = ServiceWindows()
        record(windows, 1000.0)
        for age_s, expected in (
            (200, [1, 1, 1, 1]),
            (700, [0, 1, 1, 1]),
            (8000, [0, 0, 1, 1]),
            (30_000, [0, 0, 0, 1]),
            (300_000, [0, 0, 0, 0]),
        ):
            with self.subTest(age_s=age_s):
                self.assertEqual(totals(windows, 1000.0 + age_s), expected)

    def test_good_means_both_targets_and_success(self):
        """Guards against attainment that ignores failures or slow gaps."""
        cases = (
            (True, {}),
            (True, {"gaps": gaps(*[40] * 19, 400)}),
            (False, {"gaps": gaps(*[40] * 18, 400, 400)}),
            (False, {"first_token_s": 2.1}),
            (False, {"first_token_s": None}),
            (False, {"succeeded": False}),
        )
        for good, fields in cases:
            with self.subTest(fields):
                windows = ServiceWindows()
                record(windows, 0.0, **fields)
                found = collect(windows, 1.0)[300.0]
                self.assertEqual((found.good, found.total), (good, 1))

    def test_percentiles_are_kept_through_slices_and_the_message(self):
        """Guards against units or shapes that differ between the stages."""
        windows = ServiceWindows()
        for second in range(1000):
            record(windows, second, second / 1000, gaps=gaps(20, 20, 40))
        message = Windows(
            sender="tcp://127.0.0.1:1",
            sequence=1,
            windows=anyio.run(windows.collect, 1000.0),
            trends=tuple(windows.trends(1000.0)),
        )
        window = decode(encode(message)).windows[2]
        first_token, token_gap = new_histogram(), new_histogram()
        add_encoded(first_token, window.first_token)
        add_encoded(token_gap, window.token_gap)
        found = percentiles(first_token, 1)
        self.assertAlmostEqual(found.p50_ms, 500, delta=10)
        self.assertAlmostEqual(found.p99_ms, 990, delta=10)
        self.assertEqual(token_gap.get_total_count(), 3000)
        self.assertAlmostEqual(percentiles(token_gap, 10).p50_ms, 20, 0)
        self.assertEqual(sum(message.trends[0].total), 1000)
        self.assertEqual(message.trends[0].total[:4], (100, 300, 300, 300))

    def test_memory_is_bounded(self):
        """Guards against a configuration that exhausts the host's memory."""
        windows = ServiceWindows()
        for number in range(MAX_SERIES + 5):
            record(windows, 0.0, service=f"s{number}")
        self.assertEqual(windows.dropped_requests, 5)

    def test_rejects_invalid_histograms(self):
        """Guards against a crash when a process has another version."""
        for data in (b"x", b"\x1c\x84\x93\x14\0\0\0\x04abcd"):
            with self.assertRaises(HistogramError):
                add_encoded(new_histogram(), data)
