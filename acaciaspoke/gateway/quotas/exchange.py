"""Asks the owners of quotas for tokens, and answers other hosts.

The owner of a workspace's bucket is chosen by rendezvous hashing among the
responsive hosts, those with fast links first. An ask is repeated once; if no
answer comes, the host uses its own share of the quota.
"""

import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import anyio
import msgspec
import xxhash
from loguru import logger

from acaciaspoke.gateway.message_base import BaseMessage
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.quotas.local_use import LocalUse
from acaciaspoke.gateway.quotas.messages import (
    QuotaAnswer,
    QuotaAsk,
    QuotaSettlement,
)
from acaciaspoke.gateway.quotas.owner import QuotaOwner
from acaciaspoke.gateway.quotas.ownership import Ownership
from acaciaspoke.gateway.types import Configuration, Quota
from acaciaspoke.ids import BootId, HostId, WorkspaceId

# How long an answer may take before the ask is repeated, and how often it is
# sent. An owner on a busy machine answers within some ten milliseconds.
ANSWER_TIMEOUT_S = 0.08
MAX_SENDS = 2

# How often settlements are sent and the owners are chosen anew.
STEP_INTERVAL_S = 0.1

# Shortest pause between two steps while requests wait for tokens.
MIN_STEP_INTERVAL_S = 0.005

LOG_INTERVAL_S = 5.0

# Asks without an answer whose tokens are given back if it comes late.
MAX_GIVEN_UP = 1024

# Numbers of asks of one boot, in bits.
BOOT_NUMBER_BITS = 15

# Steps at which a new owner is told of recent use, as it may learn later than
# others that it is the owner.
REPORT_STEPS = 4

# Retry-After of a request that is denied without an owner.
UNKNOWN_WAIT_S = 0.5


class Denial(NamedTuple):
    """Tokens that are not granted.

    Attributes:
        wait_s: The time until they could be.
    """

    wait_s: float


class _PendingAsk:
    """An ask without an answer yet."""

    def __init__(self, workspace: WorkspaceId) -> None:
        self.workspace = workspace
        self.answered = anyio.Event()
        self.answer: QuotaAnswer | None = None


