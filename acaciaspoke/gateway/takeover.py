"""Ends the run of a stream, so that another engine can go on with it.

A stream that must run once may go on elsewhere only when nothing can run at its
engine any more. A silent engine may be sound, and after the loss of a
connection the run may go on. So the run is ended by a stop order that the
engine has answered, or its process is known to have ended, or this host cannot
reach it.

A stop order cannot be undone. A silent engine gets it as late as callers allow,
and only once another engine has a copy of the run and room to go on with it, or
has refused the copy until callers are about to leave.
"""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

import anyio

from acaciaspoke.gateway.types import BackupEngine, ResumePoint, Route
from acaciaspoke.ids import RequestId, UpstreamId
from acaciaspoke.platform.engine import CopyOutcome, RunStop, StopOutcome

# Pause after a stop order without a clear answer.
RETRY_INTERVAL_S = 0.1

# Pause between two checks of a silent engine.
CHECK_INTERVAL_S = 0.3

# An idle connection is probed each second; a peer that has not acknowledged
# anything for this time cannot be reached.
MAX_ACKNOWLEDGEMENT_AGE_S = 1.25

# Connections in a row that are not established until an engine counts as
# unreachable; a single packet may be lost.
MAX_CONNECT_TIMEOUTS = 2

# How long an engine that has stopped a run may take to close its stream.
CLOSE_TIMEOUT_S = 0.2

# For how long a silent engine has answered calls before its run is copied.
# Sound engines that stood still send events within this time.
COPY_AFTER_S = 0.25

# The same before its run is stopped.
MIN_RESPONSIVE_S = 0.4

# The same if the other engine has no copy.
MIN_RESPONSIVE_WITHOUT_COPY_S = 0.8

# How long before a run is stopped both engines are called for the last time.
LAST_CALLS_S = 0.15

# Timers may be this early.
_TIMER_TOLERANCE_S = 0.001

# How long a stop, the request to the other engine and its first event take at
# most, so that callers are still there.
TAKEOVER_TIME_S = 0.4

# Time without an event after which runs are stopped at the latest.
MAX_STOP_AFTER_S = 3.0

# Callers leave a stream after the longest of these times without an event (the
# platform's protocol, "Requests").
MIN_CALLER_PATIENCE_S = 2.0
CALLER_PATIENCE_OBJECTIVES = 4
CALLER_PATIENCE_GAP_OBJECTIVES = 8

# Answers to a stop order after which nothing can run at the engine.
ENDED = frozenset(
    {StopOutcome.STOPPED, StopOutcome.NO_RUN, StopOutcome.OTHER_PROCESS}
)


def caller_patience_s(route: Route) -> float:
    """Returns after which time without an event callers leave a stream."""
    return max(
        MIN_CALLER_PATIENCE_S,
        CALLER_PATIENCE_OBJECTIVES * route.objective_s,
        CALLER_PATIENCE_GAP_OBJECTIVES * route.gap_objective_s,
    )


def stop_after_s(route: Route) -> float:
    """Returns after which time without an event a run may be stopped."""
    return min(MAX_STOP_AFTER_S, caller_patience_s(route) - TAKEOVER_TIME_S)


_ENDED_WHILE_OPEN = ENDED - {StopOutcome.NO_RUN}


class Run(NamedTuple):
    """A run of a request at an engine.

    Attributes:
        destination: The engine that has its KV backup.
    """

    request_id: RequestId
    upstream: UpstreamId
    address: str
    destination: BackupEngine


class EngineConnections(NamedTuple):
    """This host's connections to the engine of a run, without that of the run.

    Attributes:
        exist: Whether any is established.
        acknowledgement_age_s: How long ago the engine's host has acknowledged
            anything on any of them; None if that is not known.
    """

    exist: bool
    acknowledgement_age_s: float | None


class EngineCalls(NamedTuple):
    """Calls that end a run.

    Attributes:
        check: Calls the engine of the run; changes nothing there.
        may_take_over: Returns whether the engine that has the KV backup answers
            promptly and may get the run; reserves a retry.
        copy: Has the engine of the run copy it to the other one.
        stop: Orders the engine of the run to stop it.
    """

    check: Callable[[], Awaitable[StopOutcome]]
    may_take_over: Callable[[], Awaitable[bool]]
    copy: Callable[[], Awaitable[CopyOutcome]]
    stop: Callable[[], Awaitable[RunStop]]


