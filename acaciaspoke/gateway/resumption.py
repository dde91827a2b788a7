"""Where and when a stream goes on whose run at an engine has ended.

Engines keep the memory of a run for seconds. One that refuses the stream may
have room a moment later, so that engines are asked again, in turn, while the
caller waits.
"""

import time
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from acaciaspoke.gateway.attempt_result import Ending
from acaciaspoke.gateway.attempt_runner import run_of
from acaciaspoke.gateway.backups import may_continue
from acaciaspoke.gateway.decisions import Assignment
from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.takeover import resume_points
from acaciaspoke.gateway.types import Request
from acaciaspoke.platform.engine import RunStop, StopOutcome

# Pause before an engine is asked again; doubles with each time.
ASK_AGAIN_PAUSE_S = 0.1


def plan_resumption(assignment: Assignment, stop: RunStop) -> None:
    """Sets where a request can go on whose run has ended."""
    request = assignment.request
    points = resume_points(run_of(assignment), stop)
    is_first_stop = request.backup_engine is not None
    if not is_first_stop:
        points = [point._replace(returns_to=None) for point in points]
    if is_first_stop or stop.outcome is StopOutcome.STOPPED:
        request.resume_later_at, request.resume_again_at = points, []
        request.resume_pauses = 0
    request.backup_engine = request.stopped_at = None


def resume_next(request: Request) -> bool:
    """Chooses the next engine that can go on; returns whether one can."""
    if not request.resume_later_at:
        return False
    request.resume_at, *request.resume_later_at = request.resume_later_at
    request.stopped_at = request.resume_at.returns_to
    logger.info(
        "goes on at {} with its memory",
        request.resume_at.upstream,
        request_id=request.id,
        memory=request.resume_at.memory,
    )
    return True


def record_refusal(request: Request, ending: Ending) -> None:
    """Records that an engine has not taken a stream.

    It may do so later, unless it refused the stream and is not known to have
    its memory.

    Args:
        request: The request.
        ending: How the attempt ended, at which nothing ran.
    """
    point = request.resume_at
    if ending is Ending.NOT_SENT or (
        ending is Ending.NOT_EXECUTED and point.is_confirmed
    ):
        request.resume_again_at.append(point)


async def wait_to_ask_again(
    request: Request,
    fleet: Fleet,
    until_s: float,
    reserve_retry: Callable[[], bool],
    clock: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
) -> bool:
    """Waits until an engine that has not taken a stream may be asked again.

    Args:
        request: The request; the engine becomes its next one.
        fleet: The upstreams.
        until_s: When it must be answered.
        reserve_retry: Reserves a retry; returns whether there is one left.
        clock: Returns the time.
        sleep: Waits for some seconds.

    Returns:
        Whether there is such an engine in time.
    """
    while True:
        pause_s = ASK_AGAIN_PAUSE_S * 2**request.resume_pauses
        points = request.resume_again_at = [
            point
            for point in request.resume_again_at
            if not fleet.is_leaving(point.upstream)
        ]
        if not points or clock() + pause_s >= until_s:
            return False
        request.resume_pauses += 1
        await sleep(pause_s)
        # One that limits its requests has no room for further ones.
        usable = (
            point
            for point in points
            if may_continue(
                request, fleet.upstreams.get(point.upstream), clock()
            )
            and fleet.limits.limit_per_s(point.upstream) is None
        )
        point = next(usable, None)
        if point is not None:
            points.remove(point)
            request.resume_later_at = [point]
            return reserve_retry()
