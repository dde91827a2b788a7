"""The request queue of one entry process.

Ranks are served by strict priority, but each rank is guaranteed its floor share
of the dispatches. Kinds of work within a rank share its dispatches by weighted
fair queueing. Within a kind, requests that can still meet their rank's target
go first; each of these two groups is ordered by earliest deadline.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator, Mapping

import msgspec

from acaciaspoke.config.schema import Rank
from acaciaspoke.entry.rank_queue import (
    HeapItem,
    QueueEntry,
    RankQueue,
    RefusalReason,
    Urgency,
    push_timed,
)
from acaciaspoke.entry.request import Request
from acaciaspoke.ids import RankId, RequestId

# Credit of one dispatch, less a tolerance for floating-point sums of shares.
CREDIT_PER_DISPATCH = 1.0 - 1e-9

# While floors sum up to at most 1, the credit of dispatchable ranks stays below
# their number. The cap leaves space for ranks whose upstreams are full briefly,
# so that they do not lose their floor.
MAX_CREDIT = 4.0

# A request is late once it has waited for this share of its rank's target time
# to first token; the rest of the target is left for the engine.
ON_TIME_SHARE = 0.7

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


class Refusal(msgspec.Struct, frozen=True):
    """Why a request was not admitted; it has not run."""

    reason: RefusalReason
    retry_after_s: float


class RequestQueue:
    """Holds admitted requests until they are dispatched.

    Args:
        ranks: The configured ranks.
        rng: Adds jitter to retry-after values, so that refused callers do not
            retry at the same time.
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
        self._entries: dict[RequestId, QueueEntry] = {}
        self._deadlines: list[tuple[float, HeapItem]] = []
        self._on_time: list[tuple[float, HeapItem]] = []
        self._expired: list[Request] = []
        self._sequence = itertools.count()
        self.set_ranks(ranks)

    def __len__(self) -> int:
        return len(self._entries)

    def set_ranks(self, ranks: Mapping[RankId, Rank]) -> None:
        """Updates the ranks; removed ones stay for admitted requests."""
        for rank_id, rank in ranks.items():
            if rank_id in self._ranks:
                self._ranks[rank_id].rank = rank
            else:
                self._ranks[rank_id] = RankQueue(rank, self._kind_weights)

    def waiting(self) -> dict[RankId, int]:
        """Returns the number of waiting requests per rank."""
        return {rank_id: q.waiting for rank_id, q in self._ranks.items()}

    def offer(self, request: Request, now_s: float) -> Refusal | None:
        """Admits a request, or returns the refusal.

        Raises:
            KeyError: If the request's rank is not configured.
        """
        queue = self._ranks[request.rank]
        reason, duration_s = queue.check(request, now_s)
        if reason is not None:
            return Refusal(reason, self._retry_after_s(duration_s))
        self._insert(request, now_s, isolated=False)
        return None

    def requeue(
        self, request: Request, now_s: float, *, isolated: bool = False
    ) -> None:
        """Queues an admitted request again, without an admission check.

        Args:
            request: The request.
            now_s: The time.
            isolated: Whether to give it a sub-queue of its own. Requests with
                further dispatch conditions, such as suspects, must not block
                others for the same artifact.
        """
        self._insert(request, now_s, isolated=isolated)

    def take(
        self, now_s: float, dispatchable: Callable[[Request, Urgency], bool]
    ) -> Request | None:
        """Removes and returns the next request to dispatch.

        Args:
            now_s: The time.
            dispatchable: Whether a request has a free upstream. It is called
                only for the first request per rank, kind and artifact, so the
                cost grows with the number of blocked artifacts, not with the
                requests that wait for them. If a request is returned, the
                last call was for it.
        """
        if not self._entries:
            return None
        self._mark_late(now_s)
        levels = [queue.rank.level for queue in self._ranks.values()]
        most_urgent = min(levels, default=0)
        for queue in self._in_service_order():
            due = queue.credit >= CREDIT_PER_DISPATCH
            level = most_urgent if due else queue.rank.level
            entry = queue.find(
                now_s, level, due, dispatchable, self._expire_entry
            )
            if entry is None:
                continue
            self._update_credit(queue)
            queue.record_dispatch(entry, now_s)
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

    def _in_service_order(self) -> Iterator[RankQueue]:
        waiting = sorted(
            (q for q in self._ranks.values() if q.waiting),
            key=lambda q: q.rank.level,
        )
        due_ranks = [q for q in waiting if q.credit >= CREDIT_PER_DISPATCH]
        yield from sorted(due_ranks, key=lambda q: -q.credit)
        yield from (q for q in waiting if q.credit < CREDIT_PER_DISPATCH)

    def _update_credit(self, served: RankQueue) -> None:
        """Updates the credit that guarantees the ranks' floors.

        With each dispatch, every rank that has waiting requests gains its
        floor share, and the served rank pays 1. While the floors sum up to at
        most 1, a rank that stays dispatchable gets at least its share of any
        sequence of dispatches, less one per rank. Credit is capped to prevent
        later bursts: at ``MAX_CREDIT`` for a rank without a free upstream, and
        at one dispatch for a rank without requests.
        """
        for queue in self._ranks.values():
            if queue.waiting:
                gained = queue.credit + queue.rank.floor_share
                queue.credit = min(MAX_CREDIT, gained)
            else:
                queue.credit = min(1.0, queue.credit)
        served.credit = max(0.0, served.credit - 1.0)

    def _insert(
        self, request: Request, now_s: float, *, isolated: bool
    ) -> None:
        subqueue_key = (
            (request.request_id,)
            if isolated
            else (request.service, request.artifact)
        )
        target_s = self._ranks[request.rank].rank.first_token_target_s
        late_s = request.arrived_s + ON_TIME_SHARE * target_s
        item = self._ranks[request.rank].insert(
            request, subqueue_key, now_s >= late_s, next(self._sequence), now_s
        )
        self._entries[request.request_id] = item.entry
        push_timed(
            self._deadlines, (request.deadline_s, item), len(self._entries)
        )
        if not item.late:
            push_timed(self._on_time, (late_s, item), len(self._entries))

    def _mark_late(self, now_s: float) -> None:
        """Marks requests that can no longer meet their rank's target."""
        while self._on_time and self._on_time[0][0] <= now_s:
            entry = heapq.heappop(self._on_time)[1].entry
            if entry.waiting:
                entry.kind.mark_late(entry, next(self._sequence))

    def _remove(self, entry: QueueEntry, now_s: float) -> None:
        del self._entries[entry.request.request_id]
        self._ranks[entry.request.rank].remove(entry, now_s)

    def _expire_entry(self, entry: QueueEntry, now_s: float) -> None:
        self._remove(entry, now_s)
        self._expired.append(entry.request)

    def _retry_after_s(self, duration_s: float) -> float:
        wait_s = max(MIN_RETRY_AFTER_S, duration_s) * self._rng.uniform(1, 1.5)
        return min(MAX_RETRY_AFTER_S, wait_s)
