"""Datagrams under names of hosts without end."""

import unittest
from unittest import mock

from loguru import logger

from acaciaspoke.gateway.messages import SendNotice, encode
from acaciaspoke.gateway.peers import (
    MAX_UNREGISTERED_BYTES,
    MAX_UNREGISTERED_HOSTS,
    UNREGISTERED_RETENTION_S,
    HostRow,
    Peers,
)
from acaciaspoke.ids import DomainId, HostId, UpstreamId

ROW = HostRow(address="127.0.0.1", port=7380, failure_domain=DomainId("a"))


class SpoofedHostsTest(unittest.TestCase):

    def setUp(self):
        self.handled = []
        self.peers = Peers(HostId("h"), "127.0.0.1", 7380, self.handled.append)
        self.clock = self.enterContext(mock.patch("time.monotonic"))
        self.clock.return_value = 100.0

    def _receive(self, host, upstream="u"):
        notice = SendNotice(host=HostId(host), upstream=UpstreamId(upstream))
        self.peers._receive(encode(notice))

    def test_hosts_beyond_the_bound_are_ignored(self):
        # Up to 4,096 names, with what each had sent, were kept for a minute.
        self.peers.rows = {HostId("known"): ROW}
        names = [f"x{number}" for number in range(MAX_UNREGISTERED_HOSTS + 1)]
        for name in (*names, "known", names[0]):
            self._receive(name)
        self.assertEqual(
            [*names[:-1], "known", names[0]],
            [message.host for message in self.handled],
        )

    def test_names_count_until_their_digests_are_forgotten(self):
        for number in range(MAX_UNREGISTERED_HOSTS):
            self._receive(f"x{number}")
        self.clock.return_value += UNREGISTERED_RETENTION_S
        self._receive("early")
        self.clock.return_value += 0.1
        self._receive("late")
        self.assertEqual("late", self.handled[-1].host)
        self.assertEqual(MAX_UNREGISTERED_HOSTS + 1, len(self.handled))

    def test_host_that_has_a_row_by_now_does_not_count(self):
        names = [f"x{number}" for number in range(MAX_UNREGISTERED_HOSTS)]
        for name in names:
            self._receive(name)
        self.peers.rows = {HostId(name): ROW for name in names[:1]}
        self._receive("another")
        self.assertEqual("another", self.handled[-1].host)

    def test_large_datagram_of_a_host_without_a_row_is_ignored(self):
        self.peers.rows = {HostId("known"): ROW}
        text = "x" * MAX_UNREGISTERED_BYTES
        self._receive("known", text)
        self._receive("another", text)
        self.assertEqual(["known"], [message.host for message in self.handled])

    def test_invalid_datagrams_are_logged_now_and_then(self):
        # Warnings are exempt from the limit of the log.
        lines = []
        self.addCleanup(logger.remove, logger.add(lines.append))
        logger.enable("acaciaspoke")
        self.addCleanup(logger.disable, "acaciaspoke")
        for _ in range(10):
            self.peers._receive(b"x")
        self.assertEqual(1, len(lines))
