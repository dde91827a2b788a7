"""What a caller may be told of a failed request, and whether to try again."""

import math

import msgspec

from acaciaspoke.entry.errors import Outcome
from acaciaspoke.entry.request import Request

BUDGET_SHARE = 0.1
BUDGET_WINDOW_S = 10.0

# A process with little traffic may still retry this many times in a window.
BUDGET_MINIMUM = 3.0

# The first try and two more; a third failure in a row is seldom chance.
MAX_TRIES = 3


class Exchange(msgspec.Struct, kw_only=True):
    """What passed between this process and an upstream for one request.

    Attributes:
        bytes_sent: Bytes of the request that may have left this process.
        refused: Whether a whole refusal was read whose status the service
            declares as one and whose request id matched.
        answered: Whether another answer was read to its end.
        relayed: Whether a byte of an answer went to the caller.
    """

    bytes_sent: int = 0
    refused: bool = False
    answered: bool = False
    relayed: bool = False


def outcome_of(exchange: Exchange | None) -> Outcome:
    """Returns what is known of a request after an exchange, or without one.

    ``NOT_RUN`` needs proof: nothing was sent, or the upstream said so.
    """
    if exchange is None or not exchange.bytes_sent:
        return Outcome.NOT_RUN
    if exchange.answered:
        return Outcome.RAN
    if exchange.refused and not exchange.relayed:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def outcome_of_all(exchanges: list[Exchange]) -> Outcome:
    """Returns what is known after several tries of one request."""
    outcomes = {outcome_of(exchange) for exchange in exchanges}
    for outcome in (Outcome.RAN, Outcome.UNKNOWN):
        if outcome in outcomes:
            return outcome
    return Outcome.NOT_RUN


class RetryBudget:
    """Limits retries to a share of recent requests.

    Without it, retries multiply the load just when upstreams are failing.
    """

    def __init__(self):
        self._requests = 0.0
        self._retries = 0.0
        self._at_s: float | None = None

    def note_request(self, now_s: float) -> None:
        """Counts a request on its first try."""
        self._decay(now_s)
        self._requests += 1.0

    def allows(self, now_s: float) -> bool:
        """Returns whether one more retry fits."""
        self._decay(now_s)
        allowance = max(BUDGET_MINIMUM, BUDGET_SHARE * self._requests)
        return self._retries + 1.0 <= allowance

    def note_retry(self, now_s: float) -> None:
        """Counts a retry."""
        self._decay(now_s)
        self._retries += 1.0

    def _decay(self, now_s: float) -> None:
        if self._at_s is not None:
            passed_s = max(0.0, now_s - self._at_s)
            decay = math.exp(-passed_s / BUDGET_WINDOW_S)
            self._requests *= decay
            self._retries *= decay
        self._at_s = now_s


def may_retry(
    request: Request,
    exchange: Exchange,
    *,
    tries: int,
    budget: RetryBudget,
    now_s: float,
) -> bool:
    """Returns whether a failed request may be sent to another upstream.

    A request of which nothing was sent costs no upstream anything, so that
    the budget does not count it.

    The caller of this function excludes the upstreams already tried when it
    routes the request, and then calls ``budget.note_retry``.

    Args:
        request: The request.
        exchange: Its last try.
        tries: Tries so far of the kind, reaching an upstream or not, of which
            there were more.
        budget: The budget of this process.
        now_s: The time.
    """
    return (
        request.idempotent
        and not exchange.relayed
        and not exchange.answered
        and tries < MAX_TRIES
        and now_s < request.deadline_s
        and (not exchange.bytes_sent or budget.allows(now_s))
    )
