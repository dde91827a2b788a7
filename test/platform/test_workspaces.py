"""Tests of acaciaspoke.platform.workspaces, and of headers about them."""

import unittest

import msgspec

from acaciaspoke.gateway.api_keys import ApiKeys, digest_of
from acaciaspoke.gateway.types import Workspace
from acaciaspoke.ids import UpstreamId, WorkspaceId
from acaciaspoke.platform.documents import DocumentError, decode_configuration
from acaciaspoke.platform.headers import (
    decode_request,
    encode_forwarded_request,
    encode_request,
)
from acaciaspoke.platform.workspaces import without_plain_keys
from test.gateway.builders import request
from test.gateway.workspace_documents import (
    KEY,
    OTHER_KEY,
    entry,
    keyed_configuration,
)


def encoded(*entries, **changes) -> bytes:
    return msgspec.json.encode(keyed_configuration(1, *entries, **changes))


def decoded(*entries, **changes) -> tuple[Workspace, ...]:
    return decode_configuration(encoded(*entries, **changes)).workspaces


def sent_name(name: str) -> list[bytes]:
    """Returns what an upstream gets as the name of a workspace."""
    workspace = Workspace(name=WorkspaceId(name), key_digests=frozenset())
    sent = encode_request(
        [(b"Acaciaspoke-Tenant", b"forged"), (b"acaciaspoke-key", b"k")],
        request(workspace=workspace),
        UpstreamId("u1"),
        0.0,
        None,
    )
    names = [name for name, _ in sent]
    assert b"acaciaspoke-key" not in names
    return [value for name, value in sent if name == b"acaciaspoke-tenant"]


