"""Rows of the configuration log and their application."""

import itertools
from collections.abc import Iterable

import msgspec

from acaciaspoke.config.errors import ConfigLogError
from acaciaspoke.config.patch import apply_committed
from acaciaspoke.config.schema import Config
from acaciaspoke.ids import ConfigVersion
from acaciaspoke.net.messages import ConfigPush
from acaciaspoke.net.records import PatchRow


class LogRow(PatchRow, frozen=True, kw_only=True):
    """A patch as stored in the log.

    Attributes:
        committed_at_s: Unix time by the clock of the committing host; for
            display only.
    """

    committed_at_s: float = 0.0


def advance(config: Config, rows: Iterable[PatchRow]) -> Config:
    """Applies the rows that follow ``config`` without a gap.

    Rows that are older, repeated or after a gap are ignored, so the version
    never decreases.

    Raises:
        ConfigLogError: If the result is not a configuration.
    """
    by_version = {row.version: row.merge_patch for row in rows}
    versions = itertools.takewhile(
        by_version.__contains__, itertools.count(config.version + 1)
    )
    patches = [by_version[version] for version in versions]
    if not patches:
        return config
    version = ConfigVersion(config.version + len(patches))
    try:
        return apply_committed(config, version, patches)
    except msgspec.DecodeError as error:
        # A newer release may have accepted fields unknown to this one.
        problem = f"cannot apply the log up to version {version}: {error}"
        raise ConfigLogError(problem) from error


def apply_pushed(config: Config, push: ConfigPush) -> Config:
    """Returns the configuration in force after a push; never an older one.

    Raises:
        msgspec.ValidationError: If the push holds no configuration.
    """
    if push.snapshot:
        snapshot = msgspec.json.decode(push.snapshot, type=Config)
        if snapshot.version > config.version:
            config = snapshot
    return advance(config, push.patches)


def apply_row(config: Config, row: PatchRow) -> Config:
    """Returns the version that one committed patch creates.

    Raises:
        ConfigLogError: If the patch does not apply to the configuration.
    """
    try:
        return advance(config, [row])
    except msgspec.MsgspecError as error:
        raise ConfigLogError(f"patch {row.version}: {error}") from error
