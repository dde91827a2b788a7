"""Cost of a state chart's interpretation per request."""

import time
from collections.abc import Iterator

from acaciaspoke.entry.claimtypes import ClaimState
from acaciaspoke.util.chart import StateMachine
from bench.result import Result

ROUNDS = 20_000
EVENTS = ("create_sent", "created", "dispatched", "answered", "recorded")

# 1% of the time between two tokens, for a whole request.
BOUND_US = 450.0


def run() -> Iterator[Result]:
    """Measures the transitions of a claim from new to done."""
    start_s = time.perf_counter()
    for _ in range(ROUNDS):
        machine = StateMachine("claim", ClaimState)
        for event in EVENTS:
            machine.send(event)
    elapsed_s = time.perf_counter() - start_s
    yield Result(
        name="chart.claim",
        value=elapsed_s / ROUNDS * 1e6,
        unit="us",
        bound=BOUND_US,
    )
