"""A new leader knows for how long models have not been served."""

import time
import unittest

import anyio

from acaciaspoke.gateway.demand import DemandTracker
from acaciaspoke.gateway.messages import (
    ArtifactDemand,
    DemandDigest,
    LoadDigest,
)
from acaciaspoke.gateway.replica_waits import MAX_GAP_S, ReplicaWaits
from acaciaspoke.ids import BootId, HostId, ModelId, UpstreamId
from test.gateway.builders import SERVICE, artifact, fleet, record
from test.gateway.serving import GatewayTest

PEER = HostId("h2")
RARE = ModelId("m9")
STEP_S = 0.1


def _loads(sequence: int, *waiting: str) -> LoadDigest:
    return LoadDigest(
        host=PEER,
        boot=BootId("b"),
        sequence=sequence,
        waiting={ModelId(model): {2: 1} for model in waiting},
    )


def _demand(sequence: int) -> DemandDigest:
    rare = ArtifactDemand(SERVICE, artifact(RARE), 1, 1, 2, 0.0)
    return DemandDigest(
        host=PEER, boot=BootId("b"), sequence=sequence, demand=(rare,)
    )


class FollowerTest(unittest.TestCase):
    """A host measures the times while another one is the leader."""

    def setUp(self):
        self.fleet = fleet(record("u1", "m1"))
        self.is_informed = True
        self.waits = ReplicaWaits(
            self.fleet, lambda: self.local_waiting, lambda _: self.is_informed
        )
        self.local_waiting = ()
        self.now_s = 0.0
        self.sequence = 0

    def _pass(self, duration_s, *waiting):
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            self.sequence += 1
            digest = _loads(self.sequence, *waiting)
            self.fleet.peer_loads.apply_digest(digest, self.now_s)
            self.waits.update(self.now_s)

    def _unserved_s(self):
        """Returns the time with which a new leader would begin."""
        tracker = DemandTracker()
        tracker.apply(_demand(1), self.now_s)
        tracker.forget_unserved_times()
        tracker.adopt_unserved_times(self.waits.times_s(self.now_s), self.now_s)
        return tracker.totals(self.now_s)[artifact(RARE)].unserved_s

    def test_refused_requests_of_another_host_count(self):
        self._pass(12.0, RARE)
        self._pass(1.0)
        self._pass(2.0, RARE)
        self.assertAlmostEqual(14.0, self._unserved_s(), delta=0.5)

    def test_own_requests_count(self):
        self.local_waiting = (RARE,)
        self._pass(5.0)
        self.assertAlmostEqual(5.0, self._unserved_s(), delta=0.5)

    def test_replica_resets_the_time(self):
        self._pass(12.0, RARE)
        self.fleet.put(record("u2", RARE))
        self._pass(STEP_S, RARE)
        self.fleet.remove(UpstreamId("u2"))
        self._pass(2.0, RARE)
        self.assertAlmostEqual(2.0, self._unserved_s(), delta=0.5)

    def test_announced_replica_resets_the_time(self):
        # Records of engines are more than a second behind.
        self._pass(12.0, RARE)
        self.fleet.upstreams[UpstreamId("u1")].announce(
            artifact(RARE), self.now_s
        )
        self._pass(STEP_S, RARE)
        self.assertEqual(0, self._unserved_s())

    def test_host_that_was_suspended_begins_anew(self):
        # A replica may have come and gone meanwhile.
        self._pass(12.0, RARE)
        self.now_s += MAX_GAP_S + STEP_S
        self.assertEqual(0, self._unserved_s())
        self._pass(2.0, RARE)
        self.assertAlmostEqual(2.0, self._unserved_s(), delta=0.5)

    def test_host_that_hears_nothing_begins_anew(self):
        self._pass(12.0, RARE)
        self.is_informed = False
        self._pass(5.0, RARE)
        self.assertEqual(0, self._unserved_s())
        self.is_informed = True
        self._pass(2.0, RARE)
        self.assertAlmostEqual(2.0, self._unserved_s(), delta=0.5)


class HandoverTest(GatewayTest):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.leader = self.gateway._leader
        self.sequence = 0
        await self.eventually(lambda: self.leader.holds_lease)

    async def _wait_at_peer(self, duration_s):
        """Has a request for the model wait at another host."""
        started_s = time.monotonic()
        while time.monotonic() - started_s < duration_s:
            self.sequence += 1
            self.gateway._router.handle(_loads(self.sequence, RARE))
            await anyio.sleep(STEP_S)

    async def _acquire_lease_again(self):
        self.leader._led_epoch = 0
        self.leader.lease._tokens.epoch = 2
        self.leader._update_epoch()
        self.leader._no_orders_until_s = 0.0
        async with anyio.create_task_group() as tasks:
            self.leader._step(tasks)

    def _unserved_s(self):
        self.sequence += 1
        now_s = time.monotonic()
        self.leader.demand.apply(_demand(self.sequence), now_s)
        return self.leader.demand.totals(now_s)[artifact(RARE)].unserved_s

    async def test_model_is_not_forgotten_at_a_change_of_the_holder(self):
        # Each new leader began with a time of 0, so that the gain of a rarely
        # used model never exceeded the cost of its load.
        await self._wait_at_peer(3.0)
        await self._acquire_lease_again()
        self.assertGreater(self._unserved_s(), 2.0)

    async def test_times_of_an_earlier_epoch_are_not_used_again(self):
        # Another leader may have served the model meanwhile.
        self._unserved_s()
        await self._wait_at_peer(2.0)
        self.assertGreater(self._unserved_s(), 0.5)
        engine = self.gateway._dispatcher.fleet.upstreams["llm1"]
        engine.announce(artifact(RARE), time.monotonic())
        await anyio.sleep(0.5)
        await self._acquire_lease_again()
        self.assertLess(self._unserved_s(), 0.5)


if __name__ == "__main__":
    unittest.main()
