"""Tokens of a host for limited upstreams, and the requests that need them."""

import math
from collections import Counter, deque
from collections.abc import Callable, Set
from typing import NamedTuple

import msgspec

from acaciaspoke.gateway.limit_budget import (
    MIN_RATE_PER_S,
    SPARE_PRIORITY,
    TRIAL_PRIORITY,
    Waits,
)
from acaciaspoke.gateway.upstream_limits import UpstreamLimits
from acaciaspoke.ids import HostId, UpstreamId

# A token that is not used for this time lapses; its request was served
# elsewhere or its caller has left. What all hosts hold may arrive at once, so
# that the rule on limits bounds this to half of its 4 s.
TOKEN_VALID_S = 1.5

# The same for a trial, of which few are granted.
TRIAL_VALID_S = 5.0

# How often an ask is repeated while requests wait, as messages may be lost.
ASK_INTERVAL_S = 0.5

# The owner's expectation of waits counts for this time.
ANSWER_VALID_S = 0.7

# Tokens are asked for in advance for the requests of this time, by those of the
# last moments that would have gone to the upstream.
ADVANCE_S = 0.1
RECENT_S = 0.5

# A request is sent to a limited upstream of which no host has had a response
# for this time, as its limit may have ended.
TRIAL_AFTER_S = 2.0


class DueAsk(NamedTuple):
    """What to ask the owner of an upstream's budget.

    Attributes:
        waiting: Number of requests that wait for a token, by priority.
        charged: Number of requests that were sent without one.
    """

    waiting: dict[int, int]
    charged: int


class _Share(msgspec.Struct):
    """This host's part in the budget of one upstream."""

    tokens_until_s: deque[float] = msgspec.field(default_factory=deque)
    preferred_s: deque[float] = msgspec.field(default_factory=deque)
    needed: Counter[int] = msgspec.field(default_factory=Counter)
    charged: int = 0
    owner: HostId | None = None
    asked: int = 0
    asked_priorities: Set[int] = frozenset()
    asked_s: float = float("-inf")
    unanswered_since_s: float | None = None
    waits: Waits = msgspec.field(default_factory=dict)
    answered_s: float = float("-inf")

    def drop_lapsed(self, now_s: float) -> None:
        while self.tokens_until_s and self.tokens_until_s[0] <= now_s:
            self.tokens_until_s.popleft()

    def spare(self, now_s: float) -> int:
        """Returns how many tokens to ask for in advance."""
        self.drop_lapsed(now_s)
        while self.preferred_s and self.preferred_s[0] <= now_s - RECENT_S:
            self.preferred_s.popleft()
        ahead = math.ceil(len(self.preferred_s) * ADVANCE_S / RECENT_S)
        return max(0, ahead - len(self.tokens_until_s))


