"""Makes the dispatcher's decision on copies of its state."""

import copy
import math
from typing import NamedTuple

from acaciaspoke.gateway.admission import Refusal
from acaciaspoke.gateway.balance import Loads
from acaciaspoke.gateway.current_loads import current_loads
from acaciaspoke.gateway.decisions import (
    Assignment,
    Decline,
    DroppedRequest,
    Forward,
)
from acaciaspoke.gateway.dispatch import Dispatcher
from acaciaspoke.gateway.estimates import Estimates
from acaciaspoke.gateway.explain.candidates import (
    MAX_CANDIDATES,
    figures_of,
    find_lacks,
    list_order,
    rank_upstreams,
)
from acaciaspoke.gateway.explain.document import Admission, CandidateFigures
from acaciaspoke.gateway.fairness.review import QueueReview
from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.limited_choice import LimitedChoice
from acaciaspoke.gateway.types import Request
from acaciaspoke.gateway.upstream import Upstream

Decided = Assignment | DroppedRequest | Forward | Decline | Refusal


class TrialResult(NamedTuple):
    """What the dispatcher would do with a request.

    Attributes:
        decided: The decision; None if the request would wait, for the reason
            in its ``wait_reason``.
        is_yielding: Whether it leaves free slots to requests within shares.
        candidates: The upstreams that hold its artifact, the best ones first;
            at most ``MAX_CANDIDATES``.
        candidate_count: Their number.
    """

    decided: Decided | None
    is_yielding: bool
    admission: Admission
    candidates: list[CandidateFigures]
    candidate_count: int


def try_request(
    dispatcher: Dispatcher, request: Request, now_s: float
) -> TrialResult:
    """Returns what a dispatcher would do with a new request.

    Args:
        dispatcher: The dispatcher; it does not change.
        request: The request; its ``wait_reason`` is set if it would wait.
        now_s: The current time.
    """
    return TrialDispatcher(dispatcher, request).run(now_s)


def _copy_fleet(fleet: Fleet) -> Fleet:
    """Returns a fleet of the same upstreams for calls that only read it."""
    copied = copy.copy(fleet)
    copied.places = fleet.places.copy()
    # Counts how often it is asked in each round.
    copied.holdings = copy.copy(fleet.holdings)
    return copied


class TrialDispatcher(Dispatcher):
    """A dispatcher for one round of decisions on copies of another's state.

    The upstreams themselves are shared; they would change only where requests
    are recorded as sent.
    """

    def __init__(self, original: Dispatcher, request: Request):
        """Copies the state of a dispatcher.

        Args:
            original: The dispatcher.
            request: The new request.
        """
        super().__init__(
            original._local_domain,
            original._new_budget,
            choose_host=original._choose_host,
        )
        self.fleet = _copy_fleet(original.fleet)
        self.versions = original.versions
        self.tokens = original.tokens.copy()
        self._limits = LimitedChoice(self.tokens, self._local_domain)
        self._configuration = original._configuration
        self._waiting = {
            name: copy.copy(waiting)
            for name, waiting in original._waiting.items()
        }
        self._running = original._running.copy()
        self.order = original.order.copy(self._waiting, self._running)
        self.estimates = Estimates(self.fleet, self.order)
        self.estimates.durations = original.estimates.durations.copy()
        self.estimates.last_start_s = original.estimates.last_start_s
        self.estimates.stop_end_s = original.estimates.stop_end_s
        # Reviews the queue at once, not only in the next round for this.
        self._review = QueueReview(self.fleet, self.estimates, self.order)
        self._request = request
        self._candidates: list[CandidateFigures] | None = None
        self._is_yielding = False

    def run(self, now_s: float) -> TrialResult:
        """Submits the new request and makes one round of decisions."""
        request = self._request
        holders = self.fleet.holders(
            request.service, request.artifact, now_s, request.version
        )
        decided: Decided | None = self.submit(request, now_s)
        admission = self._admission(now_s)
        if decided is None:
            decisions = [
                decision
                for decision in self.decide(now_s)
                if decision.request is request
            ]
            decided = decisions[0] if decisions else None
        if self._candidates is None:
            # The decision did not depend on the loads.
            loads = current_loads(self.fleet, self.order.is_active, now_s)
            self._candidates = self._list(holders, holders, loads, now_s)
        return TrialResult(
            decided,
            self._is_yielding,
            admission,
            self._candidates,
            len(holders),
        )

    def _admission(self, now_s: float) -> Admission:
        backlog = self._backlog(self._request, now_s)
        latest_s = self.estimates.latest_start_s(self._request, now_s)
        return Admission(
            ahead=backlog.ahead,
            slots=round(backlog.slots, 2),
            wait_s=round(backlog.wait_s, 3),
            latest_start_s=(
                round(latest_s - now_s, 3) if math.isfinite(latest_s) else None
            ),
        )

    def _try_assign(
        self,
        request: Request,
        holders: list[Upstream],
        loads: Loads,
        now_s: float,
    ) -> Assignment | DroppedRequest | None:
        if request is self._request:
            self._is_yielding = self.order.must_yield(
                request, holders, loads, now_s
            )
            known = self.fleet.holders(
                request.service, request.artifact, now_s, request.version
            )
            self._candidates = self._list(known, holders, loads, now_s)
        return super()._try_assign(request, holders, loads, now_s)

    def _list(
        self,
        known: list[Upstream],
        usable: list[Upstream],
        loads: Loads,
        now_s: float,
    ) -> list[CandidateFigures]:
        """Returns the figures of the known upstreams, with their ranks."""
        request = self._request
        unreachable = {each.record.upstream for each in known} - {
            each.record.upstream for each in usable
        }
        ranks = rank_upstreams(
            usable,
            lambda upstreams: self._choose(request, upstreams, loads, now_s),
        )
        listed = sorted(
            known, key=lambda each: list_order(each, loads, ranks, now_s)
        )
        return [
            figures_of(
                request,
                upstream,
                loads,
                find_lacks(
                    request, upstream, loads, self.tokens, unreachable, now_s
                ),
                ranks.get(upstream.record.upstream),
                now_s,
            )
            for upstream in listed[:MAX_CANDIDATES]
        ]

    def _assign(
        self,
        request: Request,
        upstream: Upstream,
        now_s: float,
        is_alone: bool = False,
    ) -> Assignment:
        """Returns the assignment without recording it at the upstream."""
        del self._waiting[request.id]
        record = upstream.record
        self._running[request.id] = (request, record.upstream)
        self.tokens.use(record.upstream, now_s)
        return Assignment(
            request,
            record.upstream,
            record.address,
            record.started_ms,
            record.version,
        )
