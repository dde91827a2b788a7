"""Tests of the explanation of a request, without a network."""

import unittest

import msgspec

from acaciaspoke.gateway.decisions import Assignment, DroppedRequest, Forward
from acaciaspoke.gateway.dispatch import Dispatcher
from acaciaspoke.gateway.explain.handler import (
    MalformedError,
    parse,
    to_decision,
)
from acaciaspoke.gateway.explain.trial import try_request
from acaciaspoke.gateway.retry_budget import RetryBudget
from acaciaspoke.ids import DomainId, HostId, UpstreamId
from test.gateway.builders import (
    new_dispatcher,
    record,
    request,
    route,
)
from test.gateway.explain_builders import limit, state_of, workspaces
from test.gateway.prompt_builders import configuration, prompt


class TrialTest(unittest.TestCase):

    def check_unchanged(self, before, dispatcher):
        after = state_of(dispatcher)
        changed = {
            path: (before.get(path), after.get(path))
            for path in before.keys() | after.keys()
            if before.get(path) != after.get(path)
        }
        self.assertEqual({}, changed)

    def check_same(self, dispatcher, make_request, now_s=1.0):
        """Explains a request, then has it decided; returns the result."""
        # Any read drops prompts that no longer count.
        dispatcher.fleet.prefill_tokens(now_s)
        before = state_of(dispatcher)
        explained = make_request()
        result = try_request(dispatcher, explained, now_s)
        self.check_unchanged(before, dispatcher)
        real = make_request()
        decided = dispatcher.submit(real, now_s)
        if decided is None:
            decided = next(
                (
                    decision
                    for decision in dispatcher.decide(now_s)
                    if decision.request is real
                ),
                None,
            )
        self.assertIs(type(decided), type(result.decided))
        if isinstance(decided, Assignment):
            self.assertEqual(decided.upstream, result.decided.upstream)
        elif isinstance(decided, Forward):
            self.assertEqual(decided.host, result.decided.host)
        elif isinstance(decided, DroppedRequest):
            self.assertEqual(decided.refusal, result.decided.refusal)
        elif decided is not None:
            self.assertEqual(decided, result.decided)
        self.assertEqual(real.wait_reason, explained.wait_reason)
        return result

    def test_choice_is_that_of_the_decision(self):
        """Guards against an explanation by rules of its own."""
        for count in range(8):
            dispatcher = new_dispatcher(
                *(record(f"u{n}", "m1") for n in range(4))
            )
            for n in range(count):
                dispatcher.submit(request(f"r{n}"), 0.0)
                list(dispatcher.decide(0.0))
            result = self.check_same(dispatcher, request)
            ranked = [each for each in result.candidates if each.rank == 1]
            self.assertEqual(
                [result.decided.upstream], [each.upstream for each in ranked]
            )

    def test_request_that_waits(self):
        """Guards against waiting requests that an explanation changes."""
        dispatcher = new_dispatcher(record("u1", "m1", slots=1))
        low = route(priority=1)
        for name in ("r1", "r2"):
            dispatcher.submit(request(name, route=low), 0.9)
            list(dispatcher.decide(0.9))
        (waiting,) = dispatcher.waiting_requests
        waiting.wait_reason = None
        result = self.check_same(
            dispatcher, lambda: request("q", 1.0, route=low)
        )
        self.assertIsNone(result.decided)
        (candidate,) = result.candidates
        self.assertEqual(["slot"], candidate.lacks)
        self.assertEqual(1, candidate.running)

    def test_refusals(self):
        """Guards against refusals that are counted for an explanation."""
        dispatcher = new_dispatcher(record("u1", "m2", slots=1))
        late = self.check_same(dispatcher, lambda: request("q", -9.0))
        self.assertEqual("refuse", to_decision(request(), late).outcome)
        dispatcher = new_dispatcher(record("u1", "m1", slots=1))
        for n in range(40):
            dispatcher.submit(request(f"r{n}", 1.0), 1.0)
        result = self.check_same(dispatcher, lambda: request("q", 1.1), 1.1)
        decision = to_decision(request(), result)
        self.assertEqual(503, decision.status)
        self.assertEqual("overloaded", decision.reason)
        self.assertGreater(decision.retry_after_s, 0)

    def test_workspaces(self):
        """Guards against shares that an explanation changes."""
        dispatcher = new_dispatcher(record("u1", "m1", slots=2))
        dispatcher.set_configuration(workspaces("w1", "w2"))
        first, second = workspaces("w1", "w2").workspaces
        for n in range(4):
            dispatcher.submit(request(f"r{n}", 1.0, workspace=first), 1.0)
        list(dispatcher.decide(1.0))
        for holder in (first, second):
            self.check_same(
                dispatcher,
                lambda holder=holder: request(
                    f"q{holder.name}", 1.0, workspace=holder
                ),
            )

    def test_limited_upstream(self):
        """Guards against tokens that an explanation asks for or uses."""
        dispatcher = new_dispatcher(
            record("u1", "m1", slots=20), record("u2", "m1", slots=2)
        )
        asks = []
        limit(dispatcher, "u1", now_s=0.9)
        busy = dispatcher.fleet.upstreams[UpstreamId("u2")]
        dispatcher.fleet.record_sent(busy, request("r1"))
        dispatcher.tokens.need(UpstreamId("u1"), 0)
        dispatcher.fleet.places.need(UpstreamId("u1"), 0)
        dispatcher.tokens.on_needed = lambda: asks.append(1)
        dispatcher.fleet.places.on_needed = lambda: asks.append(1)
        for tokens, choice in ((0, "u2"), (1, "u1")):
            dispatcher.tokens.add(UpstreamId("u1"), tokens, {}, 0.95)
            before = state_of(dispatcher)
            result = try_request(dispatcher, request("q", 1.0), 1.0)
            self.check_unchanged(before, dispatcher)
            self.assertEqual([], asks)
            self.assertEqual(choice, result.decided.upstream)
            lacks = {each.upstream: each.lacks for each in result.candidates}
            self.assertEqual([] if tokens else ["token"], lacks["u1"])
        self.check_same(dispatcher, lambda: request("q", 1.0))

    def test_cached_prompt(self):
        """Guards against figures without the cached tokens."""
        dispatcher = new_dispatcher(
            record("u1", "m1", slots=12), record("u2", "m1", slots=12)
        )
        dispatcher.set_configuration(configuration(60_000))
        first = prompt("r1", "aa", "bb", now_s=0.0)
        dispatcher.submit(first, 0.0)
        (sent,) = dispatcher.decide(0.0)
        dispatcher.record_event(first, 0.2)
        dispatcher.record_finished(first)
        result = self.check_same(
            dispatcher, lambda: prompt("q", "aa", "bb", now_s=1.0)
        )
        cached = {
            each.upstream: each.cached_tokens for each in result.candidates
        }
        self.assertGreater(cached[sent.upstream], 300)

    def test_forwarded(self):
        """Guards against an explanation that ignores lost links."""
        dispatcher = Dispatcher(
            DomainId("a"),
            lambda: RetryBudget(0.2, 10, 10, lambda: 1),
            choose_host=lambda request, now_s: HostId("h2"),
        )
        dispatcher.fleet.put(record("u1", "m1"))
        dispatcher.fleet.links.lost = lambda now_s: {"u1"}
        result = self.check_same(dispatcher, request)
        decision = to_decision(request(), result)
        self.assertEqual(("forward", "h2"), (decision.outcome, decision.host))

    def test_paused(self):
        """Guards against a candidate that is listed without its obstacle."""
        dispatcher = new_dispatcher(record("u1", "m1"), record("u2", "m1"))
        dispatcher.fleet.record_failure(UpstreamId("u1"), 1.0)
        result = self.check_same(dispatcher, request)
        lacks = {each.upstream: each.lacks for each in result.candidates}
        self.assertEqual({"u1": ["pause"], "u2": []}, lacks)

    def test_plain_service(self):
        """Guards against a listing of thousands of upstreams."""
        dispatcher = new_dispatcher(*(record(f"u{n}") for n in range(300)))
        result = self.check_same(dispatcher, lambda: request(artifact=None))
        self.assertEqual(300, result.candidate_count)
        self.assertEqual(100, len(result.candidates))
        self.assertEqual(1, result.candidates[0].rank)