class LimitTokens:
    """Tokens of one host, by upstream."""

    def __init__(
        self,
        limits: UpstreamLimits,
        on_needed: Callable[[], None] = lambda: None,
    ):
        """Creates an object without tokens.

        Args:
            limits: The limits of upstreams.
            on_needed: Called when a request waits for a token, or was sent
                without one.
        """
        self.on_needed = on_needed
        self._limits = limits
        self._shares: dict[UpstreamId, _Share] = {}

    def copy(self) -> "LimitTokens":
        """Returns a copy whose use changes nothing here and asks nobody."""
        copied = LimitTokens(self._limits)
        copied._shares = {
            name: msgspec.structs.replace(
                share,
                tokens_until_s=share.tokens_until_s.copy(),
                preferred_s=share.preferred_s.copy(),
                needed=share.needed.copy(),
            )
            for name, share in self._shares.items()
        }
        return copied

    # Used by the dispatcher.

    def begin_round(self) -> None:
        """Forgets which requests wait for tokens, as they are counted anew."""
        for share in self._shares.values():
            share.needed.clear()

    def has_token(self, upstream: UpstreamId, now_s: float) -> bool:
        """Returns whether there is a token for an upstream."""
        share = self._shares.get(upstream)
        if share is None:
            return False
        share.drop_lapsed(now_s)
        return bool(share.tokens_until_s)

    def use(self, upstream: UpstreamId, now_s: float) -> None:
        """Uses a token, or charges the budget, if the upstream is limited."""
        if self._limits.limit_per_s(upstream) is None:
            return
        if self.has_token(upstream, now_s):
            self._share(upstream).tokens_until_s.popleft()
        else:
            self._share(upstream).charged += 1
            self.on_needed()

    def need(self, upstream: UpstreamId, priority: int) -> None:
        """Counts a request that waits for a token."""
        share = self._share(upstream)
        share.needed[priority] += 1
        if not share.asked or priority not in share.asked_priorities:
            self.on_needed()

    def prefer(self, upstream: UpstreamId, now_s: float) -> None:
        """Counts a request for which a limited upstream is the best choice.

        Others can run it, so that it does not wait for a token.
        """
        share = self._share(upstream)
        share.preferred_s.append(now_s)
        if not share.asked and not share.tokens_until_s:
            self.on_needed()

    def is_trial_due(self, upstream: UpstreamId, now_s: float) -> bool:
        """Returns whether a request has to show if a limit is in force."""
        return now_s - self._limits.responded_s(upstream) > TRIAL_AFTER_S

    def wait_s(
        self, upstream: UpstreamId, priority: int, now_s: float
    ) -> float:
        """Returns how long the next request of a priority would wait."""
        share = self._share(upstream)
        is_answered = now_s - share.answered_s <= ANSWER_VALID_S
        if is_answered and priority in share.waits:
            first_s, interval_s = share.waits[priority]
            position = share.needed[priority] + 1
            wait_s = first_s + position * interval_s
            return max(0.0, wait_s - (now_s - share.answered_s))
        limit_per_s = self._limits.limit_per_s(upstream) or 0.0
        ahead = sum(
            count for other, count in share.needed.items() if other <= priority
        )
        return ahead / max(limit_per_s, MIN_RATE_PER_S)

    # Used by the exchange with the owners of budgets.

    def take_due_ask(
        self, upstream: UpstreamId, owner: HostId, now_s: float
    ) -> DueAsk | None:
        """Returns what to ask the owner now, if anything."""
        share = self._share(upstream)
        waiting = dict(share.needed)
        spare = share.spare(now_s)
        if spare and self.is_trial_due(upstream, now_s):
            waiting[TRIAL_PRIORITY] = 1
        elif spare:
            waiting[SPARE_PRIORITY] = spare
        wanted = sum(waiting.values())
        if share.owner != owner:
            share.owner, share.asked = owner, 0
            share.asked_s = float("-inf")
            share.unanswered_since_s = None
        is_due = wanted and (
            not share.asked
            or waiting.keys() - share.asked_priorities
            or now_s - share.asked_s >= ASK_INTERVAL_S
        )
        is_cancelled = share.asked and not wanted
        if not is_due and not is_cancelled and not share.charged:
            return None
        ask = DueAsk(waiting, share.charged)
        share.charged = 0
        share.asked, share.asked_s = wanted, now_s
        if not wanted:
            share.unanswered_since_s = None
        elif share.unanswered_since_s is None:
            share.unanswered_since_s = now_s
        share.asked_priorities = waiting.keys()
        return ask

    def add(
        self, upstream: UpstreamId, tokens: int, waits: Waits, now_s: float
    ) -> None:
        """Applies an answer of the owner."""
        share = self._share(upstream)
        share.drop_lapsed(now_s)
        is_trial = self.is_trial_due(upstream, now_s)
        valid_s = TRIAL_VALID_S if is_trial else TOKEN_VALID_S
        ends_s = [*share.tokens_until_s, *[now_s + valid_s] * tokens]
        share.tokens_until_s = deque(sorted(ends_s))
        share.asked = max(0, share.asked - tokens)
        share.waits, share.answered_s = waits, now_s
        share.unanswered_since_s = None

    def unanswered_s(self, upstream: UpstreamId, now_s: float) -> float:
        """Returns for how long asks have had no answer."""
        since_s = self._share(upstream).unanswered_since_s
        return 0.0 if since_s is None else now_s - since_s

    def keep_only(self, upstreams: set[UpstreamId]) -> None:
        """Forgets the tokens for other upstreams."""
        for upstream in self._shares.keys() - upstreams:
            del self._shares[upstream]

    def _share(self, upstream: UpstreamId) -> _Share:
        share = self._shares.get(upstream)
        if share is None:
            share = self._shares[upstream] = _Share()
        return share
