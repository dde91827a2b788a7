"""Tests of acaciaspoke.gateway.settings."""

import tempfile
import unittest
from pathlib import Path

import msgspec

from acaciaspoke.gateway.settings import load_gateway_settings
from acaciaspoke.settings import SettingsError

SETTINGS = {
    "host": "h1",
    "failure_domain": "a",
    "address": "10.0.0.1",
    "listen": "10.0.0.1:80",
    "ready_listen": "10.0.0.1:81",
    "internal_ports": [7380, 7395],
    "store": "10.0.0.9:90",
}


class GatewaySettingsTest(unittest.TestCase):

    def _load(self, **changes):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "gateway.json")
            path.write_bytes(msgspec.json.encode({**SETTINGS, **changes}))
            return load_gateway_settings(path)

    def test_unknown_fields_are_ignored(self):
        self.assertEqual(7380, self._load(new_field=1).peer_port)

    def test_invalid_fields_are_rejected(self):
        for name, value in (
            ("listen", "nowhere"),
            ("internal_ports", [0, 1]),
            ("load_window_s", -1),
            ("host", ""),
        ):
            with self.subTest(name), self.assertRaises(SettingsError):
                self._load(**{name: value})

    def test_missing_file_is_reported(self):
        with self.assertRaisesRegex(SettingsError, "No such file"):
            load_gateway_settings(Path("/nonexistent/gateway.json"))
