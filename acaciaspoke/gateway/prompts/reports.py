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

# Each report is in this many messages, as some are lost.
REPEATS = 2

# Parts in a host's message, and in the sum of many. One takes 15 bytes and a
# share of the engine's name; the message must fit into a datagram.
MAX_REPORTS = 64
MAX_MERGED_REPORTS = 128


class PartReports:
    """The reports of one host that are being sent."""

    def __init__(self) -> None:
        # How many messages have still to contain each report.
        self._remaining: dict[tuple[UpstreamId, HeldPart], int] = {}

    def add(self, engine: UpstreamId, part: HeldPart) -> bool:
        """Adds a report; returns whether there is room for it."""
        if len(self._remaining) >= MAX_REPORTS:
            return False
        self._remaining[engine, part] = REPEATS
        return True

    def take(self) -> dict[UpstreamId, tuple[HeldPart, ...]]:
        """Returns the reports for the next message, by engine."""
        reports = _by_engine(self._remaining)
        self._remaining = {
            report: remaining - 1
            for report, remaining in self._remaining.items()
            if remaining > 1
        }
        return reports


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
