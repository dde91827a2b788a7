"""Cost of plans of a failure domain, and the size of reservation rows."""

import random
import time
import types
from collections.abc import Iterator

import msgspec

from acaciaspoke.config.schema import Artifact, Config, artifact_of
from acaciaspoke.control.demand import Rate
from acaciaspoke.control.placement import plan
from acaciaspoke.control.planning import IDLE_PLAN_INTERVAL_S, DomainPlanner
from acaciaspoke.control.reservations import (
    Line,
    LineState,
    Reservation,
    encode,
)
from acaciaspoke.control.upstreams import Upstreams
from acaciaspoke.ids import HostId
from acaciaspoke.net.records import UpstreamView
from acaciaspoke.util.metrics import Metrics
from bench.capacity import scale
from bench.capacity.measure import allocated_bytes, cpu_s, ms, size
from bench.result import Result

# Number of engines of one domain, with the configuration of all domains.
SIZES = (
    (3, scale.TODAY),
    (78, scale.Size(130, 350, 550)),
    (786, scale.TARGET),
)


def run() -> Iterator[Result]:
    """Measures three sizes: at rest, with shifted demand and cold models."""
    for engines, dimensions in SIZES:
        yield from _measure(engines, dimensions)


def _measure(engines: int, dimensions: scale.Size) -> Iterator[Result]:
    name = f"placement.{engines}_engines.{dimensions.models}_models"
    config = scale.config(dimensions)
    rows = _rows_at_rest(config)
    lines = sum(len(row.lines) for row in rows.values())
    yield Result(
        name=f"{name}.lines_per_row", value=lines / len(rows), unit="lines"
    )
    encoded = [len(encode(row)) for row in rows.values()]
    yield size(f"{name}.row", sum(encoded) / len(encoded))
    yield size(
        f"{name}.rows_memory", allocated_bytes(lambda: _rows_at_rest(config))
    )
    planner = _planner(config, rows)
    live = frozenset(scale.DOMAINS)
    snapshot_s = cpu_s(lambda: planner._snapshot(live, 10.0))
    yield ms(f"{name}.situation", snapshot_s)
    rest = planner._snapshot(live, 10.0)
    rest_s = cpu_s(lambda: plan(rest))
    yield ms(f"{name}.plan_at_rest", rest_s)
    yield Result(
        name=f"{name}.plan_at_rest.moves", value=len(plan(rest)), unit="moves"
    )
    yield Result(
        name=f"{name}.share_at_rest",
        value=100 / (1 + IDLE_PLAN_INTERVAL_S / (snapshot_s + rest_s)),
        unit="% of a core",
    )
    for case, changes in _cases(config).items():
        changed = msgspec.structs.replace(rest, **changes)
        yield ms(f"{name}.plan_{case}", cpu_s(lambda s=changed: plan(s)))
        yield Result(
            name=f"{name}.plan_{case}.moves",
            value=len(plan(changed)),
            unit="moves",
        )


def _cases(config: Config) -> dict[str, dict]:
    """Returns changes of demand by the name of the case."""
    models = list(config.models)
    busy = {name: Rate(40.0, 400.0) for name in models[::10]}
    return {
        "with_a_tenth_busy": {"rates": busy},
        "with_16_cold": {"cold": dict.fromkeys(models[:16], 0), "rates": busy},
    }


def _rows_at_rest(config: Config) -> dict[str, Reservation]:
    """Returns rows with one replica of each artifact that fits into memory."""
    rows: dict[str, list[Artifact]] = {
        name: []
        for name, upstream in config.upstreams.items()
        if upstream.failure_domain == scale.LOCAL_DOMAIN
    }
    free = dict.fromkeys(rows, scale.ENGINE_BYTES)
    adapters: dict[str, list[str]] = {}
    for adapter_id, adapter in config.adapters.items():
        adapters.setdefault(adapter.model, []).append(adapter_id)
    order = sorted(free)
    for number, model in enumerate(config.models):
        names = (model, *adapters.get(model, ()))
        artifacts = [artifact_of(config, name) for name in names]
        needed = sum(artifact.memory_bytes for artifact in artifacts)
        for offset in range(len(order)):
            engine = order[(number + offset) % len(order)]
            if free[engine] >= needed:
                free[engine] -= needed
                rows[engine] += artifacts
                break
    return {
        name: Reservation(
            upstream=name,
            memory_bytes=scale.ENGINE_BYTES,
            boot_id=f"{number:032x}",
            sequence=1,
            write_id=f"{number:032x}",
            lines=tuple(
                Line(artifact=artifact, state=LineState.RESIDENT)
                for artifact in held
            ),
        )
        for number, (name, held) in enumerate(rows.items())
    }


def _planner(config: Config, rows: dict[str, Reservation]) -> DomainPlanner:
    upstreams = Upstreams(HostId("h"), scale.LOCAL_DOMAIN, random.Random(1))
    upstreams.set_config(config.upstreams, 0.0)
    now_s = time.monotonic()
    for view in scale.views(config):
        row = rows.get(view.upstream)
        if row is not None:
            view = UpstreamView(
                upstream=view.upstream,
                state=view.state,
                boot_id=row.boot_id,
                sequence=2,
                resident={
                    line.artifact.name: line.artifact.version
                    for line in row.lines
                },
            )
        upstreams.on_view(view, now_s)
    lease = types.SimpleNamespace(epoch=1)
    planner = DomainPlanner(
        scale.LOCAL_DOMAIN, lease, None, upstreams, set, Metrics()
    )
    planner.set_config(config)
    planner._sender.reservations.update(rows)
    return planner