class WorkspacesTest(unittest.TestCase):

    def test_fields(self):
        (found,) = decoded(
            entry(
                priority=2,
                unit="tokens",
                rate_per_s=900,
                burst=50.5,
                plain_tokens=200,
            )
        )
        self.assertEqual("alpha", found.name)
        self.assertEqual({digest_of(KEY.encode())}, found.key_digests)
        self.assertEqual(2, found.priority)
        self.assertEqual(
            (900, 50.5, 200, True), msgspec.structs.astuple(found.quota)
        )

    def test_missing_fields(self):
        (found,) = decoded({"name": "a"})
        self.assertEqual(
            (frozenset(), None, None),
            (found.key_digests, found.priority, found.quota),
        )

    def test_configuration_without_workspaces(self):
        for changes in ({"tenants": []}, {"tenants": None}):
            self.assertEqual((), decoded(**changes))
        document = keyed_configuration(1)
        del document["tenants"]
        data = msgspec.json.encode(document)
        self.assertEqual((), decode_configuration(data).workspaces)
        self.assertEqual(data, without_plain_keys(data))

    def test_workspaces_that_are_no_list(self):
        with self.assertRaises(DocumentError):
            decoded(tenants="alpha")

    def test_invalid_entries_do_not_affect_others(self):
        """One invalid entry kept the whole configuration out of force."""
        for odd in (
            None,
            7,
            "alpha",
            [],
            {},
            {"name": ""},
            {"name": None, "api-keys": [OTHER_KEY]},
            {"name": 7, "api-keys": [OTHER_KEY]},
        ):
            with self.subTest(odd):
                first, second = decoded(odd, entry())
                self.assertEqual(frozenset(), first.key_digests)
                self.assertEqual({digest_of(KEY.encode())}, second.key_digests)

    def test_invalid_entry_alone_admits_nobody(self):
        """A host would have served everyone."""
        keys = ApiKeys(decoded(None))
        self.assertTrue(keys.are_required)
        self.assertIsNone(keys.find(KEY.encode()))

    def test_invalid_fields_leave_the_keys_valid(self):
        """All callers of the workspace would have got status 401."""
        for changes in (
            {"priority": "high"},
            {"priority": 2**64},
            {"rate_per_s": -1},
            {"rate_per_s": "many"},
            {"rate_per_s": 5, "burst": None},
            {"rate_per_s": 5, "plain_tokens": 2**64, "unit": "tokens"},
            {"rate_per_s": 5, "unit": 3},
        ):
            with self.subTest(changes):
                (found,) = decoded(entry(**changes))
                self.assertEqual({digest_of(KEY.encode())}, found.key_digests)
                self.assertIsNone(found.priority)
                if found.quota is not None:
                    self.assertEqual(1, found.quota.plain_tokens)
                    self.assertEqual(0.0, found.quota.burst_tokens)

    def test_invalid_keys_leave_the_others_valid(self):
        fields = {"name": "a", "api-keys": [None, 5, "", "  ", KEY, ["x"]]}
        (found,) = decoded(fields)
        self.assertEqual({digest_of(KEY.encode())}, found.key_digests)
        for odd in (None, KEY, {"k": 1}, 5):
            with self.subTest(odd):
                (found,) = decoded({"name": "a", "api-keys": odd})
                self.assertEqual(frozenset(), found.key_digests)

    def test_white_space_around_a_key(self):
        """HTTP removes it from headers, so that the key was unknown."""
        (found,) = decoded(entry("a", f" {KEY}\t"))
        self.assertEqual({digest_of(KEY.encode())}, found.key_digests)

    def test_what_is_passed_on_has_no_keys(self):
        """Hosts kept the keys in memory, and sent them in datagrams."""
        data = encoded(
            entry("a", KEY, priority=1, extra={"x": [1e3]}),
            entry("b", OTHER_KEY, rate_per_s=5),
            None,
            [OTHER_KEY],
            {"name": "c", "api-keys": OTHER_KEY},
        )
        passed_on = without_plain_keys(data)
        for key in (KEY, OTHER_KEY):
            self.assertNotIn(key.encode(), passed_on)
        self.assertEqual(
            decode_configuration(data), decode_configuration(passed_on)
        )
        self.assertEqual(passed_on, without_plain_keys(passed_on))

    def test_invalid_digests_are_ignored(self):
        odd = ["", "zz", "00", 5, None, "00" * 33]
        (found,) = decoded({"name": "a", "api-key-digests": odd})
        self.assertEqual(frozenset(), found.key_digests)


class HeadersTest(unittest.TestCase):

    def test_key_of_a_request(self):
        cases = {
            (): b"",
            (b"",): b"",
            (b" k1 ",): b"k1",
            (b"k1", b"k1"): b"k1",
            (b"", b"k1"): b"k1",
            # Which of several keys was meant is not known.
            (b"k1", b"k2"): b"k1, k2",
            ("ключ".encode(),): "ключ".encode(),
            (b"k" * 16_000,): b"k" * 16_000,
        }
        for values, expected in cases.items():
            with self.subTest(values):
                headers = [(b"acaciaspoke-key", value) for value in values]
                self.assertEqual(expected, decode_request(headers).api_key)

    def test_names_reach_upstreams(self):
        """A name outside of Latin-1 ended each request with status 500."""
        for name, expected in {
            "alpha": b"alpha",
            "two words": b"two words",
            "Büro": "Büro".encode(),
            "工作": "工作".encode(),
            "a\r\nx: y": b"a%0D%0Ax%3A%20y",
            " a": b"%20a",
        }.items():
            with self.subTest(name):
                self.assertEqual([expected], sent_name(name))

    def test_name_of_a_caller_is_not_forwarded(self):
        sent = encode_forwarded_request(
            [(b"Acaciaspoke-Tenant", b"forged"), (b"acaciaspoke-key", b"k")],
            request(),
            0.0,
            None,
        )
        names = [name for name, _ in sent]
        self.assertNotIn(b"acaciaspoke-tenant", names)
        # The other host checks it again.
        self.assertIn(b"acaciaspoke-key", names)
