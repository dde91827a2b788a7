"""The ASGI application for callers."""

import time
from collections.abc import Awaitable, Callable

import anyio
import msgspec
from loguru import logger

from acaciaspoke.config.schema import Config
from acaciaspoke.entry.caller import Caller, CallerDisconnectedError
from acaciaspoke.entry.errors import CallerError, ErrorType, Outcome
from acaciaspoke.entry.parse import (
    CHAT_PATH,
    SERVICES_PREFIX,
    ParsedRequest,
    authenticate,
    new_request_id,
    parse_chat,
    parse_service,
)
from acaciaspoke.util.metrics import Metrics

# Limit of the memory for request bodies, as a number of bodies of the maximum
# size. The limit of open requests alone would let slow callers exhaust the
# memory: 4096 bodies of 4 MiB are 16 GiB.
MAX_BUFFERED_BODIES = 32

_JSON = [(b"content-type", b"application/json")]

# Serves a parsed request; raises CallerError if there is no response.
Serve = Callable[[ParsedRequest, Caller], Awaitable[None]]


class EntryApp:
    """Routes callers' requests by path and responds to each.

    Attributes:
        open_requests: Number of requests in progress.
    """

    def __init__(
        self,
        *,
        config: Callable[[], Config | None],
        is_ready: Callable[[], bool],
        is_draining: Callable[[], bool],
        serve: Serve,
        metrics: Metrics,
        max_body_bytes: int,
        max_requests: int,
    ):
        self.open_requests = 0
        self._config = config
        self._is_ready = is_ready
        self._is_draining = is_draining
        self._serve = serve
        self._metrics = metrics
        self._max_body_bytes = max_body_bytes
        self._max_requests = max_requests
        self._reserved_bytes = 0

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        headers = dict(scope["headers"])
        caller_id = headers.get(b"x-request-id", b"").decode("latin-1")
        # While draining, connections are closed: a load balancer that keeps one
        # open would send requests over it until the process stops.
        caller = Caller(
            scope,
            receive,
            send,
            new_request_id(caller_id),
            self._is_draining,
        )
        self.open_requests += 1
        started_s = time.monotonic()
        try:
            with logger.contextualize(request_id=caller.request_id):
                await self._respond(caller)
        finally:
            self.open_requests -= 1
            elapsed_ms = (time.monotonic() - started_s) * 1000
            self._metrics.timing_ms("entry.request", elapsed_ms)

    async def _respond(self, caller: Caller) -> None:
        try:
            await self._respond_or_send_error(caller)
        except CallerDisconnectedError:
            self._metrics.count("entry.caller_gone")

    async def _respond_or_send_error(self, caller: Caller) -> None:
        try:
            await self._route(caller)
        except CallerError as error:
            self._metrics.count(f"entry.error.{error.type.value}")
            logger.info(
                "answered {}: {} (outcome {})",
                error.status,
                error,
                error.outcome.value,
            )
            await caller.send_error(error)
        except CallerDisconnectedError:
            raise
        except Exception:
            logger.exception("request failed")
            await caller.send_error(
                CallerError(
                    ErrorType.INTERNAL, "internal error", Outcome.UNKNOWN
                )
            )

    async def _route(self, caller: Caller) -> None:
        if caller.path == "/healthz":
            await caller.answer(200, _JSON, b'{"status":"ok"}')
        elif caller.path == "/readyz":
            ready = self._is_ready()
            body = b'{"ready":true}' if ready else b'{"ready":false}'
            await caller.answer(200 if ready else 503, _JSON, body)
        elif caller.path == "/v1/models":
            _require_method(caller, "GET", "HEAD")
            await self._list_models(caller)
        elif caller.path == CHAT_PATH:
            _require_method(caller, "POST")
            await self._serve_parsed(caller, parse_chat)
        elif caller.path.startswith(SERVICES_PREFIX):
            await self._serve_parsed(caller, parse_service)
        else:
            raise CallerError(
                ErrorType.NOT_FOUND, f"there is no path {caller.path!r}"
            )

    async def _list_models(self, caller: Caller) -> None:
        config = self._require_config()
        authenticate(caller, config)
        names = sorted([*config.models, *config.adapters])
        data = [{"id": name, "object": "model"} for name in names]
        body = msgspec.json.encode({"object": "list", "data": data})
        await caller.answer(200, _JSON, body)

    async def _serve_parsed(self, caller: Caller, parse) -> None:
        config = self._require_config()
        # Refused before the body is read, so that an overload does not exhaust
        # the memory.
        if self.open_requests > self._max_requests:
            raise CallerError(
                ErrorType.OVERLOADED,
                f"{self._max_requests} requests are open already",
                retry_after_s=1,
            )
        authenticate(caller, config)
        reserved_bytes = 0

        def reserve(size_bytes: int) -> None:
            nonlocal reserved_bytes
            reserved_bytes += size_bytes
            self._reserved_bytes += size_bytes
            if (
                self._reserved_bytes
                > MAX_BUFFERED_BODIES * self._max_body_bytes
            ):
                raise CallerError(
                    ErrorType.OVERLOADED,
                    "the requests in progress hold too much memory",
                    retry_after_s=1,
                )

        try:
            body = await caller.read_body(self._max_body_bytes, reserve)
            # The configuration may have changed meanwhile.
            parsed = parse(caller, body, self._require_config())
            await self._serve_until_disconnected(parsed, caller)
        finally:
            self._reserved_bytes -= reserved_bytes

    async def _serve_until_disconnected(
        self, parsed: ParsedRequest, caller: Caller
    ) -> None:
        if not parsed.request.idempotent:
            # Not cancelled if the caller disconnects, so that the outcome is
            # known when the caller repeats the request with the same key.
            await self._serve(parsed, caller)
            return
        failure: Exception | None = CallerDisconnectedError()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, caller, tasks.cancel_scope)
            try:
                await self._serve(parsed, caller)
                failure = None
            except Exception as error:
                # Raised outside the task group, which would wrap it.
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    def _require_config(self) -> Config:
        config = self._config()
        if config is None:
            raise CallerError(
                ErrorType.NOT_READY,
                "this host has no configuration yet",
                retry_after_s=2,
            )
        return config


def _require_method(caller: Caller, *methods: str) -> None:
    if caller.method not in methods:
        raise CallerError(
            ErrorType.METHOD_NOT_ALLOWED,
            f"{caller.path} takes {' or '.join(methods)}",
        )


async def _cancel_on_disconnect(
    caller: Caller, scope: anyio.CancelScope
) -> None:
    await caller.wait_for_disconnect()
    scope.cancel()
