"""Simulates engines with prompt caches, and the hosts that choose them.

Engines prefill prompts one after the other, and hold the parts of prompts until
others displace them. Hosts know the loads of a tenth of a second ago and what
they have sent since.
"""

import heapq
import itertools
import random
import statistics
from collections import Counter, OrderedDict, deque
from typing import NamedTuple

import msgspec

from acaciaspoke.gateway.balance import (
    Loads,
    choose_upstream,
    record_prompt_use,
)
from acaciaspoke.gateway.engine_speed import EngineSpeed
from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.peerloads import MIN_PREFILL_S
from acaciaspoke.gateway.types import Configuration, PromptPart, Request
from acaciaspoke.ids import DomainId, PartId
from test.gateway.builders import SERVICE, artifact, record, request, route
from test.gateway.prompt_builders import configuration

TOKENS_PER_S = 38_000.0
STEP_S = 0.0044

# Time that each running request adds to a step, as a share of it.
STEP_SHARE = 0.04

# Age of the loads that hosts know.
REPORT_S = 0.1

LOCAL = DomainId("a")


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """What is simulated.

    Attributes:
        mode: ``hash`` (sessions only), ``first`` (by the first part), ``own``
            (what each host sent), ``shared`` (and what others report), or
            ``exact`` (all hosts know all).
        replicas: Engines that hold each model.
        use: Mean share of the slots that are in use.
        half_speed: Engines of half the speed.
    """

    mode: str
    engines: int = 12
    slots: int = 12
    memory_tokens: int = 38_723
    hosts: int = 12
    models: int = 24
    replicas: int = 3
    routes: int = 2
    use: float = 0.5
    half_speed: int = 0
    duration_s: float = 20.0
    seed: int = 1


class Outcome(NamedTuple):
    """Results of a simulation.

    Attributes:
        first_ms: Mean time to the first event.
        p95_first_ms: That of the slowest twentieth.
        read_share: Prompt tokens that engines processed, as a share of all.
        expected_error: Tokens that were expected cached and were not, as a
            share of those expected.
        busiest: Largest number of requests at an engine, as a share of slots.
        requests: Requests that ran.
        refused: Requests for which no engine had room.
        report_bytes_per_s: What the reports of parts add to the messages that
            one host gets.
    """

    first_ms: float
    p95_first_ms: float
    read_share: float
    expected_error: float
    busiest: float
    requests: int
    refused: int
    report_bytes_per_s: float


class Engine:
    """An engine with its prompt cache."""

    def __init__(self, memory_tokens: int, slowdown: float):
        self.memory_tokens = memory_tokens
        self.slowdown = slowdown
        self.running: dict[str, int] = {}
        self._free_at_s = 0.0
        self._parts: OrderedDict[tuple, int] = OrderedDict()

    def start(self, sent: Request, now_s: float) -> tuple[float, float, int]:
        """Returns when the first event and the end come, and tokens read."""
        read_tokens = sent.prompt_tokens - self._reuse(sent)
        start_s = max(now_s, self._free_at_s)
        prefill_s = read_tokens * self.slowdown / TOKENS_PER_S
        self._free_at_s = start_s + prefill_s
        self.running[sent.id] = sent.prompt_tokens + sent.output_tokens
        load = 1 + STEP_SHARE * len(self.running)
        step_s = STEP_S * load * self.slowdown
        first_s = self._free_at_s + step_s
        return first_s, first_s + sent.output_tokens * step_s, read_tokens

    def _reuse(self, sent: Request) -> int:
        """Returns the tokens of parts that are held; holds all afterwards."""
        chain, cached, is_held = (sent.artifact,), 0, True
        for part in sent.prompt_parts:
            chain = (*chain, part.id)
            is_held = is_held and chain in self._parts
            cached += part.tokens if is_held else 0
            self._parts[chain] = part.tokens
            self._parts.move_to_end(chain)
        free = self.memory_tokens - sum(self.running.values())
        while self._parts and sum(self._parts.values()) > free:
            self._parts.popitem(last=False)
        return cached


