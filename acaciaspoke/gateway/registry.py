"""Applies the records that upstreams register in the store to the fleet."""

from collections import Counter, OrderedDict

from loguru import logger

from acaciaspoke.gateway.fleet import MAX_LEAVING_UPSTREAMS, Fleet
from acaciaspoke.gateway.types import UpstreamRecord, UpstreamState
from acaciaspoke.ids import UpstreamId

# Records may have expired in an outage of the store if they are missing for
# more than MASS_LAPSE_SHARE of the known upstreams and for at least
# MIN_MASS_LAPSE, or if a call to the store failed within
# STORE_FAILURE_WINDOW_S. They are back within 2 s of its recovery (the
# platform's protocol, "Service discovery"). Until then the upstreams are kept,
# but only for LAPSE_GRACE_SHARE of the time for which a draining upstream may
# still get work.
MASS_LAPSE_SHARE = 0.3
MIN_MASS_LAPSE = 2
LAPSE_GRACE_SHARE = 0.7
STORE_FAILURE_WINDOW_S = 3.0

# The store removes a record after this many heartbeat intervals without a
# heartbeat (the platform's protocol, "Service discovery").
MAX_MISSED_HEARTBEATS = 3


class UpstreamRegistry:
    """Applies records and removals to a fleet.

    A store that was restored from a copy brings back older records, and records
    of upstreams that are gone, until the upstreams have written again.
    """

    def __init__(self, fleet: Fleet, drain_s: float, heartbeat_s: float = 1.2):
        """Creates a registry without any records.

        Args:
            fleet: The upstreams to update.
            drain_s: Time for which a draining upstream may still get work.
            heartbeat_s: Interval at which an upstream writes its record.
        """
        self._fleet = fleet
        self._lapse_grace_s = LAPSE_GRACE_SHARE * drain_s
        self._confirmation_s = (MAX_MISSED_HEARTBEATS + 1) * heartbeat_s
        self._removed: OrderedDict[UpstreamId, UpstreamRecord] = OrderedDict()
        # Records that may belong to upstreams that are gone, and since when
        # each has been known.
        self._unconfirmed: dict[UpstreamId, UpstreamRecord] = {}
        self._unconfirmed_since_s: dict[UpstreamId, float] = {}
        self._missing_since_s: dict[UpstreamId, float] = {}
        self._store_failed_s = float("-inf")
        self._is_copy_due = False

    def record_store_failure(self, now_s: float) -> None:
        """Records that a call to the store failed."""
        self._store_failed_s = now_s

    def record_restore(self) -> None:
        """Records that the store was restored from a copy.

        The records of the next whole table are those of the copy.
        """
        self._is_copy_due = True

    def put(self, record: UpstreamRecord, is_snapshot: bool = False) -> None:
        """Applies a new or changed record.

        Args:
            record: The record.
            is_snapshot: Whether it was read with the whole table.
        """
        known = self._fleet.upstreams.get(record.upstream)
        is_unconfirmed = record == self._unconfirmed.get(record.upstream)
        if is_snapshot and is_unconfirmed and not self._is_copy_due:
            return
        self._discard_unconfirmed(record.upstream)
        if is_snapshot and self._is_copy_due and self._may_be_outdated(record):
            logger.info("a record of {} may be outdated", record.upstream)
            self._unconfirmed[record.upstream] = record
            return
        self._missing_since_s.pop(record.upstream, None)
        if known and _is_older(record, known.record):
            logger.info("an older record of {} is ignored", record.upstream)
        else:
            self._apply(record)

    def _may_be_outdated(self, record: UpstreamRecord) -> bool:
        """Returns whether a copy's record may be that of a removed upstream.

        So may be that of an earlier process, and one that is no newer than the
        record whose removal is known.
        """
        known = self._fleet.upstreams.get(record.upstream)
        if known and record.upstream not in self._missing_since_s:
            return record.started_ms < known.record.started_ms
        removed = known.record if known else self._removed.get(record.upstream)
        return removed is not None and not _is_newer(record, removed)

    def _apply(self, record: UpstreamRecord) -> None:
        known = self._fleet.upstreams.get(record.upstream)
        self._removed.pop(record.upstream, None)
        self._fleet.put(record)
        known_state = known.record.state if known else None
        if known is None or known_state is not record.state:
            logger.info(
                "upstream {} is {}",
                record.upstream,
                record.state.value,
                service=record.service,
                address=record.address,
                version=record.version,
            )

    def remove(self, upstream: UpstreamId, now_s: float) -> None:
        """Applies the removal of a record."""
        self._discard_unconfirmed(upstream)
        known = self._fleet.upstreams.get(upstream)
        if known is None:
            return
        if known.record.state is UpstreamState.DRAINING:
            self._drop(upstream, "left")
            return
        self._missing_since_s.setdefault(upstream, now_s)

    def retain(self, present: set[UpstreamId], now_s: float) -> None:
        """Removes all upstreams but those that have records."""
        is_copy, self._is_copy_due = self._is_copy_due, False
        for upstream in {*self._fleet.upstreams, *self._unconfirmed} - present:
            self.remove(upstream, now_s)
        if is_copy:
            self._use_lapsed_services()

    def drop_lapsed(self, now_s: float) -> None:
        """Drops upstreams whose missing records are not expected to return.

        Also uses those whose records the store would have removed by now if
        the upstreams were gone.
        """
        self._use_confirmed(now_s)
        if not self._missing_since_s:
            return
        is_mass_lapse = len(self._missing_since_s) > max(
            MIN_MASS_LAPSE - 1, MASS_LAPSE_SHARE * len(self._fleet.upstreams)
        )
        may_return = (
            is_mass_lapse
            or now_s - self._store_failed_s < STORE_FAILURE_WINDOW_S
        )
        for upstream, since_s in list(self._missing_since_s.items()):
            if not may_return or now_s - since_s >= self._lapse_grace_s:
                self._drop(upstream, "gone")

    def _use_lapsed_services(self) -> None:
        """Uses the copy's records of services without any other upstream.

        A whole service that was removed has lapsed rather than left, and
        nothing else could run its requests until the records are confirmed.
        """
        served = {
            upstream.record.service
            for name, upstream in self._fleet.upstreams.items()
            if name not in self._missing_since_s
        }
        unconfirmed = Counter(
            record.service for record in self._unconfirmed.values()
        )
        for upstream, record in list(self._unconfirmed.items()):
            is_lapse = unconfirmed[record.service] >= MIN_MASS_LAPSE
            if is_lapse and record.service not in served:
                self._discard_unconfirmed(upstream)
                self._missing_since_s.pop(upstream, None)
                self._apply(record)

    def _use_confirmed(self, now_s: float) -> None:
        for upstream, record in list(self._unconfirmed.items()):
            since_s = self._unconfirmed_since_s.setdefault(upstream, now_s)
            # A removal cannot be seen while calls to the store fail.
            since_s = max(since_s, self._store_failed_s)
            if now_s - since_s >= self._confirmation_s:
                self._discard_unconfirmed(upstream)
                self._apply(record)

    def _discard_unconfirmed(self, upstream: UpstreamId) -> None:
        self._unconfirmed.pop(upstream, None)
        self._unconfirmed_since_s.pop(upstream, None)

    def _drop(self, upstream: UpstreamId, state: str) -> None:
        self._missing_since_s.pop(upstream, None)
        self._removed[upstream] = self._fleet.upstreams[upstream].record
        if len(self._removed) > MAX_LEAVING_UPSTREAMS:
            self._removed.popitem(last=False)
        self._fleet.remove(upstream)
        logger.info("upstream {} is {}", upstream, state)


def _is_older(record: UpstreamRecord, known: UpstreamRecord) -> bool:
    """Returns whether a record was written before another of its process."""
    if record.started_ms != known.started_ms:
        return False
    return 0 < record.heartbeat < known.heartbeat


def _is_newer(record: UpstreamRecord, known: UpstreamRecord) -> bool:
    """Returns whether a record is of a later heartbeat or a later process."""
    return (record.started_ms, record.heartbeat) > (
        known.started_ms,
        known.heartbeat,
    )
