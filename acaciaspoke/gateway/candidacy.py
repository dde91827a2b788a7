"""Chooses the hosts that compete for the order lease."""

from collections.abc import Mapping

from acaciaspoke.ids import HostId
from acaciaspoke.util.rendezvous import rank_by_link

# Hosts that compete for the lease when nobody holds it.
LEASE_CANDIDATES = 3


def should_compete(
    host: HostId, last_holder: HostId | None, links_mbps: Mapping[HostId, float]
) -> bool:
    """Returns whether a host should try to acquire a lease that nobody holds.

    The last holder always does: after an outage of the store it may send orders
    at once, another host only after the handover delay.

    Args:
        host: The host.
        last_holder: The holder in the row of the lease.
        links_mbps: The live hosts and the bandwidths of their links.
    """
    return host == last_holder or host in rank_by_link(
        "lease", links_mbps, LEASE_CANDIDATES
    )
