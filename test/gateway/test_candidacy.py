"""Tests of acaciaspoke.gateway.candidacy."""

import unittest

from acaciaspoke.gateway.candidacy import LEASE_CANDIDATES, should_compete
from acaciaspoke.ids import HostId

HOSTS = [HostId(f"h{n}") for n in range(9)]


def _competing(last_holder: HostId | None, links_mbps: dict) -> set[HostId]:
    return {
        host for host in HOSTS if should_compete(host, last_holder, links_mbps)
    }


class CandidateTest(unittest.TestCase):
    """The store is unreachable for longer than a lease, and then recovers."""

    def test_a_few_hosts_compete(self):
        links_mbps = dict.fromkeys(HOSTS, 10.0)
        self.assertEqual(LEASE_CANDIDATES, len(_competing(None, links_mbps)))

    def test_last_holder_competes_wherever_it_ranks(self):
        # If it stops reading the row, another host acquires the lease (1.7 s
        # after the store recovers) and sends its first order 3 s later.
        links_mbps = dict.fromkeys(HOSTS, 10.0)
        for host in HOSTS:
            self.assertIn(host, _competing(host, links_mbps))

    def test_fast_links_come_first(self):
        fast = set(HOSTS[:LEASE_CANDIDATES])
        links_mbps = dict.fromkeys(HOSTS, 10.0) | dict.fromkeys(fast, 200.0)
        self.assertEqual(fast, _competing(None, links_mbps))
