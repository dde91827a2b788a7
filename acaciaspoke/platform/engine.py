"""Calls a model engine: fetches its state, and sends load and unload orders."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import msgspec

from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.gateway.types import Artifact, EngineReport
from acaciaspoke.ids import FencingToken, HostId, UpstreamId
from acaciaspoke.platform.documents import DocumentError, decode_report
from acaciaspoke.platform.headers import UpstreamNotice, decode_notice
from acaciaspoke.util.http import HttpClient, HttpError


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
