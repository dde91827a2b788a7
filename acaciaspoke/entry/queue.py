"""The queue of one entry process.

Strict urgency above guaranteed floors between ranks, weighted fair queueing
between the kinds of work of a rank, earliest deadline first inside a kind, but
what can still meet its rank's target before what cannot.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator, Mapping

import msgspec

from acaciaspoke.config.schema import Rank
from acaciaspoke.entry.rank_queue import (
    Entry,
    Item,
    RankQueue,
    RefusalReason,
    Urgency,
    push_timed,
)
from acaciaspoke.entry.request import Request
from acaciaspoke.ids import RankId, RequestId

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


class Refusal(msgspec.Struct, frozen=True):
    """A request that was not admitted and so has not run."""

    reason: RefusalReason
    retry_after_s: float


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
        self._ranks: dict[RankId, RankQueue] = {}
        self._entries: dict[RequestId, Entry] = {}
        self._deadlines: list[tuple[float, Item]] = []
        self._on_time: list[tuple[float, Item]] = []
        self._expired: list[Request] = []
        self._sequence = itertools.count()
        self.set_ranks(ranks)

    def __len__(self) -> int:
        return len(self._entries)

    def set_ranks(self, ranks: Mapping[RankId, Rank]) -> None:
        """Takes new ranks; removed ones stay for what was admitted before."""
        for rank_id, rank in ranks.items():
            if rank_id in self._ranks:
                self._ranks[rank_id].rank = rank
            else:
                self._ranks[rank_id] = RankQueue(rank, self._kind_weights)

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
        if not self._entries:
            return None
        self._mark_late(now_s)
        levels = [queue.rank.level for queue in self._ranks.values()]
        most_urgent = min(levels, default=0)
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

    def _in_order(self) -> Iterator[RankQueue]:
        waiting = sorted(
            (q for q in self._ranks.values() if q.waiting),
            key=lambda q: q.rank.level,
        )
        owed = [q for q in waiting if q.credit >= CREDIT_DUE]
        yield from sorted(owed, key=lambda q: -q.credit)
        yield from (q for q in waiting if q.credit < CREDIT_DUE)

    def _account(self, served: RankQueue) -> None:
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
        push_timed(
            self._deadlines, (request.deadline_s, item), len(self._entries)
        )
        if not item.late:
            push_timed(self._on_time, (late_s, item), len(self._entries))

    def _mark_late(self, now_s: float) -> None:
        """Moves requests that can no longer meet their rank's target."""
        while self._on_time and self._on_time[0][0] <= now_s:
            entry = heapq.heappop(self._on_time)[1].entry
            if entry.waiting:
                entry.kind.mark_late(entry, next(self._sequence))

    def _remove(self, entry: Entry, now_s: float) -> None:
        del self._entries[entry.request.request_id]
        self._ranks[entry.request.rank].remove(entry, now_s)

    def _expire_entry(self, entry: Entry, now_s: float) -> None:
        self._remove(entry, now_s)
        self._expired.append(entry.request)

    def _retry_after_s(self, excess_s: float) -> float:
        spread_s = max(MIN_RETRY_AFTER_S, excess_s) * self._rng.uniform(1, 1.5)
        return min(MAX_RETRY_AFTER_S, spread_s)
