"""Which upstreams this host can connect to.

A connection that is not established may be due to the upstream or to this
host's own links. The connections of requests do not tell them apart, as they
fail at the upstreams of a service that is down, while those to others are
reused. The links are taken to be lost if no connection of a check is
established, which are opened to several upstreams at the same time: this host
then says nothing of upstreams, and other hosts serve its requests.

Only new connections count: established ones may stay open while new ones fail.
"""

from collections.abc import Callable, Collection, Set

from acaciaspoke.ids import UpstreamId

# Upstreams to which a check must fail to connect; with fewer, all of them.
MIN_LOST_LINKS = 6

# A failure that was not seen again for this time no longer counts.
LOSS_VALID_S = 3.0


class Links:
    """The results of this host's latest connections to upstreams.

    Attributes:
        received_s: When anything was last received from any upstream.
        intact_s: When the latest connection began that was established.
        checked_s: When the latest check began that found an upstream.
    """

    def __init__(
        self,
        on_regained: Callable[[UpstreamId, float], None] = lambda *_: None,
    ) -> None:
        """Creates an object without results.

        Args:
            on_regained: Called with an upstream whose latest connection had
                failed, and with when the one began that was established.
        """
        self._on_regained = on_regained
        self.received_s = float("-inf")
        self.intact_s = float("-inf")
        self.checked_s = float("-inf")
        self._cut_off_s: float | None = None
        self._failed_s: dict[UpstreamId, float] = {}
        self._connected_s: dict[UpstreamId, float] = {}
        self._upstreams: Set[UpstreamId] = frozenset()

    def set_upstreams(self, upstreams: Set[UpstreamId]) -> None:
        """Sets the known upstreams; forgets others."""
        if upstreams == self._upstreams:
            return
        self._upstreams = frozenset(upstreams)
        for results in (self._failed_s, self._connected_s):
            for upstream in results.keys() - upstreams:
                del results[upstream]

    def record_connected(self, upstream: UpstreamId, now_s: float) -> None:
        """Records a new connection that was established.

        Args:
            upstream: The upstream.
            now_s: When the connection began; a failure since then counts.
        """
        if self._failed_s.get(upstream, float("-inf")) > now_s:
            return
        # An attempt records its connection at its end, after later ones.
        self._connected_s[upstream] = max(
            now_s, self._connected_s.get(upstream, now_s)
        )
        was_lost = self._failed_s.pop(upstream, None) is not None
        self.intact_s = max(self.intact_s, now_s)
        if self._cut_off_s is not None and now_s >= self._cut_off_s:
            self._cut_off_s = None
        if was_lost:
            self._on_regained(upstream, now_s)

    def record_failed(self, upstream: UpstreamId, now_s: float) -> None:
        """Records a connection that was not established."""
        self._failed_s[upstream] = now_s

    def record_check(
        self, upstreams: Collection[UpstreamId], began_s: float, now_s: float
    ) -> None:
        """Judges the links by connections that were opened together.

        Args:
            upstreams: Where they were opened to; their results are recorded.
            began_s: When the check began.
            now_s: When it ended.
        """
        if any(self.connected_since(name, began_s) for name in upstreams):
            self.checked_s, self._cut_off_s = began_s, None
        elif (
            len(upstreams) >= max(1, min(MIN_LOST_LINKS, len(self._upstreams)))
            and self._cut_off_s is None
        ):
            self._cut_off_s = now_s

    def connected_since(self, upstream: UpstreamId, since_s: float) -> bool:
        """Returns whether a connection was established since a time."""
        connected_s = self._connected_s.get(upstream)
        return connected_s is not None and connected_s >= since_s

    def failed_s(self, upstream: UpstreamId) -> float:
        """Returns when the latest connection failed; it was not made since."""
        return self._failed_s.get(upstream, float("-inf"))

    def lost(self, now_s: float) -> set[UpstreamId]:
        """Returns the upstreams to which the latest connection failed."""
        return {
            upstream
            for upstream, failed_s in self._failed_s.items()
            if now_s - failed_s <= LOSS_VALID_S
        }

    def is_cut_off(self, now_s: float) -> bool:
        """Returns whether this host has lost its links to the upstreams."""
        return self._cut_off_s is not None and bool(self.lost(now_s))

    def cut_off_s(self, now_s: float) -> float:
        """Returns for how long this host has known that its links are lost."""
        if self._cut_off_s is None or not self.is_cut_off(now_s):
            return 0.0
        return now_s - self._cut_off_s
