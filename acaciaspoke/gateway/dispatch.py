"""Queues requests and assigns them to upstreams; does no I/O."""

from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterator

from acaciaspoke.gateway.admission import (
    LIMITED,
    Backlog,
    Refusal,
    admit,
    plan_retry,
    refuse,
)
from acaciaspoke.gateway.backups import may_continue, needs_backup
from acaciaspoke.gateway.balance import (
    Loads,
    choose_backup_engine,
    named_pause_end_s,
    record_prompt_use,
    wait_reason_of,
)
from acaciaspoke.gateway.current_loads import current_loads
from acaciaspoke.gateway.decisions import (
    Assignment,
    Decline,
    DroppedRequest,
    Forward,
    must_decline,
    needs_other_host,
)
from acaciaspoke.gateway.estimates import Estimates
from acaciaspoke.gateway.event_intervals import UNKNOWN_S
from acaciaspoke.gateway.fairness.order import FairOrder
from acaciaspoke.gateway.fairness.review import QueueReview
from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.late_replica import refuse_without_replica
from acaciaspoke.gateway.limit_tokens import LimitTokens
from acaciaspoke.gateway.limited_choice import (
    LimitedChoice,
    need_places,
    reserve_least_loaded,
)
from acaciaspoke.gateway.local_demand import LocalDemand
from acaciaspoke.gateway.messages import ArtifactDemand, VersionDemand
from acaciaspoke.gateway.retry_budget import RetryBudget
from acaciaspoke.gateway.stream_versions import StreamVersions
from acaciaspoke.gateway.types import (
    Artifact,
    Configuration,
    Request,
    ResumePoint,
    WaitReason,
)
from acaciaspoke.gateway.upstream import Upstream
from acaciaspoke.gateway.version_demand import (
    lack_version,
    report_version_demand,
)
from acaciaspoke.ids import (
    DomainId,
    HostId,
    RequestId,
    ServiceId,
    UpstreamId,
)

# Returns the host that serves a request at a time; None if none can.
ChooseHost = Callable[[Request, float], HostId | None]


