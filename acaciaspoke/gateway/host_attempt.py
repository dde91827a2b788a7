"""Has another host serve a request, and forwards its response to the caller."""

import time
from collections.abc import Callable

import anyio
import httpcore

from acaciaspoke.entry.pool import Connection
from acaciaspoke.gateway.attempt import (
    UNEXECUTED_STATUSES,
    Relay,
    forwarded_headers,
)
from acaciaspoke.gateway.attempt_result import Attempt, Ending
from acaciaspoke.gateway.bodies import (
    MAX_BODY_BYTES,
    MAX_ERROR_BODY_BYTES,
    discard_body,
    read_body,
)
from acaciaspoke.gateway.forwarded_headers import has_declined
from acaciaspoke.gateway.types import Request, RouteKind
from acaciaspoke.platform.headers import Headers


async def attempt_at_host(
    request: Request,
    relay: Relay,
    address: str,
    connection: Connection,
    headers: Headers,
    *,
    may_have_run: bool,
    clock: Callable[[], float] = time.monotonic,
) -> Attempt:
    """Makes one attempt; never raises for failures of the other host.

    The response is final, unless the host declines the request. A connection
    that is lost leaves unknown whether the request has run.

    Args:
        request: The request.
        relay: Its caller.
        address: The address of the other host.
        connection: A connection to it.
        headers: The headers to send.
        may_have_run: Whether an earlier attempt may have run the request.
        clock: Returns the time.
    """
    relay.begin_at_host()
    message = relay.with_body(address, headers)
    exchange = _exchange(request, relay, message, connection, clock)
    attempt = await relay.end_attempt(address, connection, exchange)
    if may_have_run and attempt.status in UNEXECUTED_STATUSES:
        # The other host's promise does not cover the earlier attempt.
        attempt.failure = None
    return attempt


async def _exchange(
    request: Request,
    relay: Relay,
    message: httpcore.Request,
    connection: Connection,
    clock: Callable[[], float],
) -> Attempt:
    response = await connection.send(message)
    is_complete = False
    try:
        attempt = await _handle_response(request, relay, response, clock)
        attempt.status = response.status
        is_complete = True
        return attempt
    finally:
        with anyio.CancelScope(shield=True):
            if is_complete:
                await response.aclose()
            else:
                await connection.http.aclose()


async def _handle_response(
    request: Request,
    relay: Relay,
    response: httpcore.Response,
    clock: Callable[[], float],
) -> Attempt:
    if has_declined(response.headers):
        await discard_body(response, relay.body_memory)
        return Attempt(ending=Ending.NOT_EXECUTED, detail="declined")
    is_success = 200 <= response.status < 300
    if is_success and request.route.kind is RouteKind.STREAMING:
        return await relay.forward_stream(response, clock)
    max_bytes = MAX_BODY_BYTES if is_success else MAX_ERROR_BODY_BYTES
    body = await read_body(response, relay.body_memory, max_bytes)
    headers = forwarded_headers(response.headers)
    if is_success:
        await relay.caller.answer(response.status, headers, body)
        return Attempt(ending=Ending.ANSWERED)
    failure = (response.status, headers, body)
    return Attempt(ending=Ending.FAILED, failure=failure)
