"""When the callers of refused requests should return."""

import xxhash

from acaciaspoke.gateway.admission import (
    FIRST_EVENT_S,
    MAX_RETRY_AFTER_SHARE,
    MIN_RETRY_AFTER_S,
    Refusal,
    patience_s,
)
from acaciaspoke.gateway.types import Request

# Refused because of the backlog.
_BACKLOG_REASONS = frozenset({"overloaded", "late"})

# Refused for a pause, after which the upstreams get one request at a time.
_PAUSE_REASONS = frozenset({"paused", "tried"})

# Callers return over this time after a pause.
PAUSE_SPREAD_S = 0.5


def is_return(request: Request) -> bool:
    """Returns whether its caller has probably been refused before.

    The ids of both requests differ, but the deadline remains.
    """
    used_s = request.arrived_s + request.route.timeout_s - request.deadline_s
    return used_s >= MIN_RETRY_AFTER_S


def spread_return(
    request: Request,
    refusal: Refusal,
    wait_s: float,
    is_over_share: bool,
    now_s: float,
) -> Refusal:
    """Returns a refusal whose caller returns when it would be admitted.

    That is when the backlog has drained so far that its rest takes no longer
    than the caller then waits. Returns are spread by the hash of the id over
    the time that the backlog needs to drain, as one wave would be refused
    again. A third of the time left bounds both.

    Args:
        request: The request.
        refusal: Why it is refused.
        wait_s: The estimated wait.
        is_over_share: Whether it is beyond the share of its workspace.
        now_s: The current time.
    """
    refusal = refusal._replace(is_over_share=is_over_share)
    left_s = max(0.0, request.deadline_s - now_s)
    max_s = MAX_RETRY_AFTER_SHARE * left_s
    if refusal.reason in _BACKLOG_REASONS:
        later_s = min(patience_s(request.route), left_s - max_s)
        later_s -= min(FIRST_EVENT_S, 0.25 * later_s)
        first_s = max(MIN_RETRY_AFTER_S, wait_s - later_s)
        drain_s = wait_s
    elif refusal.reason in _PAUSE_REASONS:
        first_s, drain_s = max(MIN_RETRY_AFTER_S, wait_s), PAUSE_SPREAD_S
    else:
        return refusal
    # A wait beyond the bound must not make all return at the bound.
    first_s = min(first_s, max(MIN_RETRY_AFTER_S, max_s / 2))
    last_s = max(first_s, min(first_s + drain_s, max_s))
    part = xxhash.xxh32_intdigest(request.id.encode()) / 2**32
    retry_after_s = first_s + part * (last_s - first_s)
    return refusal._replace(retry_after_s=round(retry_after_s, 3))
