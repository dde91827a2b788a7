"""Hosts that ask each other for tokens of quotas, on a virtual clock."""

import asyncio
import itertools
import random
import selectors
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.quotas.exchange import QuotaExchange
from acaciaspoke.gateway.types import Configuration, Quota, Workspace
from acaciaspoke.ids import BootId, HostId, WorkspaceId

WINDOW_S = 8.0
OVERAGE = 1.1
SLACK_TOKENS = 7_400
MAX_AGE_S = 1.0
DIGEST_S = 0.1
MESSAGE_DELAY_S = 0.005
# A fifth of an objective of 1 s.
MAX_WAIT_S = 0.2
USUAL_SHARE = 0.55
PLAIN_TOKENS = 200


class _VirtualSelector(selectors.SelectSelector):
    """Advances a clock instead of waiting."""

    now_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while all tasks wait."""

    def __init__(self):
        self.clock = _VirtualSelector()
        super().__init__(self.clock)

    def time(self):
        return self.clock.now_s


def run(main: Callable) -> None:
    """Runs a coroutine function on a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())


class Outcome(NamedTuple):
    """The decision about one request."""

    arrived_s: float
    decided_s: float
    workspace: WorkspaceId
    tokens: int
    is_granted: bool


class SimulatedHost:
    """A host's exchange; what it sends and when it stood still."""

    def __init__(self, deployment: "Deployment", name: str):
        self.name = HostId(name)
        self.boot = BootId(f"{name} at {deployment.now_s}")
        self.started_s = deployment.now_s
        self.frozen_s: float | None = None
        self.thawed_s = float("-inf")
        self.inbox: list = []
        self.exchange = QuotaExchange(
            self.name,
            self.boot,
            deployment.metrics,
            lambda message, hosts: deployment.post(self, message, hosts),
            lambda now_s: deployment.live(self, now_s),
            count_hosts=lambda: len(deployment.registered),
            local_link_mbps=100.0,
            clock=lambda: deployment.now_s,
        )
        self.exchange.set_configuration(deployment.configuration)


