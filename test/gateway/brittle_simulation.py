"""Hosts that send to brittle upstreams, in virtual time and without I/O."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from acaciaspoke.gateway.attempt_result import Ending
from acaciaspoke.gateway.dispatch import Assignment, DroppedRequest
from acaciaspoke.gateway.load_reports import local_loads
from acaciaspoke.gateway.messages import LoadDigest, Message
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.place_exchange import PlaceExchange
from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import BootId, HostId, UpstreamId
from test.gateway.builders import new_dispatcher, record, request, route

STEP_S = 0.005
GOSSIP_S = 0.1
MAX_AGE_S = 1.0
TICK_S = 0.05

# From the platform's rule: from when on brittle upstreams let fewer wait, and
# how many falls are allowed.
CONTACT_S = 3.0
DOWN_S = 4.0


def allowed_falls(upstreams: int) -> float:
    """Returns how often the upstreams of a service may fall."""
    return 2 + upstreams / 10


class BrittleUpstream:
    """An upstream that falls over if it refuses too much.

    Attributes:
        name: Its id.
        refusals_per_s: Refusals a second that it survives, as it names them
            while it is brittle; None otherwise.
        brittle_since_s: Since when it names them.
        falls_s: When it fell over.
        refused: Requests that it has refused.
    """

    def __init__(self, deployment: "Deployment", name: str, waiting_room: int):
        self.name = UpstreamId(name)
        self.refusals_per_s: int | None = None
        self.brittle_since_s = 0.0
        self.falls_s: list[float] = []
        self.refused = 0
        self._deployment = deployment
        self._waiting_room = waiting_room
        self._refused_s: list[float] = []
        self._running: dict[int, Callable[[Ending], None]] = {}
        self._waiting: list[tuple[int, Callable[[Ending], None]]] = []
        self._numbers = itertools.count()

    @property
    def is_down(self) -> bool:
        """Whether it has fallen and is not back yet."""
        now_s = self._deployment.now_s
        return bool(self.falls_s) and now_s < self.falls_s[-1] + DOWN_S

    @property
    def _room(self) -> int:
        now_s = self._deployment.now_s
        if (
            self.refusals_per_s is None
            or now_s < self.brittle_since_s + CONTACT_S
        ):
            return self._deployment.slots
        return self._waiting_room

    def get(self, respond: Callable[[Ending], None]) -> Callable[[], None]:
        """Gets a request; returns what its caller's leaving does."""
        number = next(self._numbers)
        if self.is_down:
            respond(Ending.NOT_SENT)
        elif len(self._running) < self._deployment.slots:
            self._start(number, respond)
        elif len(self._waiting) < self._room:
            self._waiting.append((number, respond))
        else:
            respond(Ending.NOT_EXECUTED)
            self._record_refusal()
        return lambda: self._drop(number)

    def _start(self, number: int, respond: Callable[[Ending], None]) -> None:
        self._running[number] = respond
        length_s = self._deployment.draw_service_s()
        self._deployment.later(length_s, lambda: self._end(number))

    def _end(self, number: int) -> None:
        respond = self._running.pop(number, None)
        if respond is not None:
            respond(Ending.ANSWERED)
            self._start_next()

    def _start_next(self) -> None:
        if self._waiting and len(self._running) < self._deployment.slots:
            self._start(*self._waiting.pop(0))

    def _drop(self, number: int) -> None:
        self._waiting = [each for each in self._waiting if each[0] != number]
        if self._running.pop(number, None) is not None:
            self._start_next()

    def _record_refusal(self) -> None:
        now_s = self._deployment.now_s
        self.refused += 1
        self._refused_s = [
            each for each in self._refused_s if each > now_s - 1
        ] + [now_s]
        if (
            self.refusals_per_s is not None
            and now_s >= self.brittle_since_s + CONTACT_S
            and len(self._refused_s) > self.refusals_per_s
        ):
            self.fall()

    def fall(self) -> None:
        """Ends its process, which is back after some time."""
        self.falls_s.append(self._deployment.now_s)
        waiting = [respond for _, respond in self._waiting]
        lost = [*self._running.values(), *waiting]
        self._running, self._waiting, self._refused_s = {}, [], []
        for respond in lost:
            respond(Ending.BROKEN)


