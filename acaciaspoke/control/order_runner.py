"""Executes planned moves."""

import functools
from collections import defaultdict
from collections.abc import Iterable, Mapping

import anyio.abc
from loguru import logger

from acaciaspoke.config.schema import Upstream
from acaciaspoke.control.engine_link import LinkError
from acaciaspoke.control.orders import OrderSender, Target, Verb
from acaciaspoke.control.pacing import Pacer
from acaciaspoke.control.planned_orders import Move, MoveKind
from acaciaspoke.control.reservation_rows import RowError
from acaciaspoke.control.reservations import ReservationError
from acaciaspoke.ids import UpstreamId
from acaciaspoke.util.metrics import Metrics
from acaciaspoke.util.tasks import run_logging_errors


class Mover:
    """Starts moves within the weight store's limits, as separate tasks."""

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
        moves: Iterable[Move],
        upstreams: Mapping[UpstreamId, Upstream],
        now_s: float,
    ) -> list[Move]:
        """Starts the moves that the pacer admits, and returns them.

        The unloads of one upstream run in order, as adapters must be unloaded
        before their base model. Loads run concurrently.
        """
        unloads: defaultdict[UpstreamId, list[Move]] = defaultdict(list)
        admitted = self._pacer.admit(
            (move for move in moves if move.upstream in upstreams), now_s
        )
        for move in admitted:
            if move.kind is MoveKind.UNLOAD:
                unloads[move.upstream].append(move)
            else:
                target = Target(move.upstream, upstreams[move.upstream])
                self._start(target, [move])
        for upstream_id, batch in unloads.items():
            target = Target(upstream_id, upstreams[upstream_id])
            self._start(target, batch)
        return admitted

    def _start(self, target: Target, moves: list[Move]) -> None:
        step = functools.partial(self._run, target, moves)
        self._tasks.start_soon(run_logging_errors, step, self._metrics)

    async def _run(self, target: Target, moves: list[Move]) -> None:
        for move in moves:
            try:
                outcome = await self._sender.send(
                    target, Verb(move.kind.value), move.artifact
                )
                logger.info(
                    "{} of {} {} on {} for {}: {}",
                    move.kind.value,
                    move.artifact.name,
                    move.artifact.version,
                    move.upstream,
                    move.reason.value,
                    outcome.value,
                )
            except (ReservationError, RowError, LinkError) as error:
                logger.warning(
                    "{} of {} on {} not sent: {}",
                    move.kind.value,
                    move.artifact.name,
                    move.upstream,
                    error,
                )
            finally:
                self._pacer.ended(move)
