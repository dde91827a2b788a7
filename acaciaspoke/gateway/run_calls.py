"""Calls engines to end runs, each on a connection of its own.

On a connection that has carried another request, the answer might be one that
the engine repeats.
"""

import contextlib
import functools
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

import anyio
from loguru import logger

from acaciaspoke.gateway.responsiveness import (
    PROMPT_ANSWER_S,
    Responsiveness,
)
from acaciaspoke.gateway.takeover import (
    EngineCalls,
    EngineConnections,
    Run,
    Silence,
    end_lost_run,
    end_silent_run,
)
from acaciaspoke.ids import UpstreamId
from acaciaspoke.platform.engine import (
    CONNECT_TIMEOUT_S,
    CopyOutcome,
    RunCopyAnswer,
    RunStop,
    StopOutcome,
    check_engine,
    copy_run,
    free_run_memory,
    stop_run,
)
from acaciaspoke.util.http import HttpClient

T = TypeVar("T")

# Sends a stop order, and returns the answer.
OrderStop = Callable[[Callable[[], Awaitable[RunStop]]], Awaitable[RunStop]]


async def end_silent(
    run: Run,
    silent_s: Callable[[], float],
    acknowledgement_age_s: Callable[[], float | None],
    make_copy: Callable[[], Awaitable[CopyOutcome]],
    order_stop: OrderStop,
    reserve_retry: Callable[[], bool],
    stop_after_s: float,
    deadline_s: float,
    on_end: Callable[[str], None],
) -> RunStop:
    """Ends a run whose engine is silent; waits until that is certain.

    Args:
        run: The run.
        silent_s: Returns the time since the last event.
        acknowledgement_age_s: Returns how long ago the engine's host has
            acknowledged anything to this one; None if it is not known.
        make_copy: Copies the run to the other engine.
        order_stop: Sends a stop order.
        reserve_retry: Reserves a retry at the other engine; returns whether
            that one may get the run.
        stop_after_s: Time without an event after which the run may be stopped.
        deadline_s: When the request must be answered.
        on_end: Called with how it ended.
    """
    responsiveness = Responsiveness(time.monotonic)
    silence = Silence(
        silent_s, lambda: responsiveness.duration_s, acknowledgement_age_s
    )

    async def may_take_over() -> bool:
        with anyio.move_on_after(PROMPT_ANSWER_S):
            outcome = await check(*run.destination, deadline_s)
            return outcome is StopOutcome.ANSWERED and reserve_retry()
        return False

    calls = EngineCalls(
        _recorded(
            functools.partial(check, run.upstream, run.address, deadline_s),
            lambda outcome: outcome is StopOutcome.ANSWERED,
            responsiveness,
        ),
        may_take_over,
        _recorded(
            make_copy,
            lambda outcome: outcome is not CopyOutcome.UNKNOWN,
            responsiveness,
        ),
        functools.partial(order_stop, functools.partial(stop, run, deadline_s)),
    )

    def describe(end: str) -> dict[str, int | None]:
        on_end(end)
        return {
            "silent_ms": _to_ms(silent_s()),
            "responsive_ms": _to_ms(responsiveness.duration_s),
            "asked_ms_ago": _age_ms(responsiveness.asked_s),
            "answered_ms_ago": _age_ms(responsiveness.answered_s),
        }

    ending = end_silent_run(calls, silence, stop_after_s)
    return await _end(run, "silent", ending, describe)


def _recorded(
    call: Callable[[], Awaitable[T]],
    is_answered: Callable[[T], bool],
    responsiveness: Responsiveness,
) -> Callable[[], Awaitable[T]]:
    """Returns a call whose answers are recorded."""

    async def call_and_record() -> T:
        asked_s = time.monotonic()
        result = await call()
        if is_answered(result):
            responsiveness.record_answer(asked_s)
        else:
            responsiveness.record_failure()
        return result

    return call_and_record


async def end_lost(
    run: Run,
    connections: Callable[[], EngineConnections],
    deadline_s: float,
) -> RunStop:
    """Ends a run whose connection is lost; waits until that is certain.

    Args:
        run: The run.
        connections: Returns the other connections to the engine.
        deadline_s: When the request must be answered.
    """
    order_stop = functools.partial(stop, run, deadline_s)
    return await _end(run, "lost", end_lost_run(order_stop, connections))


async def _end(
    run: Run,
    problem: str,
    ending: Awaitable[RunStop],
    describe: Callable[[str], dict[str, int | None]] = lambda end: {},
) -> RunStop:
    started_s = time.monotonic()
    stop, result = None, "not certain"
    try:
        stop = await ending
        result = stop.outcome.value
    finally:
        logger.info(
            "run at {} is {}; its end: {}",
            run.upstream,
            problem,
            result,
            request_id=run.request_id,
            destination=run.destination.upstream,
            is_copied=stop is not None and stop.is_copied,
            took_ms=_age_ms(started_s),
            **describe(result),
        )
    return stop


def _to_ms(time_s: float) -> int:
    return round(time_s * 1000)


def _age_ms(at_s: float | None) -> int | None:
    return None if at_s is None else _to_ms(time.monotonic() - at_s)


async def check(
    upstream: UpstreamId,
    address: str,
    deadline_s: float,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> StopOutcome:
    """Calls an engine; changes nothing there.

    Args:
        upstream: The engine.
        address: Its address.
        deadline_s: Until when to wait for the answer.
        connect_timeout_s: How long to wait for the connection.
    """
    async with _client(address) as http:
        return await check_engine(
            http, upstream, _timeout_s(deadline_s), connect_timeout_s
        )


async def stop(run: Run, deadline_s: float) -> RunStop:
    """Orders the engine of a run to stop it.

    Args:
        run: The run.
        deadline_s: Until when to wait for the answer.
    """
    async with _client(run.address) as http:
        return await stop_run(
            http,
            run.upstream,
            run.request_id,
            run.destination.address,
            _timeout_s(deadline_s),
        )


async def copy(run: Run, deadline_s: float) -> RunCopyAnswer:
    """Has the engine of a run copy it to the other engine.

    Args:
        run: The run, which goes on.
        deadline_s: Until when to wait for the answer.
    """
    async with _client(run.address) as http:
        return await copy_run(
            http,
            run.upstream,
            run.request_id,
            run.destination.address,
            _timeout_s(deadline_s),
        )


async def free_memory(run: Run, handle: str, deadline_s: float) -> None:
    """Frees the copies of a run's memory at both engines.

    Args:
        run: The run.
        handle: The name of its memory.
        deadline_s: Until when to wait for the answer.
    """
    async with _client(run.address) as http:
        await free_run_memory(
            http, run.upstream, handle, _timeout_s(deadline_s)
        )


def _timeout_s(deadline_s: float) -> float:
    # Longer than the timeout of the connection, which has a meaning of its own.
    return max(0.0, deadline_s - time.monotonic()) + 2 * CONNECT_TIMEOUT_S


@contextlib.asynccontextmanager
async def _client(address: str) -> AsyncIterator[HttpClient]:
    async with HttpClient(address, 0.0, reset_on_close=True) as http:
        yield http
