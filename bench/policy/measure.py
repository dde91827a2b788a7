"""Figures of a run."""

import statistics
from collections.abc import Iterator

import msgspec

from bench.policy.deployments import KINDS, RANKS
from bench.policy.scenarios import Run
from bench.policy.world import Record

PERCENTILES = (50, 95, 99)


class RankFigures(msgspec.Struct, frozen=True):
    """Figures of the requests of one rank or kind that arrived in a window.

    Attributes:
        first_ms: Percentiles of the time to the first token.
        gap_ms: Percentiles of the mean time between a request's tokens.
        floor_kept: Requests dispatched, as a share of those that the floor
            guarantees: all of its own up to its floor share of all dispatches.
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


def by_rank(run: Run) -> dict[str, RankFigures]:
    """Returns the figures per rank."""
    records = in_window(run)
    return {
        rank: _figures(
            run,
            [r for r in records if r.arrival.request.rank == rank],
            RANKS[rank].floor_share * sum(r.dispatched for r in records),
        )
        for rank in RANKS
    }


def by_kind(run: Run) -> dict[str, RankFigures]:
    """Returns the figures per kind of work that every scenario has."""
    records = in_window(run)
    return {
        kind.name: _figures(
            run,
            [r for r in records if r.arrival.request.work_kind == kind.name],
        )
        for kind in KINDS
    }


def met(record: Record) -> bool:
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


def _figures(
    run: Run, records: list[Record], floor: float = 0.0
) -> RankFigures:
    firsts = [
        1e3 * (r.first_s - r.arrival.request.arrived_s)
        for r in records
        if r.first_s is not None
    ]
    gaps = [gap for r in records if (gap := _gap_ms(r)) is not None]
    good = sum(met(r) for r in records)
    owed = min(len(records), floor)
    dispatched = sum(r.dispatched for r in records)
    errors: dict[str, int] = {}
    for record in records:
        if record.error:
            errors[record.error] = errors.get(record.error, 0) + 1
    return RankFigures(
        arrived=len(records),
        attainment=good / len(records) if records else 1.0,
        goodput_per_s=good / (run.end_s - run.start_s),
        first_ms=tuple(_percentiles(firsts)),
        gap_ms=tuple(_percentiles(gaps)),
        floor_kept=dispatched / owed if owed else 1.0,
        errors=errors,
    )


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
