"""Buckets, owners and the use of quotas of workspaces, without a network."""

import asyncio
import random
import unittest

from acaciaspoke.gateway.messages import decode, encode
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.quotas import QuotaExchange, QuotaGate, quota_tokens
from acaciaspoke.gateway.quotas.bucket import MAX_WAITING, TokenBucket
from acaciaspoke.gateway.quotas.exchange import Denial
from acaciaspoke.gateway.quotas.local_use import LocalUse
from acaciaspoke.gateway.quotas.messages import (
    QuotaAnswer,
    QuotaAsk,
    QuotaSettlement,
)
from acaciaspoke.gateway.quotas.owner import (
    MAX_KEPT_ANSWERS,
    MAX_STEP_S,
    QuotaOwner,
)
from acaciaspoke.gateway.types import Configuration, Quota, Workspace
from acaciaspoke.ids import BootId, HostId, WorkspaceId
from test.gateway.builders import request
from test.gateway.quota_simulation import run

W1 = WorkspaceId("w1")
QUOTA = Quota(tokens_per_s=1_000.0, burst_tokens=2_000.0, plain_tokens=200)


def _quota(rate_per_s: float, burst: float) -> Quota:
    return Quota(tokens_per_s=rate_per_s, burst_tokens=burst)


def _ask(number: int, tokens: float = 500.0, **changes) -> QuotaAsk:
    fields = {
        "workspace": W1,
        "number": number,
        "tokens": tokens,
        "host": HostId("h2"),
        "boot": BootId("b2"),
    }
    return QuotaAsk(**{**fields, **changes})


def _value_of(counter) -> float:
    ((family,),) = [counter.collect()]
    return family.samples[0].value


class TokenBucketTest(unittest.TestCase):

    def setUp(self):
        self.bucket = TokenBucket(QUOTA, 1.0, 0.0)

    def test_grants_burst_then_rate(self):
        self.assertEqual(self.bucket.ask("a", 2_000, 0.0, 0.0), 0.0)
        self.assertAlmostEqual(self.bucket.ask("b", 500, 0.0, 0.0), 0.5)
        self.assertEqual(self.bucket.ask("c", 500, 0.0, 0.5), 0.0)

    def test_waiting_in_order(self):
        self.bucket.ask("a", 2_000, 0.0, 0.0)
        self.assertIsNone(self.bucket.ask("b", 300, 1.0, 0.0))
        self.assertIsNone(self.bucket.ask("c", 100, 1.0, 0.0))
        self.assertEqual(self.bucket.grant(0.2), ([], []))
        self.assertEqual(self.bucket.grant(0.3), (["b"], []))
        self.assertEqual(self.bucket.grant(0.4), (["c"], []))

    def test_lowered_rate_denies_waiting(self):
        # Without an answer, a host would use its own share of the quota.
        self.bucket.ask("a", 2_000, 0.0, 0.0)
        self.assertIsNone(self.bucket.ask("b", 500, 0.6, 0.0))
        self.bucket.set_quota(_quota(1.0, 2_000.0), 1.0, 0.1)
        self.assertEqual(self.bucket.grant(0.61), ([], ["b"]))

    def test_bounded_queue(self):
        self.bucket.ask("a", 2_000, 0.0, 0.0)
        for number in range(MAX_WAITING):
            self.assertIsNone(self.bucket.ask(number, 0.1, 1.0, 0.0))
        self.assertIsNotNone(self.bucket.ask("b", 0.1, 1.0, 0.0))

    def test_request_beyond_burst(self):
        # A quota smaller than one request must not refuse it for ever.
        self.assertEqual(self.bucket.ask("a", 3_000, 0.0, 0.0), 0.0)
        self.assertAlmostEqual(self.bucket.ask("b", 3_000, 0.0, 0.0), 3.0)
        self.assertEqual(self.bucket.ask("b", 3_000, 0.0, 3.0), 0.0)

    def test_burst_of_zero(self):
        bucket = TokenBucket(_quota(1_000.0, 0.0), 1.0, 0.0)
        self.assertEqual(bucket.ask("a", 500, 0.0, 0.0), 0.0)
        self.assertAlmostEqual(bucket.ask("b", 500, 0.0, 0.0), 0.5)
        self.assertEqual(bucket.ask("b", 500, 0.0, 0.5), 0.0)

    def test_change_of_share_keeps_fullness(self):
        # Hosts that come and go must neither fill nor empty a bucket.
        self.bucket.ask("a", 1_000, 0.0, 10.0)
        for _ in range(5):
            self.bucket.set_quota(QUOTA, 0.5, 10.0)
            self.assertAlmostEqual(self.bucket.level_tokens, 500.0)
            self.bucket.set_quota(QUOTA, 1.0, 10.0)
            self.assertAlmostEqual(self.bucket.level_tokens, 1_000.0)

    def test_charge_while_the_share_is_small(self):
        # An owner that stood still sees the other hosts a tenth of a second
        # later; they report at once what others granted meanwhile.
        self.bucket.set_quota(QUOTA, 0.01, 10.0)
        self.bucket.charge(600, 10.0)
        self.bucket.set_quota(QUOTA, 0.5, 10.1)
        self.bucket.set_quota(QUOTA, 1.0, 10.1)
        self.assertAlmostEqual(self.bucket.level_tokens, 1_400.0, delta=2)

    def test_any_changes_of_share(self):
        # Without the passage of time, none may add tokens.
        numbers = random.Random(1)
        self.bucket.ask("a", 1_000, 0.0, 10.0)
        for _ in range(1_000):
            share = numbers.choice([0.1, 0.25, 0.5, 1.0])
            self.bucket.set_quota(QUOTA, share, 10.0)
            self.assertLessEqual(self.bucket.level_tokens, 1_000.001)
        self.bucket.set_quota(QUOTA, 1.0, 10.0)
        self.assertAlmostEqual(self.bucket.level_tokens, 1_000.0)

    def test_joining_owner_has_burst(self):
        # A host that joins knows no other host for a tenth of a second.
        bucket = TokenBucket(QUOTA, 0.01, 0.0)
        bucket.charge(600, 0.0)
        bucket.set_quota(QUOTA, 1.0, 0.1)
        self.assertAlmostEqual(bucket.level_tokens, 1_400.0, delta=2)

    def test_charge_is_bounded(self):
        self.bucket.charge(1e12, 0.0)
        self.assertEqual(self.bucket.level_tokens, -2_000.0)

    def test_returned_tokens_do_not_exceed_burst(self):
        self.bucket.give_back(1e12, 0.0)
        self.assertEqual(self.bucket.level_tokens, 2_000.0)

    def test_clock_that_goes_back(self):
        self.bucket.ask("a", 2_000, 0.0, 5.0)
        self.assertAlmostEqual(self.bucket.ask("b", 500, 0.0, 1.0), 0.5)


