"""Places of one host at brittle upstreams, and the requests that need them."""

from collections import Counter
from collections.abc import Callable, Mapping

import msgspec

from acaciaspoke.gateway.brittle_upstreams import BrittleUpstreams
from acaciaspoke.gateway.place_allocation import (
    GRANT_VALID_S,
    Places,
    PlaceUse,
)
from acaciaspoke.gateway.upstream import Upstream
from acaciaspoke.ids import ServiceId, UpstreamId

# A service that has just become brittle gets requests as before until the first
# grant, at most for this time.
UNGRANTED_S = 1.0


class _Grant(msgspec.Struct):
    """The last grant for a service; times are those of this host."""

    epoch: int
    number: int
    places: Places
    until_s: float
    share: float
    is_scarce: bool


class HostPlaces:
    """The places of one host, by upstream.

    Attributes:
        on_needed: Called when the first request waits for a place.
    """

    def __init__(self, brittle: BrittleUpstreams):
        """Creates an object without places.

        Args:
            brittle: Knows the brittle services.
        """
        self.on_needed: Callable[[], None] = lambda: None
        self._brittle = brittle
        self._grants: dict[ServiceId, _Grant] = {}
        self._waiting: dict[UpstreamId, Counter[int]] = {}

    def copy(self) -> "HostPlaces":
        """Returns a copy without waiting requests, which asks nobody."""
        copied = HostPlaces(self._brittle)
        copied._grants = self._grants.copy()
        return copied

    # Used by the dispatcher.

    def begin_round(self) -> None:
        """Forgets which requests wait for places; they are counted anew."""
        self._waiting.clear()

    def free(self, now_s: float) -> Places:
        """Returns how many requests each brittle upstream may get now."""
        brittle = self._brittle.services()
        if not brittle:
            return {}
        free: Places = {}
        for name, upstream in self._brittle.upstreams().items():
            allowed = self.allowed(upstream, brittle, now_s)
            if allowed is not None:
                free[name] = max(0, allowed - upstream.local_load)
        return free

    def allowed(
        self,
        upstream: Upstream,
        brittle: Mapping[ServiceId, float],
        now_s: float,
    ) -> int | None:
        """Returns this host's places at an upstream.

        Args:
            upstream: The upstream.
            brittle: Since when services have been brittle.
            now_s: The current time.

        Returns:
            The places; None if it needs none.
        """
        service = upstream.record.service
        if service not in brittle:
            return None
        grant = self._grants.get(service)
        if grant is None and now_s - brittle[service] <= UNGRANTED_S:
            return None
        if grant is None or now_s >= grant.until_s:
            return 0
        return grant.places.get(upstream.record.upstream, 0)

    def expected(self, upstream: Upstream) -> float:
        """Returns the places that this host can count on in the long run."""
        grant = self._grants.get(upstream.record.service)
        return upstream.record.slots * (grant.share if grant else 1.0)

    def need(self, upstream: UpstreamId, priority: int) -> None:
        """Counts a request that waits for a place."""
        is_first = not self._waiting
        self._waiting.setdefault(upstream, Counter())[priority] += 1
        if is_first:
            self.on_needed()

    # Used by the exchange with the owners of rooms.

    def waiting(self, service: ServiceId) -> dict[UpstreamId, Counter[int]]:
        """Returns the requests that wait for places, by priority."""
        return {
            name: self._waiting[name]
            for name, upstream in self._brittle.upstreams().items()
            if upstream.record.service == service and name in self._waiting
        }

    def applied(self, service: ServiceId) -> tuple[int, int]:
        """Returns epoch and number of the last grant that was applied."""
        grant = self._grants.get(service)
        return (grant.epoch, grant.number) if grant else (0, 0)

    def apply(
        self,
        service: ServiceId,
        epoch: int,
        number: int,
        places: Places,
        reported_s: float,
        share: float = 1.0,
        is_scarce: bool = False,
    ) -> bool:
        """Applies a grant; returns whether any upstream's places are fewer.

        Args:
            service: The service of the upstreams.
            epoch: The owner's allocation.
            number: The number of the grant there.
            places: This host's places.
            reported_s: When this host sent the report that it answers. Places
                lapse by this, however late the grant is read.
            share: The part of the room that this host can count on.
            is_scarce: Whether to return places that this host does not use.
        """
        known = self._grants.get(service)
        if known and known.epoch == epoch and known.number >= number:
            return False
        until_s = reported_s + GRANT_VALID_S
        self._grants[service] = _Grant(
            epoch, number, places, until_s, share, is_scarce
        )
        return known is None or any(
            places.get(name, 0) < count for name, count in known.places.items()
        )

    def is_scarce(self, service: ServiceId) -> bool:
        """Returns whether other hosts need places that are not used here."""
        grant = self._grants.get(service)
        return grant is not None and grant.is_scarce

    def return_unused(self, service: ServiceId) -> None:
        """Gives up unused places if there are few for each host."""
        if not self.is_scarce(service):
            return
        grant = self._grants[service]
        upstreams = self._brittle.upstreams()
        grant.places = {
            name: count
            if name in self._waiting or name not in upstreams
            else min(count, upstreams[name].local_load)
            for name, count in grant.places.items()
        }

    def keep_only(self, services: Mapping[ServiceId, float]) -> None:
        """Forgets the places at upstreams of other services."""
        for service in self._grants.keys() - services.keys():
            del self._grants[service]

    def uses(
        self,
        service: ServiceId,
        running: Mapping[UpstreamId, Counter[int]],
        now_s: float,
    ) -> dict[UpstreamId, PlaceUse]:
        """Returns what to report of a service's upstreams.

        Args:
            service: The service.
            running: This host's running requests, by priority.
            now_s: The current time.
        """
        brittle = self._brittle.services()
        waiting = self.waiting(service)
        found: dict[UpstreamId, PlaceUse] = {}
        for name, upstream in self._brittle.upstreams().items():
            if upstream.record.service != service:
                continue
            wanted = Counter(running.get(name, {}))
            wanted.update(waiting.get(name, {}))
            use = PlaceUse(
                in_flight=upstream.local_load,
                allowed=self.allowed(upstream, brittle, now_s) or 0,
                wanted=dict(wanted),
                refusals=upstream.refusals,
                failures=upstream.broken,
                responses=upstream.responses,
            )
            if use != PlaceUse():
                found[name] = use
        return found
