"""Idle times of pooled connections."""

import types
import unittest

import httpcore

from acaciaspoke.entry.pool import MAX_KEEPALIVE_S, Connection


class IdleTimeTest(unittest.TestCase):

    def _idle_time_s(self, stated_s: float) -> float:
        connection = Connection(httpcore.Origin(b"http", b"127.0.0.1", 1))
        http11 = types.SimpleNamespace(_keepalive_expiry=4.0)
        connection.http._connection = http11
        connection.limit_idle(stated_s)
        return http11._keepalive_expiry

    def test_upstream_that_keeps_connections_longer(self):
        # Guards against a new connection for each request to an upstream that
        # gets one every few seconds.
        self.assertEqual(6.9, self._idle_time_s(6.9))

    def test_upstream_that_closes_early(self):
        # Guards against requests on connections that the upstream closes.
        self.assertEqual(0.6, self._idle_time_s(0.6))

    def test_upstream_that_states_a_very_long_time(self):
        # Guards against idle connections without end.
        self.assertEqual(MAX_KEEPALIVE_S, self._idle_time_s(86400.0))
