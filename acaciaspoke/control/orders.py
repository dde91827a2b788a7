"""Sends orders to engines, each backed by a reservation.

The sequence of an order is: open a connection, read the row, read the report
and its boot id on the connection, write the reservation, send the order on
the same connection, and record the answer. On a conflict or a closed
connection the sequence restarts with a new order id.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import anyio
import msgspec
from loguru import logger

from acaciaspoke.config.schema import Artifact, Upstream
from acaciaspoke.control.engine_link import EngineLink, open_link
from acaciaspoke.control.fencing import EPOCH_SHIFT
from acaciaspoke.control.reservation_rows import (
    HeldLease,
    LeaseLostError,
    ReservationRows,
    RowConflictError,
    RowError,
    StoredReservation,
)
from acaciaspoke.control.reservations import (
    Answer,
    Order,
    Reservation,
    apply_report,
    record_answer,
    reserve_load,
    reserve_unload,
)
from acaciaspoke.ids import FencingToken, OrderId, UpstreamId
from acaciaspoke.net.records import EngineReport

# After this many conflicts or closed connections an order is left to the next
# plan.
MAX_ATTEMPTS = 3


class Verb(Enum):
    """The verb of an order in the path of its HTTP request."""

    LOAD = "load"
    UNLOAD = "unload"


class Outcome(Enum):
    """The outcome of an order.

    An ``UNRESOLVED`` order may take effect later; its memory stays reserved.
    """

    DONE = "done"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNRESOLVED = "unresolved"


class Target(NamedTuple):
    """The upstream of an order."""

    id: UpstreamId
    upstream: Upstream


class _Prepared(NamedTuple):
    base: StoredReservation
    reservation: Reservation
    report: EngineReport
    lease: HeldLease


class OrderSender:
    """Sends the orders of one lease holder, one sender per term of the lease.

    Answers that could not be recorded, such as those of orders that were never
    sent, are kept and recorded with the next write of their row.

    Attributes:
        reservations: The rows as last read or written in this term.
    """

    def __init__(
        self,
        rows: ReservationRows,
        make_id: Callable[[], str],
        *,
        connect_timeout_s: float = 2.0,
        answer_timeout_s: float = 60.0,
    ):
        self._rows = rows
        self._make_id = make_id
        self._connect_timeout_s = connect_timeout_s
        self._answer_timeout_s = answer_timeout_s
        self._locks: defaultdict[UpstreamId, anyio.Lock] = defaultdict(
            anyio.Lock
        )
        self._answers: defaultdict[UpstreamId, dict[OrderId, Answer]] = (
            defaultdict(dict)
        )
        self._in_flight: Counter[UpstreamId] = Counter()
        self.reservations: dict[UpstreamId, Reservation] = {}

    async def send(
        self, target: Target, verb: Verb, artifact: Artifact
    ) -> Outcome:
        """Sends one order and waits for its outcome.

        Raises:
            ReservationError: If the reservation does not allow the order.
            RowError: If the row can't be written; nothing was sent.
            LinkError: If the engine can't be reached; nothing was sent.
        """
        for _ in range(MAX_ATTEMPTS):
            try:
                outcome = await self._attempt(target, verb, artifact)
            except LeaseLostError:
                raise
            except RowConflictError as conflict:
                logger.info("order restarts with a new id: {}", conflict)
                continue
            if outcome is not Outcome.NOT_SENT:
                return outcome
        return Outcome.NOT_SENT

    def needs_reconcile(
        self, upstream: UpstreamId, report: EngineReport | None
    ) -> bool:
        """Returns whether ``reconcile`` could change the row of an upstream.

        Reading each row at each poll would use up the table's read capacity.
        """
        known = self.reservations.get(upstream)
        return (
            known is None
            or not known.is_settled
            or bool(self._answers[upstream])
            or (report is not None and report.boot_id != known.boot_id)
        )

    async def reconcile(self, target: Target) -> Reservation:
        """Reads a report and resolves the orders whose outcome it proves.

        On an engine that checks fencing, orders that no task waits for are
        resolved by raising the fence.

        Raises:
            RowError: If the row can't be read or written.
            LinkError: If the engine can't be reached.
        """
        async with self._open(target) as link, self._locks[target.id]:
            prepared = await self._prepare(target, link)
            settled = prepared.reservation.is_settled
            if target.upstream.checks_fencing and not (
                settled or self._in_flight[target.id]
            ):
                token = FencingToken(prepared.report.fencing_token + 1)
                prepared = await self._fence(target, link, prepared, token)
            if prepared.reservation != prepared.base.reservation:
                await self._write(target, prepared, prepared.reservation)
            self.reservations[target.id] = prepared.reservation
            return prepared.reservation

    async def _attempt(
        self, target: Target, verb: Verb, artifact: Artifact
    ) -> Outcome:
        async with self._open(target) as link:
            async with self._locks[target.id]:
                order = await self._reserve(target, link, verb, artifact)
                self._in_flight[target.id] += 1
            try:
                answer = await link.order(verb.value, artifact, order)
            finally:
                self._in_flight[target.id] -= 1
        if answer is None:
            logger.warning(
                "no answer to {} of {} on {}, order {}",
                verb.value,
                artifact.name,
                target.id,
                order.order_id,
            )
            return Outcome.UNRESOLVED
        self._answers[target.id][order.order_id] = answer
        await self._record_answers(target)
        return {
            Answer.ACKNOWLEDGED: Outcome.DONE,
            Answer.REFUSED: Outcome.REFUSED,
            Answer.NOT_SENT: Outcome.NOT_SENT,
        }[answer]

    def _open(self, target: Target):
        return open_link(
            target.upstream.address,
            connect_timeout_s=self._connect_timeout_s,
            timeout_s=self._answer_timeout_s,
        )

    async def _prepare(self, target: Target, link: EngineLink) -> _Prepared:
        """Reads the row, then the report, and raises an outdated fence.

        The row is read first: only a report requested afterwards can prove
        that the boot in the row has ended.
        """
        lease = self._rows.held_lease()
        base = await self._rows.read(target.id)
        report = await link.report()
        prepared = _Prepared(base, base.reservation, report, lease)
        prepared = self._resolve(target, prepared)
        token = FencingToken(lease.epoch << EPOCH_SHIFT)
        if target.upstream.checks_fencing and report.fencing_token < token:
            prepared = await self._fence(target, link, prepared, token)
        return prepared

    async def _fence(
        self,
        target: Target,
        link: EngineLink,
        prepared: _Prepared,
        token: FencingToken,
    ) -> _Prepared:
        if token >> EPOCH_SHIFT > prepared.lease.epoch:
            raise LeaseLostError(
                f"{target.id} has seen the fencing token of a newer lease"
            )
        await link.raise_fence(token)
        report = await link.report()
        if report.fencing_token < token:
            logger.error("{} does not check fencing tokens", target.id)
        return self._resolve(target, prepared._replace(report=report))

    def _resolve(self, target: Target, prepared: _Prepared) -> _Prepared:
        reservation = prepared.reservation
        for order_id, answer in self._answers[target.id].items():
            reservation = record_answer(reservation, order_id, answer)
        reservation = apply_report(
            reservation,
            prepared.report,
            known_boot=prepared.base.reservation.boot_id,
            checks_fencing=target.upstream.checks_fencing,
        )
        memory = [target.upstream.memory_bytes]
        if prepared.report.memory_bytes:
            memory.append(prepared.report.memory_bytes)
        return prepared._replace(
            reservation=msgspec.structs.replace(
                reservation, memory_bytes=min(memory)
            )
        )

    async def _reserve(
        self, target: Target, link: EngineLink, verb: Verb, artifact: Artifact
    ) -> Order:
        prepared = await self._prepare(target, link)
        epoch_token = prepared.lease.epoch << EPOCH_SHIFT
        token = max(epoch_token, prepared.report.fencing_token)
        if token >> EPOCH_SHIFT > prepared.lease.epoch:
            raise LeaseLostError(
                f"{target.id} has seen the fencing token of a newer lease"
            )
        order = Order(
            order_id=OrderId(self._make_id()),
            boot_id=prepared.report.boot_id,
            token=FencingToken(token),
            after_sequence=prepared.report.sequence,
        )
        change = reserve_load if verb is Verb.LOAD else reserve_unload
        reserved = change(prepared.reservation, artifact, order)
        # Until the order is sent, only this process knows that the line can be
        # freed. The write may take effect although it raises an error.
        self._answers[target.id][order.order_id] = Answer.NOT_SENT
        await self._write(target, prepared, reserved)
        return order

    async def _write(
        self, target: Target, prepared: _Prepared, changed: Reservation
    ) -> None:
        """Writes a row with all answers so far, and drops these answers."""
        answers = self._answers[target.id]
        recorded = tuple(answers)
        self.reservations[target.id] = await self._rows.write(
            prepared.base, changed, prepared.lease
        )
        for order_id in recorded:
            del answers[order_id]

    async def _record_answers(self, target: Target) -> None:
        """Records answers now if possible, or with the row's next write."""
        for _ in range(MAX_ATTEMPTS):
            try:
                async with self._locks[target.id]:
                    lease = self._rows.held_lease()
                    base = await self._rows.read(target.id)
                    changed = base.reservation
                    answers = dict(self._answers[target.id])
                    for order_id, answer in answers.items():
                        changed = record_answer(changed, order_id, answer)
                    self.reservations[target.id] = await self._rows.write(
                        base, changed, lease
                    )
                    for order_id in answers:
                        del self._answers[target.id][order_id]
                return
            except RowConflictError:
                continue
            except RowError as error:
                logger.warning(
                    "answer not recorded, kept for the next write: {}", error
                )
                return
