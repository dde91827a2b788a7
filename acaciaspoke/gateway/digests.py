"""Tells other hosts what this one has and what its callers wait for."""

import time
from collections.abc import Callable

import anyio

from acaciaspoke.gateway.dispatch import Dispatcher
from acaciaspoke.gateway.leader import Leader
from acaciaspoke.gateway.loadexchange import LoadExchange
from acaciaspoke.gateway.messages import DemandDigest, LoadDigest
from acaciaspoke.gateway.peers import Peers
from acaciaspoke.gateway.suspects import Suspects
from acaciaspoke.gateway.types import Configuration
from acaciaspoke.ids import BootId, HostId

# Loads are told to other hosts this often, as is demand without news.
DIGEST_INTERVAL_S = 0.1

# With many hosts the one that gives orders hears each of them less often; what
# waits is told at once all the same.
MANY_HOSTS_DEMAND_INTERVAL_S = 0.2

# All that is remembered of demand is told this often, for a new leader.
WHOLE_DEMAND_INTERVAL_S = 1.0

# Demand that waits is told at once, but not more often than this.
URGENT_INTERVAL_S = 0.008


class DigestSender:
    """Sends loads to all hosts, and demand to the one that gives orders."""

    def __init__(
        self,
        host: HostId,
        boot: BootId,
        next_sequence: Callable[[], int],
        dispatcher: Dispatcher,
        suspects: Suspects,
        leader: Leader,
        leader_host: Callable[[], HostId | None],
        configuration: Callable[[], Configuration | None],
        peers: Peers,
        loads: LoadExchange,
    ):
        """Prepares to send.

        Args:
            host: This host.
            boot: The run of this process.
            next_sequence: Numbers the messages of the run.
            dispatcher: Has the loads and the demand.
            suspects: Has the lost runs.
            leader: Takes the demand if this host gives the orders.
            leader_host: Returns the host that gives the orders.
            configuration: Returns the version in force.
            peers: Sends demand.
            loads: Sends loads.
        """
        self._host = host
        self._boot = boot
        self._next_sequence = next_sequence
        self._dispatcher = dispatcher
        self._suspects = suspects
        self._leader = leader
        self._leader_host = leader_host
        self._configuration = configuration
        self._peers = peers
        self._loads = loads
        self._wanted = anyio.Event()
        self._whole_demand_due_s = 0.0
        self._demand_due_s = 0.0

    def want(self) -> None:
        """Has demand told at once."""
        self._wanted.set()

    async def run(self) -> None:
        """Tells other hosts of loads, and the leader of demand."""
        due_s = 0.0
        while True:
            with anyio.move_on_after(max(0.0, due_s - time.monotonic())):
                await self._wanted.wait()
            is_wanted, self._wanted = self._wanted.is_set(), anyio.Event()
            now_s = time.monotonic()
            if is_wanted or now_s >= self._demand_due_s:
                self._demand_due_s = now_s + self._demand_interval_s
                self._send_demand(now_s)
            if now_s >= due_s:
                due_s = now_s + DIGEST_INTERVAL_S
                self._send_load()
            await anyio.sleep(URGENT_INTERVAL_S)

    @property
    def _demand_interval_s(self) -> float:
        if self._loads.is_direct:
            return DIGEST_INTERVAL_S
        return MANY_HOSTS_DEMAND_INTERVAL_S

    def _send_load(self) -> None:
        configuration = self._configuration()
        now_s = time.monotonic()
        digest = LoadDigest(
            in_flight=self._dispatcher.own_loads(),
            reading=self._dispatcher.fleet.own_reading(now_s),
            waiting=self._dispatcher.waiting_by_model(),
            unreachable=self._dispatcher.fleet.own_unreachable(now_s),
            slow=tuple(self._dispatcher.fleet.paces.slow(now_s)),
            configuration=configuration.version if configuration else 0,
            crashes=self._suspects.own(now_s),
        )
        self._loads.send(digest)

    def _send_demand(self, now_s: float) -> None:
        whole = now_s >= self._whole_demand_due_s
        if whole:
            self._whole_demand_due_s = now_s + WHOLE_DEMAND_INTERVAL_S
        digest = DemandDigest(
            host=self._host,
            boot=self._boot,
            sequence=self._next_sequence(),
            demand=self._dispatcher.demand(now_s, whole),
            running=self._dispatcher.running_by_artifact(),
        )
        leader = self._leader_host()
        if self._leader.holds_lease:
            self._leader.take_demand(digest)
        elif leader is not None:
            self._peers.post(digest, [leader])
