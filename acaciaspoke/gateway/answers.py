"""Ends requests: answers their callers, and counts and logs the answers."""

import time
from enum import Enum

from loguru import logger

from acaciaspoke.entry.caller import Caller
from acaciaspoke.entry.errors import Outcome
from acaciaspoke.gateway.admission import (
    LIMITED,
    MIN_RETRY_AFTER_S,
    Refusal,
    refuse,
)
from acaciaspoke.gateway.attempt import Relay
from acaciaspoke.gateway.attempt_result import NOTHING_RAN, Attempt
from acaciaspoke.gateway.failures import Failure, FailureType, send_failure
from acaciaspoke.gateway.fairness.returns import is_return
from acaciaspoke.gateway.forwarded_headers import decline_header
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.types import Request

# Other requests end within this time, so that an upstream that refused has
# capacity when the caller retries; another host may know what this one lacks.
REFUSED_RETRY_AFTER_S = 0.3

_BLOCKED = Failure(
    FailureType.REQUEST_BLOCKED,
    "upstreams that ran this request, or others with a part of its prompt,"
    " crashed; it is blocked for now",
)


class BreakReason(Enum):
    """Why a stream that has begun cannot be finished.

    ``REFUSED``: the last engine that was asked to go on with it did not run it.
    ``UPSTREAM``: its attempt at an upstream ended otherwise. ``NO_ENGINE``: no
    engine can be asked to go on with it.
    """

    REFUSED = "refused"
    UPSTREAM = "upstream"
    NO_ENGINE = "no_engine"
    NOT_RESUMABLE = "not_resumable"
    BLOCKED = "blocked"
    DEADLINE = "deadline"
    HOST_STOPS = "host_stops"
    KEY_REMOVED = "key_removed"


class StreamBrokenError(Exception):
    """A stream that has begun cannot be finished.

    Attributes:
        log_fields: What the log tells of it.
    """

    def __init__(self, message: str, log_fields: dict[str, str | int]):
        super().__init__(message)
        self.log_fields = log_fields


def _broken(
    metrics: GatewayMetrics,
    request: Request,
    relay: Relay,
    reason: BreakReason,
    message: str,
) -> StreamBrokenError:
    """Counts a stream that cannot be finished; returns the error to raise."""
    metrics.broken_streams.labels(reason.value).inc()
    now_s = time.monotonic()
    return StreamBrokenError(
        message,
        {
            "reason": reason.value,
            "upstream": relay.upstream or "",
            "attempts": request.starts,
            "silent_ms": round((now_s - relay.last_event_s) * 1000),
            "total_ms": round((now_s - request.arrived_s) * 1000),
            "left_ms": round((request.deadline_s - now_s) * 1000),
        },
    )


def record_answer(
    metrics: GatewayMetrics,
    request: Request,
    relay: Relay,
    attempt: Attempt,
    now_s: float,
) -> None:
    """Counts and logs a response that the caller has."""
    first_s = relay.first_event_s or now_s
    metrics.record_response(
        request.route.name, first_s - request.arrived_s, "served"
    )
    logger.info(
        "answered {}",
        attempt.status,
        request_id=request.id,
        route=request.route.name,
        first_ms=round((first_s - request.arrived_s) * 1000),
        gap_ms=round(relay.longest_gap_s * 1000),
        total_ms=round((now_s - request.arrived_s) * 1000),
    )


async def answer_refused(
    metrics: GatewayMetrics, request: Request, relay: Relay, refusal: Refusal
) -> None:
    """Answers a request that is refused before any attempt."""
    if refusal.reason == LIMITED:
        metrics.limit_refusals.inc()
    metrics.fairness.record_refusal(request, refusal, time.monotonic())
    failure = Failure(
        FailureType.OVERLOADED,
        f"no upstream is free in time ({refusal.reason})",
        retry_after_s=refusal.retry_after_s,
    )
    fields = {}
    if request.workspace is not None:
        fields = {
            "workspace": request.workspace.name,
            "over_share": refusal.is_over_share,
            "is_return": is_return(request),
        }
    await _answer_failure(metrics, request, relay.caller, failure, **fields)


async def answer_over_quota(
    metrics: GatewayMetrics, request: Request, relay: Relay, refusal: Refusal
) -> None:
    """Answers a request beyond the quota of its workspace."""
    failure = Failure(
        FailureType.QUOTA_EXCEEDED,
        "the workspace has used its quota",
        retry_after_s=refusal.retry_after_s,
    )
    await _answer_failure(metrics, request, relay.caller, failure)


async def answer_not_resumable(
    metrics: GatewayMetrics, request: Request, relay: Relay, obstacle: str
) -> None:
    """Answers a request that goes on with a stream, which nothing can do.

    Raises:
        StreamBrokenError: If the response has begun.
    """
    if relay.caller.started:
        raise _broken(
            metrics, request, relay, BreakReason.NOT_RESUMABLE, obstacle
        )
    failure = Failure(
        FailureType.NOT_RESUMABLE,
        obstacle,
        retry_after_s=REFUSED_RETRY_AFTER_S,
    )
    if request.starts:
        # Status 503 would promise that the request has not run.
        failure = Failure(
            FailureType.UPSTREAM_FAILED, obstacle, Outcome.UNKNOWN
        )
    await _answer_failure(metrics, request, relay.caller, failure)


async def answer_dropped(
    metrics: GatewayMetrics, request: Request, relay: Relay, refusal: Refusal
) -> None:
    """Answers a request that is refused while it is queued.

    Raises:
        StreamBrokenError: If the response has begun.
    """
    if relay.caller.started:
        message = "no upstream is free to resume at"
        raise _broken(metrics, request, relay, BreakReason.NO_ENGINE, message)
    if request.starts:
        failure = Failure(
            FailureType.UPSTREAM_FAILED,
            "the upstream failed, and no other one is free in time",
            Outcome.UNKNOWN,
        )
        await _answer_failure(metrics, request, relay.caller, failure)
        return
    await answer_refused(metrics, request, relay, refusal)


