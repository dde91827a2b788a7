"""Tests of request parsing."""

import hashlib
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciaspoke.config.schema import Account
from acaciaspoke.entry.caller import Caller
from acaciaspoke.entry.errors import CallerError, Outcome
from acaciaspoke.entry.parse import (
    MAX_DEADLINE_MS,
    ParsedRequest,
    new_request_id,
    parse_chat,
    parse_service,
)
from test.entry.serving import CHAT, CHAT_BODY, FakeCaller, config_for

CONFIG = config_for(
    ["127.0.0.1:1"], non_idempotent=("POST /deposit", "PUT /a/book/")
)
KEY = {"Idempotency-Key": "k"}
LOCKED = msgspec.structs.replace(
    CONFIG,
    accounts={"acme": Account(key_sha256=hashlib.sha256(b"s").hexdigest())},
)


def parse(body=CHAT_BODY, path=CHAT, method="POST", headers=(), config=CONFIG):
    fake = FakeCaller(method, path, body, headers)
    caller = Caller(fake.scope, fake.receive, fake.send, "r1")
    use = parse_chat if path == CHAT else parse_service
    return use(caller, body, config)


def service(path, method="POST", **fields):
    path = f"/v1/services/bank{path}"
    return parse(b"", path, method, **fields)


class RefusalTest(unittest.TestCase):

    def assert_refused(self, status, name, call, *args, **fields):
        with self.subTest(name), self.assertRaises(CallerError) as caught:
            call(*args, **fields)
        self.assertEqual(caught.exception.status, status, name)
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)

    def test_bodies(self):
        """Guards against queueing work that an engine then refuses."""
        fields = [
            b'"model": "m1"',
            b'"model": "m1", "messages": []',
            b'"model": 1, "messages": [1]',
            b'"model": "m1", "messages": [1], "stream": 1',
            b'"model": "\\ud800", "messages": [1]',
            b'"a":' + b"[" * 99999 + b"]" * 99999,
        ]
        bodies = [b"", b"[]", b"\xff", CHAT_BODY + b"x"]
        for body in (*bodies, *[b"{" + text + b"}" for text in fields]):
            self.assert_refused(400, body[:40], parse, body)
        unknown = b'{"model": "m\\r\\nX: 1", "messages": [1]}'
        self.assert_refused(404, "model", parse, unknown)

    def test_headers(self):
        """Guards against invalid headers that are accepted or ignored."""
        deadlines = ["0", "-1", "1.5", "1e3", "\xb2", "9" * 5000]
        deadlines.append(str(MAX_DEADLINE_MS + 1))
        cases = [("X-Deadline-Ms", text) for text in deadlines]
        cases += [("X-Rank", "no"), ("X-Work-Kind", "k" * 65)]
        for header in cases:
            self.assert_refused(400, header, parse, headers=[header])
        for value in ("Bearer x", "Basic s", "s", ""):
            headers = {"Authorization": value}
            self.assert_refused(
                401, value, parse, headers=headers, config=LOCKED
            )

    def test_services(self):
        """Guards against paths that upstreams interpret differently."""
        for path in ("//deposit", "/a//b", "/./deposit", "/a/../deposit"):
            self.assert_refused(400, path, service, path, headers=KEY)
        for path in ("/x/..", "/x/.", "/a\0", "/a\n", "/a\ufffd", "/%2e/x"):
            self.assert_refused(400, path, service, path, headers=KEY)
        for method in ("CONNECT", "TRACE"):
            self.assert_refused(405, method, service, "/x", method)
        for name in ("", "none", "draft"):
            path = f"/v1/services/{name}/x"
            self.assert_refused(404, name, parse, path=path)
        for key in ("", " ", "k" * 129, "a b", "\xe9"):
            headers = {"Idempotency-Key": key}
            self.assert_refused(400, key, service, "/deposit", headers=headers)
        fake = FakeCaller(path="/v1/services/bank/deposit", headers=KEY)
        fake.scope["headers"] *= 2
        caller = Caller(fake.scope, fake.receive, fake.send, "r1")
        self.assert_refused(400, "twice", parse_service, caller, b"", CONFIG)


