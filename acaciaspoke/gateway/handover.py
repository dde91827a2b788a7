"""Decides when a new holder of the lease may send its first order.

Orders of two hosts must be apart by a time that the platform requires, also
after the leader was suspended, cut off, restarted or stopped.
"""

from acaciaspoke.control.lease import LeaseTiming
from acaciaspoke.gateway.orders import ORDER_TIMEOUT_S
from acaciaspoke.ids import HostId

# An unreachable leader is replaced after this time plus the handover delay that
# the platform requires between two lease holders.
LEASE_S = 1.6
LEASE_TIMING = LeaseTiming(
    renew_s=0.4, retry_s=0.3, read_s=0.4, slow_read_s=2.0, takeover_jitter_s=0.2
)

# The leader sends no order in the last part of its lease, which shortens the
# handover delay of its successor by that time: the successor acquires the lease
# LEASE_S after the last renewal at the earliest, and the leader counts on a
# renewal for nine tenths of LEASE_S.
NO_ORDERS_S = 0.54
ORDER_PERIOD_S = 0.9 * LEASE_S - NO_ORDERS_S

# Added to the handover delay, as an order that was sent just before may still
# arrive.
HANDOVER_MARGIN_S = ORDER_TIMEOUT_S


def handover_delay_s(
    silence_s: float,
    host: HostId,
    former_holder: HostId | None,
    former_renewals: int,
    is_row_outdated: bool = False,
) -> float:
    """Returns how long a new holder of the lease must send no orders.

    Args:
        silence_s: Time without orders that the platform requires between the
            orders of two hosts.
        host: The new holder.
        former_holder: The holder before; None if it released the lease.
        former_renewals: How often that holder had renewed the lease.
        is_row_outdated: Whether the store was restored from a copy since the
            row of the lease was written, so that another host may have held it.
    """
    delay_s = silence_s + HANDOVER_MARGIN_S
    if is_row_outdated:
        # A renewal just before the restore may be unknown, and counts on.
        return delay_s + ORDER_PERIOD_S
    if former_holder is None:
        # It may have sent its last order just before.
        return delay_s
    if former_holder == host:
        # An earlier process of this host, or this one before the lease lapsed,
        # may itself have had to wait for another host. It held the lease for at
        # least the time between its renewals.
        held_s = former_renewals * LEASE_TIMING.retry_s
        return max(0.0, delay_s - held_s)
    return delay_s - (LEASE_S - ORDER_PERIOD_S)
