"""The memory of runs that an engine keeps, besides that of its own runs.

A backup grows with its run, and lapses some time after its last part. A copy
that was ordered holds a slot until it is used, freed or has lapsed. An engine
also keeps the memory of runs that it was ordered to stop. All of it has the
name that ``Kv-From`` gives it, and can be used once. A copy that was ordered
prints a line when it is complete, and one when its slot is free again:

    copied NAME ID ENGINE SECONDS
    released NAME used|freed|lapsed ENGINE SECONDS
"""

import time
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

# How long a backup is kept after its last part (``handle_s``).
RETENTION_S = 5.0

# How long other memory is kept; a copy lapses when ``handle_s`` is well
# exceeded.
LAPSE_S = 2 * RETENTION_S


class Release(Enum):
    """Why an engine does not keep a copy any more."""

    USED = "used"
    FREED = "freed"
    LAPSED = "lapsed"


class _Copy(NamedTuple):
    made: int
    expiry_s: float
    holds_slot: bool


class KvCopies:
    """The memory that an engine keeps.

    Args:
        engine: Name of the engine.
        log: Takes the lines.
        clock: Returns the time.
    """

    def __init__(
        self,
        engine: str,
        log: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self._engine = engine
        self._log = log
        self._clock = clock
        self._copies: dict[str, _Copy] = {}

    def __contains__(self, name: str) -> bool:
        self.remove_lapsed()
        return name in self._copies

    @property
    def held_slots(self) -> int:
        """The slots that copies hold."""
        self.remove_lapsed()
        return sum(copy.holds_slot for copy in self._copies.values())

    def keep_backup(self, name: str, made: int) -> None:
        """Keeps the next part of a backup, of a run with so many events."""
        self._keep(name, made, RETENTION_S, holds_slot=False)

    def keep_stopped(self, name: str, made: int) -> None:
        """Keeps the memory of a run that was stopped here."""
        self._keep(name, made, LAPSE_S, holds_slot=False)

    def keep_ordered(self, name: str, request_id: str, made: int) -> None:
        """Keeps a copy that was ordered, or what is new in it."""
        is_new = name not in self
        self._keep(name, made, LAPSE_S, holds_slot=True)
        if is_new:
            self._log(f"copied {name} {request_id} {self._stamp()}")

    def _keep(
        self, name: str, made: int, retention_s: float, *, holds_slot: bool
    ) -> None:
        expiry_s = self._clock() + retention_s
        self._copies[name] = _Copy(made, expiry_s, holds_slot)

    def take(self, name: str) -> int | None:
        """Returns the events of a run and drops its memory; None without it."""
        self.remove_lapsed()
        copy = self._copies.get(name)
        self._remove(name, Release.USED)
        return copy and copy.made

    def free(self, handle: str) -> None:
        """Drops what has a handle, which is the last part of its name."""
        for name in list(self._copies):
            if name.rpartition("/")[2] == handle:
                self._remove(name, Release.FREED)

    def remove_lapsed(self) -> None:
        """Drops what has lapsed."""
        now_s = self._clock()
        for name, copy in list(self._copies.items()):
            if now_s >= copy.expiry_s:
                self._remove(name, Release.LAPSED)

    def _remove(self, name: str, release: Release) -> None:
        copy = self._copies.pop(name, None)
        if copy is not None and copy.holds_slot:
            self._log(f"released {name} {release.value} {self._stamp()}")

    def _stamp(self) -> str:
        return f"{self._engine} {self._clock():.3f}"
