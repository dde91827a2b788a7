"""Datagrams under names of hosts without end."""

import unittest
from unittest import mock

from loguru import logger

from acaciaspoke.gateway.messages import SendNotice, encode
from acaciaspoke.gateway.peers import (
    MAX_UNREGISTERED_HOSTS,
    HostRow,
    Peers,
)
from acaciaspoke.ids import DomainId, HostId, UpstreamId

ROW = HostRow(address="127.0.0.1", port=7380, failure_domain=DomainId("a"))


class SpoofedHostsTest(unittest.TestCase):

    def setUp(self):
        self.handled = []
        self.peers = Peers(HostId("h"), "127.0.0.1", 7380, self.handled.append)
        clock = self.enterContext(mock.patch("time.monotonic"))
        clock.return_value = 100.0

    def _receive(self, host):
        notice = SendNotice(host=HostId(host), upstream=UpstreamId("u"))
        self.peers._receive(encode(notice))

    def test_hosts_beyond_the_bound_are_ignored(self):
        # Each name was kept for 10 s.
        self.peers._last_seen_s = {
            HostId(f"x{number}"): 100.0
            for number in range(MAX_UNREGISTERED_HOSTS + 1)
        }
        self.peers.rows = {HostId("known"): ROW}
        self._receive("another")
        self._receive("known")
        self._receive("x1")
        self.assertEqual(
            ["known", "x1"], [message.host for message in self.handled]
        )

    def test_invalid_datagrams_are_logged_now_and_then(self):
        # Warnings are exempt from the limit of the log.
        lines = []
        self.addCleanup(logger.remove, logger.add(lines.append))
        logger.enable("acaciaspoke")
        self.addCleanup(logger.disable, "acaciaspoke")
        for _ in range(10):
            self.peers._receive(b"x")
        self.assertEqual(1, len(lines))
