"""A token bucket with requests that wait for tokens; does no I/O.

Handles a workspace that suddenly sends several times its quota: requests are
granted in the order in which they came as tokens accrue, and those whose tokens
would come later than they can wait are denied at once.
"""

from collections import deque
from typing import NamedTuple

from acaciaspoke.gateway.types import Quota

# Tokens that were used without asking delay others by at most this multiple of
# what accrues unused.
MAX_DEBT_CAPACITIES = 1.0


class Waiting(NamedTuple):
    """A request that waits for tokens.

    Attributes:
        key: Identifies it.
        tokens: What it needs.
        until_s: When it no longer needs them.
    """

    key: object
    tokens: float
    until_s: float


class TokenBucket:
    """The tokens of one workspace.

    Attributes:
        level_tokens: Tokens now; negative if more were used than accrued.
        granted_tokens: Tokens granted since the count was last reset.
        denied: Requests denied since the count was last reset.
    """

    def __init__(self, quota: Quota, share: float, now_s: float):
        """Creates a full bucket.

        Args:
            quota: What the workspace may send through all hosts.
            share: The part of it that this bucket has.
            now_s: The current time.
        """
        self._rate_per_s = quota.tokens_per_s * share
        self._capacity_tokens = quota.burst_tokens * share
        self.level_tokens = self._capacity_tokens
        self._accrued_s = now_s
        self._waiting: deque[Waiting] = deque()
        self.granted_tokens = 0.0
        self.denied = 0

    @property
    def is_waited_for(self) -> bool:
        """Whether a request waits for tokens."""
        return bool(self._waiting)

    def set_quota(self, quota: Quota, share: float, now_s: float) -> None:
        """Changes the rate and the capacity."""
        self._accrue(now_s)
        self._rate_per_s = quota.tokens_per_s * share
        self._capacity_tokens = quota.burst_tokens * share
        self.level_tokens = min(self.level_tokens, self._capacity_tokens)

    def ask(
        self, key: object, tokens: float, max_wait_s: float, now_s: float
    ) -> float | None:
        """Grants tokens, has the request wait for them, or denies them.

        Args:
            key: Identifies the request; ``grant`` returns it if it waits.
            tokens: What it needs.
            max_wait_s: How long it can wait.
            now_s: The current time.

        Returns:
            How long it has to wait: 0 if it has the tokens, None if it waits,
            otherwise the time until it could have them; it is denied.
        """
        self._accrue(now_s)
        wait_s = self._wait_s(tokens)
        if wait_s == 0.0:
            self._use(tokens)
            return 0.0
        if wait_s <= max_wait_s:
            self._waiting.append(Waiting(key, tokens, now_s + max_wait_s))
            return None
        self.denied += 1
        return wait_s

    def grant(self, now_s: float) -> list[object]:
        """Returns the requests that waited and have their tokens now."""
        self._accrue(now_s)
        granted = []
        while self._waiting:
            first = self._waiting[0]
            if first.until_s >= now_s and not self._has(first.tokens):
                break
            self._waiting.popleft()
            # One that is late is granted no more, as its host has given up.
            if first.until_s >= now_s:
                self._use(first.tokens)
                granted.append(first.key)
        return granted

    def next_grant_s(self, now_s: float) -> float | None:
        """Returns in how many seconds ``grant`` is due; None if none waits."""
        if not self._waiting:
            return None
        self._accrue(now_s)
        missing = self._needed(self._waiting[0].tokens) - self.level_tokens
        return max(0.0, missing / self._rate_per_s)

    def give_back(self, tokens: float, now_s: float) -> None:
        """Adds tokens of requests that were not sent."""
        self._accrue(now_s)
        self.level_tokens = min(
            self._capacity_tokens, self.level_tokens + tokens
        )

    def charge(self, tokens: float, now_s: float) -> None:
        """Subtracts tokens that were used without being asked for."""
        self._accrue(now_s)
        lowest = -MAX_DEBT_CAPACITIES * max(
            self._capacity_tokens, self._rate_per_s
        )
        lowest = min(lowest, self.level_tokens)
        self.level_tokens = max(lowest, self.level_tokens - tokens)

    def _wait_s(self, tokens: float) -> float:
        queued = sum(waiting.tokens for waiting in self._waiting)
        missing = queued + self._needed(tokens) - self.level_tokens
        if missing <= 0 and not self._waiting:
            return 0.0
        return max(0.0, missing) / self._rate_per_s

    def _needed(self, tokens: float) -> float:
        # A request beyond the capacity is granted by a full bucket.
        return min(tokens, self._capacity_tokens)

    def _has(self, tokens: float) -> bool:
        return self.level_tokens >= self._needed(tokens)

    def _use(self, tokens: float) -> None:
        self.level_tokens -= tokens
        self.granted_tokens += tokens

    def _accrue(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._accrued_s)
        self._accrued_s = max(self._accrued_s, now_s)
        self.level_tokens = min(
            self._capacity_tokens,
            self.level_tokens + self._rate_per_s * elapsed_s,
        )
