"""Cost of tracking the upstreams, for hosts and entry processes."""

import random
import time
from collections.abc import Iterator

import anyio
import msgspec

from acaciaspoke.clients.hosts import HostsClient, parse_hosts
from acaciaspoke.control.fleetwatch import REFRESH_INTERVAL_S
from acaciaspoke.control.hostlist import HostListWatch
from acaciaspoke.control.polling import Poller
from acaciaspoke.control.reports import ReportDistributor
from acaciaspoke.control.upstreams import Upstreams
from acaciaspoke.entry.routing import Fleet
from acaciaspoke.ids import Address, BootId, HostId
from acaciaspoke.net.messages import UpstreamReports, decode, encode
from acaciaspoke.net.records import Member, UpstreamView
from acaciaspoke.util.http import HttpResponse
from acaciaspoke.util.metrics import Metrics
from bench.capacity import scale
from bench.capacity.measure import allocated_bytes, cpu_s, ms, size
from bench.capacity.processes import standin
from bench.result import Result

UPSTREAMS = (12, 786, 5500)
TICKS_PER_S = 10
POLLS = 300
FETCHES = 20

# Numbers of hosts and upstreams of a failure domain.
DISTRIBUTIONS = ((3, 4), (72, 197), (286, 786))
DISTRIBUTION_SETTLE_S = 60.0
DISTRIBUTION_S = 60.0


def run() -> Iterator[Result]:
    """Measures views, their distribution in a failure domain, and polls."""
    for count in UPSTREAMS:
        yield from _views(count)
    for hosts, upstreams in DISTRIBUTIONS:
        yield from _distribution(hosts, upstreams)
    yield from _polls()
    for count in UPSTREAMS:
        yield from _host_list(count)


def _host_list(count: int) -> Iterator[Result]:
    """Measures the cost of the host list, which a host reads each second."""
    config = scale.config(_size_of(count))
    body = msgspec.json.encode(
        [
            {
                "targets": [upstream.address],
                "labels": {
                    "failure_domain": upstream.failure_domain,
                    "state": "live",
                    "role": "engine",
                },
            }
            for upstream in config.upstreams.values()
        ]
    )
    watch = HostListWatch()
    name = f"host_list.{count}_upstreams"
    yield size(name, len(body))
    yield ms(f"{name}.parse", cpu_s(lambda: parse_hosts(body)))
    again_s = anyio.run(_fetch_again_s, body)
    yield ms(f"{name}.fetch_unchanged", again_s)
    entries = parse_hosts(body)
    yield ms(
        f"{name}.compare",
        cpu_s(lambda: watch.on_list(entries, config.upstreams, (), 1.0)),
    )


async def _fetch_again_s(body: bytes) -> float:
    """Returns the processor time of a fetch without the HTTP request."""

    class Answers:

        async def request(self, _method: str, _path: str):
            # A new bytes object, as for a response from the network.
            return HttpResponse(200, bytes(bytearray(body)))

    client = HostsClient("127.0.0.1:1", 1.0, Metrics())
    client._http = Answers()
    await client.fetch()
    start_s = time.process_time()
    for _ in range(FETCHES):
        await client.fetch()
    return (time.process_time() - start_s) / FETCHES


def _size_of(upstreams: int) -> scale.Size:
    share = upstreams / scale.TARGET.upstreams
    if upstreams == scale.TODAY.upstreams:
        return scale.TODAY
    return scale.Size(
        round(scale.TARGET.models * share),
        round(scale.TARGET.adapters * share),
        upstreams,
    )


def _upstreams_with(config, views) -> Upstreams:
    upstreams = Upstreams(HostId("h"), scale.LOCAL_DOMAIN, random.Random(1))
    upstreams.set_config(config.upstreams, 0.0)
    for view in views:
        upstreams.on_view(view, 0.0)
    return upstreams


