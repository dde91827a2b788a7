"""Moves a stalled stream to the engine that has its KV backup.

A stalled engine may be sound: it may prefill other prompts, have preempted the
request, or be slow for a while. So its stream is kept until the other engine
has accepted the request. The other engine may refuse it, for instance because
no backup has arrived or there is no slot; the stream then goes on as before.
"""

import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

import anyio
import httpcore

from acaciaspoke.entry.pool import Connection
from acaciaspoke.gateway.types import BackupEngine

# Two engines may work on the same request for 400 ms at most (the platform's
# rules, "Model workers"). So one of both is given up if the one with the backup
# has not responded after this time: the latter one at first, as sound engines
# are silent for a second or so, and the stalled one if it stays silent.
ACCEPT_TIMEOUT_S = 0.35

# Pause between two requests to take over the same stream, after a refusal and
# after none. Callers leave after 2 s without an event.
RETRY_INTERVAL_S = 0.7
UNANSWERED_RETRY_INTERVAL_S = 0.2


class OpenedStream(NamedTuple):
    """A response of the engine with the backup, whose body is not read yet."""

    engine: BackupEngine
    connection: Connection
    response: httpcore.Response

    async def aclose(self) -> None:
        """Closes the connection, also when cancelled."""
        with anyio.CancelScope(shield=True):
            await self.connection.http.aclose()


class Takeover:
    """One stream's state on its way to another engine.

    Events of the stalled engine are held back while the other one is asked, as
    it goes on after the last event that was forwarded.

    Attributes:
        is_asking: Whether the other engine has been asked and has not answered.
        opened: The response of the other engine, once it has accepted.
        has_held_events: Whether the stalled engine has sent events meanwhile.
    """

    def __init__(self) -> None:
        self.is_asking = False
        self.opened: OpenedStream | None = None
        self.has_held_events = False
        self._is_forwarding = False
        # Whether a request has gone unanswered since the last event.
        self._is_unanswered = False
        self._is_stalled_one_gone = False
        self._stalled = anyio.Event()
        self._answered = anyio.Event()
        self._retry_due_s = float("-inf")

    @contextmanager
    def forwarding(self) -> Iterator[None]:
        """Prevents a takeover while the caller takes an event.

        The engine is not silent then, and the event would be lost.
        """
        self._is_forwarding = True
        self._is_unanswered = False
        try:
            yield
        finally:
            self._is_forwarding = False

    def record_stall(self, now_s: float) -> None:
        """Records that the events of the engine are overdue."""
        is_due = now_s >= self._retry_due_s and not self._is_forwarding
        if is_due and not self.is_asking:
            self._stalled.set()

    async def run(
        self,
        ask: Callable[[], Awaitable[OpenedStream | None]],
        stop_stalled: Callable[[], None],
    ) -> None:
        """Asks the other engine at each stall, until it accepts.

        Args:
            ask: Returns the response of the other engine, or None if it does
                not accept the request.
            stop_stalled: Ends the attempt at the stalled engine.
        """
        while self.opened is None:
            await self._stalled.wait()
            if self._is_forwarding:
                # An event has come since.
                self._stalled = anyio.Event()
                continue
            retry_s = UNANSWERED_RETRY_INTERVAL_S
            with self._asking():
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        self._give_up_one, tasks.cancel_scope, stop_stalled
                    )
                    self.opened = await ask()
                    retry_s = RETRY_INTERVAL_S
                    self._is_unanswered = False
                    tasks.cancel_scope.cancel()
                if self.opened is not None:
                    stop_stalled()
            self._retry_due_s = time.monotonic() + retry_s
            self._stalled = anyio.Event()

    @contextmanager
    def _asking(self) -> Iterator[None]:
        self.is_asking = True
        self._answered = anyio.Event()
        try:
            yield
        finally:
            self.is_asking = self.has_held_events = False
            self._answered.set()

    async def _give_up_one(
        self, asking: anyio.CancelScope, stop_stalled: Callable[[], None]
    ) -> None:
        await anyio.sleep(ACCEPT_TIMEOUT_S)
        if self._is_stalled_one_gone:
            return
        if self.has_held_events or not self._is_unanswered:
            self._is_unanswered = True
            asking.cancel()
        else:
            stop_stalled()

    async def wait_for_answer(self) -> None:
        """Waits while the other engine is asked; the stalled one is gone."""
        if self.is_asking:
            self._is_stalled_one_gone = True
            await self._answered.wait()

    async def hold_events(self) -> None:
        """Holds back events of the stalled engine while the other is asked."""
        if self.is_asking:
            self.has_held_events = True
            await self._answered.wait()
        if self.opened is not None:
            # The attempt at the stalled engine is being cancelled.
            await anyio.sleep_forever()

    def take_opened(self) -> OpenedStream | None:
        """Returns the other engine's response, once."""
        opened, self.opened = self.opened, None
        return opened
