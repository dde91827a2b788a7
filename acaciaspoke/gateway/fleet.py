"""The upstreams and their loads, as one gateway knows them."""

import itertools
from collections import Counter, OrderedDict, deque
from collections.abc import Iterator
from typing import NamedTuple

from acaciaspoke.gateway.engine_speed import EngineSpeed
from acaciaspoke.gateway.event_intervals import EventIntervals
from acaciaspoke.gateway.messages import PlacementNotice
from acaciaspoke.gateway.peerloads import MIN_PREFILL_S, PeerLoads
from acaciaspoke.gateway.types import (
    Artifact,
    Request,
    UpstreamRecord,
    UpstreamState,
)
from acaciaspoke.ids import (
    ModelId,
    RequestId,
    ServiceId,
    UpstreamId,
)

# Pause after an upstream refused a request because it was full.
REFUSAL_PAUSE_S = 0.1

# Pause after a connection to an upstream failed; doubles with each consecutive
# failure.
FAILURE_PAUSE_S = 0.25
MAX_FAILURE_PAUSE_S = 2.0

# An upstream counts as unreachable for a host after this many consecutive
# failures, and for all hosts if this many hosts report it.
UNREACHABLE_FAILURES = 2
UNREACHABLE_REPORTERS = 2

# Upstreams that are remembered as leaving after their records are removed.
MAX_LEAVING_UPSTREAMS = 4096

# How long an announced load or unload overrides the upstream's own record;
# records are renewed every 1.2 s.
ANNOUNCEMENT_VALID_S = 3.0


class Prompt(NamedTuple):
    """A prompt that was sent to an engine.

    Attributes:
        is_alone: Whether the engine had no other prompt to prefill then.
    """

    sent_s: float
    tokens: int
    is_alone: bool = False


def _valid(
    valid_until_s: dict[Artifact, float], now_s: float
) -> dict[Artifact, float]:
    return {
        artifact: end_s
        for artifact, end_s in valid_until_s.items()
        if end_s > now_s
    }


class Upstream:
    """One upstream, as one gateway knows it.

    Local requests are those that this gateway has sent.

    Attributes:
        record: The latest record of the upstream.
        is_draining: Whether it must get no new work.
        in_flight: Local requests at it, by artifact; None for services without
            models.
        request_ids: The ids of these requests, of which callers may use one
            more than once.
        prefilling: Prompts of local requests that await their first event.
        recent_prefills: Prompts of local requests that were prefilled recently.
        streaming: Time of the last event of each local request that had one.
        last_event_s: When the last event of a local request was received.
        paused_until_s: When it may get work again after a refusal or failure.
        named_pause_until_s: The end of the last pause that it has named.
        is_on_trial: Whether no request has begun since that pause. Until then
            it gets one request at a time, so that not all that waited for the
            end of the pause arrive at once.
        failures: Failed or broken connections since the last complete response
            or the upstream's restart.
    """

    def __init__(self, record: UpstreamRecord):
        self.record = record
        self.is_draining = False
        self.in_flight: Counter[Artifact | None] = Counter()
        self.request_ids: Counter[RequestId] = Counter()
        self.prefilling: dict[RequestId, Prompt] = {}
        self.recent_prefills: deque[Prompt] = deque()
        self.streaming: dict[RequestId, float] = {}
        self.last_event_s = 0.0
        self.paused_until_s = 0.0
        self.named_pause_until_s = 0.0
        self.is_on_trial = False
        self.trial_request: RequestId | None = None
        self.failures = 0
        self._announced: dict[Artifact, float] = {}
        self._withdrawn: dict[Artifact, float] = {}

    def is_unresponsive(self, timeout_s: float, now_s: float) -> bool:
        """Returns whether local streams run but none has had a recent event."""
        return bool(self.streaming) and now_s - self.last_event_s >= timeout_s

    def accepts(self, now_s: float) -> bool:
        """Returns whether it may get a request at this moment."""
        if now_s < max(self.paused_until_s, self.named_pause_until_s):
            return False
        return not self.is_on_trial or self.trial_request is None

    def local_prefill_tokens(self, now_s: float) -> int:
        """Returns the prompt tokens of local requests in or just after prefill.

        Recent prefills count too: an engine that got the next prompt as soon as
        it has prefilled one would leave its streams no time for tokens.
        """
        recent = self.recent_prefills
        while recent and now_s - recent[0].sent_s > MIN_PREFILL_S:
            recent.popleft()
        prompts = itertools.chain(self.prefilling.values(), recent)
        return sum(prompt.tokens for prompt in prompts)

    @property
    def local_load(self) -> int:
        """Local requests at the upstream."""
        return self.in_flight.total()

    def holds(self, artifact: Artifact | None, now_s: float) -> bool:
        """Returns whether the upstream can run requests for an artifact."""
        if artifact is None:
            return True
        if self._withdrawn.get(artifact, 0.0) > now_s:
            return False
        if self._withdrawn.get(artifact.base, 0.0) > now_s:
            return False
        if artifact in self.record.artifacts:
            return True
        return self._announced.get(artifact, 0.0) > now_s

    def models(self, now_s: float) -> Iterator[ModelId]:
        """Yields the models that it holds, also those being unloaded."""
        for artifact in self.record.artifacts:
            yield artifact.model
        for artifact, valid_until_s in self._announced.items():
            if valid_until_s > now_s:
                yield artifact.model

    def announce(self, artifact: Artifact, now_s: float) -> None:
        """Records that an artifact was loaded."""
        self._withdrawn.pop(artifact, None)
        self._announced = _valid(self._announced, now_s)
        self._announced[artifact] = now_s + ANNOUNCEMENT_VALID_S

    def withdraw(self, artifact: Artifact, now_s: float) -> None:
        """Records that an artifact is being unloaded or is missing."""
        self._announced.pop(artifact, None)
        self._withdrawn = _valid(self._withdrawn, now_s)
        self._withdrawn[artifact] = now_s + ANNOUNCEMENT_VALID_S

    def update_record(self, record: UpstreamRecord) -> None:
        """Applies a new record; a restart clears announced artifacts."""
        if record.started_ms != self.record.started_ms:
            self._announced.clear()
            self._withdrawn.clear()
            self.failures = 0
            self.paused_until_s = 0.0
            self.named_pause_until_s = 0.0
            self.is_on_trial = False
        self.record = record


