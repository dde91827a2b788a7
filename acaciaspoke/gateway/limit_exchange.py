"""Shares the requests that limited upstreams take between the hosts.

The owner of an upstream's budget is chosen by rendezvous hashing among the
hosts that are responsive. The hosts ask it for tokens by datagram.
"""

import time
from collections.abc import Callable, Iterable

import anyio
import msgspec
from loguru import logger

from acaciaspoke.gateway.dispatch import Dispatcher
from acaciaspoke.gateway.limit_budget import LimitBudget
from acaciaspoke.gateway.messages import LimitGrant, LimitRequest, Message
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.ids import HostId, UpstreamId
from acaciaspoke.util.rendezvous import choose

# A new owner grants nothing for this time, as hosts may not agree yet on who is
# responsive. A limit that is itself new has had no other owner.
SETTLE_S = 1.0

# An owner that stood still this long may have been replaced meanwhile, as other
# hosts take one that sends nothing for 1 s for dead.
MAX_STEP_S = 0.8

# Intervals between two steps while requests wait for tokens, and otherwise.
BUSY_INTERVAL_S = 0.02
IDLE_INTERVAL_S = 0.1
MIN_INTERVAL_S = 0.002

# How often the owner of a budget logs its use.
LOG_INTERVAL_S = 5.0

# Asks without an answer for this time are also sent by way of another host, as
# an owner that others reach may be out of this host's reach.
NO_ANSWER_S = 1.0

# How long asks go only by way of the host that passed on an answer.
RELAY_VALID_S = 5.0

# How often the owners are chosen anew.
OWNERS_INTERVAL_S = 0.1


