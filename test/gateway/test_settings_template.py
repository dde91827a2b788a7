"""Tests of deploy/gateway.json.template."""

import types
import unittest

import msgspec

from acaciaspoke.gateway.settings import GatewaySettings
from review.common.deployment import render_settings


class SettingsTemplateTest(unittest.TestCase):

    def test_review_cases_can_fill_it_in(self):
        # A field that they do not know kept all of them from running.
        store = types.SimpleNamespace(address="127.0.0.1:7400")
        text = render_settings("h1", "127.0.0.1", store, {}, True)
        settings = msgspec.json.decode(text, type=GatewaySettings)
        self.assertEqual("h1", settings.host)
