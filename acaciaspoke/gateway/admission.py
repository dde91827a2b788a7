"""Decides which requests are queued and which are refused at once.

Handles overload. A request is refused as soon as the backlog ahead of it takes
longer than its caller waits, so that no caller waits in vain, and with a
Retry-After that follows from the backlog.
"""

import math
from typing import NamedTuple

import xxhash

from acaciaspoke.gateway.types import Request, Route, RouteKind

# Callers give up on a stream that has not begun after the longest of these:
# a time, multiples of the latency objective and of the gap objective (the
# platform's protocol, "Requests").
MIN_FIRST_BYTE_WAIT_S = 2.0
FIRST_BYTE_WAIT_OBJECTIVES = 4.0
FIRST_BYTE_WAIT_GAPS = 8.0

# Time from sending a request to an engine with a free slot until its first
# event.
FIRST_EVENT_S = 0.25

# Time of a short request as a share of the mean time.
SHORT_SERVICE_SHARE = 0.6

# Callers follow a Retry-After up to this share of the time they have left
# (the platform's protocol, "Answers").
MAX_RETRY_AFTER_SHARE = 1 / 3
MIN_RETRY_AFTER_S = 0.1

# A request may take longer than any recent one by this factor.
LONGEST_DURATION_MARGIN = 1.25

# Callers are told to retry this long after a replica is ready, as its notice
# takes a moment.
RETRY_MARGIN_S = 0.1

# Retries for the same replica are spread over this time, per priority, as an
# engine prefills about 50 prompts per second.
RETRY_SPREAD_S = 0.2


# Reason of a refusal because the upstreams limit the requests that they take.
LIMITED = "limited"


class Refusal(NamedTuple):
    """Why a request is refused, and when its caller should retry.

    Attributes:
        is_over_share: Whether it is beyond the fair share of its workspace.
    """

    reason: str
    retry_after_s: float
    is_over_share: bool = False


class Backlog(NamedTuple):
    """The backlog ahead of a request.

    Attributes:
        ahead: Requests of all hosts that go first.
        slots: Slots at the upstreams that can run it; fewer of an upstream
            whose limit does not keep them busy.
        service_s: Mean time for which a request occupies a slot.
        cold_s: Time until an upstream holds the artifact; 0 if one does.
        share_wait_s: Time until its workspace has room in its fair share.
    """

    ahead: int
    slots: float
    service_s: float
    cold_s: float = 0.0
    share_wait_s: float = 0.0

    @property
    def wait_s(self) -> float:
        """Estimated waiting time."""
        if not self.slots:
            return self.cold_s
        queue_s = self.ahead * self.service_s / self.slots
        return self.cold_s + max(queue_s, self.share_wait_s)


def patience_s(route: Route) -> float:
    """Returns how long the caller of a new request waits for the first byte."""
    if route.kind is not RouteKind.STREAMING:
        return route.timeout_s
    longest_s = max(
        MIN_FIRST_BYTE_WAIT_S,
        FIRST_BYTE_WAIT_OBJECTIVES * route.objective_s,
        FIRST_BYTE_WAIT_GAPS * route.gap_objective_s,
    )
    return min(longest_s, route.timeout_s)


def max_wait_s(request: Request) -> float:
    """Returns how long the caller of a request waits for the first byte."""
    total_s = request.deadline_s - request.arrived_s
    if request.route.kind is not RouteKind.STREAMING:
        return total_s
    return min(patience_s(request.route), total_s)


def latest_start_s(request: Request, service_s: float) -> float:
    """Returns the latest time at which a request may be sent to an upstream.

    After that, its caller would give up before the first byte, or before the
    end of all but the shortest responses.

    Args:
        request: The request.
        service_s: Mean time that an upstream takes for such a request.
    """
    reserve_s = min(FIRST_EVENT_S, 0.25 * max_wait_s(request))
    latest_s = request.arrived_s + max_wait_s(request) - reserve_s
    return min(latest_s, request.deadline_s - SHORT_SERVICE_SHARE * service_s)


def latest_resumption_s(request: Request, last_event_s: float) -> float:
    """Returns the latest time at which a stream that broke off may go on.

    After that, its caller would give up before the next event.

    Args:
        request: The request.
        last_event_s: When its caller got the last event.
    """
    wait_s = patience_s(request.route)
    latest_s = last_event_s + wait_s - min(FIRST_EVENT_S, 0.25 * wait_s)
    return min(latest_s, request.deadline_s)


def latest_start_before_s(end_s: float, longest_s: float | None) -> float:
    """Returns the latest start of a request that has to end by a time.

    Args:
        end_s: When its answer must be complete, as the host stops then.
        longest_s: The longest recent duration of such requests; None if it is
            unknown, so that none may start.
    """
    if longest_s is None:
        return -math.inf
    return end_s - LONGEST_DURATION_MARGIN * longest_s


class RetryPlan(NamedTuple):
    """When a caller should retry for a replica that is not ready yet.

    Attributes:
        retry_after_s: The delay until the retry.
        is_in_time: Whether the retry can wait until the replica is ready.
    """

    retry_after_s: float
    is_in_time: bool


def plan_retry(request: Request, ready_s: float, now_s: float) -> RetryPlan:
    """Plans the retry of a caller whose model is ready later than it waits.

    Callers retry once, and all at the same time if they get the same delay; so
    their retries are spread, urgent ones first.

    Args:
        request: The request.
        ready_s: When the replica will be ready.
        now_s: The current time.
    """
    max_s = (request.deadline_s - now_s) * MAX_RETRY_AFTER_SHARE
    spread = xxhash.xxh32_intdigest(request.id.encode()) / 2**32
    spread_s = RETRY_SPREAD_S * (min(request.route.priority, 2) + spread)
    delay_s = ready_s - now_s + RETRY_MARGIN_S + spread_s
    retry_s = now_s + min(delay_s, max_s)
    total_s = min(max_wait_s(request), request.deadline_s - retry_s)
    waits_until_s = retry_s + total_s - min(FIRST_EVENT_S, 0.25 * total_s)
    return RetryPlan(retry_s - now_s, ready_s <= waits_until_s)


def admit(
    request: Request, backlog: Backlog, latest_s: float, now_s: float
) -> Refusal | None:
    """Returns the refusal of a request that cannot start in time, or None.

    Args:
        request: The request.
        backlog: The backlog ahead of it.
        latest_s: The latest time at which it may start.
        now_s: The current time.
    """
    if now_s + backlog.wait_s <= latest_s:
        return None
    return refuse(request, "overloaded", backlog.wait_s, now_s)


def refuse(
    request: Request, reason: str, wait_s: float, now_s: float
) -> Refusal:
    """Returns a refusal that asks for a retry after the expected wait."""
    max_s = (request.deadline_s - now_s) * MAX_RETRY_AFTER_SHARE
    retry_after_s = max(MIN_RETRY_AFTER_S, min(wait_s, max_s))
    return Refusal(reason, round(retry_after_s, 2))
