"""Estimates when requests can run, and when they must have started.

All of them follow from the loads of upstreams and from how long earlier
requests took.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

from acaciaspoke.gateway.admission import (
    Backlog,
    latest_resumption_s,
    latest_start_before_s,
    latest_start_s,
)
from acaciaspoke.gateway.balance import slot_limit
from acaciaspoke.gateway.durations import Durations
from acaciaspoke.gateway.fairness.order import FairOrder, priority_key
from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.types import Request
from acaciaspoke.gateway.upstream import Upstream
from acaciaspoke.ids import UpstreamId

# Assumed mean time of a request until one is measured.
INITIAL_SERVICE_S = 1.0

# A route whose mean duration excludes new requests gets one at this interval
# all the same. Nothing else would show that its upstreams are fast again.
PROBE_INTERVAL_S = 0.5

# Estimated time until an engine holds a model: order, load and notice.
COLD_START_S = 1.6


class Estimates:
    """Estimates of one host.

    Attributes:
        durations: How long requests took, by service and by route.
        last_start_s: Latest start of a request of this host's callers; finite
            while the host stops. Other hosts forward requests then only if no
            other one reaches upstreams.
        stop_end_s: When the host stops; requests that may take longer are
            refused.
    """

    def __init__(self, fleet: Fleet, order: FairOrder | None = None):
        """Creates estimates without any measured duration.

        Args:
            fleet: The upstreams and their loads.
            order: The order of waiting requests; None without workspaces.
        """
        self._order = order
        self.durations: defaultdict[str, Durations] = defaultdict(Durations)
        self.last_start_s = math.inf
        self.stop_end_s = math.inf
        self._fleet = fleet
        # When each route got its last probe.
        self._probed_s: defaultdict[str, float] = defaultdict(lambda: -math.inf)

    def record_success(self, request: Request, now_s: float) -> None:
        """Records how long a complete response took."""
        if now_s > request.deadline_s:
            # Requests end at their deadlines unless this process is blocked,
            # and then the time says nothing of the upstream.
            return
        duration_s = now_s - request.sent_s
        for key in (request.service, request.route.name):
            if request.is_probe:
                self.durations[key].restart()
            self.durations[key].record(duration_s, now_s)

    def choose_probe(self, request: Request, now_s: float) -> None:
        """Makes a new request a probe if its route needs one."""
        name = request.route.name
        measured_s = self.durations[name].measured_s
        if (
            now_s - max(measured_s, self._probed_s[name]) >= PROBE_INTERVAL_S
            and latest_start_s(request, self.service_s(request)) <= now_s
            and latest_start_s(request, 0.0) > now_s
        ):
            self._probed_s[name] = now_s
            request.is_probe = True

    def service_s(self, request: Request) -> float:
        """Returns the mean time of the route's requests; 0 if unknown."""
        if request.is_probe:
            return 0.0
        return self.durations[request.route.name].mean_s or 0.0

    def latest_start_s(self, request: Request, now_s: float) -> float:
        """Returns the latest time at which a request may start.

        A stream that broke off may go on for as long as its caller waits, also
        while the host stops.
        """
        if request.last_event_s is not None:
            return latest_resumption_s(request, request.last_event_s)
        latest_s = latest_start_s(request, self.service_s(request))
        if request.forwarded_by is None:
            latest_s = min(latest_s, self.last_start_s)
        if request.deadline_s <= self.stop_end_s:
            return latest_s
        longest_s = self.durations[request.route.name].longest_s(now_s)
        return min(latest_s, latest_start_before_s(self.stop_end_s, longest_s))

    def replica_ready_s(self, request: Request, now_s: float) -> float | None:
        """Returns when a replica will be ready; None if one is or unknown."""
        artifact = request.artifact
        if artifact is None or self._fleet.holders(
            request.service, artifact.base, now_s, request.version
        ):
            return None
        if (
            request.version is not None
            and len(self._fleet.versions(request.service)) > 1
        ):
            return None  # The replica may be one of another version.
        return self._fleet.ready_at_s.get(artifact.model)

    def backlog(
        self, request: Request, waiting: Iterable[Request], now_s: float
    ) -> Backlog:
        """Returns what a request has to wait for.

        Args:
            request: The request.
            waiting: The requests that wait at this host.
            now_s: The current time.
        """
        service_s = self.durations[request.service].mean_s
        holders, cold_s = self._holders_or_cold_start(request, now_s)
        service_s = INITIAL_SERVICE_S if service_s is None else service_s
        loads = self._fleet.loads(now_s)
        limited = self._fleet.limits.limited()
        places = self._fleet.places.free(now_s)
        free_slots = sum(
            max(
                0,
                int(
                    slot_limit(upstream, request)
                    - loads[upstream.record.upstream]
                ),
            )
            for upstream in holders
            if upstream.record.upstream not in limited
            and upstream.record.upstream not in places
        )
        free_slots += sum(
            places.get(upstream.record.upstream, 0) for upstream in holders
        )
        # Other hosts have the rest of the room of brittle upstreams.
        slots = sum(
            self._fleet.places.expected(upstream)
            if upstream.record.upstream in places
            else _usable_slots(upstream, limited, service_s)
            for upstream in holders
        )
        ahead = self._ahead_of(request, waiting, now_s)
        share_wait_s = 0.0
        if ahead > free_slots and self._order is not None:
            share_wait_s = self._order.share_wait_s(request, service_s, now_s)
        return Backlog(
            ahead=max(0, ahead - free_slots),
            slots=slots,
            service_s=service_s,
            cold_s=cold_s,
            share_wait_s=share_wait_s,
        )

    def _holders_or_cold_start(
        self, request: Request, now_s: float
    ) -> tuple[list[Upstream], float]:
        artifact = request.artifact
        holders = self._fleet.holders(
            request.service, artifact, now_s, request.version
        )
        if holders or artifact is None:
            return holders, 0.0
        if artifact.adapter is not None:
            # An adapter is loaded within milliseconds.
            holders = self._fleet.holders(
                request.service, artifact.base, now_s, request.version
            )
        return holders, 0.0 if holders else COLD_START_S

    def _ahead_of(
        self, request: Request, waiting: Iterable[Request], now_s: float
    ) -> int:
        if self._order is not None and self._order.is_active:
            return self._order.ahead_of(request, now_s)
        own_key = priority_key(request)
        model = request.artifact.model if request.artifact else None
        ahead = sum(
            other.service == request.service
            and (other.artifact.model if other.artifact else None) == model
            and priority_key(other) < own_key
            for other in waiting
        )
        if model is None:
            return ahead
        return ahead + sum(
            count
            for digest in self._fleet.peer_loads.fresh(now_s)
            for priority, count in digest.waiting.get(model, {}).items()
            if priority <= request.priority
        )


def _usable_slots(
    upstream: Upstream, limited: Mapping[UpstreamId, float], service_s: float
) -> float:
    """Returns the slots that requests can occupy on average."""
    slots = upstream.record.slots
    limit_per_s = limited.get(upstream.record.upstream)
    return slots if limit_per_s is None else min(slots, limit_per_s * service_s)
