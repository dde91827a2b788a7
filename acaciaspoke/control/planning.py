"""Plans and moves the artifacts of a failure domain while its lease is held."""

import time
import uuid
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

import anyio
import anyio.abc
from loguru import logger

from acaciaspoke.config.schema import Config, ServiceKind, Upstream
from acaciaspoke.control.demand import DemandRates
from acaciaspoke.control.engine_link import LinkError
from acaciaspoke.control.fleet import Situation
from acaciaspoke.control.lease import Lease, NotHolder
from acaciaspoke.control.mover import Mover
from acaciaspoke.control.orders import OrderSender, Target
from acaciaspoke.control.pacing import Pacer, share_of
from acaciaspoke.control.placement import plan
from acaciaspoke.control.reservation_rows import (
    ReservationRows,
    RowError,
    Written,
)
from acaciaspoke.control.reservations import (
    LineState,
    Reservation,
    RowFormatError,
)
from acaciaspoke.control.upstreams import Upstreams
from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.ids import ArtifactName, DomainId, UpstreamId
from acaciaspoke.net.messages import Demand, UpstreamState
from acaciaspoke.platform.table import (
    Committed,
    Condition,
    OutcomeUnknown,
    Put,
    Row,
    TableClient,
    TableError,
    Transaction,
)
from acaciaspoke.util.metrics import Metrics

PLAN_INTERVAL_S = 0.25

# Reservations with orders whose outcome is open are looked at this often.
RECONCILE_INTERVAL_S = 2.0

# An artifact counts as missing from an engine only if a report that was made
# this long after it became resident does not show it.
MISSING_AFTER_S = 3.0


class LeaseInHand(NamedTuple):
    """The lease as the writes made under it compare it."""

    key: str
    mod_revision: int
    epoch: int


