"""Checks streams that callers went on with, over all requests for them."""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

from soak.configuration import RESUMABLE_TIMEOUT_MS
from soak.deployment import Outage, ServingEngine
from soak.fault_kinds import FaultKind
from soak.faults import InjectedFault
from soak.promises import (
    ALLOWED_STATUSES,
    NOT_RUN_STATUSES,
    is_excused,
)
from soak.streams import Stream, Try
from standins.worker_process import RESUMABLE_EVENTS

# A gateway that has been ready, and has reached the store, for this long has to
# go on with streams.
CALM_S = 0.5

# An engine counts if it has served for this long, and goes on to.
SERVING_S = 1.0

# Records of streams that began before a restore of the store may be lost.
STREAM_LIFE_S = 2 * RESUMABLE_TIMEOUT_MS / 1000

# With fewer continued streams nothing is said about their share.
MIN_CONTINUED = 12
MIN_RELATIVE_SHARE = 0.5

_OF_GATEWAY = frozenset(
    [
        FaultKind.KILL_GATEWAY,
        FaultKind.STOP_GATEWAY,
        FaultKind.PAUSE_GATEWAY,
        FaultKind.DELAY_STORE,
        FaultKind.RESET_STORE,
        FaultKind.SILENCE_STORE,
    ]
)
_OF_ALL_GATEWAYS = frozenset(
    [
        FaultKind.KILL_ALL_GATEWAYS,
        FaultKind.PAUSE_STORE,
        FaultKind.LOSE_ANSWERS,
        FaultKind.RESTORE_STORE,
    ]
)


class Shares(NamedTuple):
    """How many streams began or went on, of those that could.

    Attributes:
        could_begin: First requests at gateways and engines without faults.
        could_go_on: Later requests for begun streams, likewise.
        continued: All later requests for begun streams, also amid faults.
    """

    could_begin: int
    begun: int
    could_go_on: int
    gone_on: int
    continued: int
    gone_on_amid_faults: int

    def __str__(self) -> str:
        return (
            f"{self.begun} of {self.could_begin} streams began,"
            f" {self.gone_on} of {self.could_go_on} went on"
            f" ({self.gone_on_amid_faults} of {self.continued} with those amid"
            " faults)"
        )


def find_stream_violations(
    streams: Iterable[Stream],
    runs: Iterable[str],
    outages: Iterable[Outage] = (),
    broken_s: Collection[float] = (),
) -> Iterator[str]:
    """Yields a line for each violated guarantee of resumable streams.

    Args:
        streams: What callers saw.
        runs: The ids of the requests that workers ran, one per run.
        outages: Outages of gateways, in which requests may get no answer.
        broken_s: When connections to workers were broken, so that an answer may
            end early.
    """
    counts = Counter(runs)
    outages = list(outages)
    for stream in streams:
        events = [_fields(event) for event in stream.events]
        versions = {version for _, _, version in events}
        if len(versions) > 1:
            yield f"{stream.name} is of two versions: {_describe(stream)}"
        numbers = [number for number, _, _ in events]
        if numbers != [str(1 + index) for index in range(len(events))]:
            yield f"{stream.name} has events {numbers}: {_describe(stream)}"
        if any(name != stream.name for _, name, _ in events):
            yield f"{stream.name} has events of others: {events}"
        if stream.is_complete and len(events) != RESUMABLE_EVENTS:
            yield f"{stream.name} looks complete: {_describe(stream)}"
        for one in stream.tries:
            if one.status in NOT_RUN_STATUSES and counts[one.id]:
                yield f"{one.id} ran, but was answered {one.status}"
            if one.status and one.status not in ALLOWED_STATUSES:
                yield f"{one.id} was answered {one.status}"
            if (
                one.problem
                and not is_excused(one, counts[one.id] > 0, outages)
                and not _may_be_cut(one, broken_s)
            ):
                yield (
                    f"{one.id} through gateway{one.gateway}: {one.problem},"
                    f" status {one.status}"
                )


