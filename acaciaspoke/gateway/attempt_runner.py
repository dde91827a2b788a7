"""Makes the attempts of requests at upstreams, over pooled connections."""

import functools
import time
from collections.abc import Callable

import anyio
from loguru import logger

from acaciaspoke.entry.pool import Connection, ConnectionPool
from acaciaspoke.gateway import answers
from acaciaspoke.gateway.attempt import Attempt, Ending, Relay
from acaciaspoke.gateway.dispatch import Assignment, Dispatcher
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.stall_watch import StallWatch
from acaciaspoke.gateway.stream_store import StreamStore
from acaciaspoke.gateway.takeover import OpenedStream
from acaciaspoke.gateway.types import Request
from acaciaspoke.gateway.upstream_notices import NoticeRecorder
from acaciaspoke.ids import UpstreamId


class AttemptRunner:
    """Sends requests to the upstreams that the dispatcher has chosen.

    Attributes:
        stall_watch: Finds streams whose engines are unresponsive.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        metrics: GatewayMetrics,
        streams: StreamStore,
        on_event: Callable[[Request], None],
    ):
        """Creates a runner without any connection.

        Args:
            dispatcher: Knows the upstreams and the retry budgets.
            metrics: Counts retries and invalid loads.
            streams: Records at which versions streams begin.
            on_event: Called at each event of a stream.
        """
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._stream_store = streams
        self._on_event = on_event
        self.stall_watch = StallWatch(dispatcher.fleet)
        self._notices = NoticeRecorder(dispatcher.fleet, metrics)
        self._pools: dict[str, ConnectionPool] = {}
        self._logged_invalid_loads: set[UpstreamId] = set()

    async def run(self, assignment: Assignment, relay: Relay) -> Attempt:
        """Makes one attempt; never raises for failures of the upstream."""
        request = assignment.request
        request.starts += 1
        pool = self._pool(assignment.address)
        if relay.takeover.opened is not None:
            connection = relay.takeover.opened.connection
        else:
            # An upstream may repeat its response to an earlier attempt, which
            # has the same id, on the connection of that attempt.
            connection = await pool.acquire(
                new=assignment.address in relay.sent_to
            )
        clean = False
        try:
            if request.backup_engine is None:
                attempt = await self._relay(assignment, relay, connection)
            else:
                attempt = await self._relay_backed_up(
                    assignment, relay, connection
                )
            clean = attempt.ending not in (Ending.BROKEN, Ending.MISMATCHED)
            if attempt.has_invalid_load:
                self._record_invalid_load(assignment.upstream)
        finally:
            with anyio.CancelScope(shield=True):
                await pool.release(connection, clean=clean)
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
            service=request.service,
            version=assignment.version,
            continues=request.continues or "",
            load=attempt.load,
        )
        return attempt

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
            lambda: self._on_event(assignment.request),
            functools.partial(
                self._notices.record,
                assignment.upstream,
                assignment.started_ms,
            ),
            before_start=functools.partial(self._begin_stream, assignment),
        )

    async def _begin_stream(self, assignment: Assignment) -> None:
        """Lets only upstreams of the same version go on with a stream."""
        request = assignment.request
        request.version = assignment.version
        if request.route.resumable and request.continues is None:
            await self._stream_store.begin(request, assignment.version)

    async def _relay_backed_up(
        self, assignment: Assignment, relay: Relay, connection: Connection
    ) -> Attempt:
        """Relays a stream; asks the engine with its backup when it stalls."""
        request, takeover = assignment.request, relay.takeover
        attempt = Attempt(ending=Ending.BROKEN, detail="silent")
        failure: Exception | None = None
        with self.stall_watch.watched(assignment, relay):
            async with anyio.create_task_group() as tasks:
                stalling = anyio.CancelScope()
                tasks.start_soon(
                    takeover.run,
                    functools.partial(self._open_at_backup, assignment, relay),
                    stalling.cancel,
                )
                try:
                    with stalling:
                        attempt = await self._relay(
                            assignment, relay, connection
                        )
                    if attempt.ending is Ending.BROKEN and takeover.is_asking:
                        await takeover.wait_for_answer()
                        if takeover.opened is None:
                            request.backup_engine = None
                except Exception as error:
                    # Raised outside the task group, which would wrap it.
                    failure = error
                tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return attempt

    async def _open_at_backup(
        self, assignment: Assignment, relay: Relay
    ) -> OpenedStream | None:
        now_s = time.monotonic()
        request = assignment.request
        engine = request.backup_engine
        backup = self._dispatcher.usable_backup(request, now_s)
        if backup is None:
            return None
        self._dispatcher.budget(request.service).record_retry(now_s)
        self._metrics.repeats.inc()
        pool = self._pool(engine.address)
        connection = await pool.acquire(new=engine.address in relay.sent_to)
        opened, reason = None, "cancelled"
        try:
            opened, reason = await relay.open_at_backup(
                request,
                engine,
                connection,
                functools.partial(
                    self._notices.record,
                    engine.upstream,
                    backup.record.started_ms,
                ),
            )
        finally:
            logger.info(
                "{} is silent; {} {} its stream",
                assignment.upstream,
                engine.upstream,
                "goes on with" if opened else "did not accept",
                request_id=request.id,
                reason=reason,
                asked_ms=round((time.monotonic() - now_s) * 1000),
            )
            if opened is None:
                with anyio.CancelScope(shield=True):
                    await pool.release(connection, clean=False)
        if opened is not None:
            self._metrics.continued.inc()
        return opened

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
