"""Checks streams that may run only once and go on at other engines."""

import itertools
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from soak.deployment import Outage
from soak.promises import ALLOWED_STATUSES, NOT_RUN_STATUSES, is_excused
from soak.streams import Stream
from standins.kv_engine import count_events, encode_event

# How long two engines may work on a stream that goes from one to the other.
MAX_OVERLAP_S = 0.4


class EngineRun(NamedTuple):
    """A run of a stream at an engine.

    Attributes:
        engine: Number of the worker.
        is_afresh: Whether it began without a copy.
    """

    id: str
    engine: int
    is_afresh: bool
    begin_s: float
    end_s: float


# The runs of each id in the order of their begins.
Runs = Mapping[str, Sequence[EngineRun]]


class Cut(NamedTuple):
    """A time in which connections to a worker were cut."""

    engine: int
    begin_s: float
    end_s: float


def read_runs(
    lines: dict[int, list[str]],
    kills: Iterable[tuple[int, float]],
    now_s: float,
) -> Iterator[EngineRun]:
    """Yields the runs from the lines of engines (``standins.kv_engine``).

    Args:
        lines: The lines of each engine, by number.
        kills: Numbers of engines, and when they were killed.
        now_s: When the lines were read.
    """
    kills = sorted(kills, key=lambda kill: kill[1])
    for engine, of_engine in lines.items():
        words = [line.split() for line in of_engine]
        ends = {one[1]: float(one[-1]) for one in words if one[:1] == ["ended"]}
        for one in words:
            if one[:1] != ["began"]:
                continue
            _, serial, name, origin, _, begin = one
            begin_s = float(begin)
            killed_s = [
                at_s
                for number, at_s in kills
                if number == engine and at_s >= begin_s
            ]
            end_s = ends.get(serial, (killed_s or [now_s])[0])
            yield EngineRun(name, engine, origin == "afresh", begin_s, end_s)


def group_by_id(runs: Iterable[EngineRun]) -> dict[str, list[EngineRun]]:
    """Returns the runs of each id in the order of their begins."""
    ordered = sorted(runs, key=lambda run: (run.id, run.begin_s))
    return {
        name: list(group)
        for name, group in itertools.groupby(ordered, lambda run: run.id)
    }


def longest_overlap_s(
    runs: Iterable[EngineRun], cuts: Collection[Cut] = ()
) -> float:
    """Returns how long two runs of an id were at work at once.

    Time in which the engine of the earlier run was cut off does not count.

    Args:
        runs: The runs of one id in the order of their begins.
        cuts: When engines were cut off.
    """
    return max(
        (
            _overlap_s(first, second, cuts)
            for first, second in itertools.combinations(runs, 2)
        ),
        default=0.0,
    )


def _overlap_s(
    first: EngineRun, second: EngineRun, cuts: Collection[Cut]
) -> float:
    end_s = min(first.end_s, second.end_s)
    covered_s = second.begin_s
    counted_s = 0.0
    for cut in sorted(cuts, key=lambda cut: cut.begin_s):
        if cut.engine == first.engine:
            counted_s += max(0.0, min(cut.begin_s, end_s) - covered_s)
            covered_s = max(covered_s, cut.end_s)
    return counted_s + max(0.0, end_s - covered_s)


def find_takeover_violations(
    streams: Iterable[Stream],
    runs: dict[str, list[EngineRun]],
    outages: Collection[Outage],
    cuts: Collection[Cut] = (),
) -> Iterator[str]:
    """Yields a line for each violated guarantee.

    Args:
        streams: The streams, with one request each.
        runs: The runs of each id in the order of their begins.
        outages: Outages of gateways, in which requests may get no answer.
        cuts: When engines were cut off.
    """
    for name, of_id in runs.items():
        afresh = sum(run.is_afresh for run in of_id)
        if afresh > 1:
            yield f"{name} ran afresh {afresh} times: {of_id}"
        overlap_s = longest_overlap_s(of_id, cuts)
        if overlap_s > MAX_OVERLAP_S:
            yield (
                f"{name} was at work at two engines for {overlap_s:.2f} s:"
                f" {of_id}"
            )
    for stream in streams:
        for one in stream.tries:
            has_run = one.id in runs
            if one.status in NOT_RUN_STATUSES and has_run:
                yield f"{one.id} ran, but was answered {one.status}"
            if one.status and one.status not in ALLOWED_STATUSES:
                yield f"{one.id} was answered {one.status}"
            if one.goes_on and not has_run:
                yield f"{one.id} was answered, but not run"
            is_lost = one.status == 0 and one.problem
            if is_lost and not is_excused(one, has_run, outages):
                yield (f"{one.id} through gateway{one.gateway}: {one.problem}")
        yield from _check_events(stream)


def _check_events(stream: Stream) -> Iterator[str]:
    expected = [
        encode_event(stream.name, number).removesuffix(b"\n\n")
        for number in range(1, count_events(stream.name) + 1)
    ]
    events = stream.events
    if events != expected[: len(events)]:
        yield f"{stream.name} has {events}"
    elif stream.is_complete and events != expected:
        yield f"{stream.name} looks complete after {len(events)} events"


def summarize(
    streams: Iterable[Stream],
    runs: dict[str, list[EngineRun]],
    cuts: Collection[Cut] = (),
) -> str:
    """Returns how many streams went on elsewhere, and how they ended."""
    tries = [one for stream in streams for one in stream.tries]
    begun = [one for one in tries if one.goes_on]
    ended = [one for one in begun if not one.is_complete]
    left = sum(one.has_left for one in ended)
    copied = sum(not of_id[-1].is_afresh for of_id in runs.values())
    twice, cut_off = (
        sum(
            longest_overlap_s(of_id, excused) > MAX_OVERLAP_S
            for of_id in runs.values()
        )
        for excused in (cuts, ())
    )
    return (
        f"{len(begun)} of {len(tries)} streams with copies began,"
        f" {copied} went on from a copy, {len(begun) - len(ended)} are"
        f" complete, {len(ended) - left} broke off, {left} were left;"
        f" {twice} were at work at two engines for over {MAX_OVERLAP_S} s,"
        f" {cut_off} with those at engines that were cut off"
    )
