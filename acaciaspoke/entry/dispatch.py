"""Assigns queued requests to upstreams.

``Dispatcher`` holds the queue, the state of the upstreams and the limits, and
does no I/O. The tasks in ``process.py`` and ``exchange.py`` report events to it
and call ``decide`` after each of them.
"""

import functools
import random
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from acaciaspoke.config.schema import Config, artifact_of
from acaciaspoke.entry.errors import CallerError, ErrorType
from acaciaspoke.entry.limits import ConcurrencyLimits
from acaciaspoke.entry.queue import RefusalReason, RequestQueue, Urgency
from acaciaspoke.entry.request import Request
from acaciaspoke.entry.retry import RetryBudget
from acaciaspoke.entry.routing import Fleet, UpstreamStatus, choose_upstream
from acaciaspoke.entry.suspects import CrashSuspects, Verdict
from acaciaspoke.ids import (
    ArtifactName,
    BootId,
    DomainId,
    RankId,
    RequestId,
    UpstreamId,
)
from acaciaspoke.net.messages import FleetView
from acaciaspoke.net.records import Suspicion, UpstreamState

# Retry-after value while an artifact has no live replica: about the time that
# loading it takes.
COLD_RETRY_AFTER_S = 2.0


class Assignment(NamedTuple):
    """A request and the upstream chosen for it.

    Attributes:
        level: Priority level for the upstream; lower is more urgent.
    """

    request: Request
    upstream: UpstreamId
    address: str
    boot_id: BootId
    level: int


class DroppedRequest(NamedTuple):
    """A request that was removed from the queue without a dispatch."""

    request: Request
    error: CallerError


Decision = Assignment | DroppedRequest


class _QueuedRequest(msgspec.Struct):
    """Dispatch state of a queued request.

    Attributes:
        tried: Boots of upstreams on which it failed.
        isolated: Whether it is in a sub-queue of its own.
    """

    request: Request
    tried: frozenset[BootId] = frozenset()
    isolated: bool = False


class _Search(msgspec.Struct):
    """The result of one search of the queue.

    Attributes:
        chosen: The upstream for the request that was found.
        urgency: Its dispatch priority.
        rejected: Requests to drop.
        to_isolate: Requests that became suspects while they were queued.
    """

    chosen: UpstreamId | None = None
    urgency: Urgency | None = None
    rejected: list[tuple[Request, ErrorType]] = []
    to_isolate: list[Request] = []


