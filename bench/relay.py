"""Throughput of one entry process, and the delay that it adds to a request.

One real entry process serves several engine stand-ins; this module fakes the
control process. The callers run in separate processes.

The target is 19 M tokens/s and 45,000 requests/s on 2,000 hosts: 9,500 and 22.5
(here 23) per host. With one of seven failure domains lost, each host carries
7/6 of that.
"""

import itertools
import json
import math
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import NamedTuple

import anyio
import msgspec

from acaciaspoke.config.schema import (
    Config,
    Model,
    Rank,
    Service,
    ServiceKind,
    Upstream,
)
from acaciaspoke.ids import Address, BootId
from acaciaspoke.net.mailbox import Mailbox, receive_forever
from acaciaspoke.net.messages import ConfigPush, FleetView
from acaciaspoke.net.records import UpstreamState, UpstreamView
from acaciaspoke.util.metrics import Metrics
from bench.load import Close, CloseOutcome, Load, LoadOutcome, Pair, Pairs
from bench.result import Result
from standins.client import request
from standins.deployment import free_address

TOKENS_PER_S = 9_500.0
REQUESTS_PER_S = 23.0
DOMAIN_LOST_FACTOR = 7 / 6

TOKEN_GAP_S = 0.045
# 9,500 tokens/s and 23 requests/s are 413 tokens per request. The reserve is
# for timers of the engines, which are late by up to 3%.
TOKENS_PER_STREAM = 400
TIMER_RESERVE = 1.03

# The target for the p95 of the gap between tokens is 45 ms, most of which the
# engine needs. The relay may add a tenth of it at the median and a quarter at
# p95, which leaves an engine 34 ms, and half of it at p99, so that a late token
# does not delay the next one.
BOUND_TOKEN_DELAY_MS = {50: 4.5, 95: 11.25, 99: 22.5}

# 1% of the target of 2 s for the first token.
BOUND_REQUEST_DELAY_MS = 20.0

# A process can use one core; at the rate with a domain lost a tenth of it must
# remain for bursts of requests.
BOUND_CPU_MS_PER_TOKEN = 0.9 * 1000 / (TOKENS_PER_S * DOMAIN_LOST_FACTOR)

# With httpcore's connection pool a process was busy for up to 50 s when 300
# streams were closed.
CLOSED_STREAMS = 300
BOUND_CLOSE_S = 1.0

ENGINES = 4
ENGINE_SLOTS = 256
FLEET_INTERVAL_S = 0.5
START_TIMEOUT_S = 20.0

# The second model has an engine without other load, for pairs of requests.
LOADED_MODEL, PAIRED_MODEL = "loaded", "paired"


class _Durations(NamedTuple):
    warm_up_s: float
    measured_s: float
    load_rounds: int
    pairs_s: float
    pair_rounds: int
    close_rounds: int


_SHORT = _Durations(2.5, 2.0, 1, 0.8, 2, 1)
_FULL = _Durations(3.0, 5.0, 3, 2.0, 4, 3)


class _System(NamedTuple):
    """The running processes.

    Attributes:
        entry: Address of the entry process.
        process: Id of the entry process.
        paired_engine: Address of the engine without other load.
    """

    entry: str
    process: int
    paired_engine: str


def run(short: bool) -> Iterator[Result]:
    """Measures the added delay, relayed tokens and the close of streams."""
    durations = _SHORT if short else _FULL
    with ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        start = _make_starter(stack, Path(folder))
        engines = {
            f"engine-{number}": free_address() for number in range(ENGINES + 1)
        }
        for name, address in engines.items():
            start(
                name,
                "standins",
                "engine",
                address,
                f"slots={ENGINE_SLOTS}",
                f"token_gap_s={TOKEN_GAP_S}",
            )
        control = Address(f"tcp://{free_address()}")
        settings = _settings(control)
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(settings))
        entry = start("entry", "acaciaspoke", "entry", "--settings", str(path))
        system = _System(
            settings["entry"][0]["listen"],
            entry.pid,
            engines[f"engine-{ENGINES}"],
        )
        stack.enter_context(
            _fake_control(control, settings["entry"][0]["mailbox"], engines)
        )
        _wait_until_ready([*engines.values()], system.entry)
        yield _load_average()
        yield from _measure_added_delay(system, durations)
        yield from _measure_relay(system, durations)
        yield from _measure_close(system, durations)
        yield _load_average()


