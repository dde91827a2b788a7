"""Tests of the host list's client against the stand-in."""

import unittest

import msgspec

from acaciaspoke.clients.hosts import (
    HostEntry,
    HostsClient,
    HostsInvalid,
    HostState,
    HostsUnavailable,
    parse_hosts,
)
from acaciaspoke.util.http import HttpClient
from acaciaspoke.util.metrics import Metrics
from standins.faults import Faults
from standins.hosts import Hosts
from test.builders import stand_in


def group(state: str, *targets: str):
    labels = {"failure_domain": "d1", "state": state, "role": "engine"}
    return {"targets": list(targets), "labels": labels}


class HostsTest(unittest.IsolatedAsyncioTestCase):

    async def test_fetches_each_target_and_shows_changes_after_the_lag(self):
        now_s = [0.0]
        hosts = Hosts(clock_s=lambda: now_s[0])
        hosts.set_hosts([group("live", "10.0.0.1:1", "10.0.0.2:1")])
        async with stand_in(
            hosts, lambda address: HostsClient(address, 2.0, Metrics())
        ) as client:
            entry = HostEntry(
                address="10.0.0.1:1",
                failure_domain="d1",
                state=HostState.LIVE,
                role="engine",
            )
            shown = await client.fetch()
            self.assertEqual((shown[0], len(shown)), (entry, 2))
            hosts.set_hosts([group("leaving", "10.0.0.1:1")], lag_s=3)
            self.assertEqual(await client.fetch(), shown)
            now_s[0] = 3.0
            (leaving,) = await client.fetch()
            self.assertIs(leaving.state, HostState.LEAVING)
            hosts.set_faults(Faults(refuse=True))
            with self.assertRaises(HostsUnavailable):
                await client.fetch()

    async def test_unchanged_list_is_the_same_after_a_fault(self):
        """Guards against a cached list changed by its user or a fault."""
        hosts = Hosts()
        hosts.set_hosts([group("live", "10.0.0.1:1")])
        async with stand_in(
            hosts, lambda address: HostsClient(address, 2.0, Metrics())
        ) as client:
            first = await client.fetch()
            expected = list(first)
            first.clear()
            self.assertEqual(await client.fetch(), expected)
            hosts.set_hosts([group("live", "no address")])
            for _ in range(2):
                with self.assertRaises(HostsInvalid):
                    await client.fetch()
            hosts.set_hosts([group("live", "10.0.0.1:1")])
            self.assertEqual(await client.fetch(), expected)
            hosts.set_hosts([])
            self.assertEqual(await client.fetch(), [])

    async def test_stand_in_is_controlled_by_http(self):
        """Guards against demo scripts whose faults have no effect."""
        hosts = Hosts()
        async with stand_in(hosts, lambda a: HttpClient(a, 2.0)) as http:
            document = {"hosts": [group("live", "10.0.0.1:1")]}
            body = msgspec.json.encode(document)
            await http.request("POST", "/standin/hosts", body)
            answer = await http.request("GET", "/")
            self.assertEqual(len(parse_hosts(answer.body)), 1)
            await http.request("POST", "/standin/faults", b'{"refuse": true}')
            self.assertEqual((await http.request("GET", "/")).status, 429)

    def test_rejects_a_list_with_one_invalid_entry(self):
        """Guards against treating a host with an invalid entry as removed."""
        for body in (
            b"not JSON",
            b'[{"targets": ["10.0.0.1:1"], "labels": {}}]',
            b'[{"targets": ["name:1"], "labels": {"failure_domain": "d"}}]',
        ):
            with self.subTest(body), self.assertRaises(HostsInvalid):
                parse_hosts(body)