class Dispatcher:
    """Holds one host's waiting requests and chooses upstreams for them.

    Attributes:
        fleet: The upstreams and their loads.
        estimates: When requests can run and must have started.
        versions: At which software versions streams begin.
        order: The order in which waiting requests are served.
        tokens: This host's tokens for upstreams that limit their requests.
    """

    def __init__(
        self,
        local_domain: DomainId,
        budget: Callable[[], RetryBudget],
        store_era: Callable[[], int] = lambda: 0,
        view_age_s: Callable[[], float] = lambda: 0.0,
        choose_host: ChooseHost = lambda request, now_s: None,
    ):
        """Creates a dispatcher without requests and upstreams.

        Args:
            local_domain: The failure domain of this host.
            budget: Returns a new retry budget.
            store_era: Returns the highest known era of the store.
            view_age_s: Returns how long ago the upstreams were read.
            choose_host: Chooses the host for a request that this one cannot
                serve.
        """
        self.fleet = Fleet()
        self.versions = StreamVersions(self.fleet, store_era, view_age_s)
        self.tokens = LimitTokens(self.fleet.limits)
        self._limits = LimitedChoice(self.tokens, local_domain)
        self._local_domain = local_domain
        self._choose_host = choose_host
        self._new_budget = budget
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._configuration: Configuration | None = None
        self._waiting: dict[RequestId, Request] = {}
        self._running: dict[RequestId, tuple[Request, UpstreamId]] = {}
        self._demand = LocalDemand()
        self.order = FairOrder(
            self.fleet.peer_loads, self._waiting, self._running
        )
        self.estimates = Estimates(self.fleet, self.order)
        self._review = QueueReview(self.fleet, self.estimates, self.order)

    @property
    def waiting(self) -> int:
        """Requests that wait for an upstream."""
        return len(self._waiting)

    @property
    def waiting_requests(self) -> Collection[Request]:
        """The requests that wait for an upstream."""
        return self._waiting.values()

    # Request lifecycle.

    def set_configuration(self, configuration: Configuration) -> None:
        """Applies a version of the configuration."""
        self._configuration = configuration
        self.order.is_active = bool(configuration.workspaces)
        self.versions.set_configuration(configuration)
        self.fleet.holdings.set_configuration(configuration)

    def submit(self, request: Request, now_s: float) -> Refusal | None:
        """Queues a new request, or returns why it is refused."""
        self.estimates.choose_probe(request, now_s)
        latest_s = self.estimates.latest_start_s(request, now_s)
        if self.host_for(request, now_s) is not None:
            if now_s >= latest_s:
                return refuse(request, "late", 0.0, now_s)
            # The other host admits it.
            self._waiting[request.id] = request
            return None
        self.budget(request.service).record_request(now_s)
        self._demand.record(request, now_s)
        backlog = self._backlog(request, now_s)
        start_s = self.order.latest_start_s(request, backlog, latest_s)
        refusal = admit(
            request, backlog, start_s, now_s
        ) or refuse_without_replica(request, self.estimates, latest_s, now_s)
        if refusal is None:
            self._waiting[request.id] = request
            return None
        return self.order.refused(request, refusal, backlog.wait_s, now_s)

    def host_for(self, request: Request, now_s: float) -> HostId | None:
        """Returns the host that has to serve a request; None for this one."""
        if needs_other_host(request, self.fleet, now_s):
            return self._choose_host(request, now_s)
        return None

    def resubmit(
        self, request: Request, now_s: float, was_sent: bool = True
    ) -> None:
        """Queues a request again for another attempt.

        Args:
            request: The request.
            now_s: The current time.
            was_sent: Whether an upstream may have got it; only then the next
                attempt is a retry.
        """
        if was_sent and not request.has_retry:
            self.budget(request.service).record_retry(now_s)
        request.has_retry = False
        request.cached_tokens = request.expected_cached_tokens = 0
        self._waiting[request.id] = request

    def reserve_retry(self, request: Request, now_s: float) -> bool:
        """Reserves a retry of a request; returns whether there is one left."""
        budget = self.budget(request.service)
        if not request.has_retry and budget.allows_retry(now_s):
            budget.record_retry(now_s)
            request.has_retry = True
        return request.has_retry

    def cancel(self, request: Request) -> None:
        """Removes a request, whether it waits or runs."""
        self._waiting.pop(request.id, None)
        self.record_finished(request)

    def record_event(
        self,
        request: Request,
        now_s: float,
        reading_since_s: float = UNKNOWN_S,
    ) -> bool:
        """Records an event of a request; see ``Fleet.record_event``."""
        running = self._running.get(request.id)
        return running is not None and self.fleet.record_event(
            running[1], request, now_s, reading_since_s
        )

    def record_finished(self, request: Request) -> None:
        """Records that a request is no longer at its upstream."""
        running = self._running.pop(request.id, None)
        if running is not None:
            self.fleet.record_finished(running[1], request)

    def record_success(
        self, request: Request, upstream: UpstreamId, now_s: float
    ) -> None:
        """Records a complete response."""
        self.fleet.record_success(upstream, now_s)
        self.estimates.record_success(request, now_s)

    def is_silent(self, silence_s: float, now_s: float) -> bool:
        """Returns whether requests run, but nothing is received from any."""
        return now_s - self.fleet.links.received_s >= silence_s and any(
            now_s - request.sent_s >= silence_s
            for request, _ in self._running.values()
        )

    def budget(self, service: ServiceId) -> RetryBudget:
        """Returns the retry budget of a service."""
        retry_budget = self._budgets.get(service)
        if retry_budget is None:
            retry_budget = self._budgets[service] = self._new_budget()
        return retry_budget

    def running_priorities(self) -> dict[UpstreamId, Counter[int]]:
        """Counts the running requests at each upstream, by priority."""
        counts: defaultdict[UpstreamId, Counter[int]] = defaultdict(Counter)
        for request, upstream in self._running.values():
            counts[upstream][request.priority] += 1
        return counts

    # Decisions.

    def decide(
        self, now_s: float
    ) -> Iterator[Assignment | DroppedRequest | Forward | Decline]:
        """Yields the requests on which there is a decision now."""
        self.tokens.begin_round()
        self.fleet.places.begin_round()
        if not self._waiting:
            return
        loads = current_loads(self.fleet, self.order.is_active, now_s)
        self._review.begin_round(now_s)
        unreachable = self.fleet.reachability.unreachable(now_s)
        holders: dict[tuple, list[Upstream]] = {}
        for request in self.order.sort(now_s):
            if request.resume_at is not None:
                if self._needs_place(request, request.resume_at, loads):
                    continue
                yield self._resume(request, request.resume_at, now_s)
                continue
            if must_decline(request, self.fleet, now_s):
                del self._waiting[request.id]
                yield Decline(request)
                continue
            host = self.host_for(request, now_s)
            if host is not None:
                del self._waiting[request.id]
                yield Forward(request, host)
                continue
            if now_s >= self.estimates.latest_start_s(request, now_s):
                wait_s = self._retry_after_s(request, now_s)
                yield self._refuse(request, "late", wait_s, now_s)
                continue
            key = (request.service, request.artifact, request.version)
            if key not in holders:
                found = self.fleet.holders(*key[:2], now_s, request.version)
                holders[key] = [
                    upstream
                    for upstream in found
                    if upstream.record.upstream not in unreachable
                ]
            decision = self._try_assign(request, holders[key], loads, now_s)
            if decision is not None:
                yield decision

    def _try_assign(
        self,
        request: Request,
        holders: list[Upstream],
        loads: Loads,
        now_s: float,
    ) -> Assignment | DroppedRequest | None:
        """Assigns or refuses a request; returns None if it has to wait."""
        if self.order.must_yield(request, holders, loads, now_s):
            request.wait_reason = WaitReason.SLOT
            return None
        upstream = self._choose(request, holders, loads, now_s)
        if upstream is not None:
            is_alone = not loads.prefill_tokens[upstream.record.upstream]
            record_prompt_use(request, upstream, holders, loads)
            loads.add(upstream.record.upstream, request)
            if self._needs_backup(request):
                request.backup_engine = choose_backup_engine(
                    upstream, holders, loads, self._local_domain
                )
            return self._assign(request, upstream, now_s, is_alone)
        request.wait_reason = wait_reason_of(request, holders, loads, now_s)
        if holders:
            hopeless = self._review.find(request, holders, loads, now_s)
            if hopeless is not None:
                return self._refuse(request, *hopeless, now_s)
            pause_end_s = named_pause_end_s(request, holders, now_s)
            if pause_end_s > self.estimates.latest_start_s(request, now_s):
                wait_s = pause_end_s - now_s
                return self._refuse(request, "paused", wait_s, now_s)
            wait_s = self._limits.wait_for_token(request, holders, loads, now_s)
            if now_s + wait_s > self.estimates.latest_start_s(request, now_s):
                return self._refuse(request, LIMITED, wait_s, now_s)
            self.order.record_waits(request)
            need_places(request, holders, loads, self.fleet.places, now_s)
            reserve_least_loaded(request, holders, loads)
            return None
        latest_s = self.estimates.latest_start_s(request, now_s)
        refusal = refuse_without_replica(
            request, self.estimates, latest_s, now_s
        )
        if refusal is None:
            return None
        del self._waiting[request.id]
        return DroppedRequest(request, refusal)

    def _choose(
        self,
        request: Request,
        holders: list[Upstream],
        loads: Loads,
        now_s: float,
    ) -> Upstream | None:
        """Chooses an upstream, at first among those of the preferred version.

        While streams of other versions cannot be recorded, only these get it.
        """
        version = self.versions.preferred_version(request)
        preferred = [
            upstream
            for upstream in holders
            if version in (None, upstream.record.version)
        ]
        upstream = self._limits.choose(request, preferred, loads, now_s)
        is_last = preferred and not self.versions.can_record
        if upstream or is_last or len(preferred) == len(holders):
            return upstream
        return self._limits.choose(request, holders, loads, now_s)

    def _needs_place(
        self, request: Request, point: ResumePoint, loads: Loads
    ) -> bool:
        """Has a stream wait if the engine that has its memory is brittle."""
        free = loads.places.get(point.upstream)
        if free is None:
            return False
        if free > 0:
            loads.add(point.upstream, request)
            return False
        self.fleet.places.need(point.upstream, request.priority)
        request.wait_reason = WaitReason.ROOM
        return True

    def _resume(
        self, request: Request, point: ResumePoint, now_s: float
    ) -> Assignment | DroppedRequest:
        """Assigns an interrupted stream to an engine with its memory."""
        upstream = self.fleet.upstreams.get(point.upstream)
        if not may_continue(request, upstream, now_s):
            return self._refuse(request, "copy lost", 0.0, now_s)
        return self._assign(request, upstream, now_s)

    def _refuse(
        self, request: Request, reason: str, wait_s: float, now_s: float
    ) -> DroppedRequest:
        del self._waiting[request.id]
        refusal = refuse(request, reason, wait_s, now_s)
        return DroppedRequest(
            request, self.order.refused(request, refusal, wait_s, now_s)
        )

    def _retry_after_s(self, request: Request, now_s: float) -> float:
        """Returns after how many seconds the caller should retry."""
        ready_s = self.estimates.replica_ready_s(request, now_s)
        if ready_s is not None:
            return plan_retry(request, ready_s, now_s).retry_after_s
        return self._backlog(request, now_s).wait_s

    def _backlog(self, request: Request, now_s: float) -> Backlog:
        return self.estimates.backlog(request, self._waiting.values(), now_s)

    def _needs_backup(self, request: Request) -> bool:
        return needs_backup(request, self._configuration, self.estimates)

    def _assign(
        self,
        request: Request,
        upstream: Upstream,
        now_s: float,
        is_alone: bool = False,
    ) -> Assignment:
        del self._waiting[request.id]
        name = upstream.record.upstream
        request.sent_s = now_s
        self._running[request.id] = (request, name)
        self.tokens.use(name, now_s)
        self.fleet.record_sent(upstream, request, is_alone)
        record = upstream.record
        return Assignment(
            request, name, record.address, record.started_ms, record.version
        )

    def demand(self, now_s: float, full: bool) -> tuple[ArtifactDemand, ...]:
        """Returns the demand of this host's callers for each artifact.

        Args:
            now_s: The current time.
            full: Whether to include artifacts without recent requests.
        """
        others = lack_version(self._waiting.values(), self.fleet, now_s)
        return self._demand.report(
            (
                request
                for request in self._waiting.values()
                if request not in others
            ),
            now_s,
            full,
            lambda request: self.estimates.latest_start_s(request, now_s),
            self._has_model,
        )

    def version_demand(self, now_s: float) -> tuple[VersionDemand, ...]:
        """Returns the requests that wait for an engine of their version."""
        return report_version_demand(
            (
                request
                for request in lack_version(
                    self._waiting.values(), self.fleet, now_s
                )
                if self._has_model(request.service, request.artifact)
            ),
            now_s,
            lambda request: self.estimates.latest_start_s(request, now_s),
        )

    def _has_model(self, service_id: ServiceId, artifact: Artifact) -> bool:
        return self._configuration is None or self._configuration.has_model(
            service_id, artifact.model
        )

    def lacks_replica(self, request: Request, now_s: float) -> bool:
        """Returns whether no upstream holds the artifact of a request."""
        return request.artifact is not None and not self.fleet.holders(
            request.service, request.artifact, now_s, request.version
        )
