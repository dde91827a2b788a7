"""Entry processes, reports and orders around the fakes."""

import math
import random

import msgspec

from acaciaspoke.config.schema import Upstream
from acaciaspoke.entry.queue import Urgency
from acaciaspoke.entry.request import Request
from acaciaspoke.entry.retry import (
    Exchange,
    Outcome,
    RetryBudget,
    may_retry,
    outcome_of,
)
from acaciaspoke.entry.routing import Fleet
from acaciaspoke.entry.suspects import Suspects, Verdict
from acaciaspoke.net.messages import UpstreamState, UpstreamView
from bench.policy import placements
from bench.policy.clock import Clock
from bench.policy.deployments import (
    DOMAINS,
    RANKS,
    Arrival,
    Deployment,
    artifacts_of,
    upstreams_of,
)
from bench.policy.engine import Call, Engine, WeightStore
from bench.policy.policies import Policy

LOCAL_DELAY_S = 0.0002
POLL_S = 1.0
MISSED_AFTER_S = 3.0
GOSSIP_S = 0.03
BALANCER_DELAY_S = 1.0
HOST_LIST_DELAY_S = 15.0
PLAN_S = 0.25
LEARN_S = 1.0
ORDER_DELAY_S = 0.02

# A flood of work of little worth must not push out replicas that others use.
WORTH_WEIGHTS = {
    name: math.sqrt(rank.worth / max(r.worth for r in RANKS.values()))
    for name, rank in RANKS.items()
}


class Record(msgspec.Struct):
    """What became of a request."""

    arrival: Arrival
    dispatched: bool = False
    first_s: float | None = None
    sent_s: float = 0.0
    end_s: float | None = None
    outcome: Outcome | None = None
    error: str = ""


class Flight(msgspec.Struct):
    """A request inside an entry process."""

    record: Record
    tries: int = 0
    tried: tuple[str, ...] = ()