class SimulatedHost:
    """A host's dispatcher and exchange.

    Attributes:
        frozen_until_s: Until when the host stands still.
        inbox: What arrives while it does.
        is_old: Whether it runs an earlier release, without places.
        leave: What ends a request whose caller leaves, by its id.
    """

    def __init__(self, deployment: "Deployment", name: str, is_old: bool):
        self.name = HostId(name)
        self.boot = BootId(f"{name}-{deployment.now_s}")
        self.is_old = is_old
        self.frozen_until_s = 0.0
        self.inbox: list[Callable[[], None]] = []
        self.last_seen_s: dict[HostId, float] = {}
        self.has_gossip = deployment.has_gossip
        self.gossip_due_s = deployment.now_s
        self.tick_due_s = deployment.now_s
        self.leave: dict[str, Callable[[], None]] = {}
        self.dispatcher = new_dispatcher(*deployment.records.values())
        self.exchange = PlaceExchange(
            self.name,
            self.dispatcher,
            GatewayMetrics(),
            lambda message, hosts: deployment.post(self, message, hosts),
            self.live
            if deployment.has_gossip
            else lambda _: [host for host in deployment.hosts if host != name],
            count_hosts=lambda: len(deployment.registered),
            on_places=lambda: deployment.dispatch(self),
            clock=lambda: deployment.now_s,
        )

    def live(self, now_s: float) -> list[HostId]:
        """Returns the hosts that have sent a message lately."""
        return [
            host
            for host, seen_s in self.last_seen_s.items()
            if now_s - seen_s <= MAX_AGE_S
        ]


