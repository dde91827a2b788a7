"""Sends one request to an upstream and forwards its response to the caller."""

import errno
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import anyio
import h11
import httpcore

from acaciaspoke.entry.caller import Caller
from acaciaspoke.entry.pool import Connection
from acaciaspoke.gateway.attempt_result import Attempt, Ending
from acaciaspoke.gateway.bodies import (
    MAX_BODY_BYTES,
    MAX_ERROR_BODY_BYTES,
    BodyMemory,
    discard_body,
    in_parts,
    read_body,
)
from acaciaspoke.gateway.dispatch import Assignment
from acaciaspoke.gateway.events import (
    EventSplitter,
    EventTooLargeError,
    InvalidEventError,
)
from acaciaspoke.gateway.forwarded_headers import DECLINED
from acaciaspoke.gateway.takeover import Takeover
from acaciaspoke.gateway.types import Request, RouteKind
from acaciaspoke.ids import UpstreamId
from acaciaspoke.platform.engine import CONNECT_TIMEOUT_S
from acaciaspoke.platform.headers import (
    Headers,
    ResponseFields,
    decode_response,
    encode_request,
    end_to_end_headers,
    is_count,
)
from acaciaspoke.platform.notices import (
    SERVER_BRITTLE,
    SERVER_LEAVING,
    SERVER_LIMIT,
    UpstreamNotice,
)
from acaciaspoke.util.http import MAX_STATUS

# Statuses that promise callers that a request has not run. They are not
# forwarded, as only the upstream's own header makes this certain.
UNEXECUTED_STATUSES = frozenset({408, 421, 429, 503})

# Headers of responses that are for this system only.
_INTERNAL_HEADERS = frozenset(
    (b"x-request-id", DECLINED, SERVER_BRITTLE, SERVER_LEAVING, SERVER_LIMIT)
)

# Errors of a connection that the upstream closed, as if its process had ended.
_CLOSED_ERRORS = (
    httpcore.ReadError,
    httpcore.WriteError,
    httpcore.RemoteProtocolError,
)


# The kernel reports these if a host does not answer.
_UNREACHABLE_ERRNOS = frozenset(
    {errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH}
)


class UnrecordedStreamError(Exception):
    """A stream may not begin, as nobody could be told where."""


