"""Competes for the order lease; plans and sends orders while holding it."""

import functools
import random
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

import anyio
from loguru import logger

from acaciaspoke.clients.table import Row
from acaciaspoke.control.lease import Lease
from acaciaspoke.control.lease_calls import LeaseTable, execute_action
from acaciaspoke.control.lease_errors import LeaseError, LeaseNotHeldError
from acaciaspoke.control.lease_row import Write
from acaciaspoke.gateway.adapter_placement import plan_adapters
from acaciaspoke.gateway.demand import DemandTracker
from acaciaspoke.gateway.engine_tracker import EngineTracker
from acaciaspoke.gateway.engineview import PlannedOrder
from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.handover import (
    LEASE_S,
    LEASE_TIMING,
    NO_ORDERS_S,
    handover_delay_s,
)
from acaciaspoke.gateway.messages import DemandDigest, PlacementNotice
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.notice_schedule import (
    LARGE_DEPLOYMENT_NOTICE_INTERVAL_S,
    NoticeSchedule,
)
from acaciaspoke.gateway.orders import (
    ORDER_TIMEOUT_S,
    QUERY_RETRY_S,
    LoadRateLimit,
    OrderSender,
)
from acaciaspoke.gateway.placement import plan_models
from acaciaspoke.gateway.placement_notice import build_notice
from acaciaspoke.gateway.replicas import limit_slots
from acaciaspoke.gateway.settings import GatewaySettings
from acaciaspoke.gateway.types import Configuration, EngineSpec
from acaciaspoke.gateway.unplaced import UnplacedLog
from acaciaspoke.gateway.upstream_notices import NoticeRecorder
from acaciaspoke.ids import (
    BootId,
    DomainId,
    FencingToken,
    HostId,
    ModelId,
    ServiceId,
    UpstreamId,
)
from acaciaspoke.platform.engine import OrderAction
from acaciaspoke.util.clock import boot_time_s

# One leader sends the orders to all engines of the deployment.
LEASE_SCOPE = DomainId("engines")

STEP_INTERVAL_S = 0.1

# Orders are planned at each change, but not more often than the first interval,
# and without changes at the second.
MIN_PLAN_INTERVAL_S = 0.01
MAX_PLAN_INTERVAL_S = 0.2

# Pause after planning, as a multiple of the time that planning took; leaves the
# core to requests on a host that plans for many engines.
PLAN_PAUSE_FACTOR = 2.0

# Longest time of an unload without running requests.
UNLOAD_S = 0.1


