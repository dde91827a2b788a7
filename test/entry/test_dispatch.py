"""Tests of the dispatcher's decisions about queued requests."""

import random
import unittest

import msgspec

from acaciaspoke.entry.dispatch import (
    COLD_RETRY_AFTER_S,
    Assignment,
    Dispatcher,
    DroppedRequest,
)
from acaciaspoke.entry.errors import CallerError, ErrorType, Outcome
from acaciaspoke.net.messages import FleetView
from acaciaspoke.net.records import Suspicion
from test.entry.builders import RANKS, request, view
from test.entry.serving import config_for

CONFIG = config_for(["127.0.0.1:1", "127.0.0.1:2"])


def dispatcher(*live, config=CONFIG) -> Dispatcher:
    result = Dispatcher("d1", random.Random(1))
    result.set_config(config)
    show(result, *live)
    return result


def show(d, *live, now_s=0.0, **fields) -> None:
    views = tuple(view(name, **fields) for name in live)
    d.set_fleet(FleetView(upstreams=views), now_s)


def changed(version=2, **fields):
    return msgspec.structs.replace(CONFIG, version=version, **fields)


def suspicion(fingerprint, crashes) -> Suspicion:
    boots = {f"boot{number}": False for number in range(crashes)}
    return Suspicion(fingerprint=fingerprint, crashes=boots)


