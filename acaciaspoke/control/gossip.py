"""Which updates the next message piggybacks."""

import heapq
import math
from collections.abc import Hashable
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)

# SWIM needs a multiple of log(n) sends for an update to reach everyone with
# high probability; 4 is the multiple that covers 10% lost messages.
SENDS_PER_LOG_MEMBERS = 4


def sends_for(member_count: int) -> int:
    """Returns how often each update is sent among so many members."""
    return SENDS_PER_LOG_MEMBERS * math.ceil(math.log10(member_count + 2))


class Updates(Generic[KeyT]):
    """Keys of updates that are still to be sent, with the sends so far."""

    def __init__(self):
        self._sends: dict[KeyT, int] = {}

    def __len__(self) -> int:
        return len(self._sends)

    def add(self, key: KeyT) -> None:
        """Starts to send the update, from the beginning if it is known."""
        self._sends[key] = 0

    def take(self, limit: int, member_count: int) -> list[KeyT]:
        """Returns the updates for one message, those sent least first."""
        taken = self.first(limit)
        most = sends_for(member_count)
        for key in taken:
            self._sends[key] += 1
            if self._sends[key] >= most:
                del self._sends[key]
        return taken

    def first(self, limit: int) -> list[KeyT]:
        """Returns the updates sent least without counting this as sent."""
        return heapq.nsmallest(limit, self._sends, key=self._sends.get)

    def discard(self, key: KeyT) -> None:
        """Stops sending the update."""
        self._sends.pop(key, None)

    def sent_fewer_than(self, sends: int) -> bool:
        """Tells whether some update was sent fewer than ``sends`` times."""
        return any(count < sends for count in self._sends.values())
