"""A token bucket with requests that wait for tokens; does no I/O.

Handles a workspace that suddenly sends several times its quota: requests are
granted in the order in which they came as tokens accrue, and those whose tokens
would come later than they can wait are denied at once.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from acaciaspoke.gateway.types import Quota

# Tokens that were used without asking delay others by at most this multiple of
# the burst, or of what accrues within a second, of the whole quota.
MAX_DEBT_CAPACITIES = 1.0

# For how long a bucket's host may not know all others yet: digests are sent ten
# times a second, and may be lost; a host that has just started waits for a
# second until it takes itself for the only one.
YOUNG_S = 1.2

# For how long after a pause hosts report what other owners granted meanwhile.
RESUMED_S = 2.0

# Requests of a workspace that wait for tokens; bounds the owner's memory.
MAX_WAITING = 1024


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
        self._share = share
        self._rate_per_s = quota.tokens_per_s * share
        self._capacity_tokens = quota.burst_tokens * share
        self.level_tokens = self._capacity_tokens
        self._debt_tokens = MAX_DEBT_CAPACITIES * max(
            quota.burst_tokens, quota.tokens_per_s
        )
        self._created_s = self._accrued_s = now_s
        # What a smaller share took, and the share before.
        self._withheld_tokens, self._full_share = 0.0, share
        self._withheld_s = float("-inf")
        self._waiting: deque[Waiting] = deque()
        self._queued_tokens = 0.0
        self._pause_s = 0.0
        self._resumed_s = float("-inf")
        self.granted_tokens = 0.0
        self.denied = 0

    @property
    def is_waited_for(self) -> bool:
        """Whether a request waits for tokens."""
        return bool(self._waiting)

    def set_quota(self, quota: Quota, share: float, now_s: float) -> None:
        """Changes the rate and the capacity.

        Unused tokens grow and shrink with the share: hosts that are reachable
        again report what they have used meanwhile, so a change of the share
        alone neither adds to a workspace's quota nor takes from it. A host that
        has just joined does not know the others yet: its buckets become what
        they would have been with the larger share from the start.
        """
        self._accrue(now_s)
        if share < self._share:
            self._withhold(share, now_s)
        elif share > self._share:
            self._restore(quota, share, now_s)
        self._share = share
        self._rate_per_s = quota.tokens_per_s * share
        self._capacity_tokens = quota.burst_tokens * share
        self._debt_tokens = MAX_DEBT_CAPACITIES * max(
            quota.burst_tokens, quota.tokens_per_s
        )
        self.level_tokens = min(self.level_tokens, self._capacity_tokens)

    def _withhold(self, share: float, now_s: float) -> None:
        withheld = max(0.0, self.level_tokens) * (1 - share / self._share)
        self.level_tokens -= withheld
        if now_s - self._withheld_s > YOUNG_S:
            self._withheld_tokens, self._full_share = 0.0, self._share
        self._withheld_tokens += withheld
        self._withheld_s = now_s

    def _restore(self, quota: Quota, share: float, now_s: float) -> None:
        added_share = share - self._share
        if now_s - self._created_s <= YOUNG_S:
            self.level_tokens += quota.burst_tokens * added_share
        elif (
            now_s - self._withheld_s <= YOUNG_S
            and self._share < self._full_share
        ):
            # Tokens may have been charged meanwhile, so a factor would not do.
            part = min(1.0, added_share / (self._full_share - self._share))
            self.level_tokens += part * self._withheld_tokens
            self._withheld_tokens *= 1 - part
        elif self.level_tokens > 0:
            self.level_tokens *= share / self._share

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
        if wait_s <= max_wait_s and len(self._waiting) < MAX_WAITING:
            self._waiting.append(Waiting(key, tokens, now_s + max_wait_s))
            self._queued_tokens += tokens
            return None
        self.denied += 1
        return wait_s

    def grant(self, now_s: float) -> tuple[list[object], list[object]]:
        """Decides about requests that wait.

        Returns:
            Those that have their tokens now, and those that would get them too
            late, as the rate has been lowered or tokens have been charged.
        """
        self._accrue(now_s)
        late = [one.key for one in self._waiting if one.until_s < now_s]
        if late:
            self._keep_waiting(
                one for one in self._waiting if one.until_s >= now_s
            )
            self.denied += len(late)
        granted = []
        while self._waiting and self._has(self._waiting[0].tokens):
            first = self._waiting.popleft()
            self._queued_tokens -= first.tokens
            self._use(first.tokens)
            granted.append(first.key)
        return granted, late

    def wait_s(self, tokens: float, now_s: float) -> float:
        """Returns in how many seconds a request could have its tokens."""
        self._accrue(now_s)
        return self._wait_s(tokens)

    def level_share(self) -> float:
        """Returns the part of the capacity that is unused, from 0 to 1."""
        if not self._capacity_tokens:
            return float(self.level_tokens >= 0)
        return min(1.0, max(0.0, self.level_tokens / self._capacity_tokens))

    def report(self, tokens: float, reported_s: float, now_s: float) -> None:
        """Subtracts what a host used lately of a bucket at another owner.

        Args:
            tokens: What it used.
            reported_s: In how many seconds before.
            now_s: The current time.
        """
        if now_s <= self._resumed_s + RESUMED_S:
            # This bucket had granted the part of it from before the pause.
            away_s = self._pause_s + now_s - self._resumed_s
            tokens *= min(1.0, away_s / reported_s)
        self.charge(tokens, now_s)

    def skip_pause(self, pause_s: float, now_s: float) -> None:
        """Drops what accrued while the host stood still, and who waited."""
        self._pause_s, self._resumed_s = pause_s, now_s
        self._accrued_s = max(self._accrued_s, now_s)
        self._keep_waiting(())

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
        lowest = min(-self._debt_tokens, self.level_tokens)
        self.level_tokens = max(lowest, self.level_tokens - tokens)

    def _wait_s(self, tokens: float) -> float:
        queued = self._queued_tokens
        missing = queued + self._needed(tokens) - self.level_tokens
        return max(0.0, missing) / self._rate_per_s

    def _keep_waiting(self, kept: Iterable[Waiting]) -> None:
        self._waiting = deque(kept)
        self._queued_tokens = sum(one.tokens for one in self._waiting)

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
