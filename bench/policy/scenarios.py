"""The scenarios. The middle third of each run is measured."""

from collections.abc import Callable

import msgspec

from acaciaspoke.control.planned_orders import PlannedOrder
from bench.policy.deployments import (
    HINOKUNI,
    RIDDIM_YARD,
    Arrival,
    Deployment,
    Kind,
    arrivals,
    popularity,
)
from bench.policy.entry_process import Record
from bench.policy.policies import Policy
from bench.policy.world import Network, World

# Ten times the rank's usual arrivals, well beyond the fleet's capacity.
FLOODS = {
    "batch": Kind(name="flood", rank="batch", per_s=80.0, tokens=200),
    "urgent": Kind(name="flood", rank="urgent", per_s=200.0, tokens=40),
}
SHIFT_FACTOR = 10.0
SHIFTED_SHARE = 1 / 3
# Factor on all demand at a shift.
SHIFT_RISE = 1.25
STEADY_NOISE = 1.0

# Longer than all deadlines, so that every request ends.
MAX_DRAIN_S = 100.0


class Run(msgspec.Struct, frozen=True):
    """The records of one run and its measured window.

    Attributes:
        dispatches: Time and rank of each dispatch, with the ranks that had
            requests waiting in the same entry process.
    """

    records: list[Record]
    dispatches: list[tuple[float, str, list[str]]]
    start_s: float
    end_s: float
    model_loads: int
    adapter_loads: int
    planned_orders: list[tuple[float, PlannedOrder]]
    plan_ms: list[float]
    accelerators: int


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """A scenario.

    Attributes:
        flood: The rank that an extra kind of request floods, if any.
        shift: Whether demand rises and shifts to the least popular models.
        noise: Spread of the random factors of each artifact's demand.
        event: Injects a failure at the start of the measured window.
    """

    name: str
    flood: str = ""
    shift: bool = False
    noise: float = 0.5
    network: Network = Network()
    event: Callable[[World], None] | None = None


SCENARIOS = (
    Scenario(name="failure_free"),
    Scenario(name="flood_least_urgent", flood="batch"),
    Scenario(name="flood_most_urgent", flood="urgent"),
    Scenario(name="shift_to_cold", shift=True),
    Scenario(name="steady_noise", noise=STEADY_NOISE),
    Scenario(
        name="lost_upstream", event=lambda world: world.lose_upstream("engine0")
    ),
    Scenario(name="lost_domain", event=lambda world: world.lose_domain("d1")),
    Scenario(
        name="late_reports",
        network=Network(report_delay_s=(1.0, 4.0), lost_share=0.3),
    ),
)
DEPLOYMENTS = (HINOKUNI, RIDDIM_YARD)


def run_scenario(
    deployment: Deployment, scenario: Scenario, policy: Policy, length_s: float
) -> Run:
    """Runs a policy through a scenario."""
    start_s, end_s = length_s / 3, 2 * length_s / 3
    weights = popularity(deployment)
    work = _work(deployment, scenario, weights, length_s)
    world = World(deployment, policy, scenario.network, weights, 36.0)
    if scenario.event is not None:
        world.clock.at(start_s, scenario.event, world)
    records = world.run(work, length_s + MAX_DRAIN_S)
    return Run(
        records,
        world.dispatches,
        start_s,
        end_s,
        world.store.model_loads,
        world.store.adapter_loads,
        world.planner.planned_orders,
        world.planner.plan_ms,
        sum(1 for u in world.upstreams.values() if u.memory_bytes),
    )


def _work(
    deployment: Deployment,
    scenario: Scenario,
    weights: dict[str, float],
    length_s: float,
) -> list[Arrival]:
    start_s, end_s = length_s / 3, 2 * length_s / 3
    models = sorted(
        (n for n in weights if n.startswith("model")), key=weights.get
    )
    shifted = set(models[: int(len(models) * SHIFTED_SHARE)])

    def rate_at(kind: Kind, at_s: float) -> float:
        if kind.name == "flood":
            return 1.0 if start_s <= at_s < end_s else 0.0
        shifts = scenario.shift and at_s >= start_s
        return SHIFT_RISE if shifts else 1.0

    def weight_at(name: str, at_s: float) -> float:
        shifts = scenario.shift and at_s >= start_s and name in shifted
        return SHIFT_FACTOR if shifts else 1.0

    flood = FLOODS.get(scenario.flood)
    return arrivals(
        deployment,
        weights,
        length_s,
        deployment.name,
        rate_at,
        weight_at,
        (flood,) if flood else (),
        scenario.noise,
    )
