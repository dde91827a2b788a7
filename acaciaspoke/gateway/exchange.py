"""The lifecycle of a request: queued, assigned, attempted, responded to."""

import time
from collections.abc import Callable

import anyio

from acaciaspoke.gateway import answers
from acaciaspoke.gateway.attempt import Relay
from acaciaspoke.gateway.attempt_result import NOTHING_RAN, Attempt, Ending
from acaciaspoke.gateway.attempt_runner import AttemptRunner, run_of
from acaciaspoke.gateway.bodies import BodyMemory
from acaciaspoke.gateway.crash_guard import CrashGuard
from acaciaspoke.gateway.dispatch import (
    Assignment,
    Decline,
    Dispatcher,
    DroppedRequest,
    Forward,
)
from acaciaspoke.gateway.forwarding import Forwarder
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.quotas import QuotaGate
from acaciaspoke.gateway.resumption import (
    plan_resumption,
    record_refusal,
    resume_next,
    wait_to_ask_again,
)
from acaciaspoke.gateway.stream_store import StreamStore
from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import HostId, RequestId

Decision = Assignment | DroppedRequest | Forward | Decline


class _PendingDecision:
    """The dispatcher's decision on a request, once there is one."""

    def __init__(self) -> None:
        self.decided = anyio.Event()
        self.decision: Decision | None = None


def _lacks_version(request: Request, relay: Relay) -> bool:
    """Returns whether a stream goes on and may do so at one version only."""
    is_begun = request.continues is not None or bool(relay.splitter.last_id)
    return request.route.resumable and request.version is None and is_begun


