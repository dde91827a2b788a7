"""Tests of membership on a virtual clock and a faulty network."""

import random
import unittest

from acaciaspoke.control.membership import Membership
from acaciaspoke.entry.suspects import merge_suspicions
from acaciaspoke.ids import (
    Address,
    BootId,
    DomainId,
    Fingerprint,
    HostId,
    UpstreamId,
)
from acaciaspoke.net.messages import Ack, Ping
from acaciaspoke.net.records import (
    LeavingNotice,
    Member,
    MemberState,
    Suspicion,
)
from test.fakes import FakeNetwork


class Cluster:
    """Membership instances on a simulated network."""

    def __init__(self, counts: dict[str, int], *, seed: int = 1, **network):
        self.net = FakeNetwork(seed, **network)
        self.nodes: dict[str, Membership] = {}
        self.started = 0
        self.seeds = [self.address(f"{domain}-0") for domain in counts]
        for domain, count in counts.items():
            for index in range(count):
                self.start(f"{domain}-{index}")

    @staticmethod
    def address(name: str) -> Address:
        return Address(f"tcp://{name}")

    def start(self, name: str) -> None:
        self.started += 1
        me = Member(
            host=HostId(name),
            boot=BootId(f"boot{self.started}"),
            failure_domain=DomainId(name.partition("-")[0]),
            address=self.address(name),
            admin_address="127.0.0.1:1",
            entry_processes=1,
        )
        rng = random.Random(self.started)
        node = Membership(me, self.seeds, rng, merge_suspicions, self.net.now_s)
        self.nodes[name] = node

        def handle(message, now_s):
            if isinstance(message, Ping):
                return node.on_ping(message, now_s)
            if isinstance(message, Ack):
                return node.on_ack(message, now_s)
            return node.on_ping_request(message, now_s)

        self.net.add(me.address, handle, node.tick)

    def stop(self, name: str) -> None:
        self.net.down.add(self.address(name))
        del self.nodes[name]

    def live(self, name: str) -> set[str]:
        return {member.host for member in self.nodes[name].live()}

    def state(self, viewer: str, name: str) -> MemberState | None:
        for member in self.nodes[viewer].known():
            if member.host == name:
                return member.state
        return None

    def run_until(self, condition, limit_s: float) -> float:
        """Runs until the condition holds; returns how long that took."""
        start_s = self.net.now_s
        while not condition():
            if self.net.now_s - start_s > limit_s:
                raise AssertionError(f"not reached within {limit_s} s")
            self.net.run(0.1)
        return self.net.now_s - start_s

    def views_agree(self) -> bool:
        """Returns whether each node's live members are the running ones."""
        running = set(self.nodes)
        return all(
            self.live(name)
            == {
                other
                for other in running
                if other.partition("-")[0] == name.partition("-")[0]
            }
            for name in running
        )


