"""Admits requests within the quotas of their workspaces."""

import time
from collections.abc import Awaitable, Callable

from acaciaspoke.gateway.admission import MAX_RETRY_AFTER_SHARE, Refusal
from acaciaspoke.gateway.quotas.exchange import Denial
from acaciaspoke.gateway.types import Quota, Request
from acaciaspoke.ids import WorkspaceId

# Reason of a refusal because the workspace has used its quota.
OVER_QUOTA = "quota"

# Share of a request's objective that it waits for tokens.
WAIT_OBJECTIVE_SHARE = 0.2

# Share of the time left until its deadline that it waits for them at most.
WAIT_LEFT_SHARE = 0.2

# Callers that are over the quota return over this time, not at once.
RETRY_SPREAD_S = 1.0

# Numbers of tokens that every message can hold exactly.
MAX_TOKENS = 2**53


def quota_tokens(request: Request, quota: Quota) -> int:
    """Returns how many tokens a request counts as."""
    if not quota.counts_tokens:
        return 1
    if request.states_tokens:
        tokens = request.prompt_tokens + request.output_tokens
    else:
        tokens = quota.plain_tokens
    return min(tokens, MAX_TOKENS)


class QuotaGate:
    """Asks for the tokens of requests, and gives back those not used."""

    def __init__(
        self,
        ask: Callable[
            [WorkspaceId, Quota, int, float], Awaitable[Denial | None]
        ],
        give_back: Callable[[WorkspaceId, int], None],
        spread: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ):
        """Creates a gate.

        Args:
            ask: Asks for tokens with the time that a request can wait; returns
                None if they are granted.
            give_back: Gives tokens back.
            spread: Returns a random number from 0 to 1.
            clock: Returns the time.
        """
        self._ask = ask
        self._give_back = give_back
        self._spread = spread
        self._clock = clock

    async def admit(self, request: Request) -> Refusal | None:
        """Returns the refusal of a request beyond its workspace's quota."""
        workspace = request.workspace
        if workspace is None or workspace.quota is None:
            return None
        quota = workspace.quota
        max_wait_s = WAIT_OBJECTIVE_SHARE * request.route.objective_s
        left_s = max(0.0, request.deadline_s - self._clock())
        denial = await self._ask(
            workspace.name,
            quota,
            quota_tokens(request, quota),
            min(max_wait_s, WAIT_LEFT_SHARE * left_s),
        )
        if denial is None:
            return None
        left_s = max(0.0, request.deadline_s - self._clock())
        wait_s = denial.wait_s + RETRY_SPREAD_S * self._spread()
        retry_after_s = min(wait_s, MAX_RETRY_AFTER_SHARE * left_s)
        return Refusal(OVER_QUOTA, round(retry_after_s, 2))

    def give_back(self, request: Request) -> None:
        """Gives back the tokens of a request that no upstream got."""
        workspace = request.workspace
        if workspace is not None and workspace.quota is not None:
            tokens = quota_tokens(request, workspace.quota)
            self._give_back(workspace.name, tokens)