class RequestHandler:
    """Serves requests as a dispatcher decides.

    Attributes:
        crash_guard: Blocks requests that may crash upstreams.
        body_memory: Memory for responses that are buffered.
        attempts: Makes attempts at upstreams.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        metrics: GatewayMetrics,
        body_memory: BodyMemory,
        on_load_needed: Callable[[], None],
        on_sent: Callable[[Assignment], None],
        streams: StreamStore,
        forwarder: Forwarder,
        suspect_links: Callable[[], None] | None = None,
        quotas: QuotaGate | None = None,
    ):
        """Creates a handler without any request.

        Args:
            dispatcher: Chooses upstreams for requests.
            metrics: Counts responses and retries.
            body_memory: Memory for responses that are buffered.
            on_load_needed: Called when a request waits for an engine to load
                its artifact.
            on_sent: Called with each request that is sent to an engine.
            streams: Tells and records at which versions streams begin.
            forwarder: Sends requests to other hosts.
            suspect_links: Called if a connection to an upstream failed; None if
                this host's links are not checked.
            quotas: Admits requests within quotas; None if there are none.
        """
        self._forwarder = forwarder
        self._quotas = quotas
        self._dispatcher = dispatcher
        self._metrics = metrics
        self.body_memory = body_memory
        self._on_load_needed = on_load_needed
        self._on_sent = on_sent
        self._stream_store = streams
        self.crash_guard = CrashGuard(checks_links=suspect_links is not None)
        self._pending: dict[RequestId, _PendingDecision] = {}
        self.attempts = AttemptRunner(
            dispatcher,
            metrics,
            streams,
            self._on_event,
            self._is_allowed,
            suspect_links or (lambda: None),
        )

    def dispatch(self) -> None:
        """Delivers the dispatcher's new decisions to waiting requests."""
        for decision in self._dispatcher.decide(time.monotonic()):
            pending = self._pending.get(decision.request.id)
            if pending is None:
                self._dispatcher.cancel(decision.request)
                continue
            pending.decision = decision
            pending.decided.set()
            if isinstance(decision, Assignment) and decision.request.artifact:
                self._on_sent(decision)

    async def serve(self, request: Request, relay: Relay) -> None:
        """Serves a request until its caller has a response.

        Raises:
            StreamBrokenError: If a response that has begun cannot be finished.
            CallerDisconnectedError: If the caller disconnected.
        """
        now_s = time.monotonic()
        if self.crash_guard.is_blocked(request, now_s):
            await answers.answer_blocked(self._metrics, request, relay)
            return
        is_local = self._dispatcher.host_for(request, now_s) is None
        if request.continues is not None and is_local:
            obstacle = await self._find_version(request)
            if obstacle:
                await answers.answer_not_resumable(
                    self._metrics, request, relay, obstacle
                )
                return
        if not is_local or self._quotas is None:
            await self._serve_admitted(request, relay)
            return
        refusal = await self._quotas.admit(request)
        if refusal is not None:
            await answers.answer_over_quota(
                self._metrics, request, relay, refusal
            )
            return
        try:
            await self._serve_admitted(request, relay)
        finally:
            if not request.starts:
                self._quotas.give_back(request)

    async def _serve_admitted(self, request: Request, relay: Relay) -> None:
        refusal = self._dispatcher.submit(request, time.monotonic())
        if refusal is not None:
            await answers.answer_refused(self._metrics, request, relay, refusal)
            return
        try:
            with anyio.move_on_at(
                anyio.current_time() + request.deadline_s - time.monotonic()
            ) as scope:
                await self._serve_queued(request, relay)
            if scope.cancelled_caught:
                await answers.answer_expired(self._metrics, request, relay)
        finally:
            self._pending.pop(request.id, None)
            self._dispatcher.cancel(request)
            self.dispatch()

    async def _find_version(self, request: Request) -> str:
        """Finds the only version that can go on with a stream.

        Returns:
            Why there is none; empty if there is one.
        """
        stream = request.continues
        if stream is None:
            # Another host began it for this request.
            stream = request.id
        origin = await self._stream_store.find_origin(request, stream)
        if origin.version is None:
            return f"where its stream began is not known: {origin.reason}"
        serving = {
            upstream.record.version
            for upstream in self._dispatcher.fleet.of_service(request.service)
        }
        # A host that has just started knows no upstreams yet.
        if serving and origin.version not in serving:
            return f"no upstream has version {origin.version} of its stream"
        request.version = origin.version
        return ""

    async def _serve_queued(self, request: Request, relay: Relay) -> None:
        while True:
            decision = await self._wait_for_decision(request)
            if isinstance(decision, DroppedRequest):
                if request.resume_at is not None:
                    record_refusal(request, Ending.NOT_SENT)
                if await self._resume_next(request, relay):
                    self._dispatcher.resubmit(request, time.monotonic())
                    continue
                await answers.answer_dropped(
                    self._metrics, request, relay, decision.refusal
                )
                return
            if isinstance(decision, Decline):
                await answers.answer_declined(self._metrics, request, relay)
                return
            if isinstance(decision, Forward):
                if await self._forward(request, relay, decision.host):
                    return
                continue
            if _lacks_version(request, relay):
                # A stream that has come back from other hosts.
                self._dispatcher.record_finished(request)
                obstacle = await self._find_version(request)
                if obstacle:
                    await answers.answer_not_resumable(
                        self._metrics, request, relay, obstacle
                    )
                    return
                self._dispatcher.resubmit(request, time.monotonic(), False)
                continue
            if self.crash_guard.is_blocked(request, time.monotonic()):
                # It was blocked while the request waited.
                await answers.answer_blocked(self._metrics, request, relay)
                return
            attempt = await self.attempts.run(decision, relay)
            self._dispatcher.record_finished(request)
            now_s = time.monotonic()
            self._record_outcome(decision, relay, attempt, now_s)
            if attempt.ending is Ending.ANSWERED:
                answers.record_answer(
                    self._metrics, request, relay, attempt, now_s
                )
                return
            if await self._may_resume(decision, relay, attempt):
                self._metrics.continued.inc()
            elif not self._may_retry(request, attempt, now_s):
                await answers.answer_failed(
                    self._metrics, request, relay, attempt
                )
                return
            was_sent = attempt.ending is not Ending.NOT_SENT
            self._resubmit(request, relay, now_s, was_sent)
            self._metrics.repeats.inc()

    async def _forward(
        self, request: Request, relay: Relay, host: HostId
    ) -> bool:
        """Has another host serve a request; returns whether it is answered."""
        attempt = await self._forwarder.run(request, relay, host)
        now_s = time.monotonic()
        if attempt.ending is Ending.ANSWERED:
            answers.record_answer(self._metrics, request, relay, attempt, now_s)
            return True
        request.tried_hosts.add(host)
        nothing_ran = attempt.ending in NOTHING_RAN
        if attempt.failure is None:
            may_retry = (
                self._is_allowed(request)
                if nothing_ran
                else self._may_run_again(request)
            )
            if may_retry:
                self._resubmit(request, relay, now_s, not nothing_ran)
                return False
        await answers.answer_failed(self._metrics, request, relay, attempt)
        return True

    def _resubmit(
        self, request: Request, relay: Relay, now_s: float, was_sent: bool
    ) -> None:
        """Queues a request for another attempt."""
        if relay.first_event_s is not None:
            request.last_event_s = relay.last_event_s
        self._dispatcher.resubmit(request, now_s, was_sent)

    async def _wait_for_decision(self, request: Request) -> Decision:
        pending = self._pending[request.id] = _PendingDecision()
        self.dispatch()
        if pending.decision is None:
            if self._dispatcher.lacks_replica(request, time.monotonic()):
                self._on_load_needed()
            await pending.decided.wait()
        return pending.decision

    def _on_event(self, request: Request, reading_since_s: float) -> None:
        now_s = time.monotonic()
        if self._dispatcher.record_event(request, now_s, reading_since_s):
            self.crash_guard.record_begun(request, now_s)
            self.dispatch()

    async def _may_resume(
        self, assignment: Assignment, relay: Relay, attempt: Attempt
    ) -> bool:
        """Returns whether a broken stream may go on with its run elsewhere.

        Ends the run at its engine first.
        """
        request = assignment.request
        if attempt.ending in NOTHING_RAN and request.resume_at is not None:
            record_refusal(request, attempt.ending)
            return await self._resume_next(request, relay)
        may_run = {Ending.BROKEN}
        if request.stopped_at is not None:
            # The engine that has stopped the run still has its memory.
            may_run |= {Ending.MISMATCHED, Ending.FAILED}
        if (
            attempt.ending not in may_run
            or relay.splitter.last_id is None
            or not self._is_allowed(request)
        ):
            return False
        if request.stopped_at is None and (
            request.backup_engine is None
            # Others that were lost with it get no retry of its share while it
            # waits for the end of its run.
            or not self._dispatcher.reserve_retry(request, time.monotonic())
        ):
            return False
        stop = await self.attempts.end_lost_run(assignment, relay)
        if stop is None:
            return False
        self.attempts.abandoned_runs.add(
            run_of(assignment), stop, request.deadline_s
        )
        plan_resumption(assignment, stop)
        return await self._resume_next(request, relay)

    async def _resume_next(self, request: Request, relay: Relay) -> bool:
        """Chooses the next engine that can go on; returns whether one can.

        The run has been stopped for this, so that the budget for retries does
        not keep it from the engines that have not been asked.
        """
        if not request.resume_later_at and not await wait_to_ask_again(
            request,
            self._dispatcher.fleet,
            request.deadline_s,
            lambda: self._dispatcher.reserve_retry(request, time.monotonic()),
        ):
            return False
        return self._is_allowed(request) and resume_next(request)

    def _is_allowed(self, request: Request) -> bool:
        now_s = time.monotonic()
        return (
            request.is_permitted
            and now_s < request.deadline_s
            and not self.crash_guard.is_blocked(request, now_s)
        )

    def _allows_attempt(self, request: Request) -> bool:
        budget = self._dispatcher.budget(request.service)
        return self._is_allowed(request) and (
            request.has_retry or budget.allows_retry(time.monotonic())
        )

    def _record_outcome(
        self,
        assignment: Assignment,
        relay: Relay,
        attempt: Attempt,
        now_s: float,
    ) -> None:
        request, upstream = assignment.request, assignment.upstream
        has_begun = relay.first_event_s is not None
        self.crash_guard.record_attempt(assignment, attempt, has_begun, now_s)
        fleet = self._dispatcher.fleet
        match attempt.ending:
            case Ending.ANSWERED:
                self._dispatcher.record_success(request, upstream, now_s)
            case Ending.NOT_EXECUTED:
                fleet.record_refusal(upstream, now_s)
            case Ending.MISDIRECTED:
                known = fleet.upstreams.get(upstream)
                if known is not None and request.artifact is not None:
                    known.withdraw(request.artifact, now_s)
                else:
                    request.tried.add(upstream)
            case Ending.NOT_SENT:
                request.unreached.add(upstream)
                fleet.record_failure(upstream, now_s)
            case Ending.BROKEN:
                request.tried.add(upstream)
                fleet.record_failure(upstream, now_s)
            case Ending.MISMATCHED | Ending.FAILED:
                request.tried.add(upstream)

    def _may_retry(
        self, request: Request, attempt: Attempt, now_s: float
    ) -> bool:
        if attempt.ending in NOTHING_RAN:
            request.starts -= 1
            # What never reached an upstream is no retry to it.
            is_allowed = (
                self._is_allowed(request)
                if attempt.ending is Ending.NOT_SENT
                else self._allows_attempt(request)
            )
        else:
            is_allowed = self._may_run_again(request)
        return request.resume_at is None and is_allowed

    def _may_run_again(self, request: Request) -> bool:
        return (
            request.route.idempotent
            and request.starts < request.route.max_attempts
            and self._allows_attempt(request)
        )
