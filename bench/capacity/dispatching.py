"""Decisions of the dispatcher of one entry process."""

import random
import time
from collections.abc import Iterator

import msgspec

from acaciaspoke.config.schema import Config
from acaciaspoke.entry.dispatch import Assignment, Dispatcher
from acaciaspoke.entry.limits import ConcurrencyLimits
from acaciaspoke.entry.routing import UpstreamStatus
from acaciaspoke.net.messages import FleetView
from bench.capacity import fleet, scale
from bench.capacity.measure import allocated_bytes, ms, size
from bench.result import Result
from test.entry.builders import request

WAITING = (10, 100, 1000)
ROUNDS = 200

# Numbers of entry processes that share the engines of a failure domain.
PROCESSES = (3, 36, 1144)


def run() -> Iterator[Result]:
    """Measures limits, and decisions by fleet size and queue length."""
    for processes in PROCESSES:
        yield _limits(processes)
    for upstreams in fleet.UPSTREAMS:
        config = scale.config(fleet._size_of(upstreams))
        yield size(
            f"dispatching.{upstreams}_upstreams.memory",
            allocated_bytes(lambda c=config: _dispatcher(c)),
        )
        for waiting in WAITING:
            yield from _measure(config, upstreams, waiting)


def _limits(processes: int) -> Result:
    """Returns the sum of entry processes' limits, relative to the slots."""
    status = UpstreamStatus("u", next(iter(_today().upstreams.values())))
    rng = random.Random(1)
    allowed = sum(
        ConcurrencyLimits(processes, rng).limit(status)
        for _ in range(processes)
    )
    return Result(
        name=f"dispatching.{processes}_processes.sum_of_limits",
        value=allowed / status.config.slots,
        unit="times the slots of an engine",
    )


def _today() -> Config:
    return scale.config(scale.TODAY)


def _dispatcher(config, views=None) -> Dispatcher:
    dispatcher = Dispatcher(scale.LOCAL_DOMAIN, random.Random(1))
    dispatcher.set_config(config)
    views = tuple(views or scale.views(config))
    dispatcher.set_fleet(FleetView(upstreams=views, entry_processes=1), 0.0)
    return dispatcher


def _request(name: str, now_s: float, rank: str = "urgent"):
    return request(
        rank=rank,
        artifact=name,
        service=scale.SERVICE,
        deadline_s=now_s + 60.0,
        arrived_s=now_s,
        prefix_hash=hash(name) & 0xFFFF,
    )


def _measure(config, upstreams: int, waiting: int) -> Iterator[Result]:
    """Measures arrival, decision and end of a request while others wait.

    The waiting requests are for models without a replica, several for each, so
    that each decision has to skip all of them.
    """
    names = list(config.models)
    views = scale.views(config)
    resident = {name for view in views for name in view.resident}
    resident_names = [name for name in names if name in resident]
    missing = [f"gone-{n}" for n in range(max(1, waiting // 8))]
    models = dict(config.models)
    models |= dict.fromkeys(missing, models[names[0]])
    config = _with_models(config, models)
    dispatcher = _dispatcher(config, views)
    for number in range(waiting):
        item = _request(missing[number % len(missing)], 0.0, "batch")
        dispatcher.submit(item, 0.0)
    spent_s, assigned, now_s = 0.0, 0, 1.0
    for number in range(ROUNDS):
        now_s += 0.01
        item = _request(resident_names[number % len(resident_names)], now_s)
        start_s = time.process_time()
        dispatcher.submit(item, now_s)
        decisions = list(dispatcher.decide(now_s))
        dispatcher.record_success(item, now_s)
        spent_s += time.process_time() - start_s
        assigned += sum(isinstance(d, Assignment) for d in decisions)
    name = f"dispatching.{upstreams}_upstreams.{waiting}_waiting"
    yield ms(f"{name}.arrival_to_end", spent_s / ROUNDS)
    yield Result(name=f"{name}.assigned", value=assigned, unit="requests")


def _with_models(config, models):
    ranks = {
        name: msgspec.structs.replace(rank, queue_limit=100_000)
        for name, rank in config.ranks.items()
    }
    return msgspec.structs.replace(config, models=models, ranks=ranks)
