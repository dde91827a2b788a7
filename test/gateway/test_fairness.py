"""Tests of fair shares, the order of requests, and refusals under overload."""

import unittest

import msgspec

from acaciaspoke.gateway.admission import Refusal
from acaciaspoke.gateway.aggregate import LoadAggregator
from acaciaspoke.gateway.decisions import Assignment, DroppedRequest
from acaciaspoke.gateway.fairness.order import order_deadline_s
from acaciaspoke.gateway.fairness.returns import spread_return
from acaciaspoke.gateway.fairness.shares import (
    WorkspaceTokens,
    demands_of,
    fair_shares,
    subtract_counts,
    subtract_tokens,
    sum_counts,
    sum_tokens,
)
from acaciaspoke.gateway.fairness.unmet import UnmetTokens
from acaciaspoke.gateway.messages import LoadDigest
from acaciaspoke.gateway.types import RouteKind
from acaciaspoke.ids import BootId, HostId, UpstreamId
from test.gateway.builders import new_dispatcher, record, request, route
from test.gateway.fairness_simulation import configuration, workspace


def fair_dispatcher(*records):
    dispatcher = new_dispatcher(*records)
    dispatcher.set_configuration(configuration("a", "b"))
    return dispatcher


def of(name, request_name, now_s=0.0, **changes):
    changes = {"prompt_tokens": 50, "output_tokens": 50} | changes
    return request(request_name, now_s, workspace=workspace(name), **changes)


def names(decisions, kind=Assignment):
    return [each.request.id for each in decisions if isinstance(each, kind)]


def digest(sequence=1, **fields):
    return LoadDigest(
        host=HostId("h2"), boot=BootId("b"), sequence=sequence, **fields
    )


class SharesTest(unittest.TestCase):

    def test_each_gets_its_demand_if_there_is_room(self):
        self.assertEqual({"a": 5, "b": 3}, fair_shares({"a": 5, "b": 3}, 8))

    def test_small_demands_are_met_and_the_others_share_the_rest(self):
        shares = fair_shares({"a": 10, "b": 50, "c": 60}, 80)
        self.assertAlmostEqual(10, shares["a"])
        self.assertAlmostEqual(35, shares["b"])
        self.assertAlmostEqual(35, shares["c"])

    def test_large_workspace_keeps_a_part_of_its_proportional_share(self):
        # By equal shares, the largest one was served less than a quarter as
        # often as all.
        demands = {"large": 900.0} | {f"w{n}": 20.0 for n in range(15)}
        shares = fair_shares(demands, 300)
        self.assertAlmostEqual(300, sum(shares.values()))
        served_share = shares["large"] / 900
        self.assertGreater(served_share, 0.25 * 300 / sum(demands.values()))

    def test_shares_use_the_capacity_and_exceed_no_demand(self):
        for scale in range(1, 40):
            demands = {f"w{n}": float(n * n + 1) for n in range(scale)}
            capacity = 0.4 * sum(demands.values())
            shares = fair_shares(demands, capacity)
            self.assertAlmostEqual(capacity, sum(shares.values()))
            for name, share in shares.items():
                self.assertLessEqual(share, demands[name] + 1e-9)

    def test_repeats_raise_a_demand_only_so_far(self):
        # Each repeat counted, so the workspace's lower bound grew with them.
        tokens = {
            "a": WorkspaceTokens(running=10, unmet=9000),
            "b": WorkspaceTokens(running=10, unmet=30),
        }
        self.assertEqual({"a": 100, "b": 40}, demands_of(tokens, 20))
        tokens["a"] = WorkspaceTokens(unmet=9000)
        self.assertEqual(45, demands_of(tokens, 10)["a"])

    def test_sum_without_a_part(self):
        one, two = WorkspaceTokens(1, 2), WorkspaceTokens(3, 4)
        total = sum_tokens([{"a": one}, {"a": two, "b": one}])
        self.assertEqual({"a": (4, 6), "b": (1, 2)}, total)
        self.assertEqual(
            {"a": two}, subtract_tokens(total, {"a": one, "b": one})
        )
        counts = sum_counts([{"m": {0: 1}}, {"m": {0: 2, 1: 1}}])
        self.assertEqual(
            {"m": {0: 2}}, subtract_counts(counts, {"m": {0: 1, 1: 1}})
        )

    def test_refused_tokens_decay(self):
        unmet = UnmetTokens()
        unmet.record(of("a", "q1"), 0.0)
        self.assertAlmostEqual(100, unmet.recent(0.0)["a"])
        self.assertAlmostEqual(36.8, unmet.recent(1.0)["a"], 1)
        self.assertEqual({}, unmet.recent(20.0))