class Dispatcher:
    """The queue, the upstreams and the limits of one entry process.

    Attributes:
        config: The current configuration, or None before the first one.
        suspects: Fingerprints of requests that were in flight during crashes.
        budget: The retry budget of the process.
    """

    def __init__(self, local_domain: DomainId, rng: random.Random):
        self.config: Config | None = None
        self.suspects = CrashSuspects()
        self.budget = RetryBudget()
        self._local_domain = local_domain
        self._rng = rng
        self._queue = RequestQueue({}, rng)
        self._fleet = Fleet({})
        self._limits = ConcurrencyLimits(1, rng)
        self._waiting: dict[RequestId, _QueuedRequest] = {}
        self._in_flight: dict[RequestId, Assignment] = {}
        self._arrivals: dict[ArtifactName, Counter[RankId]] = {}
        self._cold: set[ArtifactName] = set()

    # Events.

    def set_config(self, config: Config) -> bool:
        """Applies a configuration unless its version is not newer."""
        if self.config is not None and config.version <= self.config.version:
            return False
        before, self.config = self.config, config
        self._queue.set_ranks(config.ranks)
        # Most patches leave the thousands of upstreams unchanged.
        if before is None or config.upstreams is not before.upstreams:
            self._fleet.set_upstreams(config.upstreams)
        return True

    def set_fleet(self, view: FleetView, now_s: float) -> None:
        """Applies the control process's view of the upstreams."""
        self._limits.set_entry_processes(view.entry_processes)
        for status in self._fleet.update(view.upstreams, now_s):
            self._limits.record_report(status)

    def merge_suspicions(
        self, suspicions: Iterable[Suspicion], now_s: float
    ) -> None:
        """Merges suspicions from other entry processes."""
        self.suspects.merge(suspicions, now_s)

    def submit(self, request: Request, now_s: float) -> None:
        """Admits a request to the queue.

        Raises:
            CallerError: If it is refused. It has not run.
        """
        self._check_blocked(request, now_s)
        if request.artifact is not None:
            counter = self._arrivals.setdefault(request.artifact, Counter())
            counter[request.rank] += 1
        self._limits.record_arrival(self._level(request), now_s)
        refusal = self._queue.offer(request, now_s)
        if refusal is not None:
            raise CallerError(
                ErrorType.OVERLOADED,
                _REFUSALS[refusal.reason],
                retry_after_s=refusal.retry_after_s,
            )
        self.budget.record_request(now_s)
        self._waiting[request.request_id] = _QueuedRequest(request)

    def retry(
        self,
        request: Request,
        tried: Iterable[BootId],
        now_s: float,
        *,
        use_budget: bool = True,
    ) -> None:
        """Queues a request again after an attempt that failed.

        Args:
            request: The request.
            tried: Boots of upstreams that must not get it again.
            now_s: The time.
            use_budget: Whether it counts against the retry budget.

        Raises:
            CallerError: If it may not run again.
        """
        self._check_blocked(request, now_s)
        if request.rank not in self.config.ranks:
            # The rank's queue may have been removed.
            raise CallerError(ErrorType.NOT_FOUND, _RANK_REMOVED)
        if use_budget:
            self.budget.record_retry(now_s)
        # In a sub-queue of its own: others for its artifact must not wait until
        # an upstream is available that it has not tried.
        self._waiting[request.request_id] = _QueuedRequest(
            request, frozenset(tried), isolated=True
        )
        self._queue.requeue(request, now_s, isolated=True)

    def has_untried_upstream(
        self, request: Request, tried: Iterable[BootId]
    ) -> bool:
        """Returns whether an untried live upstream could run a request."""
        return any(
            status.state is UpstreamState.LIVE and status.boot_id not in tried
            for status in self._fleet.holders(request.service, request.artifact)
        )

    def cancel(self, request_id: RequestId, now_s: float) -> None:
        """Removes a request, whether it is queued or in flight."""
        self._queue.cancel(request_id, now_s)
        self._waiting.pop(request_id, None)
        self._finish(request_id)

    def record_success(
        self, request: Request, now_s: float
    ) -> tuple[Suspicion, ...]:
        """Records a complete response; returns cleared suspicions to share."""
        status = self._finish(request.request_id)
        if status is not None:
            self._limits.record_success(status)
        return self.suspects.record_success(request.fingerprint, now_s)

    def record_refusal(self, request: Request, now_s: float) -> None:
        """Records that an upstream refused a request."""
        assignment = self._in_flight.get(request.request_id)
        if assignment is None:
            return
        status = self._fleet.upstreams.get(assignment.upstream)
        sent = status and status.in_flight.get(request.request_id)
        self._finish(request.request_id)
        if sent:
            self._limits.record_refusal(status, sent.sent_s, now_s)

    def record_failure(self, request: Request) -> None:
        """Records the end of an attempt with any other result."""
        self._finish(request.request_id)

    def record_connection_lost(
        self, upstream: UpstreamId, now_s: float
    ) -> None:
        """Stops dispatch to an upstream until its next report."""
        status = self._fleet.upstreams.get(upstream)
        if status is not None:
            status.record_connection_lost(now_s)

    def record_crash(
        self, upstream: UpstreamId, boot_id: BootId, now_s: float
    ) -> tuple[Suspicion, ...]:
        """Records a crash of an upstream; returns suspicions to share."""
        status = self._fleet.upstreams.get(upstream)
        if status is None:
            return ()
        in_flight = [
            (sent.request.fingerprint, sent.suspect)
            for sent in status.in_flight.values()
        ]
        return self.suspects.record_crash(boot_id, in_flight, now_s)

    # Decisions.

    def decide(self, now_s: float) -> Iterator[Decision]:
        """Yields the decisions possible now; each request at most once."""
        if not len(self._queue):
            self._cold.clear()
            return
        for request in self._queue.expire(now_s):
            yield self._drop(request, ErrorType.DEADLINE_EXCEEDED, _EXPIRED)
        self._cold.clear()
        while True:
            found = _Search()
            request = self._queue.take(
                now_s, functools.partial(self._find_upstream, now_s, found)
            )
            # The queue must not change during the search.
            yield from self._apply_search(found, now_s)
            if request is not None:
                yield self._assign(request, found, now_s)
            elif not found.rejected and not found.to_isolate:
                return

    def collect_demand(
        self,
    ) -> tuple[dict[ArtifactName, dict[RankId, int]], tuple[ArtifactName, ...]]:
        """Returns the arrivals since the last call, and the cold artifacts.

        An artifact is cold if a request waits for it and no live upstream
        holds it.
        """
        arrivals, self._arrivals = self._arrivals, {}
        return (
            {name: dict(ranks) for name, ranks in arrivals.items()},
            tuple(sorted(self._cold)),
        )

    def queued(self) -> dict[RankId, int]:
        """Returns the number of queued requests per rank."""
        return self._queue.waiting()

    @property
    def in_flight(self) -> int:
        """Number of requests that are assigned to upstreams."""
        return len(self._in_flight)

    def _check_blocked(self, request: Request, now_s: float) -> None:
        verdict = self.suspects.verdict(request.fingerprint, now_s)
        if verdict is Verdict.BLOCKED:
            raise CallerError(ErrorType.REQUEST_BLOCKED, _BLOCKED)

    def _find_upstream(
        self,
        now_s: float,
        found: "_Search",
        request: Request,
        urgency: Urgency,
    ) -> bool:
        """Chooses an upstream; returns whether there is one."""
        waiting = self._waiting[request.request_id]
        verdict = self.suspects.verdict(request.fingerprint, now_s)
        if verdict is Verdict.BLOCKED:
            found.rejected.append((request, ErrorType.REQUEST_BLOCKED))
            return False
        if verdict is not Verdict.CLEAN and not waiting.isolated:
            found.to_isolate.append(request)
            return False
        version = None
        if request.artifact is not None:
            artifact = artifact_of(self.config, request.artifact)
            if artifact is None:
                found.rejected.append((request, ErrorType.NOT_FOUND))
                return False
            version = artifact.version
            self._record_cold(request, artifact.name)
        if verdict is Verdict.HELD:
            return False
        found.urgency = urgency
        found.chosen = choose_upstream(
            request,
            self._fleet,
            local_domain=self._local_domain,
            has_capacity=lambda status: self._limits.has_capacity(
                status, urgency, now_s
            ),
            rng=self._rng,
            tried=self._upstreams_of(waiting.tried),
            suspect=verdict is Verdict.SUSPECT,
            version=version,
        )
        return found.chosen is not None

    def _upstreams_of(self, boots: frozenset[BootId]) -> list[UpstreamId]:
        if not boots:
            return []
        return [
            upstream
            for upstream, status in self._fleet.upstreams.items()
            if status.boot_id in boots
        ]

    def _apply_search(
        self, found: "_Search", now_s: float
    ) -> Iterator[DroppedRequest]:
        for request, error_type in found.rejected:
            self._queue.cancel(request.request_id, now_s)
            yield self._drop(request, error_type, _REJECTIONS[error_type])
        for request in found.to_isolate:
            self._queue.cancel(request.request_id, now_s)
            self._waiting[request.request_id].isolated = True
            self._queue.requeue(request, now_s, isolated=True)

    def _level(self, request: Request) -> int:
        rank = self.config.ranks.get(request.rank)
        return rank.level if rank else 0

    def _record_cold(self, request: Request, name: ArtifactName) -> None:
        holders = self._fleet.holders(request.service, name)
        if not any(s.state is UpstreamState.LIVE for s in holders):
            self._cold.add(name)

    def _assign(
        self, request: Request, found: "_Search", now_s: float
    ) -> Assignment:
        upstream = found.chosen
        del self._waiting[request.request_id]
        status = self._fleet.upstreams[upstream]
        verdict = self.suspects.verdict(request.fingerprint, now_s)
        self._fleet.record_sent(
            upstream,
            request,
            now_s,
            suspect=verdict is Verdict.SUSPECT,
            flooding=found.urgency.flooding,
        )
        assignment = Assignment(
            request,
            upstream,
            status.config.address,
            status.boot_id,
            found.urgency.level,
        )
        self._in_flight[request.request_id] = assignment
        return assignment

    def _finish(self, request_id: RequestId) -> UpstreamStatus | None:
        assignment = self._in_flight.pop(request_id, None)
        if assignment is None:
            return None
        self._fleet.record_finished(assignment.upstream, request_id)
        return self._fleet.upstreams.get(assignment.upstream)

    def _drop(
        self, request: Request, error_type: ErrorType, message: str
    ) -> DroppedRequest:
        self._waiting.pop(request.request_id, None)
        retry_after_s = None
        if request.artifact in self._cold:
            retry_after_s = COLD_RETRY_AFTER_S
        error = CallerError(error_type, message, retry_after_s=retry_after_s)
        return DroppedRequest(request, error)


_BLOCKED = "the upstreams that ran this request crashed; it is blocked for now"
_EXPIRED = "the deadline passed before an upstream was free"
_REMOVED = "the model was removed while the request waited"
_RANK_REMOVED = "the rank was removed while the request was in progress"
_REJECTIONS = {
    ErrorType.REQUEST_BLOCKED: _BLOCKED,
    ErrorType.NOT_FOUND: _REMOVED,
}
_REFUSALS = {
    RefusalReason.QUEUE_FULL: "the queue of this rank is full",
    RefusalReason.KIND_FULL: "the queue of this kind of work is full",
    RefusalReason.DEADLINE: "the wait would be longer than the deadline",
}