class ParseTest(unittest.TestCase):

    def test_malformed(self):
        """Guards against a fault, or a key in the message."""
        for body in (
            b"",
            b"\xff",
            b"[]",
            b"{}",
            b'{"host": "a", "path": "x"}',
            b'{"host": "a", "path": "/\xc3\xa4"}',
            b'{"host": "a", "path": "/", "headers": [["a"]]}',
            b'{"host": "a", "path": "/", "headers": [["", "s3cret"]]}',
            b'{"host": "a", "path": "/", "headers": [["a", "s3cret\\n"]]}',
            b'{"host": "a", "path": "/", "headers": [["a", "\\u20acs3cret"]]}',
            b'{"host": "a", "path": "/", "headers": [["Host", "s3cret"]]}',
        ):
            with self.assertRaises(MalformedError) as caught:
                parse(body)
            self.assertNotIn("s3cret", str(caught.exception))

    def test_path_with_query(self):
        """Guards against a route that is matched with the query."""
        parsed = parse(
            msgspec.json.encode({"host": "a", "path": "/a%2Fb?c=/d"})
        )
        self.assertEqual("/a%2Fb", parsed.path)
        self.assertEqual(b"/a%2Fb?c=/d", parsed.target)
        self.assertTrue(parsed.caller.request_id)
