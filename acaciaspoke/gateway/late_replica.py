"""Refuses requests whose replica will be ready too late for them."""

from acaciaspoke.gateway.admission import Refusal, plan_retry, refuse
from acaciaspoke.gateway.estimates import Estimates
from acaciaspoke.gateway.types import Request


def refuse_without_replica(
    request: Request, estimates: Estimates, latest_s: float, now_s: float
) -> Refusal | None:
    """Refuses a request whose replica will be ready later than it can wait.

    The request stays queued if its retry would time out too before the replica
    is ready, unless there would be no time left to run it.
    """
    ready_s = estimates.replica_ready_s(request, now_s)
    if ready_s is None or ready_s <= latest_s:
        return None
    retry = plan_retry(request, ready_s, now_s)
    too_late_s = request.deadline_s - estimates.service_s(request)
    if retry.is_in_time or ready_s >= too_late_s:
        return refuse(request, "copy is late", retry.retry_after_s, now_s)
    return None
