"""Tests of the request queue."""

import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciaspoke.config.schema import Rank
from acaciaspoke.entry.queue import MAX_RETRY_AFTER_S, RequestQueue
from acaciaspoke.entry.rank_queue import MAX_KINDS, RefusalReason, Urgency
from test.entry.builders import RANKS, request


def anything(*_):
    return True


def new_queue(ranks=None, **kwargs):
    return RequestQueue(
        RANKS if ranks is None else ranks, random.Random(1), **kwargs
    )


def fill(queue, count, now_s=0.0, **fields):
    for _ in range(count):
        assert queue.offer(request(**fields), now_s) is None


def take_all(queue, now_s=0.0, dispatchable=anything):
    return list(iter(lambda: queue.take(now_s, dispatchable), None))


class OrderTest(unittest.TestCase):

    def test_urgent_rank_goes_first_except_for_floors(self):
        """Guards against urgent work that starves the other ranks."""
        queue = new_queue()
        for rank in RANKS:
            fill(queue, 50, rank=rank)
        first = Counter(queue.take(0, anything).rank for _ in range(50))
        # A floor is served after it has become due, so one dispatch may be due.
        self.assertIn(first["normal"], (9, 10))
        self.assertIn(first["batch"], (4, 5))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.integers(0, 30), min_size=3, max_size=3),
        st.lists(st.sampled_from(sorted(RANKS)), max_size=60),
    )
    def test_no_rank_starves_below_its_floor(self, floors, history):
        """Guards against a loss of credit through the history of dispatches."""
        ranks = {
            name: Rank(level=n, floor_share=floors[n] / 100)
            for n, name in enumerate(RANKS)
        }
        queue = new_queue(ranks)
        for rank in history:
            fill(queue, 1, rank=rank)
            queue.take(0, anything)
        for rank in ranks:
            fill(queue, 150, rank=rank)
        served = Counter(queue.take(0, anything).rank for _ in range(150))
        for name, rank in ranks.items():
            minimum = int(150 * rank.floor_share) - len(ranks)
            self.assertGreaterEqual(served[name], minimum)

    def test_flooding_kind_shares_with_other_kinds(self):
        """Guards against arrival order between the kinds of a rank."""
        queue = new_queue()
        fill(queue, 100, kind="flood")
        fill(queue, 5, kind="chat")
        first = Counter(queue.take(0, anything).work_kind for _ in range(10))
        self.assertEqual(first, {"flood": 5, "chat": 5})

    def test_new_kind_names_gain_no_share(self):
        """Guards against a share for each invented name of a kind."""
        queue = new_queue()
        fill(queue, 20, kind="chat")
        for n in range(100):
            fill(queue, 1, kind=f"k{n}")
        first = [queue.take(0, anything).work_kind for _ in range(66)]
        self.assertGreaterEqual(first.count("chat"), 66 // (MAX_KINDS + 1))

    def test_removed_rank_keeps_what_it_admitted(self):
        """Guards against a configuration change that loses requests."""
        queue = new_queue()
        admitted = request(rank="batch")
        queue.offer(admitted, 0.0)
        queue.set_ranks({"urgent": RANKS["urgent"]})
        self.assertEqual(take_all(queue), [admitted])
        queue.requeue(admitted, 0.0)
        self.assertEqual(take_all(queue), [admitted])
        self.assertEqual(take_all(new_queue({})), [])

    def test_earliest_deadline_first(self):
        """Guards against arrival order within a kind."""
        queue = new_queue()
        for deadline_s in (30.0, 10.0, 20.0):
            fill(queue, 1, deadline_s=deadline_s)
        order = [r.deadline_s for r in take_all(queue)]
        self.assertEqual(order, [10.0, 20.0, 30.0])

    def test_requests_that_can_meet_their_target_go_first(self):
        """Guards against an overload in which no request meets its target."""
        queue = new_queue()
        fill(queue, 3, deadline_s=20.0)
        fill(queue, 1, now_s=9.0, arrived_s=9.0, deadline_s=29.0)
        order = [r.deadline_s for r in take_all(queue, 9.0)]
        self.assertEqual(order, [29.0, 20.0, 20.0, 20.0])

    def test_urgency_names_due_floors_and_floods(self):
        """Guards against engines and limits that defeat a floor."""
        queue = new_queue()
        fill(queue, 40)
        fill(queue, 40, rank="batch")
        seen = set()

        def dispatchable(r, urgency):
            seen.add((r.rank, urgency))
            return True

        for _ in range(60):
            queue.take(0.0, dispatchable)
        self.assertIn(("batch", Urgency(0, flooding=False)), seen)
        self.assertIn(("batch", Urgency(2, flooding=True)), seen)
        self.assertIn(("urgent", Urgency(0, flooding=True)), seen)
        self.assertIn(("urgent", Urgency(0, flooding=False)), seen)


class BlockedTest(unittest.TestCase):

    def test_cold_model_blocks_no_other(self):
        """Guards against a cold model that blocks or slows the queue."""
        queue = new_queue()
        fill(queue, 100, artifact="cold", deadline_s=5.0)
        fill(queue, 3, artifact="warm", deadline_s=50.0)
        asked = []

        def dispatchable(r, _):
            asked.append(r)
            return r.artifact == "warm"

        taken = take_all(queue, dispatchable=dispatchable)
        self.assertEqual([r.artifact for r in taken], ["warm"] * 3)
        self.assertLessEqual(len(asked), 2 * 4)
        self.assertEqual(len(take_all(queue)), 100)

    def test_blocked_kind_causes_no_burst_later(self):
        """Guards against a kind that gets all dispatches once unblocked."""
        queue = new_queue()
        fill(queue, 50, kind="cold", artifact="cold")
        fill(queue, 80, kind="chat")
        for _ in range(40):
            queue.take(0, lambda r, _: r.artifact != "cold")
        after = Counter(queue.take(0, anything).work_kind for _ in range(20))
        self.assertLessEqual(after["cold"], 11)

    def test_isolated_request_blocks_no_other(self):
        """Guards against a suspect that blocks others for its artifact."""
        queue = new_queue()
        suspect = request(deadline_s=1.0)
        queue.requeue(suspect, 0.0, isolated=True)
        fill(queue, 1)
        taken = take_all(queue, dispatchable=lambda r, _: r is not suspect)
        self.assertEqual(len(taken), 1)


class RemovalTest(unittest.TestCase):

    def test_expired_request_is_never_taken(self):
        """Guards against dispatching work after its deadline."""
        queue = new_queue()
        fill(queue, 2, deadline_s=5.0)
        fill(queue, 1, deadline_s=9.0)
        self.assertEqual([r.deadline_s for r in take_all(queue, 5.0)], [9.0])
        self.assertEqual([r.deadline_s for r in queue.expire(5.0)], [5.0, 5.0])
        self.assertEqual((len(queue), queue.expire(99.0)), (0, []))

    def test_cancelled_request_is_neither_taken_nor_expired(self):
        """Guards against stale heap items of a removed request."""
        queue = new_queue()
        cancelled, kept = request(deadline_s=1.0), request()
        queue.offer(cancelled, 0.0)
        queue.offer(kept, 0.0)
        self.assertIs(queue.cancel(cancelled.request_id, 0.0), cancelled)
        self.assertIsNone(queue.cancel(cancelled.request_id, 0.0))
        self.assertEqual(queue.expire(2.0), [])
        self.assertEqual(take_all(queue), [kept])

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["offer", "take", "cancel", "expire"]),
                st.sampled_from(sorted(RANKS)),
                st.sampled_from(["a", "b"]),
                st.integers(1, 9),
            ),
            max_size=80,
        )
    )
    def test_each_request_leaves_exactly_once(self, steps):
        """Guards against lost, duplicated or miscounted requests."""
        queue = new_queue()
        offered, left = [], []
        for now_s, (step, rank, artifact, number) in enumerate(steps):
            if step == "offer":
                deadline_s = now_s + 3.0 * number
                new = request(rank, artifact=artifact, deadline_s=deadline_s)
                if queue.offer(new, now_s) is None:
                    offered.append(new)
            elif step == "take":
                left.append(queue.take(now_s, lambda r, _: r.artifact == "a"))
            elif step == "cancel" and offered:
                chosen = offered[number % len(offered)]
                left.append(queue.cancel(chosen.request_id, now_s))
            elif step == "expire":
                left.extend(queue.expire(now_s))
        left.extend(take_all(queue, len(steps)))
        left.extend(queue.expire(1e9))
        ids = [r.request_id for r in left if r is not None]
        self.assertEqual(sorted(ids), sorted(r.request_id for r in offered))
        self.assertEqual(set(queue.waiting().values()), {0})