class Relay:
    """The caller's side of a request over all its attempts.

    Attributes:
        caller: The caller.
        target: Path and query as the caller sent them.
        body: The request's body.
        body_memory: Memory for responses that are buffered.
        splitter: Splits the stream into events.
        first_event_s: When the first event was forwarded.
        last_event_s: When the last event was forwarded.
        reading_since_s: Since when it waits for an event of the engine, and not
            for the caller to take one.
        longest_gap_s: Longest pause between forwarded events.
        upstream: The upstream of the current or last attempt.
        sent_to: Addresses to which bytes of the request were sent.
        takeover: Ends the run of the current attempt if its engine is silent.
        is_forwarding: Whether the caller is about to get something that was
            received; an attempt that ended meanwhile would lose it.
    """

    def __init__(
        self,
        caller: Caller,
        target: bytes,
        body: bytes,
        body_memory: BodyMemory,
    ):
        self.caller = caller
        self.target = target
        self.body = body
        self.upstream: UpstreamId | None = None
        self.sent_to: set[str] = set()
        self.takeover = Takeover()
        self.body_memory = body_memory
        self.splitter = EventSplitter()
        self.first_event_s: float | None = None
        self.longest_gap_s = 0.0
        self.last_event_s = 0.0
        self.reading_since_s = 0.0
        self.is_forwarding = False
        self._on_event: Callable[[], None] = lambda: None
        self._on_notice: Callable[[int, UpstreamNotice], None] = lambda *_: None
        self._before_start: Callable[[], Awaitable[bool]] | None = None

    async def attempt(
        self,
        assignment: Assignment,
        connection: Connection,
        on_event: Callable[[], None],
        on_notice: Callable[[int, UpstreamNotice], None] = lambda *_: None,
        clock: Callable[[], float] = time.monotonic,
        before_start: Callable[[], Awaitable[bool]] | None = None,
    ) -> Attempt:
        """Makes one attempt; never raises for failures of the upstream.

        Args:
            assignment: The request and its upstream.
            connection: A connection to the upstream.
            on_event: Called at each event of a stream.
            on_notice: Called with the status of the response, and with what its
                head says about requests to come.
            clock: Returns the time.
            before_start: Awaited before the first event is forwarded; returns
                whether the stream may begin.
        """
        self.upstream = assignment.upstream
        self._on_event = on_event
        self._on_notice = on_notice
        self._before_start = before_start
        return await self.end_attempt(
            assignment.address,
            connection,
            self._exchange(assignment, connection, clock),
        )

    def begin_at_host(self) -> None:
        """Prepares for an attempt that another host makes."""
        self.upstream = None
        self.takeover = Takeover()
        self._on_event = lambda: None
        self._before_start = None

    async def end_attempt(
        self,
        address: str,
        connection: Connection,
        exchange: Awaitable[Attempt],
    ) -> Attempt:
        """Returns the result of an exchange, also if an error ends it.

        Args:
            address: The address of the upstream or host.
            connection: The connection of the exchange.
            exchange: Sends the request and forwards the response.
        """
        try:
            return await exchange
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return Attempt(ending=Ending.NOT_SENT, detail=str(error))
        except InvalidEventError as error:
            return Attempt(ending=Ending.MISMATCHED, detail=str(error))
        except UnrecordedStreamError:
            # The next attempt begins with the first event again.
            self.splitter = EventSplitter()
            return Attempt(ending=Ending.UNRECORDED)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            h11.ProtocolError,
            EventTooLargeError,
        ) as error:
            # A request of which no byte was sent may be sent again.
            ending = Ending.BROKEN if connection.sent_bytes else Ending.NOT_SENT
            is_unreachable = _is_unreachable(error)
            return Attempt(
                ending=ending,
                detail=f"{type(error).__name__}: {error}",
                is_closed=ending is Ending.BROKEN
                and isinstance(error, _CLOSED_ERRORS)
                and not is_unreachable,
                is_unreachable=is_unreachable,
            )
        finally:
            if connection.sent_bytes:
                self.sent_to.add(address)

    async def _exchange(
        self,
        assignment: Assignment,
        connection: Connection,
        clock: Callable[[], float],
    ) -> Attempt:
        request = assignment.request
        response = await connection.send(self._to_httpcore(assignment, clock()))
        reusable = False
        try:
            fields = decode_response(response.headers)
            _limit_idle_time(connection, response.headers)
            _handle_notice(
                request,
                connection,
                response.status,
                fields,
                self._on_notice,
            )
            attempt = await self._handle_response(
                request, connection, response, fields, clock
            )
            attempt.load = fields.load
            attempt.has_invalid_load = fields.has_invalid_load
            attempt.status = response.status
            reusable = attempt.ending is not Ending.MISMATCHED
            return attempt
        finally:
            with anyio.CancelScope(shield=True):
                if reusable:
                    await response.aclose()
                else:
                    await connection.http.aclose()

    def _to_httpcore(
        self, assignment: Assignment, now_s: float
    ) -> httpcore.Request:
        headers = encode_request(
            self.caller.header_list,
            assignment.request,
            assignment.upstream,
            now_s,
            self.splitter.last_id,
        )
        return self.with_body(assignment.address, headers)

    def with_body(self, address: str, headers: Headers) -> httpcore.Request:
        """Returns the caller's request with other headers."""
        if self.body or self.caller.method not in ("GET", "HEAD", "DELETE"):
            length = str(len(self.body)).encode()
            headers.append((b"content-length", length))
        return httpcore.Request(
            method=self.caller.method.encode(),
            url=f"http://{address}/",
            headers=headers,
            content=in_parts(self.body),
            extensions={
                "target": self.target,
                "timeout": {"connect": CONNECT_TIMEOUT_S},
            },
        )

    async def _handle_response(
        self,
        request: Request,
        connection: Connection,
        response: httpcore.Response,
        fields: ResponseFields,
        clock: Callable[[], float],
    ) -> Attempt:
        if fields.attempt_id not in ("", str(request.id)):
            return Attempt(
                ending=Ending.MISMATCHED,
                detail=f"an answer to {fields.attempt_id!r}",
            )
        if response.status > MAX_STATUS:
            return Attempt(
                ending=Ending.MISMATCHED, detail=f"status {response.status}"
            )
        if response.status == 421 or fields.not_executed:
            if not fields.attempt_id and connection.is_reused:
                # It may be an earlier refusal, written once more.
                return Attempt(
                    ending=Ending.MISMATCHED, detail="a refusal without an id"
                )
            await discard_body(response, self.body_memory)
            ending = Ending.NOT_EXECUTED
            if response.status == 421:
                ending = Ending.MISDIRECTED
            return Attempt(ending=ending)
        is_success = 200 <= response.status < 300
        if is_success and not (fields.is_signed and fields.attempt_id):
            return Attempt(ending=Ending.MISMATCHED, detail="unsigned success")
        if is_success and fields.is_encoded:
            return Attempt(ending=Ending.MISMATCHED, detail="encoded body")
        if is_success and request.route.kind is RouteKind.STREAMING:
            return await self.forward_stream(response, clock)
        max_bytes = MAX_BODY_BYTES if is_success else MAX_ERROR_BODY_BYTES
        body = await read_body(response, self.body_memory, max_bytes)
        headers = forwarded_headers(response.headers)
        if is_success:
            with self._forwarding():
                await self.caller.answer(response.status, headers, body)
            return Attempt(ending=Ending.ANSWERED)
        failure = None
        if response.status not in UNEXECUTED_STATUSES:
            failure = (response.status, headers, body)
        return Attempt(ending=Ending.FAILED, failure=failure)

    async def forward_stream(
        self, response: httpcore.Response, clock: Callable[[], float]
    ) -> Attempt:
        """Forwards a stream to the caller, up to its end."""
        self.splitter.drop_partial()
        pace = self.body_memory.pacer.new_response()
        with self.body_memory.reservation() as reservation:
            async for data in response.aiter_stream():
                if pace.add_part():
                    await pace.wait()
                events = self.splitter.feed(data)
                reservation.resize(self.splitter.partial_bytes)
                if events:
                    self._on_event()
                    with self._forwarding():
                        await self._forward(response, events, clock)
        if self.splitter.partial_bytes:
            # Without a length or chunks, the end of the connection may be that
            # of the upstream's process.
            return Attempt(
                ending=Ending.BROKEN, detail="the stream ended inside an event"
            )
        if self.takeover.has_ordered_stop and not _has_length(response.headers):
            # A stop closes the stream without its end.
            return Attempt(ending=Ending.BROKEN, detail="it may be stopped")
        with self._forwarding():
            if not self.caller.started:
                await self._forward(response, b"", clock)
            await self.caller.send(b"", more=False)
        return Attempt(ending=Ending.ANSWERED)

    @contextmanager
    def _forwarding(self) -> Iterator[None]:
        self.is_forwarding = True
        try:
            yield
        finally:
            self.is_forwarding = False

    async def _forward(
        self,
        response: httpcore.Response,
        events: bytes,
        clock: Callable[[], float],
    ) -> None:
        if (
            not self.caller.started
            and self._before_start is not None
            and not await self._before_start()
        ):
            raise UnrecordedStreamError
        now_s = clock()
        if self.first_event_s is not None:
            gap_s = now_s - self.last_event_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_event_s = now_s
        with self.takeover.forwarding():
            if not self.caller.started:
                # The head is held back until the first event, so that a request
                # that fails before it can still get an error status.
                self.first_event_s = now_s
                headers = forwarded_headers(response.headers)
                await self.caller.start(response.status, headers)
            if events:
                await self.caller.send(events, more=True)
        self.reading_since_s = clock()


