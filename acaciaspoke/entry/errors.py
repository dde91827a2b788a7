"""Errors that are returned to callers."""

from enum import Enum

import msgspec

from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.ids import RequestId


class Outcome(Enum):
    """Whether a request without a response has run.

    ``NOT_RUN`` guarantees that no upstream ran any part of it.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorType(Enum):
    """The types of errors that callers get; see docs/errors.md."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TIMEOUT = "body_timeout"
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_UPSTREAM = "no_upstream"
    NOT_READY = "not_ready"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    ANSWER_MISMATCH = "answer_mismatch"
    STREAM_CUT = "stream_cut"
    REQUEST_BLOCKED = "request_blocked"
    KEY_IN_USE = "idempotency_key_in_use"
    KEY_REUSED = "idempotency_key_reused"
    KEY_STORE_UNAVAILABLE = "idempotency_store_unavailable"
    INTERNAL = "internal"


STATUS = {
    ErrorType.BAD_REQUEST: 400,
    ErrorType.UNAUTHENTICATED: 401,
    ErrorType.NOT_FOUND: 404,
    ErrorType.METHOD_NOT_ALLOWED: 405,
    ErrorType.BODY_TIMEOUT: 408,
    ErrorType.TOO_LARGE: 413,
    ErrorType.OVERLOADED: 429,
    ErrorType.DEADLINE_EXCEEDED: 504,
    ErrorType.NO_UPSTREAM: 503,
    ErrorType.NOT_READY: 503,
    ErrorType.UPSTREAM_FAILED: 502,
    ErrorType.UPSTREAM_TIMEOUT: 504,
    ErrorType.ANSWER_MISMATCH: 502,
    ErrorType.STREAM_CUT: 502,
    ErrorType.REQUEST_BLOCKED: 422,
    ErrorType.KEY_IN_USE: 409,
    ErrorType.KEY_REUSED: 422,
    ErrorType.KEY_STORE_UNAVAILABLE: 503,
    ErrorType.INTERNAL: 500,
}


class CallerError(AcaciaspokeError):
    """An error that is returned to the caller.

    Attributes:
        type: The type of the error.
        outcome: Whether the request ran.
        retry_after_s: Seconds until a retry, or None if it would not help.
    """

    def __init__(
        self,
        error_type: ErrorType,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
    ):
        super().__init__(message)
        self.type = error_type
        self.outcome = outcome
        self.retry_after_s = retry_after_s

    @property
    def status(self) -> int:
        """The HTTP status."""
        return STATUS[self.type]

    def to_json(self, request_id: RequestId) -> bytes:
        """Returns the body of the error response."""
        return msgspec.json.encode(
            {
                "error": {
                    "type": self.type.value,
                    "message": str(self),
                    "outcome": self.outcome.value,
                    "retry_after_s": self.retry_after_s,
                    "request_id": request_id,
                }
            }
        )
