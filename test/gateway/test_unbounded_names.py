"""Names that are not used any more don't stay for as long as a process runs."""

import itertools
import time
import unittest
from unittest import mock

import msgspec

from acaciaspoke.gateway.aggregate import (
    EXCLUSION_S,
    AggregatorChoice,
    LoadAggregator,
)
from acaciaspoke.gateway.crash_guard import CrashGuard
from acaciaspoke.gateway.demand import DEMAND_RETENTION_S, DemandTracker
from acaciaspoke.gateway.messages import (
    ArtifactDemand,
    DemandDigest,
    DomainLoads,
    LoadDigest,
    SendNotice,
    encode,
)
from acaciaspoke.gateway.part_suspects import (
    BEGUN_RETENTION_S,
    CRASH_RETENTION_S,
    MAX_CRASHES,
    PartEvidence,
)
from acaciaspoke.gateway.peerloads import HOST_RETENTION_S, PeerLoads
from acaciaspoke.gateway.peers import UNREGISTERED_MAX_AGE_S, Peers
from acaciaspoke.gateway.suspects import (
    LOST_ATTEMPT_RETENTION_S,
    CrashSuspects,
)
from acaciaspoke.gateway.types import CallerLimits, Configuration, Service
from acaciaspoke.gateway.unserved import RETENTION_S, UnservedTimes
from acaciaspoke.ids import (
    BootId,
    DomainId,
    HostId,
    ModelId,
    PartId,
    UpstreamId,
)
from test.gateway.builders import (
    SERVICE,
    artifact,
    engine_spec,
    fleet,
    new_dispatcher,
    record,
    request,
)

NAMES = 5000

# Names that are known in the time for which an unused one is kept.
PER_S = 10


class UnboundedNamesTest(unittest.TestCase):
    """5000 names in 500 s led to 5000 entries that nothing removed."""

    def test_models_that_have_not_waited_lately_are_forgotten(self):
        times = UnservedTimes()
        for number in range(NAMES):
            waiting = {ModelId(f"m{number}"): 0.1}
            times.update(waiting, (), number / PER_S)
        self.assertLessEqual(len(times.all()), PER_S * RETENTION_S + 1)

    def test_artifacts_that_hosts_do_not_name_any_more_are_forgotten(self):
        tracker = DemandTracker()
        for number in range(NAMES):
            item = ArtifactDemand(SERVICE, artifact(f"m{number}"), 1, 1, 2, 0.0)
            digest = DemandDigest(
                host=HostId("h1"),
                boot=BootId("b"),
                sequence=number + 1,
                demand=(item,),
            )
            tracker.apply(digest, number / PER_S)
        bound = PER_S * (DEMAND_RETENTION_S + 2)
        self.assertLessEqual(len(tracker.totals(NAMES / PER_S)), bound)
        self.assertLessEqual(len(tracker._last_counts), bound)

    def test_former_hosts_and_boots_are_forgotten(self):
        tracker = DemandTracker()
        item = ArtifactDemand(SERVICE, artifact("m1"), 1, 1, 2, 0.0)
        for number in range(NAMES):
            digest = DemandDigest(
                host=HostId(f"h{number // 2}"),
                boot=BootId(f"b{number}"),
                sequence=1,
                demand=(item,),
            )
            tracker.apply(digest, number / PER_S)
        bound = PER_S * (DEMAND_RETENTION_S + 2)
        self.assertLessEqual(len(tracker._last_counts), bound)
        self.assertLessEqual(len(tracker._digests), bound)

    def test_artifact_that_is_named_stays(self):
        tracker = DemandTracker()
        for sequence, now_s in enumerate(range(0, 600, 60), 1):
            item = ArtifactDemand(SERVICE, artifact("m1"), sequence, 0, 0, 0.0)
            digest = DemandDigest(
                host=HostId("h1"),
                boot=BootId("b"),
                sequence=sequence,
                demand=(item,),
            )
            tracker.apply(digest, float(now_s))
        totals = tracker.totals(541.0)
        self.assertEqual(0, totals[artifact("m1")].priority)

    def test_models_that_no_service_has_are_not_reported(self):
        # A report of thousands of them did not fit into a datagram.
        dispatcher = new_dispatcher()
        spec = Service(name=SERVICE, engine=engine_spec("m1"))
        dispatcher.set_configuration(
            Configuration(
                version=1,
                routes=(),
                services={SERVICE: spec},
                limits=CallerLimits(),
            )
        )
        names = ("m1", *(f"unknown{number}" for number in range(NAMES)))
        for name, number in zip(names, itertools.count()):
            dispatcher.submit(
                request(f"q{number}", 0.0, artifact=artifact(name)), 0.0
            )
        items = dispatcher.demand(0.1, full=True)
        self.assertEqual([artifact("m1")], [item.artifact for item in items])

    def test_former_announcements_are_forgotten(self):
        upstreams = fleet(record("u1", "m1"))
        (upstream,) = upstreams.upstreams.values()
        for number in range(NAMES):
            name = artifact("m1", f"a{number}")
            upstream.announce(name, number / PER_S)
            upstream.withdraw(name, number / PER_S)
            upstream.announce(artifact("m1", f"b{number}"), number / PER_S)
        self.assertLess(len(upstream._announced), 100)
        self.assertLess(len(upstream._withdrawn), 100)


