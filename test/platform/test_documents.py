"""Tests of acaciaspoke.platform.documents and headers."""

import unittest

import msgspec

from acaciaspoke.gateway.types import RouteKind
from acaciaspoke.ids import UpstreamId
from acaciaspoke.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_report,
    decode_upstream,
)
from acaciaspoke.platform.headers import (
    MAX_SHARED_PARTS,
    decode_request,
    decode_response,
    encode_request,
)
from test.gateway.builders import artifact, request

RECORD = {
    "service": "s1",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "slots": 24,
    "state": "ready",
    "seq": 17,
    "born": 1781167964377,
    "models": [{"name": "m1", "version": 1, "adapters": ["a1"]}],
    "at-hand": {"in-memory": ["m2"], "on-disk": ["m3"]},
}


DATA = msgspec.json.encode(RECORD)


def _decode(**changes):
    data = msgspec.json.encode({**RECORD, **changes})
    return decode_upstream(UpstreamId("i-1"), data)


class UpstreamTest(unittest.TestCase):

    def test_record_is_decoded(self):
        found = _decode()
        self.assertEqual(
            {artifact("m1"), artifact("m1", "a1")}, found.artifacts
        )
        self.assertEqual({"m2", "m3"}, found.cached_models)

    def test_software_version(self):
        self.assertEqual("v1.1", _decode(version="v1.1").version)
        self.assertEqual("", _decode().version)

    def test_odd_software_versions(self):
        # The upstream can run requests, whatever it calls its version.
        self.assertEqual("1", _decode(version=1).version)
        self.assertEqual("1.1", _decode(version=1.1).version)
        self.assertEqual("", _decode(version=None).version)
        self.assertEqual("", _decode(version={"major": 1}).version)
        many_digits = b'{"version": 1' + 5000 * b"0" + b"," + DATA[1:]
        try:
            found = decode_upstream(UpstreamId("i-1"), many_digits)
        except DocumentError:
            pass
        else:
            self.assertEqual("", found.version)
        first, second = (
            _decode(version="v" * 1000 + end).version for end in "ab"
        )
        self.assertNotEqual(first, second)
        self.assertLess(len(first), 128)

    def test_invalid_records_are_rejected(self):
        for change in (
            {"state": "asleep"},
            {"slots": "many"},
            {"address": "nowhere"},
            {"models": "m1"},
            {"service": None},
        ):
            with self.subTest(change), self.assertRaises(DocumentError):
                _decode(**change)
        with self.assertRaises(DocumentError):
            decode_upstream(UpstreamId("i-1"), b"\xff\x00")

    def test_records_of_other_writers_are_rejected(self):
        deep = b"[" * 100_000 + b"]" * 100_000
        record = msgspec.json.encode(RECORD)
        for name, data in {
            "nested value": record[:-1] + b', "x": ' + deep + b"}",
            "nested adapters": record.replace(b'["a1"]', deep),
            "only brackets": b"[" * 100_000,
            "huge number": record.replace(b"24", b"9" * 400),
            "many slots": record.replace(b"24", b"9" * 18),
            "infinite number": record.replace(b"24", b"1e999"),
            "port out of range": record.replace(b":80", b":65536"),
            "long port": record.replace(b":80", b":" + b"9" * 5000),
            "port in other digits": record.replace(
                b":80", ":\N{ARABIC-INDIC DIGIT THREE}".encode()
            ),
        }.items():
            with self.subTest(name), self.assertRaises(DocumentError):
                decode_upstream(UpstreamId("i-1"), data)
        for name in ("i-1\r\nx: y", "i-\N{SNOWMAN}"):
            with self.subTest(name), self.assertRaises(DocumentError):
                decode_upstream(UpstreamId(name), record)


class ConfigurationTest(unittest.TestCase):

    def test_configuration_is_decoded(self):
        found = decode_configuration(
            msgspec.json.encode(
                {
                    "version": 7,
                    "routes": [
                        {
                            "name": "r",
                            "host": "A.example",
                            "prefix": "/a/",
                            "kind": "streaming",
                            "timeout-ms": 12000,
                            "target-latency-ms": 500,
                            "priority": 1,
                            "service": "s1",
                            "resumable": True,
                        }
                    ],
                    "services": [{"name": "s1", "max-connections": 9}],
                }
            )
        )
        (route,) = found.routes
        self.assertEqual("a.example", route.host)
        self.assertIs(RouteKind.STREAMING, route.kind)
        self.assertTrue(route.idempotent)
        self.assertEqual((12.0, 0.5), (route.timeout_s, route.objective_s))

    def test_report_without_order_count_is_rejected(self):
        with self.assertRaises(DocumentError):
            decode_report(b'{"busy": false}')


