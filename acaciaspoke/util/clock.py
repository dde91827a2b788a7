"""The clock for the leases of gateways."""

import time


def boot_time_s() -> float:
    """Returns a monotonic time that includes time while suspended.

    By a clock that stops while the host is suspended, an expired lease would
    still appear held.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