class DispatchTest(unittest.TestCase):

    def assert_dropped(self, decisions, error_type, retry_after_s=None):
        [dropped] = decisions
        self.assertIsInstance(dropped, DroppedRequest)
        self.assertIs(dropped.error.type, error_type)
        self.assertIs(dropped.error.outcome, Outcome.NOT_RUN)
        self.assertEqual(dropped.error.retry_after_s, retry_after_s)

    def test_refusals(self):
        """Guards against admitting work that cannot run."""
        rank = msgspec.structs.replace(RANKS["urgent"], queue_limit=1)
        d = dispatcher(config=changed(ranks={"urgent": rank}))
        d.submit(request(), 0.0)
        d.merge_suspicions([suspicion("bad", 3)], 0.0)
        for fields, error_type in (
            ({}, ErrorType.OVERLOADED),
            ({"deadline_s": 0.0}, ErrorType.OVERLOADED),
            ({"fingerprint": "bad"}, ErrorType.REQUEST_BLOCKED),
        ):
            with self.subTest(fields), self.assertRaises(CallerError) as e:
                d.submit(request(**fields), 1.0)
            self.assertIs(e.exception.type, error_type)
            self.assertIs(e.exception.outcome, Outcome.NOT_RUN)
            self.assertEqual(d.queued(), {"urgent": 1})

    def test_expiry_without_a_replica(self):
        """Guards against work that is dispatched after its deadline."""
        d = dispatcher()
        d.submit(request(deadline_s=5.0), 0.0)
        self.assertEqual(list(d.decide(4.9)), [])
        self.assertEqual(d.collect_demand(), ({"m1": {"urgent": 1}}, ("m1",)))
        expired = d.decide(5.0)
        self.assert_dropped(
            expired, ErrorType.DEADLINE_EXCEEDED, COLD_RETRY_AFTER_S
        )
        show(d, "draft0", now_s=6.0)
        self.assertEqual(list(d.decide(6.0)), [])

    def test_retry_avoids_tried_upstreams(self):
        """Guards against a retry on an upstream that just failed."""
        d = dispatcher("draft0", "draft1")
        r = request()
        d.submit(r, 0.0)
        tried, upstreams = set(), []
        for _ in range(2):
            [assigned] = d.decide(0.0)
            tried.add(assigned.boot_id)
            upstreams.append(assigned.upstream)
            d.record_failure(r)
            d.retry(r, set(tried), 0.0)
        self.assertEqual(set(upstreams), {"draft0", "draft1"})
        self.assertEqual(list(d.decide(0.0)), [])
        self.assertEqual(d.in_flight, 0)
        self.assert_dropped(d.decide(60.0), ErrorType.DEADLINE_EXCEEDED)

    def test_retry_does_not_block_others(self):
        """Guards against one failed request that blocks its model's queue."""
        d = dispatcher("draft0")
        failed, other = request(), request(deadline_s=90.0)
        d.submit(failed, 0.0)
        [assigned] = d.decide(0.0)
        d.record_failure(failed)
        d.retry(failed, {assigned.boot_id}, 0.0)
        d.submit(other, 0.0)
        [assigned] = d.decide(0.0)
        self.assertIs(assigned.request, other)

    def test_retry_may_use_a_restarted_upstream(self):
        """Guards against an unavailable model whose only holder restarted."""
        d = dispatcher("draft0")
        r = request()
        d.submit(r, 0.0)
        [assigned] = d.decide(0.0)
        d.record_failure(r)
        d.retry(r, {assigned.boot_id}, 0.0)
        self.assertEqual(list(d.decide(0.0)), [])
        show(d, "draft0", now_s=1.0, boot_id="new")
        [assigned] = d.decide(1.0)
        self.assertEqual(assigned.boot_id, "new")

    def test_queued_suspects(self):
        """Guards against two suspects on one upstream, or a blocked one."""
        d = dispatcher("draft0")
        suspects = [request(fingerprint="s1"), request(fingerprint="s2")]
        harmless = request()
        for r in (*suspects, harmless):
            d.submit(r, 0.0)
        d.merge_suspicions([suspicion(f, 1) for f in ("s1", "s2")], 0.0)
        first, second = d.decide(0.0)
        self.assertEqual({type(first), type(second)}, {Assignment})
        sent = {first.request.request_id, second.request.request_id}
        self.assertIn(harmless.request_id, sent)
        [waiting] = [r for r in suspects if r.request_id not in sent]
        d.merge_suspicions([suspicion(waiting.fingerprint, 3)], 0.0)
        self.assert_dropped(d.decide(0.0), ErrorType.REQUEST_BLOCKED)
        with self.assertRaises(CallerError):
            d.retry(waiting, set(), 0.0)

    def test_model_removed_while_queued(self):
        """Guards against an internal error or a wait until the deadline."""
        d = dispatcher()
        d.submit(request(), 0.0)
        d.set_config(changed(models={}))
        self.assert_dropped(d.decide(0.0), ErrorType.NOT_FOUND)

    def test_rank_removed_while_in_flight(self):
        """Guards against a retry into a removed queue."""
        d = dispatcher("draft0", "draft1")
        r = request()
        d.submit(r, 0.0)
        list(d.decide(0.0))
        d.set_config(changed(ranks={"batch": RANKS["batch"]}))
        d.record_failure(r)
        with self.assertRaises(CallerError) as caught:
            d.retry(r, {"draft0"}, 0.0)
        self.assertIs(caught.exception.type, ErrorType.NOT_FOUND)
        self.assertEqual(list(d.decide(0.0)), [])

    def test_configuration_is_never_lowered(self):
        """Guards against an older version that arrives late (I8)."""
        d = dispatcher(config=changed(version=3))
        for version in (1, 2, 3):
            self.assertFalse(d.set_config(changed(version, models={})))
        self.assertEqual(d.config.version, 3)
        self.assertTrue(d.set_config(changed(4)))

    def test_cancelled_request_releases_everything(self):
        """Guards against slots that leak when callers disconnect."""
        d = dispatcher("draft0")
        sent, waits = request(), request(artifact="m2")
        for r in (sent, waits):
            d.submit(r, 0.0)
        d.decide(0.0).__next__()
        for r in (sent, waits):
            d.cancel(r.request_id, 0.0)
        self.assertEqual((d.in_flight, sum(d.queued().values())), (0, 0))
        self.assertEqual(d.record_crash("draft0", "b", 0.0), ())
