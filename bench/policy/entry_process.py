"""An entry process that connects the real decision modules to the fakes."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from acaciaspoke.entry.rank_queue import Urgency
from acaciaspoke.entry.request import Request
from acaciaspoke.entry.retry import (
    Exchange,
    Outcome,
    RetryBudget,
    may_retry,
    outcome_of,
)
from acaciaspoke.entry.routing import Fleet
from acaciaspoke.entry.suspects import CrashSuspects, Verdict
from acaciaspoke.net.messages import Demand
from acaciaspoke.net.records import UpstreamState, UpstreamView
from bench.policy.deployments import RANKS, Arrival
from bench.policy.engine import Call

if TYPE_CHECKING:
    from bench.policy.world import World

LOCAL_DELAY_S = 0.0002
GOSSIP_DELAY_S = 0.03


class Record(msgspec.Struct):
    """A request and its outcome.

    Attributes:
        cold: Whether no live engine had its model or adapter at its arrival.
    """

    arrival: Arrival
    cold: bool = False
    dispatched: bool = False
    first_s: float | None = None
    sent_s: float = 0.0
    end_s: float | None = None
    outcome: Outcome | None = None
    error: str = ""


class PendingRequest(msgspec.Struct):
    """A request in an entry process that has not ended."""

    record: Record
    attempts: int = 0
    tried: tuple[str, ...] = ()


class EntryProcess:
    """Connects the decision modules as the dispatcher does."""

    def __init__(self, world: World, domain: str, number: int):
        policy = world.policy
        self.world = world
        self.domain = domain
        self.rng = random.Random(number)
        self.queue = policy.queue(self.rng)
        self.choose = policy.chooser()
        self.limits = policy.limits(world.deployment.entry_processes, self.rng)
        self.fleet = Fleet(world.upstreams)
        self.budget = RetryBudget()
        self.suspects = CrashSuspects()
        self.pending_requests: dict[str, PendingRequest] = {}
        self.alive = True
        self._arrivals: dict[str, Counter] = {}
        self._cold: set[str] = set()
        self._choice: str | None = None
        self._urgency = Urgency(0, False)
        world.clock.every(0.1, self._tick)

    def receive(self, arrival: Arrival, record: Record) -> None:
        """Handles a request from the load balancer."""
        request = arrival.request
        self.pending_requests[request.request_id] = PendingRequest(record)
        self.budget.record_request(self.world.clock.now_s)
        if request.artifact is not None:
            counts = self._arrivals.setdefault(request.artifact, Counter())
            counts[request.rank] += 1
        self.limits.record_arrival(
            RANKS[request.rank].level, self.world.clock.now_s
        )
        refusal = self.queue.offer(request, self.world.clock.now_s)
        if refusal is not None:
            self._fail(request, Outcome.NOT_RUN, refusal.reason.value)
            return
        self.dispatch_waiting()

    def report(self, view: UpstreamView) -> None:
        """Applies a view from the control process."""
        if not self.alive:
            return
        for status in self.fleet.update([view], self.world.clock.now_s):
            self.limits.record_report(status)
        self.dispatch_waiting()

    def collect_demand(self) -> Demand:
        """Returns the demand message and clears the counted arrivals."""
        arrivals, self._arrivals = self._arrivals, {}
        return Demand(
            sender="", arrivals=arrivals, cold=tuple(sorted(self._cold))
        )

    def crash(self) -> None:
        """Crashes; all pending requests fail."""
        self.alive = False
        for pending in list(self.pending_requests.values()):
            request = pending.record.arrival.request
            self._fail(request, Outcome.UNKNOWN, "entry process lost")

    def dispatch_waiting(self) -> None:
        """Dispatches all requests that can be dispatched now."""
        now_s = self.world.clock.now_s
        self._cold.clear()
        while self.alive:
            waiting = self.queue.waiting()
            request = self.queue.take(now_s, self._dispatchable)
            if request is None:
                return
            waiting_ranks = [rank for rank, count in waiting.items() if count]
            self.world.dispatches.append((now_s, request.rank, waiting_ranks))
            self._send(request, self._choice)

    def _dispatchable(self, request: Request, urgency: Urgency) -> bool:
        pending = self.pending_requests[request.request_id]
        now_s = self.world.clock.now_s
        self._record_cold(request)
        verdict = self.suspects.verdict(request.fingerprint, now_s)
        if verdict is Verdict.HELD:
            return False
        self._urgency = urgency
        self._choice = self.choose(
            request,
            self.fleet,
            local_domain=self.domain,
            has_capacity=lambda s: self.limits.has_capacity(s, urgency, now_s),
            rng=self.rng,
            tried=pending.tried,
            suspect=verdict is Verdict.SUSPECT,
        )
        return self._choice is not None

    def _record_cold(self, request: Request) -> None:
        if request.artifact is None:
            return
        holders = self.fleet.holders(request.service, request.artifact)
        if not any(s.state is UpstreamState.LIVE for s in holders):
            self._cold.add(request.artifact)

    def _send(self, request: Request, upstream: str) -> None:
        pending = self.pending_requests[request.request_id]
        now_s = self.world.clock.now_s
        suspect = self.suspects.verdict(request.fingerprint, now_s)
        self.fleet.record_sent(
            upstream,
            request,
            now_s,
            suspect=suspect is Verdict.SUSPECT,
            flooding=self._urgency.flooding,
        )
        pending.attempts += 1
        pending.record.dispatched = True
        pending.record.sent_s = now_s
        attempt = pending.attempts
        call = Call(
            pending.record.arrival,
            self._urgency.level if self.world.policy.ranked else 0,
            lambda: self._call_after_delay(
                upstream, self._record_first_token, request, attempt
            ),
            lambda ending: self._call_after_delay(
                upstream, self._handle_end, request, upstream, ending, attempt
            ),
        )
        self._call_after_delay(
            upstream, self.world.engines[upstream].submit, call
        )

    def _call_after_delay(self, upstream: str, call, *args) -> None:
        domain = self.world.upstreams[upstream].failure_domain
        delay_s = LOCAL_DELAY_S
        if domain != self.domain:
            delay_s = self.world.deployment.domain_delay_s
        self.world.clock.after(delay_s, call, *args)

    def _record_first_token(self, request: Request, attempt: int) -> None:
        pending = self.pending_requests.get(request.request_id)
        if pending is not None and pending.attempts == attempt:
            pending.record.first_s = self.world.clock.now_s

    def _handle_end(
        self, request: Request, upstream: str, ending: str, attempt: int
    ) -> None:
        pending = self.pending_requests.get(request.request_id)
        if not self.alive or pending is None:
            return
        now_s = self.world.clock.now_s
        if ending == "broken":
            self._record_connection_lost(upstream)
        sent = self.fleet.record_finished(upstream, request.request_id)
        status = self.fleet.upstreams[upstream]
        if ending == "done":
            self.limits.record_success(status)
            self._send_notices(
                self.suspects.record_success(request.fingerprint, now_s)
            )
            pending.record.end_s = now_s
            pending.record.outcome = Outcome.RAN
            del self.pending_requests[request.request_id]
        else:
            if ending == "refused" and sent is not None:
                self.limits.record_refusal(status, sent.sent_s, now_s)
            pending.tried = (*pending.tried, upstream)
            self._retry(request, pending, ending)
        self.dispatch_waiting()

    def _retry(
        self, request: Request, pending: PendingRequest, ending: str
    ) -> None:
        now_s = self.world.clock.now_s
        exchange = Exchange(
            bytes_sent=1,
            refused=ending == "refused",
            relayed=pending.record.first_s is not None,
        )
        if may_retry(
            request,
            exchange,
            attempts=pending.attempts,
            budget=self.budget,
            now_s=now_s,
        ):
            self.budget.record_retry(now_s)
            self.queue.requeue(request, now_s, isolated=True)
        else:
            self._fail(request, outcome_of(exchange), ending)

    def _record_connection_lost(self, upstream: str) -> None:
        """Records a crash when the first connection to an upstream breaks."""
        status = self.fleet.upstreams[upstream]
        if status.state is not UpstreamState.LIVE:
            return
        status.record_connection_lost(self.world.clock.now_s)
        in_flight = [
            (sent.request.fingerprint, sent.suspect)
            for sent in status.in_flight.values()
        ]
        notices = self.suspects.record_crash(
            status.boot_id, in_flight, self.world.clock.now_s
        )
        self._send_notices(notices)
        held = [notice.fingerprint for notice in notices]
        self.world.clock.after(2 * GOSSIP_DELAY_S, self._end_hold, held)

    def _end_hold(self, fingerprints) -> None:
        self.suspects.end_hold(fingerprints)
        self.dispatch_waiting()

    def _send_notices(self, notices) -> None:
        if notices:
            self.world.clock.after(
                GOSSIP_DELAY_S, self.world.deliver_notices, self, notices
            )

    def _tick(self) -> None:
        if not self.alive:
            return
        for request in self.queue.expire(self.world.clock.now_s):
            self._fail(request, Outcome.NOT_RUN, "expired")
        self.dispatch_waiting()

    def _fail(self, request: Request, outcome: Outcome, error: str) -> None:
        pending = self.pending_requests.pop(request.request_id)
        pending.record.outcome = outcome
        pending.record.error = error
