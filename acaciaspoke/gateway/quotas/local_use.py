"""What one host has used of quotas, and may use without an owner."""

from collections import defaultdict, deque
from collections.abc import Set

import msgspec

from acaciaspoke.gateway.quotas.bucket import TokenBucket
from acaciaspoke.gateway.types import Quota
from acaciaspoke.ids import WorkspaceId

# A workspace that was denied tokens this recently gets none without its owner.
DENIAL_VALID_S = 2.0

# An owner's last answer tells about the bucket this long. If less than this
# part of the burst was left, its workspace gets none without the owner.
LEVEL_VALID_S = 4.0
LOW_LEVEL_SHARE = 0.25

# If most of it was left, the hosts may together use more than the quota until
# another owner answers, about a second later.
HIGH_LEVEL_SHARE = 0.5
HIGH_LEVEL_SHARES = 3.0

# Bounds of the time over which use counts for a new owner's bucket.
MIN_RECENT_S = 0.2
MAX_RECENT_S = 4.0


class _Use(msgspec.Struct):
    """The use of one workspace."""

    granted: deque[tuple[float, float]] = msgspec.field(default_factory=deque)
    denied_s: float = float("-inf")
    low_s: float = float("-inf")
    high_s: float = float("-inf")
    unasked: TokenBucket | None = None
    returned_tokens: float = 0.0
    used_tokens: float = 0.0


class LocalUse:
    """The use of all workspaces at this host."""

    def __init__(self) -> None:
        self._uses: defaultdict[WorkspaceId, _Use] = defaultdict(_Use)

    def record_granted(
        self, workspace: WorkspaceId, tokens: float, now_s: float
    ) -> None:
        """Records tokens that this host uses."""
        use = self._uses[workspace]
        use.granted.append((now_s, tokens))
        while use.granted[0][0] < now_s - MAX_RECENT_S:
            use.granted.popleft()

    def record_denied(self, workspace: WorkspaceId, now_s: float) -> None:
        """Records that the owner denied tokens."""
        self._uses[workspace].denied_s = now_s

    def record_level(
        self, workspace: WorkspaceId, level_share: float, now_s: float
    ) -> None:
        """Records which part of the burst the owner has left."""
        use = self._uses[workspace]
        use.low_s = use.high_s = float("-inf")
        if level_share < LOW_LEVEL_SHARE:
            use.low_s = now_s
        elif level_share >= HIGH_LEVEL_SHARE:
            use.high_s = now_s

    def forget_others(self, workspaces: Set[WorkspaceId]) -> None:
        """Forgets all workspaces but some."""
        for workspace in self._uses.keys() - workspaces:
            del self._uses[workspace]

    def recent_tokens(
        self, workspace: WorkspaceId, quota: Quota, now_s: float
    ) -> float:
        """Returns what was used in the time in which a bucket fills."""
        since_s = now_s - recent_s(quota)
        return sum(
            tokens
            for used_s, tokens in self._uses[workspace].granted
            if used_s >= since_s
        )

    def use_unasked(
        self,
        workspace: WorkspaceId,
        quota: Quota,
        tokens: float,
        share: float,
        now_s: float,
    ) -> bool:
        """Uses tokens of this host's share, as no owner answers.

        Args:
            workspace: The workspace.
            quota: Its quota.
            tokens: What a request needs.
            share: The part of the quota of one host.
            now_s: The current time.

        Returns:
            Whether the request may be sent.
        """
        use = self._uses[workspace]
        if now_s - use.denied_s <= DENIAL_VALID_S:
            return False
        if now_s - use.low_s <= LEVEL_VALID_S:
            return False
        if now_s - use.high_s <= LEVEL_VALID_S:
            share = min(1.0, HIGH_LEVEL_SHARES * share)
        if use.unasked is None:
            use.unasked = TokenBucket(quota, share, now_s)
        use.unasked.set_quota(quota, share, now_s)
        if use.unasked.ask(None, tokens, 0.0, now_s) != 0.0:
            return False
        use.used_tokens += tokens
        return True

    def give_back(self, workspace: WorkspaceId, tokens: float) -> None:
        """Keeps tokens of a request that was not sent for the owner."""
        self._uses[workspace].returned_tokens += tokens

    def take_settlement(self, workspace: WorkspaceId) -> tuple[float, float]:
        """Returns and clears what the owner has to know.

        Returns:
            The tokens to give back, and those used without asking.
        """
        use = self._uses[workspace]
        # A full bucket would lose tokens that are first returned, then charged.
        both = min(use.returned_tokens, use.used_tokens)
        settled = use.returned_tokens - both, use.used_tokens - both
        use.returned_tokens = use.used_tokens = 0.0
        return settled

    def unsettled(self) -> list[WorkspaceId]:
        """Returns the workspaces of which the owner has to know something."""
        return [
            workspace
            for workspace, use in self._uses.items()
            if use.returned_tokens or use.used_tokens
        ]


def recent_s(quota: Quota) -> float:
    """Returns over how many seconds use counts for a new owner's bucket."""
    fill_s = quota.burst_tokens / quota.tokens_per_s
    return min(MAX_RECENT_S, max(MIN_RECENT_S, fill_s))
