"""Processor time of one plan of a failure domain of the target size."""

import random
import statistics
import time
from collections.abc import Iterator

import msgspec

from acaciaspoke.config.schema import (
    Adapter,
    Config,
    Model,
    Service,
    ServiceKind,
    Upstream,
)
from acaciaspoke.control.demand import Rate
from acaciaspoke.control.fleet import DomainSnapshot
from acaciaspoke.control.placement import plan
from acaciaspoke.control.planned_orders import OrderKind
from acaciaspoke.control.reservations import Line, LineState, Reservation
from acaciaspoke.net.records import UpstreamState
from bench.result import Result

ENGINES = 78
MODELS = 130
ADAPTERS = 300
ENGINE_GIB = 96
REQUESTS_PER_S = 8.0
MAX_SETTLE_ROUNDS = 200
ROUNDS = 9


def run(short: bool) -> Iterator[Result]:
    """Measures plans without orders and plans after a noisy change."""
    snapshot = _run_to_rest(_snapshot(random.Random(1)))
    rng = random.Random(2)
    noisy = {
        name: Rate(rate.per_s * factor, rate.worth_per_s * factor)
        for name, rate in snapshot.rates.items()
        for factor in [rng.uniform(0.8, 1.2)]
    }
    changed = msgspec.structs.replace(snapshot, rates=noisy)
    rounds = ROUNDS // 3 if short else ROUNDS
    for name, case in (("settled", snapshot), ("noisy", changed)):
        times_ms = []
        for _ in range(rounds):
            start_s = time.process_time()
            plan(case)
            times_ms.append(1e3 * (time.process_time() - start_s))
        yield Result(
            name=f"plan_cost.{name}",
            value=statistics.median(times_ms),
            unit="ms",
            spread=(min(times_ms), max(times_ms)),
        )


def _snapshot(rng: random.Random) -> DomainSnapshot:
    names = [f"engine{n}" for n in range(ENGINES)]
    config = Config(
        services={"s": Service(kind=ServiceKind.ENGINE)},
        models={
            f"model{n}": Model(service="s", memory_bytes=rng.randrange(6, 20))
            for n in range(MODELS)
        },
        adapters={
            f"adapter{n}": Adapter(
                model=f"model{rng.randrange(MODELS)}", memory_bytes=1
            )
            for n in range(ADAPTERS)
        },
        upstreams={
            name: Upstream(
                service="s",
                failure_domain="d1",
                address="127.0.0.1:1",
                memory_bytes=ENGINE_GIB,
            )
            for name in names
        },
    )
    rates = {
        name: Rate(per_s, 30 * per_s)
        for name in (*config.models, *config.adapters)
        for per_s in [REQUESTS_PER_S * rng.expovariate(1)]
    }
    return DomainSnapshot(
        config=config,
        domain="d1",
        live_domains=frozenset({"d1"}),
        reservations={
            name: Reservation(upstream=name, memory_bytes=ENGINE_GIB)
            for name in names
        },
        states=dict.fromkeys(names, UpstreamState.LIVE),
        rates=rates,
    )


def _run_to_rest(snapshot: DomainSnapshot) -> DomainSnapshot:
    """Executes plans until a plan has no orders."""
    for _ in range(MAX_SETTLE_ROUNDS):
        planned_orders = plan(snapshot)
        if not planned_orders:
            break
        rows = dict(snapshot.reservations)
        for order in planned_orders:
            row = rows[order.upstream]
            lines = [x for x in row.lines if x.artifact != order.artifact]
            if order.kind is OrderKind.LOAD:
                lines.append(
                    Line(artifact=order.artifact, state=LineState.RESIDENT)
                )
            rows[order.upstream] = msgspec.structs.replace(
                row, lines=tuple(lines)
            )
        snapshot = msgspec.structs.replace(snapshot, reservations=rows)
    return snapshot