def _is_unreachable(error: Exception) -> bool:
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno in _UNREACHABLE_ERRNOS


def _handle_notice(
    request: Request,
    connection: Connection,
    status: int,
    fields: ResponseFields,
    on_notice: Callable[[int, UpstreamNotice], None],
) -> None:
    notice = fields.notice
    is_answer = fields.attempt_id == str(request.id) or (
        not fields.attempt_id and not connection.is_reused
    )
    if not is_answer:
        # An earlier refusal that is written once more names old figures.
        notice = UpstreamNotice(is_leaving=notice.is_leaving)
    elif fields.is_signed:
        notice = notice._replace(
            is_unlimited=notice.limit_per_s is None
            and not notice.has_invalid_limit,
            is_robust=notice.brittle_refusals_per_s is None
            and not notice.has_invalid_brittle,
        )
    on_notice(status, notice)


def forwarded_headers(headers: Headers) -> Headers:
    """Returns the headers of an upstream's response for the caller."""
    return [
        (name, value.strip())
        for name, value in end_to_end_headers(headers)
        if name not in _INTERNAL_HEADERS
    ]


def _has_length(headers: Headers) -> bool:
    """Returns whether a response shows its end, other than by closing."""
    return any(
        name.lower() in (b"content-length", b"transfer-encoding")
        for name, _ in headers
    )


def _limit_idle_time(connection: Connection, headers: Headers) -> None:
    for name, value in headers:
        if name.lower() == b"keep-alive":
            _, has_timeout, seconds = value.lower().partition(b"timeout=")
            digits = seconds.split(b",")[0].strip()
            if has_timeout and is_count(digits):
                # This side closes first, so that no request is sent on a
                # connection that the upstream is closing.
                connection.limit_idle(max(0.0, int(digits) * 0.7 - 0.1))
