"""Ends attempts whose links are lost, if their requests may run again.

The connection would hang for seconds, until the caller leaves.
"""

import time
from collections.abc import Awaitable, Callable

import anyio

from acaciaspoke.gateway.attempt import Relay
from acaciaspoke.gateway.attempt_result import Attempt, Ending
from acaciaspoke.gateway.types import Request

# Attempts that have received something within this time go on: established
# connections may stay open while new ones are not made.
MIN_SILENCE_S = 0.3


class LostAttempts:
    """The running attempts of requests that may run again."""

    def __init__(
        self,
        may_leave: Callable[[Request], bool] = lambda request: True,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Creates an object without attempts.

        Args:
            may_leave: Returns whether a request can run elsewhere for certain;
                called once its attempt is about to be ended.
            clock: Returns the time.
        """
        self._may_leave = may_leave
        self._clock = clock
        self._running: dict[anyio.CancelScope, tuple[Request, Relay]] = {}

    async def run(
        self, request: Request, relay: Relay, attempt: Awaitable[Attempt]
    ) -> Attempt:
        """Returns the result of an attempt, also if it is ended early."""
        may_run_again = (
            request.route.idempotent
            and request.starts < request.route.max_attempts
        )
        if not may_run_again:
            return await attempt
        with anyio.CancelScope() as scope:
            self._running[scope] = request, relay
            try:
                return await attempt
            finally:
                del self._running[scope]
        return Attempt(
            ending=Ending.BROKEN,
            detail="this host's link is lost",
            is_unreachable=True,
        )

    def end_silent(self) -> None:
        """Ends the attempts that have received nothing lately."""
        now_s = self._clock()
        for scope, (request, relay) in list(self._running.items()):
            if relay.is_forwarding:
                continue
            received_s = max(
                request.sent_s, relay.last_event_s, relay.reading_since_s
            )
            # If all upstreams stand still, the links seem to be lost.
            if now_s - received_s >= MIN_SILENCE_S and self._may_leave(request):
                scope.cancel()
