"""Converts the results of attempts and claims into responses and errors."""

from acaciaspoke.entry.claimrows import Answer
from acaciaspoke.entry.claimtypes import (
    AlreadyClaimed,
    Claim,
    Claimed,
    ClaimOutcome,
    KeyReused,
    Replay,
    ResponseNotStored,
)
from acaciaspoke.entry.errors import CallerError, ErrorType, Outcome
from acaciaspoke.entry.relay import Attempt, Ending
from acaciaspoke.entry.retry import Exchange, outcome_of, outcome_of_all

_ERROR_TYPES = {
    Ending.REFUSED: ErrorType.OVERLOADED,
    Ending.NOT_SENT: ErrorType.UPSTREAM_FAILED,
    Ending.BROKEN: ErrorType.UPSTREAM_FAILED,
    Ending.TIMED_OUT: ErrorType.UPSTREAM_TIMEOUT,
    Ending.MISMATCHED: ErrorType.ANSWER_MISMATCH,
    Ending.UNUSABLE: ErrorType.UPSTREAM_FAILED,
}

RETRY_AFTER_S = 1.0


def to_exchange(result: Attempt, *, relayed: bool) -> Exchange:
    """Returns the facts of an attempt that decide outcome and retry."""
    return Exchange(
        bytes_sent=result.sent_bytes,
        refused=result.ending is Ending.REFUSED,
        answered=result.ending is Ending.ANSWERED,
        relayed=relayed,
    )


def is_not_run(exchange: Exchange) -> bool:
    """Returns whether the attempt has certainly not run the request."""
    return outcome_of(exchange) is Outcome.NOT_RUN


def to_error(result: Attempt, exchanges: list[Exchange]) -> CallerError:
    """Returns the error for a request whose last attempt failed."""
    error_type = _ERROR_TYPES[result.ending]
    if exchanges[-1].relayed:
        error_type = ErrorType.STREAM_CUT
    detail = f": {result.detail}" if result.detail else ""
    return CallerError(
        error_type,
        f"the upstream's answer: {result.ending.value}{detail}",
        outcome_of_all(exchanges),
        RETRY_AFTER_S,
    )


def with_history(error: CallerError, exchanges: list[Exchange]) -> CallerError:
    """Returns the error with the outcome of earlier attempts.

    A request that was dropped while it waited for another attempt may have run
    in an earlier one.
    """
    outcome = outcome_of_all(exchanges) if exchanges else error.outcome
    return CallerError(error.type, str(error), outcome, error.retry_after_s)


def claimed_or_raise(outcome: ClaimOutcome) -> Claim | Answer:
    """Returns the claim, or the stored response.

    Raises:
        CallerError: If the request must not run and no response is stored.
    """
    match outcome:
        case Claimed(claim):
            return claim
        case Replay(answer):
            return answer
        case ResponseNotStored():
            raise CallerError(
                ErrorType.KEY_IN_USE,
                "the request ran before; its answer was not kept",
                Outcome.RAN,
            )
        case AlreadyClaimed():
            raise CallerError(
                ErrorType.KEY_IN_USE,
                "a request with this key is in progress, or its outcome is"
                " not known",
                Outcome.UNKNOWN,
                RETRY_AFTER_S,
            )
        case KeyReused():
            raise CallerError(
                ErrorType.KEY_REUSED,
                "this key was used for another request",
            )
    raise CallerError(
        ErrorType.KEY_STORE_UNAVAILABLE,
        "idempotency keys cannot be checked at the moment",
        retry_after_s=RETRY_AFTER_S,
    )


def to_stored_answer(result: Attempt) -> Answer:
    """Converts a response for storage in a claim."""
    return Answer(
        status=result.status,
        headers=tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in result.headers
        ),
        body=result.body,
    )


def stored_headers(answer: Answer) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a stored response in ASGI form."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in answer.headers
    ]
