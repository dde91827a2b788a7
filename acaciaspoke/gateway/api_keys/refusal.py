"""Refuses requests whose API key no workspace has."""

from acaciaspoke.gateway.api_keys.digest import fingerprint
from acaciaspoke.gateway.failures import Failure, FailureType

# A host that lags behind others gets their configuration within a second;
# others know it already.
RETRY_AFTER_S = 0.5


def refuse(key: bytes, is_outdated: bool) -> Failure:
    """Returns the answer to a request whose API key is missing or unknown.

    Callers do not retry after status 401, so a host whose configuration may
    lack the key answers 503.

    Args:
        key: The key; empty if there is none.
        is_outdated: Whether there may be a newer configuration.
    """
    reason = "the request has no API key"
    if key:
        reason = (
            f"no workspace has the API key with fingerprint {fingerprint(key)}"
        )
    if is_outdated:
        return Failure(
            FailureType.NOT_READY,
            f"{reason}, and the configuration of this host may be outdated",
            retry_after_s=RETRY_AFTER_S,
        )
    return Failure(FailureType.UNAUTHENTICATED, reason)
