"""Counts what became of streams whose engine hung or ended."""

import itertools
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from soak.fault_kinds import HANG_KINDS, FaultKind
from soak.faults import InjectedFault
from soak.streams import Stream, Try
from soak.takeovers import Runs


class Hang(NamedTuple):
    """The streams at an engine as it hung or ended.

    Attributes:
        went_on: Those that are whole after a run at another engine.
        stayed: Those that are whole without.
        broke_off: Those that a gateway ended.
        left: Those whose callers left after 2 s without an event.
        longest_s: The longest time between two events of those that went on.
    """

    kind: FaultKind
    engine: int
    went_on: int
    stayed: int
    broke_off: int
    left: int
    longest_s: float

    def __str__(self) -> str:
        return (
            f"{self.kind.name} {self.engine}: {self.went_on} streams went on"
            f" elsewhere (up to {self.longest_s:.2f} s between two events),"
            f" {self.stayed} stayed, {self.broke_off} broke off,"
            f" {self.left} were left"
        )


def count_hangs(
    injected: Iterable[InjectedFault], streams: Iterable[Stream], runs: Runs
) -> Iterator[Hang]:
    """Yields the counts of each hang."""
    tries = list(itertools.chain.from_iterable(one.tries for one in streams))
    for fault in injected:
        if fault.fault.kind not in HANG_KINDS:
            continue
        engine = fault.fault.target
        met = [one for one in tries if _is_at(one, engine, fault.begin_s, runs)]
        whole = [one for one in met if one.is_complete]
        went_on = [one for one in whole if len(runs[one.id]) > 1]
        left = sum(one.has_left for one in met)
        yield Hang(
            kind=fault.fault.kind,
            engine=engine,
            went_on=len(went_on),
            stayed=len(whole) - len(went_on),
            broke_off=len(met) - len(whole) - left,
            left=left,
            longest_s=max((one.longest_gap_s for one in went_on), default=0.0),
        )


def _is_at(one: Try, engine: int, at_s: float, runs: Runs) -> bool:
    """Returns whether a stream that has begun was at an engine."""
    engines = [
        run.engine for run in runs.get(one.id, ()) if run.begin_s <= at_s
    ]
    has_begun = one.status == 200 and at_s < one.ended_s
    return has_begun and engines[-1:] == [engine]
