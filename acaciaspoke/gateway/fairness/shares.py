"""Fair shares of the capacity by workspace; all functions are pure.

The shares are max-min fair (Bertsekas and Gallager, Data Networks, 2nd edition,
section 6.5.2, found by water-filling) with a lower bound in proportion to the
demand of each workspace.
"""

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import ModelId, WorkspaceId

# A workspace gets at least this part of its proportional share. By the rules,
# none may be served less than a quarter as often as all; the rest is a margin
# for delayed reports.
PROPORTIONAL_PART = 0.3

# Unmet tokens count up to this multiple. Repeats of the same request count each
# time that they are refused, and would raise the lower bound of a workspace
# above the shares of others. One that is served a tenth of the time is within.
MAX_UNMET = 9

# Tokens of a request that states none, as in quotas.
PLAIN_TOKENS = 200

# Requests on public routes, which have no workspace, share as one.
NO_WORKSPACE = WorkspaceId("")


# Counts of requests by model and priority.
ModelCounts = Mapping[ModelId, Mapping[int, int]]


class WorkspaceTokens(NamedTuple):
    """Tokens of one workspace's requests.

    Attributes:
        running: Those at upstreams.
        unmet: Those that wait, or were refused within about a second.
    """

    running: int = 0
    unmet: int = 0


def workspace_of(request: Request) -> WorkspaceId:
    """Returns the workspace among which a request is counted."""
    if request.workspace is None:
        return NO_WORKSPACE
    return request.workspace.name


def request_tokens(request: Request) -> int:
    """Returns the prompt and output tokens of a request."""
    return (request.prompt_tokens + request.output_tokens) or PLAIN_TOKENS


def sum_tokens(
    reports: Iterable[Mapping[WorkspaceId, WorkspaceTokens]],
) -> dict[WorkspaceId, WorkspaceTokens]:
    """Returns the sum of the tokens that several hosts report."""
    total: dict[WorkspaceId, WorkspaceTokens] = {}
    for report in reports:
        for name, tokens in report.items():
            known = total.get(name)
            total[name] = (
                tokens
                if known is None
                else WorkspaceTokens(
                    known.running + tokens.running, known.unmet + tokens.unmet
                )
            )
    return total


def subtract_tokens(
    total: Mapping[WorkspaceId, WorkspaceTokens],
    part: Mapping[WorkspaceId, WorkspaceTokens],
) -> dict[WorkspaceId, WorkspaceTokens]:
    """Returns a sum without one of its parts."""
    rest = dict(total)
    for name, tokens in part.items():
        known = rest.pop(name, WorkspaceTokens())
        running = max(0, known.running - tokens.running)
        unmet = max(0, known.unmet - tokens.unmet)
        if running or unmet:
            rest[name] = WorkspaceTokens(running, unmet)
    return rest


def sum_counts(reports: Iterable[ModelCounts]) -> dict[ModelId, dict[int, int]]:
    """Returns the sum of counts by model and priority."""
    total: dict[ModelId, Counter[int]] = {}
    for report in reports:
        for model, counts in report.items():
            total.setdefault(model, Counter()).update(counts)
    return {model: dict(counts) for model, counts in total.items()}


def subtract_counts(
    total: ModelCounts, part: ModelCounts
) -> dict[ModelId, Mapping[int, int]]:
    """Returns a sum of counts without one of its parts."""
    rest = dict(total)
    for model, counts in part.items():
        left = Counter(rest.pop(model, {})) - Counter(counts)
        if left:
            rest[model] = dict(left)
    return rest


def capacity_tokens(
    tokens: Mapping[WorkspaceId, WorkspaceTokens],
) -> float:
    """Returns the tokens that upstreams run at a time.

    This is what they run now. Before anything runs it is half of what waits, so
    that a workspace with more than the others does not go first entirely.
    """
    running = sum(each.running for each in tokens.values())
    return running or sum(each.unmet for each in tokens.values()) / 2


def demands_of(
    tokens: Mapping[WorkspaceId, WorkspaceTokens], capacity: float
) -> dict[WorkspaceId, float]:
    """Returns the demand of each workspace, in tokens.

    What is unmet counts up to a multiple of what runs, or of an equal share.

    Args:
        tokens: The tokens of each workspace.
        capacity: The tokens that upstreams run at a time.
    """
    equal = capacity / max(1, len(tokens))
    return {
        name: each.running
        + min(each.unmet, MAX_UNMET * max(each.running, equal))
        for name, each in tokens.items()
    }


def fair_shares(
    demands: Mapping[WorkspaceId, float], capacity: float
) -> dict[WorkspaceId, float]:
    """Returns the fair share of each workspace.

    A share is at most the demand. Shares that are less are equal, except where
    the lower bound of a workspace with a large demand is higher.

    Args:
        demands: The demand of each workspace, in tokens.
        capacity: What all shares together are at most, in tokens.
    """
    total = sum(demands.values())
    if total <= capacity:
        return dict(demands)
    part = PROPORTIONAL_PART * capacity / total
    level = _water_level(demands, part, capacity)
    return {
        name: min(demand, max(part * demand, level))
        for name, demand in demands.items()
    }


def _water_level(
    demands: Mapping[WorkspaceId, float], part: float, capacity: float
) -> float:
    """Returns the level at which the shares use the capacity.

    The use grows with the level by one for each workspace whose lower bound is
    below the level and whose demand is above it.
    """
    bends = sorted(
        itertools.chain.from_iterable(
            ((part * demand, 1), (demand, -1)) for demand in demands.values()
        )
    )
    used, level, slope = part * sum(demands.values()), 0.0, 0
    for bend, change in bends:
        grown = used + slope * (bend - level)
        if slope and grown >= capacity:
            return level + (capacity - used) / slope
        used, level, slope = grown, bend, slope + change
    return level