def _views(count: int) -> Iterator[Result]:
    name = f"fleet.{count}_upstreams"
    config = scale.config(_size_of(count))
    views = scale.views(config)
    upstreams = _upstreams_with(config, views)
    messages, change = upstreams.fleet_views(0, 4, 1.0)
    packed = [encode(message) for message in messages]
    yield size(f"{name}.whole_view", sum(map(len, packed)))
    yield size(
        f"{name}.control_memory",
        allocated_bytes(lambda: _upstreams_with(config, scale.views(config))),
    )
    yield Result(
        name=f"{name}.whole_view_per_entry_process",
        value=sum(map(len, packed)) / REFRESH_INTERVAL_S,
        unit="B/s, over loopback",
    )
    whole_s = cpu_s(
        lambda: [encode(m) for m in upstreams.fleet_views(0, 4, 1.0)[0]]
    )
    yield ms(f"{name}.control_makes_whole_view", whole_s)
    nothing_s = cpu_s(lambda: upstreams.fleet_views(change, 4, 1.0))
    yield ms(f"{name}.control_finds_no_change", nothing_s)
    yield Result(
        name=f"{name}.control_share_per_entry_process",
        value=100 * (whole_s / REFRESH_INTERVAL_S + nothing_s * TICKS_PER_S),
        unit="% of a core",
    )
    yield from _entry(name, config, views, packed)


def _entry(name, config, views, packed) -> Iterator[Result]:
    fleet = Fleet(config.upstreams)

    def apply_view():
        for data in packed:
            fleet.update(decode(data).upstreams, 1.0)

    apply_view()
    entry_s = cpu_s(apply_view)
    yield ms(f"{name}.entry_takes_whole_view", entry_s)
    yield ms(f"{name}.entry_takes_largest_message", entry_s / len(packed))
    changed = UpstreamView(
        upstream=views[0].upstream,
        state=views[0].state,
        boot_id=views[0].boot_id,
        sequence=views[0].sequence + 1,
    )
    versions = [changed, views[0]]

    def change_and_restore():
        for view in versions:
            fleet.update([view], 2.0)

    yield ms(f"{name}.entry_takes_one_move", cpu_s(change_and_restore) / 2)


def _members(count: int) -> list[Member]:
    return [
        Member(
            host=HostId(f"{scale.LOCAL_DOMAIN}-host-{n:04}"),
            boot=BootId(f"{n:032x}"),
            failure_domain=scale.LOCAL_DOMAIN,
            address=Address(f"tcp://10.{n >> 8}.{n & 255}.1:7000"),
            admin_address=f"10.{n >> 8}.{n & 255}.1:7001",
            entry_processes=4,
        )
        for n in range(count)
    ]


class _Distributor:
    """One host of a domain, with a virtual clock."""

    def __init__(self, hosts: int, upstreams: int):
        self.members = _members(hosts)
        self.config = scale.config(_size_of(upstreams), local_share=1.0)
        self.upstreams = Upstreams(
            self.members[0].host, scale.LOCAL_DOMAIN, random.Random(1)
        )
        self.upstreams.set_config(self.config.upstreams, 0.0)
        self.upstreams.set_members(self.members)
        while self.upstreams._unranked:
            self.upstreams.rank_pollers()
        for view in scale.views(self.config):
            self.upstreams.on_view(view, 0.0)
        self.distributor = ReportDistributor(
            self.members[0], self.upstreams, random.Random(2)
        )
        self.now_s = 0.0

    def run(self, duration_s: float) -> tuple[float, int, int, int]:
        """Returns processor time, messages, bytes, bytes of load messages."""
        spent_s, messages, sent, loads = 0.0, 0, 0, 0
        for _ in range(round(duration_s * TICKS_PER_S)):
            self.now_s += 1 / TICKS_PER_S
            start_s = time.process_time()
            self.upstreams.set_members(self.members)
            self.upstreams.rank_pollers()
            self.distributor.set_members(self.members)
            outgoing = self.distributor.tick([], self.now_s)
            spent_s += time.process_time() - start_s
            for item in outgoing:
                length = len(encode(item.message))
                messages += 1
                sent += length
                if not isinstance(item.message, UpstreamReports):
                    loads += length
        return spent_s, messages, sent, loads


