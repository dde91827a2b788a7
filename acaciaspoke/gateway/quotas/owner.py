"""The token buckets that one host owns; does no I/O."""

from collections import OrderedDict
from collections.abc import Iterator, Mapping, Set

import msgspec

from acaciaspoke.gateway.quotas.bucket import TokenBucket
from acaciaspoke.gateway.quotas.local_use import recent_s
from acaciaspoke.gateway.quotas.messages import (
    MAX_WAIT_S,
    QuotaAnswer,
    QuotaAsk,
    QuotaSettlement,
)
from acaciaspoke.gateway.types import Quota
from acaciaspoke.ids import BootId, HostId, WorkspaceId

# Answers that are kept, as an ask is repeated if its answer is lost.
MAX_KEPT_ANSWERS = 4096

# Settlements that are remembered, as datagrams may be duplicated.
MAX_KEPT_SETTLEMENTS = 4096

# Hosts whose earlier use is remembered, over all workspaces: 16 workspaces
# times 2,000 hosts. Those of ended boots are dropped first.
MAX_KEPT_REPORTS = 32_768

# What a denied request waits at least; zero is a grant.
MIN_WAIT_S = 0.01

# An owner that stood still this long may have been replaced meanwhile, as other
# hosts take one that sends nothing for 1 s for dead.
MAX_STEP_S = 0.8

_AskKey = tuple[HostId, BootId, int]


