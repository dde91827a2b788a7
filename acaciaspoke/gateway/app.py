"""The ASGI application for callers, the readiness check and the metrics."""

import time
from collections.abc import Awaitable, Callable

import anyio
import httptools
import xxhash
from loguru import logger

from acaciaspoke.entry.caller import Caller, CallerDisconnectedError
from acaciaspoke.entry.errors import CallerError, Outcome
from acaciaspoke.gateway import answers
from acaciaspoke.gateway.answers import StreamBrokenError
from acaciaspoke.gateway.api_keys import ApiKeys, refuse
from acaciaspoke.gateway.attempt import Relay
from acaciaspoke.gateway.exchange import RequestHandler
from acaciaspoke.gateway.explain.document import EXPLAIN_PATH
from acaciaspoke.gateway.failures import Failure, FailureType, send_failure
from acaciaspoke.gateway.forwarded_headers import (
    ForwardedFields,
    decline_header,
    decode_forwarded,
    without_forwarded,
)
from acaciaspoke.gateway.metrics import CONTENT_TYPE, GatewayMetrics
from acaciaspoke.gateway.open_requests import OpenRequests
from acaciaspoke.gateway.routes import RouteTable, choose_service
from acaciaspoke.gateway.types import (
    Configuration,
    Request,
    Route,
    RouteKind,
    Workspace,
)
from acaciaspoke.ids import RequestId
from acaciaspoke.platform.headers import (
    RequestFields,
    attempt_id_of,
    decode_request,
)

# A host without a configuration gets one as soon as the store responds.
NOT_READY_RETRY_AFTER_S = 0.5


class BadRequestError(Exception):
    """A request that is rejected before it is queued.

    Attributes:
        route: Its route, if it has one.
    """

    def __init__(self, failure: Failure, route: Route | None = None):
        super().__init__(failure.message)
        self.failure = failure
        self.route = route