class EntryProcess:
    """Wires the decision modules as the dispatcher does."""

    def __init__(self, world: "World", domain: str, number: int):
        policy = world.policy
        self.world = world
        self.domain = domain
        self.rng = random.Random(number)
        self.queue = policy.queue(self.rng)
        self.choose = policy.chooser()
        self.limits = policy.limits(world.deployment.entry_processes, self.rng)
        self.fleet = Fleet(world.upstreams)
        self.budget = RetryBudget()
        self.suspects = Suspects()
        self.flights: dict[str, Flight] = {}
        self.alive = True
        self._choice: str | None = None
        self._urgency = Urgency(0, False)
        world.clock.every(0.1, self._tick)

    def receive(self, arrival: Arrival, record: Record) -> None:
        """Takes a request from the load balancer."""
        request = arrival.request
        self.flights[request.request_id] = Flight(record)
        self.budget.note_request(self.world.clock.now_s)
        self.limits.note_arrival(
            RANKS[request.rank].level, self.world.clock.now_s
        )
        refusal = self.queue.offer(request, self.world.clock.now_s)
        if refusal is not None:
            self._fail(request, Outcome.NOT_RUN, refusal.reason.value)
            return
        self.pump()

    def report(self, view: UpstreamView) -> None:
        """Takes a view from the control process."""
        if not self.alive:
            return
        for status in self.fleet.update([view], self.world.clock.now_s):
            self.limits.reported(status)
        self.pump()

    def crash(self) -> None:
        """Ends with everything that it holds."""
        self.alive = False
        for flight in list(self.flights.values()):
            request = flight.record.arrival.request
            self._fail(request, Outcome.UNKNOWN, "entry process lost")

    def pump(self) -> None:
        """Dispatches what can be dispatched now."""
        now_s = self.world.clock.now_s
        while self.alive:
            waiting = self.queue.waiting()
            request = self.queue.take(now_s, self._dispatchable)
            if request is None:
                return
            with_work = [rank for rank, count in waiting.items() if count]
            self.world.dispatches.append((now_s, request.rank, with_work))
            self._send(request, self._choice)

    def _dispatchable(self, request: Request, urgency: Urgency) -> bool:
        flight = self.flights[request.request_id]
        now_s = self.world.clock.now_s
        verdict = self.suspects.verdict(request.fingerprint, now_s)
        if verdict is Verdict.HELD:
            return False
        self._urgency = urgency
        self._choice = self.choose(
            request,
            self.fleet,
            own_domain=self.domain,
            has_room=lambda s: self.limits.has_room(s, urgency, now_s),
            rng=self.rng,
            tried=flight.tried,
            suspect=verdict is Verdict.SUSPECT,
        )
        return self._choice is not None

    def _send(self, request: Request, upstream: str) -> None:
        flight = self.flights[request.request_id]
        now_s = self.world.clock.now_s
        suspect = self.suspects.verdict(request.fingerprint, now_s)
        self.fleet.sent(
            upstream,
            request,
            now_s,
            suspect=suspect is Verdict.SUSPECT,
            flooding=self._urgency.flooding,
        )
        flight.tries += 1
        flight.record.dispatched = True
        flight.record.sent_s = now_s
        tried = flight.tries
        call = Call(
            flight.record.arrival,
            self._urgency.level if self.world.policy.ranked else 0,
            lambda: self._later(upstream, self._first, request, tried),
            lambda how: self._later(
                upstream, self._end, request, upstream, how, tried
            ),
        )
        self._later(upstream, self.world.engines[upstream].submit, call)

    def _later(self, upstream: str, call, *args) -> None:
        domain = self.world.upstreams[upstream].failure_domain
        delay_s = LOCAL_DELAY_S
        if domain != self.domain:
            delay_s = self.world.deployment.domain_delay_s
        self.world.clock.after(delay_s, call, *args)

    def _first(self, request: Request, tried: int) -> None:
        flight = self.flights.get(request.request_id)
        if flight is not None and flight.tries == tried:
            flight.record.first_s = self.world.clock.now_s

    def _end(
        self, request: Request, upstream: str, how: str, tried: int
    ) -> None:
        flight = self.flights.get(request.request_id)
        if not self.alive or flight is None:
            return
        now_s = self.world.clock.now_s
        if how == "broken":
            self._lost(upstream)
        sent = self.fleet.finished(upstream, request.request_id)
        status = self.fleet.upstreams[upstream]
        if how == "done":
            self.limits.succeeded(status)
            self._share(self.suspects.succeeded(request.fingerprint, now_s))
            flight.record.end_s = now_s
            flight.record.outcome = Outcome.RAN
            del self.flights[request.request_id]
        else:
            if how == "refused" and sent is not None:
                self.limits.refused(status, sent.sent_s, now_s)
            flight.tried = (*flight.tried, upstream)
            self._retry(request, flight, how)
        self.pump()

    def _retry(self, request: Request, flight: Flight, how: str) -> None:
        now_s = self.world.clock.now_s
        exchange = Exchange(
            bytes_sent=1,
            refused=how == "refused",
            relayed=flight.record.first_s is not None,
        )
        if may_retry(
            request,
            exchange,
            tries=flight.tries,
            budget=self.budget,
            now_s=now_s,
        ):
            self.budget.note_retry(now_s)
            self.queue.put_back(request, now_s, apart=True)
        else:
            self._fail(request, outcome_of(exchange), how)

    def _lost(self, upstream: str) -> None:
        """Notes a crash when the first of its connections breaks."""
        status = self.fleet.upstreams[upstream]
        if status.state is not UpstreamState.LIVE:
            return
        status.lost(self.world.clock.now_s)
        in_flight = [
            (sent.request.fingerprint, sent.suspect)
            for sent in status.in_flight.values()
        ]
        notices = self.suspects.crashed(
            status.boot_id, in_flight, self.world.clock.now_s
        )
        self._share(notices)
        held = [notice.fingerprint for notice in notices]
        self.world.clock.after(2 * GOSSIP_S, self._shared, held)

    def _shared(self, fingerprints) -> None:
        self.suspects.shared(fingerprints)
        self.pump()

    def _share(self, notices) -> None:
        if notices:
            self.world.clock.after(GOSSIP_S, self.world.gossip, self, notices)

    def _tick(self) -> None:
        if not self.alive:
            return
        for request in self.queue.expire(self.world.clock.now_s):
            self._fail(request, Outcome.NOT_RUN, "expired")
        self.pump()

    def _fail(self, request: Request, outcome: Outcome, error: str) -> None:
        flight = self.flights.pop(request.request_id)
        flight.record.outcome = outcome
        flight.record.error = error


