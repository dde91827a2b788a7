"""What a host knows of the leader from its notices."""

from loguru import logger

from acaciaspoke.gateway.messages import PlacementNotice
from acaciaspoke.ids import HostId

# A host may compete for the lease if no placement notice came for this time.
LEADER_TIMEOUT_S = 0.8


class KnownLeader:
    """The host of the last accepted notice.

    Attributes:
        host: The leader; None before the first notice.
    """

    def __init__(self) -> None:
        self.host: HostId | None = None
        self._epoch = 0
        self._last_seen_s = float("-inf")

    def observe(self, notice: PlacementNotice, now_s: float) -> bool:
        """Records a notice; returns False for one of an earlier epoch."""
        if notice.epoch < self._epoch:
            return False
        if notice.host != self.host:
            logger.info("host {} is the leader", notice.host)
        self.host = notice.host
        self._epoch = notice.epoch
        self._last_seen_s = now_s
        return True

    def is_silent(self, now_s: float) -> bool:
        """Returns whether no notice has come lately."""
        return now_s - self._last_seen_s >= LEADER_TIMEOUT_S