class Deployment:
    """Hosts and upstreams that share a virtual clock.

    Attributes:
        slots: Requests that an upstream runs at once.
        hosts: The hosts that run.
        registered: The hosts that have a row, also dead ones.
        upstreams: The upstreams.
        results: How requests ended, by status.
        datagrams: Messages sent, by their type.
        has_gossip: Whether hosts send digests. Otherwise, as through
            aggregators, all know who is alive and which upstreams are brittle.
        submit_at: The only host at which requests arrive; None for any.
    """

    def __init__(
        self,
        hosts: int = 6,
        upstreams: int = 6,
        *,
        slots: int = 6,
        waiting_room: int = 1,
        service_s: float = 0.2,
        engines: bool = False,
        loss: float = 0.0,
        old_hosts: int = 0,
        has_gossip: bool = True,
        seed: int = 1,
    ):
        self.now_s = 100.0
        self.slots = slots
        self.draw = random.Random(seed)
        self._service_s = service_s
        self._loss = loss
        self.has_gossip = has_gossip
        self._engines = engines
        self.records = {
            f"u{number}": record(
                f"u{number}",
                *(("m1",) if engines else ()),
                slots=slots,
                failure_domain="abc"[number % 3],
            )
            for number in range(upstreams)
        }
        self.upstreams = {
            UpstreamId(name): BrittleUpstream(self, name, waiting_room)
            for name in self.records
        }
        self.registered: set[HostId] = set()
        self.hosts: dict[HostId, SimulatedHost] = {}
        self.results: Counter[str] = Counter()
        self.datagrams: Counter[str] = Counter()
        self.submit_at: str | None = None
        self._events: list[tuple] = []
        self._numbers = itertools.count(1)
        for number in range(hosts):
            self.start(f"h{number}", number < old_hosts)

    # What tests do.

    def start(self, name: str, is_old: bool = False) -> None:
        """Starts a host."""
        host = SimulatedHost(self, name, is_old)
        self.hosts[host.name] = host
        self.registered.add(host.name)

    def kill(self, name: str) -> None:
        """Kills a host; its row stays, and its connections break."""
        for leave in self.hosts.pop(HostId(name)).leave.values():
            leave()

    def become_brittle(self, refusals_per_s: int | None) -> None:
        """Has all upstreams name what they survive, or no longer."""
        for upstream in self.upstreams.values():
            upstream.refusals_per_s = refusals_per_s
            upstream.brittle_since_s = self.now_s
        for host in self.hosts.values() if not self.has_gossip else ():
            for name in self.upstreams:
                host.dispatcher.fleet.brittle.named.record_limit(
                    name, 1, refusals_per_s, self.now_s
                )

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that all upstreams can run."""
        return len(self.upstreams) * self.slots / self._service_s

    @property
    def falls(self) -> int:
        """How often any upstream fell over."""
        return sum(len(each.falls_s) for each in self.upstreams.values())

    @property
    def refused(self) -> int:
        """Requests that upstreams have refused."""
        return sum(each.refused for each in self.upstreams.values())

    def owner(self) -> HostId:
        """Returns the host that owns the room of the service."""
        host = next(each for each in self.hosts.values() if not each.is_old)
        return next(iter(host.exchange._owners.values()))

    def run(self, length_s: float, demand: float = 0.0) -> None:
        """Lets time pass while requests arrive.

        Args:
            length_s: How long.
            demand: The requests, as a share of what the upstreams can run.
        """
        end_s = self.now_s + length_s
        per_s = demand * self.capacity_per_s
        due_s = self.now_s
        while self.now_s < end_s:
            self.now_s = round(self.now_s + STEP_S, 6)
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            while per_s and due_s <= self.now_s:
                due_s += self.draw.expovariate(per_s)
                name = self.submit_at or self.draw.choice(sorted(self.hosts))
                self._submit(self.hosts[HostId(name)])
            for host in list(self.hosts.values()):
                self._step(host)

    # The network and the upstreams.

    def draw_service_s(self) -> float:
        """Returns how long a request runs."""
        return self._service_s * self.draw.uniform(0.5, 1.5)

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Does something after a time."""
        entry = (self.now_s + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def post(
        self, sender: SimulatedHost, message: Message, hosts: Iterable[HostId]
    ) -> Message:
        """Sends a message."""
        message = msgspec.structs.replace(
            message,
            host=sender.name,
            boot=sender.boot,
            sequence=next(self._numbers),
        )
        for host in hosts:
            self.datagrams[type(message).__name__] += 1
            if self.draw.random() < self._loss:
                continue
            self.later(
                self.draw.uniform(0.001, 0.01),
                lambda host=host: self._reach(
                    host, lambda host: self._receive(sender.name, host, message)
                ),
            )
        return message

    def _reach(
        self, name: HostId, action: Callable[[SimulatedHost], None]
    ) -> None:
        """Lets a host that runs do something, once it does not stand still."""
        host = self.hosts.get(name)
        if host is None:
            return
        if self.now_s < host.frozen_until_s:
            host.inbox.append(lambda: action(host))
        else:
            action(host)

    def _receive(
        self, sender: HostId, host: SimulatedHost, message: Message
    ) -> None:
        host.last_seen_s[sender] = self.now_s
        if isinstance(message, LoadDigest):
            fleet = host.dispatcher.fleet
            fleet.peer_loads.apply_digest(message, self.now_s)
            if not host.is_old:
                fleet.brittle.named.apply_reports(message.brittle, self.now_s)
            self.dispatch(host)
        elif not host.is_old:
            host.exchange.handle(message)

    # Hosts.

    def _submit(self, host: SimulatedHost) -> None:
        if self.now_s < host.frozen_until_s:
            self.results["frozen"] += 1
            return
        priority = self.draw.choice((0, 1, 1, 2)) if self._engines else 0
        changes = {} if self._engines else {"artifact": None}
        new = request(
            f"q{next(self._numbers)}",
            self.now_s,
            route=route(priority=priority, timeout_s=1.5),
            **changes,
        )
        if host.dispatcher.submit(new, self.now_s) is not None:
            self.results["refused"] += 1
            return
        self.later(
            new.deadline_s - self.now_s,
            lambda: self._reach(host.name, lambda host: self._leave(host, new)),
        )
        self.dispatch(host)

    def _leave(self, host: SimulatedHost, done: Request) -> None:
        if done.id in host.leave:
            host.leave.pop(done.id)()
            host.dispatcher.cancel(done)
            self.results["late"] += 1

    def dispatch(self, host: SimulatedHost) -> None:
        """Sends the requests that can be sent."""
        for decision in host.dispatcher.decide(self.now_s):
            if isinstance(decision, DroppedRequest):
                self.results["refused"] += 1
            else:
                self._send(host, decision)

    def _send(self, host: SimulatedHost, assignment: Assignment) -> None:
        upstream = self.upstreams[assignment.upstream]
        state = {"left": False, "leave": lambda: None}

        def leave() -> None:
            state["left"] = True
            state["leave"]()

        def respond(ending: Ending) -> None:
            self.later(
                self.draw.uniform(0.001, 0.004),
                lambda: self._reach(
                    host.name, lambda host: finish(host, ending)
                ),
            )

        def finish(host: SimulatedHost, ending: Ending) -> None:
            if not state["left"]:
                self._finish(host, assignment, ending)

        def arrive() -> None:
            if not state["left"]:
                state["leave"] = upstream.get(respond)

        host.leave[assignment.request.id] = leave
        self.later(self.draw.uniform(0.001, 0.004), arrive)

    def _finish(
        self, host: SimulatedHost, assignment: Assignment, ending: Ending
    ) -> None:
        done, name = assignment.request, assignment.upstream
        host.leave.pop(done.id, None)
        dispatcher, fleet = host.dispatcher, host.dispatcher.fleet
        dispatcher.record_finished(done)
        is_response = ending in (Ending.ANSWERED, Ending.NOT_EXECUTED)
        if is_response:
            fleet.record_received(name, self.now_s)
            self._apply_notice(host, assignment)
        if ending is Ending.ANSWERED:
            dispatcher.record_success(done, name, self.now_s)
            self.results["served"] += 1
            self.dispatch(host)
            return
        if ending is Ending.NOT_EXECUTED:
            fleet.record_refusal(name, self.now_s)
        else:
            done.tried.add(name)
            fleet.record_failure(name, self.now_s)
        if ending is Ending.BROKEN:
            self.results["broken"] += 1
        else:
            is_sent = ending is Ending.NOT_EXECUTED
            dispatcher.resubmit(done, self.now_s, was_sent=is_sent)
        self.dispatch(host)

    def _apply_notice(
        self, host: SimulatedHost, assignment: Assignment
    ) -> None:
        name = assignment.upstream
        named = host.dispatcher.fleet.brittle.named
        refusals_per_s = self.upstreams[name].refusals_per_s
        if host.is_old:
            return
        if refusals_per_s is not None:
            named.record_limit(name, 1, refusals_per_s, self.now_s)
        else:
            sent_s = assignment.request.sent_s
            named.record_no_limit(name, 1, sent_s, self.now_s)

    def _step(self, host: SimulatedHost) -> None:
        if self.now_s < host.frozen_until_s:
            return
        received, host.inbox = host.inbox, []
        for action in received:
            action()
        if not host.is_old:
            host.exchange.step()
        if self.now_s >= host.tick_due_s:
            host.tick_due_s = self.now_s + TICK_S
            self.dispatch(host)
        if self.has_gossip and self.now_s >= host.gossip_due_s:
            host.gossip_due_s = self.now_s + GOSSIP_S
            fleet = host.dispatcher.fleet
            digest = LoadDigest(
                in_flight=local_loads(fleet),
                brittle=fleet.brittle.named.reports(self.now_s),
            )
            others = [other for other in self.hosts if other != host.name]
            self.post(host, digest, others)
