"""Errors of leases."""

from acaciaspoke.errors import AcaciaspokeError


class LeaseError(AcaciaspokeError):
    """Base class of lease errors."""


class LeaseNotHeldError(LeaseError):
    """This process does not hold the lease, or the lease has expired."""