class MembershipTest(unittest.TestCase):

    def test_joins_through_one_seed(self):
        """Guards against new hosts that never receive unchanged members."""
        cluster = Cluster({"a": 60})
        cluster.run_until(cluster.views_agree, 15)
        cluster.start("a-new")
        cluster.run_until(cluster.views_agree, 10)

    def test_lost_probes_cause_no_false_failures(self):
        """Guards against members declared dead at 10% message loss."""
        cluster = Cluster({"a": 9}, loss=0.1, repeats=0.1)
        cluster.run_until(cluster.views_agree, 20)
        for _ in range(300):
            cluster.net.run(1)
            self.assertTrue(cluster.views_agree())

    def test_two_members_fail_together(self):
        """Guards against a failed indirect prober that hides a failure."""
        cluster = Cluster({"a": 9}, loss=0.05)
        cluster.run_until(cluster.views_agree, 20)
        cluster.stop("a-3")
        cluster.stop("a-4")
        cluster.run_until(cluster.views_agree, 20)

    def test_resumed_member_refutes_its_suspicion(self):
        """Guards against a member declared dead after a short pause."""
        cluster = Cluster({"a": 9})
        cluster.run_until(cluster.views_agree, 20)
        paused = cluster.address("a-5")
        cluster.net.paused.add(paused)
        suspected = MemberState.SUSPECT
        cluster.run_until(lambda: cluster.state("a-1", "a-5") is suspected, 10)
        cluster.net.paused.clear()
        cluster.run_until(
            lambda: all(
                cluster.state(name, "a-5") is MemberState.ALIVE
                for name in cluster.nodes
            ),
            10,
        )
        self.assertGreater(cluster.nodes["a-5"].me.incarnation, 0)

    def test_member_resumed_after_a_long_pause(self):
        """Guards against a resumed member that suspects all its peers."""
        cluster = Cluster({"a": 9})
        cluster.run_until(cluster.views_agree, 20)
        cluster.net.paused.add(cluster.address("a-5"))
        cluster.run_until(lambda: "a-5" not in cluster.live("a-1"), 20)
        cluster.net.run(20)
        cluster.net.paused.clear()
        for _ in range(200):
            cluster.net.run(0.1)
            for name in cluster.nodes:
                self.assertLessEqual(
                    set(cluster.nodes) - cluster.live(name), {"a-5"}
                )
        self.assertTrue(cluster.views_agree())

    def test_restart_with_new_boot(self):
        """Guards against a new boot hidden by a dead record of the old one."""
        for pause_s in (0.0, 30.0):
            with self.subTest(pause_s=pause_s):
                self.check_restart(pause_s)

    def check_restart(self, pause_s: float):
        cluster = Cluster({"a": 9})
        cluster.run_until(cluster.views_agree, 20)
        cluster.stop("a-2")
        cluster.net.run(pause_s)
        cluster.start("a-2")
        boot = cluster.nodes["a-2"].me.boot

        def is_known_to(node: Membership) -> bool:
            return any(member.boot == boot for member in node.live())

        cluster.run_until(
            lambda: all(map(is_known_to, cluster.nodes.values())), 10
        )
        cluster.run_until(cluster.views_agree, 10)

    def test_leaving_member_is_not_suspected(self):
        """Guards against a planned stop that is handled as a failure."""
        cluster = Cluster({"a": 9})
        cluster.run_until(cluster.views_agree, 20)
        leaver = cluster.nodes["a-2"]
        cluster.net.send(leaver.me.address, leaver.leave())
        cluster.run_until(
            lambda: all(
                "a-2" not in cluster.live(name)
                for name in cluster.nodes
                if name != "a-2"
            ),
            5,
        )
        self.assertIs(cluster.state("a-1", "a-2"), MemberState.LEAVING)
        cluster.stop("a-2")
        cluster.net.run(30)
        self.assertIsNone(cluster.state("a-1", "a-2"))

    def test_partition_inside_a_domain_heals(self):
        """Guards against halves that stay dead to each other after it heals."""
        cluster = Cluster({"a": 30})
        cluster.run_until(cluster.views_agree, 20)
        halves = [
            [
                cluster.address(f"a-{index}")
                for index in range(30)
                if in_half(index)
            ]
            for in_half in (lambda index: index < 15, lambda index: index >= 15)
        ]
        cluster.net.partition(*halves)
        cluster.run_until(lambda: len(cluster.live("a-0")) == 15, 60)
        cluster.net.run(120)
        cluster.net.partition()
        cluster.run_until(cluster.views_agree, 20)

    def test_partition_between_domains_heals(self):
        """Guards against a domain that stays unreachable after a partition."""
        cluster = Cluster({"a": 4, "b": 4, "c": 4})
        cluster.net.run(10)

        def all_reach(count: int) -> bool:
            now_s = cluster.net.now_s
            return all(
                len(cluster.nodes[name].live_domains(now_s)) == count
                for name in ("a-0", "b-1", "c-2")
            )

        cluster.run_until(lambda: all_reach(3), 10)
        cluster.net.partition(
            *[
                [cluster.address(f"{domain}-{index}") for index in range(4)]
                for domain in "abc"
            ]
        )
        cluster.run_until(lambda: all_reach(1), 30)
        cluster.net.run(300)
        cluster.net.partition()
        cluster.run_until(lambda: all_reach(3), 15)

    def test_notice_reaches_everyone_in_time(self):
        """Guards against a late notice at hosts cut off from the platform."""
        cluster = Cluster({"a": 60, "b": 5}, loss=0.05)
        cluster.net.run(20)
        notice = LeavingNotice(
            upstream=UpstreamId("u1"), leaving=True, list_revision=7
        )
        cluster.nodes["a-7"].record_leaving_notices([notice])
        cluster.run_until(
            lambda: all(
                notice in node.notices() for node in cluster.nodes.values()
            ),
            5,
        )

    def test_joining_host_receives_old_notices(self):
        """Guards against notices that only reach hosts that run at the time."""
        cluster = Cluster({"a": 5})
        cluster.net.run(10)
        notice = LeavingNotice(
            upstream=UpstreamId("u1"), leaving=True, list_revision=7
        )
        cluster.nodes["a-1"].record_leaving_notices([notice])
        cluster.net.run(60)
        cluster.start("a-new")
        cluster.run_until(lambda: notice in cluster.nodes["a-new"].notices(), 5)

    def test_older_notice_is_ignored(self):
        """Guards against a late message that overrides a newer host list."""
        node = Cluster({"a": 1}).nodes["a-0"]
        newer = LeavingNotice(
            upstream=UpstreamId("u1"), leaving=True, list_revision=7
        )
        older = LeavingNotice(
            upstream=UpstreamId("u1"), leaving=False, list_revision=6
        )
        node.record_leaving_notices([newer, older])
        self.assertEqual(node.notices(), [newer])

    def test_suspicions_from_two_hosts_are_merged(self):
        """Guards against one host's crashes that replace another's."""
        cluster = Cluster({"a": 9}, loss=0.05)
        cluster.net.run(10)
        for name in ("a-1", "a-2"):
            suspicion = Suspicion(
                fingerprint=Fingerprint("f"), crashes={name: True}
            )
            cluster.nodes[name].record_suspicions(
                [suspicion], cluster.net.now_s
            )

        cleared = Suspicion(
            fingerprint=Fingerprint("f"),
            crashes={"a-1": True},
            voided=("a-1",),
        )
        cluster.nodes["a-3"].record_suspicions([cleared], cluster.net.now_s)

        def is_merged() -> bool:
            return all(
                [
                    (sorted(item.crashes), item.voided)
                    for item in node.suspicions(0.0)
                ]
                == [(["a-1", "a-2"], ("a-1",))]
                for node in cluster.nodes.values()
            )

        cluster.run_until(is_merged, 5)
