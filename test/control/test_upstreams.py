"""Tests of the states of upstreams and of the distribution of reports."""

import random
import unittest

from acaciaspoke.clients.hosts import HostEntry, HostState
from acaciaspoke.config.schema import Upstream
from acaciaspoke.control.hostlist import MAX_LIST_LAG_S, HostListWatch
from acaciaspoke.control.knownupstream import content_hash
from acaciaspoke.control.membership import Membership
from acaciaspoke.control.reports import ReportDistributor
from acaciaspoke.control.upstreams import Upstreams
from acaciaspoke.ids import (
    Address,
    ArtifactName,
    BootId,
    DomainId,
    HostId,
    ServiceId,
    UpstreamId,
)
from acaciaspoke.net.messages import (
    Ack,
    ConnectionLost,
    Ping,
    PingRequest,
    UpstreamLoads,
    UpstreamPull,
    UpstreamReports,
)
from acaciaspoke.net.records import (
    EngineReport,
    LeavingNotice,
    Load,
    Member,
    Resident,
    UpstreamState,
    UpstreamView,
)
from acaciaspoke.util.rendezvous import choose
from test.fakes import FakeNetwork

U1 = UpstreamId("a-u1")
LIVE, SUSPECT = UpstreamState.LIVE, UpstreamState.SUSPECT


def config(*upstreams: str) -> dict[UpstreamId, Upstream]:
    return {
        UpstreamId(name): Upstream(
            service=ServiceId("llm"),
            failure_domain=DomainId(name.partition("-")[0]),
            address=f"10.0.0.{index + 1}:9000",
        )
        for index, name in enumerate(upstreams)
    }


def report(boot: str, sequence: int, running: int = 0, *names: str):
    return EngineReport(
        boot_id=BootId(boot),
        sequence=sequence,
        running=running,
        resident=tuple(
            Resident(name=ArtifactName(name), version="1", memory_bytes=1)
            for name in names
        ),
    )


def notice(leaving: bool, revision: int, upstream=U1) -> LeavingNotice:
    return LeavingNotice(
        upstream=upstream, leaving=leaving, list_revision=revision
    )


def make() -> Upstreams:
    upstreams = Upstreams(HostId("a-0"), DomainId("a"), random.Random(1))
    upstreams.set_config(config(U1), 0.0)
    upstreams.rank_pollers()
    return upstreams


def member(host: str) -> Member:
    return Member(
        host=HostId(host),
        boot=BootId(host),
        failure_domain=DomainId("a"),
        address=Address(f"tcp://{host}"),
        admin_address="10.0.0.1:1",
    )