class Fleet:
    """Tracks all upstreams, local requests at them, and other hosts' loads."""

    def __init__(self) -> None:
        self.upstreams: dict[UpstreamId, Upstream] = {}
        # Removed upstreams at which requests run; a record may come back.
        self._removed: dict[UpstreamId, Upstream] = {}
        self.event_intervals = EventIntervals()
        # When the models that are being loaded will be ready.
        self.ready_at_s: dict[ModelId, float] = {}
        # Upstreams that have said that they leave, in a response or in their
        # record, with the start of the process that said so. A record that a
        # restored store brings back may not show it.
        self._leaving: OrderedDict[UpstreamId, int] = OrderedDict()
        self.speed = EngineSpeed()
        self.peer_loads = PeerLoads(self.prefill_tokens_per_s)

    def prefill_tokens_per_s(self, upstream_id: UpstreamId) -> float:
        """Returns the prefill rate of an engine."""
        upstream = self.upstreams.get(upstream_id)
        service = upstream.record.service if upstream else None
        return self.speed.prefill_tokens_per_s(service)

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

    def remove(self, upstream: UpstreamId) -> None:
        """Removes an upstream; requests at it stay counted if it returns."""
        removed = self.upstreams.pop(upstream, None)
        if removed is not None and removed.in_flight:
            self._removed[upstream] = removed

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

    def holders(
        self, service: ServiceId, artifact: Artifact | None, now_s: float
    ) -> list[Upstream]:
        """Returns the upstreams that can run requests for an artifact."""
        return [
            upstream
            for upstream in self.of_service(service)
            if upstream.holds(artifact, now_s)
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
                request.sent_s, request.prompt_tokens, is_alone
            )

    def record_event(
        self, upstream_id: UpstreamId, request: Request, now_s: float
    ) -> bool:
        """Records an event of a request; returns whether it is the first."""
        upstream = self._with_requests(upstream_id)
        # The request may have been sent to an earlier process.
        if upstream is None or request.id not in upstream.request_ids:
            return False
        upstream.last_event_s = now_s
        if upstream.trial_request == request.id:
            upstream.is_on_trial = False
        last_event_s = upstream.streaming.get(request.id)
        upstream.streaming[request.id] = now_s
        if last_event_s is not None and request.artifact is not None:
            gap_s = now_s - last_event_s
            self.event_intervals.record(
                upstream_id, request.artifact.model, gap_s, now_s
            )
        prompt = upstream.prefilling.pop(request.id, None)
        if prompt is None:
            return False
        upstream.recent_prefills.append(prompt)
        if prompt.is_alone:
            self.speed.record_prefill(
                upstream.record.service,
                prompt.tokens,
                now_s - prompt.sent_s,
                now_s,
            )
        return True

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
            upstream.paused_until_s = max(
                upstream.paused_until_s, now_s + REFUSAL_PAUSE_S
            )

    def record_failure(self, upstream_id: UpstreamId, now_s: float) -> None:
        """Records that a connection to an upstream broke or was not made."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None:
            pause_s = FAILURE_PAUSE_S * 2**upstream.failures
            upstream.failures += 1
            upstream.paused_until_s = now_s + min(pause_s, MAX_FAILURE_PAUSE_S)

    # The state that hosts report.

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

    def local_unreachable(self, now_s: float) -> tuple[UpstreamId, ...]:
        """Returns the upstreams that this host cannot reach."""
        return tuple(
            name
            for name, upstream in self.upstreams.items()
            if upstream.failures >= UNREACHABLE_FAILURES
            and now_s < upstream.paused_until_s
        )

    def unreachable(self, now_s: float) -> set[UpstreamId]:
        """Returns the upstreams that several hosts report as unreachable."""
        local = self.local_unreachable(now_s)
        reporters = Counter(local)
        for digest in self.peer_loads.fresh(now_s):
            reporters.update(digest.unreachable)
        return {
            name
            for name, count in reporters.items()
            if count >= UNREACHABLE_REPORTERS
        }

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
