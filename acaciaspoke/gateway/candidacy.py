"""Decides which hosts compete for the lease on orders."""

from collections.abc import Mapping

from acaciaspoke.ids import HostId
from acaciaspoke.util.rendezvous import rank_by_link

# Hosts that compete for the lease when nobody holds it.
LEASE_CANDIDATES = 3


def competes(
    own: HostId, last_holder: HostId | None, links_mbps: Mapping[HostId, float]
) -> bool:
    """Tells whether a host should try to take a lease that nobody holds.

    The last holder always does: after an outage of the store it may give orders
    at once, another one only after the silence between two holders.

    Args:
        own: The host.
        last_holder: The holder that the row of the lease names.
        links_mbps: The live hosts, with what their links carry.
    """
    return own == last_holder or own in rank_by_link(
        "lease", links_mbps, LEASE_CANDIDATES
    )