class ServiceTest(unittest.TestCase):

    def test_path_spellings_of_a_non_idempotent_call(self):
        """Guards against path spellings that disguise such a call (I5)."""
        once = """POST /deposit|POST /deposit/|POST /deposit/now|POST /DePosit
            |POST /depo\u017fit|POST /\uff44eposit|POST /deposit;v=1
            |POST /deposit.json|POST /deposit |POST /deposit?x|POST /%64eposit
            |POST /deposit\\now|PUT /a;x=1/book|PUT /A\\book"""
        other = """POST /deposits|POST /deposit-list|GET /deposit
            |HEAD /deposit|PUT /book|POST /|POST """
        for calls, idempotent in ((once, False), (other, True)):
            for call in calls.replace("\n            ", "").split("|"):
                method, _, path = call.partition(" ")
                with self.subTest(call):
                    request = service(path, method, headers=KEY).request
                    self.assertIs(request.idempotent, idempotent)

    def test_forwarded_path_and_headers(self):
        """Guards against headers or paths that alter the call."""
        dropped = """X-HTTP-Method-Override X-Original-URL Authorization
            Connection Expect X-Request-Id X-Rank"""
        headers = KEY | dict.fromkeys(dropped.split(), "batch")
        headers |= {"Accept": "a", "X-Trailing": "b \t"}
        parsed = service("/a b/\xe9%:@;?q=%20", headers=headers)
        self.assertEqual(parsed.call.target, b"/a%20b/%C3%A9%25:@%3B?q=%20")
        self.assertEqual(
            parsed.call.headers, [(b"accept", b"a"), (b"x-trailing", b"b")]
        )

    def test_different_requests_have_different_hashes(self):
        """Guards against replaying the response to another request."""
        paths = ("/a%3Fb", "/a?b", "/a?b?", "/a")
        calls = [service("/a", "PUT"), *map(service, paths)]
        # The server decodes paths.
        fake = FakeCaller(path="/v1/services/bank/x")
        fake.scope["path"] = "/v1/services/bank/a?b"
        caller = Caller(fake.scope, fake.receive, fake.send, "r1")
        calls.append(parse_service(caller, b"", CONFIG))
        hashes = {call.request.body_hash for call in calls}
        self.assertEqual(len(hashes), len(calls))


class ChatTest(unittest.TestCase):

    def test_request(self):
        """Guards against wrong defaults and an altered body."""
        values = b'"n": 12345678901234567890123, "x": 1e999, "y": 1.10'
        body = CHAT_BODY[:-1] + b", " + values + b"}"
        headers = {"X-Rank": "urgent", "X-Deadline-Ms": "5000"}
        parsed = parse(body, headers=headers)
        request = parsed.request
        self.assertAlmostEqual(request.deadline_s - request.arrived_s, 5)
        self.assertEqual(request.rank, "urgent")
        self.assertEqual(request.work_kind, "m1")
        sent = parsed.upstream_call(2, -5)
        self.assertIn(values.replace(b" ", b""), sent.body.replace(b" ", b""))
        self.assertIn(b'"priority":2', sent.body)
        self.assertIn((b"x-deadline-ms", b"1"), sent.headers)
        # Work without a rank must not delay work with one.
        self.assertEqual(parse().request.rank, "batch")
        account = parse(
            headers={"Authorization": "bearer  s "}, config=LOCKED
        ).request.account
        self.assertEqual(account, "acme")

    def test_nested_bodies_fail_before_admission_or_not_at_all(self):
        """Guards against a body that fails only after admission."""
        for depth in range(850, 1000, 10):
            body = CHAT_BODY[:-1] + b', "a":%s%s}' % (
                b"[" * depth,
                b"]" * depth,
            )
            try:
                parsed = parse(body)
            except CallerError:
                continue
            self.assertTrue(parsed.upstream_call(0, 1).body)

    def test_request_ids(self):
        """Guards against header injection and duplicate ids (I3)."""
        for text in ("a\r\nX: 1", "a" * 65, "a b", "\xe9", ""):
            self.assertRegex(new_request_id(text), r"\A[0-9a-f]{32}\Z")
        self.assertTrue(new_request_id("mine").startswith("mine."))
        self.assertNotEqual(new_request_id("mine"), new_request_id("mine"))


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
BODIES = st.binary() | st.fixed_dictionaries(
    {},
    optional={
        "model": st.just("m1") | JSON,
        "messages": st.just([1]) | JSON,
        "stream": JSON,
        "other": JSON,
    },
).map(lambda d: msgspec.json.encode(d))
NAMES = st.sampled_from(
    ["x-rank", "x-deadline-ms", "x-work-kind", "idempotency-key", "x"]
)
VALUES = st.text(st.characters(max_codepoint=255), max_size=20)


class FuzzTest(unittest.TestCase):

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        BODIES,
        st.sampled_from(["GET", "POST", "PUT", "HEAD", "CONNECT"]),
        st.just(CHAT) | st.text(max_size=20).map("/v1/services/bank/".__add__),
        st.dictionaries(NAMES, VALUES, max_size=3),
    )
    def test_anything(self, body, method, path, headers):
        """Guards against input that causes an internal error."""
        try:
            parsed = parse(body, path, method, headers)
        except CallerError as error:
            self.assertIs(error.outcome, Outcome.NOT_RUN)
            error.to_json("r1")
            return
        self.assertIsInstance(parsed, ParsedRequest)
        call = parsed.upstream_call(1, 1000)
        self.assertRegex(call.target.split(b"?")[0], rb"\A[\x21-\x7e]+\Z")
        for _, value in call.headers:
            self.assertNotRegex(value, rb"[\r\n\0]|\s\Z")
