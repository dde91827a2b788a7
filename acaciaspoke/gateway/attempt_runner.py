"""Makes the attempts of requests at upstreams, over pooled connections."""

import functools
import time
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from acaciaspoke.entry.pool import Connection, ConnectionPool
from acaciaspoke.gateway import answers
from acaciaspoke.gateway.abandoned_runs import AbandonedRuns
from acaciaspoke.gateway.attempt import Relay
from acaciaspoke.gateway.attempt_result import Attempt, Ending
from acaciaspoke.gateway.background_calls import BackgroundCalls
from acaciaspoke.gateway.backups import may_move, usable_backup
from acaciaspoke.gateway.dispatch import Assignment, Dispatcher
from acaciaspoke.gateway.lost_attempts import LostAttempts
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.run_calls import end_lost, end_silent
from acaciaspoke.gateway.run_copy import RunCopy
from acaciaspoke.gateway.stall_watch import StallWatch
from acaciaspoke.gateway.stream_store import StreamStore
from acaciaspoke.gateway.takeover import (
    RETRY_INTERVAL_S,
    EngineConnections,
    Run,
    Takeover,
    stop_after_s,
)
from acaciaspoke.gateway.types import Request
from acaciaspoke.gateway.upstream_notices import NoticeRecorder
from acaciaspoke.ids import UpstreamId
from acaciaspoke.platform.engine import RunStop, StopOutcome


