"""The known outcome of a failed request, and whether to retry it."""

import math

import msgspec

from acaciaspoke.entry.errors import Outcome
from acaciaspoke.entry.request import Request

BUDGET_SHARE = 0.1
BUDGET_WINDOW_S = 10.0

# Retries that a process with little traffic may make within the window.
BUDGET_MINIMUM = 3.0

# The first attempt and two retries. A third failure in a row is rarely chance.
MAX_ATTEMPTS = 3


class Exchange(msgspec.Struct, kw_only=True):
    """The observable facts of one attempt at an upstream.

    Attributes:
        bytes_sent: Bytes of the request that may have left this process.
        refused: Whether a complete refusal was read. Its status must be one
            that the service declares as a refusal and its request id must
            match.
        answered: Whether any other response was read to its end.
        relayed: Whether any byte of a response was sent to the caller.
    """

    bytes_sent: int = 0
    refused: bool = False
    answered: bool = False
    relayed: bool = False


def outcome_of(exchange: Exchange | None) -> Outcome:
    """Returns the known outcome after one attempt, or without one.

    ``NOT_RUN`` needs proof: no byte was sent, or the upstream refused.
    """
    if exchange is None or not exchange.bytes_sent:
        return Outcome.NOT_RUN
    if exchange.answered:
        return Outcome.RAN
    if exchange.refused and not exchange.relayed:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def outcome_of_all(exchanges: list[Exchange]) -> Outcome:
    """Returns the known outcome after several attempts of one request."""
    outcomes = {outcome_of(exchange) for exchange in exchanges}
    for outcome in (Outcome.RAN, Outcome.UNKNOWN):
        if outcome in outcomes:
            return outcome
    return Outcome.NOT_RUN


class RetryBudget:
    """Limits retries to a share of recent requests.

    Without it, retries would multiply the load while upstreams are failing.
    """

    def __init__(self):
        self._requests = 0.0
        self._retries = 0.0
        self._at_s: float | None = None

    def record_request(self, now_s: float) -> None:
        """Counts a request at its first attempt."""
        self._decay(now_s)
        self._requests += 1.0

    def allows(self, now_s: float) -> bool:
        """Returns whether the budget allows another retry."""
        self._decay(now_s)
        allowance = max(BUDGET_MINIMUM, BUDGET_SHARE * self._requests)
        return self._retries + 1.0 <= allowance

    def record_retry(self, now_s: float) -> None:
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
    attempts: int,
    budget: RetryBudget,
    now_s: float,
) -> bool:
    """Returns whether a failed request may be sent to another upstream.

    The budget does not apply if no byte was sent, as such an attempt puts no
    load on an upstream.

    The caller of this function excludes upstreams that were tried already when
    it routes the request, and then calls ``budget.record_retry``.

    Args:
        request: The request.
        exchange: Its last attempt.
        attempts: The larger of two counts: attempts that reached an upstream,
            and attempts that did not.
        budget: The retry budget of this process.
        now_s: The time.
    """
    return (
        request.idempotent
        and not exchange.relayed
        and not exchange.answered
        and attempts < MAX_ATTEMPTS
        and now_s < request.deadline_s
        and (not exchange.bytes_sent or budget.allows(now_s))
    )