class Silence(NamedTuple):
    """What is known of a silent engine.

    Attributes:
        silent_s: Returns the time since the last event.
        responsive_s: Returns for how long it has answered calls promptly.
        acknowledgement_age_s: Returns how long ago its host has acknowledged
            anything on any connection; None if it is not known.
        stop_after_s: Time without an event after which its run may be stopped.
    """

    silent_s: Callable[[], float]
    responsive_s: Callable[[], float]
    acknowledgement_age_s: Callable[[], float | None]
    stop_after_s: float

    def awake_s(self) -> float:
        """Returns for how long it has been silent without standing still."""
        return min(self.silent_s(), self.responsive_s())

    def time_to_stop_s(self, has_copy: bool) -> float:
        """Returns after which time the run is stopped if the silence lasts.

        Args:
            has_copy: Whether the other engine has a copy of the run.
        """
        responsive_s = MIN_RESPONSIVE_S
        if not has_copy:
            responsive_s = MIN_RESPONSIVE_WITHOUT_COPY_S
        return max(
            responsive_s - self.awake_s(), self.stop_after_s - self.silent_s()
        )

    def time_to_step_s(self, has_copy: bool) -> float:
        """Returns the time until the next step, but at most until a check."""
        steps_s = [self.time_to_stop_s(has_copy) - LAST_CALLS_S]
        if not has_copy:
            steps_s.append(COPY_AFTER_S - self.awake_s())
        next_s = min(
            left_s for left_s in (CHECK_INTERVAL_S, *steps_s) if left_s > 0
        )
        return next_s + _TIMER_TOLERANCE_S


async def end_silent_run(
    calls: EngineCalls,
    silence: Silence,
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
) -> RunStop:
    """Ends a run whose engine is silent; waits until that is certain.

    A run that the other engine has no room to copy is stopped, too, if its
    engine has answered for longer: its caller is about to leave, and requests
    that go on with a run are admitted before others.

    An engine that is silent as a whole is only checked: it would execute a stop
    order when it goes on, and its streams with it. The connection of the stream
    is open, so that a process that refuses connections has not ended, one that
    takes none may stand still, and a run that is not known may be preempted.

    Args:
        calls: Calls to the engine.
        silence: What is known of it.
        sleep: Waits for some seconds.
    """
    timeouts, has_copy = 0, False
    while True:
        outcome = await calls.check()
        if outcome is StopOutcome.OTHER_PROCESS:
            return RunStop(outcome)
        if outcome is StopOutcome.ANSWERED:
            if (
                not has_copy
                and silence.awake_s() >= COPY_AFTER_S
                and silence.time_to_stop_s(has_copy) >= CHECK_INTERVAL_S
            ):
                has_copy = await calls.copy() is CopyOutcome.MADE
            stop = await _stop_if_due(calls, silence, has_copy, sleep)
            if stop.outcome in _ENDED_WHILE_OPEN:
                return stop
        timeouts = _count_timeouts(timeouts, outcome)
        if (
            timeouts >= MAX_CONNECT_TIMEOUTS
            and _is_unacknowledged(silence.acknowledgement_age_s())
            # It may be reachable again later, and its stream go on.
            and await calls.may_take_over()
            and _is_unacknowledged(silence.acknowledgement_age_s())
        ):
            return RunStop(StopOutcome.UNREACHABLE)
        await sleep(
            RETRY_INTERVAL_S if timeouts else silence.time_to_step_s(has_copy)
        )


async def _stop_if_due(
    calls: EngineCalls,
    silence: Silence,
    has_copy: bool,
    sleep: Callable[[float], Awaitable[None]],
) -> RunStop:
    """Stops a run; calls the other engine before it is due."""
    if (
        silence.time_to_stop_s(has_copy) <= LAST_CALLS_S
        and await calls.may_take_over()
    ):
        left_s = silence.time_to_stop_s(has_copy)
        if left_s > LAST_CALLS_S:
            # Another stream of the engine had an event meanwhile.
            return RunStop(StopOutcome.UNKNOWN)
        await sleep(max(0.0, left_s))
        if silence.time_to_stop_s(has_copy) <= _TIMER_TOLERANCE_S:
            return await calls.stop()
    return RunStop(StopOutcome.UNKNOWN)


