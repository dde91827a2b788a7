"""Traffic of membership gossip per host, with real encoding."""

import random
from collections.abc import Iterator

from acaciaspoke.control.membership import Membership
from acaciaspoke.ids import Address, BootId, DomainId, HostId, UpstreamId
from acaciaspoke.net.messages import Ack, Ping
from acaciaspoke.net.records import LeavingNotice, Member
from bench.result import Result
from test.fakes import FakeNetwork

MEMBER_COUNTS = (10, 50, 300)
# All sizes take more than a minute.
SHORT_MEMBER_COUNTS = (10,)
FOREIGN_DOMAINS = 6
FOREIGN_HOSTS = 2
SETTLE_S = 60.0
MEASURED_S = 30.0

# Bound of all control traffic of a host, sent and received.
BOUND_BYTES_PER_S = 27_000.0

# Restarts are much more frequent than at the target size: 2,000 per day in 7
# domains are one per 300 s in a domain.
RESTART_INTERVAL_S = 10.0
NOTICES_PER_RESTART = 5


def member(name: str, number: int, boot: int = 0) -> Member:
    """Returns the member record of a host; the name begins with its domain."""
    return Member(
        host=HostId(name),
        boot=BootId(f"{number + 4096 * boot:032x}"),
        failure_domain=DomainId(name.partition("-host-")[0]),
        address=Address(f"tcp://10.{number >> 8}.{number & 255}.1:7000"),
        admin_address=f"10.{number >> 8}.{number & 255}.1:7001",
        entry_processes=4,
    )


def start(network: FakeNetwork, me: Member, seeds: list[Address]):
    """Adds a host to the network, or replaces it as a restart does."""
    membership = Membership(
        me,
        seeds,
        random.Random(me.boot),
        lambda _mine, theirs: theirs,
        network.now_s,
    )

    def handle(message, now_s):
        if isinstance(message, Ping):
            return membership.on_ping(message, now_s)
        if isinstance(message, Ack):
            return membership.on_ack(message, now_s)
        return membership.on_ping_request(message, now_s)

    network.add(me.address, handle, membership.tick)
    return membership


def traffic(network: FakeNetwork, hosts: list[Member]) -> list[float]:
    """Returns the bytes that each host has sent and received."""
    return [
        network.sent_bytes[host.address] + network.received_bytes[host.address]
        for host in hosts
    ]


def _measure(count: int, churn: bool) -> tuple[float, float]:
    """Returns the mean and the maximum of the hosts' bytes per second."""
    network = FakeNetwork(1)
    hosts = [member(f"az1-host-{i:04}", i) for i in range(count)]
    foreign = [
        member(f"az{domain + 2}-host-{i:04}", 1024 + 16 * domain + i)
        for domain in range(FOREIGN_DOMAINS)
        for i in range(FOREIGN_HOSTS)
    ]
    seeds = [hosts[0].address, *(host.address for host in foreign)]
    memberships = [start(network, host, seeds) for host in hosts + foreign]
    network.run(SETTLE_S)
    before = traffic(network, hosts)
    steps = int(MEASURED_S / RESTART_INTERVAL_S)
    for step in range(steps):
        if churn:
            restarted = hosts[1 + step]
            start(network, member(restarted.host, 1 + step, boot=1), seeds)
            memberships[0].record_leaving_notices(
                LeavingNotice(
                    upstream=UpstreamId(f"az1-engine-{step:02}-{i:02}"),
                    leaving=True,
                    list_revision=step + 1,
                )
                for i in range(NOTICES_PER_RESTART)
            )
        network.run(RESTART_INTERVAL_S)
    # The seed and the restarted hosts are included.
    rates = [
        (after - earlier) / (steps * RESTART_INTERVAL_S)
        for earlier, after in zip(before, traffic(network, hosts), strict=True)
    ]
    return sum(rates) / len(rates), max(rates)


def run(short: bool = False) -> Iterator[Result]:
    """Measures a domain without and with restarts and leaving upstreams."""
    for count in SHORT_MEMBER_COUNTS if short else MEMBER_COUNTS:
        for churn in (False, True):
            mean, largest = _measure(count, churn)
            name = f"gossip.{count}.{'churn' if churn else 'quiet'}"
            unit = "B/s per host, sent and received"
            yield Result(
                name=f"{name}.mean",
                value=mean,
                unit=unit,
                bound=BOUND_BYTES_PER_S,
            )
            yield Result(
                name=f"{name}.max",
                value=largest,
                unit=unit,
                bound=BOUND_BYTES_PER_S,
            )