async def answer_declined(
    metrics: GatewayMetrics, request: Request, relay: Relay
) -> None:
    """Lets the host that has forwarded a request choose another one."""
    metrics.declined.inc()
    logger.info(
        "declined the request of host {}: links are lost",
        request.forwarded_by,
        request_id=request.id,
    )
    await relay.caller.answer(503, [decline_header()], b"")


async def answer_blocked(
    metrics: GatewayMetrics, request: Request, relay: Relay
) -> None:
    """Answers a request that may crash upstreams.

    Raises:
        StreamBrokenError: If the response has begun.
    """
    if relay.caller.started:
        message = _BLOCKED.message
        raise _broken(metrics, request, relay, BreakReason.BLOCKED, message)
    failure = _BLOCKED
    if request.starts:
        failure = failure._replace(outcome=Outcome.UNKNOWN)
    await _answer_failure(metrics, request, relay.caller, failure)


async def answer_failed(
    metrics: GatewayMetrics, request: Request, relay: Relay, attempt: Attempt
) -> None:
    """Answers a request whose last attempt failed.

    Raises:
        StreamBrokenError: If the response has begun.
    """
    if relay.caller.started:
        reason = BreakReason.UPSTREAM
        if attempt.ending in NOTHING_RAN:
            reason = BreakReason.REFUSED
        message = attempt.detail or attempt.ending.value
        raise _broken(metrics, request, relay, reason, message)
    if attempt.failure is not None:
        status, headers, body = attempt.failure
        metrics.record_response(request.route.name, None, "upstream_error")
        logger.info(
            "forwarded the upstream's status {}",
            status,
            request_id=request.id,
        )
        await relay.caller.answer(status, headers, body)
        return
    if request.starts == 0:
        now_s = time.monotonic()
        refusal = refuse(request, "refused", REFUSED_RETRY_AFTER_S, now_s)
        failure = Failure(
            FailureType.UPSTREAM_REFUSED,
            f"upstreams did not take it ({attempt.ending.value})",
            retry_after_s=refusal.retry_after_s,
        )
    else:
        failure = Failure(
            FailureType.UPSTREAM_FAILED,
            f"the upstream's answer is lost ({attempt.ending.value})",
            Outcome.UNKNOWN,
        )
    await _answer_failure(metrics, request, relay.caller, failure)


async def answer_expired(
    metrics: GatewayMetrics, request: Request, relay: Relay
) -> None:
    """Answers a request whose deadline has passed.

    Raises:
        StreamBrokenError: If the response has begun.
    """
    if relay.caller.started:
        message = "the deadline passed"
        raise _broken(metrics, request, relay, BreakReason.DEADLINE, message)
    if request.workspace is not None and not request.starts:
        # A stall of this host, or a deadline shorter than the interval at which
        # the queue is checked. Nothing ran, so the caller may be told so.
        refusal = refuse(request, "expired", 0.0, time.monotonic())
        await answer_refused(metrics, request, relay, refusal)
        return
    failure = Failure(
        FailureType.UPSTREAM_TIMEOUT,
        "the deadline passed",
        Outcome.UNKNOWN if request.starts else Outcome.NOT_RUN,
    )
    await _answer_failure(metrics, request, relay.caller, failure)


async def answer_stopped(
    metrics: GatewayMetrics, request: Request, relay: Relay
) -> None:
    """Answers a request that is open when the host stops.

    Raises:
        StreamBrokenError: If the response has begun.
    """
    if relay.caller.started:
        message = "the host stops"
        raise _broken(metrics, request, relay, BreakReason.HOST_STOPS, message)
    failure = Failure(
        FailureType.UPSTREAM_FAILED,
        "the host stops before the upstream has answered",
        Outcome.UNKNOWN,
    )
    if not request.starts:
        failure = Failure(
            FailureType.OVERLOADED,
            "the host stops",
            retry_after_s=MIN_RETRY_AFTER_S,
        )
    await _answer_failure(metrics, request, relay.caller, failure)


async def answer_revoked(
    metrics: GatewayMetrics, request: Request, relay: Relay
) -> None:
    """Answers a request that was sent just as its API key was removed.

    Raises:
        StreamBrokenError: If the response has begun.
    """
    message = "the API key was removed while the request was sent"
    if relay.caller.started:
        raise _broken(metrics, request, relay, BreakReason.KEY_REMOVED, message)
    failure = Failure(FailureType.UPSTREAM_FAILED, message, Outcome.UNKNOWN)
    await _answer_failure(metrics, request, relay.caller, failure)


async def _answer_failure(
    metrics: GatewayMetrics,
    request: Request,
    caller: Caller,
    failure: Failure,
    **fields: str | bool,
) -> None:
    metrics.record_response(request.route.name, None, failure.type.value)
    logger.info(
        "answered {}: {}",
        failure.status,
        failure.message,
        request_id=request.id,
        route=request.route.name,
        outcome=failure.outcome.value,
        retry_after_s=failure.retry_after_s,
        artifact=str(request.artifact or ""),
        waited_for=wait_reason_text(request),
        held_ms=round((time.monotonic() - request.arrived_s) * 1000),
        **fields,
    )
    await send_failure(caller, failure)


def wait_reason_text(request: Request) -> str:
    """Returns why a request waited, for logs."""
    return request.wait_reason.value if request.wait_reason else ""
