"""Hosts that had lost their links blocked sound prompt parts at all hosts.

Each engine seemed to crash before the requests with a part began.
"""

import unittest
from types import SimpleNamespace

import anyio

from acaciaspoke.gateway.attempt_result import Attempt, Ending
from acaciaspoke.gateway.crash_guard import (
    MAX_UNCONFIRMED_S,
    MIN_CUT_OFF_S,
    CrashGuard,
    is_own_loss,
)
from acaciaspoke.gateway.dispatch import Assignment
from acaciaspoke.gateway.links import Links
from acaciaspoke.gateway.lost_attempts import MIN_SILENCE_S, LostAttempts
from acaciaspoke.gateway.part_suspects import MAX_CRASHES
from acaciaspoke.gateway.suspects import MAX_LOST_ATTEMPTS
from acaciaspoke.gateway.types import RouteKind
from acaciaspoke.ids import HostId, PartId, UpstreamId
from test import virtualtime
from test.gateway.builders import request, route

PART = PartId("5c1e07a2")
CRASHES = max(MAX_CRASHES, MAX_LOST_ATTEMPTS) + 3
ENGINES = [UpstreamId(f"u{number}") for number in range(CRASHES)]


async def _call_later(action) -> None:
    await anyio.sleep(0.1)
    action()


