"""Knows which services are brittle.

A process of a brittle upstream ends if it has to refuse more than a few
requests in a second for want of room. Its responses say so. All upstreams of a
service become brittle together, so that a response of one counts for all.
"""

from collections.abc import Callable, Mapping

from acaciaspoke.gateway.upstream import Upstream
from acaciaspoke.gateway.upstream_limits import UpstreamLimits
from acaciaspoke.ids import ServiceId, UpstreamId


class BrittleUpstreams:
    """The brittle services of a fleet.

    Attributes:
        named: The refusals a second that each upstream survives, by what it
            says. It is named and ends as a limit is.
    """

    def __init__(
        self,
        upstreams: Mapping[UpstreamId, Upstream],
        get_started_ms: Callable[[UpstreamId], int | None],
    ):
        """Creates an object that knows no brittle service.

        Args:
            upstreams: The upstreams of the fleet.
            get_started_ms: Returns the start of an upstream's process by its
                record; None if it is not known.
        """
        self.named = UpstreamLimits(get_started_ms)
        self._upstreams = upstreams

    def services(self) -> dict[ServiceId, float]:
        """Returns since when each service has been brittle."""
        since_s: dict[ServiceId, float] = {}
        for name in self.named.limited():
            service = self._upstreams[name].record.service
            named_s = self.named.limited_since_s(name)
            since_s[service] = min(named_s, since_s.get(service, named_s))
        return since_s

    def upstreams(self) -> dict[UpstreamId, Upstream]:
        """Returns the upstreams of all brittle services."""
        services = self.services()
        if not services:
            return {}
        return {
            name: upstream
            for name, upstream in self._upstreams.items()
            if upstream.record.service in services
        }
