"""Which streams get a KV backup, and which engines may go on with them."""

from acaciaspoke.gateway.estimates import Estimates
from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.retry_budget import RetryBudget
from acaciaspoke.gateway.types import Configuration, Request
from acaciaspoke.gateway.upstream import Upstream

# Requests with a shorter mean time get no KV backup, as backups are charged by
# their size.
MIN_BACKED_UP_SERVICE_S = 0.5


def needs_backup(
    request: Request, configuration: Configuration | None, estimates: Estimates
) -> bool:
    """Returns whether a request that is sent now gets a KV backup."""
    # Idempotent requests can be sent again, and short ones are seldom
    # interrupted.
    if (
        configuration is None
        or request.artifact is None
        or request.route.idempotent
        or estimates.service_s(request) < MIN_BACKED_UP_SERVICE_S
    ):
        return False
    service = configuration.services.get(request.service)
    engine = service.engine if service else None
    return engine is not None and engine.kv_backup_retention_s > 0


def may_continue(
    request: Request, upstream: Upstream | None, now_s: float
) -> bool:
    """Returns whether the engine with the KV backup may get the request."""
    return (
        upstream is not None
        and not upstream.is_draining
        and now_s >= upstream.named_pause_until_s
        and request.version in (None, upstream.record.version)
    )


def may_move(request: Request, upstream: Upstream | None, now_s: float) -> bool:
    """Returns whether a run that still goes on may be moved to an engine.

    What the engine holds is known late; a run that has ended is worth a try.
    """
    return may_continue(request, upstream, now_s) and upstream.holds(
        request.artifact, now_s
    )


def usable_backup(
    request: Request, fleet: Fleet, budget: RetryBudget, now_s: float
) -> Upstream | None:
    """Returns the engine with the KV backup if it may get the request."""
    backup = request.backup_engine
    upstream = backup and fleet.upstreams.get(backup.upstream)
    has_retry = request.has_retry or budget.allows_retry(now_s)
    if not has_retry or not may_move(request, upstream, now_s):
        return None
    # At a brittle engine the request would wait for a place.
    has_place = fleet.places.free(now_s).get(backup.upstream) != 0
    return upstream if has_place else None