class AdmissionTest(unittest.TestCase):

    def test_flooding_kind_cannot_fill_the_queue(self):
        """Guards against a rank's queue that one kind can fill."""
        queue = new_queue({"urgent": Rank(level=0, queue_limit=100)})
        for _ in range(200):
            refusal = queue.offer(request(kind="flood"), 0.0)
        self.assertIs(refusal.reason, RefusalReason.KIND_FULL)
        self.assertEqual(len(queue), 75)
        fill(queue, 10, kind="chat")

    def test_refuses_when_the_rank_is_full(self):
        """Guards against a queue that grows without bound."""
        queue = new_queue({"urgent": Rank(level=0, queue_limit=4)})
        for n in range(4):
            fill(queue, 1, kind=f"k{n}")
        refusal = queue.offer(request(kind="k9"), 0.0)
        self.assertIs(refusal.reason, RefusalReason.QUEUE_FULL)

    def test_refuses_what_would_expire(self):
        """Guards against admitting work that would expire in the queue."""
        queue = new_queue()
        fill(queue, 100)
        for step in range(50):
            queue.take(step * 0.1, anything)
        short_deadline = request(deadline_s=5.0 + 2.0)
        refusal = queue.offer(short_deadline, 5.0)
        self.assertIs(refusal.reason, RefusalReason.DEADLINE)
        self.assertTrue(1.0 <= refusal.retry_after_s <= MAX_RETRY_AFTER_S)
        self.assertIsNone(queue.offer(request(deadline_s=5.0 + 30.0), 5.0))