def _load_average() -> Result:
    return Result(
        name="relay.load_average", value=os.getloadavg()[0], unit="processes"
    )


def _make_starter(stack: ExitStack, folder: Path):
    """Returns a function that starts a module; the stack kills the process."""

    def start(name: str, *arguments: str) -> subprocess.Popen:
        log = stack.enter_context((folder / f"{name}.log").open("w"))
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        stack.callback(process.wait)
        stack.callback(process.kill)
        return process

    return start


def _settings(control: Address) -> dict:
    # Nothing listens at the table's address: idempotent requests need no table.
    return {
        "host": "h1",
        "failure_domain": "d1",
        "platform": {"table": free_address()},
        "control": {"listen": free_address(), "mailbox": control},
        "entry": [
            {
                "listen": free_address(),
                "mailbox": f"tcp://{free_address()}",
            }
        ],
    }


@contextmanager
def _fake_control(
    control: Address, entry: Address, engines: dict[str, str]
) -> Iterator[None]:
    """Fakes the control process in a separate thread."""
    with anyio.from_thread.start_blocking_portal() as portal:
        future = portal.start_task_soon(
            _run_fake_control, control, entry, engines
        )
        yield
        future.cancel()


async def _run_fake_control(
    control: Address, entry: Address, engines: dict[str, str]
) -> None:
    config = _config(engines)
    push = ConfigPush(
        snapshot=msgspec.json.encode(config).decode(),
        sender=control,
        version=config.version,
    )
    with Mailbox(control, Metrics()) as mailbox:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(receive_forever, mailbox, lambda _message: None)
            for turn in itertools.count():
                # Repeated in case the first ones are lost.
                if turn < 2 or turn % 20 == 0:
                    mailbox.post(entry, push)
                mailbox.post(entry, _fleet(engines))
                await anyio.sleep(FLEET_INTERVAL_S)


def _config(engines: dict[str, str]) -> Config:
    return Config(
        version=1,
        ranks={"urgent": Rank(level=0, queue_limit=4096)},
        services={"drafting": Service(kind=ServiceKind.ENGINE)},
        models={
            name: Model(service="drafting", memory_bytes=1)
            for name in (LOADED_MODEL, PAIRED_MODEL)
        },
        upstreams={
            name: Upstream(
                service="drafting",
                failure_domain="d1",
                address=address,
                memory_bytes=10,
                slots=ENGINE_SLOTS,
            )
            for name, address in engines.items()
        },
    )


def _fleet(engines: Iterable[str]) -> FleetView:
    *loaded, paired = engines
    models = dict.fromkeys(loaded, LOADED_MODEL) | {paired: PAIRED_MODEL}
    return FleetView(
        upstreams=tuple(
            UpstreamView(
                upstream=name,
                state=UpstreamState.LIVE,
                boot_id=BootId(f"boot-{name}"),
                resident={model: "1"},
            )
            for name, model in models.items()
        )
    )


def _wait_until_ready(engines: list[str], entry: str) -> None:
    paths = [(address, "/v2/report") for address in engines]
    deadline_s = time.monotonic() + START_TIMEOUT_S
    for address, path in [*paths, (entry, "/readyz")]:
        while True:
            answer = request(address, "GET", path)
            if answer is not None and answer.status == 200:
                break
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"{address}{path} does not answer 200")
            time.sleep(0.02)
    # The first view of the fleet follows the configuration.
    time.sleep(FLEET_INTERVAL_S)


def _run_load_tool(plan: msgspec.Struct, outcome_type: type):
    plan_text = msgspec.json.encode(plan).decode()
    done = subprocess.run(
        [sys.executable, "-m", "bench.load", plan_text],
        stdout=subprocess.PIPE,
        check=True,
        timeout=120,
    )
    return msgspec.json.decode(done.stdout, type=outcome_type)


def _quantiles(values: list[float]) -> dict[int, float]:
    """Returns the 50th, 95th and 99th percentile."""
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return {percent: cuts[percent - 1] for percent in (50, 95, 99)}


def _median_over_rounds(
    name: str, values: list[float], unit: str, **fields
) -> Result:
    """Returns the median of the rounds, with the spread."""
    return Result(
        name=name,
        value=statistics.median(values),
        unit=unit,
        spread=(min(values), max(values)),
        **fields,
    )


