"""Tests of the burn report."""

import unittest

import msgspec

from acaciaspoke.report.burn import BurnMerger, BurnReport, evaluate_alerts
from acaciaspoke.report.text import burn_table
from test.report.sample import RANKS, report, source, windows

GOOD = (100, 100, 100, 100)


def firing_alerts(budget, *rates):
    windows_s = (300.0, 3600.0, 6 * 3600.0, 3 * 86400.0)
    found = evaluate_alerts(dict(zip(windows_s, rates, strict=True)), budget)
    return [alert.name for alert in found if alert.firing]


class BurnTest(unittest.TestCase):

    def test_merges_processes(self):
        """Guards against averaging the attainment of processes."""
        service = report(windows(GOOD, 100), windows((0,) * 4, 300)).services
        window = service[0].windows[0]
        self.assertEqual((window.good, window.total), (100, 400))
        self.assertEqual(window.attainment, 0.25)
        self.assertAlmostEqual(window.burn_rate, 0.75 / 0.05)
        self.assertAlmostEqual(service[0].budget_left, 1 - 15)
        self.assertAlmostEqual(window.first_token.p50_ms, 500, delta=5)
        self.assertAlmostEqual(window.first_token.p95_ms, 3000, delta=30)
        self.assertAlmostEqual(window.token_gap.p50_ms, 20, delta=0.2)

    def test_duplicate_response_counts_once(self):
        """Guards against counting the requests of a duplicate message."""
        merger = BurnMerger()
        for _ in range(2):
            merger.add(source(1), windows(GOOD, 100))
        made = merger.report(RANKS, 7, "")
        self.assertEqual(made.services[0].windows[0].total, 100)
        self.assertEqual(made.processes, 1)

    def test_alerts_need_both_windows(self):
        """Guards against alerts on a spike or long after the cause ended."""
        self.assertEqual(firing_alerts(0.05, 15, 15, 0.5, 0.5), ["fast"])
        self.assertEqual(firing_alerts(0.05, 0, 15, 0.5, 0.5), [])
        self.assertEqual(firing_alerts(0.05, 15, 1, 0.5, 0.5), [])
        self.assertEqual(firing_alerts(0.05, 0, 0, 1, 1), ["slow"])
        self.assertEqual(firing_alerts(0.05, 0, 0, 0, 1), [])

    def test_fast_alert_can_fire_for_a_low_target(self):
        """Guards against a threshold above the largest possible burn rate."""
        self.assertEqual(firing_alerts(0.1, 10, 10, 0, 0), ["fast"])

    def test_target_of_100_percent(self):
        """Guards against a division by an error budget of zero."""
        ranks = {
            "urgent": msgspec.structs.replace(
                RANKS["urgent"], attainment_target=1.0
            )
        }
        merger = BurnMerger()
        merger.add(source(1), windows((99,) * 4, 100))
        made = merger.report(ranks, 7, "").services[0]
        self.assertGreater(made.windows[0].burn_rate, 1000)

    def test_lists_missing_and_partial_processes(self):
        """Guards against missing data that looks like good service."""
        unreadable = windows(GOOD, 100)
        first = msgspec.structs.replace(unreadable.windows[0], token_gap=b"?")
        unreadable = msgspec.structs.replace(
            unreadable, windows=(first, *unreadable.windows[1:])
        )
        made = report(
            windows(GOOD, 100, age_s=7200.0),
            unreadable,
            missing=[(5, "no answer for 2 s")],
        )
        self.assertEqual(
            [gap.host for gap in made.missing], ["host-1", "host-5"]
        )
        self.assertEqual([gap.host for gap in made.partial], ["host-0"])
        text = burn_table(made)
        self.assertIn("missing: host-5 tcp://127.0.0.1:5: no answer", text)
        self.assertIn("1 of 2 entry processes", text)

    def test_report_round_trips_through_json(self):
        """Guards against fields that the administration API cannot encode."""
        made = report(windows(GOOD, 100, trend=[(1, 2), (0, 0)]))
        data = msgspec.json.encode(made)
        self.assertEqual(msgspec.json.decode(data, type=BurnReport), made)
        self.assertEqual(made.services[0].trend, (0.5, None))

    def test_no_requests(self):
        """Guards against a division by zero in a new deployment."""
        made = report(windows((0,) * 4, 0)).services[0].windows[0]
        self.assertEqual((made.attainment, made.burn_rate), (None, 0.0))
        self.assertIn("no requests", burn_table(report()))
