"""How many requests all hosts together may have at a brittle upstream."""

import math

# After a refusal the room grows by one request in this time.
REGROWTH_S = 2.0

# After a fall the room doubles in this time, from a share of the slots.
DOUBLING_S = 0.25
START_SHARE = 1 / 3
MIN_START = 2

# Failures count together if they were reported within this time.
FAILURES_WITHIN_S = 1.0


class UpstreamRoom:
    """The room of one upstream, by its slots and by what it refuses.

    Requests above the slots would wait there, and brittle upstreams let hardly
    any wait.
    """

    def __init__(self, slots: int, now_s: float):
        """Creates a room of the upstream's slots.

        Args:
            slots: Requests that the upstream runs at once.
            now_s: The current time.
        """
        self._slots = max(1, slots)
        self._most = float(self._slots)
        self._changed_s = now_s
        self._failed_s: dict[str, float] = {}
        self._has_fallen = False
        self._is_starting = False

    def get(self, now_s: float) -> int:
        """Returns the requests that it takes now."""
        elapsed_s = max(0.0, now_s - self._changed_s)
        most = self._most
        if self._is_starting:
            most *= 2 ** math.floor(elapsed_s / DOUBLING_S)
        elif not self._has_fallen:
            most += math.floor(elapsed_s / REGROWTH_S)
        return int(min(most, self._slots))

    def set_slots(self, slots: int) -> None:
        """Applies the slots that its record names."""
        slots = max(1, slots)
        if slots != self._slots:
            self._most = float(slots)
            self._slots = slots

    def record_refusals(self, refusals: int, now_s: float) -> None:
        """Records requests that it refused for want of room."""
        self._most = max(1.0, float(self.get(now_s) - refusals))
        self._changed_s = now_s
        self._is_starting = False

    def record_failure(self, host: str, holders: int, now_s: float) -> None:
        """Records that connections of a host failed or broke.

        One host may have lost its links; a fall is seen by most hosts.

        Args:
            host: The host.
            holders: The number of hosts that have places there.
            now_s: The current time.
        """
        self._failed_s[host] = now_s
        self._failed_s = {
            name: failed_s
            for name, failed_s in self._failed_s.items()
            if now_s - failed_s <= FAILURES_WITHIN_S
        }
        if 2 * len(self._failed_s) >= holders:
            self._has_fallen, self._is_starting = True, False
            self._most = max(MIN_START, math.floor(self._slots * START_SHARE))
            self._changed_s = now_s

    def record_response(self, now_s: float) -> None:
        """Records that a host got a response."""
        if self._has_fallen:
            self._has_fallen, self._is_starting = False, True
            self._changed_s = now_s
            self._failed_s.clear()
