"""Grants the requests that a limited upstream takes from all hosts together.

One host owns the budget of an upstream. Tokens accrue at the rate of the limit,
and hardly any are kept, so that no burst follows a time without requests.
"""

from collections import Counter, deque
from collections.abc import Mapping

import msgspec

from acaciaspoke.ids import HostId

# What accrues in this time is granted at once, as timers are not exact.
BURST_S = 0.05

# Asks that were not repeated for this time no longer count.
ASK_VALID_S = 1.2

# Tokens accrue at least at this rate: a request every few seconds shows whether
# an upstream still names a limit that allows none or hardly any.
MIN_RATE_PER_S = 0.2

# Requests that were sent without a token delay others at most this long.
MAX_DEBT_S = 4.0

# Rank of requests that other upstreams can run, after all that wait.
SPARE_PRIORITY = 1 << 16

# Rank of requests that show whether an upstream still names its limit, if no
# response has for some time; one is granted in each interval.
TRIAL_PRIORITY = SPARE_PRIORITY + 1
TRIAL_INTERVAL_S = 2.0

# Over which time the tokens of more urgent requests are averaged.
RATE_WINDOW_S = 2.0

# Share of the rate that counts as left by more urgent requests at least.
MIN_LEFT_SHARE = 0.02

# A priority's expected wait: that of the requests that go first, and the time
# between two tokens of the host that asked.
Waits = dict[int, tuple[float, float]]


class _Ask(msgspec.Struct):
    """The requests of a host that wait for tokens, by priority."""

    waiting: Counter[int]
    received_s: float
    granted_s: float

    @property
    def rank(self) -> tuple[int, float]:
        return min(self.waiting), self.granted_s


class LimitBudget:
    """The tokens of one upstream, and the hosts that ask for them.

    Attributes:
        granted: Number of tokens granted since the count was last reset.
    """

    def __init__(self, rate_per_s: float, opens_s: float, now_s: float):
        """Creates a budget without any token.

        Args:
            rate_per_s: The limit.
            opens_s: From when on tokens accrue.
            now_s: The current time.
        """
        self._rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        self._opens_s = opens_s
        self._tokens = 0.0
        self._accrued_s = now_s
        self._asks: dict[HostId, _Ask] = {}
        self._trial_due_s = now_s
        # When tokens were granted lately, and the priorities of the requests.
        self._recent: deque[tuple[float, int]] = deque()
        self.granted = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a token."""
        return sum(ask.waiting.total() for ask in self._asks.values())

    @property
    def is_asked(self) -> bool:
        """Whether any request waits for a token."""
        return bool(self._asks)

    @property
    def _capacity(self) -> float:
        return 1 + self._rate_per_s * BURST_S

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Changes the rate at which tokens accrue."""
        self._accrue(now_s)
        self._rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        lowest, highest = -self._rate_per_s * MAX_DEBT_S, self._capacity
        self._tokens = min(highest, max(lowest, self._tokens))

    def ask(
        self, host: HostId, waiting: Mapping[int, int], now_s: float
    ) -> None:
        """Replaces what a host asks for.

        Args:
            host: The host.
            waiting: Number of its requests that wait, by priority.
            now_s: The current time.
        """
        counts = +Counter(waiting)
        known = self._asks.pop(host, None)
        if counts:
            granted_s = known.granted_s if known else now_s
            self._asks[host] = _Ask(counts, now_s, granted_s)

    def charge(self, requests: int, now_s: float) -> None:
        """Counts requests that were sent without a token."""
        self._accrue(now_s)
        lowest = -self._rate_per_s * MAX_DEBT_S
        self._tokens = max(min(lowest, self._tokens), self._tokens - requests)

    def grant(self, now_s: float) -> Counter[HostId]:
        """Returns the tokens that each host gets now, most urgent first."""
        self._accrue(now_s)
        self._asks = {
            host: ask
            for host, ask in self._asks.items()
            if now_s - ask.received_s <= ASK_VALID_S
        }
        granted: Counter[HostId] = Counter()
        while self._tokens >= 1 and (host := self._next_host(now_s)):
            ask = self._asks[host]
            priority = min(ask.waiting)
            if priority == TRIAL_PRIORITY:
                self._trial_due_s = now_s + TRIAL_INTERVAL_S
            self._recent.append((now_s, priority))
            ask.waiting = +(ask.waiting - Counter((priority,)))
            ask.granted_s = now_s
            self._tokens -= 1
            granted[host] += 1
            if not ask.waiting:
                del self._asks[host]
        self.granted += granted.total()
        return granted

    def _next_host(self, now_s: float) -> HostId | None:
        is_trial_due = now_s >= self._trial_due_s
        return min(
            (
                host
                for host, ask in self._asks.items()
                if is_trial_due or min(ask.waiting) != TRIAL_PRIORITY
            ),
            key=lambda host: self._asks[host].rank,
            default=None,
        )

    def waits(self, host: HostId, now_s: float) -> Waits:
        """Returns how long requests of a host have to wait, by priority.

        Args:
            host: The host.
            now_s: The current time.
        """
        self._accrue(now_s)
        ask = self._asks.get(host)
        priorities = ask.waiting if ask else (0,)
        return {
            priority: self._wait(priority, now_s) for priority in priorities
        }

    def _wait(self, priority: int, now_s: float) -> tuple[float, float]:
        asks = self._asks.values()
        ahead = sum(
            count
            for ask in asks
            for other, count in ask.waiting.items()
            if other < priority
        )
        rivals = sum(priority in ask.waiting for ask in asks)
        opens_in_s = max(0.0, self._opens_s - now_s)
        left_per_s = self._left_per_s(priority, now_s)
        return (
            opens_in_s + (ahead - self._tokens) / left_per_s,
            max(1, rivals) / left_per_s,
        )

    def _left_per_s(self, priority: int, now_s: float) -> float:
        """Returns the rate that more urgent requests leave to a priority."""
        while self._recent and self._recent[0][0] <= now_s - RATE_WINDOW_S:
            self._recent.popleft()
        more_urgent = sum(other < priority for _, other in self._recent)
        left_per_s = self._rate_per_s - more_urgent / RATE_WINDOW_S
        return max(left_per_s, MIN_LEFT_SHARE * self._rate_per_s)

    def _accrue(self, now_s: float) -> None:
        elapsed_s = now_s - max(self._accrued_s, self._opens_s)
        self._accrued_s = max(self._accrued_s, now_s)
        if elapsed_s > 0:
            self._tokens = min(
                self._capacity, self._tokens + self._rate_per_s * elapsed_s
            )
