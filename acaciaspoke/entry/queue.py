"""The queue of one entry process.

Strict urgency above guaranteed floors between ranks, weighted fair queueing
between the kinds of work of a rank, earliest deadline first inside a kind.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from typing import NamedTuple

import msgspec

from acaciaspoke.config.schema import Rank
from acaciaspoke.entry.request import Request
from acaciaspoke.ids import RankId, RequestId

# A kind may hold this many times the room that is left in its rank's queue.
# One kind alone then fills 3/4 of it, and every new kind still finds room.
KIND_ROOM_FACTOR = 3.0

# A kind with more than this part of its rank's queue waiting is flooding.
FLOOD_SHARE = 1 / 64

# Callers choose the names of kinds. A caller that invents a name per request
# must not gain a share of the rank with each, so later names share one kind.
MAX_KINDS = 32
OTHER_KIND = ""

# Time constant of the measured dispatch rate, and the backlogged time below
# which there is too little to estimate from.
RATE_WINDOW_S = 5.0
MIN_MEASURED_S = 0.25

# One dispatch is due; the sum of floor shares is not exact.
CREDIT_DUE = 1.0 - 1e-9

# With floors that sum up to 1, credit of dispatchable ranks stays below their
# number. Upstreams that are full for a moment must not cost a rank its floor.
MAX_CREDIT = 4.0

# A request that has waited for more than this part of its rank's target for
# the first token is late; the rest of the target is for the engine.
ON_TIME_SHARE = 0.7

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


class RefusalReason(Enum):
    """Why a request was not admitted."""

    QUEUE_FULL = "queue_full"
    KIND_FULL = "kind_full"
    DEADLINE = "deadline"


class Refusal(msgspec.Struct, frozen=True):
    """A request that was not admitted and so has not run."""

    reason: RefusalReason
    retry_after_s: float


class Urgency(NamedTuple):
    """How a request may be dispatched now.

    Attributes:
        level: The level of its rank, or the most urgent one while the floor of
            its rank is due: limits and engines that prefer urgent work would
            otherwise undo the floor.
        flooding: Whether its kind has a long backlog, so that limits give
            what they keep for bursts to other kinds.
    """

    level: int
    flooding: bool


class RequestQueue:
    """Holds admitted requests until they are dispatched.

    Args:
        ranks: The configured ranks.
        rng: Spreads the hints to callers, which otherwise return together.
        kind_weights: Weights of kinds inside a rank; 1 for all others.
    """

    def __init__(
        self,
        ranks: Mapping[RankId, Rank],
        rng: random.Random,
        kind_weights: Mapping[str, float] | None = None,
    ):
        self._rng = rng
        self._kind_weights = dict(kind_weights or {})
        self._ranks: dict[RankId, _RankQueue] = {}
        self._entries: dict[RequestId, _Entry] = {}
        self._deadlines: list[tuple[float, _Item]] = []
        self._on_time: list[tuple[float, _Item]] = []
        self._expired: list[Request] = []
        self._sequence = itertools.count()
        self.set_ranks(ranks)

    def __len__(self) -> int:
        return len(self._entries)

    def set_ranks(self, ranks: Mapping[RankId, Rank]) -> None:
        """Takes new ranks; a removed one stays until its requests are gone."""
        for rank_id, rank in ranks.items():
            if rank_id in self._ranks:
                self._ranks[rank_id].rank = rank
            else:
                self._ranks[rank_id] = _RankQueue(rank, self._kind_weights)
        for rank_id in [r for r in self._ranks if r not in ranks]:
            if not self._ranks[rank_id].waiting:
                del self._ranks[rank_id]

    def waiting(self) -> dict[RankId, int]:
        """Returns the number of waiting requests per rank."""
        return {rank_id: q.waiting for rank_id, q in self._ranks.items()}

    def offer(self, request: Request, now_s: float) -> Refusal | None:
        """Admits a request, or returns why not.

        Raises:
            KeyError: If the request's rank is not configured.
        """
        queue = self._ranks[request.rank]
        reason, excess_s = queue.check(request, now_s)
        if reason is not None:
            return Refusal(reason, self._retry_after_s(excess_s))
        self._insert(request, now_s, apart=False)
        return None

    def put_back(
        self, request: Request, now_s: float, *, apart: bool = False
    ) -> None:
        """Queues a request again that had been admitted before.

        Args:
            request: The request.
            now_s: The time.
            apart: Whether it has conditions of its own, as a suspect has, and
                so must not hold up requests for the same artifact.
        """
        self._insert(request, now_s, apart=apart)

    def take(
        self, now_s: float, dispatchable: Callable[[Request, Urgency], bool]
    ) -> Request | None:
        """Removes and returns the next request to dispatch.

        Args:
            now_s: The time.
            dispatchable: Whether a request has a free upstream. It is asked
                only of the earliest request per rank, kind and artifact, so
                its cost grows with the artifacts that have none, not with
                the requests that wait for them. The last one asked, with its
                urgency, is the one that is returned.
        """
        self._mark_late(now_s)
        most_urgent = min(q.rank.level for q in self._ranks.values())
        for queue in self._in_order():
            due = queue.credit >= CREDIT_DUE
            level = most_urgent if due else queue.rank.level
            entry = queue.find(
                now_s, level, due, dispatchable, self._expire_entry
            )
            if entry is None:
                continue
            self._account(queue)
            queue.dispatched(entry, now_s)
            self._remove(entry, now_s)
            return entry.request
        return None

    def cancel(self, request_id: RequestId, now_s: float) -> Request | None:
        """Removes a waiting request; returns None if it is not waiting."""
        entry = self._entries.get(request_id)
        if entry is None:
            return None
        self._remove(entry, now_s)
        return entry.request

    def expire(self, now_s: float) -> list[Request]:
        """Removes and returns the requests whose deadline has passed."""
        while self._deadlines and self._deadlines[0][0] <= now_s:
            entry = heapq.heappop(self._deadlines)[1].entry
            if entry.waiting:
                self._expire_entry(entry, now_s)
        expired, self._expired = self._expired, []
        return expired

    def _in_order(self) -> Iterator["_RankQueue"]:
        waiting = sorted(
            (q for q in self._ranks.values() if q.waiting),
            key=lambda q: q.rank.level,
        )
        owed = [q for q in waiting if q.credit >= CREDIT_DUE]
        yield from sorted(owed, key=lambda q: -q.credit)
        yield from (q for q in waiting if q.credit < CREDIT_DUE)

    def _account(self, served: "_RankQueue") -> None:
        """Moves the credit by which a rank's floor is kept.

        A rank with work gains its floor share with every dispatch and pays 1
        for its own. While the floors sum up to at most 1, a rank that stays
        dispatchable so gets at least its share of any run of dispatches, less
        one per rank. One that has no free upstream saves up no more than
        ``MAX_CREDIT``, and one without work keeps no more than one dispatch,
        so that neither causes a burst later.
        """
        for queue in self._ranks.values():
            if queue.waiting:
                gained = queue.credit + queue.rank.floor_share
                queue.credit = min(MAX_CREDIT, gained)
            else:
                queue.credit = min(1.0, queue.credit)
        served.credit = max(0.0, served.credit - 1.0)

    def _insert(self, request: Request, now_s: float, *, apart: bool) -> None:
        line_key = (
            (request.request_id,)
            if apart
            else (request.service, request.artifact)
        )
        target_s = self._ranks[request.rank].rank.first_token_target_s
        late_s = request.arrived_s + ON_TIME_SHARE * target_s
        item = self._ranks[request.rank].insert(
            request, line_key, now_s >= late_s, next(self._sequence), now_s
        )
        self._entries[request.request_id] = item.entry
        _push(self._deadlines, (request.deadline_s, item), len(self._entries))
        if not item.late:
            _push(self._on_time, (late_s, item), len(self._entries))

    def _mark_late(self, now_s: float) -> None:
        """Moves requests that can no longer meet their rank's target."""
        while self._on_time and self._on_time[0][0] <= now_s:
            entry = heapq.heappop(self._on_time)[1].entry
            if entry.waiting:
                entry.kind.mark_late(entry, next(self._sequence))

    def _remove(self, entry: "_Entry", now_s: float) -> None:
        del self._entries[entry.request.request_id]
        self._ranks[entry.request.rank].remove(entry, now_s)

    def _expire_entry(self, entry: "_Entry", now_s: float) -> None:
        self._remove(entry, now_s)
        self._expired.append(entry.request)

    def _retry_after_s(self, excess_s: float) -> float:
        spread_s = max(MIN_RETRY_AFTER_S, excess_s) * self._rng.uniform(1, 1.5)
        return min(MAX_RETRY_AFTER_S, spread_s)


