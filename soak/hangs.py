"""Checks and counts streams whose engine hung or ended."""

import functools
import itertools
import operator
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import NamedTuple

from soak.copies import Copy
from soak.fault_kinds import HANG_KINDS, FaultKind
from soak.faults import InjectedFault
from soak.silences import Silence, is_cut
from soak.streams import Stream, Try
from soak.takeovers import Runs

# After its last event a stream of an engine that holds its events back goes on
# at an engine that is sound and has a free slot all this time.
FREE_FROM_S = 0.7
FREE_UNTIL_S = 2.0


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


class Loss(NamedTuple):
    """A stream that was left or cut at an engine that held its events back.

    Attributes:
        engine: The engine of its last event.
        has_stood_still: Whether this engine answered no calls meanwhile.
        free_engines: The other engines that could have gone on with it.
    """

    stream: Try
    engine: int
    has_stood_still: bool
    free_engines: Sequence[int]

    @property
    def is_excused(self) -> bool:
        """Whether it could not go on."""
        return self.has_stood_still or not self.free_engines

    def __str__(self) -> str:
        how = "left" if self.stream.has_left else "cut"
        return (
            f"{self.stream.id} through gateway{self.stream.gateway} was {how}"
            f" at {self.stream.ended_s:.3f} after {len(self.stream.events)}"
            f" events, the last one at {self.stream.last_event_s:.3f} by engine"
            f" {self.engine}; engines {self.free_engines} had a free slot"
        )


def find_losses(
    injected: Iterable[InjectedFault],
    streams: Collection[Stream],
    runs: Runs,
    copies: Collection[Copy],
    lags: Collection[Silence],
    slots: dict[int, int],
) -> Iterator[Loss]:
    """Yields the streams that were left or cut as engines held events back.

    Args:
        injected: The faults.
        streams: The streams, with one request each.
        runs: The runs of each id in the order of their begins.
        copies: The copies, which hold slots.
        lags: When engines stood still by themselves.
        slots: How many runs and copies each engine has room for.
    """
    hangs = [one for one in injected if one.fault.kind in HANG_KINDS]
    unsound = [
        Silence(one.fault.target, one.begin_s, one.end_s) for one in hangs
    ]
    unsound += lags
    for hang, stream in itertools.product(hangs, streams):
        engine = hang.fault.target
        for one in filter(is_cut, stream.tries):
            if (
                hang.fault.kind is not FaultKind.HOLD_EVENTS
                or not _is_at(one, engine, hang.begin_s, runs)
                or not _is_at(one, engine, one.last_event_s, runs)
            ):
                continue
            from_s = one.last_event_s + FREE_FROM_S
            until_s = one.last_event_s + FREE_UNTIL_S
            taken = _count_taken(one.id, runs, copies, from_s, until_s)
            yield Loss(
                stream=one,
                engine=engine,
                has_stood_still=_meets(lags, engine, one.last_event_s, until_s),
                free_engines=[
                    other
                    for other, its_slots in slots.items()
                    if other != engine
                    and taken[other] < its_slots
                    and not _meets(unsound, other, from_s, until_s)
                ],
            )


def summarize(losses: Collection[Loss]) -> str:
    """Returns how many streams were lost, and how many of them excused."""
    stood_still = sum(one.has_stood_still for one in losses)
    excused = sum(one.is_excused for one in losses)
    return (
        f"{len(losses)} streams were left or cut while their engine held events"
        f" back: {len(losses) - excused} with a free slot at another engine,"
        f" {excused - stood_still} without, {stood_still} as their engine stood"
        " still"
    )


def _meets(
    silences: Iterable[Silence], engine: int, begin_s: float, end_s: float
) -> bool:
    return any(
        one.engine == engine and one.overlap_s(begin_s, end_s) > 0
        for one in silences
    )


def _count_taken(
    stream_id: str,
    runs: Runs,
    copies: Iterable[Copy],
    begin_s: float,
    end_s: float,
) -> Counter[int]:
    """Returns how many slots of each engine were taken at most in a time.

    Args:
        stream_id: The stream whose own runs and copies do not count.
        runs: The runs of each id.
        copies: The copies.
        begin_s: The begin of the time.
        end_s: Its end.
    """
    holders = [
        one
        for one in itertools.chain(*runs.values(), copies)
        if one.id != stream_id and one.begin_s < end_s and begin_s < one.end_s
    ]
    moments_s = {begin_s, *(max(begin_s, one.begin_s) for one in holders)}
    counts = [
        Counter(
            one.engine for one in holders if one.begin_s <= moment_s < one.end_s
        )
        for moment_s in moments_s
    ]
    return functools.reduce(operator.or_, counts)
