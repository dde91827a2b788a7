"""The upstreams and their loads, as one gateway knows them."""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterator

from acaciaspoke.gateway.brittle_upstreams import BrittleUpstreams
from acaciaspoke.gateway.engine_speed import EngineSpeed
from acaciaspoke.gateway.event_intervals import (
    UNKNOWN_S,
    EventIntervals,
    arrival_s,
)
from acaciaspoke.gateway.host_places import HostPlaces
from acaciaspoke.gateway.links import Links
from acaciaspoke.gateway.messages import PlacementNotice
from acaciaspoke.gateway.peerloads import PeerLoads
from acaciaspoke.gateway.prompts import Holdings
from acaciaspoke.gateway.reachability import Reachability
from acaciaspoke.gateway.slowdown import Slowdowns
from acaciaspoke.gateway.types import (
    Artifact,
    Request,
    UpstreamRecord,
    UpstreamState,
)
from acaciaspoke.gateway.upstream import Prompt, Upstream
from acaciaspoke.gateway.upstream_limits import UpstreamLimits
from acaciaspoke.ids import (
    ModelId,
    ServiceId,
    SoftwareVersion,
    UpstreamId,
)

# Events of several streams pause for this time only if this host was suspended
# or its links were lost meanwhile.
MAX_COMMON_GAP_S = 0.3

# Upstreams that are remembered as leaving after their records are removed.
MAX_LEAVING_UPSTREAMS = 4096


