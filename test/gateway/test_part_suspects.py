"""Tests of acaciaspoke.gateway.part_suspects."""

import unittest

from acaciaspoke.gateway.part_suspects import (
    BEGUN_RETENTION_S,
    CRASH_RETENTION_S,
    FIRST_BLOCK_IF_BEGUN_S,
    FIRST_BLOCK_S,
    MAX_BEGUN_PARTS,
    MAX_CRASHES,
    MAX_CRASHES_IF_BEGUN,
    MAX_REPORTED_PARTS,
    PartSuspects,
    merge_evidence,
)
from acaciaspoke.ids import HostId, PartId, UpstreamId

FIRST = PartId("5c1e07a2")
HARMFUL = PartId("91bd3f06")


def _crash(suspects, now_s, *parts, engine="u1", started_ms=1):
    suspects.record_crash(parts, UpstreamId(engine), started_ms, now_s)


class HarmfulPartTest(unittest.TestCase):
    """A part crashes engines; other requests share the rest of the prompt."""

    def setUp(self):
        self.suspects = PartSuspects()

    def _blocked(self, now_s, *parts):
        return self.suspects.blocked_part(parts, now_s)

    def test_only_the_part_that_never_begins_is_blocked(self):
        for number in range(MAX_CRASHES):
            self.assertIsNone(self._blocked(number, FIRST, HARMFUL))
            _crash(self.suspects, number, FIRST, HARMFUL, engine=f"u{number}")
            self.suspects.record_begun([FIRST], number + 0.05)
        now_s = MAX_CRASHES
        self.assertEqual(HARMFUL, self._blocked(now_s, FIRST, HARMFUL))
        self.assertIsNone(self._blocked(now_s, FIRST))

    def test_most_specific_part_explains_the_crashes_of_all(self):
        # No sound request has begun that could clear the first part.
        for number in range(MAX_CRASHES + 1):
            _crash(self.suspects, number, FIRST, HARMFUL, engine=f"u{number}")
        now_s = MAX_CRASHES + 1
        self.assertEqual(HARMFUL, self._blocked(now_s, FIRST, HARMFUL))
        self.assertIsNone(self._blocked(now_s, FIRST))
        self.assertIsNone(self._blocked(now_s, FIRST, PartId("e4402b7d")))

    def test_first_part_is_blocked_if_no_other_explains_its_crashes(self):
        for number in range(MAX_CRASHES):
            other = PartId(f"{number:x}")
            _crash(self.suspects, number, FIRST, other, engine=f"u{number}")
        self.assertEqual(FIRST, self._blocked(MAX_CRASHES, FIRST))

    def test_requests_lost_in_one_crash_count_once(self):
        for _ in range(MAX_CRASHES):
            _crash(self.suspects, 0.0, HARMFUL)
        self.assertIsNone(self._blocked(0.0, HARMFUL))

    def test_restart_under_the_same_name_is_another_engine(self):
        for started_ms in range(MAX_CRASHES):
            _crash(self.suspects, 0.0, HARMFUL, started_ms=started_ms)
        self.assertEqual(HARMFUL, self._blocked(0.0, HARMFUL))

    def test_part_that_begins_after_the_crashes_is_cleared(self):
        for number in range(MAX_CRASHES):
            _crash(self.suspects, number, HARMFUL, engine=f"u{number}")
        self.suspects.record_begun([HARMFUL], MAX_CRASHES)
        self.assertIsNone(self._blocked(MAX_CRASHES + 0.1, HARMFUL))

    def test_block_ends_some_time_after_the_last_crash(self):
        for number in range(MAX_CRASHES):
            _crash(self.suspects, 0.0, HARMFUL, engine=f"u{number}")
        self.assertEqual(HARMFUL, self._blocked(FIRST_BLOCK_S - 0.1, HARMFUL))
        self.assertIsNone(self._blocked(FIRST_BLOCK_S, HARMFUL))

    def test_one_more_crash_blocks_for_twice_as_long(self):
        # With the evidence gone after the block, three more engines crashed.
        for number in range(MAX_CRASHES):
            _crash(self.suspects, 0.0, HARMFUL, engine=f"u{number}")
        self.suspects.local_evidence(FIRST_BLOCK_S)
        _crash(self.suspects, FIRST_BLOCK_S, HARMFUL, engine="u9")
        end_s = 3 * FIRST_BLOCK_S
        self.assertEqual(HARMFUL, self._blocked(end_s - 0.1, HARMFUL))
        self.assertIsNone(self._blocked(end_s, HARMFUL))

    def test_any_number_of_crashes_blocks(self):
        for number in range(2000):
            _crash(self.suspects, 0.0, HARMFUL, engine=f"u{number}")
        self.assertEqual(HARMFUL, self._blocked(1.0, HARMFUL))

    def test_crash_before_a_begun_request_stays_cleared(self):
        # It outlasts the record of the request that has begun.
        for number in range(MAX_CRASHES):
            _crash(self.suspects, 0.0, FIRST, engine=f"u{number}")
        self.suspects.record_begun([FIRST], 1.0)
        now_s = 2.0 + BEGUN_RETENTION_S
        self.suspects.local_evidence(now_s)
        self.assertIsNone(self._blocked(now_s, FIRST))

    def test_sound_part_is_blocked_shortly_if_all_engines_crash_at_once(self):
        self.suspects.record_begun([FIRST], 0.0)
        for number in range(MAX_CRASHES_IF_BEGUN):
            self.assertIsNone(self._blocked(1.0, FIRST))
            _crash(self.suspects, 1.0, FIRST, engine=f"u{number}")
        self.assertEqual(FIRST, self._blocked(1.1, FIRST))
        self.assertIsNone(self._blocked(1.1 + FIRST_BLOCK_IF_BEGUN_S, FIRST))

    def test_part_that_becomes_harmful_is_blocked_for_longer_each_time(self):
        self.suspects.record_begun([HARMFUL], 0.0)
        now_s, blocks_s = 1.0, []
        for number in range(MAX_CRASHES_IF_BEGUN + 2):
            _crash(self.suspects, now_s, HARMFUL, engine=f"u{number}")
            began_s = now_s
            while self._blocked(now_s, HARMFUL):
                now_s += 0.5
            blocks_s.append(now_s - began_s)
        first_s = FIRST_BLOCK_IF_BEGUN_S
        self.assertEqual([first_s, 2 * first_s, 4 * first_s], blocks_s[-3:])