def make_requests(load: Load) -> list[Request]:
    """Returns requests in the order of their arrival."""
    rng = random.Random(load.seed)
    output_tokens = 100
    step_s = STEP_S * (1 + STEP_SHARE * load.slots * load.use)
    rate_per_s = (
        load.engines * load.slots * load.use / (output_tokens * step_s + 0.02)
    )
    weights = [1 / (rank + 1) ** 0.8 for rank in range(load.models)]
    gaps = (rng.expovariate(rate_per_s) for _ in itertools.count())
    sessions: list[tuple[int, int, int]] = []
    requests = []
    for number, now_s in enumerate(
        itertools.takewhile(
            lambda time_s: time_s < load.duration_s, itertools.accumulate(gaps)
        )
    ):
        if sessions and rng.random() < 0.6:
            session = rng.choice(sessions[-60:])
        else:
            (model,) = rng.choices(range(load.models), weights)
            session = (len(sessions), model, rng.randrange(load.routes))
            sessions.append(session)
        name, model, route_number = session
        prefix = f"{route_number:x}"
        shared = [
            PromptPart(PartId(f"{model:x}{prefix}{part}"), 100)
            for part in range(3)
        ]
        parts = (*shared, PromptPart(PartId(f"e{name:x}"), 70))
        requests.append(
            request(
                f"q{number}",
                now_s,
                route=route(has_session_affinity=True),
                artifact=artifact(f"m{model}"),
                prompt_tokens=370 + round(rng.expovariate(1 / 173)),
                output_tokens=rng.randrange(20, 2 * output_tokens - 20),
                affinity=parts[-1].id,
                prompt_parts=parts,
            )
        )
    return requests


class _Host:
    """One host: what it knows, and its choices."""

    def __init__(self, load: Load, settings: Configuration):
        self.fleet = Fleet()
        self.fleet.holdings.set_configuration(settings)
        for number in range(load.engines):
            models = (
                f"m{model}"
                for model in range(load.models)
                if (number - model * 5) % load.engines < load.replicas
            )
            self.fleet.put(record(f"u{number}", *models, slots=load.slots))


def simulate(load: Load) -> Outcome:
    """Simulates a load."""
    settings = configuration(load.memory_tokens, load.slots)
    count = 1 if load.mode == "exact" else load.hosts
    hosts = [_Host(load, settings) for _ in range(count)]
    engines = {
        f"u{number}": Engine(
            load.memory_tokens, 2.0 if number < load.half_speed else 1.0
        )
        for number in range(load.engines)
    }
    return _Run(load, hosts, engines).run()


