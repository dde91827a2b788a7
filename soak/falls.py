"""Checks how often brittle workers fell over."""

from soak.deployment import BrittleTime

# Falls in one time, and for each worker of the service.
MAX_FALLS = 2
MAX_FALLS_SHARE = 0.1


def describe(period: BrittleTime, workers: int) -> str:
    """Returns how many workers fell over."""
    return f"{len(period.falls)} falls of {workers} brittle workers"


def has_too_many(period: BrittleTime, workers: int) -> bool:
    """Returns whether gateways made too many workers fall over."""
    return len(period.falls) > MAX_FALLS + MAX_FALLS_SHARE * workers
