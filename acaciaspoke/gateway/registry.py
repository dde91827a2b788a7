"""Applies the records that upstreams register in the store to the fleet."""

from loguru import logger

from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.types import UpstreamRecord, UpstreamState
from acaciaspoke.ids import UpstreamId

# Records may have expired in an outage of the store if they are missing for
# more than MASS_LAPSE_SHARE of the known upstreams (at least two), or if a call
# to the store failed within STORE_FAILURE_WINDOW_S. They are back within 2 s of
# its recovery (the platform's protocol, "Service discovery"). Until then the
# upstreams are kept, but only for LAPSE_GRACE_SHARE of the time for which a
# draining upstream may still get work.
MASS_LAPSE_SHARE = 0.3
LAPSE_GRACE_SHARE = 0.7
STORE_FAILURE_WINDOW_S = 3.0


class UpstreamRegistry:
    """Applies records and removals to a fleet."""

    def __init__(self, fleet: Fleet, drain_s: float):
        """Creates a registry without any records.

        Args:
            fleet: The upstreams to update.
            drain_s: Time for which a draining upstream may still get work.
        """
        self._fleet = fleet
        self._lapse_grace_s = LAPSE_GRACE_SHARE * drain_s
        self._missing_since_s: dict[UpstreamId, float] = {}
        self._store_failed_s = float("-inf")

    def record_store_failure(self, now_s: float) -> None:
        """Records that a call to the store failed."""
        self._store_failed_s = now_s

    def put(self, record: UpstreamRecord) -> None:
        """Applies a new or changed record."""
        known = self._fleet.upstreams.get(record.upstream)
        self._missing_since_s.pop(record.upstream, None)
        self._fleet.put(record)
        known_state = known.record.state if known else None
        if known is None or known_state is not record.state:
            logger.info(
                "upstream {} is {}",
                record.upstream,
                record.state.value,
                service=record.service,
                address=record.address,
            )

    def remove(self, upstream: UpstreamId, now_s: float) -> None:
        """Applies the removal of a record."""
        known = self._fleet.upstreams.get(upstream)
        if known is None:
            return
        if known.record.state is UpstreamState.DRAINING:
            self._drop(upstream, "left")
            return
        self._missing_since_s.setdefault(upstream, now_s)

    def retain(self, present: set[UpstreamId], now_s: float) -> None:
        """Removes all upstreams but those that have records."""
        for upstream in set(self._fleet.upstreams) - present:
            self.remove(upstream, now_s)

    def drop_lapsed(self, now_s: float) -> None:
        """Drops upstreams whose missing records are not expected to return."""
        if not self._missing_since_s:
            return
        is_mass_lapse = len(self._missing_since_s) > max(
            1, MASS_LAPSE_SHARE * len(self._fleet.upstreams)
        )
        may_return = (
            is_mass_lapse
            or now_s - self._store_failed_s < STORE_FAILURE_WINDOW_S
        )
        for upstream, since_s in list(self._missing_since_s.items()):
            if not may_return or now_s - since_s >= self._lapse_grace_s:
                self._drop(upstream, "gone")

    def _drop(self, upstream: UpstreamId, state: str) -> None:
        self._missing_since_s.pop(upstream, None)
        self._fleet.remove(upstream)
        logger.info("upstream {} is {}", upstream, state)
