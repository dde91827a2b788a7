"""The requests of callers in progress, and their end when the host stops."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import msgspec
from loguru import logger

from acaciaspoke.gateway.attempt import Relay
from acaciaspoke.gateway.failures import Failure
from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import RequestId


class OpenRequest(msgspec.Struct, eq=False):
    """A request in progress.

    Attributes:
        scope: Cancels its work.
        is_ended: Whether it was cancelled because the host stops.
        refusal: Its answer, if it was cancelled because a new configuration
            does not permit it; None otherwise.
    """

    request: Request
    relay: Relay
    scope: anyio.CancelScope
    is_ended: bool = False
    refusal: Failure | None = None

    @property
    def state(self) -> str:
        """What it is doing, for logs."""
        if self.relay.caller.started:
            return "streaming"
        return "sent" if self.request.starts else "waiting"

    def log_fields(self, now_s: float) -> dict[str, str | int | None]:
        """Returns what logs say about it."""
        request, relay = self.request, self.relay
        last_event_id = relay.splitter.last_id or b""
        return {
            "request_id": request.id,
            "route": request.route.name,
            "upstream": relay.upstream,
            "state": self.state,
            "age_ms": round((now_s - request.arrived_s) * 1000),
            "sent_ms": round((now_s - request.sent_s) * 1000)
            if request.starts
            else None,
            "last_event_id": last_event_id.decode("latin-1"),
        }


class OpenRequests:
    """All requests in progress."""

    def __init__(self) -> None:
        self._requests: dict[RequestId, OpenRequest] = {}

    @contextmanager
    def entry(
        self, request: Request, relay: Relay, scope: anyio.CancelScope
    ) -> Iterator[OpenRequest]:
        """Keeps a request while it is in progress."""
        entry = OpenRequest(request, relay, scope)
        self._requests[request.id] = entry
        try:
            yield entry
        finally:
            if self._requests.get(request.id) is entry:
                del self._requests[request.id]

    def refuse_waiting(
        self, refusal_of: Callable[[Request, Relay], Failure | None]
    ) -> None:
        """Ends requests that are not permitted any more and were never sent.

        Those that were sent, but have no response yet, get no further attempt.

        Args:
            refusal_of: Returns the answer to a request; None if it may go on.
        """
        for entry in list(self._requests.values()):
            if entry.relay.caller.started:
                continue
            refusal = refusal_of(entry.request, entry.relay)
            if refusal is None:
                continue
            entry.request.is_permitted = False
            if not entry.request.starts:
                entry.refusal = refusal
                entry.scope.cancel()

    def end_unanswered(self) -> None:
        """Ends requests whose response has not begun; logs all of them.

        The process is about to be killed. A response that has begun may still
        be finished before that.
        """
        now_s = time.monotonic()
        for entry in list(self._requests.values()):
            logger.warning(
                "the host stops with the request open",
                **entry.log_fields(now_s),
            )
            if not entry.relay.caller.started:
                entry.is_ended = True
                entry.scope.cancel()
