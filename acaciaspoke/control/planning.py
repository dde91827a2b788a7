"""Plans a failure domain's artifacts, and executes plans under its lease."""

import functools
import time
import uuid
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

import anyio
import anyio.abc
from loguru import logger

from acaciaspoke.clients.table import (
    Committed,
    Condition,
    OutcomeUnknown,
    Put,
    Row,
    TableClient,
    TableError,
    Transaction,
)
from acaciaspoke.config.schema import Config, ServiceKind, Upstream
from acaciaspoke.control.demand import LONG_HALF_LIFE_S, DemandRates
from acaciaspoke.control.engine_link import LinkError
from acaciaspoke.control.fleet import DomainSnapshot
from acaciaspoke.control.lease import Lease
from acaciaspoke.control.lease_errors import LeaseNotHeldError
from acaciaspoke.control.order_runner import OrderRunner
from acaciaspoke.control.orders import OrderSender, Target
from acaciaspoke.control.pacing import Pacer, domain_share
from acaciaspoke.control.placement import plan
from acaciaspoke.control.reservation_rows import (
    ReservationRows,
    RowError,
    WriteOutcome,
)
from acaciaspoke.control.reservations import RowFormatError
from acaciaspoke.control.residency import Residency
from acaciaspoke.control.upstreams import Upstreams
from acaciaspoke.ids import DomainId, UpstreamId
from acaciaspoke.net.messages import Demand
from acaciaspoke.net.records import EngineReport, Resident, UpstreamState
from acaciaspoke.util.metrics import Metrics
from acaciaspoke.util.tasks import run_logging_errors, run_periodically

PLAN_CHECK_INTERVAL_S = 0.25

# Interval of plans while there are no orders, cold artifacts or changed inputs.
# Such a plan differs from the last one only by slow shifts of demand. At the
# short interval plans took half of the processor time of an idle lease holder.
IDLE_PLAN_INTERVAL_S = 2.0

# Interval of checks of a reservation that has unresolved orders.
RECONCILE_INTERVAL_S = 2.0


class CurrentLease(NamedTuple):
    """The lease row that writes under the lease are conditional on."""

    key: str
    mod_revision: int
    epoch: int


class ReservationTable:
    """Adapts the table client to the reservation rows."""

    def __init__(self, table: TableClient):
        self._table = table

    async def read(self, key: str) -> Row | None:
        """Returns a row by a linearizable read.

        Raises:
            RowError: If the table does not respond.
        """
        try:
            return await self._table.read(key)
        except TableError as error:
            raise RowError(f"{key}: {error}") from error

    async def replace(
        self, key: str, value: bytes, mod_revisions: Mapping[str, int]
    ) -> WriteOutcome:
        """Writes a row if all given revisions match; 0 means absent.

        Raises:
            RowError: If nothing was written.
        """
        transaction = Transaction(
            tuple(Condition(*item) for item in mod_revisions.items()),
            (Put(key, value),),
        )
        try:
            result = await self._table.commit(transaction)
        except OutcomeUnknown:
            return WriteOutcome.UNKNOWN
        except TableError as error:
            raise RowError(f"{key}: {error}") from error
        is_done = isinstance(result, Committed)
        return WriteOutcome.COMMITTED if is_done else WriteOutcome.CONFLICT