class OrderTest(unittest.TestCase):

    def test_workspace_above_its_share_goes_last(self):
        # A workspace with urgent requests took all room.
        dispatcher = fair_dispatcher(record("u1", "m1", slots=2))
        for number in range(2):
            dispatcher.submit(of("a", f"a{number}"), 0.0)
        self.assertEqual(2, len(names(dispatcher.decide(0.0))))
        for number in range(2, 5):
            dispatcher.submit(of("a", f"a{number}"), 0.1)
        dispatcher.submit(of("b", "b0", route=route(priority=1)), 0.2)
        self.assertEqual(
            ["b0", "a2", "a3", "a4"],
            [each.id for each in dispatcher.order.sort(0.2)],
        )
        self.assertEqual(3, dispatcher.order.waiting_over()["m1"][0])

    def test_without_workspaces_requests_go_by_deadline(self):
        dispatcher = new_dispatcher(record("u1", "m1", slots=1))
        retry = request("retry", 1.0)
        retry.deadline_s -= 9
        for each in (request("new", 1.0), retry):
            dispatcher.submit(each, 1.0)
        self.assertEqual(
            ["retry", "new"], [each.id for each in dispatcher.order.sort(1.8)]
        )
        self.assertEqual({}, dispatcher.order.local_tokens(1.8))
        self.assertEqual({}, dispatcher.order.waiting_over())

    def test_request_that_missed_its_objective_goes_behind(self):
        dispatcher = fair_dispatcher()
        dispatcher.submit(of("a", "missed", 0.0), 0.0)
        dispatcher.submit(of("a", "new", 0.6), 0.6)
        self.assertEqual(
            ["missed", "new"], [each.id for each in dispatcher.order.sort(0.1)]
        )
        self.assertEqual(
            ["new", "missed"], [each.id for each in dispatcher.order.sort(0.6)]
        )

    def test_use_at_other_hosts_counts_for_a_second(self):
        dispatcher = fair_dispatcher()
        dispatcher.fleet.peer_loads.apply_digest(
            digest(workspaces={"a": WorkspaceTokens(1000, 0)}), 0.0
        )
        for name in ("a", "b"):
            dispatcher.submit(of(name, name), 0.0)
        self.assertEqual(
            ["b", "a"], [each.id for each in dispatcher.order.sort(0.9)]
        )
        self.assertEqual(
            ["a", "b"], [each.id for each in dispatcher.order.sort(1.1)]
        )

    def test_workspace_without_competitors_has_no_share(self):
        # Requests of the only workspace with demand were refused early, as they
        # were beyond a share that nobody else could use.
        dispatcher = fair_dispatcher(record("u1", "m1", slots=1))
        refusals = [
            dispatcher.submit(of("a", f"a{number}"), 0.0) for number in range(4)
        ]
        self.assertEqual([None] * 4, refusals)
        dispatcher.order.sort(0.0)
        self.assertFalse(
            any(map(dispatcher.order.is_over, dispatcher.waiting_requests))
        )

    def test_backlog_of_others_above_their_share_does_not_count(self):
        # A burst of one workspace had requests of others refused at admission.
        dispatcher = fair_dispatcher(record("u1", "m1", slots=1))
        upstream = UpstreamId("u1")
        dispatcher.fleet.peer_loads.apply_digest(
            digest(
                in_flight={upstream: 1},
                waiting={"m1": {0: 60}},
                waiting_over={"m1": {0: 60}},
                workspaces={"a": WorkspaceTokens(100, 6000)},
            ),
            0.0,
        )
        refusal = dispatcher.submit(of("a", "a0"), 0.0)
        self.assertEqual("overloaded", refusal.reason)
        self.assertTrue(refusal.is_over_share)
        self.assertIsNone(dispatcher.submit(of("b", "b0"), 0.0))

    def test_free_slot_is_left_to_a_host_within_shares(self):
        dispatcher = fair_dispatcher(record("u1", "m1", slots=1))
        dispatcher.submit(of("a", "a0"), 0.0)
        self.assertEqual(["a0"], names(dispatcher.decide(0.0)))
        dispatcher.submit(of("a", "a1"), 0.0)
        fields = {"waiting": {"m1": {0: 4}}}
        fields["workspaces"] = {
            "a": WorkspaceTokens(400, 0),
            "b": WorkspaceTokens(0, 400),
        }
        dispatcher.fleet.peer_loads.apply_digest(digest(**fields), 0.0)
        dispatcher.record_finished(
            next(iter(dispatcher.order._running.values()))[0]
        )
        self.assertEqual([], names(dispatcher.decide(0.1)))
        dispatcher.fleet.peer_loads.apply_digest(digest(2), 0.2)
        self.assertEqual(["a1"], names(dispatcher.decide(0.2)))