class FormerHostsTest(unittest.TestCase):
    """Hosts are replaced by others with new names."""

    def _digests(self):
        for number in range(NAMES):
            digest = LoadDigest(
                host=HostId(f"h{number}"),
                boot=BootId("b"),
                sequence=1,
                crashes={number: 1},
                suspected_parts={PartId(f"p{number}"): PartEvidence({1: 0.0})},
            )
            yield digest, number / PER_S

    def test_loads_and_notices_of_former_hosts_are_forgotten(self):
        loads = PeerLoads()
        for digest, now_s in self._digests():
            loads.apply_digest(digest, now_s)
            for sequence in range(2, 4):
                notice = SendNotice(
                    host=digest.host,
                    boot=digest.boot,
                    sequence=sequence,
                    upstream=UpstreamId("u1"),
                )
                loads.apply_send(notice, now_s)
        bound = PER_S * HOST_RETENTION_S + 1
        self.assertLessEqual(len(loads._digests), bound)
        self.assertLessEqual(len(loads._notices), bound)

    def test_old_notices_of_a_host_without_digests_are_forgotten(self):
        loads = PeerLoads()
        digest, _ = next(self._digests())
        loads.apply_digest(digest, 0.0)
        for number in range(NAMES):
            notice = SendNotice(
                host=digest.host,
                boot=digest.boot,
                sequence=number + 2,
                upstream=UpstreamId("u1"),
            )
            loads.apply_send(notice, number / PER_S)
        self.assertLessEqual(len(loads._notices[digest.host]), PER_S)

    def test_lost_attempts_of_former_hosts_are_forgotten(self):
        suspects = CrashSuspects()
        for digest, now_s in self._digests():
            suspects.apply_counts(digest.host, digest.crashes, now_s)
        bound = PER_S * LOST_ATTEMPT_RETENTION_S + 1
        self.assertLessEqual(len(suspects._remote), bound)

    def test_former_members_and_aggregators_are_forgotten(self):
        aggregator = LoadAggregator()
        for digest, now_s in self._digests():
            aggregator.apply_digest(digest, now_s)
            fields = msgspec.structs.asdict(digest)
            aggregator.apply_domain_loads(DomainLoads(**fields), now_s)
        self.assertLessEqual(len(aggregator._last_seen_s), 2 * PER_S)
        self.assertLessEqual(len(aggregator.aggregators_seen_s), 2 * PER_S)
        bound = PER_S * BEGUN_RETENTION_S + 1
        self.assertLessEqual(len(aggregator._member_parts), bound)
        self.assertLessEqual(len(aggregator._domain_parts), bound)

    def test_former_peers_are_forgotten(self):
        peers = Peers(HostId("h"), "127.0.0.1", 7380, lambda message: None)
        with mock.patch.object(time, "monotonic") as clock:
            for digest, now_s in self._digests():
                clock.return_value = now_s
                peers._receive(encode(digest))
        bound = PER_S * UNREGISTERED_MAX_AGE_S + 1
        self.assertLessEqual(len(peers._last_seen_s), bound)

    def test_former_exclusions_of_aggregators_are_forgotten(self):
        choice = AggregatorChoice(HostId("h"), DomainId("a"))
        for number in range(NAMES // 10):
            # No summary comes from any of them.
            choice.choose({HostId(f"h{number}"): 1.0}, float(number))
        self.assertLessEqual(len(choice._excluded_until_s), EXCLUSION_S + 1)


class BlockedPartTest(unittest.TestCase):

    def test_prompt_parts_that_were_blocked_long_ago_are_forgotten(self):
        guard = CrashGuard()
        for number in range(NAMES // 10):
            now_s = 10.0 * number
            parts = (PartId(f"p{number}"),)
            for engine in range(MAX_CRASHES):
                engine_id = UpstreamId(f"u{number}-{engine}")
                guard.parts.record_crash(parts, engine_id, 1, now_s)
            blocked = request(shared_parts=parts)
            self.assertTrue(guard.is_blocked(blocked, now_s))
        bound = CRASH_RETENTION_S / 10.0 + 1
        self.assertLessEqual(len(guard._blocked_s), bound)


if __name__ == "__main__":
    unittest.main()
