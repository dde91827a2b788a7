"""Sends one request to an upstream and relays its response.

An attempt has one of four kinds of result: the response was relayed to its end;
the upstream refused or was not reached, so that nothing ran; the response was
cut off, timed out or was unusable; or it belongs to another request.
"""

import time
from enum import Enum

import anyio
import h11
import httpcore
import msgspec

from acaciaspoke.config.schema import Service
from acaciaspoke.entry.caller import Caller, Headers
from acaciaspoke.entry.pool import CONNECT_TIMEOUT_S, Connection
from acaciaspoke.ids import RequestId
from acaciaspoke.report.histograms import TokenGaps
from acaciaspoke.util.http import MAX_STATUS, is_sendable_value
from acaciaspoke.util.pacing import PartPacer, ResponsePace

# Limit of a response that is buffered before it is relayed.
MAX_BUFFERED_RESPONSE_BYTES = 32 * 1024 * 1024

# Bytes of a stream's end that are kept to find the end marker: the marker, with
# any white space that engines append.
_TAIL_BYTES = 32
_END_OF_STREAM = b"data: [DONE]"
_EVENT = b"data:"

# A timeout is extended only once this share of it has passed since the last
# extension, not at each token.
_REARM_SHARE = 0.1

# Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the entry
# process sets itself.
_HOP_BY_HOP_HEADERS = frozenset(
    [
        b"connection",
        b"content-length",
        b"date",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"server",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-request-id",
    ]
)


class Ending(Enum):
    """How an attempt ended.

    ``UNUSABLE`` is a response that cannot be relayed, from an upstream that
    works; another upstream would most likely return the same.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    MISMATCHED = "mismatched"
    UNUSABLE = "unusable"


class TokenTimings:
    """Arrival times of the tokens of a response.

    Attributes:
        first_token_s: Monotonic time of the first token, or of a response that
            is not streamed.
        gaps: The times between tokens.
    """

    __slots__ = ("first_token_s", "gaps")

    def __init__(self) -> None:
        self.first_token_s: float | None = None
        self.gaps: TokenGaps | None = None

    def record(self, now_s: float) -> None:
        """Records a token, or several that arrived together."""
        if self.gaps is None:
            self.first_token_s = now_s
            self.gaps = TokenGaps(now_s)
        else:
            self.gaps.record_token(now_s)


class Attempt(msgspec.Struct, kw_only=True):
    """The result of one attempt at one upstream, with its response.

    Attributes:
        sent_bytes: Bytes of the request that may have reached the upstream.
        body: The body of the response, if it was not streamed.
    """

    ending: Ending
    sent_bytes: int = 0
    status: int = 0
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b""
    detail: str = ""


class UpstreamCall(msgspec.Struct, frozen=True, kw_only=True):
    """A request as it is sent to an upstream."""

    request_id: RequestId
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    stream: bool


def end_to_end_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Removes hop-by-hop headers and invalid values.

    The HTTP parsers on both sides accept trailing white space and control
    characters in values, and the writers on both sides refuse them. Relayed,
    such a header from a caller would make every upstream look broken.
    """
    return [
        (name, value.strip())
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
        and is_sendable_value(value.strip())
    ]


class StallGuard:
    """Cancels an attempt after a period without data from the upstream.

    One cancel scope covers the whole attempt. A timeout around each read would
    cost a fifth of the CPU time of a relayed token.

    Attributes:
        scope: Is cancelled then.
        pace: The pace of the response.
    """

    def __init__(self, timeout_s: float, pace: ResponsePace):
        self.scope = anyio.CancelScope()
        self.pace = pace
        self._timeout_s = timeout_s
        self._rearm_s = timeout_s * _REARM_SHARE
        self._armed_s = 0.0

    def record_activity(self, now_s: float) -> None:
        """Records that data arrived from the upstream."""
        if now_s - self._armed_s >= self._rearm_s:
            self._armed_s = now_s
            self.scope.deadline = anyio.current_time() + self._timeout_s


async def attempt(
    connection: Connection,
    address: str,
    call: UpstreamCall,
    service: Service,
    caller: Caller,
    timings: TokenTimings,
    pacer: PartPacer | None = None,
) -> Attempt:
    """Makes one attempt; relays a streamed response as it arrives.

    Failures of the upstream are returned as endings and not raised. All
    attempts of a process should have the same pacer.
    """
    pace = (pacer or PartPacer()).new_response()
    guard = StallGuard(service.timeout_s, pace)
    guard.record_activity(time.monotonic())
    try:
        with guard.scope:
            return await _exchange(
                connection, address, call, service, caller, timings, guard
            )
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
        return Attempt(ending=Ending.NOT_SENT, detail=str(error))
    except _CONNECTION_ERRORS as error:
        return _failed_attempt(connection, Ending.BROKEN, str(error))
    return _failed_attempt(
        connection, Ending.TIMED_OUT, f"silent for {service.timeout_s} s"
    )


