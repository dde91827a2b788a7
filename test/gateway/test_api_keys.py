"""Tests of acaciaspoke.gateway.api_keys, and of parts that depend on it."""

import unittest
from unittest import mock

from acaciaspoke.gateway.api_keys import (
    ApiKeys,
    digest_of,
    fingerprint,
    is_discovering,
    may_be_outdated,
    refuse,
)
from acaciaspoke.gateway.api_keys.freshness import (
    DISCOVERY_S,
    MAX_CONFIRMED_AGE_S,
)
from acaciaspoke.gateway.forwarding import ForwardingHosts
from acaciaspoke.gateway.peers import HostRow
from acaciaspoke.gateway.table_follower import ConfigurationLag
from acaciaspoke.gateway.types import Workspace
from acaciaspoke.ids import DomainId, HostId, WorkspaceId
from test.gateway.builders import request


def workspace(name: str, *keys: bytes) -> Workspace:
    return Workspace(
        name=WorkspaceId(name), key_digests=frozenset(map(digest_of, keys))
    )


class ApiKeysTest(unittest.TestCase):

    def test_keys_are_found(self):
        first, second = workspace("a", b"k1", b"k2"), workspace("b", b"k3")
        keys = ApiKeys([first, second])
        self.assertTrue(keys.are_required)
        for key, expected in {
            b"k1": first,
            b"k2": first,
            b"k3": second,
            b"": None,
            b"K1": None,
            b"k1, k3": None,
            b"k" * 16_000: None,
            b"\xff\xfe": None,
        }.items():
            with self.subTest(key):
                self.assertIs(expected, keys.find(key))

    def test_workspaces_may_come_from_an_iterator(self):
        keys = ApiKeys(iter([workspace("a", b"k1")]))
        self.assertTrue(keys.are_required)
        self.assertIsNotNone(keys.find(b"k1"))

    def test_configuration_without_workspaces(self):
        self.assertFalse(ApiKeys().are_required)
        self.assertIsNone(ApiKeys().find(b"k1"))

    def test_key_of_two_workspaces(self):
        first, second = workspace("a", b"k1"), workspace("b", b"k1", b"k2")
        with mock.patch(
            "acaciaspoke.gateway.api_keys.lookup.logger.warning"
        ) as warning:
            keys = ApiKeys([first, second])
        self.assertIs(first, keys.find(b"k1"))
        self.assertIs(second, keys.find(b"k2"))
        self.assertEqual(
            fingerprint(b"k1"), warning.call_args.kwargs["fingerprint"]
        )


class RefuseTest(unittest.TestCase):

    def test_in_touch(self):
        refusal = refuse(b"secret", is_outdated=False)
        self.assertEqual((401, None), (refusal.status, refusal.retry_after_s))
        self.assertIn(fingerprint(b"secret"), refusal.message)
        self.assertNotIn("secret", refusal.message)
        self.assertIn("no API key", refuse(b"", is_outdated=False).message)

    def test_outdated_configuration(self):
        """Callers do not retry after status 401."""
        refusal = refuse(b"secret", is_outdated=True)
        self.assertEqual(503, refusal.status)
        self.assertEqual("not_ready", refusal.type.value)
        self.assertLess(refusal.retry_after_s, 1.0)
        self.assertNotIn("secret", refusal.message)

    def test_may_be_outdated(self):
        for local, newest, age_s, expected in (
            (5, 0, 0.0, False),
            (5, 5, MAX_CONFIRMED_AGE_S, False),
            (5, 4, 0.1, False),
            (5, 6, 0.0, True),
            (5, 5, MAX_CONFIRMED_AGE_S + 0.01, True),
            (5, 5, float("inf"), True),
        ):
            with self.subTest(local=local, newest=newest, age_s=age_s):
                self.assertEqual(
                    expected, may_be_outdated(local, newest, age_s)
                )

    def test_host_that_starts_waits_for_others(self):
        """It read an old copy of the store, and answered 401 for a new key."""
        for age_s, registered, has_heard, expected in (
            (0.1, 0, False, True),
            (0.1, 1, False, False),
            (0.1, 2, False, True),
            (0.1, 2, True, False),
            (DISCOVERY_S, 2, False, False),
        ):
            with self.subTest(age_s, registered=registered, heard=has_heard):
                self.assertEqual(
                    expected, is_discovering(age_s, registered, has_heard)
                )


class ConfirmationTest(unittest.TestCase):

    def setUp(self):
        self.lag = ConfigurationLag()
        self.lag.record_local_version(5)

    def is_outdated(self, now_s: float, started_s: float = -9.0) -> bool:
        return self.lag.may_be_outdated(now_s, started_s, registered=2)

    def test_configuration_that_nothing_confirms(self):
        self.assertTrue(self.is_outdated(0.0))

    def test_store_confirms(self):
        self.lag.record_read(10.0)
        self.assertFalse(self.is_outdated(10.0 + MAX_CONFIRMED_AGE_S))
        self.assertTrue(self.is_outdated(13.5))

    def test_host_with_the_same_version_confirms(self):
        self.lag.observe(5, 10.0)
        self.assertFalse(self.is_outdated(12.0))

    def test_host_with_an_older_version_does_not_confirm(self):
        for version in (0, 4):
            self.lag.observe(version, 10.0)
            self.assertTrue(self.is_outdated(10.0))

    def test_host_without_a_configuration_confirms_nothing(self):
        lag = ConfigurationLag()
        lag.observe(0, 10.0)
        self.assertTrue(lag.may_be_outdated(10.0, 0.0, 2))

    def test_newer_version_counts_at_once_and_until_it_is_in_force(self):
        self.lag.record_read(10.0)
        self.lag.observe(6, 10.0)
        self.lag.record_read(10.1)
        self.assertTrue(self.is_outdated(10.1))
        self.lag.record_local_version(6)
        self.assertFalse(self.is_outdated(10.2))

    def test_host_that_has_just_started(self):
        self.lag.record_read(10.0)
        self.assertTrue(self.is_outdated(10.0, started_s=9.9))
        self.lag.observe(5, 10.1)
        self.assertFalse(self.is_outdated(10.1, started_s=9.9))


class ForwardingTest(unittest.TestCase):

    def _choose(self, has_workspaces: bool, **knows: bool) -> set[HostId]:
        rows = {
            HostId(name): HostRow(
                address="10.0.0.1",
                port=7380,
                failure_domain=DomainId("a"),
                takes_forwarded=True,
                knows_workspaces=known,
            )
            for name, known in knows.items()
        }
        hosts = ForwardingHosts(
            HostId("h0"),
            DomainId("a"),
            lambda: rows,
            lambda now_s: rows,
            lambda now_s: (),
            lambda now_s: (),
            lambda: has_workspaces,
        )
        return {hosts.choose(request(f"q{n}"), 0.0) for n in range(50)}

    def test_hosts_of_the_earlier_release_get_no_keys(self):
        """They would send the keys to upstreams."""
        hosts = {"h1": True, "h2": False, "h3": False}
        self.assertEqual({"h1"}, self._choose(True, **hosts))
        self.assertEqual({None}, self._choose(True, h2=False))

    def test_without_workspaces_all_hosts_are_used(self):
        hosts = {"h1": True, "h2": False}
        self.assertEqual({"h1", "h2"}, self._choose(False, **hosts))
