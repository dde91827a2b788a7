"""Where a stream goes on whose run at an engine has ended."""

from loguru import logger

from acaciaspoke.gateway.attempt_runner import run_of
from acaciaspoke.gateway.decisions import Assignment
from acaciaspoke.gateway.takeover import resume_points
from acaciaspoke.gateway.types import BackupEngine, Request
from acaciaspoke.platform.engine import RunStop, StopOutcome


def plan_resumption(assignment: Assignment, stop: RunStop) -> None:
    """Sets where a request can go on whose run has ended."""
    request = assignment.request
    points = resume_points(run_of(assignment), stop)
    is_first_stop = request.backup_engine is not None
    if is_first_stop or stop.outcome is StopOutcome.STOPPED:
        request.resume_later_at = points
    request.stopped_at = None
    if is_first_stop and len(points) > 1:
        source = assignment.upstream, assignment.address
        request.stopped_at = BackupEngine(*source)
    request.backup_engine = None


def resume_next(request: Request) -> bool:
    """Chooses the next engine that can go on; returns whether one can."""
    if not request.resume_later_at:
        return False
    request.resume_at, *request.resume_later_at = request.resume_later_at
    if not request.resume_later_at:
        request.stopped_at = None
    logger.info(
        "goes on at {} with its memory",
        request.resume_at.upstream,
        request_id=request.id,
        memory=request.resume_at.memory,
    )
    return True
