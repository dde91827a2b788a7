"""Calls a model engine: fetches its state, and sends load and unload orders."""

import contextlib
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import msgspec

from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.gateway.types import Artifact, EngineReport
from acaciaspoke.ids import FencingToken, HostId, RequestId, UpstreamId
from acaciaspoke.platform.documents import DocumentError, decode_report
from acaciaspoke.platform.notices import UpstreamNotice, decode_notice
from acaciaspoke.util.http import HttpClient, HttpError, HttpResponse

# Engines are a few milliseconds away; an unreachable one never responds.
CONNECT_TIMEOUT_S = 0.35


class EngineError(AcaciaspokeError):
    """An engine gave no valid response."""


class OrderAction(Enum):
    """Action that an engine is ordered to take."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderResult(Enum):
    """Result of an order.

    ``CONFLICT`` means that another order is in progress, or that the engine has
    accepted other orders in the meantime.
    """

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Order(NamedTuple):
    """An order; the engine rejects it once it has accepted any other one."""

    action: OrderAction
    artifact: Artifact
    expected_seq: int
    holder: HostId
    token: FencingToken


_RESULTS = {
    200: OrderResult.HOLDS_ALREADY,
    202: OrderResult.ACCEPTED,
    409: OrderResult.CONFLICT,
}


class StopOutcome(Enum):
    """Result of a call to the engine of a run.

    ``ANSWERED``: the engine answers calls. ``STOPPED``: it has stopped the run.
    ``NO_RUN``: it has no such run. ``OTHER_PROCESS``: the process of the run
    has ended. ``REFUSED``: it refused the connection. ``UNREACHABLE``: no
    connection was established. ``UNKNOWN``: the run may go on.
    """

    ANSWERED = "answered"
    STOPPED = "stopped"
    NO_RUN = "no run"
    OTHER_PROCESS = "other process"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class RunStop(NamedTuple):
    """The end of a run at an engine.

    Attributes:
        handle: The name of the run's memory, which the engine keeps; empty if
            it has none.
        is_copied: Whether the other engine has the whole memory.
    """

    outcome: StopOutcome
    handle: str = ""
    is_copied: bool = False


class CopyOutcome(Enum):
    """Result of a call to copy a run.

    ``REFUSED``: the engine answered and made no copy. ``UNKNOWN``: there is no
    answer.
    """

    MADE = "made"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RunCopyAnswer(NamedTuple):
    """The answer to a call to copy a run.

    Attributes:
        handle: The name of the copy; empty if there is none.
    """

    outcome: CopyOutcome
    handle: str = ""


class _StopAnswer(msgspec.Struct):
    handle: str | int = ""


async def check_engine(
    http: HttpClient,
    upstream: UpstreamId,
    timeout_s: float,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> StopOutcome:
    """Returns whether an engine answers calls; changes nothing there.

    Args:
        http: Client of the engine, without connections.
        upstream: The engine.
        timeout_s: How long to wait for its answer.
        connect_timeout_s: How long to wait for the connection.
    """
    headers = {"Acaciaspoke-Expect-Instance": upstream}
    try:
        response = await http.request(
            "GET",
            "/report",
            headers=headers,
            timeout_s=timeout_s,
            connect_timeout_s=connect_timeout_s,
        )
    except HttpError as error:
        return _unanswered(error)
    if response.status == 421:
        return StopOutcome.OTHER_PROCESS
    return StopOutcome.ANSWERED


async def stop_run(
    http: HttpClient,
    upstream: UpstreamId,
    request_id: RequestId,
    destination: str,
    timeout_s: float,
) -> RunStop:
    """Orders an engine to stop a run and to copy its memory.

    Args:
        http: Client of the engine, without connections.
        upstream: The engine.
        request_id: The request that runs.
        destination: Address of the engine that gets the memory.
        timeout_s: How long to wait for the answer.
    """
    body = {"id": request_id, "to": destination, "last": True}
    try:
        response = await _move(http, upstream, body, timeout_s)
    except HttpError as error:
        return RunStop(_unanswered(error))
    if response.status == 404:
        return RunStop(StopOutcome.NO_RUN)
    if response.status == 421:
        return RunStop(StopOutcome.OTHER_PROCESS)
    if response.status not in (200, 503):
        return RunStop(StopOutcome.UNKNOWN)
    handle = _decode_handle(response.body)
    if response.status == 503 and not handle:
        # It refused the call.
        return RunStop(StopOutcome.UNKNOWN)
    return RunStop(StopOutcome.STOPPED, handle, response.status == 200)


async def copy_run(
    http: HttpClient,
    upstream: UpstreamId,
    request_id: RequestId,
    destination: str,
    timeout_s: float,
) -> RunCopyAnswer:
    """Has an engine copy the memory of a run, which goes on.

    The other engine keeps a slot and memory for it.

    Args:
        http: Client of the engine, without connections.
        upstream: The engine.
        request_id: The request that runs.
        destination: Address of the engine that gets the copy.
        timeout_s: How long to wait for the answer.
    """
    body = {"id": request_id, "to": destination}
    try:
        response = await _move(http, upstream, body, timeout_s)
    except HttpError:
        return RunCopyAnswer(CopyOutcome.UNKNOWN)
    handle = _decode_handle(response.body)
    if response.status != 200 or not handle:
        return RunCopyAnswer(CopyOutcome.REFUSED)
    return RunCopyAnswer(CopyOutcome.MADE, handle)


async def _move(
    http: HttpClient,
    upstream: UpstreamId,
    body: dict[str, str | bool],
    timeout_s: float,
) -> HttpResponse:
    headers = {
        "Content-Type": "application/json",
        "Acaciaspoke-Expect-Instance": upstream,
    }
    return await http.request(
        "POST",
        "/kv-move",
        msgspec.json.encode(body),
        headers,
        timeout_s=timeout_s,
        connect_timeout_s=CONNECT_TIMEOUT_S,
    )


async def free_run_memory(
    http: HttpClient, upstream: UpstreamId, handle: str, timeout_s: float
) -> None:
    """Frees the copies of a run's memory; they lapse if the call fails.

    Args:
        http: Client of the engine of the run.
        upstream: The engine.
        handle: The name of the memory.
        timeout_s: How long to wait for the answer.
    """
    headers = {"Acaciaspoke-Expect-Instance": upstream}
    with contextlib.suppress(HttpError):
        await http.request(
            "DELETE",
            f"/kv-handle/{handle}",
            headers=headers,
            timeout_s=timeout_s,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )


def _decode_handle(body: bytes) -> str:
    """Returns the handle; empty if there is none that can be sent."""
    try:
        handle = str(msgspec.json.decode(body, type=_StopAnswer).handle)
    except msgspec.MsgspecError:
        return ""
    is_sendable = handle.isascii() and handle.isprintable()
    return handle if is_sendable and " " not in handle else ""


def _unanswered(error: HttpError) -> StopOutcome:
    if error.connection_refused:
        return StopOutcome.REFUSED
    if error.was_unreachable:
        return StopOutcome.UNREACHABLE
    return StopOutcome.UNKNOWN


async def fetch_report(
    http: HttpClient, on_notice: Callable[[int, UpstreamNotice], None]
) -> EngineReport:
    """Fetches an engine's state.

    Args:
        http: Client of the engine.
        on_notice: Called with the status of the response, and with what it says
            about requests to come.

    Raises:
        EngineError: If there is no valid response.
    """
    try:
        response = await http.request("GET", "/report")
        on_notice(response.status, decode_notice(response.headers))
        if response.status != 200:
            raise EngineError(f"report: status {response.status}")
        return decode_report(response.body)
    except (HttpError, DocumentError) as error:
        raise EngineError(f"report: {error}") from error


async def send_order(
    http: HttpClient,
    upstream: UpstreamId,
    order: Order,
    on_notice: Callable[[int, UpstreamNotice], None],
) -> OrderResult:
    """Sends an order once; never raises for failures of the engine.

    Args:
        http: Client of the engine.
        upstream: The engine.
        order: The order.
        on_notice: Called with the status of the response, and with what it says
            about requests to come.
    """
    body = {
        "operation": order.action.value,
        "model": order.artifact.model,
        "precondition": order.expected_seq,
        "holder": order.holder,
        "fencing-token": order.token,
    }
    if order.artifact.adapter is not None:
        body["adapter"] = order.artifact.adapter
    headers = {
        "Content-Type": "application/json",
        "Acaciaspoke-Expect-Instance": upstream,
    }
    try:
        response = await http.request(
            "POST", "/order", msgspec.json.encode(body), headers
        )
    except HttpError as error:
        return OrderResult.UNKNOWN if error.was_sent else OrderResult.REFUSED
    on_notice(response.status, decode_notice(response.headers))
    return _RESULTS.get(response.status, OrderResult.REFUSED)