class LimitExchange:
    """Asks for tokens, and grants those of the budgets that this host owns."""

    def __init__(
        self,
        local_host: HostId,
        dispatcher: Dispatcher,
        metrics: GatewayMetrics,
        post: Callable[[Message, Iterable[HostId]], Message],
        live: Callable[[float], list[HostId]],
        count_hosts: Callable[[], int],
        on_tokens: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        """Creates an exchange that owns no budget.

        Args:
            local_host: This host.
            dispatcher: Knows the limits, and has this host's tokens.
            metrics: Counts asks and tokens.
            post: Sends a message to some hosts.
            live: Returns the other hosts that are responsive.
            count_hosts: Returns the number of registered hosts.
            on_tokens: Called when this host got an answer of an owner.
            clock: Returns the time.
        """
        self._local_host = local_host
        self._limits = dispatcher.fleet.limits
        self._tokens = dispatcher.tokens
        self._metrics = metrics
        self._post = post
        self._live = live
        self._count_hosts = count_hosts
        self._on_tokens = on_tokens
        self._clock = clock
        self._budgets: dict[UpstreamId, LimitBudget] = {}
        self._owners: dict[UpstreamId, HostId] = {}
        # By which host, and until when, the asks for an upstream's tokens go.
        self._relays: dict[UpstreamId, tuple[HostId, float]] = {}
        # By which host the answers to another one's asks go.
        self._return_paths: dict[tuple[UpstreamId, HostId], HostId] = {}
        self._owners_due_s = 0.0
        self._share = 1.0
        self._last_step_s = clock()
        self._log_due_s = 0.0
        self._wake = anyio.Event()
        self._tokens.on_needed = lambda: self._wake.set()

    async def run(self) -> None:
        """Asks and grants until cancelled."""
        while True:
            is_busy = any(each.is_asked for each in self._budgets.values())
            interval_s = BUSY_INTERVAL_S if is_busy else IDLE_INTERVAL_S
            with anyio.move_on_after(interval_s):
                await self._wake.wait()
            self._wake = anyio.Event()
            self.step()
            await anyio.sleep(MIN_INTERVAL_S)

    def step(self) -> None:
        """Sends the asks and the grants that are due."""
        now_s = self._clock()
        if now_s - self._last_step_s > MAX_STEP_S:
            self._budgets.clear()
        self._last_step_s = now_s
        limited = self._limits.budgeted(now_s)
        self._tokens.keep_only(limited.keys())
        if not limited:
            self._budgets.clear()
            self._owners = {}
            self._relays.clear()
            self._return_paths.clear()
            return
        if now_s >= self._owners_due_s or self._owners.keys() != limited.keys():
            self._choose_owners(limited, now_s)
        self._update_budgets(limited, now_s)
        for upstream in limited:
            self._ask(upstream, now_s)
            self._grant(upstream, now_s)
        self._log_usage(now_s)

    def handle(self, message: LimitRequest | LimitGrant) -> None:
        """Handles a message of another host."""
        now_s = self._clock()
        if isinstance(message, LimitGrant):
            if message.asker in (None, self._local_host):
                self._add(message, now_s)
            else:
                self._post(message, [message.asker])
        elif message.upstream in self._budgets:
            self._handle_request(message, now_s)
        elif message.asker is None:
            self._pass_on(message)

    def _log_usage(self, now_s: float) -> None:
        if now_s < self._log_due_s:
            return
        self._log_due_s = now_s + LOG_INTERVAL_S
        for upstream, budget in self._budgets.items():
            if budget.granted or budget.is_asked:
                logger.info(
                    "{} requests were granted at limited upstream {}",
                    budget.granted,
                    upstream,
                    within_s=LOG_INTERVAL_S,
                    limit_per_s=self._limits.limit_per_s(upstream),
                    share=round(self._share, 2),
                    waiting=budget.waiting,
                )
            budget.granted = 0

    def _choose_owners(
        self, limited: dict[UpstreamId, float], now_s: float
    ) -> None:
        self._owners_due_s = now_s + OWNERS_INTERVAL_S
        hosts = [self._local_host, *self._live(now_s)]
        self._owners = {
            upstream: HostId(choose(f"limit {upstream}", hosts, 1)[0])
            for upstream in limited
        }
        # Both sides of a cut together stay within the limit.
        self._share = len(hosts) / max(len(hosts), self._count_hosts())

    def _update_budgets(
        self, limited: dict[UpstreamId, float], now_s: float
    ) -> None:
        for upstream in self._budgets.keys() - limited.keys():
            del self._budgets[upstream]
        for upstream, limit_per_s in limited.items():
            rate_per_s = limit_per_s * self._share
            if self._owners[upstream] != self._local_host:
                self._budgets.pop(upstream, None)
            elif upstream in self._budgets:
                self._budgets[upstream].set_rate(rate_per_s, now_s)
            else:
                is_new = (
                    now_s - self._limits.limited_since_s(upstream) < SETTLE_S
                )
                self._budgets[upstream] = LimitBudget(
                    rate_per_s,
                    now_s if is_new else now_s + SETTLE_S,
                    now_s,
                )

    def _ask(self, upstream: UpstreamId, now_s: float) -> None:
        owner = self._owners[upstream]
        ask = self._tokens.take_due_ask(upstream, owner, now_s)
        if ask is None:
            return
        self._metrics.limit_asks.inc()
        request = LimitRequest(
            host=self._local_host,
            upstream=upstream,
            waiting=ask.waiting,
            charged=ask.charged,
        )
        if owner == self._local_host:
            self._handle_request(request, now_s)
        else:
            self._post(request, self._receivers(upstream, owner, now_s))

    def _receivers(
        self, upstream: UpstreamId, owner: HostId, now_s: float
    ) -> list[HostId]:
        silent_s = self._tokens.unanswered_s(upstream, now_s)
        relay, until_s = self._relays.get(upstream, (owner, now_s))
        if silent_s >= NO_ANSWER_S:
            others = [host for host in self._live(now_s) if host != owner]
            ranked = choose(f"limit {upstream}", others, len(others)) or [owner]
            attempt = int(silent_s / NO_ANSWER_S) - 1
            relay = HostId(ranked[attempt % len(ranked)])
        elif now_s < until_s:
            return [relay]
        return [owner] if relay == owner else [owner, relay]

    def _pass_on(self, request: LimitRequest) -> None:
        owner = self._owners.get(request.upstream, self._local_host)
        if owner not in (self._local_host, request.host):
            passed = msgspec.structs.replace(request, asker=request.host)
            self._post(passed, [owner])

    def _handle_request(self, request: LimitRequest, now_s: float) -> None:
        budget = self._budgets[request.upstream]
        host = request.asker or request.host
        self._return_paths.pop((request.upstream, host), None)
        if request.asker is not None:
            self._return_paths[request.upstream, host] = request.host
        if request.charged:
            budget.charge(request.charged, now_s)
        budget.ask(host, request.waiting, now_s)
        tokens = self._grant(request.upstream, now_s)
        if request.waiting and host not in tokens:
            self._answer(request.upstream, host, 0, now_s)

    def _grant(self, upstream: UpstreamId, now_s: float) -> set[HostId]:
        budget = self._budgets.get(upstream)
        if budget is None or not budget.is_asked:
            return set()
        granted = budget.grant(now_s)
        for host, tokens in granted.items():
            self._metrics.limit_grants.labels(upstream).inc(tokens)
            self._answer(upstream, host, tokens, now_s)
        return set(granted)

    def _answer(
        self, upstream: UpstreamId, host: HostId, tokens: int, now_s: float
    ) -> None:
        waits = self._budgets[upstream].waits(host, now_s)
        grant = LimitGrant(upstream=upstream, tokens=tokens, waits=waits)
        receiver = self._return_paths.get((upstream, host), host)
        if host == self._local_host:
            self._add(grant, now_s)
        elif receiver == host:
            self._post(grant, [host])
        else:
            self._post(msgspec.structs.replace(grant, asker=host), [receiver])

    def _add(self, grant: LimitGrant, now_s: float) -> None:
        if grant.upstream not in self._owners:
            return
        self._note_relay(grant, now_s)
        self._metrics.limit_tokens.labels(grant.upstream).inc(grant.tokens)
        self._tokens.add(grant.upstream, grant.tokens, grant.waits, now_s)
        self._on_tokens()

    def _note_relay(self, grant: LimitGrant, now_s: float) -> None:
        upstream = grant.upstream
        if grant.asker is None:
            self._relays.pop(upstream, None)
            return
        if upstream in self._relays:
            is_needed = now_s >= self._relays[upstream][1]
        else:
            is_needed = self._tokens.unanswered_s(upstream, now_s) > NO_ANSWER_S
        if is_needed:
            self._relays[upstream] = grant.host, now_s + RELAY_VALID_S
