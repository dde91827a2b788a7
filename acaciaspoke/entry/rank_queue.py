"""The queue of one rank, divided by kind of work and artifact."""

import heapq
import math
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from acaciaspoke.config.schema import Rank
from acaciaspoke.entry.request import Request

# A kind may hold up to this many times the free space of its rank's queue. One
# kind alone can then fill 3/4 of the queue, and new kinds are still admitted.
KIND_FREE_SPACE_FACTOR = 3.0

# A kind is flooding while it has more waiting requests than this share of its
# rank's queue limit.
FLOOD_SHARE = 1 / 64

# Callers choose the names of kinds. Names beyond this number share one kind, so
# that a caller with a new name per request does not gain a share for each.
MAX_KINDS = 32
OTHER_KIND = ""

# Time constant of the dispatch rate, and the least backlogged time from which
# the rate is estimated.
RATE_WINDOW_S = 5.0
MIN_BACKLOGGED_S = 0.25


class RefusalReason(Enum):
    """Why a request was not admitted."""

    QUEUE_FULL = "queue_full"
    KIND_FULL = "kind_full"
    DEADLINE = "deadline"


class Urgency(NamedTuple):
    """The dispatch priority of a request.

    Attributes:
        level: The level of its rank; the most urgent level while the rank's
            floor is due, as limits and engines that prefer urgent work would
            otherwise defeat the floor.
        flooding: Whether its kind has a long backlog. The concurrency limits
            then leave their reserve to other kinds.
    """

    level: int
    flooding: bool


class QueueEntry:
    """A queued request; after its removal, stale items stay in the heaps."""

    __slots__ = ("item", "kind", "request", "subqueue")

    def __init__(self, request: Request, kind: "_Kind", subqueue: "_SubQueue"):
        self.request = request
        self.kind = kind
        self.subqueue = subqueue
        self.item: HeapItem | None = None

    @property
    def waiting(self) -> bool:
        """Whether the request is still in the queue."""
        return self.item is not None


class HeapItem(NamedTuple):
    """A heap item; the unique sequence prevents comparison of entries.

    Attributes:
        late: Whether the request can no longer meet its rank's target. Requests
            that can meet it go first: otherwise even a slight overload of a
            kind makes all its requests wait until shortly before their
            deadlines, and none meets the target.
    """

    late: bool
    deadline_s: float
    sequence: int
    entry: QueueEntry


def push_timed(heap: list, timed: tuple[float, HeapItem], waiting: int) -> None:
    """Pushes an item onto a heap by time; removes stale items if too many."""
    if len(heap) > 2 * waiting + 64:
        # Items of removed requests would stay until their time is reached.
        heap[:] = [t for t in heap if t[1].entry.waiting]
        heapq.heapify(heap)
    heapq.heappush(heap, timed)


class _SubQueue:
    """The requests of one kind for one artifact, as a heap."""

    __slots__ = ("heap", "key", "waiting")

    def __init__(self, key: tuple):
        self.key = key
        self.heap: list[HeapItem] = []
        self.waiting = 0

    def head(self) -> HeapItem | None:
        while self.heap and self.heap[0].entry.item is not self.heap[0]:
            heapq.heappop(self.heap)
        return self.heap[0] if self.heap else None


class _Kind:
    """The requests of one kind of work.

    Attributes:
        heads: Heap of the first item of each sub-queue, and stale items.
        virtual_start: Virtual start time of the next request (fair queueing).
    """

    def __init__(self, weight: float):
        self.weight = weight
        self.waiting = 0
        self.virtual_start = 0.0
        self.subqueues: dict[tuple, _SubQueue] = {}
        self.heads: list[HeapItem] = []

    def push(self, item: HeapItem) -> None:
        item.entry.item = item
        subqueue = item.entry.subqueue
        heapq.heappush(subqueue.heap, item)
        subqueue.waiting += 1
        self.waiting += 1
        if subqueue.head() is item:
            heapq.heappush(self.heads, item)

    def mark_late(self, entry: QueueEntry, sequence: int) -> None:
        old = entry.item
        if old.late:
            return
        was_head = entry.subqueue.head() is old
        item = HeapItem(True, old.deadline_s, sequence, entry)
        entry.item = item
        heapq.heappush(entry.subqueue.heap, item)
        if was_head:
            heapq.heappush(self.heads, entry.subqueue.head())

    def remove(self, entry: QueueEntry) -> None:
        subqueue = entry.subqueue
        entry.item = None
        subqueue.waiting -= 1
        self.waiting -= 1
        if not subqueue.waiting:
            del self.subqueues[subqueue.key]
            return
        if len(subqueue.heap) > 2 * subqueue.waiting + 16:
            subqueue.heap = [i for i in subqueue.heap if i.entry.item is i]
            heapq.heapify(subqueue.heap)
        heapq.heappush(self.heads, subqueue.head())

    def find(self, now_s, urgency, dispatchable, expire) -> QueueEntry | None:
        skipped: list[HeapItem] = []
        searched: set[_SubQueue] = set()
        found = None
        while self.heads and found is None:
            item = heapq.heappop(self.heads)
            entry = item.entry
            if entry.item is not item or entry.subqueue.head() is not item:
                continue
            if item.deadline_s <= now_s:
                expire(entry, now_s)
                continue
            if entry.subqueue in searched:
                continue
            searched.add(entry.subqueue)
            skipped.append(item)
            if dispatchable(entry.request, urgency):
                found = entry
        for item in skipped:
            heapq.heappush(self.heads, item)
        return found


