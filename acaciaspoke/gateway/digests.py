"""Reports this host's loads and demand to other hosts."""

import time
from collections.abc import Callable

import anyio

from acaciaspoke.gateway.dispatch import Dispatcher
from acaciaspoke.gateway.leader import Leader
from acaciaspoke.gateway.load_reports import (
    local_loads,
    running_by_artifact,
    waiting_by_model,
)
from acaciaspoke.gateway.loadexchange import LoadExchange
from acaciaspoke.gateway.messages import DemandDigest, LoadDigest
from acaciaspoke.gateway.part_suspects import PartSuspects
from acaciaspoke.gateway.peers import Peers
from acaciaspoke.gateway.suspects import CrashSuspects
from acaciaspoke.gateway.types import Configuration
from acaciaspoke.ids import BootId, HostId

# How often loads are sent, and demand. Demand is also sent as soon as a request
# waits for a load.
DIGEST_INTERVAL_S = 0.1

# In a deployment with aggregators the leader receives demand of each host less
# often, unless a request waits for a load.
LARGE_DEPLOYMENT_DEMAND_INTERVAL_S = 0.2

# How often demand includes artifacts without recent requests, for a new leader.
FULL_DEMAND_INTERVAL_S = 1.0

# Demand is not sent more often than this, even if requests wait for a load.
MIN_DEMAND_INTERVAL_S = 0.008


class DigestSender:
    """Sends loads to all hosts, and demand to the leader."""

    def __init__(
        self,
        host: HostId,
        boot: BootId,
        next_sequence: Callable[[], int],
        dispatcher: Dispatcher,
        suspects: CrashSuspects,
        part_suspects: PartSuspects,
        leader: Leader,
        leader_host: Callable[[], HostId | None],
        configuration: Callable[[], Configuration | None],
        peers: Peers,
        loads: LoadExchange,
        is_detached: Callable[[], bool],
        is_stopping: Callable[[], bool],
    ):
        """Creates a sender that has sent nothing.

        Args:
            host: This host.
            boot: The boot of this process.
            next_sequence: Numbers the messages of the boot.
            dispatcher: Returns the loads and the demand.
            suspects: Returns this host's lost attempts.
            part_suspects: Returns what this host knows of prompt parts.
            leader: Gets the demand directly if this host holds the lease.
            leader_host: Returns the host of the leader, if known.
            configuration: Returns the version in force.
            peers: Sends demand.
            loads: Sends loads.
            is_detached: Returns whether this host serves none for others.
            is_stopping: Returns whether this host was told to stop.
        """
        self._is_stopping = is_stopping
        self._is_detached = is_detached
        self._host = host
        self._boot = boot
        self._next_sequence = next_sequence
        self._dispatcher = dispatcher
        self._suspects = suspects
        self._part_suspects = part_suspects
        self._leader = leader
        self._leader_host = leader_host
        self._configuration = configuration
        self._peers = peers
        self._loads = loads
        self._requested = anyio.Event()
        self._full_demand_due_s = 0.0
        self._demand_due_s = 0.0

    def request_demand_digest(self) -> None:
        """Has demand sent at once, as a request waits for a load."""
        self._requested.set()

    async def run(self) -> None:
        """Sends loads and demand until cancelled."""
        due_s = 0.0
        while True:
            with anyio.move_on_after(max(0.0, due_s - time.monotonic())):
                await self._requested.wait()
            is_requested, self._requested = (
                self._requested.is_set(),
                anyio.Event(),
            )
            now_s = time.monotonic()
            if is_requested or now_s >= self._demand_due_s:
                self._demand_due_s = now_s + self._demand_interval_s
                self._send_demand(now_s)
            if now_s >= due_s:
                due_s = now_s + DIGEST_INTERVAL_S
                self._send_load()
            await anyio.sleep(MIN_DEMAND_INTERVAL_S)

    @property
    def _demand_interval_s(self) -> float:
        if self._loads.is_direct:
            return DIGEST_INTERVAL_S
        return LARGE_DEPLOYMENT_DEMAND_INTERVAL_S

    def _send_load(self) -> None:
        configuration = self._configuration()
        now_s = time.monotonic()
        digest = LoadDigest(
            in_flight=local_loads(self._dispatcher.fleet),
            reading=self._dispatcher.fleet.local_prefill_tokens(now_s),
            waiting=waiting_by_model(self._dispatcher.waiting_requests),
            unreachable=self._dispatcher.fleet.reachability.local_unreachable(
                now_s
            ),
            slow=tuple(self._dispatcher.fleet.event_intervals.slow(now_s)),
            configuration=configuration.version if configuration else 0,
            crashes=self._suspects.local_counts(now_s),
            suspected_parts=self._part_suspects.local_evidence(now_s),
            limits=self._dispatcher.fleet.limits.reports(now_s),
            brittle=self._dispatcher.fleet.brittle.named.reports(now_s),
            slowdowns=self._dispatcher.fleet.slowdowns.reports(now_s),
            held_parts=self._dispatcher.fleet.holdings.take_reports(),
            workspaces=self._dispatcher.order.local_tokens(now_s),
            waiting_over=self._dispatcher.order.waiting_over(),
            reached=self._dispatcher.fleet.reachability.reached(now_s),
            detached=(self._host,) if self._is_detached() else (),
            stopping=(self._host,) if self._is_stopping() else (),
        )
        self._loads.send(digest)

    def _send_demand(self, now_s: float) -> None:
        full = now_s >= self._full_demand_due_s
        if full:
            self._full_demand_due_s = now_s + FULL_DEMAND_INTERVAL_S
        digest = DemandDigest(
            host=self._host,
            boot=self._boot,
            sequence=self._next_sequence(),
            demand=self._dispatcher.demand(now_s, full),
            version_demand=self._dispatcher.version_demand(now_s),
            running=running_by_artifact(self._dispatcher.fleet),
        )
        leader = self._leader_host()
        if self._leader.holds_lease:
            self._leader.apply_demand(digest)
        elif leader is not None:
            self._peers.post(digest, [leader])
