"""Finds waiting requests that cannot be sent to an upstream in time."""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from acaciaspoke.gateway.balance import Loads
from acaciaspoke.gateway.estimates import Estimates
from acaciaspoke.gateway.fairness.order import FairOrder
from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.types import Artifact, Request
from acaciaspoke.gateway.upstream import Upstream
from acaciaspoke.ids import ModelId, ServiceId

# Backlogs change little within this time.
REVIEW_INTERVAL_S = 0.1

# A waiting request is refused if its estimated wait exceeds the time left by
# this factor. A margin is needed as the same estimate admitted it.
WAIT_MARGIN = 1.25

# When the callers of requests return that all upstreams have failed to take.
TRIED_RETRY_AFTER_S = 0.3


class Hopeless(NamedTuple):
    """Why a request cannot be sent in time.

    Attributes:
        wait_s: How long it would have to wait.
    """

    reason: str
    wait_s: float


class QueueReview:
    """Reviews the waiting requests of one host, in the order of the queue."""

    def __init__(self, fleet: Fleet, estimates: Estimates, order: FairOrder):
        """Creates a review.

        Args:
            fleet: The upstreams and their loads.
            estimates: When requests must have started.
            order: The order of the queue.
        """
        self._fleet = fleet
        self._estimates = estimates
        self._order = order
        self._due_s = float("-inf")
        self._is_due = False
        self._seen: Counter[tuple[ServiceId, ModelId | None]] = Counter()

    def begin_round(self, now_s: float) -> None:
        """Starts a round; backlogs are reviewed only in some of them."""
        self._is_due = now_s >= self._due_s
        if self._is_due:
            self._due_s = now_s + REVIEW_INTERVAL_S
            self._seen.clear()

    def find(
        self,
        request: Request,
        holders: list[Upstream],
        loads: Loads,
        now_s: float,
    ) -> Hopeless | None:
        """Returns why a request cannot be sent in time; None if it may be.

        Args:
            request: The next request of the queue that has to wait.
            holders: The upstreams that can run it.
            loads: The loads of the upstreams.
            now_s: The current time.
        """
        if not holders or not self._order.is_active:
            return None
        latest_s = self._estimates.latest_start_s(request, now_s)
        found = find_obstacle(
            request, holders, self._fleet.ready_at_s, latest_s, now_s
        )
        if found is None and self._is_due:
            wait_s = self._backlog_s(request, holders, loads, now_s)
            if self._order.is_over(request):
                latest_s = min(latest_s, request.objective_s)
            if now_s + wait_s / WAIT_MARGIN > latest_s:
                return Hopeless("overloaded", wait_s)
        return found

    def _backlog_s(
        self,
        request: Request,
        holders: list[Upstream],
        loads: Loads,
        now_s: float,
    ) -> float:
        """Returns the time that the requests ahead take.

        More urgent requests, and those of workspaces within their shares, may
        have arrived since a request was admitted.
        """
        model = request.artifact.model if request.artifact else None
        key = (request.service, model)
        ahead = self._seen[key] + self._order.ahead_at_peers(request, now_s)
        self._seen[key] += 1
        names = [upstream.record.upstream for upstream in holders]
        # The wait for limited and brittle ones depends on what others grant.
        if any(name in loads.limited or name in loads.places for name in names):
            return 0.0
        service_s = self._estimates.durations[request.service].mean_s or 0.0
        slots = sum(upstream.record.slots for upstream in holders)
        return max(
            ahead * service_s / max(1, slots),
            self._order.share_wait_s(request, service_s, now_s),
        )


def find_obstacle(
    request: Request,
    holders: list[Upstream],
    ready_at_s: Mapping[ModelId, float],
    latest_s: float,
    now_s: float,
) -> Hopeless | None:
    """Returns why none of the upstreams can take a request in time, if so.

    Args:
        request: A request that has to wait.
        holders: The upstreams that can run it; at least one.
        ready_at_s: When models that are being loaded will be ready.
        latest_s: The latest time at which it may start.
        now_s: The current time.
    """
    if _ready_at_s(request.artifact, ready_at_s) <= latest_s:
        return None
    untried = [
        upstream
        for upstream in holders
        if upstream.record.upstream not in request.tried
    ]
    if not untried:
        return Hopeless("tried", TRIED_RETRY_AFTER_S)
    pause_end_s = min(
        max(upstream.paused_until_s, upstream.named_pause_until_s)
        for upstream in untried
    )
    if pause_end_s > latest_s:
        return Hopeless("paused", pause_end_s - now_s)
    return None


def _ready_at_s(
    artifact: Artifact | None, ready_at_s: Mapping[ModelId, float]
) -> float:
    if artifact is None:
        return float("inf")
    return ready_at_s.get(artifact.model, float("inf"))