class Network(msgspec.Struct, frozen=True):
    """How late reports come, and how many are lost."""

    report_delay_s: tuple[float, float] = (0.02, 0.15)
    lost_share: float = 0.0


class World:
    """One run of one policy."""

    def __init__(
        self,
        deployment: Deployment,
        policy: Policy,
        network: Network,
        weights: dict[str, float],
        per_s: float,
    ):
        self.deployment = deployment
        self.policy = policy
        self.network = network
        self.clock = Clock()
        self.rng = random.Random(1)
        self.upstreams: dict[str, Upstream] = upstreams_of(deployment)
        self.artifacts = artifacts_of(deployment)
        self.store = WeightStore(deployment, self.clock)
        self.engines = {
            name: Engine(name, config, self.clock)
            for name, config in self.upstreams.items()
        }
        self.planner = Planner(self)
        if policy.prepared:
            self.planner.prepare(weights, per_s)
        self.entries = [
            EntryProcess(self, DOMAINS[n % 3], n)
            for n in range(deployment.entry_processes)
        ]
        self.behind_balancer = list(self.entries)
        self.records: list[Record] = []
        self.dispatches: list[tuple[float, str, list[str]]] = []
        for engine in self.engines.values():
            self._poll(engine)
            self.clock.at(self.rng.uniform(0, POLL_S), self._poll_on, engine)
        self.clock.every(LEARN_S, self.planner.learn)
        self.clock.every(PLAN_S, self.planner.plan)

    def run(self, arrivals: list[Arrival], until_s: float) -> list[Record]:
        """Plays the arrivals; returns what became of each."""
        for arrival in arrivals:
            self.clock.at(arrival.request.arrived_s, self._arrive, arrival)
        self.clock.run(until_s)
        return self.records

    def gossip(self, sender: EntryProcess, notices) -> None:
        """Merges suspicions into the other entry processes."""
        for entry in self.entries:
            if entry is not sender and entry.alive:
                entry.suspects.merge(notices, self.clock.now_s)

    def lose_upstream(self, name: str) -> None:
        """Crashes an upstream for good."""
        self.engines[name].crash()
        for delay_s in (MISSED_AFTER_S, 2 * MISSED_AFTER_S):
            self.clock.after(delay_s, self._missed, name)

    def lose_domain(self, domain: str) -> None:
        """Loses the upstreams and entry processes of a failure domain."""
        for name, config in self.upstreams.items():
            if config.failure_domain == domain:
                self.lose_upstream(name)
        gone = [e for e in self.entries if e.domain == domain]
        for entry in gone:
            entry.crash()
        self.clock.after(BALANCER_DELAY_S, self._balance)
        self.clock.after(HOST_LIST_DELAY_S, self._recount)

    def _balance(self) -> None:
        self.behind_balancer = [e for e in self.entries if e.alive]

    def _recount(self) -> None:
        alive = [e for e in self.entries if e.alive]
        for entry in alive:
            entry.limits.set_entry_processes(len(alive))

    def _missed(self, name: str) -> None:
        view = UpstreamView(upstream=name, state=UpstreamState.SUSPECT)
        for entry in self.entries:
            entry.report(view)

    def _arrive(self, arrival: Arrival) -> None:
        record = Record(arrival)
        self.records.append(record)
        self.planner.note(arrival.request)
        entry = self.rng.choice(self.behind_balancer)
        if entry.alive:
            entry.receive(arrival, record)
        else:
            record.outcome = Outcome.NOT_RUN
            record.error = "entry process lost"

    def _poll_on(self, engine: Engine) -> None:
        self._poll(engine)
        self.clock.after(POLL_S, self._poll_on, engine)

    def _poll(self, engine: Engine) -> None:
        if not engine.alive:
            return
        view = engine.view()
        taken_s = self.clock.now_s
        for entry in self.entries:
            if self.clock.now_s and self.rng.random() < self.network.lost_share:
                continue
            delay_s = 0.0
            if self.clock.now_s:
                delay_s = self.rng.uniform(*self.network.report_delay_s)
            self.clock.after(delay_s, self._pass_on, entry, view, taken_s)

    def _pass_on(
        self, entry: EntryProcess, view: UpstreamView, taken_s: float
    ) -> None:
        age_s = self.clock.now_s - taken_s
        entry.report(msgspec.structs.replace(view, report_age_s=age_s))