class GatewayApp:
    """Responds to requests according to the port that they arrive at.

    Attributes:
        configuration: The configuration in force; None before the first one.
        open_requests: Number of callers' requests in progress.
        explain: Serves ``EXPLAIN_PATH`` on the port for metrics.
    """

    def __init__(
        self,
        request_handler: RequestHandler,
        metrics: GatewayMetrics,
        *,
        ready_port: int,
        metrics_port: int,
        internal_port: int,
        is_ready: Callable[[], bool],
        is_draining: Callable[[], bool],
        is_detached: Callable[[], bool],
        before_exposition: Callable[[], None] = lambda: None,
        may_be_outdated: Callable[[], bool],
    ):
        self.configuration: Configuration | None = None
        self.open_requests = 0
        self.explain: Callable[..., Awaitable[None]] | None = None
        self._requests = OpenRequests()
        self._routes = RouteTable(())
        self._api_keys = ApiKeys()
        self._request_handler = request_handler
        self._metrics = metrics
        self._ready_port = ready_port
        self._metrics_port = metrics_port
        self._internal_port = internal_port
        self._is_detached = is_detached
        self._before_exposition = before_exposition
        self._may_be_outdated = may_be_outdated
        self._is_ready = is_ready
        self._is_draining = is_draining

    def set_configuration(self, configuration: Configuration) -> None:
        """Activates a configuration."""
        self.configuration = configuration
        self._routes = RouteTable(configuration.routes)
        self._api_keys = ApiKeys(configuration.workspaces)
        self._requests.refuse_waiting(self._refusal_of)

    def end_unanswered(self) -> None:
        """Answers all requests that have no answer, as the host stops."""
        self._requests.end_unanswered()

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        port = scope["server"][1]
        if port == self._ready_port:
            status = 200 if self._is_ready() else 503
            await _answer(send, status, b"", b"text/plain")
        elif (
            port == self._metrics_port
            and scope["path"] == EXPLAIN_PATH
            and self.explain is not None
        ):
            await self.explain(scope, receive, send)
        elif port == self._metrics_port:
            self._before_exposition()
            body = self._metrics.exposition()
            await _answer(send, 200, body, CONTENT_TYPE.encode())
        elif port == self._internal_port:
            await self._serve_for_host(scope, receive, send)
        else:
            await self._serve_caller(scope, receive, send)

    async def _serve_for_host(self, scope, receive, send) -> None:
        """Serves a request that another host has forwarded."""
        forwarded = decode_forwarded(scope["headers"])
        scope = {**scope, "headers": without_forwarded(scope["headers"])}
        await self._serve_caller(scope, receive, send, forwarded)

    async def _serve_caller(
        self, scope, receive, send, forwarded: ForwardedFields | None = None
    ) -> None:
        arrived_s = time.monotonic()
        arrived_version = self._version
        request_id = attempt_id_of(scope["headers"])
        # A request behind this one has been read, and is answered as well.
        caller = Caller(
            scope,
            receive,
            send,
            request_id,
            lambda: self._is_draining() and not scope["is_followed"](),
        )
        self.open_requests += 1
        try:
            # Routes match the path as it is sent on, not the decoded one, in
            # which an encoded slash would separate segments.
            path = scope["raw_path"].decode("latin-1")
            await self._serve(
                caller, scope["target"], path, arrived_s, forwarded
            )
        except BadRequestError as error:
            if forwarded is not None:
                await self._decline(caller, forwarded, str(error))
                return
            logger.info(
                "answered {}: {}",
                error.failure.status,
                error,
                request_id=caller.request_id,
            )
            await send_failure(caller, error.failure)
        except CallerDisconnectedError:
            self._metrics.callers_gone.inc()
        except StreamBrokenError as error:
            # The server closes the connection of an unfinished response.
            logger.warning(
                "stream aborted: {}",
                error,
                request_id=caller.request_id,
                arrived_configuration=arrived_version,
                configuration=self._version,
                **error.log_fields,
            )
        except Exception:
            self._metrics.faults.inc()
            logger.exception("request failed", request_id=caller.request_id)
            if not caller.started:
                await send_failure(caller, _INTERNAL)
        finally:
            self.open_requests -= 1

    @property
    def _version(self) -> int | None:
        return self.configuration and self.configuration.version

    async def _decline(
        self, caller: Caller, forwarded: ForwardedFields, reason: str
    ) -> None:
        """Lets the first host choose another one."""
        self._metrics.declined.inc()
        logger.info(
            "declined the request of host {}: {}",
            forwarded.host,
            reason,
            request_id=caller.request_id,
        )
        await caller.answer(503, [decline_header()], b"")

    async def _serve(
        self,
        caller: Caller,
        target: bytes,
        path: str,
        arrived_s: float,
        forwarded: ForwardedFields | None,
    ) -> None:
        self._check(caller, path)
        limits = self.configuration.limits
        try:
            body = await caller.read_body(limits.max_body_bytes)
        except CallerDisconnectedError:
            logger.info(
                "caller closed the connection",
                request_id=caller.request_id,
                state="reading",
            )
            raise
        except CallerError as error:
            raise BadRequestError(
                Failure(FailureType.TOO_LARGE, str(error))
            ) from error
        # A newer configuration may have become active while the body arrived.
        fields, route, workspace = self._check(caller, path)
        if forwarded is not None and self._is_detached():
            await self._decline(caller, forwarded, "this host is detached")
            return
        request = to_request(caller, fields, route, target, body, arrived_s)
        request.workspace = workspace
        if forwarded is not None:
            _apply_forwarded(request, forwarded)
            self._metrics.served_for_hosts.inc()
        relay = Relay(caller, target, body, self._request_handler.body_memory)
        await self._serve_until_disconnect(request, relay)

    def check(
        self, caller: Caller, path: str
    ) -> tuple[RequestFields, Route, Workspace | None]:
        """Returns the fields, the route and the workspace of a request.

        No metric counts it.

        Args:
            caller: The request.
            path: Its path as it was sent.

        Raises:
            BadRequestError: If it is rejected.
        """
        return self._check(caller, path, counts=False)

    def _check(
        self, caller: Caller, path: str, counts: bool = True
    ) -> tuple[RequestFields, Route, Workspace | None]:
        if self.configuration is None:
            raise BadRequestError(
                Failure(
                    FailureType.NOT_READY,
                    "this host has no configuration yet",
                    retry_after_s=NOT_READY_RETRY_AFTER_S,
                )
            )
        try:
            fields = decode_request(caller.header_list)
        except ValueError as error:
            raise _bad_request(f"a header is invalid: {error}") from error
        if not fields.attempt_id:
            raise _bad_request("the request has no id")
        route = self._routes.match(caller.header("host"), path)
        if route is None:
            failure = Failure(FailureType.NOT_FOUND, "no route for this path")
            raise BadRequestError(failure)
        workspace = self._api_keys.find(fields.api_key)
        refusal = self._refusal(fields.api_key, route, counts)
        if refusal is not None:
            raise BadRequestError(refusal, route)
        return fields, route, workspace

    def _refusal(
        self, key: bytes, route: Route, counts: bool = True
    ) -> Failure | None:
        """Returns the answer to a request without a valid API key."""
        if route.is_public or not self._api_keys.are_required:
            return None
        if self._api_keys.find(key) is not None:
            return None
        if counts:
            self._metrics.unauthenticated.inc()
        return refuse(key, self._may_be_outdated())

    def _refusal_of(self, request: Request, relay: Relay) -> Failure | None:
        """Returns the answer to a request whose API key was removed."""
        caller = relay.caller
        key = decode_request(caller.header_list).api_key
        path = httptools.parse_url(relay.target).path.decode("latin-1")
        # Its route may have become public.
        route = self._routes.match(caller.header("host"), path)
        return self._refusal(key, route or request.route)

    async def _serve_until_disconnect(
        self, request: Request, relay: Relay
    ) -> None:
        failure: BaseException | None = CallerDisconnectedError()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                _cancel_on_disconnect, relay.caller, tasks.cancel_scope
            )
            with self._requests.entry(
                request, relay, tasks.cancel_scope
            ) as entry:
                try:
                    await self._request_handler.serve(request, relay)
                    failure = None
                except Exception as error:
                    # Raised outside the task group, which would wrap it.
                    failure = error
            tasks.cancel_scope.cancel()
        if entry.is_ended and isinstance(failure, CallerDisconnectedError):
            await answers.answer_stopped(self._metrics, request, relay)
            return
        if entry.refusal and isinstance(failure, CallerDisconnectedError):
            if not request.starts:
                raise BadRequestError(entry.refusal)
            await answers.answer_revoked(self._metrics, request, relay)
            return
        if isinstance(failure, CallerDisconnectedError):
            logger.info(
                "caller closed the connection",
                **entry.log_fields(time.monotonic()),
            )
        if failure is not None:
            raise failure