class _Entry:
    """A request in the queue; removal leaves it in the heaps, marked."""

    __slots__ = ("item", "kind", "line", "request")

    def __init__(self, request: Request, kind: "_Kind", line: "_Line"):
        self.request = request
        self.kind = kind
        self.line = line
        self.item: _Item | None = None

    @property
    def waiting(self) -> bool:
        """Whether it is still in the queue."""
        return self.item is not None


class _Item(NamedTuple):
    """A heap item; the sequence decides before the entry is compared.

    Attributes:
        late: Whether the rank's target can no longer be met. What can still
            meet it goes first: otherwise, once a kind has a little too much
            work, all of it waits until shortly before its deadline, and none
            meets its target.
    """

    late: bool
    deadline_s: float
    sequence: int
    entry: _Entry


def _push(heap: list, timed: tuple[float, _Item], waiting: int) -> None:
    """Pushes onto a heap by time, and clears it of what has left."""
    if len(heap) > 2 * waiting + 64:
        # Dispatched requests would stay here until their time comes.
        heap[:] = [t for t in heap if t[1].entry.waiting]
        heapq.heapify(heap)
    heapq.heappush(heap, timed)


class _Line:
    """Waiting requests of one kind for one artifact, by deadline."""

    __slots__ = ("heap", "key", "waiting")

    def __init__(self, key: tuple):
        self.key = key
        self.heap: list[_Item] = []
        self.waiting = 0

    def head(self) -> _Item | None:
        while self.heap and self.heap[0].entry.item is not self.heap[0]:
            heapq.heappop(self.heap)
        return self.heap[0] if self.heap else None


