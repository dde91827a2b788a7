"""Tests of suspicions of requests that crash upstreams."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciaspoke.entry.suspects import (
    EXPIRY_S,
    HOLD_LIMIT_S,
    MAX_CRASHES,
    CrashSuspects,
    Verdict,
)
from acaciaspoke.net.records import Suspicion


def crash(suspects, boot, *in_flight, now_s=0.0):
    """Records a crash and ends the hold immediately."""
    notices = suspects.record_crash(boot, in_flight, now_s)
    suspects.end_hold([n.fingerprint for n in notices])
    return notices


class VerdictTest(unittest.TestCase):

    def test_two_crashes_as_sole_suspect_block(self):
        """Guards against a request that crashes upstreams one by one."""
        s = CrashSuspects()
        crash(s, "b1", ("bad", False), ("good", False))
        self.assertIs(s.verdict("good", 0), Verdict.SUSPECT)
        crash(s, "b2", ("bad", True))
        self.assertIs(s.verdict("bad", 0), Verdict.SUSPECT)
        crash(s, "b3", ("bad", True), ("other", False))
        self.assertIs(s.verdict("bad", 0), Verdict.BLOCKED)
        self.assertIs(s.verdict("other", 0), Verdict.SUSPECT)

    def test_success_clears_earlier_crashes_only(self):
        """Guards against blocking harmless requests, and lasting clearance."""
        s = CrashSuspects()
        crash(s, "b1", ("f", False))
        crash(s, "b2", ("f", True))
        (shared,) = s.record_success("f", 1.0)
        self.assertEqual(set(shared.voided), set(shared.crashes))
        self.assertTrue(shared.voided)
        self.assertIs(s.verdict("f", 1.0), Verdict.CLEAN)
        crash(s, "b3", ("f", True), now_s=2.0)
        crash(s, "b4", ("f", True), now_s=3.0)
        self.assertIs(s.verdict("f", 3.0), Verdict.BLOCKED)

    def test_held_up_to_the_limit(self):
        """Guards against a retry before other processes have the suspicion."""
        s = CrashSuspects()
        s.record_crash("b1", [("f", False)], 0.0)
        self.assertIs(s.verdict("f", 0.0), Verdict.HELD)
        self.assertIs(s.verdict("f", HOLD_LIMIT_S), Verdict.SUSPECT)

    def test_expires_despite_gossip(self):
        """Guards against peers that renew a suspicion for ever."""
        a, b = CrashSuspects(), CrashSuspects()
        for n in range(3):
            crash(a, f"b{n}", ("f", False))
        for now_s in range(0, int(EXPIRY_S) + 60, 20):
            b.merge(a.suspicions(now_s), now_s + 0.1)
            a.merge(b.suspicions(now_s), now_s + 0.1)
            for s in (a, b):
                s.expire(now_s)
        self.assertEqual(a.suspicions(now_s) + b.suspicions(now_s), ())
        crash(a, "b9", ("f", False), now_s=now_s)
        self.assertIs(a.verdict("f", now_s), Verdict.SUSPECT)


_suspicions = st.lists(
    st.builds(
        Suspicion,
        fingerprint=st.sampled_from(["f", "g"]),
        crashes=st.dictionaries(
            st.sampled_from(["b1", "b2", "b3"]), st.booleans(), min_size=1
        ),
        voided=st.lists(st.sampled_from(["b1", "b2"]), unique=True).map(tuple),
        age_s=st.sampled_from([0.0, 30.0, 599.0]),
    ),
    max_size=6,
)


class MergeTest(unittest.TestCase):

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(_suspicions, st.randoms(use_true_random=False))
    def test_order_and_repeats_do_not_matter(self, suspicions, rng):
        """Guards against peers that never converge."""
        once, shuffled = CrashSuspects(), CrashSuspects()
        once.merge(suspicions, 1000.0)
        more = suspicions * 2
        rng.shuffle(more)
        for suspicion in more:
            shuffled.merge([suspicion], 1000.0)
        self.assertEqual(
            sorted(once.suspicions(1000.0), key=repr),
            sorted(shuffled.suspicions(1000.0), key=repr),
        )


class EntryProcesses:
    """Entry processes of a failure domain, with one crashing fingerprint."""

    def __init__(self, count):
        self.entries = [CrashSuspects() for _ in range(count)]
        self.running = [None] * count
        self.undelivered = [set() for _ in range(count)]
        self.notices = [()] * count
        self.boots = itertools.count()
        self.crashes = 0

    def send(self, i):
        verdict = self.entries[i].verdict("f", 0.0)
        if self.running[i] is None and verdict in (
            Verdict.CLEAN,
            Verdict.SUSPECT,
        ):
            self.running[i] = verdict is Verdict.SUSPECT

    def crash(self, i):
        if self.running[i] is None:
            return
        flights = [("f", self.running[i])]
        boot = f"b{next(self.boots)}"
        self.notices[i] = self.entries[i].record_crash(boot, flights, 0.0)
        self.undelivered[i] = set(range(len(self.entries))) - {i}
        self.running[i] = None
        self.crashes += 1
        self.deliver(i, i)

    def deliver(self, i, j):
        if self.notices[i]:
            self.undelivered[i].discard(j)
            self.entries[j].merge(self.notices[i], 0.0)
            if not self.undelivered[i]:
                self.entries[i].end_hold(["f"])
                self.notices[i] = ()


class BoundTest(unittest.TestCase):
    """One request takes down at most MAX_CRASHES + E - 1 upstreams."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.integers(1, 5),
        st.lists(
            st.tuples(st.integers(0, 2), st.integers(0, 4), st.integers(0, 4)),
            max_size=200,
        ),
    )
    def test_no_interleaving_exceeds_the_bound(self, count, steps):
        """Guards against a schedule of sends and merges that exceeds it."""
        f = EntryProcesses(count)
        for kind, i, j in steps:
            i, j = i % count, j % count
            (f.send, f.crash, lambda i, j=j: f.deliver(i, j))[kind](i)
        self.assertLessEqual(f.crashes, MAX_CRASHES + count - 1)

    def test_worst_interleaving_reaches_the_bound(self):
        """Guards against a stated bound that is not tight."""
        for count in (1, 2, 3, 8):
            f = EntryProcesses(count)
            # All send before they receive suspicions; only the first continues.
            for i in range(count):
                f.send(i)
            for _ in range(MAX_CRASHES):
                f.send(0)
                f.crash(0)
                for j in range(1, count):
                    f.deliver(0, j)
            for i in range(1, count):
                f.crash(i)
            for i in range(count):
                for j in range(count):
                    f.deliver(i, j)
                f.send(i)
                f.crash(i)
            self.assertEqual(f.crashes, MAX_CRASHES + count - 1)
