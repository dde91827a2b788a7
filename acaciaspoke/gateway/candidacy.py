"""Chooses the hosts that compete for the order lease."""

from collections.abc import Collection, Mapping

from acaciaspoke.ids import HostId
from acaciaspoke.util.rendezvous import rank_by_link

# Hosts that compete for the lease when nobody holds it.
LEASE_CANDIDATES = 3

# A holder without links sends no orders. Another host sends its first one some
# seconds after it was handed the lease, so that short cuts are waited out.
HAND_OVER_AFTER_S = 2.0


def should_compete(
    host: HostId,
    last_holder: HostId | None,
    links_mbps: Mapping[HostId, float],
    detached: Collection[HostId] = (),
) -> bool:
    """Returns whether a host should try to acquire a lease that nobody holds.

    The last holder always does: after an outage of the store it may send orders
    at once, another host only after the handover delay. Hosts that reach no
    upstream compete only if no other host does.

    Args:
        host: The host.
        last_holder: The holder in the row of the lease.
        links_mbps: The live hosts and the bandwidths of their links.
        detached: The hosts that reach no upstream, or stop.
    """
    candidates = {
        name: link_mbps
        for name, link_mbps in links_mbps.items()
        if name not in detached
    } or links_mbps
    return host in candidates and (
        host == last_holder
        or host in rank_by_link("lease", candidates, LEASE_CANDIDATES)
    )


def should_hand_over(cut_off_s: float, others_can_lead: bool) -> bool:
    """Returns whether the holder of the lease should release it.

    Args:
        cut_off_s: For how long it has had no links to upstreams.
        others_can_lead: Whether any other host has links and goes on.
    """
    return cut_off_s >= HAND_OVER_AFTER_S and others_can_lead
