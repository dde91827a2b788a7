"""Errors of the configuration log."""

from acaciaspoke.errors import AcaciaspokeError
from acaciaspoke.ids import ConfigVersion


class ConfigError(AcaciaspokeError):
    """Base class of the errors of the configuration log."""


class ConfigUnavailable(ConfigError):  # noqa: N818 - as TableUnavailable
    """The log is unavailable; nothing was committed."""


class ConfigOutcomeUnknown(ConfigError):  # noqa: N818 - as OutcomeUnknown
    """The patch may have been committed; retry it with the same id."""


class ConfigConflict(ConfigError):  # noqa: N818 - as Conflict
    """The patch is based on a version that is not the current one.

    Attributes:
        current: The current version.
    """

    def __init__(self, current: ConfigVersion):
        super().__init__(f"the current version is {current}")
        self.current = current


class UnknownVersion(ConfigError):  # noqa: N818 - reads as a statement
    """There is no such version."""


class ConfigLogError(ConfigError):
    """The log is inconsistent, or contradicts the cached version."""
