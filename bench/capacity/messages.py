"""Cost of a message to sender and receiver, with real sockets."""

import time
from collections.abc import Iterator

import anyio

from acaciaspoke.ids import Address
from acaciaspoke.net.mailbox import Mailbox
from acaciaspoke.net.messages import (
    DomainAnswer,
    UpstreamLoads,
    UpstreamReports,
    decode,
    encode,
)
from acaciaspoke.net.records import Load
from acaciaspoke.util.metrics import Metrics
from bench import gossip
from bench.capacity import scale
from bench.capacity.measure import cpu_s, ms, size
from bench.result import Result
from test.builders import next_address

MESSAGES = 5_000
HOSTS = (3, 72, 286)

# Less than the length of the receiver's queue, so that nothing is dropped.
WINDOW = 64


def run() -> Iterator[Result]:
    """Measures messages from 100 B to 64 KB between two mailboxes."""
    config = scale.config(scale.QUARTER)
    views = tuple(scale.views(config))
    loads = {view.upstream: Load(1 << 31, 10, 3, 0, 5) for view in views[:3]}
    for name, message, count in (
        ("loads_3", UpstreamLoads(sender="h", loads=loads), MESSAGES),
        ("views_3", UpstreamReports(sender="h", upstreams=views[:3]), MESSAGES),
        ("views_256", UpstreamReports(sender="h", upstreams=views[:256]), 200),
    ):
        cpu_s, lost = anyio.run(
            _exchange, message, count, backend_options={"use_uvloop": True}
        )
        yield Result(
            name=f"messages.{name}.post_and_receive",
            value=cpu_s / count * 1e6,
            unit="us of a core, sender and receiver",
        )
        yield Result(name=f"messages.{name}.lost", value=lost, unit="messages")
    for hosts in HOSTS:
        yield from _domain_answer(hosts)


def _domain_answer(hosts: int) -> Iterator[Result]:
    """Measures the answer used by the status and by waits for a version."""
    members = tuple(gossip.member(f"az1-host-{n:04}", n) for n in range(hosts))
    answer = DomainAnswer(failure_domain="az1", sequence=1, members=members)
    data = encode(answer)
    name = f"messages.domain_answer.{hosts}_hosts"
    yield size(name, len(data))
    yield ms(f"{name}.encode", cpu_s(lambda: encode(answer)))
    yield ms(f"{name}.decode", cpu_s(lambda: decode(data)))


async def _exchange(message, count: int) -> tuple[float, int]:
    target = Address(f"tcp://{next_address()}")
    source = Address(f"tcp://{next_address()}")
    metrics = Metrics()
    received = 0
    with Mailbox(target, metrics) as inbox, Mailbox(source, metrics) as outbox:
        outbox.post(target, message)
        with anyio.fail_after(5):
            await inbox.receive()
        start_s = time.process_time()
        while received < count:
            window = min(WINDOW, count - received)
            sent = sum(outbox.post(target, message) for _ in range(window))
            with anyio.move_on_after(5) as scope:
                for _ in range(sent):
                    await inbox.receive()
                    received += 1
            if scope.cancelled_caught or not sent:
                break
        cpu_s = time.process_time() - start_s
    return cpu_s, count - received