class _Kind:
    """Waiting requests of one kind of work.

    Attributes:
        heads: The first request of each line, and stale items.
        start: Virtual start of its next request.
    """

    def __init__(self, weight: float):
        self.weight = weight
        self.waiting = 0
        self.start = 0.0
        self.lines: dict[tuple, _Line] = {}
        self.heads: list[_Item] = []

    def push(self, item: _Item) -> None:
        item.entry.item = item
        line = item.entry.line
        heapq.heappush(line.heap, item)
        line.waiting += 1
        self.waiting += 1
        if line.head() is item:
            heapq.heappush(self.heads, item)

    def mark_late(self, entry: _Entry, sequence: int) -> None:
        old = entry.item
        if old.late:
            return
        was_head = entry.line.head() is old
        item = _Item(True, old.deadline_s, sequence, entry)
        entry.item = item
        heapq.heappush(entry.line.heap, item)
        if was_head:
            heapq.heappush(self.heads, entry.line.head())

    def remove(self, entry: _Entry) -> None:
        line = entry.line
        entry.item = None
        line.waiting -= 1
        self.waiting -= 1
        if not line.waiting:
            del self.lines[line.key]
            return
        if len(line.heap) > 2 * line.waiting + 16:
            line.heap = [i for i in line.heap if i.entry.item is i]
            heapq.heapify(line.heap)
        heapq.heappush(self.heads, line.head())

    def find(self, now_s, urgency, dispatchable, expire) -> _Entry | None:
        skipped: list[_Item] = []
        asked: set[_Line] = set()
        found = None
        while self.heads and found is None:
            item = heapq.heappop(self.heads)
            entry = item.entry
            if entry.item is not item or entry.line.head() is not item:
                continue
            if item.deadline_s <= now_s:
                expire(entry, now_s)
                continue
            if entry.line in asked:
                continue
            asked.add(entry.line)
            skipped.append(item)
            if dispatchable(entry.request, urgency):
                found = entry
        for item in skipped:
            heapq.heappush(self.heads, item)
        return found