def _measure_added_delay(
    system: _System, durations: _Durations
) -> Iterator[Result]:
    plan = Pairs(
        address=system.entry,
        direct=system.paired_engine,
        model=PAIRED_MODEL,
        callers=8,
        measured_s=durations.pairs_s,
    )
    rounds = [
        _run_load_tool(plan, list[Pair]) for _ in range(durations.pair_rounds)
    ]
    first = [
        _quantiles([p.relayed_first_ms - p.direct_first_ms for p in pairs])
        for pairs in rounds
    ]
    ratios = [
        _quantiles([p.relayed_ms / p.direct_ms for p in pairs])
        for pairs in rounds
    ]
    for percent in (50, 95, 99):
        yield _median_over_rounds(
            f"relay.added_to_first_token.p{percent}",
            [found[percent] for found in first],
            "ms",
            bound=BOUND_REQUEST_DELAY_MS,
        )
        yield _median_over_rounds(
            f"relay.one_token_request_ratio.p{percent}",
            [found[percent] for found in ratios],
            "time through the system / time past it",
        )


def _measure_relay(system: _System, durations: _Durations) -> Iterator[Result]:
    factors = {"": 1.0, ".domain_lost": DOMAIN_LOST_FACTOR}
    outcomes: dict[str, list[LoadOutcome]] = {name: [] for name in factors}
    # Interleaved, so that both run on a machine in the same state.
    for _ in range(durations.load_rounds):
        for name, factor in factors.items():
            rate = TOKENS_PER_S * factor * TIMER_RESERVE
            plan = Load(
                address=system.entry,
                model=LOADED_MODEL,
                process=system.process,
                streams=math.ceil(rate * TOKEN_GAP_S),
                tokens=TOKENS_PER_STREAM,
                warm_up_s=durations.warm_up_s,
                measured_s=durations.measured_s,
            )
            outcomes[name].append(_run_load_tool(plan, LoadOutcome))
    for name, factor in factors.items():
        yield from _relayed_results(name, outcomes[name], factor)


def _relayed_results(
    name: str, outcomes: list[LoadOutcome], factor: float
) -> Iterator[Result]:
    yield _median_over_rounds(
        f"relay{name}.tokens",
        [outcome.tokens / outcome.elapsed_s for outcome in outcomes],
        "tokens/s",
        bound=TOKENS_PER_S * factor,
        at_least=True,
    )
    yield _median_over_rounds(
        f"relay{name}.requests",
        [outcome.requests / outcome.elapsed_s for outcome in outcomes],
        "requests/s",
        bound=REQUESTS_PER_S * factor,
        at_least=True,
    )
    problems = {problem for o in outcomes for problem in o.problems}
    yield Result(
        name=f"relay{name}.failed_streams",
        value=sum(outcome.failed for outcome in outcomes),
        unit="; ".join(["streams", *sorted(problems)]),
        bound=0.0,
    )
    delays_ms = [_quantiles(outcome.delays_ms) for outcome in outcomes]
    for percent, bound_ms in BOUND_TOKEN_DELAY_MS.items():
        yield _median_over_rounds(
            f"relay{name}.token_delay.p{percent}",
            [found[percent] for found in delays_ms],
            "ms",
            bound=bound_ms,
        )
    yield _median_over_rounds(
        f"relay{name}.cpu_per_token",
        [outcome.cpu_s * 1000 / outcome.tokens for outcome in outcomes],
        "ms",
        bound=BOUND_CPU_MS_PER_TOKEN,
    )
    yield _median_over_rounds(
        f"relay{name}.cpu",
        [outcome.cpu_s / outcome.elapsed_s for outcome in outcomes],
        "cores",
    )


def _measure_close(system: _System, durations: _Durations) -> Iterator[Result]:
    plan = Close(
        address=system.entry,
        model=LOADED_MODEL,
        process=system.process,
        streams=CLOSED_STREAMS,
    )
    outcomes = [
        _run_load_tool(plan, CloseOutcome)
        for _ in range(durations.close_rounds)
    ]
    yield Result(
        name="relay.close_300.opened",
        value=min(outcome.opened for outcome in outcomes),
        unit="streams",
        bound=CLOSED_STREAMS,
        at_least=True,
    )
    yield _median_over_rounds(
        "relay.close_300.busy",
        [outcome.busy_s for outcome in outcomes],
        "s",
        bound=BOUND_CLOSE_S,
    )
    yield _median_over_rounds(
        "relay.close_300.cpu", [outcome.cpu_s for outcome in outcomes], "s"
    )