class QuotaOwner:
    """Grants the tokens of the workspaces that this host owns."""

    def __init__(self, host: HostId, now_s: float):
        """Creates an owner of no workspace."""
        self._host = host
        self._buckets: dict[WorkspaceId, TokenBucket] = {}
        self._quotas: Mapping[WorkspaceId, Quota] = {}
        # What hosts had used before their first ask here.
        self._reported: OrderedDict[
            tuple[WorkspaceId, HostId, BootId], float
        ] = OrderedDict()
        self._settlements: OrderedDict[_AskKey, None] = OrderedDict()
        self._answers: OrderedDict[_AskKey, QuotaAnswer | None] = OrderedDict()
        self._asks: dict[_AskKey, QuotaAsk] = {}
        self._last_step_s = now_s

    @property
    def buckets(self) -> Mapping[WorkspaceId, TokenBucket]:
        """The buckets, by workspace."""
        return self._buckets

    def set_quotas(
        self, quotas: Mapping[WorkspaceId, Quota], share: float, now_s: float
    ) -> None:
        """Sets which workspaces this host owns.

        Args:
            quotas: The quotas of these workspaces.
            share: The part of each quota that is granted here.
            now_s: The current time.
        """
        self._skip_pause(now_s)
        self._last_step_s = now_s
        self._quotas = quotas
        lost = self._buckets.keys() - quotas.keys()
        if lost:
            self._forget(lost)
        for workspace, quota in quotas.items():
            bucket = self._buckets.get(workspace)
            if bucket is None:
                bucket = TokenBucket(quota, share, now_s)
                self._buckets[workspace] = bucket
            else:
                bucket.set_quota(quota, share, now_s)

    def handle(self, ask: QuotaAsk, now_s: float) -> QuotaAnswer | None:
        """Returns the answer to an ask; None if it comes later.

        Args:
            ask: The ask, also a repeated one.
            now_s: The current time.
        """
        self._skip_pause(now_s)
        key = _key_of(ask)
        if key in self._answers:
            return self._answer_again(key, ask)
        bucket = self._buckets.get(ask.workspace)
        if bucket is None:
            return None
        self._charge_earlier_use(bucket, ask, now_s)
        wait_s = bucket.ask(key, ask.tokens, ask.max_wait_s, now_s)
        answer = None
        if wait_s is None:
            self._asks[key] = ask
        else:
            answer = self._answer_to(ask, wait_s)
        self._keep(key, answer)
        return answer

    def _answer_again(self, key: _AskKey, ask: QuotaAsk) -> QuotaAnswer | None:
        if key in self._asks:
            self._asks[key] = ask
        answer = self._answers[key]
        # A repeated ask may come by way of another host.
        return answer and msgspec.structs.replace(answer, asker=ask.asker)

    def grant(self, now_s: float) -> Iterator[tuple[QuotaAsk, QuotaAnswer]]:
        """Yields the asks that waited, with their answers."""
        self._skip_pause(now_s)
        for bucket in self._buckets.values():
            granted, late = bucket.grant(now_s)
            for key in granted:
                yield self._answer_waiting(key, 0.0)
            for key in late:
                tokens = self._asks[key].tokens
                wait_s = max(bucket.wait_s(tokens, now_s), MIN_WAIT_S)
                yield self._answer_waiting(key, wait_s)

    def _answer_waiting(
        self, key: _AskKey, wait_s: float
    ) -> tuple[QuotaAsk, QuotaAnswer]:
        ask = self._asks.pop(key)
        answer = self._answer_to(ask, wait_s)
        self._keep(key, answer)
        return ask, answer

    def next_grant_s(self, now_s: float) -> float | None:
        """Returns in how many seconds ``grant`` is due; None if none waits."""
        return min(
            (
                wait_s
                for bucket in self._buckets.values()
                if (wait_s := bucket.next_grant_s(now_s)) is not None
            ),
            default=None,
        )

    def settle(self, message: QuotaSettlement, now_s: float) -> None:
        """Applies what a host gives back, and what it used without asking.

        Args:
            message: The settlement; a duplicate is ignored.
            now_s: The current time.
        """
        self._skip_pause(now_s)
        bucket = self._buckets.get(message.workspace)
        key = (message.host, message.boot, message.sequence)
        if bucket is None or key in self._settlements:
            return
        _put(self._settlements, key, None, MAX_KEPT_SETTLEMENTS)
        self._charge_earlier_use(bucket, message, now_s)
        bucket.give_back(message.returned_tokens, now_s)
        bucket.charge(message.used_tokens, now_s)

    def _charge_earlier_use(
        self,
        bucket: TokenBucket,
        message: QuotaAsk | QuotaSettlement,
        now_s: float,
    ) -> None:
        if not message.recent_tokens:
            return
        host, boot = message.host, message.boot
        if isinstance(message, QuotaAsk):
            host, boot, _ = _key_of(message)
        key = (message.workspace, host, boot)
        known = self._reported.get(key, 0.0)
        if message.recent_tokens > known:
            quota = self._quotas[message.workspace]
            tokens = message.recent_tokens - known
            bucket.report(tokens, recent_s(quota), now_s)
            _put(self._reported, key, message.recent_tokens, MAX_KEPT_REPORTS)

    def _skip_pause(self, now_s: float) -> None:
        """Notices that the host stood still; others may have granted."""
        pause_s = now_s - self._last_step_s
        if pause_s <= MAX_STEP_S:
            return
        self._last_step_s = now_s
        for bucket in self._buckets.values():
            bucket.skip_pause(pause_s, now_s)
        self._forget_asks(self._buckets.keys())
        self._reported.clear()

    def _forget(self, workspaces: Set[WorkspaceId]) -> None:
        for workspace in workspaces:
            del self._buckets[workspace]
        self._forget_asks(workspaces)
        for key in [key for key in self._reported if key[0] in workspaces]:
            del self._reported[key]

    def _forget_asks(self, workspaces: Set[WorkspaceId]) -> None:
        """Forgets who waits, so that a repeated ask counts as a new one."""
        for key, ask in list(self._asks.items()):
            if ask.workspace in workspaces:
                del self._asks[key], self._answers[key]

    def _answer_to(self, ask: QuotaAsk, wait_s: float) -> QuotaAnswer:
        return QuotaAnswer(
            workspace=ask.workspace,
            owner=self._host,
            number=ask.number,
            is_granted=wait_s == 0.0,
            wait_s=min(wait_s, MAX_WAIT_S),
            level_share=self._buckets[ask.workspace].level_share(),
            asker=ask.asker,
        )

    def _keep(self, key: _AskKey, answer: QuotaAnswer | None) -> None:
        self._answers[key] = answer
        self._answers.move_to_end(key)
        # Those that still wait are bounded by the buckets' queues.
        while len(self._answers) > MAX_KEPT_ANSWERS + len(self._asks):
            oldest = next(key for key in self._answers if key not in self._asks)
            del self._answers[oldest]


def _put(entries: OrderedDict, key: object, value: object, most: int) -> None:
    entries[key] = value
    entries.move_to_end(key)
    if len(entries) > most:
        entries.popitem(last=False)


def _key_of(ask: QuotaAsk) -> _AskKey:
    return ask.asker or ask.host, ask.asker_boot or ask.boot, ask.number