class Deployment:
    """Hosts that share a virtual clock.

    Attributes:
        hosts: The hosts that run or stand still.
        registered: The hosts that have a row, also dead ones.
        outcomes: The decisions about all requests.
        is_cut: Whether messages between two hosts are lost.
        messages: The number of messages sent.
        created_s: When the hosts started.
    """

    def __init__(self, hosts: int, seed: int = 1, loss: float = 0.0):
        self.random = random.Random(seed)
        self.loss = loss
        self.metrics = GatewayMetrics()
        rates = [400.0 * 1.4**number for number in range(16)]
        self.quotas = {
            WorkspaceId(f"w{number}"): Quota(
                tokens_per_s=rate,
                burst_tokens=max(4_000.0, 2 * rate),
                plain_tokens=PLAIN_TOKENS,
            )
            for number, rate in enumerate(rates)
        }
        self.hosts: dict[HostId, SimulatedHost] = {}
        self.registered: set[HostId] = set()
        self.outcomes: list[Outcome] = []
        self.is_cut: Callable[[HostId, HostId], bool] = lambda *_: False
        self.messages = 0
        self._sequences = itertools.count(1)
        self._last_heard: dict[tuple[HostId, HostId], float] = {}
        self._tasks: set[asyncio.Task] = set()
        self.created_s = self._changed_s = self.now_s
        self._all_live: dict[HostId, float] = {}
        for number in range(hosts):
            self.start(f"h{number}")

    @property
    def now_s(self) -> float:
        """The virtual time."""
        return asyncio.get_running_loop().time() + 100.0

    @property
    def configuration(self) -> Configuration:
        """The configuration that hosts get."""
        return Configuration(
            version=1,
            routes=(),
            services={},
            limits=None,
            workspaces=tuple(
                Workspace(name=name, key_digests=frozenset(), quota=quota)
                for name, quota in self.quotas.items()
            ),
        )

    # Hosts.

    def start(self, name: str) -> SimulatedHost:
        """Starts a host."""
        if self.now_s > self.created_s:
            self._change()
        host = SimulatedHost(self, name)
        self.hosts[host.name] = host
        self.registered.add(host.name)
        self._do(self._run(host))
        return host

    def kill(self, name: str) -> None:
        """Kills a host; its row stays."""
        self._change()
        del self.hosts[HostId(name)]

    def freeze(self, name: str, length_s: float) -> None:
        """Has a host stand still for some time."""
        self._change()
        host = self.hosts[HostId(name)]
        host.frozen_s = self.now_s
        asyncio.get_running_loop().call_later(length_s, self._thaw, host)

    def cut(self, is_cut: Callable[[HostId, HostId], bool]) -> None:
        """Changes between which hosts messages are lost."""
        self._change()
        self.is_cut = is_cut

    def set_quotas(self, quotas: dict[WorkspaceId, Quota]) -> None:
        """Gives all hosts other quotas, each within 3 s."""
        self.quotas = quotas
        for host in self.hosts.values():
            asyncio.get_running_loop().call_later(
                self.random.uniform(0, 3),
                host.exchange.set_configuration,
                self.configuration,
            )

    def owner_of(self, workspace: WorkspaceId) -> HostId:
        """Returns which host most hosts take for the owner."""
        owners = [
            host.exchange._ownership.owners[workspace]
            for host in self.hosts.values()
        ]
        return max(set(owners), key=owners.count)

    def live(self, host: SimulatedHost, now_s: float) -> dict[HostId, float]:
        """Returns the other hosts whose digests a host has received lately."""
        if now_s - self._changed_s > 2 * MAX_AGE_S and not self._faulty:
            if not self._all_live:
                self._all_live = dict.fromkeys(self.hosts, 100.0)
            return self._all_live
        live = {
            name: 100.0
            for name, other in self.hosts.items()
            if name != host.name and self._hears(host, other, now_s)
        }
        for name in self.registered - self.hosts.keys():
            # It has not been silent for long enough to be taken for dead.
            heard_s = self._last_heard.get((host.name, name), 0.0)
            if now_s - heard_s <= MAX_AGE_S:
                live[name] = 100.0
        return live

    def _change(self) -> None:
        self._record_heard()
        self._changed_s = self.now_s
        self._all_live = {}

    @property
    def _faulty(self) -> bool:
        if any(host.frozen_s is not None for host in self.hosts.values()):
            return True
        names = list(self.hosts)
        return any(self.is_cut(names[0], name) for name in names)

    def _record_heard(self) -> None:
        now_s = self.now_s
        for host, other in itertools.permutations(self.hosts.values(), 2):
            if self._talk(host, other):
                self._last_heard[host.name, other.name] = now_s

    def _talk(self, host: SimulatedHost, other: SimulatedHost) -> bool:
        now_s = self.now_s
        return (
            host.frozen_s is None
            and other.frozen_s is None
            and not self.is_cut(host.name, other.name)
            and now_s - max(host.started_s, other.started_s) >= DIGEST_S
            and now_s - max(host.thawed_s, other.thawed_s) >= DIGEST_S
        )

    def _hears(
        self, host: SimulatedHost, other: SimulatedHost, now_s: float
    ) -> bool:
        if self._talk(host, other):
            return True
        heard_s = self._last_heard.get((host.name, other.name), 0.0)
        return now_s - heard_s <= MAX_AGE_S

    def _thaw(self, host: SimulatedHost) -> None:
        self._change()
        host.frozen_s = None
        host.thawed_s = self.now_s
        inbox, host.inbox = host.inbox, []
        for message in inbox:
            host.exchange.handle(message)

    async def _run(self, host: SimulatedHost) -> None:
        await asyncio.sleep(self.random.uniform(0, 0.1))
        while self.hosts.get(host.name) is host:
            wait_s = None
            if host.frozen_s is None:
                host.exchange.step()
                wait_s = host.exchange._owner.next_grant_s(self.now_s)
            interval_s = 0.1 if wait_s is None else min(0.1, wait_s)
            await asyncio.sleep(max(0.005, interval_s))

    # Messages.

    def post(self, sender, message, hosts: Iterable[HostId]):
        """Sends a message, which may be lost."""
        message = msgspec.structs.replace(
            message,
            host=sender.name,
            boot=sender.boot,
            sequence=next(self._sequences),
        )
        for host in hosts:
            self.messages += 1
            lost = self.random.random() < self.loss
            if not lost and not self.is_cut(sender.name, host):
                asyncio.get_running_loop().call_later(
                    MESSAGE_DELAY_S, self._deliver, host, message
                )
        return message

    def _deliver(self, name: HostId, message) -> None:
        host = self.hosts.get(name)
        if host is None:
            return
        if host.frozen_s is None:
            host.exchange.handle(message)
        else:
            host.inbox.append(message)

    # Requests.

    async def send(
        self, length_s: float, times: dict[WorkspaceId, float] | None = None
    ) -> None:
        """Sends requests of all workspaces to random hosts for some time.

        Args:
            length_s: The time.
            times: By how much workspaces send more than usual.
        """
        end_s = self.now_s + length_s
        await asyncio.gather(
            *(
                self._send_for(workspace, end_s, (times or {}).get(workspace))
                for workspace in self.quotas
            )
        )

    async def _send_for(
        self, workspace: WorkspaceId, end_s: float, times: float | None
    ) -> None:
        used_per_s = self.quotas[workspace].tokens_per_s * USUAL_SHARE
        while True:
            tokens = _draw_tokens(self.random)
            rate_per_s = used_per_s * (times or 1.0) / MEAN_TOKENS
            pause_s = self.random.expovariate(rate_per_s)
            left_s = end_s - self.now_s
            await asyncio.sleep(min(pause_s, left_s))
            if pause_s >= left_s:
                return
            self._do(self._ask(workspace, tokens))

    async def _ask(self, workspace: WorkspaceId, tokens: int) -> None:
        running = [
            host for host in self.hosts.values() if host.frozen_s is None
        ]
        host = self.random.choice(running)
        arrived_s = self.now_s
        denial = await host.exchange.ask(
            workspace, self.quotas[workspace], tokens, MAX_WAIT_S
        )
        self.outcomes.append(
            Outcome(arrived_s, self.now_s, workspace, tokens, denial is None)
        )

    def _do(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Results.

    def granted_share(
        self, since_s: float, until_s: float, *besides: WorkspaceId
    ) -> float:
        """Returns the share of requests of a time that were granted."""
        counted = [
            outcome.is_granted
            for outcome in self.outcomes
            if since_s <= outcome.arrived_s < until_s
            and outcome.workspace not in besides
        ]
        return sum(counted) / len(counted)

    def worst_excess(self, since_s: float = 0.0) -> tuple[float, WorkspaceId]:
        """Returns the most tokens of a window relative to what is allowed."""
        return max(
            (
                most_in_a_window(self.outcomes, workspace, since_s)
                / allowed(quota),
                workspace,
            )
            for workspace, quota in self.quotas.items()
        )


def allowed(quota: Quota) -> float:
    """Returns how many tokens all hosts may grant in a window."""
    accrued = quota.tokens_per_s * WINDOW_S + quota.burst_tokens
    return accrued * OVERAGE + SLACK_TOKENS


def most_in_a_window(
    outcomes: list[Outcome], workspace: WorkspaceId, since_s: float
) -> float:
    """Returns the most tokens granted in any window that begins later."""
    granted = sorted(
        (outcome.decided_s, outcome.tokens)
        for outcome in outcomes
        if outcome.is_granted
        and outcome.workspace == workspace
        and outcome.decided_s >= since_s
    )
    most = total = first = 0
    for decided_s, tokens in granted:
        total += tokens
        while granted[first][0] <= decided_s - WINDOW_S:
            total -= granted[first][1]
            first += 1
        most = max(most, total)
    return most


# A tenth are plain requests; the others take 300 to 3,300 tokens.
PLAIN_SHARE = 0.1
MEAN_TOKENS = PLAIN_SHARE * PLAIN_TOKENS + (1 - PLAIN_SHARE) * 900


def _draw_tokens(numbers: random.Random) -> int:
    if numbers.random() < PLAIN_SHARE:
        return PLAIN_TOKENS
    return min(3_300, 300 + int(numbers.expovariate(1 / 600)))