class LostLinksTest(unittest.TestCase):

    def setUp(self):
        self.guard = CrashGuard(checks_links=True)
        self.links = Links()
        self.links.set_upstreams(set(ENGINES))
        self.request = request(shared_parts=(PART,), fingerprint=7)

    def _lose(self, now_s: float, engines=ENGINES) -> None:
        """Ends an attempt at each engine with a lost connection."""
        attempt = Attempt(ending=Ending.BROKEN, is_closed=True)
        for engine in engines:
            assignment = Assignment(self.request, engine, "10.0.0.1:80", 1)
            self.guard.record_attempt(assignment, attempt, False, now_s)

    def _check(self, began_s: float, now_s: float, connects: bool) -> None:
        for engine in ENGINES:
            if connects:
                self.links.record_connected(engine, began_s)
            else:
                self.links.record_failed(engine, now_s)
        self.links.record_check(ENGINES, began_s, now_s)

    def _reported(self, now_s: float):
        parts = self.guard.parts.local_evidence(now_s)
        crashes = [len(parts[part].crash_ages_s) for part in parts]
        return self.guard.requests.local_counts(now_s), crashes

    def test_lost_links_are_neither_counted_nor_reported(self):
        self._lose(1.0)
        self._check(1.05, 1.45, connects=False)
        for step in range(30):
            now_s = 1.45 + step * 0.05
            self.guard.review(self.links, True, now_s)
            self.assertEqual(({}, []), self._reported(now_s))
        self.assertGreater(now_s, 1.45 + MIN_CUT_OFF_S)
        self.assertFalse(self.guard.is_blocked(self.request, now_s))

    def test_connections_that_hang_break_while_links_are_known_to_be_lost(self):
        self._check(1.0, 1.4, connects=False)
        now_s = 1.4 + MIN_CUT_OFF_S
        self._lose(now_s)
        self.guard.review(self.links, True, now_s)
        self.assertEqual(({}, []), self._reported(now_s))
        self.assertFalse(self.guard.is_blocked(self.request, now_s))

    def test_attempts_that_this_host_ended_are_no_crashes(self):
        # They blocked equal requests for as long as they were not dropped.
        async def end() -> Attempt:
            attempts = LostAttempts(clock=lambda: MIN_SILENCE_S)
            lost = request(route=route(kind=RouteKind.SAFE))
            relay = SimpleNamespace(
                last_event_s=0.0, reading_since_s=0.0, is_forwarding=False
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_call_later, attempts.end_silent)
                return await attempts.run(lost, relay, anyio.sleep_forever())

        attempt = virtualtime.run(end)
        self.assertIs(Ending.BROKEN, attempt.ending)
        for engine in ENGINES:
            assignment = Assignment(self.request, engine, "10.0.0.1:80", 1)
            self.guard.record_attempt(assignment, attempt, False, 1.0)
        self.assertFalse(self.guard.is_blocked(self.request, 1.0))

    def test_crashes_block_here_at_once(self):
        self._lose(1.0)
        self.assertTrue(self.guard.is_blocked(self.request, 1.0))

    def test_crashes_are_reported_once_the_links_are_found_intact(self):
        self._lose(1.0)
        self.guard.review(self.links, True, 1.1)
        self.assertEqual(({}, []), self._reported(1.1))
        self._check(1.05, 1.1, connects=True)
        self.guard.review(self.links, True, 1.1)
        self.assertEqual(({7: CRASHES}, [CRASHES]), self._reported(1.1))
        self.assertTrue(self.guard.is_blocked(self.request, 1.1))

    def test_check_before_a_crash_confirms_nothing(self):
        self._check(0.9, 1.1, connects=True)
        self._lose(1.0)
        self.guard.review(self.links, True, 1.1)
        self.assertEqual(({}, []), self._reported(1.1))

    def test_crashes_are_reported_if_no_check_ends(self):
        self._lose(1.0)
        now_s = 1.0 + MAX_UNCONFIRMED_S
        self.guard.review(self.links, True, now_s)
        self.assertEqual(({7: CRASHES}, [CRASHES]), self._reported(now_s))

    def test_crash_of_all_upstreams_is_reported(self):
        # No other host connects to any upstream either.
        self._lose(1.0)
        self._check(1.05, 1.1, connects=False)
        self.guard.review(self.links, True, 1.1)
        self.assertEqual(({}, []), self._reported(1.1))
        self.guard.review(self.links, False, 1.2)
        self.assertEqual(({7: CRASHES}, [CRASHES]), self._reported(1.2))
        self.assertTrue(self.guard.is_blocked(self.request, 1.2))

    def test_crashes_before_the_loss_stay(self):
        self._lose(1.0, ENGINES[:1])
        self._check(1.05, 1.06, connects=True)
        self.guard.review(self.links, True, 1.1)
        self._lose(2.0)
        self._check(2.05, 2.1, connects=False)
        self.guard.review(self.links, True, 2.1 + MIN_CUT_OFF_S)
        self.assertEqual(({7: 1}, [1]), self._reported(3.1))

    def test_success_clears_unconfirmed_attempts(self):
        self._lose(1.0)
        assignment = Assignment(self.request, ENGINES[0], "10.0.0.1:80", 1)
        answered = Attempt(ending=Ending.ANSWERED)
        self.guard.record_attempt(assignment, answered, True, 1.01)
        self.guard.record_begun(self.request, 1.01)
        self.guard.review(self.links, True, 1.0 + MAX_UNCONFIRMED_S)
        self.assertFalse(self.guard.is_blocked(self.request, 2.5))
        self.assertEqual({}, self.guard.requests.local_counts(2.5))

    def test_confirmed_crashes_count_from_their_time(self):
        self._lose(1.0)
        self.guard.review(self.links, True, 1.0 + MAX_UNCONFIRMED_S)
        other = CrashGuard()
        now_s = 2.6
        other.parts.apply_evidence(
            HostId("h1"), self.guard.parts.local_evidence(now_s), now_s
        )
        ages_s = other.parts.evidence_of(PART, now_s).crash_ages_s.values()
        self.assertEqual(CRASHES, len(ages_s))
        for age_s in ages_s:
            self.assertAlmostEqual(1.6, age_s)

    def test_guard_without_checks_reports_at_once(self):
        self.guard = CrashGuard()
        self._lose(1.0)
        self.assertEqual(({7: CRASHES}, [CRASHES]), self._reported(1.0))


class OwnLossTest(unittest.TestCase):
    """A host reaches no upstream; what it knows of others tells why."""

    def test_other_hosts(self):
        h1, h2 = HostId("h1"), HostId("h2")
        for expected, live, detached in (
            (True, [h1, h2], []),
            (True, [h1, h2], [h1]),
            (False, [h1, h2], [h1, h2]),
            (False, [h1], [h1]),
            # Cut off from the other hosts too.
            (True, [], []),
            (True, [], [h1]),
        ):
            with self.subTest(live=live, detached=detached):
                self.assertIs(expected, is_own_loss([h1, h2], live, detached))

    def test_only_host(self):
        self.assertFalse(is_own_loss([], [], []))