async def _exchange(
    connection: Connection,
    address: str,
    call: UpstreamCall,
    service: Service,
    caller: Caller,
    timings: TokenTimings,
    guard: StallGuard,
) -> Attempt:
    response = await connection.send(_to_httpcore(address, call))
    try:
        return await _read_response(
            connection, response, call, service, caller, timings, guard
        )
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()


_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    h11.ProtocolError,
    anyio.ClosedResourceError,
)


def _failed_attempt(
    connection: Connection, ending: Ending, detail: str
) -> Attempt:
    if not connection.sent_bytes:
        ending = Ending.NOT_SENT
    return Attempt(
        ending=ending, sent_bytes=connection.sent_bytes, detail=detail
    )


def _to_httpcore(address: str, call: UpstreamCall) -> httpcore.Request:
    return httpcore.Request(
        call.method,
        httpcore.URL(
            scheme=b"http",
            host=address.rpartition(":")[0].strip("[]").encode(),
            port=int(address.rpartition(":")[2]),
            target=call.target,
        ),
        headers=[
            (b"host", address.encode()),
            (b"x-request-id", call.request_id.encode("latin-1")),
            (b"content-length", str(len(call.body)).encode()),
            *call.headers,
        ],
        content=call.body,
        extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
    )


async def _read_response(
    connection: Connection,
    response: httpcore.Response,
    call: UpstreamCall,
    service: Service,
    caller: Caller,
    timings: TokenTimings,
    guard: StallGuard,
) -> Attempt:
    result = Attempt(
        ending=Ending.ANSWERED,
        sent_bytes=connection.sent_bytes,
        status=response.status,
        headers=end_to_end_headers(response.headers),
    )
    if not _matches_request(response.headers, call.request_id, service):
        result.ending = Ending.MISMATCHED
        result.detail = "the answer names another request"
    elif response.status in service.refusal_statuses:
        result.ending = Ending.REFUSED
        await _read_body(response, result, guard)
    elif response.status > MAX_STATUS:
        result.ending = Ending.UNUSABLE
        result.detail = f"the answer has the status {response.status}"
    elif call.stream and _is_event_stream(response.headers):
        await _relay_stream(
            connection, response, result, caller, timings, guard
        )
    elif not _can_detect_truncation(response, call):
        result.ending = Ending.UNUSABLE
        result.detail = "the answer has no length, so it may be cut off"
    else:
        await _read_body(response, result, guard)
        timings.record(time.monotonic())
    return result


def _matches_request(
    headers: Headers, request_id: RequestId, service: Service
) -> bool:
    if not service.echoes_request_id:
        return True
    echoed = [
        value for name, value in headers if name.lower() == b"x-request-id"
    ]
    return echoed == [request_id.encode("latin-1")]


def _is_event_stream(headers: Headers) -> bool:
    return any(
        name.lower() == b"content-type"
        and value.startswith(b"text/event-stream")
        for name, value in headers
    )


def _can_detect_truncation(
    response: httpcore.Response, call: UpstreamCall
) -> bool:
    """Returns whether truncation of the response can be detected."""
    if call.method == b"HEAD" or response.status in (204, 304):
        return True
    names = {name.lower() for name, _ in response.headers}
    return b"content-length" in names or b"transfer-encoding" in names


async def _read_body(
    response: httpcore.Response, result: Attempt, guard: StallGuard
) -> None:
    parts = []
    size_bytes = 0
    async for part in response.stream:
        if guard.pace.add_part():
            await guard.pace.wait()
        guard.record_activity(time.monotonic())
        size_bytes += len(part)
        if size_bytes > MAX_BUFFERED_RESPONSE_BYTES:
            result.ending = Ending.UNUSABLE
            result.detail = (
                f"the answer exceeds {MAX_BUFFERED_RESPONSE_BYTES} bytes"
            )
            return
        parts.append(part)
    result.body = b"".join(parts)


async def _relay_stream(
    connection: Connection,
    response: httpcore.Response,
    result: Attempt,
    caller: Caller,
    timings: TokenTimings,
    guard: StallGuard,
) -> None:
    # Parts that arrived together are relayed in one write.
    parts: list[bytes] = []
    tail = b""

    async def flush() -> None:
        nonlocal tail
        if parts:
            data = parts[0] if len(parts) == 1 else b"".join(parts)
            parts.clear()
            # The end marker may be split across parts.
            tail = (
                data
                if len(data) >= _TAIL_BYTES
                else (tail + data)[-_TAIL_BYTES:]
            )
            await caller.send(data, more=True)

    await caller.start(result.status, result.headers)
    connection.stream.before_read = flush
    try:
        async for part in response.stream:
            parts.append(part)
            if guard.pace.add_part():
                await flush()
                await guard.pace.wait()
            now_s = time.monotonic()
            guard.record_activity(now_s)
            if _EVENT in part:
                timings.record(now_s)
    finally:
        connection.stream.before_read = None
    await flush()
    if tail.rstrip().splitlines()[-1:] == [_END_OF_STREAM]:
        await caller.send(b"", more=False)
    else:
        result.ending = Ending.BROKEN
        result.detail = "the stream ended without its end marker"