class LifecycleTest(unittest.TestCase):

    def test_older_report_changes_nothing(self):
        """Guards against a late answer that replaces a newer report."""
        upstreams = make()
        upstreams.on_report(U1, report("b1", 5, 3), 1.0)
        self.assertFalse(upstreams.on_report(U1, report("b1", 4, 9), 2.0))
        upstreams.on_report(U1, report("b2", 1, 1), 3.0)
        # The earlier boot answered late, with a higher sequence.
        self.assertFalse(upstreams.on_report(U1, report("b1", 6, 9), 4.0))
        stale = Load(content_hash(BootId("b1"), {}), 7, 9, 9, 0)
        upstreams.on_load(U1, stale, 5.0)
        view = upstreams.view(U1, 5.0)
        self.assertEqual((view.boot_id, view.running), ("b2", 1))
        self.assertEqual(upstreams.report(U1).boot_id, "b2")

    def test_one_missed_poll_is_no_failure(self):
        """Guards against a lost answer that makes an upstream suspect."""
        upstreams = make()
        upstreams.on_report(U1, report("b1", 1), 1.0)
        upstreams.on_poll_failed(U1, 2.5)
        self.assertIs(upstreams.state(U1), LIVE)
        upstreams.on_poll_failed(U1, 3.5)
        self.assertIs(upstreams.state(U1), SUSPECT)
        upstreams.on_report(U1, report("b1", 2), 4.0)
        self.assertIs(upstreams.state(U1), LIVE)

    def test_only_a_later_report_clears_a_suspicion(self):
        """Guards against a report from before a crash that clears it."""
        upstreams = make()
        upstreams.on_report(U1, report("b1", 1), 1.0)
        lost = ConnectionLost(upstream=U1, boot_id=BootId("b1"))
        upstreams.on_connection_lost(lost, 2.0)
        upstreams.on_report(U1, report("b1", 2), 1.9)
        self.assertIs(upstreams.state(U1), SUSPECT)
        upstreams.on_report(U1, report("b2", 1), 2.5)
        self.assertIs(upstreams.state(U1), LIVE)
        # A late message about a boot that is known to have ended.
        upstreams.on_connection_lost(lost, 3.0)
        self.assertIs(upstreams.state(U1), LIVE)

    def test_old_suspicion_of_a_peer_is_ignored(self):
        """Guards against a repeated message that makes it suspect."""
        upstreams = make()
        upstreams.on_report(U1, report("b1", 1), 1.0)
        suspicion = UpstreamView(
            upstream=U1, state=SUSPECT, boot_id=BootId("b1"), sequence=1
        )
        upstreams.on_view(suspicion, 1.5)
        self.assertIs(upstreams.state(U1), SUSPECT)
        upstreams.on_report(U1, report("b1", 9), 9.0)
        late = UpstreamView(
            upstream=U1,
            state=SUSPECT,
            boot_id=BootId("b1"),
            sequence=1,
            report_age_s=8.5,
        )
        upstreams.on_view(late, 9.5)
        self.assertIs(upstreams.state(U1), LIVE)

    def test_leaving_stays_until_a_notice_revokes_it(self):
        """Guards against a report that makes a leaving upstream live."""
        upstreams = make()
        upstreams.on_notices([notice(True, 1)])
        upstreams.on_report(U1, report("b1", 1), 1.0)
        upstreams.on_poll_failed(U1, 9.0)
        self.assertIs(upstreams.state(U1), UpstreamState.LEAVING)
        upstreams.set_config({}, 9.0)
        upstreams.set_config(config(U1), 9.0)
        self.assertIs(upstreams.state(U1), UpstreamState.LEAVING)
        upstreams.on_notices([notice(False, 2)])
        self.assertIs(upstreams.state(U1), UpstreamState.UNKNOWN)

    def test_fleet_views_contain_only_changes(self):
        """Guards against the whole fleet in each message."""
        names = [f"a-u{index}" for index in range(600)]
        upstreams = make()
        upstreams.set_config(config(*names), 0.0)
        views, change = upstreams.fleet_views(0, 4, 1.0)
        self.assertEqual(
            [len(view.upstreams) for view in views], [256, 256, 88]
        )
        upstreams.on_report(U1, report("b1", 1), 1.0)
        [view], change = upstreams.fleet_views(change, 4, 1.5)
        self.assertEqual([item.upstream for item in view.upstreams], [U1])
        self.assertEqual(view.upstreams[0].report_age_s, 0.5)
        [view], _ = upstreams.fleet_views(change, 4, 2.0)
        self.assertEqual((view.upstreams, view.entry_processes), ((), 4))


class PollersTest(unittest.TestCase):

    def test_pollers_follow_changes_of_the_hosts(self):
        """Guards against hosts that disagree about pollers."""
        rng = random.Random(4)
        names = [f"a-u{index}" for index in range(100)]
        upstreams = make()
        upstreams.set_config(config(*names), 0.0)
        others = [f"a-{number}" for number in range(1, 40)]
        for _ in range(60):
            some = rng.sample(others, rng.randrange(len(others)))
            for part in (some, some[:-1], some):
                hosts = sorted(["a-0", *part])
                upstreams.set_members(map(member, hosts))
                if rng.random() < 0.5:
                    upstreams.rank_pollers()
            for _ in range(2):
                upstreams.rank_pollers()
            for name in names:
                expected = choose(f"poll/{name}", hosts, 2)
                self.assertEqual(list(upstreams.pollers(name)), expected)
                polls = name in upstreams.polled()
                self.assertEqual(polls, "a-0" in expected)

    def test_frequent_changes_leave_no_upstream_without_pollers(self):
        """Guards against upstreams without pollers while a domain restarts."""
        names = [f"a-u{index}" for index in range(300)]
        upstreams = make()
        upstreams.set_config(config(*names), 0.0)
        for number in range(10):
            hosts = ["a-0", f"a-{1 + number}", f"a-{2 + number}"]
            upstreams.set_members(map(member, hosts))
            upstreams.rank_pollers()
        for name in names:
            self.assertEqual(len(upstreams.pollers(name)), 2, name)


