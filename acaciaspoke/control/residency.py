"""Tracks how long artifacts have been resident, and which are missing."""

from collections.abc import Mapping

from acaciaspoke.control.reservations import LineState, Reservation
from acaciaspoke.ids import ArtifactName, UpstreamId
from acaciaspoke.net.records import EngineReport

# An artifact is missing after this many reports in a row without it, as the
# first reports after a load may have been made before it took effect.
MISSING_AFTER_REPORTS = 3

Replica = tuple[UpstreamId, ArtifactName]


class Residency:
    """The residence times and missing artifacts in one term of a lease.

    Ages start at zero in each term, so the minimum residence in evictions
    counts from the start of the term.
    """

    def __init__(self):
        self._since_s: dict[Replica, float] = {}
        self._reports_without: dict[Replica, int] = {}
        self._sequences: dict[UpstreamId, tuple[str, int]] = {}

    def update(
        self,
        reservations: Mapping[UpstreamId, Reservation],
        reports: Mapping[UpstreamId, EngineReport],
        now_s: float,
    ) -> None:
        """Updates from the rows and the newest reports."""
        present = {
            (upstream_id, line.artifact.name)
            for upstream_id, reservation in reservations.items()
            for line in reservation.lines
            if line.state is LineState.RESIDENT
        }
        self._since_s = {
            replica: self._since_s.get(replica, now_s) for replica in present
        }
        for upstream_id, report in reports.items():
            reservation = reservations.get(upstream_id)
            seen = (report.boot_id, report.sequence)
            is_new = self._sequences.get(upstream_id) != seen
            if reservation is None or not is_new:
                continue
            if report.boot_id == reservation.boot_id:
                self._sequences[upstream_id] = seen
                self._count(reservation, report)
        self._reports_without = {
            replica: count
            for replica, count in self._reports_without.items()
            if replica in present
        }

    def ages_s(self, now_s: float) -> dict[Replica, float]:
        """Returns how long each artifact has been resident."""
        return {
            replica: now_s - since_s
            for replica, since_s in self._since_s.items()
        }

    def missing(self) -> frozenset[Replica]:
        """Returns the resident lines that reports no longer list."""
        return frozenset(
            replica
            for replica, count in self._reports_without.items()
            if count >= MISSING_AFTER_REPORTS
        )

    def _count(self, reservation: Reservation, report: EngineReport) -> None:
        shown = {(item.name, item.version) for item in report.resident}
        for line in reservation.lines:
            artifact = line.artifact
            replica = (reservation.upstream, artifact.name)
            if line.state is not LineState.RESIDENT:
                continue
            if (artifact.name, artifact.version) in shown:
                self._reports_without.pop(replica, None)
            else:
                self._reports_without[replica] = (
                    self._reports_without.get(replica, 0) + 1
                )