def to_request(
    caller: Caller,
    fields: RequestFields,
    route: Route,
    target: bytes,
    body: bytes,
    arrived_s: float,
) -> Request:
    """Returns the request of a caller whose headers are valid."""
    wait_s = route.timeout_s
    if fields.remaining_s is not None:
        wait_s = min(wait_s, fields.remaining_s)
    continues = _continued_stream(fields, route)
    return Request(
        id=caller.request_id,
        route=route,
        # A stream goes on at the service that began it.
        service=choose_service(route, continues or caller.request_id),
        arrived_s=arrived_s,
        deadline_s=arrived_s + wait_s,
        artifact=fields.artifact,
        affinity=fields.affinity,
        shared_parts=fields.shared_parts,
        prompt_tokens=fields.prompt_tokens,
        output_tokens=fields.output_tokens,
        fingerprint=_fingerprint(target, body),
        continues=continues,
        states_tokens=fields.states_tokens,
        prompt_parts=fields.prompt_parts if route.has_session_affinity else (),
    )


def _fingerprint(target: bytes, body: bytes) -> int:
    digest = xxhash.xxh64(target + b"\0")
    # Without a copy of the body.
    digest.update(body)
    return digest.intdigest()


def _apply_forwarded(request: Request, forwarded: ForwardedFields) -> None:
    request.forwarded_by = forwarded.host
    request.starts = request.starts_elsewhere = forwarded.starts
    # The caller has waited since its request reached the first host.
    request.arrived_s -= min(forwarded.age_s, request.route.timeout_s)


def _continued_stream(fields: RequestFields, route: Route) -> RequestId | None:
    """Returns the request whose stream a request goes on with; None if none.

    It is empty if the caller does not name it.
    """
    if route.kind is not RouteKind.STREAMING or not route.resumable:
        return None
    if not (fields.continues or fields.has_last_event):
        return None
    return fields.continues


def _bad_request(message: str) -> BadRequestError:
    return BadRequestError(Failure(FailureType.BAD_REQUEST, message))


async def _cancel_on_disconnect(
    caller: Caller, scope: anyio.CancelScope
) -> None:
    await caller.wait_for_disconnect()
    scope.cancel()


async def _answer(send, status: int, body: bytes, content_type: bytes) -> None:
    headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


_INTERNAL = Failure(
    FailureType.UPSTREAM_FAILED, "internal error", Outcome.UNKNOWN
)
