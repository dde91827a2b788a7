"""Error responses that the gateway itself sends to callers."""

from enum import Enum
from typing import NamedTuple

import msgspec

from acaciaspoke.entry.caller import Caller
from acaciaspoke.entry.errors import Outcome


class FailureType(Enum):
    """Types of failures; described in docs/errors.md."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    NOT_READY = "not_ready"
    QUOTA_EXCEEDED = "quota_exceeded"
    OVERLOADED = "overloaded"
    NOT_RESUMABLE = "not_resumable"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    REQUEST_BLOCKED = "request_blocked"


STATUS = {
    FailureType.BAD_REQUEST: 400,
    FailureType.UNAUTHENTICATED: 401,
    FailureType.NOT_FOUND: 404,
    FailureType.TOO_LARGE: 413,
    FailureType.NOT_READY: 503,
    FailureType.QUOTA_EXCEEDED: 429,
    FailureType.OVERLOADED: 503,
    FailureType.NOT_RESUMABLE: 503,
    FailureType.UPSTREAM_REFUSED: 503,
    FailureType.UPSTREAM_FAILED: 502,
    FailureType.UPSTREAM_TIMEOUT: 504,
    FailureType.REQUEST_BLOCKED: 502,
}


class Failure(NamedTuple):
    """An error response of the gateway itself.

    Attributes:
        outcome: Whether the request ran; statuses 429 and 503 promise that it
            did not.
        retry_after_s: Time after which the caller may retry, if it may.
    """

    type: FailureType
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status."""
        return STATUS[self.type]


async def send_failure(caller: Caller, failure: Failure) -> None:
    """Sends a failure to a caller whose response has not begun."""
    body = msgspec.json.encode(
        {
            "error": {
                "type": failure.type.value,
                "message": failure.message,
                "outcome": failure.outcome.value,
                "request_id": caller.request_id,
            }
        }
    )
    headers = [(b"content-type", b"application/json")]
    if failure.retry_after_s is not None:
        seconds = f"{failure.retry_after_s:.2f}"
        headers.append((b"retry-after", seconds.encode()))
    await caller.answer(failure.status, headers, body)