def _distribution(hosts: int, upstreams: int) -> Iterator[Result]:
    name = f"spread.{hosts}_hosts.{upstreams}_upstreams"
    host = _Distributor(hosts, upstreams)
    host.run(DISTRIBUTION_SETTLE_S)
    spent_s, messages, sent, _ = host.run(DISTRIBUTION_S)
    yield Result(
        name=f"{name}.tick",
        value=100 * spent_s / DISTRIBUTION_S,
        unit="% of a core, without posting",
    )
    yield Result(
        name=f"{name}.posted",
        value=messages / DISTRIBUTION_S,
        unit="messages/s",
    )
    yield Result(name=f"{name}.sent", value=sent / DISTRIBUTION_S, unit="B/s")
    forwarded = len(host.distributor._forwarded_upstreams())
    yield Result(name=f"{name}.passed_on", value=forwarded, unit="upstreams")
    each = messages / DISTRIBUTION_S / max(1, hosts - 1)
    yield Result(
        name=f"{name}.load_interval", value=1 / each if each else 0.0, unit="s"
    )
    change_s, view_bytes = _change(host)
    yield Result(name=f"{name}.change_posted_to_all", value=change_s, unit="s")
    yield size(f"{name}.change", view_bytes)
    yield from _ranking(name, host)


def _change(host: _Distributor) -> tuple[float, int]:
    """Returns the time until a change is posted to all peers, and its size."""
    forwarded = host.distributor._forwarded_upstreams()
    if not forwarded:
        return 0.0, 0
    view = host.upstreams.view(forwarded[0], host.now_s)
    changed = UpstreamView(
        upstream=view.upstream,
        state=view.state,
        boot_id=view.boot_id,
        sequence=view.sequence + 1,
        resident=dict(list(view.resident.items())[1:]),
    )
    host.upstreams.on_view(changed, host.now_s)
    start_s, notified, length = host.now_s, 0, 0
    while notified < len(host.members) - 1 and host.now_s < start_s + 60:
        host.now_s += 1 / TICKS_PER_S
        for item in host.distributor.tick([], host.now_s):
            if isinstance(item.message, UpstreamReports):
                notified += 1
                length = len(encode(item.message))
    return host.now_s - start_s, length


def _ranking(name: str, host: _Distributor) -> Iterator[Result]:
    """Measures the cost to a host when another host leaves or joins."""

    def leave_and_join():
        for members in (host.members[:-1], host.members):
            host.upstreams.set_members(members)
            while host.upstreams._unranked:
                host.upstreams.rank_pollers()

    yield ms(f"{name}.host_leaves_or_joins", cpu_s(leave_and_join) / 2)


def _polls() -> Iterator[Result]:
    with standin("engine", "memory_bytes=1000", "slots=64") as address:
        for loaded in (0, 8):
            yield from anyio.run(
                _poll, address, loaded, backend_options={"use_uvloop": True}
            )


async def _poll(address: str, loaded: int) -> list[Result]:
    config = scale.config(scale.TODAY)
    name = next(iter(config.upstreams))
    upstreams = _upstreams_with(config, [])
    poller = Poller(upstreams, Metrics())
    for number in range(loaded):
        await _load(poller, address, number)
    await poller.poll(name, address)
    client = poller._clients[address]
    answer = await client.request("GET", "/v2/report")
    start_s = time.process_time()
    for _ in range(POLLS):
        await poller.poll(name, address)
    spent_s = time.process_time() - start_s
    await poller.close_unused([])
    return [
        Result(
            name=f"poll.{loaded}_artifacts.cpu",
            value=spent_s / POLLS * 1e6,
            unit="us of a core per poll",
        ),
        size(f"poll.{loaded}_artifacts.body", len(answer.body)),
    ]


async def _load(poller: Poller, address: str, number: int) -> None:
    name = f"model-{number:04}"
    body = (
        f'{{"parameters": {{"order_id": "{number:032x}", "fencing_token": 1,'
        ' "version": "2026-12-01", "memory_bytes": 10}}'
    )
    await poller._fetch(address)
    path = f"/v2/repository/models/{name}/load"
    answer = await poller._clients[address].request("POST", path, body.encode())
    assert answer.status == 200, answer