class QuotaOwnerTest(unittest.TestCase):

    def setUp(self):
        self.owner = QuotaOwner(HostId("h1"), 0.0)
        self.owner.set_quotas({W1: QUOTA}, 1.0, 0.0)

    def _level(self) -> float:
        return self.owner.buckets[W1].level_tokens

    def _settle(self, now_s: float = 0.0, **changes) -> None:
        fields = {
            "workspace": W1,
            "host": HostId("h2"),
            "boot": BootId("b2"),
            "sequence": 1,
        }
        self.owner.settle(QuotaSettlement(**{**fields, **changes}), now_s)

    def test_repeated_ask_is_charged_once(self):
        answers = [self.owner.handle(_ask(1), 0.0) for _ in range(3)]
        self.assertTrue(all(answer.is_granted for answer in answers))
        self.assertEqual(self._level(), 1_500.0)

    def test_repeated_ask_by_way_of_another_host(self):
        # Its answer would go to a request of the host in between.
        self.owner.handle(_ask(1), 0.0)
        passed = _ask(
            1,
            host=HostId("h3"),
            boot=BootId("b3"),
            asker=HostId("h2"),
            asker_boot=BootId("b2"),
        )
        self.assertEqual(self.owner.handle(passed, 0.0).asker, HostId("h2"))
        self.assertIsNone(self.owner.handle(_ask(1), 0.0).asker)
        self.assertEqual(self._level(), 1_500.0)

    def test_unknown_workspace(self):
        ask = _ask(1, workspace=WorkspaceId("w2"))
        self.assertIsNone(self.owner.handle(ask, 0.0))

    def test_more_asks_than_are_kept(self):
        # A flood of asks must not end the task that grants tokens.
        self.owner.handle(_ask(0, 2_000.0), 0.0)
        self.assertIsNone(self.owner.handle(_ask(1, max_wait_s=1.0), 0.0))
        for number in range(2, MAX_KEPT_ANSWERS + 3):
            self.owner.handle(_ask(number), 0.0)
        granted = [ask.number for ask, _ in self.owner.grant(0.6)]
        self.assertEqual(granted, [1])

    def test_late_ask_is_denied(self):
        self.owner.handle(_ask(0, 2_000.0), 0.0)
        self.assertIsNone(self.owner.handle(_ask(1, max_wait_s=0.6), 0.0))
        self.owner.set_quotas({W1: _quota(1.0, 2_000.0)}, 1.0, 0.1)
        ((ask, answer),) = self.owner.grant(0.65)
        self.assertEqual(ask.number, 1)
        self.assertFalse(answer.is_granted)
        self.assertGreater(answer.wait_s, 0.0)

    def test_ask_that_waited_for_a_lost_bucket(self):
        # Its repetition must not wait for ever.
        self.owner.handle(_ask(0, 2_000.0), 0.0)
        self.owner.handle(_ask(1, max_wait_s=1.0), 0.0)
        self.owner.set_quotas({}, 1.0, 0.1)
        self.owner.set_quotas({W1: QUOTA}, 1.0, 0.2)
        self.assertTrue(self.owner.handle(_ask(1), 0.2).is_granted)

    def test_thawed_owner_grants_nothing_that_accrued(self):
        # Another owner has granted it meanwhile; an ask comes before a step.
        self.owner.handle(_ask(0, 2_000.0), 0.0)
        now_s = MAX_STEP_S + 1.0
        self.assertFalse(self.owner.handle(_ask(1), now_s).is_granted)
        self.owner.set_quotas({W1: QUOTA}, 1.0, now_s)
        self.assertFalse(self.owner.handle(_ask(2), now_s).is_granted)

    def test_thawed_owner_forgets_who_waits(self):
        self.owner.handle(_ask(0, 2_000.0), 0.0)
        self.owner.handle(_ask(1, max_wait_s=9.0), 0.0)
        self.assertEqual(list(self.owner.grant(3.0)), [])
        self.assertIsNone(self.owner.next_grant_s(3.0))

    def test_earlier_use_counts_once(self):
        self.owner.handle(_ask(1, recent_tokens=800.0), 0.0)
        self._settle(recent_tokens=800.0)
        self.assertEqual(self._level(), 700.0)

    def test_duplicate_settlement(self):
        self.owner.handle(_ask(1, 2_000.0), 0.0)
        for _ in range(2):
            self._settle(returned_tokens=500.0)
        self.assertEqual(self._level(), 500.0)

    def test_wait_that_fits_a_message(self):
        # A host that cannot decode the denial would use its own share.
        self.owner.set_quotas({W1: _quota(1e-300, 0.0)}, 1.0, 0.0)
        self.owner.handle(_ask(0), 0.0)
        answer = self.owner.handle(_ask(1), 0.0)
        self.assertFalse(answer.is_granted)
        self.assertEqual(decode(encode(answer)), answer)

    def test_very_large_numbers(self):
        self.owner.set_quotas({W1: _quota(2.0**63, 2.0**63)}, 1.0, 0.0)
        answer = self.owner.handle(_ask(1, 2.0**53), 0.1)
        self.assertTrue(answer.is_granted)

    def test_bounded_memory(self):
        # Hosts restart often; what is known of their boots must not pile up.
        for number in range(40_000):
            boot = BootId(f"b{number}")
            self.owner.handle(
                _ask(1, 1.0, boot=boot, recent_tokens=1.0), number / 1e6
            )
            self._settle(number / 1e6, boot=boot, used_tokens=1.0)
        self.assertLessEqual(len(self.owner._reported), 32_768)
        self.assertLessEqual(len(self.owner._answers), 4_096)
        self.assertLessEqual(len(self.owner._settlements), 4_096)


