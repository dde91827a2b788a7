"""Statistics of a run."""

import statistics
from collections import Counter
from collections.abc import Iterator

import msgspec

from acaciaspoke.control.planned_orders import OrderKind
from bench.policy.deployments import KINDS, RANKS
from bench.policy.entry_process import Record
from bench.policy.scenarios import Run

PERCENTILES = (50, 95, 99)


class RankStats(msgspec.Struct, frozen=True):
    """Statistics of one rank's or kind's requests that arrived in the window.

    Attributes:
        first_ms: Percentiles of the time to the first token.
        gap_ms: Percentiles of the mean time between a request's tokens.
        floor_kept: Dispatches of the rank in the window, relative to the number
            that its floor guarantees: the floor share of all dispatches by
            entry processes in which requests of the rank waited.
    """

    arrived: int
    attainment: float
    goodput_per_s: float
    first_ms: tuple[float, ...]
    gap_ms: tuple[float, ...]
    floor_kept: float
    errors: dict[str, int]


def in_window(run: Run) -> list[Record]:
    """Returns the records of requests that arrived in the window."""
    return [
        record
        for record in run.records
        if run.start_s <= record.arrival.request.arrived_s < run.end_s
    ]


def by_rank(run: Run) -> dict[str, RankStats]:
    """Returns the statistics per rank."""
    records = in_window(run)
    window = [d for d in run.dispatches if run.start_s <= d[0] < run.end_s]
    return {
        rank: _stats(
            run,
            [r for r in records if r.arrival.request.rank == rank],
            _floor_kept(rank, window),
        )
        for rank in RANKS
    }


def _floor_kept(rank: str, window: list[tuple]) -> float:
    served = sum(1 for _, served_rank, _ in window if served_rank == rank)
    eligible = sum(1 for _, _, ranks in window if rank in ranks)
    return served / max(1e-9, RANKS[rank].floor_share * eligible)


def by_kind(run: Run) -> dict[str, RankStats]:
    """Returns the statistics per kind of request that all scenarios have."""
    records = in_window(run)
    return {
        kind.name: _stats(
            run,
            [r for r in records if r.arrival.request.work_kind == kind.name],
        )
        for kind in KINDS
    }


def met_targets(record: Record) -> bool:
    """Returns whether a request was answered within its rank's targets."""
    request = record.arrival.request
    rank = RANKS[request.rank]
    if record.end_s is None or record.first_s is None:
        return False
    first_s = record.first_s - request.arrived_s
    gap_ms = _gap_ms(record)
    return first_s <= rank.first_token_target_s and (
        gap_ms is None or gap_ms <= rank.token_gap_target_ms
    )


def _stats(
    run: Run, records: list[Record], floor_kept: float = 1.0
) -> RankStats:
    firsts = [
        1e3 * (r.first_s - r.arrival.request.arrived_s)
        for r in records
        if r.first_s is not None
    ]
    gaps = [gap for r in records if (gap := _gap_ms(r)) is not None]
    good = sum(met_targets(r) for r in records)
    errors: dict[str, int] = {}
    for record in records:
        if record.error:
            errors[record.error] = errors.get(record.error, 0) + 1
    return RankStats(
        arrived=len(records),
        attainment=good / len(records) if records else 1.0,
        goodput_per_s=good / (run.end_s - run.start_s),
        first_ms=tuple(_percentiles(firsts)),
        gap_ms=tuple(_percentiles(gaps)),
        floor_kept=floor_kept,
        errors=errors,
    )


class PlacementStats(msgspec.Struct, frozen=True):
    """Statistics of the placement.

    Attributes:
        attained: Requests in the window that met their targets, per second
            and accelerator.
        loads: Loads started in the window.
        unloads: Unloads started in the window.
        max_orders_per_artifact: Largest number of loads and unloads of one
            artifact started in the window.
        cold_s: Maximum and 95th percentile of the wait of the first request of
            each cold period; without an answer, the time to its deadline.
        unserved: Share of requests for models and adapters in the window that
            got no first token within their deadline.
        plan_ms: Median processor time of a plan.
    """

    attained: float
    loads: int
    unloads: int
    max_orders_per_artifact: int
    cold_s: tuple[float, float]
    unserved: float
    plan_ms: float


def placement(run: Run) -> PlacementStats:
    """Returns the statistics of the placement."""
    records = in_window(run)
    planned_orders = [
        order
        for at_s, order in run.planned_orders
        if run.start_s <= at_s < run.end_s
    ]
    per_artifact = Counter(order.artifact.name for order in planned_orders)
    asking = [r for r in records if r.arrival.request.artifact is not None]
    unserved = sum(_wait_s(r) is None for r in asking)
    cold = _cold_waits_s(run) or [0.0]
    kinds = Counter(order.kind for order in planned_orders)
    return PlacementStats(
        attained=sum(met_targets(r) for r in records)
        / (run.end_s - run.start_s)
        / run.accelerators,
        loads=kinds[OrderKind.LOAD],
        unloads=kinds[OrderKind.UNLOAD],
        max_orders_per_artifact=max(per_artifact.values(), default=0),
        cold_s=(max(cold), sorted(cold)[int(0.95 * (len(cold) - 1))]),
        unserved=unserved / max(1, len(asking)),
        plan_ms=statistics.median(run.plan_ms) if run.plan_ms else 0.0,
    )


def _cold_waits_s(run: Run) -> list[float]:
    """Returns the wait of the first request of each cold period."""
    waits_s = []
    cold: set[str] = set()
    for record in run.records:
        request = record.arrival.request
        if not record.cold:
            cold.discard(request.artifact)
        elif request.artifact not in cold:
            cold.add(request.artifact)
            if run.start_s <= request.arrived_s < run.end_s:
                limit_s = request.deadline_s - request.arrived_s
                wait_s = _wait_s(record)
                waits_s.append(limit_s if wait_s is None else wait_s)
    return waits_s


def _wait_s(record: Record) -> float | None:
    """Returns the time to the first token if it is within the deadline."""
    request = record.arrival.request
    if record.first_s is None or record.first_s > request.deadline_s:
        return None
    return record.first_s - request.arrived_s


def _gap_ms(record: Record) -> float | None:
    gaps = record.arrival.tokens - 1
    if gaps < 1 or record.end_s is None:
        return None
    return 1e3 * (record.end_s - record.first_s) / gaps


def _percentiles(values: list[float]) -> Iterator[float]:
    if len(values) < 2:
        yield from [0.0] * len(PERCENTILES)
        return
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    yield from (cuts[p - 1] for p in PERCENTILES)
