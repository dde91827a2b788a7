"""Checks what callers of gateways without links to workers got."""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from soak.callers import Outcome
from soak.deployment import LinkLoss, Outage
from soak.fault_kinds import FaultKind
from soak.faults import InjectedFault
from soak.streams import Stream, Try
from soak.takeovers import EngineRun

# A gateway may take this long to find out that its links are lost, and others
# to get to know it.
DETECTION_S = 3.0

# Requests at these gateways are served at least this often, compared with
# others, or no more of them fail than this number and share of all.
MIN_RELATIVE_SHARE = 2 / 3
MAX_FAILURES = 10
MAX_FAILED_SHARE = 1 / 50

# How soon a run ends after its caller has closed the connection.
MAX_STOP_S = 0.5

# Faults in which a close may not reach an engine, or is handled late.
_DELAYING_KINDS = frozenset(
    [
        FaultKind.PAUSE_GATEWAY,
        FaultKind.PAUSE_WORKER,
        FaultKind.DELAY_WORKER,
        FaultKind.CUT_WORKER,
        FaultKind.SILENCE_WORKER,
    ]
)


class ServedShares(NamedTuple):
    """How many requests were served while some gateways had no links.

    Attributes:
        cut_off: Requests at gateways without links.
        cut_off_served: Those that were answered with 200.
        others: Requests at the other gateways.
        others_served: Those that were answered with 200.
    """

    cut_off: int
    cut_off_served: int
    others: int
    others_served: int

    def __str__(self) -> str:
        return (
            f"{self.cut_off_served} of {self.cut_off} requests served at"
            f" gateways without links, {self.others_served} of {self.others}"
            " at the others"
        )

    @property
    def is_too_low(self) -> bool:
        """Whether gateways without links served too few requests."""
        if not self.cut_off or not self.others:
            return False
        failed = self.cut_off - self.cut_off_served
        allowed = MAX_FAILURES + MAX_FAILED_SHARE * (self.cut_off + self.others)
        share = self.cut_off_served / self.cut_off
        other_share = self.others_served / self.others
        return failed > allowed and share < MIN_RELATIVE_SHARE * other_share


def count_served(
    loss: LinkLoss, outcomes: Iterable[Outcome], outages: Collection[Outage]
) -> ServedShares:
    """Counts the requests at gateways that were up while links were lost."""
    counts = Counter(
        (one.gateway in loss.gateways, one.status == 200)
        for one in outcomes
        if loss.begin_s + DETECTION_S <= one.sent_s <= loss.end_s
        and not any(
            outage.gateway == one.gateway
            and outage.begin_s <= one.ended_s
            and one.sent_s <= outage.end_s
            for outage in outages
        )
    )
    return ServedShares(
        counts[True, True] + counts[True, False],
        counts[True, True],
        counts[False, True] + counts[False, False],
        counts[False, True],
    )


def find_closes(
    streams: Iterable[Stream],
    injected: Collection[InjectedFault],
    losses: Collection[LinkLoss],
) -> Iterator[Try]:
    """Yields the requests whose callers left, and whose runs have to end soon.

    Args:
        streams: The streams, with one request each.
        injected: Faults that may delay a close.
        losses: When gateways had lost their links.
    """
    delays = [
        (each.begin_s, each.end_s)
        for each in injected
        if each.fault.kind in _DELAYING_KINDS
    ]
    for one in (one for stream in streams for one in stream.tries):
        latest_s = one.ended_s + MAX_STOP_S
        # A request that was sent over a link is lost with it.
        is_excused = any(
            begin_s <= latest_s and one.sent_s <= end_s
            for begin_s, end_s in delays
        ) or any(
            one.gateway in loss.gateways
            and loss.begin_s <= latest_s
            and one.sent_s <= loss.begin_s + DETECTION_S
            for loss in losses
        )
        if one.has_left and not is_excused:
            yield one


def find_late_stops(
    closes: Iterable[Try],
    runs: Mapping[str, list[EngineRun]],
    works_on: Collection[int] = (),
) -> Iterator[str]:
    """Yields a line for each run that went on after its caller had left.

    Args:
        closes: The requests whose callers left.
        runs: The runs of each id.
        works_on: Engines that do not look for closed connections.
    """
    for one in closes:
        for run in runs.get(one.id, ()):
            if run.engine not in works_on and run.end_s > (
                one.ended_s + MAX_STOP_S
            ):
                yield (
                    f"{one.id} through gateway{one.gateway} ran for"
                    f" {run.end_s - one.ended_s:.2f} s after its caller had"
                    f" left: {run}"
                )