class LocalUseTest(unittest.TestCase):

    def setUp(self):
        self.use = LocalUse()

    def _use_unasked(self, now_s: float, share: float = 1.0) -> bool:
        return self.use.use_unasked(W1, QUOTA, 500, share, now_s)

    def test_share_without_owner(self):
        granted = [self._use_unasked(0.0, 0.5) for _ in range(3)]
        self.assertEqual(granted, [True, True, False])
        self.assertEqual(self.use.take_settlement(W1), (0.0, 1_000.0))

    def test_none_after_denial(self):
        self.use.record_denied(W1, 0.0)
        self.assertFalse(self._use_unasked(1.9))
        self.assertTrue(self._use_unasked(2.1))

    def test_none_after_low_level(self):
        # Many hosts that each use a share would exceed a quota that is used up.
        self.use.record_level(W1, 0.1, 0.0)
        self.assertFalse(self._use_unasked(1.0))
        self.use.record_level(W1, 0.9, 1.0)
        self.assertTrue(self._use_unasked(1.0))

    def test_settlement_nets_returned_and_used(self):
        # A full bucket would drop what is returned, and keep what is charged.
        self._use_unasked(0.0)
        self.use.give_back(W1, 500)
        self.assertEqual(self.use.take_settlement(W1), (0.0, 0.0))

    def test_recent_use_expires(self):
        self.use.record_granted(W1, 500, 0.0)
        self.assertEqual(self.use.recent_tokens(W1, QUOTA, 1.9), 500)
        self.assertEqual(self.use.recent_tokens(W1, QUOTA, 2.1), 0)

    def test_removed_workspace_is_forgotten(self):
        self.use.give_back(W1, 500)
        self.use.forget_others(set())
        self.assertEqual(self.use.unsettled(), [])
        self.assertEqual(len(self.use._uses), 0)


class QuotaGateTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        self.asks = []
        self.returned = []
        self.denial = None
        self.gate = QuotaGate(
            self._ask,
            lambda *tokens: self.returned.append(tokens),
            lambda: 0.5,
            clock=lambda: 0.0,
        )

    async def _ask(self, *ask) -> Denial | None:
        self.asks.append(ask)
        return self.denial

    def _request(self, quota=QUOTA, **changes):
        workspace = Workspace(name=W1, key_digests=frozenset(), quota=quota)
        return request(workspace=workspace, **changes)

    async def test_no_quota(self):
        self.assertIsNone(await self.gate.admit(request()))
        self.assertIsNone(await self.gate.admit(self._request(None)))
        self.assertEqual(self.asks, [])

    async def test_waits_for_part_of_objective(self):
        self.assertIsNone(await self.gate.admit(self._request()))
        self.assertEqual(self.asks, [(W1, QUOTA, 200, 0.1)])

    async def test_waits_for_part_of_time_left(self):
        # A request near its deadline must be answered long before it.
        await self.gate.admit(self._request(deadline_s=0.1))
        self.assertAlmostEqual(self.asks[0][3], 0.02)

    async def test_retry_after(self):
        self.denial = Denial(2.0)
        refusal = await self.gate.admit(self._request())
        self.assertEqual(refusal.retry_after_s, 2.5)
        refusal = await self.gate.admit(self._request(deadline_s=3.0))
        self.assertEqual(refusal.retry_after_s, 1.0)

    def test_tokens(self):
        stated = {"states_tokens": True, "prompt_tokens": 500}
        counted = self._request(**stated, output_tokens=400)
        self.assertEqual(quota_tokens(counted, QUOTA), 900)
        self.assertEqual(quota_tokens(self._request(), QUOTA), 200)
        huge = self._request(**stated, output_tokens=2**80)
        self.assertEqual(quota_tokens(huge, QUOTA), 2**53)
        requests = Quota(
            tokens_per_s=1.0, burst_tokens=1.0, counts_tokens=False
        )
        self.assertEqual(quota_tokens(counted, requests), 1)

    def test_give_back(self):
        self.gate.give_back(self._request())
        self.assertEqual(self.returned, [(W1, 200)])