class HostListTest(unittest.TestCase):

    def setUp(self):
        self.upstreams = config("a-u1", "a-u2", "a-u3")
        self.watch = HostListWatch()

    def on_list(self, now_s: float, known=(), **states: HostState):
        entries = [
            HostEntry(
                address=self.upstreams[UpstreamId(f"a-{name}")].address,
                failure_domain=DomainId("a"),
                state=state,
                role="",
            )
            for name, state in states.items()
        ]
        return self.watch.on_list(entries, self.upstreams, known, now_s)

    def test_leaving_and_removed(self):
        """Guards against upstreams that drop off the list unnoticed."""
        live = HostState.LIVE
        self.assertEqual(self.on_list(0, u1=live, u2=live, u3=live), [])
        self.assertEqual(
            self.on_list(1, u1=HostState.LEAVING, u2=live),
            [notice(True, 1), notice(True, 1, UpstreamId("a-u3"))],
        )

    def test_truncated_list(self):
        """Guards against a faulty list that removes the whole fleet."""
        live = HostState.LIVE
        self.on_list(0, u1=live, u2=live, u3=live)
        self.assertEqual(self.on_list(1, u1=live), [])
        self.assertEqual(self.on_list(2), [])

    def test_lagging_list_does_not_contradict_peers(self):
        """Guards against hosts that override each other's notices."""
        live = HostState.LIVE
        self.on_list(0, u1=live)
        known = [notice(True, 4)]
        self.assertEqual(self.on_list(1, known, u1=live), [])
        self.assertEqual(self.on_list(MAX_LIST_LAG_S - 1, known, u1=live), [])
        self.assertEqual(
            self.on_list(MAX_LIST_LAG_S, known, u1=live), [notice(False, 5)]
        )


class Fleet:
    """Hosts with membership, upstreams and reports, and engines to poll."""

    def __init__(self, hosts: list[str], upstreams: list[str], **network):
        self.net = FakeNetwork(1, **network)
        self.engines = {UpstreamId(name): ["b1", 0] for name in upstreams}
        self.unreachable: set[tuple[str, str]] = set()
        self.config = config(*upstreams)
        self.hosts: dict[str, Upstreams] = {}
        self.members: dict[str, Membership] = {}
        self.seeds = [Address(f"tcp://{name}") for name in hosts]
        for name in hosts:
            self.start(name)

    def start(self, name: str):
        rng = random.Random(name)
        me = Member(
            host=HostId(name),
            boot=BootId(f"boot{self.net.now_s}"),
            failure_domain=DomainId(name.partition("-")[0]),
            address=Address(f"tcp://{name}"),
            admin_address="127.0.0.1:1",
        )
        node = Membership(
            me, self.seeds, rng, lambda _, item: item, self.net.now_s
        )
        upstreams = Upstreams(me.host, me.failure_domain, rng)
        upstreams.set_config(self.config, self.net.now_s)
        distributor = ReportDistributor(me, upstreams, rng)
        self.hosts[name], self.members[name] = upstreams, node
        handlers = {
            Ping: node.on_ping,
            Ack: node.on_ack,
            PingRequest: node.on_ping_request,
            UpstreamReports: distributor.on_reports,
            UpstreamLoads: distributor.on_loads,
            UpstreamPull: distributor.on_pull,
        }

        def tick(now_s):
            outgoing = node.tick(now_s)
            upstreams.set_members(node.live())
            distributor.set_members(node.live())
            upstreams.on_notices(node.notices())
            upstreams.rank_pollers()
            for upstream in upstreams.polls_due(now_s):
                self.poll(name, upstream, now_s)
            return outgoing + distributor.tick(node.foreign_contacts(), now_s)

        self.net.add(
            me.address, lambda m, now_s: handlers[type(m)](m, now_s) or [], tick
        )

    def poll(self, name: str, upstream: UpstreamId, now_s: float):
        engine = self.engines[upstream]
        if engine[0] and (name, upstream) not in self.unreachable:
            engine[1] += 1
            answer = report(engine[0], engine[1], engine[1], "m")
            self.hosts[name].on_report(upstream, answer, now_s)
        else:
            self.hosts[name].on_poll_failed(upstream, now_s)

    def states(self, upstream=U1) -> set[UpstreamState | None]:
        return {host.state(upstream) for host in self.hosts.values()}

    def until(self, state: UpstreamState, limit_s: float, upstream=U1):
        start_s = self.net.now_s
        while self.states(upstream) != {state}:
            if self.net.now_s - start_s > limit_s:
                raise AssertionError(f"{self.states(upstream)} at {limit_s} s")
            self.net.run(0.1)