class SharedEvidenceTest(unittest.TestCase):
    """Several hosts see the crashes, each only some of them."""

    def setUp(self):
        self.hosts = {HostId(f"h{n}"): PartSuspects() for n in range(4)}

    def _share(self, now_s):
        evidence = {
            name: host.local_evidence(now_s)
            for name, host in self.hosts.items()
        }
        for name, host in self.hosts.items():
            for other, known in evidence.items():
                if other != name:
                    host.apply_evidence(other, known, now_s)

    def test_crashes_at_all_hosts_count(self):
        hosts = list(self.hosts.values())
        for number in range(MAX_CRASHES):
            _crash(hosts[number], 0.0, HARMFUL, engine=f"u{number}")
        self._share(0.1)
        self.assertTrue(
            all(host.blocked_part([HARMFUL], 0.2) for host in hosts)
        )

    def test_one_crash_seen_by_many_hosts_counts_once(self):
        hosts = list(self.hosts.values())
        for host in hosts:
            _crash(host, 0.0, HARMFUL)
        self._share(0.1)
        self.assertFalse(
            any(host.blocked_part([HARMFUL], 0.2) for host in hosts)
        )

    def test_request_that_begins_at_one_host_clears_its_part_at_all(self):
        hosts = list(self.hosts.values())
        for number in range(MAX_CRASHES):
            _crash(hosts[0], 0.0, FIRST, engine=f"u{number}")
        self._share(0.1)
        hosts[3].record_begun([FIRST], 0.2)
        self._share(0.3)
        self.assertFalse(any(host.blocked_part([FIRST], 0.4) for host in hosts))

    def test_block_outlasts_the_hosts_that_saw_the_crashes(self):
        hosts = list(self.hosts.values())
        for number in range(MAX_CRASHES):
            _crash(hosts[number], 0.0, HARMFUL, engine=f"u{number}")
        self._share(0.1)
        for name in list(self.hosts)[:3]:
            self.hosts[name] = PartSuspects()
        self._share(40.0)
        self.assertTrue(
            all(
                host.blocked_part([HARMFUL], 40.1)
                for host in self.hosts.values()
            )
        )

    def test_crash_that_another_host_clears_stays_cleared(self):
        hosts = list(self.hosts.values())
        for number in range(MAX_CRASHES):
            _crash(hosts[number], 0.0, FIRST, engine=f"u{number}")
        self._share(0.1)
        hosts[3].record_begun([FIRST], 0.2)
        self._share(0.3)
        self._share(0.4)
        now_s = 1.0 + BEGUN_RETENTION_S
        self._share(now_s)
        self.assertFalse(
            any(host.blocked_part([FIRST], now_s) for host in hosts)
        )

    def test_age_of_relayed_evidence_includes_the_delay(self):
        suspects = PartSuspects()
        for number in range(MAX_CRASHES):
            _crash(suspects, 0.0, HARMFUL, engine=f"u{number}")
        evidence = suspects.local_evidence(1.0)
        merged = merge_evidence([(evidence, 2.0), (evidence, 0.5)])
        ages_s = set(merged[HARMFUL].crash_ages_s.values())
        self.assertEqual({3.0}, ages_s)

    def test_evidence_is_bounded(self):
        suspects = PartSuspects()
        parts = [PartId(f"{n:x}") for n in range(2 * MAX_BEGUN_PARTS)]
        _crash(suspects, 0.0, *parts[:1000])
        _crash(suspects, 0.0, HARMFUL, engine="u1")
        _crash(suspects, 0.0, HARMFUL, engine="u2")
        evidence = suspects.local_evidence(0.1)
        self.assertEqual(MAX_REPORTED_PARTS, len(evidence))
        self.assertIn(HARMFUL, evidence)
        suspects.record_begun(reversed(parts), 0.2)
        self.assertEqual({HARMFUL}, set(suspects.local_evidence(0.3)))
        self.assertEqual({}, suspects.local_evidence(CRASH_RETENTION_S + 1))
