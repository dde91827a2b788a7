"""Serves a parsed request: admission, claim, attempts and response.

This module waits for the decisions of the dispatcher, makes the attempts, and
converts their results into responses and errors.
"""

import time
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

import anyio
from loguru import logger

from acaciaspoke.entry import endings
from acaciaspoke.entry.caller import Caller
from acaciaspoke.entry.claimrows import Answer
from acaciaspoke.entry.claims import Claims
from acaciaspoke.entry.claimtypes import Claim
from acaciaspoke.entry.dispatch import Assignment, Dispatcher, DroppedRequest
from acaciaspoke.entry.errors import CallerError, ErrorType
from acaciaspoke.entry.parse import ParsedRequest
from acaciaspoke.entry.pool import ConnectionPool
from acaciaspoke.entry.relay import Attempt, Ending, TokenTimings, attempt
from acaciaspoke.entry.request import Request
from acaciaspoke.entry.retry import Exchange, may_retry
from acaciaspoke.ids import BootId, RequestId, UpstreamId
from acaciaspoke.report.histograms import ServiceWindows
from acaciaspoke.util.metrics import Metrics
from acaciaspoke.util.pacing import PartPacer

# Limits how long a response is withheld from its caller until it is stored.
RECORD_TIMEOUT_S = 0.25

# Checks whether an upstream crashed after a connection to it broke, and shares
# the suspicions before it returns.
CheckCrash = Callable[[UpstreamId, BootId, str], Awaitable[None]]


class Hooks(NamedTuple):
    """Callbacks into the surrounding process.

    Attributes:
        check_crash: Called after a connection with a request on it broke.
        report_connection_lost: Called after a connection attempt failed.
        publish: Sends suspicions to the control process.
    """

    check_crash: CheckCrash
    report_connection_lost: Callable[[UpstreamId, BootId], None]
    publish: Callable[[tuple], None]


