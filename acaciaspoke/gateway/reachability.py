"""Which upstreams hosts can reach, by links and reports."""

from collections import Counter
from collections.abc import Mapping

from acaciaspoke.gateway.links import Links
from acaciaspoke.gateway.peerloads import PeerLoads
from acaciaspoke.gateway.upstream import Upstream
from acaciaspoke.ids import UpstreamId

# An upstream counts as unreachable for a host after this many consecutive
# failures, and for all hosts if this many hosts report it.
UNREACHABLE_FAILURES = 2
UNREACHABLE_REPORTERS = 2

# How long a response or a connection shows that an upstream is reachable.
REACHED_VALID_S = 1.0


class Reachability:
    """The upstreams that this host, or several hosts, cannot reach."""

    def __init__(
        self,
        upstreams: Mapping[UpstreamId, Upstream],
        peer_loads: PeerLoads,
        links: Links,
    ):
        """Creates an object without state of its own.

        Args:
            upstreams: The known upstreams.
            peer_loads: What other hosts report.
            links: The results of this host's connections.
        """
        self._upstreams = upstreams
        self._peer_loads = peer_loads
        self._links = links

    def local_unreachable(self, now_s: float) -> tuple[UpstreamId, ...]:
        """Returns the upstreams that this host cannot reach.

        If it reaches none, this says nothing of them.
        """
        if self._links.is_cut_off(now_s):
            return ()
        return tuple(
            name
            for name, upstream in self._upstreams.items()
            if upstream.failures >= UNREACHABLE_FAILURES
            and now_s < upstream.paused_until_s
        )

    def unreachable(self, now_s: float) -> set[UpstreamId]:
        """Returns the upstreams that several hosts report as unreachable.

        They are not if any host reaches them: the others have lost their links.
        """
        reported = self._reported(now_s)
        if not reported:
            return reported
        reached = set().union(
            *(digest.reached for digest in self._peer_loads.fresh(now_s))
        )
        return {
            name
            for name in reported - reached
            if not self._is_reached(name, now_s)
        }

    def _reported(self, now_s: float) -> set[UpstreamId]:
        reporters = Counter(self.local_unreachable(now_s))
        for digest in self._peer_loads.fresh(now_s):
            reporters.update(digest.unreachable)
        return {
            name
            for name, count in reporters.items()
            if count >= UNREACHABLE_REPORTERS
        }

    def _is_reached(self, name: UpstreamId, now_s: float) -> bool:
        upstream = self._upstreams.get(name)
        since_s = now_s - REACHED_VALID_S
        if not self._links.is_cut_off(now_s):
            since_s = max(since_s, self._links.failed_s(name))
        return upstream is not None and (
            upstream.received_s >= since_s
            or self._links.connected_since(name, since_s)
        )

    def reached(self, now_s: float) -> tuple[UpstreamId, ...]:
        """Returns the upstreams that this host reaches and others do not."""
        return tuple(
            name
            for name in sorted(self._reported(now_s))
            if self._is_reached(name, now_s)
        )

    def unconfirmed(self, now_s: float) -> set[UpstreamId]:
        """Returns upstreams that others report and this host has not tried."""
        return {
            name
            for name in self._reported(now_s) - self._links.lost(now_s)
            if name in self._upstreams and not self._is_reached(name, now_s)
        }
