"""Executes planned orders."""

import functools
from collections import defaultdict
from collections.abc import Iterable, Mapping

import anyio.abc
from loguru import logger

from acaciaspoke.config.schema import Upstream
from acaciaspoke.control.engine_link import LinkError
from acaciaspoke.control.orders import OrderSender, Target, Verb
from acaciaspoke.control.pacing import Pacer
from acaciaspoke.control.planned_orders import OrderKind, PlannedOrder
from acaciaspoke.control.reservation_rows import RowError
from acaciaspoke.control.reservations import ReservationError
from acaciaspoke.ids import UpstreamId
from acaciaspoke.util.metrics import Metrics
from acaciaspoke.util.tasks import run_logging_errors


class OrderRunner:
    """Starts orders within the weight store's limits, in separate tasks."""

    def __init__(
        self,
        sender: OrderSender,
        pacer: Pacer,
        tasks: anyio.abc.TaskGroup,
        metrics: Metrics,
    ):
        self._sender = sender
        self._pacer = pacer
        self._tasks = tasks
        self._metrics = metrics

    def start(
        self,
        orders: Iterable[PlannedOrder],
        upstreams: Mapping[UpstreamId, Upstream],
        now_s: float,
    ) -> list[PlannedOrder]:
        """Starts the orders that the pacer admits, and returns them.

        The unloads of one upstream run in order, as adapters must be unloaded
        before their base model. Loads run concurrently.
        """
        unloads: defaultdict[UpstreamId, list[PlannedOrder]] = defaultdict(list)
        admitted = self._pacer.admit(
            (order for order in orders if order.upstream in upstreams), now_s
        )
        for order in admitted:
            if order.kind is OrderKind.UNLOAD:
                unloads[order.upstream].append(order)
            else:
                target = Target(order.upstream, upstreams[order.upstream])
                self._start(target, [order])
        for upstream_id, batch in unloads.items():
            target = Target(upstream_id, upstreams[upstream_id])
            self._start(target, batch)
        return admitted

    def _start(self, target: Target, orders: list[PlannedOrder]) -> None:
        step = functools.partial(self._run, target, orders)
        self._tasks.start_soon(run_logging_errors, step, self._metrics)

    async def _run(self, target: Target, orders: list[PlannedOrder]) -> None:
        for order in orders:
            try:
                outcome = await self._sender.send(
                    target, Verb(order.kind.value), order.artifact
                )
                logger.info(
                    "{} of {} {} on {} for {}: {}",
                    order.kind.value,
                    order.artifact.name,
                    order.artifact.version,
                    order.upstream,
                    order.reason.value,
                    outcome.value,
                )
            except (ReservationError, RowError, LinkError) as error:
                logger.warning(
                    "{} of {} on {} not sent: {}",
                    order.kind.value,
                    order.artifact.name,
                    order.upstream,
                    error,
                )
            finally:
                self._pacer.release(order)
