"""What hosts tell each other about the prompt parts that engines hold.

All uses would be too many. A host reports the last shared part of a prompt, as
the parts before it are held too, and only if no host has reported it for the
same engine lately.
"""

import functools
import itertools
from collections import defaultdict
from collections.abc import Iterable, Mapping

import xxhash

from acaciaspoke.gateway.types import Artifact, HeldPart
from acaciaspoke.ids import UpstreamId

# Time until a part that is still used is reported again. Engines with 12 slots
# replace their cached parts in some 10 s.
REPORT_INTERVAL_S = 5.0

# Shared parts of fewer tokens in all save less than two milliseconds.
MIN_REPORTED_TOKENS = 64

# Each report is in the messages of this time, as some are lost.
REPEAT_S = 0.15

# Parts in a host's message, and in the sum of many. One takes 15 bytes and a
# share of the engine's name; the message must fit into a datagram.
MAX_REPORTS = 64
MAX_MERGED_REPORTS = 128


class PartReports:
    """The reports of one host that are being sent."""

    def __init__(self) -> None:
        self._sent_s: dict[tuple[UpstreamId, HeldPart], float] = {}

    def add(self, engine: UpstreamId, part: HeldPart, now_s: float) -> bool:
        """Adds a report; returns whether there is room for it."""
        if len(self._sent_s) >= MAX_REPORTS:
            self._drop_sent(now_s)
        if len(self._sent_s) >= MAX_REPORTS:
            return False
        self._sent_s[engine, part] = now_s
        return True

    def recent(self, now_s: float) -> dict[UpstreamId, tuple[HeldPart, ...]]:
        """Returns the reports to send now, by engine."""
        self._drop_sent(now_s)
        return _by_engine(self._sent_s)

    def _drop_sent(self, now_s: float) -> None:
        self._sent_s = {
            report: added_s
            for report, added_s in self._sent_s.items()
            if now_s - added_s <= REPEAT_S
        }


def merge_parts(
    reports: Iterable[Mapping[UpstreamId, Iterable[HeldPart]]],
) -> dict[UpstreamId, tuple[HeldPart, ...]]:
    """Returns the parts that any report has, up to ``MAX_MERGED_REPORTS``."""
    found = dict.fromkeys(
        (engine, part)
        for report in reports
        for engine, parts in report.items()
        for part in parts
    )
    return _by_engine(itertools.islice(found, MAX_MERGED_REPORTS))


def _by_engine(
    pairs: Iterable[tuple[UpstreamId, HeldPart]],
) -> dict[UpstreamId, tuple[HeldPart, ...]]:
    found: defaultdict[UpstreamId, list[HeldPart]] = defaultdict(list)
    for engine, part in pairs:
        found[engine].append(part)
    return {engine: tuple(parts) for engine, parts in found.items()}


@functools.lru_cache(maxsize=4096)
def artifact_hash(artifact: Artifact, started_ms: int) -> int:
    """Returns a hash of an artifact at one process of an engine (32 bits)."""
    return xxhash.xxh32_intdigest(f"{started_ms}\0{artifact}".encode())