class _RankQueue:
    """Waiting requests of one rank."""

    def __init__(self, rank: Rank, kind_weights: Mapping[str, float]):
        self.rank = rank
        self.credit = 0.0
        self.waiting = 0
        self._kind_weights = kind_weights
        self._kinds: dict[str, _Kind] = {}
        self._virtual_s = 0.0
        self._rate = _DispatchRate()

    def check(
        self, request: Request, now_s: float
    ) -> tuple[RefusalReason | None, float]:
        """Returns why to refuse, and how long the cause is likely to last."""
        kind = self._kinds.get(self._kind_name(request))
        in_kind = kind.waiting if kind else 0
        room = self.rank.queue_limit - self.waiting
        gap_s = self._rate.gap_s(now_s, self.waiting > 0)
        if room <= 0:
            # A quarter of the queue, so that a caller does not return to a
            # queue that is full again.
            return RefusalReason.QUEUE_FULL, self.waiting * gap_s / 4
        if in_kind >= KIND_ROOM_FACTOR * room:
            return RefusalReason.KIND_FULL, in_kind * gap_s / 4
        active = sum(1 for k in self._kinds.values() if k.waiting)
        active += 0 if in_kind else 1
        wait_s = min(self.waiting, in_kind * active) * gap_s
        excess_s = now_s + wait_s - request.deadline_s
        if excess_s >= 0:
            return RefusalReason.DEADLINE, excess_s
        return None, 0.0

    def insert(
        self,
        request: Request,
        line_key: tuple,
        late: bool,
        sequence: int,
        now_s: float,
    ) -> _Item:
        self._rate.advance(now_s, self.waiting > 0)
        name = self._kind_name(request)
        if name not in self._kinds:
            self._kinds[name] = _Kind(self._kind_weights.get(name, 1.0))
        kind = self._kinds[name]
        if not kind.waiting:
            kind.start = max(kind.start, self._virtual_s)
        if line_key not in kind.lines:
            kind.lines[line_key] = _Line(line_key)
        entry = _Entry(request, kind, kind.lines[line_key])
        item = _Item(late, request.deadline_s, sequence, entry)
        kind.push(item)
        self.waiting += 1
        return item

    def find(self, now_s, level, due, dispatchable, expire) -> _Entry | None:
        """Returns the request to dispatch next without removing it."""
        long_backlog = self.rank.queue_limit * FLOOD_SHARE
        for kind in sorted(
            (k for k in self._kinds.values() if k.waiting),
            key=lambda k: k.start,
        ):
            # What a floor owes is bounded, so it floods nothing.
            flooding = not due and kind.waiting > long_backlog
            urgency = Urgency(level, flooding)
            entry = kind.find(now_s, urgency, dispatchable, expire)
            if entry is not None:
                return entry
            # A kind without a free upstream counts as idle, or it would later
            # take all dispatches until it had caught up.
            kind.start = max(kind.start, self._virtual_s)
        return None

    def dispatched(self, entry: _Entry, now_s: float) -> None:
        kind = entry.kind
        self._rate.advance(now_s, backlogged=True)
        self._rate.dispatches += 1.0
        self._virtual_s = max(self._virtual_s, kind.start)
        kind.start += 1.0 / kind.weight

    def remove(self, entry: _Entry, now_s: float) -> None:
        self._rate.advance(now_s, backlogged=True)
        entry.kind.remove(entry)
        self.waiting -= 1
        if len(self._kinds) >= MAX_KINDS:
            self._kinds = {
                name: kind
                for name, kind in self._kinds.items()
                if kind.waiting or kind.start > self._virtual_s
            }

    def _kind_name(self, request: Request) -> str:
        known = request.work_kind in self._kinds
        room = len(self._kinds) < MAX_KINDS
        return request.work_kind if known or room else OTHER_KIND


class _DispatchRate:
    """Dispatches per second of backlogged time, recent time counting more."""

    def __init__(self):
        self.dispatches = 0.0
        self._backlogged_s = 0.0
        self._at_s: float | None = None

    def advance(self, now_s: float, backlogged: bool) -> None:
        """Accounts for the time since the last call."""
        passed_s = 0.0 if self._at_s is None else max(0.0, now_s - self._at_s)
        self._at_s = now_s
        decay = math.exp(-passed_s / RATE_WINDOW_S)
        self.dispatches *= decay
        self._backlogged_s *= decay
        if backlogged:
            self._backlogged_s += passed_s

    def gap_s(self, now_s: float, backlogged: bool) -> float:
        """Returns the time per dispatch, or 0 if there is no estimate."""
        self.advance(now_s, backlogged)
        if self._backlogged_s < MIN_MEASURED_S:
            return 0.0
        return self._backlogged_s / max(self.dispatches, 1.0)