class RowTable:
    """The table client in the form in which reservations use it."""

    def __init__(self, table: TableClient):
        self._table = table

    async def read(self, key: str) -> Row | None:
        """Reads a row, linearizable.

        Raises:
            RowError: If the table gives no answer.
        """
        try:
            return await self._table.read(key)
        except TableError as error:
            raise RowError(f"{key}: {error}") from error

    async def replace(
        self, key: str, value: bytes, mod_revisions: Mapping[str, int]
    ) -> Written:
        """Puts a row if all named rows have their revision; 0 is absent.

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
            return Written.UNKNOWN
        except TableError as error:
            raise RowError(f"{key}: {error}") from error
        is_done = isinstance(result, Committed)
        return Written.COMMITTED if is_done else Written.CONFLICT


class DomainPlanner:
    """Holds what plans depend on, and carries them out.

    Attributes:
        demand: What callers ask for, as entry processes report it.
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
        self._config = Config()
        self._domain = domain
        self._lease = lease
        self._upstreams = upstreams
        self._live_domains = live_domains
        self._metrics = metrics
        self._rows = ReservationRows(
            RowTable(table), self._lease_in_hand, _new_id
        )
        self._sender = OrderSender(self._rows, _new_id)
        self._pacer = Pacer(self._config.weight_store, time.monotonic())
        self._resident_s: dict[tuple[UpstreamId, ArtifactName], float] = {}
        self._reconciled_s: dict[UpstreamId, float] = {}
        self._reconciling: set[UpstreamId] = set()
        self._epoch = 0
        self._stopping = False

    def set_config(self, config: Config) -> None:
        """Takes a new configuration version."""
        self._config = config

    def hear(self, demand: Demand) -> None:
        """Takes what entry processes report."""
        self.demand.add(demand, time.monotonic())

    async def run(self) -> None:
        """Plans again and again until cancelled."""
        async with anyio.create_task_group() as tasks:
            mover = Mover(self._sender, self._pacer, tasks)
            while True:
                now_s = time.monotonic()
                if self._lease.is_held(now_s) and not self._stopping:
                    self._begin_epoch()
                    self._reconcile(tasks, now_s)
                    self._plan(mover, now_s)
                await anyio.sleep(PLAN_INTERVAL_S)

    async def stop(self, timeout_s: float) -> None:
        """Starts no more moves and waits for those that were started."""
        self._stopping = True
        with anyio.move_on_after(timeout_s):
            while self._pacer.in_flight:
                await anyio.sleep(0.02)

    def _lease_in_hand(self) -> LeaseInHand | None:
        try:
            condition = self._lease.condition(time.monotonic())
        except NotHolder:
            return None
        return LeaseInHand(
            condition.key, condition.mod_revision, self._lease.epoch
        )

    def _begin_epoch(self) -> None:
        if self._lease.epoch != self._epoch:
            # Another host may have changed the rows meanwhile.
            self._epoch = self._lease.epoch
            self._rows.latest.clear()
            self._resident_s.clear()
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
            if upstream not in self._reconciling and self._is_open(
                upstream, now_s
            ):
                self._reconciling.add(upstream)
                self._reconciled_s[upstream] = now_s
                target = Target(upstream, config)
                tasks.start_soon(self._reconcile_one, target)

    def _is_open(self, upstream: UpstreamId, now_s: float) -> bool:
        """Tells whether a reservation may differ from the engine's memory."""
        last_s = self._reconciled_s.get(upstream, float("-inf"))
        if now_s - last_s < RECONCILE_INTERVAL_S:
            return False
        if self._upstreams.state(upstream) is not UpstreamState.LIVE:
            return False
        known = self._rows.latest.get(upstream)
        if known is None or not known.is_settled:
            return True
        view = self._upstreams.view(upstream, now_s)
        return (
            view.boot_id != known.boot_id
            or self._config.upstreams[upstream].memory_bytes
            != known.memory_bytes
        )

    async def _reconcile_one(self, target: Target) -> None:
        try:
            await self._sender.reconcile(target)
        except (RowError, RowFormatError, LinkError) as error:
            logger.warning("reservation of {}: {}", target.id, error)
        finally:
            self._reconciling.discard(target.id)

    # Plans.

    def _plan(self, mover: Mover, now_s: float) -> None:
        live_domains = frozenset(self._live_domains())
        self._pacer.limits = share_of(
            self._config.weight_store, self._domain, live_domains
        )
        situation = self._situation(live_domains, now_s)
        try:
            moves = plan(situation)
        except AcaciaspokeError as error:
            logger.error("no plan: {}", error)
            return
        for move in mover.start(moves, self._config.upstreams, now_s):
            self._metrics.count(f"control.move.{move.reason.value}")

    def _situation(
        self, live_domains: frozenset[DomainId], now_s: float
    ) -> Situation:
        ranks = self._config.ranks
        reservations = {
            upstream: self._rows.latest[upstream]
            for upstream, _ in self._engines()
            if upstream in self._rows.latest
        }
        self._note_resident(reservations, now_s)
        return Situation(
            config=self._config,
            domain=self._domain,
            live_domains=live_domains,
            reservations=reservations,
            states={
                upstream: self._upstreams.state(upstream)
                for upstream in reservations
            },
            rates=self.demand.rates(ranks, now_s),
            cold=self.demand.cold(ranks, now_s),
            in_flight=self._pacer.in_flight,
            ages_s={
                key: now_s - since_s
                for key, since_s in self._resident_s.items()
            },
            missing=frozenset(self._missing(reservations, now_s)),
        )

    def _note_resident(
        self, reservations: Mapping[UpstreamId, Reservation], now_s: float
    ) -> None:
        self._resident_s = {
            key: self._resident_s.get(key, now_s)
            for key in _resident(reservations)
        }

    def _missing(
        self, reservations: Mapping[UpstreamId, Reservation], now_s: float
    ) -> Iterator[tuple[UpstreamId, ArtifactName]]:
        for upstream, name in _resident(reservations):
            view = self._upstreams.view(upstream, now_s)
            since_s = self._resident_s[upstream, name]
            if (
                view.boot_id == reservations[upstream].boot_id
                and name not in view.resident
                and now_s - view.report_age_s > since_s + MISSING_AFTER_S
            ):
                yield upstream, name


def _resident(
    reservations: Mapping[UpstreamId, Reservation],
) -> Iterator[tuple[UpstreamId, ArtifactName]]:
    for upstream, reservation in reservations.items():
        for line in reservation.lines:
            if line.state is LineState.RESIDENT:
                yield upstream, line.artifact.name


def _new_id() -> str:
    return uuid.uuid4().hex
