"""Queue of updates to piggyback on messages."""

import heapq
import math
from collections.abc import Hashable
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)

# SWIM needs a multiple of log(n) sends for an update to reach all members with
# high probability; a multiple of 4 covers a message loss of 10%.
SENDS_PER_LOG_MEMBERS = 4


def sends_for(member_count: int) -> int:
    """Returns how many times each update is sent."""
    return SENDS_PER_LOG_MEMBERS * math.ceil(math.log10(member_count + 2))


class UpdateQueue(Generic[KeyT]):
    """Keys of updates that are still to be sent, with their send counts."""

    def __init__(self):
        self._sends: dict[KeyT, int] = {}

    def __len__(self) -> int:
        return len(self._sends)

    def add(self, key: KeyT) -> None:
        """Queues an update; resets its send count if it is queued already."""
        self._sends[key] = 0

    def next_batch(self, limit: int, member_count: int) -> list[KeyT]:
        """Returns the least-sent updates and counts them as sent."""
        batch = self.peek(limit)
        max_sends = sends_for(member_count)
        for key in batch:
            self._sends[key] += 1
            if self._sends[key] >= max_sends:
                del self._sends[key]
        return batch

    def peek(self, limit: int) -> list[KeyT]:
        """Returns the least-sent updates without counting them as sent."""
        return heapq.nsmallest(limit, self._sends, key=self._sends.get)

    def discard(self, key: KeyT) -> None:
        """Removes an update from the queue."""
        self._sends.pop(key, None)

    def sent_fewer_than(self, sends: int) -> bool:
        """Returns whether some update was sent fewer than ``sends`` times."""
        return any(count < sends for count in self._sends.values())
