"""The token buckets that one host owns; does no I/O."""

from collections import OrderedDict
from collections.abc import Iterator, Mapping

from acaciaspoke.gateway.quotas.bucket import TokenBucket
from acaciaspoke.gateway.quotas.messages import QuotaAnswer, QuotaAsk
from acaciaspoke.gateway.types import Quota
from acaciaspoke.ids import BootId, HostId, WorkspaceId

# Answers that are kept, as an ask is repeated if its answer is lost.
MAX_KEPT_ANSWERS = 4096

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
        # What hosts had used before their first ask here.
        self._reported: dict[tuple[WorkspaceId, HostId, BootId], float] = {}
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
        if now_s - self._last_step_s > MAX_STEP_S:
            self._buckets.clear()
        self._last_step_s = now_s
        for workspace in self._buckets.keys() - quotas.keys():
            del self._buckets[workspace]
        self._reported = {
            key: tokens
            for key, tokens in self._reported.items()
            if key[0] in self._buckets
        }
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
        key = _key_of(ask)
        if key in self._answers:
            return self._answers[key]
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

    def grant(self, now_s: float) -> Iterator[tuple[QuotaAsk, QuotaAnswer]]:
        """Yields the asks that waited, with their answers."""
        for bucket in self._buckets.values():
            for key in bucket.grant(now_s):
                ask = self._asks.pop(key)
                answer = self._answer_to(ask, 0.0)
                self._keep(key, answer)
                yield ask, answer

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

    def settle(
        self,
        workspace: WorkspaceId,
        returned_tokens: float,
        used_tokens: float,
        now_s: float,
    ) -> None:
        """Applies what a host gives back, and what it used without asking."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.give_back(returned_tokens, now_s)
            bucket.charge(used_tokens, now_s)

    def _charge_earlier_use(
        self, bucket: TokenBucket, ask: QuotaAsk, now_s: float
    ) -> None:
        if not ask.recent_tokens:
            return
        host, boot, _ = _key_of(ask)
        key = (ask.workspace, host, boot)
        known = self._reported.get(key, 0.0)
        if ask.recent_tokens > known:
            bucket.charge(ask.recent_tokens - known, now_s)
            self._reported[key] = ask.recent_tokens

    def _answer_to(self, ask: QuotaAsk, wait_s: float) -> QuotaAnswer:
        return QuotaAnswer(
            workspace=ask.workspace,
            owner=self._host,
            number=ask.number,
            is_granted=wait_s == 0.0,
            wait_s=wait_s,
            asker=ask.asker,
        )

    def _keep(self, key: _AskKey, answer: QuotaAnswer | None) -> None:
        self._answers[key] = answer
        if len(self._answers) > MAX_KEPT_ANSWERS:
            oldest, _ = self._answers.popitem(last=False)
            self._asks.pop(oldest, None)


def _key_of(ask: QuotaAsk) -> _AskKey:
    return ask.asker or ask.host, ask.asker_boot or ask.boot, ask.number