class Leader:
    """Plans orders and sends them to the engines while it holds the lease."""

    def __init__(
        self,
        settings: GatewaySettings,
        boot: BootId,
        table: LeaseTable,
        fleet: Fleet,
        metrics: GatewayMetrics,
        announce,
        repeats_changes: Callable[[], bool],
        store_era: Callable[[], int] = lambda: 0,
        unserved_times_s: Callable[[float], Mapping[ModelId, float]] = (
            lambda now_s: {}
        ),
    ):
        """Creates a leader that does not hold the lease yet.

        Args:
            settings: The host's settings.
            boot: The boot of this process.
            table: The table with the row of the lease.
            fleet: The upstreams.
            metrics: Counts orders.
            announce: Sends a placement notice to all hosts.
            repeats_changes: Returns whether the hosts are so few that each
                notice can repeat recent changes.
            store_era: Returns the highest known era of the store.
            unserved_times_s: Returns for how long models have waited for a
                replica, measured also while this host does not plan.
        """
        self.lease = Lease(
            LEASE_SCOPE,
            settings.host_id,
            boot,
            LEASE_S,
            random.Random(),
            LEASE_TIMING,
            store_era,
        )
        self.demand = DemandTracker()
        self._settings = settings
        self._table = table
        self._fleet = fleet
        self._metrics = metrics
        self._announce = announce
        self._notices = NoticeSchedule(repeats_changes)
        self._configuration: Configuration | None = None
        self._load_limits: dict[ServiceId, LoadRateLimit] = {}
        self._wake = anyio.Event()
        self._unserved_times_s = unserved_times_s
        self._led_epoch = 0
        self._planned_epoch = 0
        self._former_holder: HostId | None = None
        self._former_renewals = 0
        self._is_former_row_outdated = False
        self._no_orders_until_s = 0.0
        self._unplaced_log = UnplacedLog(metrics)
        self._order_sender = OrderSender(
            settings.host_id,
            self._next_token,
            metrics,
            self._on_change,
            NoticeRecorder(fleet, metrics).record,
        )

    @property
    def holds_lease(self) -> bool:
        """Whether this host holds the lease at this moment."""
        return self.lease.is_held(boot_time_s())

    def set_configuration(self, configuration: Configuration) -> None:
        """Applies a version of the configuration."""
        self._configuration = configuration

    def apply_demand(self, digest: DemandDigest) -> None:
        """Updates the demand of a host."""
        self.demand.apply(digest, time.monotonic())
        if digest.version_demand or any(item.waiting for item in digest.demand):
            self.wake()

    def wake(self) -> None:
        """Starts the next planning round soon."""
        self._wake.set()

    def _on_change(self) -> None:
        self._notices.record_change()
        self.wake()

    @property
    def may_send_orders(self) -> bool:
        """Whether this host may send orders at this moment."""
        now_s = boot_time_s()
        return now_s >= self._no_orders_until_s and self.lease.is_held(
            now_s + NO_ORDERS_S
        )

    def _next_token(self) -> FencingToken:
        if not self.may_send_orders:
            raise LeaseNotHeldError("another host may still send orders")
        return self.lease.next_token(boot_time_s())

    # The lease.

    async def keep_lease(
        self,
        is_candidate: Callable[[], bool],
        should_hand_over: Callable[[], bool] = lambda: False,
    ) -> None:
        """Renews the lease, or acquires it if nobody holds it.

        Args:
            is_candidate: Returns whether this host should read the row.
            should_hand_over: Returns whether another host should get the lease.
        """
        while True:
            if not self.holds_lease:
                self._former_holder = self.lease.holder
                self._former_renewals = self.lease.renewals
                self._is_former_row_outdated = self.lease.is_row_outdated
            if self.holds_lease and should_hand_over():
                logger.warning("hands the lease over, as links are lost")
                await self._release(self.lease.hand_over)
            elif self.holds_lease or is_candidate():
                action = self.lease.step(boot_time_s(), True)
                await execute_action(
                    action, self.lease, self._table, boot_time_s
                )
            self._update_epoch()
            await anyio.sleep(STEP_INTERVAL_S)

    def observe_notice(self, notice: PlacementNotice) -> None:
        """Updates the lease from the row in a notice of its holder.

        The time until the lease is free thus counts from the last renewal that
        was received, without reading the row.
        """
        if not notice.lease_revision:
            return
        row = Row(
            self.lease.key,
            notice.lease_value,
            notice.lease_version,
            notice.lease_version,
        )
        try:
            self.lease.on_row(row, boot_time_s())
        except LeaseError as error:
            logger.warning("notice of {}: {}", notice.host, error)

    async def release_lease(self) -> None:
        """Releases the lease, so that another host need not wait for it."""
        await self._release(self.lease.release)

    async def _release(self, release: Callable[[float], Write | None]) -> None:
        action = release(boot_time_s())
        # No new order is sent from here on; wait for those in flight.
        with anyio.move_on_after(ORDER_TIMEOUT_S):
            while any(
                tracker.is_busy
                for tracker in self._order_sender.trackers.values()
            ):
                await anyio.sleep(STEP_INTERVAL_S)
        await execute_action(action, self.lease, self._table, boot_time_s)

    def _update_epoch(self) -> None:
        self._metrics.holds_lease.set(self.holds_lease)
        if not self.holds_lease or self.lease.epoch == self._led_epoch:
            return
        self._led_epoch = self.lease.epoch
        self._order_sender.clear()
        if self._led_epoch > 1:
            delay_s = handover_delay_s(
                self._settings.lease_silence_ms / 1000,
                self._settings.host_id,
                self._former_holder,
                self._former_renewals,
                self._is_former_row_outdated,
            )
            self._no_orders_until_s = max(
                self._no_orders_until_s, boot_time_s() + delay_s
            )
        if self._led_epoch > 1 and (
            self._is_former_row_outdated
            or self._former_holder != self._settings.host
        ):
            for service, spec in self._engine_services():
                limit = self._load_limit(service)
                limit.exhaust(spec.loads_per_s, time.monotonic())
        logger.info(
            "acquired the lease; sends orders to engines", epoch=self._led_epoch
        )

    # Planning.

    async def run(self) -> None:
        """Plans and sends orders while the lease is held."""
        async with self._order_sender, anyio.create_task_group() as tasks:
            while True:
                with anyio.move_on_after(
                    LARGE_DEPLOYMENT_NOTICE_INTERVAL_S
                    if self._notices.has_changes
                    else MAX_PLAN_INTERVAL_S
                ):
                    await self._wake.wait()
                self._wake = anyio.Event()
                began_s = time.monotonic()
                if self.holds_lease and self._configuration is not None:
                    self._guarded_step(tasks)
                pause_s = PLAN_PAUSE_FACTOR * (time.monotonic() - began_s)
                await anyio.sleep(max(MIN_PLAN_INTERVAL_S, pause_s))

    def _guarded_step(self, tasks: anyio.abc.TaskGroup) -> None:
        try:
            self._step(tasks)
        except Exception:
            # Requests are still served with the current placement.
            self._metrics.faults.inc()
            logger.exception("planning failed; no orders in this round")

    def _step(self, tasks: anyio.abc.TaskGroup) -> None:
        now_s = time.monotonic()
        services = dict(self._engine_services())
        records = [
            upstream.record
            for upstream in self._fleet.upstreams.values()
            if upstream.record.service in services and not upstream.is_draining
        ]
        self._order_sender.update(records, now_s)
        paused = self._fleet.in_named_pause(now_s)
        unreachable = self._fleet.reachability.unreachable(now_s) | paused
        for name, tracker in self._order_sender.trackers.items():
            if name in paused:
                continue
            if not tracker.is_busy and now_s >= tracker.query_due_s:
                tracker.is_busy = True
                tasks.start_soon(self._query, tracker)
        if self.may_send_orders:
            self._begin_planning(now_s)
            for service, spec in services.items():
                for order in self._plan(service, spec, unreachable, now_s):
                    tracker = self._order_sender.trackers[order.upstream]
                    tracker.is_busy = True
                    expected_s = self._record_order(
                        service, tracker, order, now_s
                    )
                    tasks.start_soon(
                        self._send_order, tracker, order, expected_s
                    )
        self._send_notice(now_s)

    def _begin_planning(self, now_s: float) -> None:
        """Takes over what other leaders knew, once in each epoch."""
        if self._planned_epoch == self.lease.epoch:
            return
        self._planned_epoch = self.lease.epoch
        self.demand.forget_unserved_times()
        self.demand.adopt_unserved_times(self._unserved_times_s(now_s), now_s)

    def _plan(
        self,
        service: ServiceId,
        spec: EngineSpec,
        unreachable: set[UpstreamId],
        now_s: float,
    ) -> list[PlannedOrder]:
        demands = {
            artifact: total
            for artifact, total in self.demand.totals(now_s).items()
            if total.service == service and artifact.model in spec.models
        }
        version_demand = [
            item
            for item in self.demand.by_version(now_s)
            if item.service == service and item.artifact.model in spec.models
        ]
        running = self.demand.running(now_s)
        limits = self._fleet.limits.limited()
        engines = [
            limit_slots(
                tracker.view(running.get(name, Counter()), now_s),
                limits.get(name),
            )
            for name, tracker in self._order_sender.trackers.items()
            if tracker.record.service == service and name not in unreachable
        ]
        remaining = self._load_limit(service).remaining(spec.loads_per_s, now_s)
        orders = plan_models(
            engines,
            demands,
            spec,
            remaining,
            now_s,
            observed_s=self.demand.observed_s(now_s),
            on_unplaced=functools.partial(
                self._unplaced_log.record, demands, version_demand, now_s
            ),
            version_demand=version_demand,
            replaces_slow_unloads=self._fleet.slowdowns.is_uneven(service),
        )
        assigned = {order.upstream for order in orders}
        orders.extend(
            order
            for order in plan_adapters(engines, demands, spec, version_demand)
            if order.upstream not in assigned
        )
        return orders

    async def _query(self, tracker: EngineTracker) -> None:
        with self._contained_fault(tracker):
            await self._order_sender.query(tracker)

    async def _send_order(
        self, tracker: EngineTracker, order: PlannedOrder, expected_s: float
    ) -> None:
        with self._contained_fault(tracker):
            try:
                await self._order_sender.send(tracker, order, expected_s)
            except LeaseNotHeldError as error:
                logger.warning(
                    "order to {} not sent: {}", order.upstream, error
                )

    @contextmanager
    def _contained_fault(self, tracker: EngineTracker) -> Iterator[None]:
        """Keeps an error in a call of one engine from ending the process."""
        try:
            yield
        except Exception:
            self._metrics.faults.inc()
            tracker.query_due_s = time.monotonic() + QUERY_RETRY_S
            logger.exception("call of engine {}", tracker.record.upstream)

    def _record_order(
        self,
        service: ServiceId,
        tracker: EngineTracker,
        order: PlannedOrder,
        now_s: float,
    ) -> float:
        """Records a load from the weight store; returns the expected time."""
        if order.action is OrderAction.UNLOAD:
            return UNLOAD_S
        model = self._configuration.services[service].engine.models[
            order.artifact.model
        ]
        if order.artifact.model in tracker.cached_models:
            return model.cached_load_s
        if order.artifact.adapter is None:
            self._load_limit(service).record(now_s)
        return model.load_s

    def _engine_services(self) -> list[tuple[ServiceId, EngineSpec]]:
        return [
            (service.name, service.engine)
            for service in self._configuration.services.values()
            if service.engine is not None
        ]

    def _load_limit(self, service: ServiceId) -> LoadRateLimit:
        limit = self._load_limits.get(service)
        if limit is None:
            limit = LoadRateLimit(self._settings.load_window_s)
            self._load_limits[service] = limit
        return limit

    def _send_notice(self, now_s: float) -> None:
        since_s = self._notices.next_since_s(now_s)
        if since_s is None:
            return
        self._announce(
            build_notice(
                self._order_sender.trackers.values(),
                dict(self._engine_services()),
                since_s,
                now_s,
                self.lease.epoch,
                self.lease.row,
            )
        )
