"""Cost of a gateway's decisions and messages by number of engines."""

import random
import statistics
import time
from collections import Counter
from collections.abc import Callable, Iterator

from acaciaspoke.gateway.demand import TotalDemand
from acaciaspoke.gateway.dispatch import Dispatcher
from acaciaspoke.gateway.engineview import EngineView
from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.messages import LoadDigest, SendNotice, decode, encode
from acaciaspoke.gateway.placement import plan_models
from acaciaspoke.gateway.retry_budget import RetryBudget
from acaciaspoke.gateway.types import (
    Artifact,
    EngineSpec,
    ModelSpec,
    Request,
    Route,
    RouteKind,
    Target,
    UpstreamRecord,
    UpstreamState,
)
from acaciaspoke.ids import (
    BootId,
    DomainId,
    HostId,
    ModelId,
    RequestId,
    ServiceId,
    UpstreamId,
)
from bench.result import Result

SERVICE = ServiceId("s")

# A current deployment, a larger one, and a failure domain of the target size.
ENGINES = (9, 56, 786)
MODELS_PER_ENGINE = 3
SLOTS = 24
WAITING_REQUESTS = 50
ROUNDS = 9

ROUTE = Route(
    name="r",
    host="a.example",
    prefix="/a/",
    kind=RouteKind.STREAMING,
    targets=(Target(SERVICE, 1.0),),
    timeout_s=10.0,
    objective_s=0.5,
)


def run(short: bool) -> Iterator[Result]:
    """Measures notices, plans, rounds of assignments and digests."""
    rounds = ROUNDS // 3 if short else ROUNDS
    yield _measure_time(
        "gateway.notices_heard.1000", _record_remote_sends(1000), rounds
    )
    for count in ENGINES:
        yield _measure_time(f"gateway.plan.{count}", _plan(count), rounds)
        yield _measure_time(f"gateway.assign.{count}", _assign(count), rounds)
        digest = LoadDigest(
            host=HostId("front-1"),
            boot=BootId("b" * 12),
            sequence=1,
            in_flight={UpstreamId(f"i-{n:010x}"): 2 for n in range(count)},
        )
        yield Result(
            name=f"gateway.digest.{count}",
            value=len(encode(digest)),
            unit="bytes",
        )


def _measure_time(name: str, work: Callable[[], None], rounds: int) -> Result:
    times_ms = []
    for _ in range(rounds):
        start_s = time.process_time()
        work()
        times_ms.append(1e3 * (time.process_time() - start_s))
    return Result(
        name=name,
        value=statistics.median(times_ms),
        unit="ms",
        spread=(min(times_ms), max(times_ms)),
    )


def _record_remote_sends(count: int) -> Callable[[], None]:
    """Returns a function that applies another host's notices of requests."""
    sender = {"host": HostId("front-1"), "boot": BootId("b" * 12)}
    digests = [
        encode(LoadDigest(**sender, sequence=10 * number))
        for number in range(count // 10 + 1)
    ]
    notices = [
        encode(
            SendNotice(
                **sender,
                sequence=number + 1,
                upstream=UpstreamId("i-0123456789"),
                prompt_tokens=700,
            )
        )
        for number in range(count)
    ]

    def work() -> None:
        fleet = Fleet()
        for number, notice in enumerate(notices):
            if number % 10 == 0:
                fleet.peer_loads.apply_digest(
                    decode(digests[number // 10]), 0.0
                )
            fleet.peer_loads.apply_send(decode(notice), 0.0)

    return work


def _models(engines: int) -> list[ModelId]:
    return [ModelId(f"model{n}") for n in range(4 * engines)]


def _plan(count: int) -> Callable[[], None]:
    rng = random.Random(1)
    models = _models(count)
    engine_spec = EngineSpec(
        slots=SLOTS,
        memory_tokens=80_000,
        weights_mb=220_000,
        adapter_slots=8,
        loads_per_s=3.0,
        models={
            model: ModelSpec(name=model, weights_mb=72_000, load_s=1.2)
            for model in models
        },
    )
    engines = []
    for number in range(count):
        held = rng.sample(models, MODELS_PER_ENGINE)
        engines.append(
            EngineView(
                name=UpstreamId(f"u{number}"),
                failure_domain=DomainId(f"d{number % 3}"),
                slots=SLOTS,
                models=dict.fromkeys(held, -100.0),
                adapters=frozenset(),
                accepts_model_order=True,
                accepts_adapter_order=True,
                running=Counter({held[0]: rng.randrange(SLOTS)}),
            )
        )
    demands = {
        Artifact(model): TotalDemand(
            service=SERVICE,
            artifact=Artifact(model),
            arrivals=0,
            waiting=rng.randrange(20) // 19,
            priority=rng.randrange(3),
            oldest_s=0.2,
            rate_per_s=rng.expovariate(1),
        )
        for model in models
    }
    return lambda: plan_models(engines, demands, engine_spec, 10, 0.0)


def _assign(count: int) -> Callable[[], None]:
    rng = random.Random(1)
    models = _models(count)
    records = [
        UpstreamRecord(
            upstream=UpstreamId(f"u{number}"),
            service=SERVICE,
            address="10.0.0.1:80",
            failure_domain=DomainId(f"d{number % 3}"),
            state=UpstreamState.READY,
            slots=SLOTS,
            artifacts=frozenset(
                map(Artifact, rng.sample(models, MODELS_PER_ENGINE))
            ),
        )
        for number in range(count)
    ]

    def work() -> None:
        dispatcher = Dispatcher(
            DomainId("d0"), lambda: RetryBudget(0.2, 50, 10, lambda: 9)
        )
        for record in records:
            dispatcher.fleet.put(record)
        for number in range(WAITING_REQUESTS):
            request = Request(
                id=RequestId(f"q{number}"),
                route=ROUTE,
                service=SERVICE,
                arrived_s=0.0,
                deadline_s=10.0,
                artifact=Artifact(rng.choice(models)),
            )
            dispatcher.submit(request, 0.0)
        list(dispatcher.decide(0.0))

    return work