class AttemptRunner:
    """Sends requests to the upstreams that the dispatcher has chosen.

    Attributes:
        stall_watch: Finds streams whose engines are unresponsive.
        lost_attempts: Ends attempts once this host's links are lost.
        background: Calls to upstreams that outlast requests.
        abandoned_runs: Stops runs that may go on at engines without contact.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        metrics: GatewayMetrics,
        streams: StreamStore,
        on_event: Callable[[Request, float], None],
        is_allowed: Callable[[Request], bool],
        suspect_links: Callable[[], None] = lambda: None,
    ):
        """Creates a runner without any connection.

        Args:
            dispatcher: Knows the upstreams and the retry budgets.
            metrics: Counts retries and invalid loads.
            streams: Records at which versions streams begin.
            on_event: Called at each event of a stream, with the time since
                when this host waited for it.
            is_allowed: Whether a request may get a further attempt.
            suspect_links: Called if a connection failed or broke.
        """
        self._suspect_links = suspect_links
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._stream_store = streams
        self._on_event = on_event
        self._is_allowed = is_allowed
        self.stall_watch = StallWatch(dispatcher.fleet)
        self.lost_attempts = LostAttempts(self._may_leave)
        self.background = BackgroundCalls()
        self.abandoned_runs = AbandonedRuns(self.background)
        self._notices = NoticeRecorder(dispatcher.fleet, metrics)
        self._pools: dict[str, ConnectionPool] = {}
        self._logged_invalid_loads: set[UpstreamId] = set()

    def _may_leave(self, request: Request) -> bool:
        """Returns whether another host can serve a request that runs here."""
        now_s = time.monotonic()
        return self._dispatcher.host_for(
            request, now_s
        ) is not None and self._dispatcher.reserve_retry(request, now_s)

    async def run(self, assignment: Assignment, relay: Relay) -> Attempt:
        """Makes one attempt; never raises for failures of the upstream."""
        request = assignment.request
        request.starts += 1
        self._metrics.record_prompt(request)
        relay.takeover = Takeover()
        pool = self._pool(assignment.address)
        # An upstream may repeat its response to an earlier attempt, which has
        # the same id, on the connection of that attempt.
        connection = await pool.acquire(new=assignment.address in relay.sent_to)
        clean = False
        try:
            if request.backup_engine is None:
                attempt = await self.lost_attempts.run(
                    request, relay, self._relay(assignment, relay, connection)
                )
            else:
                attempt = await self._relay_backed_up(
                    assignment, relay, connection, pool
                )
            clean = attempt.ending not in (
                Ending.BROKEN,
                Ending.MISMATCHED,
                Ending.UNRECORDED,
            )
            if attempt.has_invalid_load:
                self._record_invalid_load(assignment.upstream)
        finally:
            with anyio.CancelScope(shield=True):
                await pool.release(connection, clean=clean)
        self._record_link(assignment, connection, attempt)
        logger.info(
            "attempt {} at {} ended: {}",
            request.starts,
            assignment.upstream,
            attempt.ending.value,
            request_id=request.id,
            status=attempt.status,
            detail=attempt.detail,
            waited_ms=round((request.sent_s - request.arrived_s) * 1000),
            waited_for=answers.wait_reason_text(request),
            artifact=str(request.artifact or ""),
            prompt_tokens=request.prompt_tokens,
            cached_tokens=round(request.expected_cached_tokens),
            service=request.service,
            version=assignment.version,
            continues=request.continues or "",
            load=attempt.load,
        )
        return attempt

    def _record_link(
        self, assignment: Assignment, connection: Connection, attempt: Attempt
    ) -> None:
        links, now_s = self._dispatcher.fleet.links, time.monotonic()
        if attempt.status:
            self._dispatcher.fleet.record_received(assignment.upstream, now_s)
        if connection.stream is None:
            links.record_failed(assignment.upstream, now_s)
            self._suspect_links()
        elif not connection.is_reused:
            sent_s = assignment.request.sent_s
            links.record_connected(assignment.upstream, sent_s)
        if attempt.ending is Ending.BROKEN:
            self._suspect_links()

    def _pool(self, address: str) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(address)
        return pool

    async def _relay(
        self, assignment: Assignment, relay: Relay, connection: Connection
    ) -> Attempt:
        return await relay.attempt(
            assignment,
            connection,
            lambda: self._on_event(assignment.request, relay.reading_since_s),
            functools.partial(
                self._notices.record,
                assignment.upstream,
                assignment.started_ms,
                sent_s=assignment.request.sent_s,
            ),
            before_start=functools.partial(self._begin_stream, assignment),
        )

    async def _begin_stream(self, assignment: Assignment) -> bool:
        """Lets only upstreams of the same version go on with a stream.

        Returns:
            Whether the stream may begin.
        """
        request = assignment.request
        request.version = assignment.version
        if request.route.resumable and request.continues is None:
            return await self._stream_store.begin(request, assignment.version)
        return True

    async def _relay_backed_up(
        self,
        assignment: Assignment,
        relay: Relay,
        connection: Connection,
        pool: ConnectionPool,
    ) -> Attempt:
        """Relays a stream; ends its run if the engine is silent."""
        takeover = relay.takeover
        attempt = Attempt(ending=Ending.BROKEN, detail="silent")
        failure: Exception | None = None
        with self.stall_watch.watched(assignment, relay):
            async with anyio.create_task_group() as tasks:
                stalling = anyio.CancelScope()
                tasks.start_soon(
                    takeover.run,
                    functools.partial(
                        self._end_silent, assignment, relay, pool
                    ),
                    stalling.cancel,
                )
                try:
                    with stalling:
                        attempt = await self._relay(
                            assignment, relay, connection
                        )
                    if attempt.ending is Ending.BROKEN:
                        await takeover.wait_for_stop()
                        if takeover.stop is not None:
                            # The engine has not ended it by itself.
                            outcome = takeover.stop.outcome
                            attempt.is_closed = False
                            attempt.is_stopped = outcome is StopOutcome.STOPPED
                            attempt.is_unreachable |= (
                                outcome is StopOutcome.UNREACHABLE
                            )
                except Exception as error:
                    # Raised outside the task group, which would wrap it.
                    failure = error
                tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return attempt

    async def _end_silent(
        self, assignment: Assignment, relay: Relay, pool: ConnectionPool
    ) -> RunStop:
        """Ends the run of a silent engine, once another one could go on."""
        request, run = assignment.request, run_of(assignment)
        copy = RunCopy(run, request.deadline_s, self.background)

        async def order_stop(
            order: Callable[[], Awaitable[RunStop]],
        ) -> RunStop:
            own = self._dispatcher.fleet.upstreams.get(assignment.upstream)
            if not may_move(request, own, time.monotonic()):
                # The run could not come back.
                return RunStop(StopOutcome.UNKNOWN)
            stop = await relay.takeover.order_stop(order)
            if stop.outcome is StopOutcome.STOPPED:
                copy.keep()
            return stop

        while not self._may_take_over(request):
            await anyio.sleep(RETRY_INTERVAL_S)
        with copy:
            return await end_silent(
                run,
                functools.partial(self._silent_s, assignment, relay),
                pool.acknowledgement_age_s,
                copy.make,
                order_stop,
                functools.partial(self._reserve_takeover, request),
                stop_after_s(request.route),
                request.deadline_s,
                lambda end: self._metrics.silent_runs.labels(end).inc(),
            )

    def _may_take_over(self, request: Request) -> bool:
        """Returns whether the engine with the KV backup may get a request."""
        fleet = self._dispatcher.fleet
        budget = self._dispatcher.budget(request.service)
        backup = usable_backup(request, fleet, budget, time.monotonic())
        return backup is not None

    def _reserve_takeover(self, request: Request) -> bool:
        """Reserves a retry at the engine with the KV backup.

        Returns:
            Whether that engine may get the request.
        """
        return (
            self._may_take_over(request)
            and self._is_allowed(request)
            and self._dispatcher.reserve_retry(request, time.monotonic())
        )

    def _silent_s(self, assignment: Assignment, relay: Relay) -> float:
        """Returns the time since the last event of any stream of an engine."""
        last_event_s = self._dispatcher.fleet.last_event_s(
            assignment.upstream, relay.reading_since_s
        )
        return time.monotonic() - last_event_s

    async def end_lost_run(
        self, assignment: Assignment, relay: Relay
    ) -> RunStop | None:
        """Ends a run whose connection is lost, before another engine goes on.

        Returns:
            How it ended; None if that is not certain before the deadline.
        """
        if relay.takeover.stop is not None:
            return relay.takeover.stop
        deadline_s = assignment.request.deadline_s
        with anyio.move_on_after(deadline_s - time.monotonic()):
            return await end_lost(
                run_of(assignment),
                functools.partial(self._connections, assignment),
                deadline_s,
            )
        return None

    def _connections(self, assignment: Assignment) -> EngineConnections:
        age_s = self._pool(assignment.address).acknowledgement_age_s()
        # The state of connections is not known on every kernel.
        has_streams = self._dispatcher.fleet.has_streams(assignment.upstream)
        return EngineConnections(has_streams or age_s is not None, age_s)

    def _record_invalid_load(self, upstream: UpstreamId) -> None:
        self._metrics.invalid_loads.inc()
        if upstream not in self._logged_invalid_loads:
            self._logged_invalid_loads.add(upstream)
            logger.warning("{} reports a load that is invalid", upstream)

    async def close_unused(self) -> None:
        """Closes connections that get no requests any more.

        These are connections to addresses that no upstream has, and those to
        upstreams that leave, once their requests have ended.
        """
        used = {
            upstream.record.address
            for upstream in self._dispatcher.fleet.upstreams.values()
            if not upstream.is_draining or upstream.in_flight
        }
        self._logged_invalid_loads &= self._dispatcher.fleet.upstreams.keys()
        for address in [name for name in self._pools if name not in used]:
            await self._pools.pop(address).aclose()


def run_of(assignment: Assignment) -> Run:
    """Returns the run of an attempt at an engine."""
    request = assignment.request
    return Run(
        request.id,
        assignment.upstream,
        assignment.address,
        request.backup_engine or request.stopped_at,
    )