class Planner:
    """Gathers demand, calls the placement and sends its orders."""

    def __init__(self, world: World):
        self.world = world
        self.last_used_s: dict[str, float] = {}
        self._demand: dict[str, dict[str, float]] = {}
        self._arrived: dict[str, dict[str, int]] = {}
        self._use: dict[str, float] = {}

    def note(self, request: Request) -> None:
        """Counts an arrival."""
        name = request.artifact
        if name is None:
            return
        self.last_used_s[name] = self.world.clock.now_s
        base = self.world.artifacts[name].base_model
        if base is not None:
            self.last_used_s[base] = self.world.clock.now_s
        ranks = self._arrived.setdefault(name, {})
        ranks[request.rank] = ranks.get(request.rank, 0) + 1

    def prepare(self, weights: dict[str, float], per_s: float) -> None:
        """Loads, before the run, what the long-term demand asks for."""
        for name, weight in weights.items():
            base = self.world.artifacts[name].base_model or name
            use = self._use.get(base, 0.0)
            # Mean slot time of the mix of work is about 2.3 s.
            self._use[base] = use + weight * per_s * 2.3
            self._demand[name] = {"urgent": weight * per_s}
        for _ in range(100):
            situation = self._situation()
            situation.concurrent_loads = 1000
            orders = placements.replicate(situation)
            for order in orders:
                self._execute(order, at_once=True)
            if not orders:
                break

    def plan(self) -> None:
        """Runs the placement and sends its orders."""
        for order in self.world.policy.place(self._situation()):
            self.world.clock.after(ORDER_DELAY_S, self._execute, order)

    def learn(self) -> None:
        """Averages demand and slot use over about 10 s."""
        keep = 0.9
        for name in self._demand.keys() | self._arrived.keys():
            old = self._demand.setdefault(name, {})
            new = self._arrived.get(name, {})
            for rank in old.keys() | new.keys():
                old[rank] = keep * old.get(rank, 0.0) + (1 - keep) * new.get(
                    rank, 0
                )
        self._arrived = {}
        use: dict[str, float] = {}
        for entry in self.world.entries:
            for flight in entry.flights.values():
                name = flight.record.arrival.request.artifact
                if name is not None:
                    base = self.world.artifacts[name].base_model or name
                    rank = flight.record.arrival.request.rank
                    use[base] = use.get(base, 0.0) + WORTH_WEIGHTS[rank]
        for base in use.keys() | self._use.keys():
            self._use[base] = keep * self._use.get(base, 0.0) + (
                1 - keep
            ) * use.get(base, 0.0)

    def _situation(self) -> placements.Situation:
        engines = {
            name: placements.EngineState(
                name=name,
                failure_domain=engine.config.failure_domain,
                slots=engine.config.slots,
                free_bytes=engine.free_bytes,
                resident=engine.resident | engine.reserved,
            )
            for name, engine in self.world.engines.items()
            if engine.alive and engine.config.memory_bytes
        }
        held = {n for e in engines.values() for n in e.resident}
        waiting = {
            flight.record.arrival.request.artifact
            for entry in getattr(self.world, "entries", ())
            for flight in entry.flights.values()
        }
        return placements.Situation(
            now_s=self.world.clock.now_s,
            engines=engines,
            artifacts=self.world.artifacts,
            ranks=RANKS,
            demand=self._demand,
            slot_use=self._use,
            cold=waiting - held - {None},
            last_used_s=self.last_used_s,
            loads_running=self.world.store.model_loads_running,
            concurrent_loads=self.world.deployment.concurrent_model_loads,
        )

    def _execute(self, order: placements.Order, at_once: bool = False) -> None:
        engine = self.world.engines[order.engine]
        for name in order.unload:
            engine.unload(name)
        artifact = self.world.artifacts[order.load]
        held = engine.resident | engine.reserved
        if artifact.base_model and artifact.base_model not in engine.resident:
            return
        if order.load in held or not engine.reserve(artifact):
            return
        if at_once:
            engine.loaded(order.load, engine.boots)
        else:
            self.world.store.load(engine, artifact)
