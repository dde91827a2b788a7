"""One run: entry processes, reports and the platform around fake upstreams."""

import random

import msgspec

from acaciaspoke.config.schema import Upstream
from acaciaspoke.entry.retry import Outcome
from acaciaspoke.net.records import UpstreamState, UpstreamView
from bench.policy.clock import Clock
from bench.policy.deployments import (
    DOMAINS,
    Arrival,
    Deployment,
    artifacts_of,
    upstreams_of,
)
from bench.policy.domain_planner import DomainPlanners
from bench.policy.engine import Engine, WeightStore
from bench.policy.entry_process import EntryProcess, Record
from bench.policy.planner import Planner
from bench.policy.policies import Policy

POLL_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 3.0
BALANCER_DELAY_S = 1.0
HOST_LIST_DELAY_S = 15.0


class Network(msgspec.Struct, frozen=True):
    """Delay and loss of reports."""

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
        self.planner = (Planner if policy.place else DomainPlanners)(self)
        if policy.prepared:
            self.planner.prepare(weights, per_s)
        self.entries = [
            EntryProcess(self, DOMAINS[n % 3], n)
            for n in range(deployment.entry_processes)
        ]
        self.balanced_entries = list(self.entries)
        self.records: list[Record] = []
        self.dispatches: list[tuple[float, str, list[str]]] = []
        for engine in self.engines.values():
            self._poll(engine)
            self.clock.at(
                self.rng.uniform(0, POLL_INTERVAL_S),
                self._poll_repeatedly,
                engine,
            )
        self.planner.start()

    def run(self, arrivals: list[Arrival], until_s: float) -> list[Record]:
        """Runs the arrivals; returns a record of each."""
        for arrival in arrivals:
            self.clock.at(arrival.request.arrived_s, self._arrive, arrival)
        last_s = arrivals[-1].request.arrived_s
        self.clock.run(last_s)
        while self.clock.now_s < until_s and self._has_unfinished():
            self.clock.run(self.clock.now_s + 1.0)
        return self.records

    def _has_unfinished(self) -> bool:
        return any(record.outcome is None for record in self.records)

    def deliver_notices(self, sender: EntryProcess, notices) -> None:
        """Applies notices about crash suspects at the other entry processes."""
        for entry in self.entries:
            if entry is not sender and entry.alive:
                entry.suspects.merge(notices, self.clock.now_s)

    def lose_upstream(self, name: str) -> None:
        """Crashes an upstream; it is not restarted."""
        self.engines[name].crash()
        for delay_s in (REPORT_TIMEOUT_S, 2 * REPORT_TIMEOUT_S):
            self.clock.after(delay_s, self._report_suspect, name)

    def lose_domain(self, domain: str) -> None:
        """Crashes the upstreams and entry processes of a failure domain."""
        for name, config in self.upstreams.items():
            if config.failure_domain == domain:
                self.lose_upstream(name)
        lost = [e for e in self.entries if e.domain == domain]
        for entry in lost:
            entry.crash()
        self.planner.stop_domain(domain)
        self.clock.after(BALANCER_DELAY_S, self._update_balancer)
        self.clock.after(HOST_LIST_DELAY_S, self._update_entry_count)

    def _update_balancer(self) -> None:
        self.balanced_entries = [e for e in self.entries if e.alive]

    def _update_entry_count(self) -> None:
        alive = [e for e in self.entries if e.alive]
        for entry in alive:
            entry.limits.set_entry_processes(len(alive))

    def _report_suspect(self, name: str) -> None:
        view = UpstreamView(upstream=name, state=UpstreamState.SUSPECT)
        for entry in self.entries:
            entry.report(view)

    def _arrive(self, arrival: Arrival) -> None:
        record = Record(arrival, self._is_cold(arrival.request.artifact))
        self.records.append(record)
        if self.policy.place:
            self.planner.record_request(arrival.request)
        entry = self.rng.choice(self.balanced_entries)
        if entry.alive:
            entry.receive(arrival, record)
        else:
            record.outcome = Outcome.NOT_RUN
            record.error = "entry process lost"

    def _is_cold(self, artifact: str | None) -> bool:
        return artifact is not None and not any(
            artifact in engine.resident for engine in self.engines.values()
        )

    def _poll_repeatedly(self, engine: Engine) -> None:
        self._poll(engine)
        self.clock.after(POLL_INTERVAL_S, self._poll_repeatedly, engine)

    def _poll(self, engine: Engine) -> None:
        if not engine.alive:
            return
        view = engine.view()
        polled_s = self.clock.now_s
        for entry in self.entries:
            if self.clock.now_s and self.rng.random() < self.network.lost_share:
                continue
            delay_s = 0.0
            if self.clock.now_s:
                delay_s = self.rng.uniform(*self.network.report_delay_s)
            self.clock.after(
                delay_s, self._forward_report, entry, view, polled_s
            )

    def _forward_report(
        self, entry: EntryProcess, view: UpstreamView, polled_s: float
    ) -> None:
        age_s = self.clock.now_s - polled_s
        entry.report(msgspec.structs.replace(view, report_age_s=age_s))
