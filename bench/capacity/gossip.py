"""Membership gossip: processor time and bytes per host."""

import time
from collections.abc import Iterator

from bench import gossip
from bench.result import Result
from test.fakes import FakeNetwork

MEMBERS = (10, 50, 150, 300)
SETTLE_S = 40.0
MEASURED_S = 15.0
FOREIGN_DOMAINS = (0, 6)


def run() -> Iterator[Result]:
    """Measures domains of several sizes, with and without other domains.

    The processor time includes that of the fake network's queue, which is small
    compared to encoding and decisions.
    """
    for members in MEMBERS:
        for domains in FOREIGN_DOMAINS if members == 50 else (6,):
            yield from _measure(members, domains)


def _measure(members: int, domains: int) -> Iterator[Result]:
    network = FakeNetwork(1)
    hosts = [gossip.member(f"az1-host-{n:04}", n) for n in range(members)]
    foreign = [
        gossip.member(f"az{d + 2}-host-{n:04}", 1024 + 16 * d + n)
        for d in range(domains)
        for n in range(gossip.FOREIGN_HOSTS)
    ]
    seeds = [item.address for item in (hosts[0], *foreign)]
    for host in hosts + foreign:
        gossip.start(network, host, seeds)
    network.run(SETTLE_S)
    before = gossip.traffic(network, hosts)
    start_s = time.process_time()
    network.run(MEASURED_S)
    cpu_s = time.process_time() - start_s
    after = gossip.traffic(network, hosts)
    name = f"gossip.{members}_members.{domains}_other_domains"
    yield Result(
        name=f"{name}.cpu",
        value=cpu_s / len(hosts + foreign) / MEASURED_S * 100,
        unit="% of a core per host",
    )
    yield Result(
        name=f"{name}.traffic",
        value=(sum(after) - sum(before)) / members / MEASURED_S,
        unit="B/s per host, sent and received",
    )
