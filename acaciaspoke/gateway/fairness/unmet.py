"""Counts the tokens of requests that were refused lately."""

import math
from collections import Counter

from acaciaspoke.gateway.fairness.shares import request_tokens, workspace_of
from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import WorkspaceId

# Refused tokens decay with this time constant. It is about the time that a
# request runs, so that they weigh as much as if they were running.
DECAY_S = 1.0

# Less than one token is forgotten.
MIN_TOKENS = 1.0


class UnmetTokens:
    """The tokens refused by this host, as decaying sums by workspace."""

    def __init__(self) -> None:
        self._tokens: Counter[WorkspaceId] = Counter()
        self._updated_s = 0.0

    def record(self, request: Request, now_s: float) -> None:
        """Records a request that is refused now."""
        self._decay(now_s)
        self._tokens[workspace_of(request)] += request_tokens(request)

    def recent(self, now_s: float) -> Counter[WorkspaceId]:
        """Returns the tokens of each workspace, as fractions."""
        self._decay(now_s)
        return self._tokens.copy()

    def _decay(self, now_s: float) -> None:
        if not self._tokens or now_s <= self._updated_s:
            self._updated_s = max(now_s, self._updated_s)
            return
        factor = math.exp((self._updated_s - now_s) / DECAY_S)
        self._updated_s = now_s
        self._tokens = Counter(
            {
                name: tokens * factor
                for name, tokens in self._tokens.items()
                if tokens * factor >= MIN_TOKENS
            }
        )