async def end_lost_run(
    order_stop: Callable[[], Awaitable[RunStop]],
    connections: Callable[[], EngineConnections],
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
) -> RunStop:
    """Ends a run whose connection is lost; waits until that is certain.

    Args:
        order_stop: Orders the engine of the run to stop it.
        connections: Returns the other connections to the engine. If any
            exists, it runs though it refuses new ones; if it acknowledges, it
            can be reached though new ones are not established.
        sleep: Waits for some seconds.
    """
    timeouts = 0
    while True:
        stop = await order_stop()
        if stop.outcome in ENDED:
            return stop
        is_refused = stop.outcome is StopOutcome.REFUSED
        if is_refused and not connections().exist:
            return stop
        timeouts = _count_timeouts(timeouts, stop.outcome)
        if timeouts >= MAX_CONNECT_TIMEOUTS and _is_unacknowledged(
            connections().acknowledgement_age_s
        ):
            return RunStop(StopOutcome.UNREACHABLE)
        await sleep(RETRY_INTERVAL_S)


def _is_unacknowledged(age_s: float | None) -> bool:
    return age_s is None or age_s >= MAX_ACKNOWLEDGEMENT_AGE_S


def _count_timeouts(timeouts: int, outcome: StopOutcome) -> int:
    return timeouts + 1 if outcome is StopOutcome.UNREACHABLE else 0


def resume_points(run: Run, stop: RunStop) -> list[ResumePoint]:
    """Returns where a run that has ended can go on, in order of preference.

    The engine with the KV backup is preferred, as the former one was silent or
    broke off. The former one still has the memory of a run that it stopped.
    """
    upstream, address = run.destination
    backup = ResumePoint(upstream, address, f"{address}/{run.request_id}")
    if stop.outcome is not StopOutcome.STOPPED or not stop.handle:
        return [backup]
    memory = f"{run.address}/{stop.handle}"
    source = ResumePoint(run.upstream, run.address, memory, is_confirmed=True)
    if stop.is_copied:
        backup = backup._replace(memory=memory, is_confirmed=True)
    returns_to = BackupEngine(run.upstream, run.address)
    return [backup._replace(returns_to=returns_to), source]


class Takeover:
    """One stream's state while the run at its engine may have to be ended.

    Attributes:
        stop: The result once the run has ended for certain.
        has_ordered_stop: Whether the engine may have been told to stop the run.
    """

    def __init__(self) -> None:
        self.stop: RunStop | None = None
        self.has_ordered_stop = False
        self._is_stopping = False
        self._is_forwarding = False
        self._stalled = anyio.Event()
        self._stopped = anyio.Event()
        self._ending: anyio.CancelScope | None = None

    @contextmanager
    def forwarding(self) -> Iterator[None]:
        """Prevents a takeover while the caller takes an event.

        The engine is not silent then, and the event would be lost.
        """
        self._is_forwarding = True
        self._withdraw()
        try:
            yield
        finally:
            self._is_forwarding = False

    def _withdraw(self) -> None:
        """Lets the engine go on, unless it may have been told to stop."""
        if self._stalled.is_set():
            self._stalled = anyio.Event()
        if self._ending is not None and not self._is_stopping:
            self._ending.cancel()

    def record_stall(self) -> None:
        """Records that the events of the engine are overdue."""
        if not self._is_forwarding:
            self._stalled.set()

    async def order_stop(
        self, order: Callable[[], Awaitable[RunStop]]
    ) -> RunStop:
        """Sends a stop order, which is not withdrawn any more."""
        self.has_ordered_stop = True
        self._is_stopping, self._stopped = True, anyio.Event()
        try:
            stop = await order()
            if stop.outcome in _ENDED_WHILE_OPEN:
                self.stop = stop
            return stop
        finally:
            self._is_stopping = False
            self._stopped.set()

    async def wait_for_stop(self) -> None:
        """Waits for the answer to a stop order that is on its way."""
        if self._is_stopping:
            await self._stopped.wait()

    async def run(
        self,
        end_run: Callable[[], Awaitable[RunStop]],
        cancel_attempt: Callable[[], None],
    ) -> None:
        """Ends the run once its engine is silent, and then the attempt.

        Args:
            end_run: Returns once the run has ended for certain.
            cancel_attempt: Ends the attempt at the engine.
        """
        while self.stop is None:
            stalled = self._stalled
            await stalled.wait()
            if stalled is not self._stalled:
                # An event has come since.
                continue
            self._stalled = anyio.Event()
            with anyio.CancelScope() as self._ending:
                self.stop = await end_run()
        if self.stop.outcome is not StopOutcome.UNREACHABLE:
            # Events that were sent before the end are still forwarded.
            await anyio.sleep(CLOSE_TIMEOUT_S)
        while self._is_forwarding:
            await anyio.sleep(CLOSE_TIMEOUT_S)
        cancel_attempt()
