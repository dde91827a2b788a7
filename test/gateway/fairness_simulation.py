"""Hosts that serve several workspaces under overload, in virtual time."""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Mapping

from acaciaspoke.gateway.decisions import Assignment, DroppedRequest
from acaciaspoke.gateway.dispatch import Dispatcher
from acaciaspoke.gateway.load_reports import local_loads, waiting_by_model
from acaciaspoke.gateway.messages import LoadDigest, SendNotice
from acaciaspoke.gateway.types import (
    CallerLimits,
    Configuration,
    Request,
    Workspace,
)
from acaciaspoke.ids import BootId, HostId, WorkspaceId
from test.gateway.builders import new_dispatcher, record, request, route

STEP_S = 0.01

# Most arrivals of a workspace in a step.
ARRIVALS_PER_STEP = 3

DIGEST_S = 0.1
DIGEST_DELAY_S = 0.05
NOTICE_DELAY_S = 0.005
SERVICE_S = 0.5
FIRST_EVENT_S = 0.1


def configuration(*names: str) -> Configuration:
    """Returns a configuration with these workspaces."""
    workspaces = tuple(map(workspace, names))
    return Configuration(
        version=1,
        routes=(),
        services={},
        limits=CallerLimits(),
        workspaces=workspaces,
    )


def workspace(name: str, priority: int | None = None) -> Workspace:
    return Workspace(
        name=WorkspaceId(name), key_digests=frozenset(), priority=priority
    )


class _Host:

    def __init__(self, name: str, dispatcher: Dispatcher):
        self.name = HostId(name)
        self.dispatcher = dispatcher
        self.sequence = itertools.count(1)