class DomainPlanner:
    """Collects the inputs of plans, and executes plans.

    Attributes:
        demand: Short-term demand reported by entry processes.
    """

    def __init__(
        self,
        domain: DomainId,
        lease: Lease,
        table: TableClient,
        upstreams: Upstreams,
        live_domains: Callable[[], set[DomainId]],
        metrics: Metrics,
    ):
        self.demand = DemandRates()
        self._long_term_demand = DemandRates(LONG_HALF_LIFE_S)
        self._config = Config()
        self._domain = domain
        self._lease = lease
        self._upstreams = upstreams
        self._live_domains = live_domains
        self._metrics = metrics
        self._rows = ReservationRows(
            ReservationTable(table), self._current_lease, _new_id
        )
        self._sender = OrderSender(self._rows, _new_id)
        self._residency = Residency()
        self._pacer = Pacer(self._config.weight_store, time.monotonic())
        self._reconciled_s: dict[UpstreamId, float] = {}
        self._reconciled_memory_bytes: dict[UpstreamId, int] = {}
        self._reconciling: set[UpstreamId] = set()
        self._epoch = 0
        self._planned_s = float("-inf")
        self._planned_inputs: tuple = ()
        self._plan_interval_s = IDLE_PLAN_INTERVAL_S
        self._stopping = False

    def set_config(self, config: Config) -> None:
        """Applies a new configuration version."""
        self._config = config

    def record_demand(self, demand: Demand) -> None:
        """Records the demand that entry processes report."""
        now_s = time.monotonic()
        self.demand.add(demand, now_s)
        self._long_term_demand.add(demand, now_s)

    def has_engines(self) -> bool:
        """Returns whether the domain has a live engine to load models on."""
        return any(
            self._upstreams.state(upstream) is UpstreamState.LIVE
            for upstream, _ in self._engines()
        )

    async def run(self) -> None:
        """Plans periodically until cancelled."""
        async with anyio.create_task_group() as tasks:
            await run_periodically(
                lambda: self._step(tasks), PLAN_CHECK_INTERVAL_S, self._metrics
            )

    def _step(self, tasks: anyio.abc.TaskGroup) -> None:
        now_s = time.monotonic()
        if not self._lease.is_held(now_s) or self._stopping:
            return
        if self._lease.epoch != self._epoch:
            self._begin_epoch()
        self._reconcile(tasks, now_s)
        if self._plan_is_due(now_s):
            self._planned_s = now_s
            self._plan(tasks, now_s)

    async def stop(self, timeout_s: float) -> None:
        """Starts no more orders, and waits for those in flight."""
        self._stopping = True
        with anyio.move_on_after(timeout_s):
            while self._pacer.in_flight:
                await anyio.sleep(0.02)

    def _current_lease(self) -> CurrentLease | None:
        try:
            condition = self._lease.condition(time.monotonic())
        except LeaseNotHeldError:
            return None
        return CurrentLease(
            condition.key, condition.mod_revision, self._lease.epoch
        )

    def _begin_epoch(self) -> None:
        # Another lease holder may have changed the rows.
        self._epoch = self._lease.epoch
        self._sender = OrderSender(self._rows, _new_id)
        self._residency = Residency()
        self._reconciled_s.clear()

    def _engines(self) -> Iterator[tuple[UpstreamId, Upstream]]:
        for upstream, config in self._config.upstreams.items():
            service = self._config.services.get(config.service)
            if (
                config.failure_domain == self._domain
                and service is not None
                and service.kind is ServiceKind.ENGINE
            ):
                yield upstream, config

    # Reservations.

    def _reconcile(self, tasks: anyio.abc.TaskGroup, now_s: float) -> None:
        for upstream, config in self._engines():
            if upstream not in self._reconciling and self._needs_reconcile(
                upstream, now_s
            ):
                self._reconciling.add(upstream)
                self._reconciled_s[upstream] = now_s
                self._reconciled_memory_bytes[upstream] = config.memory_bytes
                target = Target(upstream, config)
                step = functools.partial(self._reconcile_one, target)
                tasks.start_soon(run_logging_errors, step, self._metrics)

    def _needs_reconcile(self, upstream: UpstreamId, now_s: float) -> bool:
        """Returns whether a reservation may differ from the engine's memory."""
        last_s = self._reconciled_s.get(upstream, float("-inf"))
        if now_s - last_s < RECONCILE_INTERVAL_S:
            return False
        if self._upstreams.state(upstream) is not UpstreamState.LIVE:
            return False
        configured_bytes = self._config.upstreams[upstream].memory_bytes
        if self._reconciled_memory_bytes.get(upstream) != configured_bytes:
            return True
        return self._sender.needs_reconcile(
            upstream, self._report(upstream, now_s)
        )

    def _report(self, upstream: UpstreamId, now_s: float) -> EngineReport:
        """Returns the newest report, possibly polled by another host."""
        view = self._upstreams.view(upstream, now_s)
        return EngineReport(
            boot_id=view.boot_id,
            sequence=view.sequence,
            resident=tuple(
                Resident(name=name, version=version, memory_bytes=0)
                for name, version in view.resident.items()
            ),
        )

    async def _reconcile_one(self, target: Target) -> None:
        try:
            await self._sender.reconcile(target)
        except (RowError, RowFormatError, LinkError) as error:
            logger.warning(
                "reservation of {} not reconciled: {}", target.id, error
            )
        finally:
            self._reconciling.discard(target.id)

    # Plans.

    def _plan_is_due(self, now_s: float) -> bool:
        inputs = (
            self._config.version,
            self._epoch,
            tuple(
                (upstream, self._upstreams.state(upstream))
                for upstream, _ in self._engines()
            ),
            tuple(self._sender.reservations),
        )
        changed, self._planned_inputs = inputs != self._planned_inputs, inputs
        return bool(
            changed
            or self._pacer.in_flight
            or self.demand.cold(self._config.ranks, now_s)
            or now_s - self._planned_s >= self._plan_interval_s
        )

    def _plan(self, tasks: anyio.abc.TaskGroup, now_s: float) -> None:
        live_domains = frozenset(
            self._live_domains() - self._upstreams.domains_without_engines()
        )
        self._pacer.limits = domain_share(
            self._config.weight_store, self._domain, live_domains
        )
        orders = plan(self._snapshot(live_domains, now_s))
        self._plan_interval_s = (
            PLAN_CHECK_INTERVAL_S if orders else IDLE_PLAN_INTERVAL_S
        )
        runner = OrderRunner(self._sender, self._pacer, tasks, self._metrics)
        for order in runner.start(orders, self._config.upstreams, now_s):
            self._metrics.count(f"control.move.{order.reason.value}")

    def _snapshot(
        self, live_domains: frozenset[DomainId], now_s: float
    ) -> DomainSnapshot:
        ranks = self._config.ranks
        rows = self._sender.reservations
        reservations = {
            upstream: rows[upstream]
            for upstream, _ in self._engines()
            if upstream in rows
        }
        reports = {
            upstream: self._report(upstream, now_s) for upstream in reservations
        }
        self._residency.update(reservations, reports, now_s)
        return DomainSnapshot(
            config=self._config,
            domain=self._domain,
            live_domains=live_domains,
            reservations=reservations,
            states={
                upstream: self._upstreams.state(upstream)
                for upstream in reservations
            },
            rates=self.demand.rates(ranks, now_s),
            long_term_rates=self._long_term_demand.rates(ranks, now_s),
            cold=self.demand.cold(ranks, now_s),
            in_flight=self._pacer.in_flight,
            ages_s=self._residency.ages_s(now_s),
            missing=self._residency.missing(),
            foreign_resident=self._upstreams.foreign_resident(),
        )


def _new_id() -> str:
    return uuid.uuid4().hex
