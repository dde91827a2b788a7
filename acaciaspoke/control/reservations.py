"""Accounts for the memory of an upstream.

A reservation has a line for each artifact that is, or may still become,
resident on the upstream. Memory is reserved before an order is sent, and freed
only on proof that it is unused. This module does no I/O.

An unanswered load order stays *pending* until its id is in a report, the
engine's fence is above its token, or the upstream has a new boot. A line with
pending orders is never freed, because such an order may take effect at any
time, even after a later unload of the same artifact.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

from acaciaspoke.config.schema import Artifact
from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.ids import (
    ArtifactName,
    BootId,
    FencingToken,
    OrderId,
    UpstreamId,
)
from acaciaspoke.net.records import EngineReport
from acaciaspoke.util.chart import StateMachine


class ReservationError(AcaciaspokeError):
    """The reservation does not allow an order."""


class NoMemoryError(ReservationError):
    """The artifact does not fit into the unreserved memory."""


class RowFormatError(AcaciaspokeError):
    """The value is not a reservation row of this version."""


class LineState(Enum):
    """The states of a line, see ``charts/load_order.yaml``."""

    RESERVED = "reserved"
    UNRESOLVED = "unresolved"
    RESIDENT = "resident"
    UNLOADING = "unloading"
    FREED = "freed"


class Answer(Enum):
    """The outcome of an order as its sender knows it."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    NOT_SENT = "not_sent"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine.

    Attributes:
        boot_id: The boot of the engine at the order's connection.
        after_sequence: Sequence of the report read on that connection. The
            order takes effect after it.
    """

    order_id: OrderId
    boot_id: BootId
    token: FencingToken
    after_sequence: int


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """Memory reserved for one version of an artifact.

    Attributes:
        pending: Load orders that may still take effect.
        unload: The last unload order while the state is unloading.
    """

    artifact: Artifact
    state: LineState
    pending: tuple[Order, ...] = ()
    unload: Order | None = None

    @property
    def is_loading(self) -> bool:
        """Whether the outcome of a load is awaited or unknown."""
        return self.state in (LineState.RESERVED, LineState.UNRESOLVED)


class Reservation(msgspec.Struct, frozen=True, kw_only=True):
    """The reservation row of one upstream.

    Attributes:
        boot_id: The boot of the upstream that the lines describe.
        sequence: The newest report that changed a line.
        write_id: Identifies the write that stored the row.
    """

    upstream: UpstreamId
    memory_bytes: int
    boot_id: BootId = BootId("")
    sequence: int = 0
    lines: tuple[Line, ...] = ()
    write_id: str = ""

    @property
    def reserved_bytes(self) -> int:
        """The memory of all lines."""
        return sum(line.artifact.memory_bytes for line in self.lines)

    @property
    def free_bytes(self) -> int:
        """Unreserved memory; 0 if the lines exceed a reduced memory."""
        return max(0, self.memory_bytes - self.reserved_bytes)

    @property
    def is_settled(self) -> bool:
        """Whether the outcomes of all orders are known."""
        return all(
            line.state is LineState.RESIDENT and not line.pending
            for line in self.lines
        )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Reservation)


def encode(reservation: Reservation) -> bytes:
    """Returns the row's value."""
    return _encoder.encode(reservation)