class Simulation:
    """Hosts and engines of one model, and callers that return once.

    Attributes:
        offered: Requests of callers by workspace, without returns.
        served: Those that were answered.
        refusals: The refusals of all hosts.
        exchanges_digests: Whether hosts receive each other's digests.
        returns_at_once: Workspaces whose callers return at once.
        max_returns: How often such a caller returns.
    """

    def __init__(
        self,
        hosts: int,
        engines: int,
        slots: int,
        rates: Mapping[str, Callable[[float], float]],
        seed: int = 1,
        has_workspaces: bool = True,
    ):
        """Creates a simulation.

        Args:
            hosts: Number of hosts.
            engines: Number of engines.
            slots: Slots of each engine.
            rates: Requests a second by workspace, at a time.
            seed: Seed of arrivals.
            has_workspaces: Whether the configuration lists the workspaces.
        """
        self.now_s = 100.0
        self.offered: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.refusals: list[tuple[float, Request, float]] = []
        self.exchanges_digests = True
        self.returns_at_once: set[str] = set()
        self.max_returns = 10
        self._rates = rates
        self._draw = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple] = []
        self._routes = [
            route(priority=priority, timeout_s=10.0) for priority in (0, 1)
        ]
        records = [
            record(f"u{number}", "m1", slots=slots) for number in range(engines)
        ]
        self._slots = dict.fromkeys((r.upstream for r in records), slots)
        self._queues = {r.upstream: deque() for r in records}
        self.hosts = [
            _Host(f"h{number}", new_dispatcher(*records))
            for number in range(hosts)
        ]
        if has_workspaces:
            for host in self.hosts:
                host.dispatcher.set_configuration(configuration(*rates))

    def run(self, length_s: float) -> None:
        """Lets time pass."""
        end_s = self.now_s + length_s
        digest_due_s = self.now_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            for name, rate in self._rates.items():
                for _ in range(ARRIVALS_PER_STEP):
                    chance = rate(self.now_s) * STEP_S / ARRIVALS_PER_STEP
                    if self._draw.random() < chance:
                        self._arrive(name)
            if self.now_s >= digest_due_s:
                digest_due_s = self.now_s + DIGEST_S
                self._send_digests()
            for host in self.hosts:
                self._dispatch(host)

    def served_share(self, name: str) -> float:
        """Returns which share of a workspace's callers was served."""
        return self.served[name] / max(1, self.offered[name])

    @property
    def total_served_share(self) -> float:
        """The share of all callers that was served."""
        return self.served.total() / max(1, self.offered.total())

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def _arrive(self, name: str) -> None:
        self.offered[name] += 1
        chosen = self._routes[self._draw.random() < 0.3]
        self._submit(name, chosen, self.now_s + chosen.timeout_s, 0)

    def _submit(self, name: str, chosen, deadline_s: float, tries: int):
        host = self._draw.choice(self.hosts)
        new = request(
            f"q{next(self._numbers)}-{tries}",
            self.now_s,
            route=chosen,
            deadline_s=deadline_s,
            workspace=workspace(name),
            prompt_tokens=20,
            output_tokens=880,
        )
        refusal = host.dispatcher.submit(new, self.now_s)
        if refusal is not None:
            self._refused(new, refusal)

    def _refused(self, refused: Request, refusal) -> None:
        name = refused.workspace.name
        self.refusals.append((self.now_s, refused, refusal.retry_after_s))
        tries = int(refused.id.rsplit("-", 1)[1]) + 1
        is_abuser = name in self.returns_at_once
        if tries > (self.max_returns if is_abuser else 1):
            return
        self._later(
            0.02 if is_abuser else refusal.retry_after_s,
            lambda: self._submit(
                name, refused.route, refused.deadline_s, tries
            ),
        )

    def _dispatch(self, host: _Host) -> None:
        for decision in host.dispatcher.decide(self.now_s):
            if isinstance(decision, DroppedRequest):
                self._refused(decision.request, decision.refusal)
            elif isinstance(decision, Assignment):
                self._queues[decision.upstream].append((host, decision))
                self._start(decision.upstream)
                self._notify(host, decision)

    def _notify(self, host: _Host, decision: Assignment) -> None:
        notice = SendNotice(
            host=host.name,
            boot=BootId("b"),
            sequence=next(host.sequence),
            upstream=decision.upstream,
            prompt_tokens=decision.request.prompt_tokens,
        )
        for other in self.hosts:
            if other is not host and self.exchanges_digests:
                self._later(
                    NOTICE_DELAY_S,
                    lambda other=other: (
                        other.dispatcher.fleet.peer_loads.apply_send(
                            notice, self.now_s
                        )
                    ),
                )

    def _start(self, upstream: str) -> None:
        if self._slots[upstream] and self._queues[upstream]:
            self._slots[upstream] -= 1
            host, decision = self._queues[upstream].popleft()
            duration_s = SERVICE_S * self._draw.uniform(0.6, 1.4)
            self._later(
                FIRST_EVENT_S,
                lambda: host.dispatcher.record_event(
                    decision.request, self.now_s
                ),
            )
            self._later(duration_s, lambda: self._end(host, decision))

    def _end(self, host: _Host, decision: Assignment) -> None:
        done = decision.request
        self._slots[decision.upstream] += 1
        host.dispatcher.record_finished(done)
        host.dispatcher.record_success(done, decision.upstream, self.now_s)
        self.served[done.workspace.name] += 1
        self._start(decision.upstream)

    def _send_digests(self) -> None:
        for host in self.hosts:
            dispatcher = host.dispatcher
            digest = LoadDigest(
                host=host.name,
                boot=BootId("b"),
                sequence=next(host.sequence),
                in_flight=local_loads(dispatcher.fleet),
                reading=dispatcher.fleet.local_prefill_tokens(self.now_s),
                waiting=waiting_by_model(dispatcher.waiting_requests),
                workspaces=dispatcher.order.local_tokens(self.now_s),
                waiting_over=dispatcher.order.waiting_over(),
            )
            for other in self.hosts:
                if other is not host and self.exchanges_digests:
                    self._later(
                        DIGEST_DELAY_S,
                        lambda other=other, digest=digest: (
                            other.dispatcher.fleet.peer_loads.apply_digest(
                                digest, self.now_s
                            )
                        ),
                    )
