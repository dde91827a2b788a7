"""Checks streams of sound engines that were silent for a while."""

import itertools
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from soak.fault_kinds import SILENCE_KINDS
from soak.faults import InjectedFault
from soak.streams import Stream, Try
from soak.takeovers import EngineRun, Runs

# Time without an event that the silence of an engine does not explain: the
# interval of its events, and their way.
UNEXPLAINED_S = 0.2


class Silence(NamedTuple):
    """A time in which an engine sent no events."""

    engine: int
    begin_s: float
    end_s: float

    def overlap_s(self, begin_s: float, end_s: float) -> float:
        """Returns how much of a time it covers."""
        return max(0.0, min(end_s, self.end_s) - max(begin_s, self.begin_s))


def find_silences(injected: Iterable[InjectedFault]) -> list[Silence]:
    """Returns the times in which faults made engines silent."""
    return [
        Silence(one.fault.target, one.begin_s, one.end_s)
        for one in injected
        if one.fault.kind in SILENCE_KINDS
    ]


def add_lags(
    silences: Iterable[Silence], lines: Mapping[int, Iterable[str]]
) -> list[Silence]:
    """Returns all times in which engines were silent; none overlap.

    Args:
        silences: Those of faults.
        lines: The lines of each engine, by number, with the times in which it
            stood still for any reason (``standins.worker_process``).
    """
    lags = [
        Silence(engine, *map(float, line.split()[1:]))
        for engine, of_engine in lines.items()
        for line in of_engine
        if line.startswith("stood-still ")
    ]
    return list(_merge(sorted([*silences, *lags])))


def _merge(silences: Iterable[Silence]) -> Iterator[Silence]:
    """Yields sorted silences with those that overlap as one."""
    last = None
    for one in silences:
        if last and one.engine == last.engine and one.begin_s <= last.end_s:
            last = last._replace(end_s=max(last.end_s, one.end_s))
            continue
        if last:
            yield last
        last = one
    if last:
        yield last


def find_cut_streams(
    streams: Iterable[Stream],
    runs: Runs,
    silences: Collection[Silence],
) -> Iterator[str]:
    """Yields a line for each stream that was cut though its engine was sound.

    A gateway has begun a stream with the status 200, and may end it at the
    deadline of its request only, also while the gateway stops. A caller that
    left is excused if the engine itself was silent until then.

    Args:
        streams: The streams, with one request each.
        runs: The runs of each id in the order of their begins.
        silences: When engines were silent.
    """
    for one in itertools.chain.from_iterable(each.tries for each in streams):
        if not is_cut(one):
            continue
        of_id = runs.get(one.id, ())
        line = (
            f"{one.id} through gateway{one.gateway} after {len(one.events)}"
            f" events, the last one at {one.last_event_s:.3f}: {list(of_id)}"
        )
        if not one.has_left:
            yield f"was cut at {one.ended_s:.3f} ({one.problem}): {line}"
            continue
        unexplained_s = _unexplained_s(one, of_id, silences)
        if unexplained_s > UNEXPLAINED_S:
            yield (
                f"was left at {one.ended_s:.3f}, for {unexplained_s:.2f} s of"
                f" which its engine was not silent: {line}"
            )


def is_cut(one: Try) -> bool:
    """Returns whether a stream ended before its end and its deadline."""
    return (
        one.status == 200
        and not one.is_complete
        and one.ended_s < one.deadline_s
    )


def _unexplained_s(
    one: Try, runs: Iterable[EngineRun], silences: Iterable[Silence]
) -> float:
    """Returns for how long a stream had no event though its engine did send.

    Args:
        one: The request of the stream.
        runs: Its runs, of which the one that sent the last event counts.
        silences: When engines were silent, one after the other for each.
    """
    begin_s = one.last_event_s or one.sent_s
    engines = [run.engine for run in runs if run.begin_s <= begin_s]
    explained_s = sum(
        silence.overlap_s(begin_s, one.ended_s)
        for silence in silences
        if silence.engine in engines[-1:]
    )
    return one.ended_s - begin_s - explained_s


def summarize(
    streams: Iterable[Stream],
    runs: Runs,
    silences: Collection[Silence],
) -> str:
    """Returns what became of the streams that met a silence."""
    met = [
        one
        for one in itertools.chain.from_iterable(each.tries for each in streams)
        if one.status == 200 and _has_met(runs.get(one.id, ()), silences)
    ]
    return (
        f"{len(met)} streams met {len(silences)} silences of engines,"
        f" {sum(len(runs[one.id]) > 1 for one in met)} went on at another"
        f" engine, {sum(is_cut(one) and not one.has_left for one in met)} were"
        f" cut, {sum(is_cut(one) and one.has_left for one in met)} were left;"
        " the longest time between two events was"
        f" {max((one.longest_gap_s for one in met), default=0.0):.2f} s"
    )


def _has_met(runs: Iterable[EngineRun], silences: Collection[Silence]) -> bool:
    return any(
        run.engine == silence.engine
        and silence.overlap_s(run.begin_s, run.end_s) > 0
        for run, silence in itertools.product(runs, silences)
    )
