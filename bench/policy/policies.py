"""The policies that are compared."""

import random
from collections import Counter, deque
from collections.abc import Callable

import msgspec

from acaciaspoke.entry.limits import ConcurrencyLimits
from acaciaspoke.entry.queue import Refusal, RequestQueue
from acaciaspoke.entry.rank_queue import RefusalReason, Urgency
from acaciaspoke.entry.request import Request
from acaciaspoke.entry.routing import Fleet, UpstreamStatus, choose_upstream
from acaciaspoke.net.records import UpstreamState
from bench.policy import placements
from bench.policy.deployments import RANKS


class FifoQueue:
    """One queue in order of arrival, with the sum of all ranks' limits."""

    def __init__(self):
        self._waiting: deque[Request] = deque()
        self._limit = sum(rank.queue_limit for rank in RANKS.values())

    def __len__(self) -> int:
        return len(self._waiting)

    def waiting(self) -> dict[str, int]:
        """Returns the number of waiting requests per rank."""
        return Counter(request.rank for request in self._waiting)

    def offer(self, request: Request, now_s: float) -> Refusal | None:
        """Admits a request unless the queue is full."""
        if len(self._waiting) >= self._limit:
            return Refusal(RefusalReason.QUEUE_FULL, 1.0)
        self._waiting.append(request)
        return None

    def requeue(
        self, request: Request, now_s: float, *, isolated: bool = False
    ) -> None:
        """Puts a request back at the front."""
        self._waiting.appendleft(request)

    def take(
        self, now_s: float, dispatchable: Callable[[Request, Urgency], bool]
    ) -> Request | None:
        """Returns the first request that has a free upstream."""
        blocked = set()
        for request in self._waiting:
            if request.artifact in blocked or request.deadline_s <= now_s:
                continue
            if dispatchable(request, Urgency(0, False)):
                self._waiting.remove(request)
                return request
            blocked.add(request.artifact)
        return None

    def expire(self, now_s: float) -> list[Request]:
        """Removes and returns the requests whose deadline has passed."""
        expired = [r for r in self._waiting if r.deadline_s <= now_s]
        for request in expired:
            self._waiting.remove(request)
        return expired


class FixedLimits(ConcurrencyLimits):
    """A fixed limit: an equal share of the slots."""

    def record_success(self, status: UpstreamStatus) -> None:
        """Keeps the limit."""

    def record_refusal(
        self, status: UpstreamStatus, sent_s: float, now_s: float
    ) -> None:
        """Keeps the limit."""

    def record_report(self, status: UpstreamStatus) -> None:
        """Keeps the limit."""

    def has_capacity(
        self, status: UpstreamStatus, urgency: Urgency, now_s: float
    ) -> bool:
        """Treats all ranks alike."""
        return len(status.in_flight) < self.limit(status)


def round_robin() -> Callable[..., str | None]:
    """Returns a chooser that uses the holders in turn."""
    turns: dict[str, int] = {}

    def choose(request: Request, fleet: Fleet, *, has_capacity, tried=(), **_):
        holders = [
            s
            for s in fleet.holders(request.service, request.artifact)
            if s.state is UpstreamState.LIVE
            and s.upstream not in tried
            and has_capacity(s)
        ]
        if not holders:
            return None
        key = request.artifact or request.service
        turns[key] = turns.get(key, 0) + 1
        return holders[turns[key] % len(holders)].upstream

    return choose


class Policy(msgspec.Struct, frozen=True):
    """The parts of a policy; queue, chooser and limits are per entry process.

    Attributes:
        ranked: Whether engines get the rank's level.
        place: The placement; None for the planner of the product.
        prepared: Whether models are loaded by long-term demand before the run.
    """

    name: str
    queue: Callable[[random.Random], RequestQueue | FifoQueue]
    chooser: Callable[[], Callable[..., str | None]]
    limits: Callable[[int, random.Random], ConcurrencyLimits]
    place: Callable[[placements.Snapshot], list[placements.Order]] | None
    ranked: bool = True
    prepared: bool = True


OURS = Policy(
    name="acaciaspoke",
    queue=lambda rng: RequestQueue(RANKS, rng),
    chooser=lambda: choose_upstream,
    limits=ConcurrencyLimits,
    place=None,
)
POLICIES = (
    OURS,
    Policy(
        name="simple_placement",
        queue=OURS.queue,
        chooser=OURS.chooser,
        limits=OURS.limits,
        place=placements.replicate,
    ),
    Policy(
        name="round_robin_fifo",
        queue=lambda rng: FifoQueue(),
        chooser=round_robin,
        limits=FixedLimits,
        place=placements.replicate,
        ranked=False,
    ),
    Policy(
        name="load_on_demand_lru",
        queue=OURS.queue,
        chooser=OURS.chooser,
        limits=OURS.limits,
        place=placements.load_on_demand,
        prepared=False,
    ),
)
