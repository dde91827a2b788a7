"""The order of waiting requests in a deployment with workspaces."""

import copy
import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from acaciaspoke.gateway.admission import (
    FIRST_EVENT_S,
    MAX_RETRY_AFTER_SHARE,
    Backlog,
    Refusal,
)
from acaciaspoke.gateway.balance import Loads, slot_limit
from acaciaspoke.gateway.fairness.returns import is_return, spread_return
from acaciaspoke.gateway.fairness.shares import (
    WorkspaceTokens,
    capacity_tokens,
    demands_of,
    fair_shares,
    request_tokens,
    sum_tokens,
    workspace_of,
)
from acaciaspoke.gateway.fairness.unmet import UnmetTokens
from acaciaspoke.gateway.messages import LoadDigest
from acaciaspoke.gateway.peerloads import PeerLoads
from acaciaspoke.gateway.types import Request, WaitReason
from acaciaspoke.gateway.upstream import Upstream
from acaciaspoke.ids import (
    ModelId,
    RequestId,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)

# Reports of other hosts change ten times a second.
REMOTE_INTERVAL_S = 0.05

# A request leaves free slots to waiting requests of other hosts if its
# workspace runs more than this multiple of its share. At the share itself,
# slots would often be idle until the other host learns of them (up to 0.3 s).
YIELD_SHARE = 1.1


def priority_key(request: Request) -> tuple[int, float]:
    """Returns the key by which requests are served without workspaces."""
    # Callers that retry have less time left, so they go first.
    return (request.priority, request.deadline_s)


def order_deadline_s(request: Request) -> float:
    """Returns the deadline by which a request is ordered.

    A caller that waited as told keeps its place: it used at most a third of its
    time for that. One that repeats at once ranks as a new one, and one that has
    repeated for longer gains nothing more.
    """
    full_s = request.route.timeout_s
    if not is_return(request):
        return request.arrived_s + full_s
    earliest_s = request.arrived_s + (1 - MAX_RETRY_AFTER_SHARE) * full_s
    return max(request.deadline_s, earliest_s)


def urgency_key(request: Request, now_s: float) -> tuple[int, bool, float]:
    """Returns the key of a request among those on the same side of shares."""
    objective_s = request.route.objective_s
    latest_s = request.objective_s - min(FIRST_EVENT_S, 0.25 * objective_s)
    return (request.priority, now_s > latest_s, order_deadline_s(request))


def _model_of(request: Request) -> ModelId | None:
    return request.artifact.model if request.artifact else None


def _pool_of(request: Request) -> tuple[ServiceId, ModelId | None]:
    return request.service, _model_of(request)