def _may_be_cut(one: Try, broken_s: Collection[float]) -> bool:
    return one.ended_s >= one.deadline_s or any(
        one.sent_s <= at_s <= one.ended_s for at_s in broken_s
    )


def _fields(event: bytes) -> tuple[str, str, str]:
    """Returns number, stream and version of an event; empty if it has none."""
    head, _, data = event.decode().partition("\ndata: ")
    name, number, version = (data.split(" ") + ["", "", ""])[:3]
    is_whole = head == f"id: {number}"
    return (number, name, version) if is_whole else ("", "", "")


def _describe(stream: Stream) -> str:
    return "; ".join(
        f"{one.id} at gateway{one.gateway} {one.status}"
        f" with {len(one.events)} events"
        f" of {sorted({_fields(event)[2] for event in one.events})}"
        f" after {one.last_event}"
        for one in stream.tries
    )


def count_shares(
    streams: Iterable[Stream],
    injected: Iterable[InjectedFault],
    engines: Iterable[ServingEngine],
) -> Shares:
    """Counts the streams that had to begin or to go on, and those that did."""
    streams, injected, engines = list(streams), list(injected), list(engines)
    continued = [
        one for stream in streams for one in stream.tries if one.last_event
    ]
    counts = Counter()
    for stream in streams:
        versions = {_fields(event)[2] for event in stream.events[:1]}
        for index, one in enumerate(stream.tries):
            if not one.last_event and index:
                continue
            wanted = versions if one.last_event else None
            if (
                _is_calm(one, injected)
                and _has_record(one, stream.tries[0].sent_s, injected)
                and _has_engines(one.sent_s, wanted, engines, injected)
            ):
                counts[bool(one.last_event), one.goes_on] += 1
    return Shares(
        could_begin=counts[False, False] + counts[False, True],
        begun=counts[False, True],
        could_go_on=counts[True, False] + counts[True, True],
        gone_on=counts[True, True],
        continued=len(continued),
        gone_on_amid_faults=sum(one.goes_on for one in continued),
    )


def find_refused(shares: Shares) -> Iterator[str]:
    """Yields a line if too few streams went on."""
    if shares.could_go_on < MIN_CONTINUED or not shares.could_begin:
        return
    share = shares.gone_on / shares.could_go_on
    if share < MIN_RELATIVE_SHARE * shares.begun / shares.could_begin:
        yield f"too few streams went on: {shares}"


def _is_calm(one: Try, injected: Iterable[InjectedFault]) -> bool:
    return not any(
        _overlaps(each, one.sent_s - CALM_S, one.ended_s)
        for each in injected
        if each.fault.kind in _OF_ALL_GATEWAYS
        or (each.fault.kind in _OF_GATEWAY and each.fault.target == one.gateway)
    )


def _has_record(
    one: Try, begin_s: float, injected: Iterable[InjectedFault]
) -> bool:
    return not one.last_event or not any(
        each.fault.kind is FaultKind.RESTORE_STORE
        and _overlaps(each, begin_s - STREAM_LIFE_S, one.ended_s)
        for each in injected
    )


def _has_engines(
    at_s: float,
    versions: set[str] | None,
    engines: Iterable[ServingEngine],
    injected: Iterable[InjectedFault],
) -> bool:
    """Returns whether two engines of one version serve, without faults."""
    disturbed = {
        each.fault.target
        for each in injected
        if each.fault.kind.name.endswith("_WORKER")
        and _overlaps(each, at_s - SERVING_S, at_s + SERVING_S)
    }
    serving = Counter(
        engine.version
        for engine in engines
        if engine.begin_s + SERVING_S <= at_s <= engine.end_s - SERVING_S
        and engine.number not in disturbed
    )
    return any(
        count >= 2
        for version, count in serving.items()
        if versions is None or version in versions
    )


def _overlaps(each: InjectedFault, begin_s: float, end_s: float) -> bool:
    return each.begin_s <= end_s and begin_s <= each.end_s