class ReturnsTest(unittest.TestCase):

    def test_immediate_repeat_gains_nothing(self):
        # Callers that repeated at once had the nearest deadline.
        repeat = request("repeat", 5.05, deadline_s=15.0)
        self.assertEqual(15.05, order_deadline_s(repeat))

    def test_return_after_the_told_time_keeps_its_place(self):
        returned = request("returned", 7.0, deadline_s=15.0)
        self.assertEqual(15.0, order_deadline_s(returned))

    def test_repeats_for_longer_than_any_told_time_gain_no_more(self):
        repeat = request("repeat", 12.0, deadline_s=15.0)
        self.assertAlmostEqual(12.0 + 20 / 3, order_deadline_s(repeat))

    def test_returns_are_spread(self):
        # All callers refused at a time returned at the same time.
        refusal = Refusal("overloaded", 3.0)
        times_s = sorted(
            spread_return(
                request(f"q{number}"), refusal, 3.0, False, 0.0
            ).retry_after_s
            for number in range(200)
        )
        self.assertGreaterEqual(times_s[0], 0.1)
        self.assertLessEqual(times_s[-1], 10 / 3)
        self.assertLess(times_s[0], 1.6)
        self.assertGreater(times_s[-1], 2.8)
        steps = zip(times_s, times_s[1:], strict=False)
        self.assertLess(max(after - before for before, after in steps), 0.3)

    def test_bound_is_a_third_of_the_time_left(self):
        for number in range(50):
            late = request(f"q{number}", deadline_s=0.9)
            found = spread_return(
                late, Refusal("overloaded", 0.3), 60.0, False, 0.0
            )
            self.assertLessEqual(found.retry_after_s, 0.301)