class QuotaExchange:
    """Asks for tokens, and grants those of the buckets that this host owns."""

    def __init__(
        self,
        local_host: HostId,
        boot: BootId,
        metrics: GatewayMetrics,
        post: Callable[[BaseMessage, Iterable[HostId]], BaseMessage],
        live_links_mbps: Callable[[float], Mapping[HostId, float]],
        count_hosts: Callable[[], int],
        local_link_mbps: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Creates an exchange without quotas.

        Args:
            local_host: This host.
            boot: The boot of this process.
            metrics: Counts asks and tokens.
            post: Sends a message to some hosts.
            live_links_mbps: Returns the other hosts that are responsive and
                know of quotas, with the bandwidth of their links.
            count_hosts: Returns the number of registered hosts.
            local_link_mbps: The bandwidth of this host's link.
            clock: Returns the time.
        """
        self._local_host = local_host
        self._boot = boot
        self._metrics = metrics
        self._post = post
        self._live_links_mbps = live_links_mbps
        self._count_hosts = count_hosts
        self._local_link_mbps = local_link_mbps
        self._clock = clock
        self._owner = QuotaOwner(local_host, clock())
        self._use = LocalUse()
        self._ownership = Ownership(local_host)
        # Use to be reported to a new owner, and how often.
        self._reports: dict[WorkspaceId, tuple[float, int]] = {}
        # The owner that last answered; another one has to know of recent use.
        self._answered_by: dict[WorkspaceId, HostId] = {}
        self._pending: dict[int, _PendingAsk] = {}
        # Tokens of asks that were given up; their answers may still come.
        self._given_up: OrderedDict[int, int] = OrderedDict()
        # An answer to a former boot must not be taken for one to this boot.
        self._number = xxhash.xxh32_intdigest(boot.encode()) << BOOT_NUMBER_BITS
        self._settlements = 0
        self._log_due_s = 0.0
        self._wake = anyio.Event()

    def set_configuration(self, configuration: Configuration) -> None:
        """Applies the quotas of a configuration."""
        now_s = self._clock()
        quotas = {
            workspace.name: workspace.quota
            for workspace in configuration.workspaces
            if workspace.quota is not None
        }
        self._ownership.set_configured(quotas, now_s)
        self._choose_owners(now_s)
        known = self._ownership.quotas.keys()
        self._use.forget_others(known)
        for workspace in self._answered_by.keys() - known:
            del self._answered_by[workspace]

    def owner(self, workspace: WorkspaceId) -> HostId | None:
        """Returns the owner of a workspace's bucket, if it is known."""
        return self._ownership.owners.get(workspace)

    # For requests of this host.

    async def ask(
        self,
        workspace: WorkspaceId,
        quota: Quota,
        tokens: int,
        max_wait_s: float,
    ) -> Denial | None:
        """Asks for the tokens of a request.

        Args:
            workspace: The workspace.
            quota: Its quota.
            tokens: What the request needs.
            max_wait_s: How long the request can wait.

        Returns:
            None if the request may be sent.
        """
        answer = await self._ask_owner(workspace, quota, tokens, max_wait_s)
        now_s = self._clock()
        if answer is None:
            return self._decide_alone(workspace, quota, tokens, now_s)
        if answer.is_granted:
            self._use.record_granted(workspace, tokens, now_s)
            return None
        self._metrics.quota_denials.labels(workspace).inc()
        return Denial(answer.wait_s)

    def give_back(self, workspace: WorkspaceId, tokens: int) -> None:
        """Gives back the tokens of a request that was not sent."""
        self._metrics.quota_returned_tokens.inc(tokens)
        self._use.give_back(workspace, tokens)

    async def _ask_owner(
        self,
        workspace: WorkspaceId,
        quota: Quota,
        tokens: int,
        max_wait_s: float,
    ) -> QuotaAnswer | None:
        self._number += 1
        ask = QuotaAsk(
            workspace=workspace,
            number=self._number,
            tokens=tokens,
            max_wait_s=max_wait_s,
        )
        pending = self._pending[ask.number] = _PendingAsk(workspace)
        self._metrics.quota_asks.inc()
        try:
            for attempt in range(MAX_SENDS):
                self._send_ask(ask, quota, attempt)
                # An ask that waits for tokens gets its answer with them.
                wait_s = ANSWER_TIMEOUT_S + max_wait_s * (attempt > 0)
                with anyio.move_on_after(wait_s):
                    await pending.answered.wait()
                if pending.answer is not None:
                    break
            return pending.answer
        except anyio.get_cancelled_exc_class():
            if pending.answer is not None and pending.answer.is_granted:
                self._use.give_back(workspace, tokens)
            raise
        finally:
            del self._pending[ask.number]
            if pending.answer is None:
                self._given_up[ask.number] = tokens
                if len(self._given_up) > MAX_GIVEN_UP:
                    self._given_up.popitem(last=False)

    def _send_ask(self, ask: QuotaAsk, quota: Quota, attempt: int) -> None:
        now_s = self._clock()
        ownership = self._ownership
        owner = ownership.owners.get(ask.workspace, self._local_host)
        if attempt > 0 or self._answered_by.get(ask.workspace) != owner:
            ask = msgspec.structs.replace(
                ask,
                rate_per_s=quota.tokens_per_s,
                burst_tokens=quota.burst_tokens,
            )
        if self._answered_by.get(ask.workspace) != owner:
            recent = self._use.recent_tokens(ask.workspace, quota, now_s)
            ask = msgspec.structs.replace(ask, recent_tokens=recent)
        if owner == self._local_host:
            ask = msgspec.structs.replace(
                ask, host=self._local_host, boot=self._boot
            )
            self._handle_ask(ask, now_s)
        else:
            # The second host passes it on if only this host's link is lost.
            second = ownership.seconds.get(ask.workspace, owner)
            is_passed = attempt > 0 and second != self._local_host
            self._post(ask, [owner, second] if is_passed else [owner])

    def _decide_alone(
        self, workspace: WorkspaceId, quota: Quota, tokens: int, now_s: float
    ) -> Denial | None:
        self._metrics.quota_unanswered.inc()
        share = self._ownership.share_of(1, self._count_hosts(), now_s)
        if self._use.use_unasked(workspace, quota, tokens, share, now_s):
            self._use.record_granted(workspace, tokens, now_s)
            return None
        self._metrics.quota_denials.labels(workspace).inc()
        return Denial(UNKNOWN_WAIT_S)

    # Messages of other hosts.

    def handle(self, message: QuotaAsk | QuotaAnswer | QuotaSettlement) -> None:
        """Handles a message of another host."""
        now_s = self._clock()
        match message:
            case QuotaAsk():
                self._handle_ask(message, now_s)
            case QuotaAnswer():
                self._handle_answer(message)
            case QuotaSettlement():
                self._owner.settle(message, now_s)

    def _handle_ask(self, ask: QuotaAsk, now_s: float) -> None:
        if ask.workspace not in self._ownership.quotas:
            self._ownership.learn(ask, now_s)
            self._choose_owners(now_s)
        owner = self._ownership.owners.get(ask.workspace)
        if owner == self._local_host:
            answer = self._owner.handle(ask, now_s)
            if answer is not None:
                self._answer(ask, answer)
            else:
                self._wake.set()
        elif owner is not None and ask.asker is None:
            # The sender may not reach the owner, or does not know it yet.
            passed = msgspec.structs.replace(
                ask, asker=ask.host, asker_boot=ask.boot
            )
            self._post(passed, [owner])

    def _answer(self, ask: QuotaAsk, answer: QuotaAnswer) -> None:
        if ask.host == self._local_host:
            self._handle_answer(answer)
        else:
            self._post(answer, [ask.host])

    def _handle_answer(self, answer: QuotaAnswer) -> None:
        if answer.asker not in (None, self._local_host):
            passed = msgspec.structs.replace(answer, asker=None)
            self._post(passed, [answer.asker])
            return
        now_s = self._clock()
        self._use.record_level(answer.workspace, answer.level_share, now_s)
        if not answer.is_granted:
            self._use.record_denied(answer.workspace, now_s)
        pending = self._pending.get(answer.number)
        if pending is None or pending.answer is not None:
            tokens = self._given_up.pop(answer.number, 0)
            if tokens and answer.is_granted:
                # The request did not wait for the answer.
                self._metrics.quota_late_answers.inc()
                self._use.give_back(answer.workspace, tokens)
            return
        if pending.workspace != answer.workspace:
            return
        self._answered_by[answer.workspace] = answer.owner
        pending.answer = answer
        pending.answered.set()

    # Steps.

    async def run(self) -> None:
        """Grants tokens and sends settlements until cancelled."""
        while True:
            wait_s = self._owner.next_grant_s(self._clock())
            interval_s = STEP_INTERVAL_S
            if wait_s is not None:
                interval_s = max(MIN_STEP_INTERVAL_S, min(interval_s, wait_s))
            with anyio.move_on_after(interval_s):
                await self._wake.wait()
            self._wake = anyio.Event()
            self.step()

    def step(self) -> None:
        """Grants what has accrued, and sends what is due."""
        now_s = self._clock()
        self._choose_owners(now_s)
        if not self._ownership.quotas:
            return
        for ask, answer in self._owner.grant(now_s):
            self._answer(ask, answer)
        for workspace in self._use.unsettled():
            self._settle(workspace, now_s)
        for workspace in list(self._reports):
            self._report_use(workspace, now_s)
        self._log_use(now_s)

    def _choose_owners(self, now_s: float) -> None:
        ownership = self._ownership
        former = ownership.owners
        links_mbps = {}
        if ownership.quotas:
            links_mbps = {
                **self._live_links_mbps(now_s),
                self._local_host: self._local_link_mbps,
            }
        ownership.update(links_mbps, self._count_hosts(), now_s)
        if ownership.owners is not former:
            self._note_new_owners(former, now_s)
        self._owner.set_quotas(ownership.owned(), ownership.share, now_s)

    def _note_new_owners(
        self, former: Mapping[WorkspaceId, HostId], now_s: float
    ) -> None:
        ownership = self._ownership
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if name in ownership.owners
        }
        for name, owner in ownership.owners.items():
            if former.get(name, owner) != owner:
                quota = ownership.quotas[name]
                recent = self._use.recent_tokens(name, quota, now_s)
                if recent:
                    self._reports[name] = (recent, REPORT_STEPS)

    def _report_use(self, workspace: WorkspaceId, now_s: float) -> None:
        recent, steps = self._reports.pop(workspace)
        if steps > 1:
            self._reports[workspace] = (recent, steps - 1)
        self._send_settlement(
            QuotaSettlement(workspace=workspace, recent_tokens=recent), now_s
        )

    def _settle(self, workspace: WorkspaceId, now_s: float) -> None:
        returned, used = self._use.take_settlement(workspace)
        if returned or used:
            settlement = QuotaSettlement(
                workspace=workspace,
                returned_tokens=returned,
                used_tokens=used,
            )
            self._send_settlement(settlement, now_s)

    def _send_settlement(
        self, settlement: QuotaSettlement, now_s: float
    ) -> None:
        owner = self._ownership.owners.get(settlement.workspace)
        if owner == self._local_host:
            self._settlements += 1
            settlement = msgspec.structs.replace(
                settlement,
                host=self._local_host,
                boot=self._boot,
                sequence=self._settlements,
            )
            self._owner.settle(settlement, now_s)
        elif owner is not None:
            self._post(settlement, [owner])

    def _log_use(self, now_s: float) -> None:
        if now_s < self._log_due_s:
            return
        self._log_due_s = now_s + LOG_INTERVAL_S
        for workspace, bucket in self._owner.buckets.items():
            if bucket.granted_tokens or bucket.denied:
                logger.info(
                    "workspace {} was granted {} tokens",
                    workspace,
                    round(bucket.granted_tokens),
                    within_s=LOG_INTERVAL_S,
                    denied=bucket.denied,
                    level_tokens=round(bucket.level_tokens),
                    share=round(self._ownership.share, 2),
                )
            bucket.granted_tokens, bucket.denied = 0.0, 0