class _Run:
    """The state of one simulation."""

    def __init__(
        self, load: Load, hosts: list[_Host], engines: dict[str, Engine]
    ):
        self._load = load
        self._hosts = hosts
        self._engines = engines
        self._rng = random.Random(load.seed + 1)
        self._speed = EngineSpeed()
        self._events: list[tuple[float, int, str, tuple]] = []
        self._numbers = itertools.count()
        self._reported: Counter = Counter()
        self._prefills: deque[tuple[float, str, int]] = deque()
        # What hosts sent since the report.
        self._sent: Counter = Counter()
        self._first_s: list[float] = []
        self._tokens = Counter()
        self._busiest = 0.0
        self._refused = 0
        self._report_bytes = 0

    def run(self) -> Outcome:
        for arrived in make_requests(self._load):
            self._push(arrived.arrived_s, "arrive", (arrived,))
        for tick in range(int(self._load.duration_s / REPORT_S)):
            self._push(tick * REPORT_S, "report", ())
        while self._events:
            now_s, _, kind, fields = heapq.heappop(self._events)
            getattr(self, f"_{kind}")(now_s, *fields)
        first_ms = sorted(1000 * value for value in self._first_s)
        tokens = self._tokens
        return Outcome(
            first_ms=statistics.fmean(first_ms),
            p95_first_ms=first_ms[int(0.95 * len(first_ms))],
            read_share=tokens["read"] / tokens["prompt"],
            expected_error=tokens["missed"] / max(1, tokens["expected"]),
            busiest=self._busiest,
            requests=len(first_ms),
            refused=self._refused,
            report_bytes_per_s=self._report_bytes / self._load.duration_s,
        )

    def _push(self, time_s: float, kind: str, fields: tuple) -> None:
        event = (time_s, next(self._numbers), kind, fields)
        heapq.heappush(self._events, event)

    def _report(self, now_s: float) -> None:
        self._reported = Counter(
            {name: len(e.running) for name, e in self._engines.items()}
        )
        self._sent = Counter()
        if self._load.mode == "shared":
            self._exchange(now_s)

    def _exchange(self, now_s: float) -> None:
        """Has each host send its reports to all others."""
        fleets = [host.fleet for host in self._hosts]
        reports = [fleet.holdings.take_reports() for fleet in fleets]
        for sender, held in enumerate(reports):
            if not held:
                continue
            self._report_bytes += len(msgspec.msgpack.encode(held))
            for receiver, fleet in enumerate(fleets):
                if receiver != sender:
                    fleet.holdings.apply_reports(held, fleet.upstreams, now_s)

    def _arrive(self, now_s: float, arrived: Request) -> None:
        number = self._rng.randrange(len(self._hosts))
        fleet = self._hosts[number].fleet
        running, prefill = Counter(self._reported), Counter()
        while self._prefills and now_s - self._prefills[0][0] > MIN_PREFILL_S:
            self._prefills.popleft()
        for _, name, tokens in self._prefills:
            prefill[name] += tokens
        # Notices of other hosts arrive at once.
        running.update(self._sent)
        mode = self._load.mode
        knows = mode in ("own", "shared", "exact")
        loads = Loads(
            running,
            prefill,
            speed=self._speed,
            slowdowns={n: e.slowdown for n, e in self._engines.items()},
            holdings=fleet.holdings if knows else None,
            now_s=now_s,
        )
        holders = fleet.holders(SERVICE, arrived.artifact, now_s)
        if mode == "first":
            arrived.affinity = arrived.prompt_parts[0].id
        chosen = choose_upstream(arrived, holders, loads, LOCAL, now_s)
        if chosen is None:
            if now_s < arrived.arrived_s + 1.0:
                self._push(now_s + 0.01, "arrive", (arrived,))
            else:
                self._refused += 1
            return
        record_prompt_use(arrived, chosen, holders, loads)
        self._send(number, arrived, chosen.record.upstream, now_s)

    def _send(self, number: int, sent: Request, name: str, now_s: float):
        for other, host in enumerate(self._hosts):
            if other != number:
                host.fleet.holdings.record_prefill(name, sent.uncached_tokens)
        self._sent[name] += 1
        self._prefills.append((now_s, name, sent.uncached_tokens))
        fleet = self._hosts[number].fleet
        sent.sent_s = now_s
        fleet.record_sent(fleet.upstreams[name], sent)
        engine = self._engines[name]
        first_s, end_s, read_tokens = engine.start(sent, now_s)
        cached = sent.prompt_tokens - read_tokens
        self._tokens.update(
            prompt=sent.prompt_tokens,
            read=read_tokens,
            expected=sent.expected_cached_tokens,
            missed=max(0.0, sent.expected_cached_tokens - cached),
        )
        share = len(engine.running) / self._load.slots
        self._busiest = max(self._busiest, share)
        self._first_s.append(first_s - sent.arrived_s)
        self._push(first_s, "first", (number, sent, name))
        self._push(end_s, "end", (number, sent, name))

    def _first(self, now_s: float, number: int, sent: Request, name: str):
        self._hosts[number].fleet.record_event(name, sent, now_s)

    def _end(self, now_s: float, number: int, sent: Request, name: str):
        del self._engines[name].running[sent.id]
        self._hosts[number].fleet.record_finished(name, sent)


if __name__ == "__main__":
    for slots, memory, use, hosts in (
        (12, 38_723, 0.5, 12),
        (12, 38_723, 0.5, 67),
        (12, 38_723, 0.85, 12),
        (24, 60_288, 0.5, 12),
        (24, 60_288, 0.85, 12),
    ):
        for mode in ("hash", "first", "own", "shared", "exact"):
            outcome = simulate(
                Load(
                    mode=mode,
                    slots=slots,
                    memory_tokens=memory,
                    use=use,
                    hosts=hosts,
                )
            )
            print(
                f"{slots} slots, use {use}, {hosts} hosts, {mode}:"
                f" first {outcome.first_ms:.1f} ms,"
                f" p95 {outcome.p95_first_ms:.1f} ms,"
                f" read {outcome.read_share:.3f},"
                f" error {outcome.expected_error:.3f},"
                f" busiest {outcome.busiest:.2f},"
                f" {outcome.requests} requests, {outcome.refused} refused,"
                f" {outcome.report_bytes_per_s:.0f} bytes/s"
            )
