"""Cost of demand messages to the lease holder of a failure domain."""

import random
from collections import Counter
from collections.abc import Iterator

from acaciaspoke.control.demand import DemandRates, DemandSum
from acaciaspoke.entry.process import DEMAND_INTERVAL_S
from acaciaspoke.net.messages import Demand, decode, encode
from bench.capacity import scale
from bench.capacity.measure import cpu_s, ms, size
from bench.result import Result

REQUESTS_PER_S = 45_000 / 7
HOSTS = 286
ENTRY_PROCESSES = 4

MEASURED_S = 60.0

ARTIFACTS = (135, 1200, 4800)
RANKS = ("urgent", "normal", "batch")

# Between two messages to the lease holder the rates decay for this long.
MESSAGE_GAP_S = DEMAND_INTERVAL_S / HOSTS / ENTRY_PROCESSES


def run() -> Iterator[Result]:
    """Measures messages of one entry process and of a whole host."""
    requests_per_message = (
        REQUESTS_PER_S * DEMAND_INTERVAL_S / HOSTS / ENTRY_PROCESSES
    )
    for artifacts in ARTIFACTS:
        yield from _measure(artifacts, requests_per_message)
    yield from _measure_forwarding(requests_per_message)
    rng = random.Random(1)
    for label, factor in (
        ("entry_process_250_ms", 1),
        ("host_1_s", ENTRY_PROCESSES / DEMAND_INTERVAL_S),
    ):
        data = encode(_demand(rng, 4800, round(requests_per_message * factor)))
        yield size(f"demand.message.{label}", len(data))
        yield Result(
            name=f"demand.message.{label}.decode",
            value=cpu_s(lambda data=data: decode(data)) * 1e6,
            unit="us of a core",
        )


def _measure_forwarding(requests_per_message: float) -> Iterator[Result]:
    """Measures the messages that a host forwards for its entry processes."""
    rng, sums, received, sent = random.Random(3), DemandSum(), 0, []
    steps = round(MEASURED_S / DEMAND_INTERVAL_S)
    for step in range(steps):
        for _ in range(ENTRY_PROCESSES):
            received += 1
            sums.add(_demand(rng, 4800, round(requests_per_message)))
        message = sums.collect("tcp://10.0.0.1:7000", step * DEMAND_INTERVAL_S)
        if message is not None:
            sent.append(len(encode(message)))
    for label, value, unit in (
        ("taken", received, "messages/s of one host"),
        ("passed_on", len(sent), "messages/s of one host"),
        ("passed_on_bytes", sum(sent), "B/s of one host"),
    ):
        yield Result(
            name=f"demand.host.{label}", value=value / MEASURED_S, unit=unit
        )


def _demand(rng: random.Random, artifacts: int, requests: int) -> Demand:
    arrivals: dict[str, Counter] = {}
    for _ in range(max(1, requests)):
        name = f"model-{min(rng.randrange(artifacts) for _ in range(2)):04}"
        arrivals.setdefault(name, Counter())[rng.choice(RANKS)] += 1
    return Demand(
        sender="tcp://10.0.0.1:7000",
        arrivals={name: dict(counts) for name, counts in arrivals.items()},
        interval_s=DEMAND_INTERVAL_S,
    )


def _measure(artifacts: int, requests_per_message: float) -> Iterator[Result]:
    name = f"demand.{artifacts}_artifacts"
    rng = random.Random(2)
    messages = [
        _demand(rng, artifacts, round(requests_per_message)) for _ in range(500)
    ]
    ranks = scale.config(scale.TODAY).ranks
    rates, now_s, received = _full_rates(artifacts), 0.0, 0

    def receive():
        nonlocal now_s, received
        now_s += MESSAGE_GAP_S
        received += 1
        rates.add(messages[received % len(messages)], now_s)

    receive_s = cpu_s(receive)
    yield ms(f"{name}.take_message", receive_s)

    # With new rates, as those without arrivals have decayed meanwhile.
    rates, now_s = _full_rates(artifacts), 0.0

    def read():
        nonlocal now_s
        now_s += MESSAGE_GAP_S / 100
        rates.rates(ranks, now_s)

    yield ms(f"{name}.read_rates", cpu_s(read))


def _full_rates(artifacts: int) -> DemandRates:
    rates = DemandRates()
    for rank in RANKS:
        arrivals = {f"model-{n:04}": {rank: 50} for n in range(artifacts)}
        rates.add(Demand(sender="tcp://e", arrivals=arrivals), 0.0)
    return rates
