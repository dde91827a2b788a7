"""Collects the loads of all upstreams for one round of decisions."""

from acaciaspoke.gateway.balance import Loads
from acaciaspoke.gateway.fleet import Fleet


def current_loads(fleet: Fleet, has_workspaces: bool, now_s: float) -> Loads:
    """Returns the loads of the upstreams at a time.

    Args:
        fleet: The upstreams.
        has_workspaces: Whether the configuration has workspaces.
        now_s: The current time.
    """
    slowdowns, mean_slowdowns = fleet.slowdowns.relative_factors(now_s)
    return Loads(
        fleet.loads(now_s),
        fleet.prefill_tokens(now_s),
        fleet.slow(now_s),
        fleet.speed,
        fleet.limits.limited().keys(),
        fleet.places.free(now_s),
        slowdowns,
        mean_slowdowns,
        bool(slowdowns) or has_workspaces,
        fleet.holdings,
        now_s,
        fleet.links.lost(now_s),
    )