class RankQueue:
    """The requests of one rank."""

    def __init__(self, rank: Rank, kind_weights: Mapping[str, float]):
        self.rank = rank
        self.credit = 0.0
        self.waiting = 0
        self._kind_weights = kind_weights
        self._kinds: dict[str, _Kind] = {}
        self._virtual_time = 0.0
        self._rate = _DispatchRate()

    def check(
        self, request: Request, now_s: float
    ) -> tuple[RefusalReason | None, float]:
        """Returns a reason to refuse, and its expected duration in seconds."""
        kind = self._kinds.get(self._kind_name(request))
        in_kind = kind.waiting if kind else 0
        free_space = self.rank.queue_limit - self.waiting
        interval_s = self._rate.interval_s(now_s, self.waiting > 0)
        if free_space <= 0:
            # The time to drain a quarter of the queue, so that a retry does
            # not find it full again.
            return RefusalReason.QUEUE_FULL, self.waiting * interval_s / 4
        if in_kind >= KIND_FREE_SPACE_FACTOR * free_space:
            return RefusalReason.KIND_FULL, in_kind * interval_s / 4
        active = sum(1 for k in self._kinds.values() if k.waiting)
        active += 0 if in_kind else 1
        wait_s = min(self.waiting, in_kind * active) * interval_s
        excess_s = now_s + wait_s - request.deadline_s
        if excess_s >= 0:
            return RefusalReason.DEADLINE, excess_s
        return None, 0.0

    def insert(
        self,
        request: Request,
        subqueue_key: tuple,
        late: bool,
        sequence: int,
        now_s: float,
    ) -> HeapItem:
        """Inserts a request; returns its heap item."""
        self._rate.advance(now_s, self.waiting > 0)
        name = self._kind_name(request)
        if name not in self._kinds:
            self._kinds[name] = _Kind(self._kind_weights.get(name, 1.0))
        kind = self._kinds[name]
        if not kind.waiting:
            kind.virtual_start = max(kind.virtual_start, self._virtual_time)
        if subqueue_key not in kind.subqueues:
            kind.subqueues[subqueue_key] = _SubQueue(subqueue_key)
        entry = QueueEntry(request, kind, kind.subqueues[subqueue_key])
        item = HeapItem(late, request.deadline_s, sequence, entry)
        kind.push(item)
        self.waiting += 1
        return item

    def find(
        self, now_s, level, due, dispatchable, expire
    ) -> QueueEntry | None:
        """Returns the next request to dispatch without removing it."""
        long_backlog = self.rank.queue_limit * FLOOD_SHARE
        for kind in sorted(
            (k for k in self._kinds.values() if k.waiting),
            key=lambda k: k.virtual_start,
        ):
            # Dispatches for a due floor are bounded by the credit.
            flooding = not due and kind.waiting > long_backlog
            urgency = Urgency(level, flooding)
            entry = kind.find(now_s, urgency, dispatchable, expire)
            if entry is not None:
                return entry
            # A kind without a free upstream counts as idle; it would otherwise
            # get all dispatches later until it had caught up.
            kind.virtual_start = max(kind.virtual_start, self._virtual_time)
        return None

    def record_dispatch(self, entry: QueueEntry, now_s: float) -> None:
        """Charges a dispatch to the request's kind."""
        kind = entry.kind
        self._rate.advance(now_s, backlogged=True)
        self._rate.dispatches += 1.0
        self._virtual_time = max(self._virtual_time, kind.virtual_start)
        kind.virtual_start += 1.0 / kind.weight

    def remove(self, entry: QueueEntry, now_s: float) -> None:
        """Removes a request that was dispatched, cancelled or expired."""
        self._rate.advance(now_s, backlogged=True)
        entry.kind.remove(entry)
        self.waiting -= 1
        if len(self._kinds) >= MAX_KINDS:
            self._kinds = {
                name: kind
                for name, kind in self._kinds.items()
                if kind.waiting or kind.virtual_start > self._virtual_time
            }

    def _kind_name(self, request: Request) -> str:
        known = request.work_kind in self._kinds
        below_limit = len(self._kinds) < MAX_KINDS
        return request.work_kind if known or below_limit else OTHER_KIND


class _DispatchRate:
    """Exponentially decayed dispatch rate over backlogged time."""

    def __init__(self):
        self.dispatches = 0.0
        self._backlogged_s = 0.0
        self._at_s: float | None = None

    def advance(self, now_s: float, backlogged: bool) -> None:
        """Decays both sums and adds the time since the last call."""
        passed_s = 0.0 if self._at_s is None else max(0.0, now_s - self._at_s)
        self._at_s = now_s
        decay = math.exp(-passed_s / RATE_WINDOW_S)
        self.dispatches *= decay
        self._backlogged_s *= decay
        if backlogged:
            # The integral of the decay over the elapsed time.
            self._backlogged_s += RATE_WINDOW_S * (1.0 - decay)

    def interval_s(self, now_s: float, backlogged: bool) -> float:
        """Returns the seconds per dispatch, or 0 without an estimate."""
        self.advance(now_s, backlogged)
        if self._backlogged_s < MIN_BACKLOGGED_S:
            return 0.0
        return self._backlogged_s / max(self.dispatches, 1.0)