class HeadersTest(unittest.TestCase):

    def test_request_headers_are_decoded(self):
        found = decode_request(
            [
                (b"acaciaspoke-attempt-id", b"9c41"),
                (b"acaciaspoke-time-remaining-ms", b"1500"),
                (b"acaciaspoke-model", b"m1/a3"),
                (b"acaciaspoke-token-count", b"1460,80"),
                (b"acaciaspoke-prompt-prefix", b"5c1e:800,91bd:410"),
            ]
        )
        self.assertEqual(artifact("m1", "a3"), found.artifact)
        self.assertEqual((1460, 80), found[3:5])
        self.assertEqual("91bd", found.affinity)
        self.assertEqual(("5c1e",), found.shared_parts)

    def test_odd_prompt_parts_are_decoded(self):
        for value, affinity, shared in (
            (b"", "", ()),
            (b"5c1e", "5c1e", ()),
            (b",, 5c1e:8 ,91bd:4", "91bd", ("5c1e",)),
            (b"5c1e:8,", "", ("5c1e",)),
        ):
            with self.subTest(value):
                headers = [(b"acaciaspoke-prompt-prefix", value)]
                found = decode_request(headers)
                self.assertEqual(affinity, found.affinity)
                self.assertEqual(shared, found.shared_parts)
        many = b",".join(b"%x:1" % n for n in range(1, 1000))
        found = decode_request([(b"acaciaspoke-prompt-prefix", many)])
        self.assertEqual(MAX_SHARED_PARTS, len(found.shared_parts))

    def test_sizes_of_prompt_parts_are_decoded(self):
        for value, parts in (
            (b"5c1e:800, 91bd:410", (("5c1e", 800), ("91bd", 410))),
            # A part without a valid size still precedes the next one.
            (b"5c1e:x,91bd:4", (("5c1e", 0), ("91bd", 4))),
            (b"5c1e:-1,91bd:4", (("5c1e", 0), ("91bd", 4))),
            (b"5c1e:99999999999,91bd:4", (("5c1e", 0), ("91bd", 4))),
            (b"5c1e:8,,91bd:4", (("5c1e", 8),)),
            (b"5c1e,91bd", ()),
            (b"", ()),
        ):
            with self.subTest(value):
                found = decode_request([(b"acaciaspoke-prompt-prefix", value)])
                self.assertEqual(parts, found.prompt_parts)
        many = b",".join(b"%x:1" % n for n in range(1, 1000))
        found = decode_request([(b"acaciaspoke-prompt-prefix", many)])
        self.assertEqual(MAX_SHARED_PARTS, len(found.prompt_parts))

    def test_session_affinity_of_a_route_is_decoded(self):
        route = {"host": "a", "prefix": "/", "kind": "safe", "timeout-ms": 1}
        for value, expected in ((True, True), (False, False), ("x", True)):
            document = {
                "version": 1,
                "routes": [{**route, "session-affinity": value}],
            }
            found = decode_configuration(msgspec.json.encode(document))
            self.assertIs(expected, found.routes[0].has_session_affinity)
        document = {"version": 1, "routes": [route]}
        found = decode_configuration(msgspec.json.encode(document))
        self.assertFalse(found.routes[0].has_session_affinity)

    def test_reserved_headers_of_a_caller_are_dropped(self):
        sent = encode_request(
            [
                (b"host", b"a.example"),
                (b"acaciaspoke-hold", b"h"),
                (b"acaciaspoke-pin-ms", b"9"),
                (b"kv-from", b"x"),
                (b"acaciaspoke-expect-instance", b"i-9"),
                (b"connection", b"keep-alive, x-own"),
                (b"x-own", b"1"),
                (b"acaciaspoke-length-hint", b"40"),
            ],
            request(),
            UpstreamId("i-1"),
            0.0,
            None,
        )
        names = [name for name, _ in sent]
        self.assertEqual(
            {
                b"host",
                b"acaciaspoke-length-hint",
                b"acaciaspoke-time-remaining-ms",
                b"acaciaspoke-expect-instance",
                b"acaciaspoke-request-urgency",
            },
            set(names),
        )
        self.assertIn((b"acaciaspoke-expect-instance", b"i-1"), sent)
        self.assertIn((b"acaciaspoke-time-remaining-ms", b"10000"), sent)

    def test_response_headers_are_decoded(self):
        found = decode_response(
            [
                (b"Acaciaspoke-Attempt-Id", b"9c41"),
                (b"Acaciaspoke-Server-Load", b"3,0,8"),
                (b"Content-Encoding", b"gzip"),
            ]
        )
        self.assertEqual((3, 0, 8, 100), found.load)
        self.assertTrue(found.is_encoded)
        self.assertFalse(found.is_signed)
