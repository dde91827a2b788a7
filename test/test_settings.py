"""Tests of the process settings."""

import unittest

from acaciaspoke.settings import check_settings


def document(**changes):
    return {
        "host": "h1",
        "failure_domain": "d1",
        "platform": {"table": "127.0.0.1:2379"},
        "control": {
            "listen": "127.0.0.1:7001",
            "mailbox": "tcp://127.0.0.1:7002",
        },
    } | changes


class SettingsTest(unittest.TestCase):

    def test_accepts_minimal_settings(self):
        self.assertEqual(check_settings(document()).host, "h1")

    def test_reports_every_wrong_field_with_its_path(self):
        """Guards against a validation that stops at the first wrong field."""
        wrong = document(
            host=7,
            surplus=1,
            entry=[{"listen": "127.0.0.1:1", "drain_notice_s": -1}],
        )
        with self.assertRaises(ExceptionGroup) as caught:
            check_settings(wrong)
        paths = {problem.path for problem in caught.exception.exceptions}
        self.assertEqual(
            paths,
            {"host", "surplus", "entry[0].drain_notice_s", "entry[0].mailbox"},
        )

    def test_rejects_addresses_that_are_not_ip_addresses(self):
        """Processes connect by IP address; a name would need a resolver."""
        with self.assertRaises(ExceptionGroup) as caught:
            check_settings(document(platform={"table": "table.local:1"}))
        paths = [problem.path for problem in caught.exception.exceptions]
        self.assertEqual(paths, ["platform.table"])