class FairOrder:
    """Orders one host's requests by the fair shares of their workspaces.

    Attributes:
        is_active: Whether the configuration has workspaces.
        unmet: Tokens of requests that were refused lately.
    """

    def __init__(
        self,
        peer_loads: PeerLoads,
        waiting: Mapping[RequestId, Request],
        running: Mapping[RequestId, tuple[Request, UpstreamId]],
    ):
        """Creates an order that is not active.

        Args:
            peer_loads: What other hosts report.
            waiting: The requests that wait at this host, kept up to date.
            running: Those at upstreams, with these, likewise.
        """
        self.is_active = False
        self.unmet = UnmetTokens()
        self._peer_loads = peer_loads
        self._waiting = waiting
        self._running = running
        self._remote: dict[WorkspaceId, WorkspaceTokens] = {}
        self._remote_due_s = float("-inf")
        self._shares: dict[WorkspaceId, float] = {}
        self._local_shares: dict[WorkspaceId, float] = {}
        self._in_use: Counter[WorkspaceId] = Counter()
        self._over: set[RequestId] = set()
        self._far_over: set[RequestId] = set()
        # For which services and models requests within shares wait.
        self._awaited: set[tuple[ServiceId, ModelId | None]] = set()

    def copy(
        self,
        waiting: Mapping[RequestId, Request],
        running: Mapping[RequestId, tuple[Request, UpstreamId]],
    ) -> "FairOrder":
        """Returns a copy, for copies of the requests, that changes alone."""
        copied = copy.copy(self)
        copied._waiting, copied._running = waiting, running
        copied.unmet = copy.deepcopy(self.unmet)
        copied._over = self._over.copy()
        copied._far_over = self._far_over.copy()
        copied._awaited = self._awaited.copy()
        return copied

    def local_tokens(self, now_s: float) -> dict[WorkspaceId, WorkspaceTokens]:
        """Returns the tokens of this host's requests, for its digest."""
        if not self.is_active:
            return {}
        running: Counter[WorkspaceId] = Counter()
        for request, _ in self._running.values():
            running[workspace_of(request)] += request_tokens(request)
        unmet = self.unmet.recent(now_s)
        for request in self._waiting.values():
            unmet[workspace_of(request)] += request_tokens(request)
        return {
            name: WorkspaceTokens(running[name], round(unmet[name]))
            for name in running.keys() | unmet.keys()
        }

    def sort(self, now_s: float) -> list[Request]:
        """Returns the waiting requests in the order in which they are served.

        Requests of a workspace are within its share up to the tokens that it
        has left there, the most urgent ones first; the others follow after the
        requests of all workspaces that are within theirs.
        """
        if not self.is_active:
            return sorted(self._waiting.values(), key=priority_key)
        self._update_shares(now_s)
        ordered = sorted(
            self._waiting.values(), key=lambda each: urgency_key(each, now_s)
        )
        in_use = self._in_use.copy()
        within, over = [], []
        self._far_over.clear()
        self._awaited.clear()
        for request in ordered:
            name = workspace_of(request)
            share = self._shares.get(name, 0.0)
            # What has begun ends.
            if request.starts or in_use[name] < share:
                within.append(request)
            else:
                over.append(request)
                if in_use[name] >= YIELD_SHARE * share:
                    self._far_over.add(request.id)
            in_use[name] += request_tokens(request)
        self._over = {request.id for request in over}
        return within + over

    def is_over(self, request: Request) -> bool:
        """Returns whether a waiting request is beyond its workspace's share.

        Tells what the last call of ``sort`` found.
        """
        return request.id in self._over

    def ahead_of(self, request: Request, now_s: float) -> int:
        """Counts the requests of all hosts that go before one.

        Other hosts' deadlines are unknown; those of the same urgency count.

        Args:
            request: A waiting request, or one that may wait from now on.
            now_s: The current time.
        """
        own_key = urgency_key(request, now_s)
        if request.id not in self._waiting:
            self._mark_new(request, own_key, now_s)
        is_over, pool = request.id in self._over, _pool_of(request)
        ahead = 0
        for other in self._waiting.values():
            if _pool_of(other) == pool:
                is_other_over = other.id in self._over
                if is_other_over == is_over:
                    ahead += urgency_key(other, now_s) < own_key
                else:
                    ahead += is_over
        return ahead + self.ahead_at_peers(request, now_s)

    def latest_start_s(
        self, request: Request, backlog: Backlog, latest_s: float
    ) -> float:
        """Returns until when a new request may wait for the backlog.

        One beyond its share that misses its objective goes behind all that
        arrive later, so it would wait to no avail.

        Args:
            request: The request, for which ``ahead_of`` was asked.
            backlog: The backlog ahead of it.
            latest_s: The latest time at which it may start.
        """
        if request.id not in self._over or backlog.cold_s:
            return latest_s
        return min(latest_s, request.objective_s)

    def share_wait_s(
        self, request: Request, service_s: float, now_s: float
    ) -> float:
        """Returns how long a request waits for its workspace's share.

        Requests of other workspaces that arrive later go before those beyond
        shares, so the backlog alone says too little. This host's part of a
        share is estimated by its part of the demand.

        Args:
            request: A waiting request, or one for which ``ahead_of`` was asked.
            service_s: Mean time for which a request occupies a slot.
            now_s: The current time.
        """
        name = workspace_of(request)
        share = self._local_shares.get(name, 0.0)
        if request.id not in self._over or not share:
            return 0.0
        own_key, pool = urgency_key(request, now_s), _pool_of(request)
        ahead = sum(
            request_tokens(other)
            for other in self._waiting.values()
            if workspace_of(other) == name
            and _pool_of(other) == pool
            and urgency_key(other, now_s) < own_key
        )
        return ahead * service_s / share

    def _mark_new(self, request: Request, own_key: tuple, now_s: float) -> None:
        """Finds whether a new request is beyond its workspace's share."""
        self._update_shares(now_s, request)
        name = workspace_of(request)
        in_use = self._in_use[name] + sum(
            request_tokens(other)
            for other in self._waiting.values()
            if workspace_of(other) == name
            and urgency_key(other, now_s) < own_key
        )
        if in_use >= self._shares.get(name, 0.0):
            self._over.add(request.id)
        else:
            self._over.discard(request.id)

    def ahead_at_peers(self, request: Request, now_s: float) -> int:
        """Counts the requests of other hosts that go before a waiting one."""
        model = _model_of(request)
        if model is None:
            return 0
        digests = self._peer_loads.fresh(now_s)
        if request.id not in self._over:
            return _count_within(digests, model, request.priority)
        return _count_within(digests, model) + _count(
            (digest.waiting_over for digest in digests), model, request.priority
        )

    def must_yield(
        self,
        request: Request,
        holders: Iterable[Upstream],
        loads: Loads,
        now_s: float,
    ) -> bool:
        """Returns whether a request leaves the free slots to others.

        These wait here or at other hosts and are within their shares. As less
        urgent ones get fewer slots of an engine, they would wait while urgent
        requests beyond shares take its last slots.

        Args:
            request: A waiting request.
            holders: The upstreams that can run it.
            loads: The loads of the upstreams.
            now_s: The current time.
        """
        model = _model_of(request)
        if request.id in self._over and _pool_of(request) in self._awaited:
            return True
        if request.id not in self._far_over or model is None:
            return False
        within = _count_within(self._peer_loads.fresh(now_s), model)
        if not within:
            return False
        free_slots = sum(
            max(
                0,
                slot_limit(upstream, request)
                - loads.running[upstream.record.upstream],
            )
            for upstream in holders
        )
        return free_slots <= within

    def record_waits(self, request: Request) -> None:
        """Records that a request has to wait in this round.

        One that reaches no upstream would not take the slots left to it.
        """
        is_reachable = request.wait_reason is not WaitReason.UNREACHABLE
        if request.id not in self._over and is_reachable:
            self._awaited.add(_pool_of(request))

    def refused(
        self, request: Request, refusal: Refusal, wait_s: float, now_s: float
    ) -> Refusal:
        """Records a refusal, and returns it with the best time of a return.

        Args:
            request: The request.
            refusal: Why it is refused.
            wait_s: The wait for which it is refused.
            now_s: The current time.
        """
        if not self.is_active:
            return refusal
        self.unmet.record(request, now_s)
        is_over = request.id in self._over
        self._over.discard(request.id)
        return spread_return(request, refusal, wait_s, is_over, now_s)

    def waiting_over(self) -> dict[ModelId, dict[int, int]]:
        """Counts the waiting requests beyond shares, by model and priority."""
        counts: dict[ModelId, dict[int, int]] = {}
        for name in self._over:
            request = self._waiting.get(name)
            if request is not None and request.artifact is not None:
                by_priority = counts.setdefault(request.artifact.model, {})
                priority = request.priority
                by_priority[priority] = by_priority.get(priority, 0) + 1
        return counts

    def _update_shares(self, now_s: float, new: Request | None = None) -> None:
        if now_s >= self._remote_due_s:
            self._remote_due_s = now_s + REMOTE_INTERVAL_S
            self._remote = self._peer_loads.workspace_tokens(now_s)
        local = self.local_tokens(now_s)
        reports = [self._remote, local]
        if new is not None:
            added = WorkspaceTokens(unmet=request_tokens(new))
            reports.append({workspace_of(new): added})
        tokens = sum_tokens(reports)
        self._in_use = Counter(
            {name: each.running for name, each in tokens.items()}
        )
        is_alone = sum(any(each) for each in tokens.values()) < 2
        if is_alone and not self._peers_see_shares(now_s):
            # A workspace that competes with no other one may use everything.
            self._shares = dict.fromkeys(tokens, math.inf)
            self._local_shares = {}
            return
        capacity = capacity_tokens(tokens)
        self._shares = fair_shares(demands_of(tokens, capacity), capacity)
        self._local_shares = {
            name: self._shares[name] * sum(each) / sum(tokens[name])
            for name, each in local.items()
            if sum(each)
        }

    def _peers_see_shares(self, now_s: float) -> bool:
        """Returns whether requests beyond shares wait at other hosts."""
        return any(
            digest.waiting_over for digest in self._peer_loads.fresh(now_s)
        )


def _count_within(
    digests: Collection[LoadDigest],
    model: ModelId,
    max_priority: int | None = None,
) -> int:
    waiting = (digest.waiting for digest in digests)
    over = (digest.waiting_over for digest in digests)
    return max(
        0,
        _count(waiting, model, max_priority)
        - _count(over, model, max_priority),
    )


def _count(
    reports: Iterable[Mapping[ModelId, Mapping[int, int]]],
    model: ModelId,
    max_priority: int | None = None,
) -> int:
    return sum(
        count
        for report in reports
        for priority, count in report.get(model, {}).items()
        if max_priority is None or priority <= max_priority
    )