class RequestHandler:
    """Serves the requests of one entry process."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        claims: Claims,
        windows: ServiceWindows,
        hooks: Hooks,
        metrics: Metrics,
    ):
        self._dispatcher = dispatcher
        self._claims = claims
        self._windows = windows
        self._hooks = hooks
        self._metrics = metrics
        self._pacer = PartPacer()
        self._pools: dict[tuple[str, bool], ConnectionPool] = {}
        self._decision_senders: dict[RequestId, anyio.abc.ObjectSendStream] = {}

    async def aclose(self) -> None:
        """Closes the connections to all upstreams."""
        for pool in self._pools.values():
            await pool.aclose()

    async def close_unused(self, used: Iterable[str]) -> None:
        """Closes the connections to all addresses but the used ones."""
        used = frozenset(used)
        for key in [key for key in self._pools if key[0] not in used]:
            await self._pools.pop(key).aclose()

    def dispatch(self) -> None:
        """Delivers the dispatcher's decisions to the waiting requests."""
        for decision in self._dispatcher.decide(time.monotonic()):
            sender = self._decision_senders.pop(
                decision.request.request_id, None
            )
            if sender is not None:
                sender.send_nowait(decision)
                sender.close()

    async def serve(self, parsed: ParsedRequest, caller: Caller) -> None:
        """Serves a request until it is answered or fails.

        Raises:
            CallerError: If there is no response; it contains the outcome of
                the request.
        """
        request = parsed.request
        timings = TokenTimings()
        succeeded = False
        try:
            await self._serve(parsed, caller, timings)
            succeeded = True
        except CallerError as error:
            if error.type in _CALLER_ERRORS:
                raise
            self._record_service_level(request, timings, succeeded=False)
            raise
        finally:
            self._dispatcher.cancel(request.request_id, time.monotonic())
            sender = self._decision_senders.pop(request.request_id, None)
            if sender is not None:
                sender.close()
            self.dispatch()
        self._record_service_level(request, timings, succeeded=succeeded)

    async def _serve(
        self, parsed: ParsedRequest, caller: Caller, timings: TokenTimings
    ) -> None:
        request = parsed.request
        claim: Claim | None = None
        tried: set[BootId] = set()
        exchanges: list[Exchange] = []
        self._dispatcher.submit(request, time.monotonic())
        while True:
            assignment = await self._assignment(request, exchanges)
            if not request.idempotent:
                claim = await self._claim(parsed, caller, timings)
                if claim is None:
                    return
            try:
                result = await self._attempt(
                    assignment, parsed, caller, timings
                )
            except BaseException:
                if claim is not None:
                    self._claims.mark_unknown(claim)
                raise
            exchange = endings.to_exchange(result, relayed=caller.started)
            exchanges.append(exchange)
            self._record_claim(claim, result, exchange)
            if result.ending is Ending.ANSWERED:
                if claim is not None:
                    # A caller that repeats the request after its response
                    # then finds the response stored.
                    with anyio.move_on_after(RECORD_TIMEOUT_S):
                        await claim.settled.wait()
                await self._finish_response(request, result, caller)
                return
            await self._record_failure(assignment, result)
            if result.ending is not Ending.NOT_SENT:
                # An unreachable upstream gets no work until its next report
                # and may be tried again then.
                tried.add(assignment.boot_id)
            now_s = time.monotonic()
            if not may_retry(
                request,
                exchange,
                attempts=_attempt_count(exchanges),
                budget=self._dispatcher.budget,
                now_s=now_s,
            ) or not self._retry_may_help(result, request, tried):
                raise endings.to_error(result, exchanges)
            self._metrics.count("entry.retry")
            logger.info(
                "retrying after {} at {}: {}",
                result.ending.value,
                assignment.upstream,
                result.detail,
            )
            self._requeue(request, tried, exchanges, now_s)

    def _retry_may_help(
        self, result: Attempt, request: Request, tried: set[BootId]
    ) -> bool:
        if result.ending in _UPSTREAM_STAYS_LIVE:
            return self._dispatcher.has_untried_upstream(request, tried)
        return result.ending is not Ending.UNUSABLE

    def _requeue(
        self,
        request: Request,
        tried: set[BootId],
        exchanges: list[Exchange],
        now_s: float,
    ) -> None:
        try:
            self._dispatcher.retry(
                request,
                tried,
                now_s,
                use_budget=bool(exchanges[-1].bytes_sent),
            )
        except CallerError as error:
            raise endings.with_history(error, exchanges) from error

    async def _assignment(
        self, request: Request, exchanges: list[Exchange]
    ) -> Assignment:
        send, receive = anyio.create_memory_object_stream[
            Assignment | DroppedRequest
        ](1)
        self._decision_senders[request.request_id] = send
        self.dispatch()
        with receive:
            decision = await receive.receive()
        if isinstance(decision, DroppedRequest):
            raise endings.with_history(decision.error, exchanges)
        return decision

    async def _claim(
        self, parsed: ParsedRequest, caller: Caller, timings: TokenTimings
    ) -> Claim | None:
        """Claims the key; returns None after replaying a stored response."""
        request = parsed.request
        outcome = await self._claims.claim(
            request.account,
            request.service,
            parsed.idempotency_key,
            bytes.fromhex(request.body_hash),
        )
        claim = endings.claimed_or_raise(outcome)
        if isinstance(claim, Answer):
            self._metrics.count("entry.replayed")
            timings.record(time.monotonic())
            headers = endings.stored_headers(claim)
            headers.append((b"idempotency-replayed", b"true"))
            await caller.answer(claim.status, headers, claim.body)
            return None
        if not self._claims.begin_dispatch(claim):
            raise CallerError(
                ErrorType.KEY_STORE_UNAVAILABLE,
                "the claim of the idempotency key is too old",
                retry_after_s=1,
            )
        return claim

    async def _attempt(
        self,
        assignment: Assignment,
        parsed: ParsedRequest,
        caller: Caller,
        timings: TokenTimings,
    ) -> Attempt:
        service = parsed.service
        pool = self._pool(assignment.address, service.echoes_request_id)
        remaining_s = parsed.request.deadline_s - time.monotonic()
        call = parsed.upstream_call(assignment.level, int(remaining_s * 1000))
        connection = await pool.acquire()
        clean = False
        try:
            result = await attempt(
                connection,
                assignment.address,
                call,
                service,
                caller,
                timings,
                self._pacer,
            )
            clean = result.ending in (Ending.ANSWERED, Ending.REFUSED)
            return result
        finally:
            with anyio.CancelScope(shield=True):
                await pool.release(connection, clean=clean)

    def _pool(self, address: str, echoes: bool) -> ConnectionPool:
        # Without an echoed request id, a late response on a reused connection
        # cannot be distinguished from the right one.
        key = (address, echoes)
        if key not in self._pools:
            self._pools[key] = ConnectionPool(address, reuse=echoes)
        return self._pools[key]

    def _record_claim(
        self, claim: Claim | None, result: Attempt, exchange: Exchange
    ) -> None:
        if claim is None:
            return
        if result.ending is Ending.ANSWERED:
            self._claims.record_response(
                claim, endings.to_stored_answer(result)
            )
        elif endings.is_not_run(exchange):
            self._claims.release(claim)
        else:
            self._claims.mark_unknown(claim)

    async def _finish_response(
        self, request: Request, result: Attempt, caller: Caller
    ) -> None:
        now_s = time.monotonic()
        cleared = self._dispatcher.record_success(request, now_s)
        if cleared:
            self._hooks.publish(cleared)
        if not caller.started:
            await caller.answer(result.status, result.headers, result.body)

    async def _record_failure(
        self, assignment: Assignment, result: Attempt
    ) -> None:
        now_s = time.monotonic()
        if result.ending is Ending.REFUSED:
            self._dispatcher.record_refusal(assignment.request, now_s)
            return
        if result.ending in (Ending.BROKEN, Ending.NOT_SENT):
            self._dispatcher.record_connection_lost(assignment.upstream, now_s)
        if result.ending is Ending.NOT_SENT:
            self._hooks.report_connection_lost(
                assignment.upstream, assignment.boot_id
            )
        if result.ending is Ending.BROKEN:
            # The request stays in flight during the check, so that it becomes
            # a suspect if the upstream crashed.
            await self._hooks.check_crash(
                assignment.upstream, assignment.boot_id, assignment.address
            )
        self._dispatcher.record_failure(assignment.request)

    def _record_service_level(
        self, request: Request, timings: TokenTimings, *, succeeded: bool
    ) -> None:
        rank = self._dispatcher.config.ranks.get(request.rank)
        if rank is None:
            return
        first_token_s = None
        if timings.first_token_s is not None:
            first_token_s = timings.first_token_s - request.arrived_s
        self._windows.record(
            request.rank,
            rank,
            request.service,
            time.monotonic(),
            succeeded=succeeded,
            first_token_s=first_token_s,
            gaps=timings.gaps if request.stream else None,
        )


def _attempt_count(exchanges: list[Exchange]) -> int:
    # Counted separately, so that unreachable upstreams do not use up the
    # attempts of a request that was on an upstream that crashed.
    reached = sum(bool(exchange.bytes_sent) for exchange in exchanges)
    return max(reached, len(exchanges) - reached)


# After these the upstream stays live with the same boot, which the request has
# tried already, so a retry needs another upstream.
_UPSTREAM_STAYS_LIVE = frozenset(
    [Ending.REFUSED, Ending.MISMATCHED, Ending.TIMED_OUT]
)
_CALLER_ERRORS = frozenset(
    [ErrorType.NOT_FOUND, ErrorType.KEY_REUSED, ErrorType.KEY_IN_USE]
)
