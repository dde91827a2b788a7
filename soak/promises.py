"""Checks the outcomes of a run against the guarantees of the gateway."""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator

from soak.callers import Kind, Outcome
from soak.deployment import Outage
from soak.streams import Try
from standins.worker_process import EVENTS

# With these the gateway guarantees that the request has not run and never will.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])

# The shortest timeout of a route (soak/configuration.py), without the margin
# for requests that are counted from their head.
MIN_DEADLINE_S = 2.4

# Statuses that a caller may get while faults are injected.
ALLOWED_STATUSES = NOT_RUN_STATUSES | {200, 500, 502, 504}


def find_violations(
    outcomes: Iterable[Outcome],
    runs: Iterable[str],
    outages: Iterable[Outage],
    broken_s: Collection[float] = (),
) -> Iterator[str]:
    """Yields a line for each violated guarantee.

    Args:
        outcomes: The outcomes that callers saw.
        runs: The ids of the requests that workers ran, one per run.
        outages: Outages of gateways, in which requests may get no answer.
        broken_s: When connections to workers were broken, so that streams may
            end early.
    """
    counts = Counter(runs)
    outages = list(outages)
    for one in outcomes:
        if one.kind is Kind.UNSAFE and counts[one.id] > 1:
            yield f"{one.id} ran {counts[one.id]} times"
        if one.status in NOT_RUN_STATUSES and counts[one.id]:
            yield f"{one.id} ran, but was answered {one.status}"
        # Which keys are answered so is checked in soak/workspaces.py.
        is_unknown_key = one.status == 401 and one.key is not None
        is_allowed = one.status in ALLOWED_STATUSES or is_unknown_key
        if one.status and not is_allowed:
            yield f"{one.id} was answered {one.status}: {one.body[:80]!r}"
        if one.status == 200 and one.body != _expected(one):
            yield f"{one.id} got {one.body[:200]!r}"
        if one.status == 200 and not counts[one.id]:
            yield f"{one.id} was answered, but not run"
        if (
            one.problem
            and not is_excused(one, counts[one.id] > 0, outages)
            and not _may_be_cut(one, broken_s)
        ):
            yield (
                f"{one.id} through gateway{one.gateway}: {one.problem};"
                f" {one.connection}"
            )


def _expected(one: Outcome) -> bytes:
    if one.kind is not Kind.STREAM:
        return one.id.encode()
    return b"".join(
        f"id: {number}\ndata: {one.id} {number}\n\n".encode()
        for number in range(1, EVENTS + 1)
    )


def is_excused(
    one: Outcome | Try, has_run: bool, outages: Iterable[Outage]
) -> bool:
    """Returns whether a request may have no answer, as its gateway was down."""
    return any(
        outage.gateway == one.gateway
        and not (outage.is_stop and has_run)
        and outage.begin_s <= one.ended_s
        and one.sent_s <= outage.end_s
        for outage in outages
    )


def _may_be_cut(one: Outcome, broken_s: Collection[float]) -> bool:
    # A stream that its worker cuts off, or that has reached its deadline, must
    # not look complete.
    return one.kind is Kind.STREAM and (
        one.ended_s - one.sent_s >= MIN_DEADLINE_S
        or any(one.sent_s <= at_s <= one.ended_s for at_s in broken_s)
    )
