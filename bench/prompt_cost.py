"""CPU time of a placement by the prompt parts that engines hold."""

import time
from collections import Counter
from collections.abc import Iterator

from acaciaspoke.gateway.balance import (
    Loads,
    choose_upstream,
    record_prompt_use,
)
from acaciaspoke.ids import DomainId
from bench.result import Result
from test.gateway.builders import fleet, record
from test.gateway.prompt_builders import configuration, prompt

REPLICAS = (2, 8, 32)

# A host with 0.39 cores that sends 30 requests a second may take 1.5% of its
# time for this at 8 replicas.
BOUND_US = 200.0


def run(short: bool) -> Iterator[Result]:
    """Measures choices with and without known parts, by replicas."""
    rounds = 500 if short else 5_000
    for replicas in REPLICAS:
        for kind in ("session", "parts"):
            yield Result(
                name=f"prompt_cost.{kind}.{replicas}",
                value=_choice_us(replicas, kind == "parts", rounds),
                unit="us",
                bound=BOUND_US if replicas == REPLICAS[1] else None,
            )


def _choice_us(replicas: int, knows: bool, rounds: int) -> float:
    upstreams = fleet(
        *(record(f"u{n}", "m1", slots=24) for n in range(replicas))
    )
    holdings = upstreams.holdings
    holdings.set_configuration(configuration(60_288))
    for upstream in upstreams.upstreams.values():
        holdings.learn(upstream, prompt("q", "a", "b", "c", "s"), 0.0)
    holders = list(upstreams.upstreams.values())
    prefill_tokens = Counter(
        {upstream.record.upstream: 100 for upstream in holders}
    )
    empty = Loads(
        Counter(), prefill_tokens, holdings=holdings if knows else None
    )
    requests = [
        prompt(f"q{n}", "a", "b", "c", f"s{n}", part_tokens=90)
        for n in range(rounds)
    ]
    start_s = time.process_time()
    for number, each in enumerate(requests):
        loads = empty._replace(now_s=1.0 + number / 1e6)
        chosen = choose_upstream(each, holders, loads, DomainId("a"), 1.0)
        if knows:
            record_prompt_use(each, chosen, holders, loads)
    return (time.process_time() - start_s) / rounds * 1e6