HOSTS = [f"a-{index}" for index in range(8)]


class DistributionTest(unittest.TestCase):

    def test_two_hosts_poll_and_all_get_reports(self):
        """Guards against an engine that each host of its domain polls."""
        fleet = Fleet(HOSTS, ["a-u1", "a-u2"], loss=0.05, repeats=0.1)
        fleet.until(LIVE, 15)
        fleet.net.run(10)
        before = fleet.engines[U1][1]
        fleet.net.run(20)
        self.assertLessEqual(fleet.engines[U1][1] - before, 42)
        now_s = fleet.net.now_s
        for host in fleet.hosts.values():
            view = host.view(U1, now_s)
            self.assertLess(view.report_age_s, 5)
            self.assertEqual(view.resident, {"m": "1"})

    def test_dead_and_restarted_upstream(self):
        """Guards against hosts that keep a dead upstream live."""
        fleet = Fleet(HOSTS, ["a-u1"], loss=0.05)
        fleet.until(LIVE, 15)
        fleet.engines[U1] = ["", 0]
        fleet.until(SUSPECT, 8)
        fleet.net.run(20)
        self.assertEqual(fleet.states(), {SUSPECT})
        fleet.engines[U1] = ["b2", 0]
        fleet.until(LIVE, 5)

    def test_broken_link_of_one_poller(self):
        """Guards against one host's link that makes an upstream suspect."""
        fleet = Fleet(HOSTS, ["a-u1"])
        fleet.until(LIVE, 15)
        for poller in fleet.hosts["a-0"].pollers(U1):
            fleet.unreachable = {(poller, U1)}
            for _ in range(150):
                fleet.net.run(0.1)
                self.assertEqual(fleet.states(), {LIVE})

    def test_pollers_fail(self):
        """Guards against reports that stop with the hosts that poll."""
        fleet = Fleet(HOSTS, ["a-u1"])
        fleet.until(LIVE, 15)
        for poller in fleet.hosts["a-0"].pollers(U1):
            fleet.net.down.add(Address(f"tcp://{poller}"))
            del fleet.hosts[poller]
        fleet.net.run(20)
        for host in fleet.hosts.values():
            self.assertLess(host.view(U1, fleet.net.now_s).report_age_s, 5)

    def test_leaving_notice_received_only_from_a_peer(self):
        """Guards against new work for a leaving upstream after 5 s."""
        fleet = Fleet([*HOSTS, "b-0", "b-1"], ["a-u1"], loss=0.05)
        fleet.until(LIVE, 150)
        fleet.members["a-3"].record_leaving_notices([notice(True, 1)])
        fleet.until(UpstreamState.LEAVING, 5)

    def test_restarted_host_and_other_domain(self):
        """Guards against hosts that miss what was sent before they started."""
        fleet = Fleet([*HOSTS, "b-0", "b-1", "b-2"], ["a-u1", "b-u1"])
        fleet.until(LIVE, 30)
        fleet.until(LIVE, 30, UpstreamId("b-u1"))
        fleet.start("a-1")
        fleet.until(LIVE, 5)
