"""Isolates and blocks requests that crash the upstreams that run them.

When an upstream crashes, the fingerprint of every request in flight on it
becomes a suspect. An upstream runs at most one suspect at a time. A fingerprint
is blocked after two crashes as the sole suspect, or after three crashes of any
kind.

Bound: a request that crashes every upstream that runs it takes down at most
``MAX_CRASHES + E - 1`` upstreams of a failure domain with E entry processes
until its suspicion expires. The bound rests on two rules. An entry process runs
duplicates of a fingerprint on one upstream at a time (see routing.py). After a
crash, it holds the fingerprint until the other entry processes have received
the suspicion (``Verdict.HELD`` until ``end_hold``). Once the first
``MAX_CRASHES`` crashes are known everywhere, the fingerprint is blocked
everywhere. By then the process that reported the last of them runs no
duplicate, and each of the E - 1 others has duplicates on at most one upstream,
whose crash is still to be detected or received. A process that receives nothing
within ``HOLD_LIMIT_S`` because of a network partition counts as a failure
domain of its own. A success voids earlier crashes, so that a frequent harmless
request is not blocked by chance; the bound then applies anew.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

from acaciaspoke.ids import BootId, Fingerprint
from acaciaspoke.net.records import Suspicion

MAX_SOLE_CRASHES = 2
MAX_CRASHES = 3
EXPIRY_S = 600.0

# Limits a hold, as the control process may be down.
HOLD_LIMIT_S = 2.0


class Verdict(Enum):
    """How requests of a fingerprint may be dispatched."""

    CLEAN = "clean"
    SUSPECT = "suspect"
    HELD = "held"
    BLOCKED = "blocked"


class _Crash(msgspec.Struct, frozen=True):
    """A crash, with its time by the clock of this process."""

    sole: bool
    at_s: float


class _Record(msgspec.Struct):
    """The crash record of a fingerprint.

    Attributes:
        crashes: Crashes, by the boot of the upstream that crashed.
        voided: Crashes that a later success has cleared, by boot.
    """

    crashes: dict[str, _Crash] = {}
    voided: dict[str, _Crash] = {}

    def active_crashes(self) -> list[_Crash]:
        return [c for b, c in self.crashes.items() if b not in self.voided]

    def changed_s(self) -> float:
        both = (*self.crashes.values(), *self.voided.values())
        return max((c.at_s for c in both), default=float("-inf"))


class CrashSuspects:
    """The suspicions known to one process, as a state-based CRDT.

    A record only grows until it expires as a whole. A merge takes the union of
    the crashes, the conjunction of ``sole`` and the earlier of two times, so
    it is idempotent and independent of order.
    """

    def __init__(self):
        self._records: dict[Fingerprint, _Record] = {}
        self._held_until_s: dict[Fingerprint, float] = {}

    def verdict(self, fingerprint: Fingerprint, now_s: float) -> Verdict:
        """Returns how a request may be dispatched now."""
        record = self._records.get(fingerprint)
        if record is None or _expired(record, now_s):
            return Verdict.CLEAN
        active_crashes = record.active_crashes()
        sole = sum(1 for crash in active_crashes if crash.sole)
        if sole >= MAX_SOLE_CRASHES or len(active_crashes) >= MAX_CRASHES:
            return Verdict.BLOCKED
        if now_s < self._held_until_s.get(fingerprint, now_s):
            return Verdict.HELD
        return Verdict.SUSPECT if active_crashes else Verdict.CLEAN

    def record_crash(
        self,
        boot_id: BootId,
        in_flight: Iterable[tuple[Fingerprint, bool]],
        now_s: float,
    ) -> tuple[Suspicion, ...]:
        """Records a crash; returns the suspicions to share.

        The fingerprints are held until ``end_hold`` is called for them.

        Args:
            boot_id: The boot of the upstream that crashed.
            in_flight: Fingerprints of the requests in flight on it, each with
                whether it was sent as a suspect.
            now_s: The time.
        """
        sent_as_suspect = dict[Fingerprint, bool]()
        for fingerprint, suspect in in_flight:
            sent_as_suspect[fingerprint] = (
                sent_as_suspect.get(fingerprint, False) or suspect
            )
        sole = sum(sent_as_suspect.values()) == 1
        for fingerprint, suspect in sent_as_suspect.items():
            crashes = {boot_id: _Crash(suspect and sole, now_s)}
            self._merge(fingerprint, _Record(crashes=crashes), now_s)
            self._held_until_s[fingerprint] = now_s + HOLD_LIMIT_S
        return self.suspicions(now_s, sent_as_suspect)

    def end_hold(self, fingerprints: Iterable[Fingerprint]) -> None:
        """Ends the hold once other processes have the suspicions."""
        for fingerprint in fingerprints:
            self._held_until_s.pop(fingerprint, None)

    def record_success(
        self, fingerprint: Fingerprint, now_s: float
    ) -> tuple[Suspicion, ...]:
        """Clears a fingerprint after a success; returns what to share."""
        record = self._records.get(fingerprint)
        if record is None or not record.active_crashes():
            return ()
        voided = {
            boot: _Crash(crash.sole, now_s)
            for boot, crash in record.crashes.items()
        }
        self._merge(fingerprint, _Record(voided=voided), now_s)
        return self.suspicions(now_s, (fingerprint,))

    def merge(self, suspicions: Iterable[Suspicion], now_s: float) -> None:
        """Merges suspicions from other processes."""
        for suspicion in suspicions:
            if suspicion.age_s >= EXPIRY_S:
                continue
            at_s = now_s - suspicion.age_s
            crashes = {
                boot: _Crash(sole, at_s)
                for boot, sole in suspicion.crashes.items()
            }
            voided = {
                boot: _Crash(suspicion.crashes.get(boot, False), at_s)
                for boot in suspicion.voided
            }
            self._merge(suspicion.fingerprint, _Record(crashes, voided), now_s)

    def suspicions(
        self, now_s: float, fingerprints: Iterable[Fingerprint] | None = None
    ) -> tuple[Suspicion, ...]:
        """Returns the suspicions of all or of the given fingerprints."""
        if fingerprints is None:
            fingerprints = tuple(self._records)
        return tuple(
            Suspicion(
                fingerprint=fingerprint,
                crashes={
                    boot: crash.sole
                    for boot, crash in sorted(record.crashes.items())
                },
                voided=tuple(sorted(record.voided)),
                age_s=now_s - record.changed_s(),
            )
            for fingerprint in fingerprints
            if (record := self._records.get(fingerprint)) is not None
        )

    def expire(self, now_s: float) -> None:
        """Removes records without a change for ``EXPIRY_S``."""
        for fingerprint, record in list(self._records.items()):
            if _expired(record, now_s):
                del self._records[fingerprint]
                self._held_until_s.pop(fingerprint, None)

    def _merge(
        self, fingerprint: Fingerprint, other: _Record, now_s: float
    ) -> None:
        record = self._records.get(fingerprint)
        if record is None or _expired(record, now_s):
            record = self._records[fingerprint] = _Record()
        _union(record.crashes, other.crashes)
        _union(record.voided, other.voided)


def merge_suspicions(known: Suspicion | None, received: Suspicion) -> Suspicion:
    """Merges two suspicions of one fingerprint; the order does not matter.

    The age of the result is that of the later change.
    """
    if known is None:
        return received
    boots = sorted(known.crashes.keys() | received.crashes.keys())
    return Suspicion(
        fingerprint=known.fingerprint,
        crashes={
            boot: known.crashes.get(boot, True)
            and received.crashes.get(boot, True)
            for boot in boots
        },
        voided=tuple(sorted({*known.voided, *received.voided})),
        age_s=min(known.age_s, received.age_s),
    )


def _union(into: dict[str, _Crash], other: dict[str, _Crash]) -> None:
    for boot, crash in other.items():
        known = into.get(boot, crash)
        into[boot] = _Crash(
            known.sole and crash.sole, min(known.at_s, crash.at_s)
        )


def _expired(record: _Record, now_s: float) -> bool:
    return now_s - record.changed_s() >= EXPIRY_S
