"""Follows how long artifacts have been resident, and which have vanished."""

from collections.abc import Mapping

from acaciaspoke.control.reservations import LineState, Reservation
from acaciaspoke.ids import ArtifactName, UpstreamId
from acaciaspoke.net.records import EngineReport

# The first reports after a load may have been made before it took effect. An
# artifact is missing only after this many reports in a row without it.
REPORTS_WITHOUT = 3

Copy = tuple[UpstreamId, ArtifactName]


class Residency:
    """What a lease holder has seen of resident artifacts over time.

    A new lease holder starts with ages of zero: the minimum residence of
    placement then counts from the take-over.
    """

    def __init__(self):
        self._since_s: dict[Copy, float] = {}
        self._reports_without: dict[Copy, int] = {}
        self._sequences: dict[UpstreamId, tuple[str, int]] = {}

    def update(
        self,
        reservations: Mapping[UpstreamId, Reservation],
        reports: Mapping[UpstreamId, EngineReport],
        now_s: float,
    ) -> None:
        """Takes the rows and the latest reports into account."""
        present = {
            (upstream_id, line.artifact.name)
            for upstream_id, reservation in reservations.items()
            for line in reservation.lines
            if line.state is LineState.RESIDENT
        }
        self._since_s = {
            copy: self._since_s.get(copy, now_s) for copy in present
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
            copy: count
            for copy, count in self._reports_without.items()
            if copy in present
        }

    def ages_s(self, now_s: float) -> dict[Copy, float]:
        """Returns for how long each artifact has been resident."""
        return {
            copy: now_s - since_s for copy, since_s in self._since_s.items()
        }

    def missing(self) -> frozenset[Copy]:
        """Returns the resident lines that reports no longer show."""
        return frozenset(
            copy
            for copy, count in self._reports_without.items()
            if count >= REPORTS_WITHOUT
        )

    def _count(self, reservation: Reservation, report: EngineReport) -> None:
        shown = {(item.name, item.version) for item in report.resident}
        for line in reservation.lines:
            artifact = line.artifact
            copy = (reservation.upstream, artifact.name)
            if line.state is not LineState.RESIDENT:
                continue
            if (artifact.name, artifact.version) in shown:
                self._reports_without.pop(copy, None)
            else:
                self._reports_without[copy] = (
                    self._reports_without.get(copy, 0) + 1
                )
