"""Finds and blocks prompt parts that crash the engines that run them.

Requests may share a prompt part that crashes each engine that begins to answer
one of them, while no two of these requests are alike. Each host records for the
parts of its requests at which engines they were lost before their first event,
and when a request with the part last began. The first event of a request clears
its parts, whatever it shares them with: the requests that run beside a crash
share most of their parts with others that begin elsewhere, while no request
with the harmful part ever begins. The last part of a prompt belongs to its
request or session and is not recorded.

Requests are also lost if a host loses its links to the engines. So crashes
count at their host at once, and are reported when they are confirmed.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from acaciaspoke.ids import HostId, PartId, UpstreamId

# Crashed engines after which a part is blocked. One that has begun lately is
# more likely to have been beside several crashes than to cause them.
MAX_CRASHES = 3
MAX_CRASHES_IF_BEGUN = 5

# How long crashes count, and requests that have begun.
CRASH_RETENTION_S = 600.0
BEGUN_RETENTION_S = 30.0

# How long a part is blocked after the last crash. Then some requests test it,
# and each further crash doubles the time.
FIRST_BLOCK_S = 60.0

# The same for a part that has begun lately. If all engines crash at once, no
# request is left that could clear the part.
FIRST_BLOCK_IF_BEGUN_S = 2.0

# Enough for a block to outlast the crashes.
MAX_DOUBLINGS = 10

# Parts with fewer crashes than block them are reported for this time.
REPORTED_S = 30.0

# Begun requests are remembered for this many parts.
MAX_BEGUN_PARTS = 8192

# Parts in one message; those with most crashes are preferred.
MAX_REPORTED_PARTS = 32


class PartEvidence(msgspec.Struct, frozen=True, array_like=True):
    """What one or more hosts know of a part.

    Attributes:
        crash_ages_s: Time since each engine crashed with an unstarted request,
            by the hash of the engine's process.
        begun_age_s: Time since a request with the part last began; None if
            none has lately.
        depth: The number of parts before it in the prompts.
    """

    crash_ages_s: dict[int, float] = {}
    begun_age_s: float | None = None
    depth: int = 0


EvidenceByPart = Mapping[PartId, PartEvidence]


def merge_evidence(
    reports: Iterable[tuple[EvidenceByPart, float]],
) -> dict[PartId, PartEvidence]:
    """Merges reports of several hosts.

    Args:
        reports: The evidence of each host, and the time since it was received.
    """
    merged: dict[PartId, PartEvidence] = {}
    for evidence_by_part, delay_s in reports:
        for part, evidence in evidence_by_part.items():
            aged = _age(evidence, delay_s)
            known = merged.get(part)
            merged[part] = _merge(known, aged) if known else aged
    return merged


def _age(evidence: PartEvidence, delay_s: float) -> PartEvidence:
    begun_age_s = evidence.begun_age_s
    return PartEvidence(
        {
            crash: age_s + delay_s
            for crash, age_s in evidence.crash_ages_s.items()
        },
        None if begun_age_s is None else begun_age_s + delay_s,
        evidence.depth,
    )


def _merge(first: PartEvidence, second: PartEvidence) -> PartEvidence:
    """Merges evidence; the first report of a crash is nearest to its time."""
    crash_ages_s = dict(first.crash_ages_s)
    for crash, age_s in second.crash_ages_s.items():
        crash_ages_s[crash] = max(age_s, crash_ages_s.get(crash, age_s))
    begun_ages_s = [
        age_s
        for age_s in (first.begun_age_s, second.begun_age_s)
        if age_s is not None
    ]
    return PartEvidence(
        crash_ages_s,
        min(begun_ages_s, default=None),
        max(first.depth, second.depth),
    )


def blocked_parts(evidence_by_part: EvidenceByPart) -> set[PartId]:
    """Returns the parts whose requests must not be sent for now.

    A crash that a blocked part explains does not count against others. Of parts
    that were lost in the same crashes, the most specific one explains them.
    """
    crashes = {
        part: _active_crashes(evidence)
        for part, evidence in evidence_by_part.items()
    }
    blocked: set[PartId] = set()
    explained: set[int] = set()
    for part in sorted(
        crashes,
        key=lambda part: (len(crashes[part]), evidence_by_part[part].depth),
        reverse=True,
    ):
        ages_s = [
            age_s
            for crash, age_s in crashes[part].items()
            if crash not in explained
        ]
        if _is_blocked(ages_s, _has_begun(evidence_by_part[part])):
            blocked.add(part)
            explained |= crashes[part].keys()
    return blocked


def _has_begun(evidence: PartEvidence) -> bool:
    begun_age_s = evidence.begun_age_s
    return begun_age_s is not None and begun_age_s <= BEGUN_RETENTION_S


def _active_crashes(evidence: PartEvidence) -> dict[int, float]:
    """Returns the ages of crashes since a request with the part last began."""
    begun_age_s = evidence.begun_age_s
    return {
        crash: age_s
        for crash, age_s in evidence.crash_ages_s.items()
        if age_s <= CRASH_RETENTION_S
        and (begun_age_s is None or age_s < begun_age_s)
    }


def _is_blocked(crash_ages_s: list[float], has_begun: bool) -> bool:
    limit = MAX_CRASHES_IF_BEGUN if has_begun else MAX_CRASHES
    first_s = FIRST_BLOCK_IF_BEGUN_S if has_begun else FIRST_BLOCK_S
    excess = len(crash_ages_s) - limit
    block_s = first_s * 2 ** min(excess, MAX_DOUBLINGS)
    return excess >= 0 and min(crash_ages_s) < block_s


class PartSuspects:
    """The evidence of this host and of others."""

    def __init__(self) -> None:
        self._crashed_s: dict[PartId, dict[int, float]] = {}
        self._depths: dict[PartId, int] = {}
        # Crashes that are not confirmed, by part and crash.
        self._unconfirmed_s: dict[tuple[PartId, int], float] = {}
        self._begun_s: OrderedDict[PartId, float] = OrderedDict()
        self._remote: dict[HostId, tuple[EvidenceByPart, float]] = {}

    def record_crash(
        self,
        parts: Iterable[PartId],
        engine: UpstreamId,
        started_ms: int,
        now_s: float,
        is_confirmed: bool = True,
    ) -> None:
        """Records that an engine closed the connection of a request.

        Args:
            parts: The shared parts of the request, which had not begun.
            engine: The engine.
            started_ms: The start of its process.
            now_s: The time.
            is_confirmed: Whether the request was not lost with this host's
                links.
        """
        process = f"{engine}\0{started_ms}"
        crash = xxhash.xxh32_intdigest(process.encode())
        for depth, part in enumerate(parts):
            crashed_s = self._crashed_s.setdefault(part, {})
            if crash not in crashed_s and not is_confirmed:
                self._unconfirmed_s[part, crash] = now_s
            crashed_s.setdefault(crash, now_s)
            self._depths[part] = depth

    def confirm(self, until_s: float) -> None:
        """Confirms the crashes that were recorded up to a time."""
        self._unconfirmed_s = {
            key: at_s
            for key, at_s in self._unconfirmed_s.items()
            if at_s > until_s
        }

    def drop_unconfirmed(self) -> None:
        """Drops the crashes that were lost links of this host."""
        for part, crash in self._unconfirmed_s:
            crashed_s = self._crashed_s.get(part, {})
            crashed_s.pop(crash, None)
            if not crashed_s:
                self._crashed_s.pop(part, None)
        self._unconfirmed_s.clear()

    def record_begun(self, parts: Iterable[PartId], now_s: float) -> None:
        """Records the first event of a request with these shared parts."""
        for part in parts:
            self._begun_s[part] = now_s
            self._begun_s.move_to_end(part)
            self._crashed_s.pop(part, None)
        while len(self._begun_s) > MAX_BEGUN_PARTS:
            self._begun_s.popitem(last=False)

    def apply_evidence(
        self, host: HostId, evidence: EvidenceByPart, now_s: float
    ) -> None:
        """Updates the evidence of another host, or of all others."""
        if not evidence:
            self._remote.pop(host, None)
            return
        self._remote[host] = (evidence, now_s)
        for part in evidence:
            self._settle(part, now_s)

    def _settle(self, part: PartId, now_s: float) -> None:
        """Keeps the crashes of a part that are enough to block it.

        So they are still known when the hosts that saw them have restarted.
        Crashes before a request that has begun at another host are dropped.
        """
        evidence = self.evidence_of(part, now_s)
        active = _active_crashes(evidence)
        if len(active) >= MAX_CRASHES:
            self._depths.setdefault(part, evidence.depth)
            for crash, age_s in active.items():
                crashed_s = self._crashed_s.setdefault(part, {})
                crashed_s.setdefault(crash, now_s - age_s)
        elif not active:
            self._crashed_s.pop(part, None)

    def blocked_part(
        self, parts: Iterable[PartId], now_s: float
    ) -> PartId | None:
        """Returns a part because of which a request must not be sent now."""
        if not self._crashed_s and not self._remote:
            return None
        suspected = self._locally_suspected()
        for evidence, _ in self._remote.values():
            suspected |= evidence.keys()
        if suspected.isdisjoint(parts):
            return None
        blocked = blocked_parts(
            {part: self.evidence_of(part, now_s) for part in suspected}
        )
        return next((part for part in parts if part in blocked), None)

    def evidence_of(self, part: PartId, now_s: float) -> PartEvidence:
        """Returns what this host and others know of a part."""
        reports = [({part: self._local_evidence(part, now_s)}, 0.0)]
        reports.extend(
            ({part: evidence[part]}, now_s - received_s)
            for evidence, received_s in self._remote.values()
            if part in evidence
        )
        return merge_evidence(reports)[part]

    def local_evidence(self, now_s: float) -> dict[PartId, PartEvidence]:
        """Returns this host's evidence of suspected parts; drops old crashes.

        Besides the parts that it suspects itself, these are parts that others
        suspect and of which it knows that a request has begun.
        """
        self._drop_old(now_s)
        suspected = self._locally_suspected()
        for evidence, _ in self._remote.values():
            suspected.update(part for part in evidence if part in self._begun_s)
        evidence_by_part = {
            part: self._confirmed(part, self._local_evidence(part, now_s))
            for part in suspected
        }
        return most_suspected(
            {
                part: evidence
                for part, evidence in evidence_by_part.items()
                if (evidence.crash_ages_s or evidence.begun_age_s is not None)
                and _is_reported(evidence)
            }
        )

    def _confirmed(self, part: PartId, evidence: PartEvidence) -> PartEvidence:
        """Returns the evidence without crashes that are not confirmed."""
        if not self._unconfirmed_s:
            return evidence
        return msgspec.structs.replace(
            evidence,
            crash_ages_s={
                crash: age_s
                for crash, age_s in evidence.crash_ages_s.items()
                if (part, crash) not in self._unconfirmed_s
            },
        )

    def _locally_suspected(self) -> set[PartId]:
        """Returns the parts that have not begun here since their last crash."""
        return {
            part
            for part, crashed_s in self._crashed_s.items()
            if max(crashed_s.values()) > self._begun_s.get(part, float("-inf"))
        }

    def _local_evidence(self, part: PartId, now_s: float) -> PartEvidence:
        crashed_s = self._crashed_s.get(part, {})
        begun_s = self._begun_s.get(part)
        return PartEvidence(
            {crash: now_s - at_s for crash, at_s in crashed_s.items()},
            None if begun_s is None else now_s - begun_s,
            self._depths.get(part, 0),
        )

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - BEGUN_RETENTION_S
        oldest_crash_s = now_s - CRASH_RETENTION_S
        while self._begun_s and next(iter(self._begun_s.values())) < oldest_s:
            self._begun_s.popitem(last=False)
        recent = {
            part: {
                crash: at_s
                for crash, at_s in crashed_s.items()
                if at_s >= oldest_crash_s
            }
            for part, crashed_s in self._crashed_s.items()
        }
        self._crashed_s = {
            part: crashed_s for part, crashed_s in recent.items() if crashed_s
        }
        self._depths = {
            part: depth
            for part, depth in self._depths.items()
            if part in self._crashed_s
        }
        self._remote = {
            host: (evidence, received_s)
            for host, (evidence, received_s) in self._remote.items()
            if received_s >= oldest_s
        }


def _is_reported(evidence: PartEvidence) -> bool:
    """Returns whether other hosts should know the evidence."""
    ages_s = evidence.crash_ages_s.values()
    return len(ages_s) >= MAX_CRASHES or min(ages_s, default=0.0) <= REPORTED_S


def most_suspected(evidence: EvidenceByPart) -> dict[PartId, PartEvidence]:
    """Returns the evidence of the parts with most crashes."""
    parts = sorted(evidence, key=lambda part: -len(evidence[part].crash_ages_s))
    return {part: evidence[part] for part in parts[:MAX_REPORTED_PARTS]}
