"""Tells whether a host's configuration may lack a workspace or an API key."""

# A configuration that was confirmed within this time may be relied on. A newer
# one has to be in force everywhere 3,000 ms after it was written, so until then
# a host that lacks it may say so. The 200 ms above that are for the calls of a
# host without others: an idle one is answered after 3,000 ms.
MAX_CONFIRMED_AGE_S = 3.2


# For this time after its start a host that knows of others waits to learn the
# version of one of them: the store may have been restored from an old copy.
DISCOVERY_S = 1.5


def is_discovering(
    age_s: float, registered: int, has_heard_version: bool
) -> bool:
    """Returns whether a host has yet to learn which version others have.

    Args:
        age_s: Time since the start of its process.
        registered: Number of hosts that have a row, with this one; 0 before the
            hosts' table was read.
        has_heard_version: Whether another host has told its version.
    """
    return age_s < DISCOVERY_S and not has_heard_version and registered != 1


def may_be_outdated(
    local_version: int, newest_version: int, confirmed_age_s: float
) -> bool:
    """Returns whether there may be a newer configuration than this host's.

    Args:
        local_version: The version in force at this host.
        newest_version: The newest version that any host has reported.
        confirmed_age_s: Time since the store, or another host with the same
            version, has shown that there was no newer one.
    """
    return (
        newest_version > local_version or confirmed_age_s > MAX_CONFIRMED_AGE_S
    )