class HopelessRequestTest(unittest.TestCase):
    """Requests that waited until no attempt could be made in time."""

    def setUp(self):
        self.dispatcher = fair_dispatcher(record("u1", "m1"))
        self.upstream = self.dispatcher.fleet.upstreams[UpstreamId("u1")]

    def _refusals(self, now_s):
        return [
            each.refusal.reason
            for each in self.dispatcher.decide(now_s)
            if isinstance(each, DroppedRequest)
        ]

    def test_all_upstreams_were_tried(self):
        self.dispatcher.submit(of("a", "q1", tried={UpstreamId("u1")}), 0.0)
        self.assertEqual(["tried"], self._refusals(0.0))

    def test_all_upstreams_pause_after_failures(self):
        self.upstream.paused_until_s = 2.0
        self.dispatcher.submit(of("a", "q1"), 0.0)
        self.assertEqual(["paused"], self._refusals(0.0))

    def test_pause_that_ends_in_time_is_waited_for(self):
        self.upstream.paused_until_s = 0.5
        self.dispatcher.submit(of("a", "q1"), 0.0)
        self.assertEqual([], self._refusals(0.0))
        self.assertEqual(["q1"], names(self.dispatcher.decide(0.6)))

    def test_replica_that_will_be_ready_is_waited_for(self):
        self.dispatcher.fleet.ready_at_s["m1"] = 0.5
        self.dispatcher.submit(of("a", "q1", tried={UpstreamId("u1")}), 0.0)
        self.assertEqual([], self._refusals(0.0))

    def test_plain_request_whose_upstreams_were_tried(self):
        plain = route(kind=RouteKind.SAFE, gap_objective_s=0.0)
        self.dispatcher.submit(
            of("a", "q1", route=plain, artifact=None, tried={"u1"}), 0.0
        )
        self.assertEqual(["tried"], self._refusals(0.0))

    def test_backlog_that_grew_after_the_admission(self):
        # Requests were refused as late, after seconds in the queue.
        running = of("a", "a0")
        self.dispatcher.fleet.peer_loads.apply_digest(
            digest(in_flight={UpstreamId("u1"): 5}), 0.0
        )
        self.dispatcher.estimates.record_success(running, 1.0)
        self.dispatcher.submit(of("a", "q1", route=route(priority=1)), 0.0)
        self.assertEqual([], self._refusals(0.0))
        self.dispatcher.fleet.peer_loads.apply_digest(
            digest(2, in_flight={UpstreamId("u1"): 5}, waiting={"m1": {0: 40}}),
            0.2,
        )
        self.assertEqual(["overloaded"], self._refusals(0.2))

    def test_request_beyond_its_share_that_missed_its_objective(self):
        # All that arrived later went first, so it waited until it was late.
        self.dispatcher.submit(of("a", "q1"), 0.0)
        self.dispatcher.fleet.peer_loads.apply_digest(
            digest(
                in_flight={UpstreamId("u1"): 5},
                workspaces={
                    "a": WorkspaceTokens(running=300),
                    "b": WorkspaceTokens(running=100, unmet=900),
                },
            ),
            0.0,
        )
        self.assertEqual([], self._refusals(0.4))
        self.assertEqual(["overloaded"], self._refusals(0.6))

    def test_no_refusal_while_slots_are_free(self):
        self.dispatcher.submit(of("a", "q1"), 0.0)
        self.assertEqual(["q1"], names(self.dispatcher.decide(0.0)))


class DigestTest(unittest.TestCase):

    def test_earlier_release_ignores_and_omits_the_fields(self):
        class EarlierDigest(msgspec.Struct, tag="LoadDigest"):
            waiting: dict[str, dict[int, int]] = {}

        sent = digest(
            waiting={"m1": {0: 1}}, workspaces={"a": WorkspaceTokens(1, 2)}
        )
        data = msgspec.msgpack.encode(sent)
        received = msgspec.msgpack.decode(data, type=EarlierDigest)
        self.assertEqual({"m1": {0: 1}}, received.waiting)
        data = msgspec.msgpack.encode(received)
        decoded = msgspec.msgpack.decode(data, type=LoadDigest)
        self.assertEqual({}, decoded.workspaces)
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(sent), type=LoadDigest
        )
        self.assertEqual(sent, decoded)


class AggregateTest(unittest.TestCase):

    def test_members_get_the_tokens_of_all_others(self):
        aggregator = LoadAggregator()
        for name, tokens in (("h1", 10), ("h2", 20)):
            sent = digest(
                workspaces={"a": WorkspaceTokens(tokens, 1)},
                waiting_over={"m1": {0: tokens}},
            )
            aggregator.apply_digest(
                msgspec.structs.replace(sent, host=HostId(name)), 0.0
            )
        domain = aggregator.domain_loads(0.1)
        self.assertEqual({"a": (30, 2)}, domain.workspaces)
        self.assertEqual({"m1": {0: 30}}, domain.waiting_over)
        summaries = dict(aggregator.summaries(["h1", "h2"], 0.1))
        self.assertEqual({"a": (20, 1)}, summaries["h1"].workspaces)
        self.assertEqual({"m1": {0: 20}}, summaries["h1"].waiting_over)
        self.assertEqual({"a": (10, 1)}, summaries["h2"].workspaces)


if __name__ == "__main__":
    unittest.main()