class QuotaExchangeTest(unittest.TestCase):
    """A host whose messages go to a list; another host owns the bucket."""

    def setUp(self):
        self.sent = []
        self.links_mbps = {HostId("h2"): 1_000.0}
        self.hosts = 2
        self.now_s = 0.0

    def _exchange(self, boot: str = "b1") -> QuotaExchange:
        exchange = QuotaExchange(
            HostId("h1"),
            BootId(boot),
            GatewayMetrics(),
            lambda message, hosts: self.sent.append((message, list(hosts))),
            lambda now_s: self.links_mbps,
            count_hosts=lambda: self.hosts,
            local_link_mbps=10.0,
            clock=lambda: self.now_s,
        )
        workspace = Workspace(name=W1, key_digests=frozenset(), quota=QUOTA)
        exchange.set_configuration(
            Configuration(
                version=1,
                routes=(),
                services={},
                limits=None,
                workspaces=(workspace,),
            )
        )
        return exchange

    def _answer(self, **changes) -> QuotaAnswer:
        ask, _ = self.sent[0]
        fields = {
            "workspace": W1,
            "owner": HostId("h2"),
            "number": ask.number,
            "is_granted": True,
        }
        return QuotaAnswer(**{**fields, **changes})

    def _run(self, exchange, act) -> Denial | None | BaseException:
        """Returns how an ask ends during which something happens."""

        async def main():
            ask = asyncio.create_task(exchange.ask(W1, QUOTA, 500, 0.2))
            await asyncio.sleep(0.01)
            act(ask)
            (result,) = await asyncio.gather(ask, return_exceptions=True)
            results.append(result)

        results = []
        run(main)
        return results[0]

    def test_answer_to_earlier_boot(self):
        # A restarted host must not take a late answer for one to its new ask.
        earlier, later = self._exchange("b1"), self._exchange("b2")
        for exchange in (earlier, later):
            self._run(exchange, lambda ask: None)
        numbers = {message.number for message, _ in self.sent}
        self.assertEqual(len(numbers), 2)

    def test_answer_for_other_workspace(self):
        exchange = self._exchange()
        self.hosts = 10**6

        def answer(_):
            exchange.handle(self._answer(workspace=WorkspaceId("w2")))

        self._run(exchange, answer)
        self.assertEqual(_value_of(exchange._metrics.quota_unanswered), 1)

    def test_caller_that_leaves_returns_tokens(self):
        for moment in ("before", "after"):
            with self.subTest(moment):
                self.sent.clear()
                exchange = self._exchange()

                def leave(ask, exchange=exchange, moment=moment):
                    if moment == "after":
                        ask.cancel()
                    exchange.handle(self._answer())
                    if moment == "before":
                        ask.cancel()

                result = self._run(exchange, leave)
                if moment == "after":
                    exchange.handle(self._answer())
                self.assertIsInstance(result, asyncio.CancelledError)
                self.assertEqual(
                    exchange._use.take_settlement(W1), (500.0, 0.0)
                )

    def test_late_denial_counts(self):
        # The host must not use its share of a quota that is used up.
        exchange = self._exchange()
        self.assertIsNone(self._run(exchange, lambda ask: None))
        exchange.handle(self._answer(is_granted=False, wait_s=1.0))
        self.assertIsNotNone(self._run(exchange, lambda ask: None))

    def test_owner_without_the_workspace(self):
        # The owner's configuration may be older: it gives no answer.
        exchange = self._exchange()
        results = [self._run(exchange, lambda ask: None) for _ in range(2)]
        self.assertEqual(results, [None, None])

    def test_ask_names_the_quota_to_an_owner_that_may_lack_it(self):
        # Requests within a new quota must not be refused because the owner's
        # configuration is older.
        exchange = self._exchange()
        ask = _ask(
            1,
            workspace=WorkspaceId("w2"),
            rate_per_s=1_000.0,
            burst_tokens=2_000.0,
        )
        self.links_mbps = {}
        exchange.step()
        exchange.handle(ask)
        ((answer, hosts),) = self.sent
        self.assertTrue(answer.is_granted)
        self.assertEqual(hosts, ["h2"])
        self.now_s = 11.0
        exchange.step()
        self.assertNotIn("w2", exchange._ownership.quotas)

    def test_quota_is_named_until_the_owner_answers(self):
        exchange = self._exchange()
        self._run(exchange, lambda ask: exchange.handle(self._answer()))
        self.assertEqual(self.sent[0][0].rate_per_s, 1_000.0)
        self.sent.clear()
        self._run(exchange, lambda ask: exchange.handle(self._answer()))
        self.assertEqual(self.sent[0][0].rate_per_s, 0.0)

    def test_pending_asks_are_forgotten(self):
        exchange = self._exchange()
        for _ in range(3):
            self._run(exchange, lambda ask: None)
        self.assertEqual(exchange._pending, {})

    def test_new_owner_learns_of_use(self):
        exchange = self._exchange()
        self._run(exchange, lambda ask: exchange.handle(self._answer()))
        self.sent.clear()
        self.links_mbps = {HostId("h3"): 1_000.0}
        exchange.step()
        ((message, hosts),) = self.sent
        self.assertEqual(message.recent_tokens, 500)
        self.assertEqual(hosts, ["h3"])

    def test_host_that_has_just_started(self):
        # It knows no other host yet; each must not grant a whole burst.
        self.links_mbps = {}
        self.hosts = 0
        exchange = self._exchange()
        granted = [self._run(exchange, lambda ask: None) for _ in range(3)]
        self.assertEqual(granted.count(None), 1)
        self.now_s = 1.0
        exchange.step()
        granted = [self._run(exchange, lambda ask: None) for _ in range(3)]
        self.assertEqual(granted.count(None), 3)

    def test_hosts_of_the_earlier_release_own_nothing(self):
        # They are not among the links; the share counts them.
        self.links_mbps = {}
        self.hosts = 4
        exchange = self._exchange()
        self.assertIsNone(self._run(exchange, lambda ask: None))
        self.assertIsInstance(self._run(exchange, lambda ask: None), Denial)
        self.assertEqual(self.sent, [])


if __name__ == "__main__":
    unittest.main()