def decode(data: bytes) -> Reservation:
    """Decodes a row's value.

    Raises:
        RowFormatError: If it is not a reservation.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise RowFormatError(str(error)) from error


def find(
    reservation: Reservation, name: ArtifactName, version: str
) -> Line | None:
    """Returns the line of one version of an artifact."""
    return next(
        (
            line
            for line in reservation.lines
            if (line.artifact.name, line.artifact.version) == (name, version)
        ),
        None,
    )


def reserve_load(
    reservation: Reservation, artifact: Artifact, order: Order
) -> Reservation:
    """Adds a line, or adds an order to a line that is loading.

    An engine uses the memory of a version once, however many of its orders take
    effect, so a repeated order reserves no more bytes.

    Raises:
        ReservationError: If the artifact is resident, does not fit, or lacks
            its base model; or if the order belongs to another boot.
    """
    _check_boot(reservation, order)
    line = find(reservation, artifact.name, artifact.version)
    if line is not None:
        if not line.is_loading:
            raise ReservationError(f"{artifact.name} is {line.state.value}")
        repeated = msgspec.structs.replace(
            line,
            state=_advance(line.state, "sent"),
            pending=(*line.pending, order),
        )
        return _replace_line(reservation, line, repeated)
    if artifact.base_model and not any(
        other.artifact.name == artifact.base_model
        and other.state is LineState.RESIDENT
        for other in reservation.lines
    ):
        raise ReservationError(f"{artifact.name} needs {artifact.base_model}")
    if artifact.memory_bytes > reservation.free_bytes:
        raise NoMemoryError(
            f"{artifact.name} needs {artifact.memory_bytes} bytes,"
            f" {reservation.upstream} has {reservation.free_bytes} left"
        )
    line = Line(artifact=artifact, state=LineState.RESERVED, pending=(order,))
    return msgspec.structs.replace(
        reservation, lines=(*reservation.lines, line)
    )


def reserve_unload(
    reservation: Reservation, artifact: Artifact, order: Order
) -> Reservation:
    """Marks a line as being unloaded; its memory stays reserved.

    An unload may be repeated, as a late one can only free memory.

    Raises:
        ReservationError: If the artifact has no resident line, or adapters
            depend on it; or if the order belongs to another boot.
    """
    _check_boot(reservation, order)
    line = find(reservation, artifact.name, artifact.version)
    if line is None or line.is_loading:
        raise ReservationError(f"{artifact.name} is not resident")
    others = {
        other.artifact.name for other in reservation.lines if other is not line
    }
    if artifact.name not in others and any(
        other.artifact.base_model == artifact.name
        for other in reservation.lines
    ):
        raise ReservationError(f"adapters use {artifact.name}")
    state = line.state
    if state is LineState.UNLOADING:
        state = _advance(state, "proved_resident")
    unloading = msgspec.structs.replace(
        line, state=_advance(state, "unload_sent"), unload=order
    )
    return _replace_line(reservation, line, unloading)


def record_answer(
    reservation: Reservation, order_id: OrderId, answer: Answer
) -> Reservation:
    """Applies the answer to an order; ignores unknown ids."""
    for line in reservation.lines:
        if line.unload is not None and line.unload.order_id == order_id:
            changed = _unload_answered(line, answer)
        elif any(order.order_id == order_id for order in line.pending):
            changed = _load_answered(line, order_id, answer)
        else:
            continue
        return _replace_line(reservation, line, changed)
    return reservation


def _unload_answered(line: Line, answer: Answer) -> Line:
    if answer is Answer.ACKNOWLEDGED:
        return _unloaded(line)
    return _still_resident(line)


def _load_answered(line: Line, order_id: OrderId, answer: Answer) -> Line:
    if answer is Answer.ACKNOWLEDGED and line.state is LineState.UNLOADING:
        # The load may have taken effect after a report that lists no such
        # artifact. While the load is pending, that report frees nothing.
        return line
    pending = tuple(
        order for order in line.pending if order.order_id != order_id
    )
    state = line.state
    if line.is_loading and answer is Answer.ACKNOWLEDGED:
        state = _advance(state, *_sent(state), "acknowledged")
    elif line.state is LineState.RESERVED and answer is Answer.NOT_SENT:
        state = _advance(state, "abandoned")
    elif line.is_loading and not pending:
        state = _advance(state, *_sent(state), "refused")
    return msgspec.structs.replace(line, state=state, pending=pending)


def apply_report(
    reservation: Reservation,
    report: EngineReport,
    *,
    known_boot: BootId,
    checks_fencing: bool,
) -> Reservation:
    """Resolves the orders whose outcome a report proves.

    Args:
        reservation: The row to resolve.
        report: A report of the upstream.
        known_boot: The boot in the row when the report was requested. Keeps a
            late report of a former boot from being taken for a new boot.
        checks_fencing: Whether the engine refuses old fencing tokens.
    """
    if report.boot_id != reservation.boot_id:
        if known_boot != reservation.boot_id:
            return reservation
        return _new_boot(reservation, report)
    present = {(item.name, item.version) for item in report.resident}
    applied = {item.order_id for item in report.resident}
    applied.update(report.recent_order_ids)
    is_newer = report.sequence > reservation.sequence

    def resolved(line: Line) -> Line:
        key = (line.artifact.name, line.artifact.version)
        fence = report.fencing_token if checks_fencing else FencingToken(-1)
        line = _resolve_loads(line, applied, fence, key in present)
        if line.unload is None:
            return line
        if key not in present:
            is_after = report.sequence > line.unload.after_sequence
            return _unloaded(line) if is_newer and is_after else line
        is_decided = (
            line.unload.order_id in applied or line.unload.token < fence
        )
        return _still_resident(line) if is_decided else line

    lines = _without_freed(resolved(line) for line in reservation.lines)
    if lines == reservation.lines:
        return reservation
    return msgspec.structs.replace(
        reservation,
        lines=lines,
        sequence=max(reservation.sequence, report.sequence),
    )


def _resolve_loads(
    line: Line, applied: set[OrderId], fence: FencingToken, is_present: bool
) -> Line:
    pending = tuple(
        order
        for order in line.pending
        if order.order_id not in applied and order.token >= fence
    )
    if len(pending) == len(line.pending):
        return line
    state = line.state
    if line.is_loading:
        is_applied = any(order.order_id in applied for order in line.pending)
        if is_applied or (is_present and not pending):
            state = _advance(state, *_sent(state), "proved_resident")
        elif not pending:
            state = _advance(state, *_sent(state), "proved_absent")
    return msgspec.structs.replace(line, state=state, pending=pending)


def _new_boot(reservation: Reservation, report: EngineReport) -> Reservation:
    # An order is tied to a connection of one boot, so orders to former boots
    # can't take effect. No order to the new boot precedes its row.
    adopted = tuple(
        Line(
            artifact=Artifact(item.name, item.version, item.memory_bytes),
            state=LineState.RESIDENT,
        )
        for item in report.resident
    )
    return msgspec.structs.replace(
        reservation,
        boot_id=report.boot_id,
        sequence=report.sequence,
        lines=adopted,
    )


def _unloaded(line: Line) -> Line:
    event = "load_pending" if line.pending else "acknowledged"
    return msgspec.structs.replace(
        line, state=_advance(line.state, event), unload=None
    )


def _still_resident(line: Line) -> Line:
    return msgspec.structs.replace(
        line, state=_advance(line.state, "proved_resident"), unload=None
    )


def _check_boot(reservation: Reservation, order: Order) -> None:
    if order.boot_id != reservation.boot_id:
        raise ReservationError(
            f"{reservation.upstream} has boot {reservation.boot_id},"
            f" the connection {order.boot_id}"
        )


def _sent(state: LineState) -> tuple[str, ...]:
    # Only the sender knows whether a reserved order was sent. Anyone else must
    # assume that it was.
    return ("sent",) if state is LineState.RESERVED else ()


def _advance(state: LineState, *events: str) -> LineState:
    machine = StateMachine("load_order", LineState)
    machine.state = state
    for event in events:
        machine.send(event)
    return machine.state


def _without_freed(lines: Iterable[Line]) -> tuple[Line, ...]:
    return tuple(line for line in lines if line.state is not LineState.FREED)


def _replace_line(
    reservation: Reservation, old: Line, new: Line
) -> Reservation:
    return msgspec.structs.replace(
        reservation,
        lines=_without_freed(
            new if line is old else line for line in reservation.lines
        ),
    )