class Fleet:
    """Tracks all upstreams, local requests at them, and other hosts' loads."""

    def __init__(self) -> None:
        self.upstreams: dict[UpstreamId, Upstream] = {}
        # Removed upstreams at which requests run; a record may come back.
        self._removed: dict[UpstreamId, Upstream] = {}
        self.event_intervals = EventIntervals()
        # When the last time began in which no engine sent an event.
        self._silent_since_s = float("-inf")
        # When the models that are being loaded will be ready.
        self.ready_at_s: dict[ModelId, float] = {}
        # Upstreams that have said that they leave, in a response or in their
        # record, with the start of the process that said so. A record that a
        # restored store brings back may not show it.
        self._leaving: OrderedDict[UpstreamId, int] = OrderedDict()
        self.speed = EngineSpeed()
        self.holdings = Holdings()
        self.peer_loads = PeerLoads(
            self.prefill_tokens_per_s, self.holdings.record_prefill
        )
        self.limits = UpstreamLimits(self._started_ms)
        self.slowdowns = Slowdowns(self._started_ms, self._service_of)
        self.brittle = BrittleUpstreams(self.upstreams, self._started_ms)
        self.places = HostPlaces(self.brittle)
        self.links = Links(self._end_failure_pause)
        self.reachability = Reachability(
            self.upstreams, self.peer_loads, self.links
        )

    def prefill_tokens_per_s(self, upstream_id: UpstreamId) -> float:
        """Returns the prefill rate of an engine."""
        return self.speed.prefill_tokens_per_s(self._service_of(upstream_id))

    def _service_of(self, upstream_id: UpstreamId) -> ServiceId | None:
        upstream = self.upstreams.get(upstream_id)
        return upstream.record.service if upstream else None

    def _started_ms(self, upstream_id: UpstreamId) -> int | None:
        upstream = self.upstreams.get(upstream_id)
        return upstream and upstream.record.started_ms

    def put(self, record: UpstreamRecord) -> None:
        """Adds an upstream or renews its record."""
        upstream = self.upstreams.get(record.upstream)
        if upstream is None:
            upstream = self._restore_removed(record) or Upstream(record)
            self.upstreams[record.upstream] = upstream
        upstream.update_record(record)
        if self._leaving.get(record.upstream) != record.started_ms:
            self._leaving.pop(record.upstream, None)
        if record.state is UpstreamState.DRAINING:
            self._remember_leaving(record.upstream, record.started_ms)
        upstream.is_draining = record.upstream in self._leaving
        self.links.set_upstreams(self.upstreams.keys())

    def remove(self, upstream: UpstreamId) -> None:
        """Removes an upstream; requests at it stay counted if it returns."""
        removed = self.upstreams.pop(upstream, None)
        if removed is not None and removed.in_flight:
            self._removed[upstream] = removed
        self.links.set_upstreams(self.upstreams.keys())

    def _restore_removed(self, record: UpstreamRecord) -> Upstream | None:
        removed = self._removed.pop(record.upstream, None)
        if removed and removed.record.started_ms == record.started_ms:
            return removed
        return None

    def _with_requests(self, upstream_id: UpstreamId) -> Upstream | None:
        """Returns an upstream, also a removed one at which requests run."""
        upstream = self.upstreams.get(upstream_id)
        return upstream or self._removed.get(upstream_id)

    def record_leaving(self, upstream_id: UpstreamId, started_ms: int) -> bool:
        """Records that an upstream says that it leaves.

        This holds for the process that said so, whatever its record states, and
        also if the record is removed and comes back.

        Args:
            upstream_id: The upstream.
            started_ms: The start of its process.

        Returns:
            Whether it was not known.
        """
        upstream = self.upstreams.get(upstream_id)
        if upstream is None or upstream.record.started_ms != started_ms:
            return False
        is_new = upstream_id not in self._leaving
        self._remember_leaving(upstream_id, started_ms)
        upstream.is_draining = True
        return is_new

    def _remember_leaving(
        self, upstream_id: UpstreamId, started_ms: int
    ) -> None:
        self._leaving[upstream_id] = started_ms
        if len(self._leaving) > MAX_LEAVING_UPSTREAMS:
            self._leaving.popitem(last=False)

    def is_leaving(self, upstream_id: UpstreamId) -> bool:
        """Returns whether an upstream must get no new work."""
        upstream = self.upstreams.get(upstream_id)
        return upstream is None or upstream.is_draining

    def addresses(self) -> dict[UpstreamId, str]:
        """Returns the addresses of all upstreams."""
        return {
            name: upstream.record.address
            for name, upstream in self.upstreams.items()
        }

    def received_s(self, upstream_id: UpstreamId) -> float:
        """Returns when an upstream last sent anything to this host."""
        upstream = self.upstreams.get(upstream_id)
        return upstream.received_s if upstream else float("-inf")

    def has_streams(self, upstream_id: UpstreamId) -> bool:
        """Returns whether local streams of an upstream go on."""
        upstream = self._with_requests(upstream_id)
        return upstream is not None and bool(upstream.streaming)

    def record_named_pause(
        self,
        upstream_id: UpstreamId,
        started_ms: int,
        pause_s: float,
        now_s: float,
    ) -> bool:
        """Records that an upstream wants no requests for some time.

        Args:
            upstream_id: The upstream.
            started_ms: The start of its process.
            pause_s: How long.
            now_s: The current time.

        Returns:
            Whether it was not in a pause.
        """
        upstream = self.upstreams.get(upstream_id)
        if upstream is None or upstream.record.started_ms != started_ms:
            return False
        is_new = upstream.named_pause_until_s <= now_s
        upstream.named_pause_until_s = max(
            upstream.named_pause_until_s, now_s + pause_s
        )
        upstream.is_on_trial = True
        return is_new

    def in_named_pause(self, now_s: float) -> set[UpstreamId]:
        """Returns the upstreams that want no requests now."""
        return {
            name
            for name, upstream in self.upstreams.items()
            if now_s < upstream.named_pause_until_s
        }

    def of_service(self, service: ServiceId) -> Iterator[Upstream]:
        """Yields the upstreams of a service that may get new work."""
        return (
            upstream
            for upstream in self.upstreams.values()
            if upstream.record.service == service and not upstream.is_draining
        )

    def versions(self, service: ServiceId) -> Counter[SoftwareVersion]:
        """Counts the upstreams of a service by version, also leaving ones."""
        return Counter(
            upstream.record.version
            for upstream in self.upstreams.values()
            if upstream.record.service == service
        )

    def versions_by_service(self) -> dict[ServiceId, Counter[SoftwareVersion]]:
        """Counts the upstreams of all services as ``versions`` does."""
        counts = Counter(
            (upstream.record.service, upstream.record.version)
            for upstream in self.upstreams.values()
        )
        found: dict[ServiceId, Counter[SoftwareVersion]] = defaultdict(Counter)
        for (service, version), count in counts.items():
            found[service][version] = count
        return found

    def holders(
        self,
        service: ServiceId,
        artifact: Artifact | None,
        now_s: float,
        version: SoftwareVersion | None = None,
    ) -> list[Upstream]:
        """Returns the upstreams that can run requests for an artifact.

        Args:
            service: Their service.
            artifact: The artifact; None if the service has no models.
            now_s: The current time.
            version: The only version of their software that is suitable; None
                if each is.
        """
        return [
            upstream
            for upstream in self.of_service(service)
            if upstream.holds(artifact, now_s)
            and version in (None, upstream.record.version)
        ]

    def held_models(self, now_s: float) -> set[ModelId]:
        """Returns the models of which there is a replica."""
        return {
            model
            for upstream in self.upstreams.values()
            for model in upstream.models(now_s)
        }

    def record_sent(
        self, upstream: Upstream, request: Request, is_alone: bool = False
    ) -> None:
        """Counts a request at an upstream.

        Args:
            upstream: The upstream.
            request: The request.
            is_alone: Whether the engine has no other prompt to prefill.
        """
        upstream.in_flight[request.artifact] += 1
        upstream.request_ids[request.id] += 1
        if upstream.is_on_trial:
            upstream.trial_request = request.id
        if request.artifact is not None:
            upstream.prefilling[request.id] = Prompt(
                request.sent_s, request.uncached_tokens, is_alone
            )
            self.holdings.record_sent(upstream, request)

    def record_event(
        self,
        upstream_id: UpstreamId,
        request: Request,
        now_s: float,
        reading_since_s: float = UNKNOWN_S,
    ) -> bool:
        """Records an event that was read; returns whether it is the first.

        The host has waited for the event since ``reading_since_s``.
        """
        upstream = self._with_requests(upstream_id)
        # The request may have been sent to an earlier process.
        if upstream is None or request.id not in upstream.request_ids:
            return False
        self._record_silence(now_s)
        upstream.last_event_s = now_s
        upstream.received_s = self.links.received_s = now_s
        if upstream.trial_request == request.id:
            upstream.is_on_trial = False
        last_event_s = upstream.streaming.get(request.id)
        arrived_s = arrival_s(last_event_s, reading_since_s, now_s)
        upstream.streaming[request.id] = arrived_s
        if (
            last_event_s is not None
            and min(arrived_s, last_event_s) > self._silent_since_s
            and request.artifact is not None
        ):
            gap_s = now_s - last_event_s
            self.event_intervals.record(
                upstream_id, request.artifact.model, gap_s, now_s
            )
        prompt = upstream.prefilling.pop(request.id, None)
        if prompt is None:
            return False
        upstream.recent_prefills.append(prompt)
        self.holdings.learn(upstream, request, now_s)
        if prompt.is_alone:
            service, delay_s = upstream.record.service, now_s - prompt.sent_s
            self.speed.record_prefill(service, prompt.tokens, delay_s, now_s)
        return True

    def _record_silence(self, now_s: float) -> None:
        """Records when nothing was received, although several engines ran."""
        received_s = self.links.received_s
        if now_s - received_s < MAX_COMMON_GAP_S:
            return
        running = sum(
            bool(upstream.streaming) for upstream in self.upstreams.values()
        )
        if running > 1:
            self._silent_since_s = received_s

    def last_event_s(
        self, upstream_id: UpstreamId, stream_event_s: float
    ) -> float:
        """Returns when the last event of an engine was received.

        Args:
            upstream_id: The engine.
            stream_event_s: When that of one of its streams was received.
        """
        upstream = self._with_requests(upstream_id)
        return max(stream_event_s, upstream.last_event_s if upstream else 0.0)

    def record_finished(
        self, upstream_id: UpstreamId, request: Request
    ) -> None:
        """Stops counting a request."""
        upstream = self._with_requests(upstream_id)
        # The request may have been sent to an earlier process.
        if upstream is None or request.id not in upstream.request_ids:
            return
        artifact = request.artifact
        upstream.request_ids -= Counter((request.id,))
        upstream.prefilling.pop(request.id, None)
        upstream.streaming.pop(request.id, None)
        if upstream.trial_request == request.id:
            upstream.trial_request = None
        upstream.in_flight[artifact] -= 1
        if upstream.in_flight[artifact] <= 0:
            del upstream.in_flight[artifact]
        if not upstream.in_flight and upstream_id not in self.upstreams:
            del self._removed[upstream_id]

    def record_received(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Records that a response of an upstream has arrived."""
        self.links.received_s = now_s
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None:
            upstream.received_s = now_s
            upstream.responses += 1

    def record_success(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Records a complete response of an upstream."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None:
            upstream.failures = 0
            upstream.is_on_trial &= now_s < upstream.named_pause_until_s

    def record_refusal(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Records that an upstream refused a request because it was full."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None:
            upstream.record_refusal(now_s)

    def record_failure(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Records that a connection to an upstream broke or was not made."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None:
            upstream.record_failure(now_s)

    def forget_failures(self, since_s: float, now_s: float) -> None:
        """Ends pauses after failures that were due to this host's links.

        Args:
            since_s: When the links were last intact before they were lost.
            now_s: The time, at which they are back.
        """
        lost = self.links.lost(now_s)
        for name, upstream in self.upstreams.items():
            if upstream.failed_s >= since_s and name not in lost:
                upstream.forget_failures(now_s)

    def _end_failure_pause(
        self, upstream_id: UpstreamId, connected_s: float
    ) -> None:
        """Ends the pause of an upstream that can be reached again."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None and upstream.failed_s <= connected_s:
            upstream.forget_failures(connected_s)

    # What the leader announces, and loads of all hosts.

    def apply_notice(self, notice: PlacementNotice, now_s: float) -> None:
        """Applies the loads and unloads of a notice."""
        self.ready_at_s = {
            model: now_s + remaining_s
            for model, remaining_s in notice.coming_s.items()
        }
        for name, artifacts in notice.withdrawn.items():
            upstream = self.upstreams.get(name)
            for artifact in artifacts if upstream else ():
                upstream.withdraw(artifact, now_s)
        for name, artifacts in notice.loaded.items():
            upstream = self.upstreams.get(name)
            for artifact in artifacts if upstream else ():
                upstream.announce(artifact, now_s)

    def slow(self, now_s: float) -> set[UpstreamId]:
        """Returns the engines that any host reports as slow."""
        return self.event_intervals.slow(now_s).union(
            *(digest.slow for digest in self.peer_loads.fresh(now_s))
        )

    def loads(self, now_s: float) -> Counter[UpstreamId]:
        """Returns the requests at each upstream, of all hosts."""
        loads = self.peer_loads.loads(now_s)
        for name, upstream in self.upstreams.items():
            loads[name] += upstream.local_load
        return loads

    def local_prefill_tokens(self, now_s: float) -> dict[UpstreamId, int]:
        """Returns the prompt tokens of local requests at each engine."""
        return {
            name: upstream.local_prefill_tokens(now_s)
            for name, upstream in self.upstreams.items()
            if upstream.prefilling or upstream.recent_prefills
        }

    def prefill_tokens(self, now_s: float) -> Counter[UpstreamId]:
        """Returns the prompt tokens at each engine, of all hosts."""
        tokens = self.peer_loads.prefill_tokens(now_s)
        tokens.update(self.local_prefill_tokens(now_s))
        return tokens
