"""Collects the figures of the upstreams that hold a request's artifact."""

from collections.abc import Callable, Mapping, Set

from acaciaspoke.gateway.balance import (
    UNRESPONSIVE_S,
    Loads,
    has_capacity,
    slot_limit,
)
from acaciaspoke.gateway.explain.document import CandidateFigures
from acaciaspoke.gateway.limit_tokens import LimitTokens
from acaciaspoke.gateway.types import Request
from acaciaspoke.gateway.upstream import Upstream
from acaciaspoke.ids import UpstreamId

# Upstreams that are listed; a plain service may have thousands.
MAX_CANDIDATES = 100

# Each rank repeats the choice among all upstreams.
MAX_RANKS = 5


def rank_upstreams(
    upstreams: list[Upstream],
    choose: Callable[[list[Upstream]], Upstream | None],
) -> dict[UpstreamId, int]:
    """Returns the ranks of the first choices, from 1.

    Args:
        upstreams: All upstreams.
        choose: Returns the choice among some of them, or None.
    """
    ranks: dict[UpstreamId, int] = {}
    rest = list(upstreams)
    while rest and len(ranks) < MAX_RANKS:
        chosen = choose(rest)
        if chosen is None:
            break
        ranks[chosen.record.upstream] = len(ranks) + 1
        rest.remove(chosen)
    return ranks


def figures_of(
    request: Request,
    upstream: Upstream,
    loads: Loads,
    lacks: list[str],
    rank: int | None,
    now_s: float,
) -> CandidateFigures:
    """Returns the figures of one upstream."""
    record, name = upstream.record, upstream.record.upstream
    return CandidateFigures(
        upstream=name,
        domain=record.failure_domain,
        running=loads.running[name],
        slots=record.slots,
        slot_limit=round(slot_limit(upstream, request), 2),
        prefill_tokens=loads.prefill_tokens[name],
        slowdown=round(loads.slowdown(name), 3),
        cached_tokens=round(loads.cached_tokens(upstream, request).expected, 1),
        accepts=upstream.accepts(now_s),
        rank=rank,
        lacks=lacks,
    )


def find_lacks(
    request: Request,
    upstream: Upstream,
    loads: Loads,
    tokens: LimitTokens,
    unreachable: Set[UpstreamId],
    now_s: float,
) -> list[str]:
    """Returns what an upstream lacks for a request; empty if nothing.

    Args:
        request: The request.
        upstream: The upstream, which holds its artifact.
        loads: The loads of the upstreams.
        tokens: This host's tokens for limited upstreams.
        unreachable: Upstreams that no host reaches, or this one does not.
        now_s: The current time.
    """
    name = upstream.record.upstream
    is_paused = now_s < upstream.paused_until_s
    is_in_named_pause = now_s < upstream.named_pause_until_s
    accepts = upstream.accepts(now_s)
    is_full = (
        loads.places[name] <= 0
        if name in loads.places
        else loads.running[name] >= slot_limit(upstream, request)
    )
    checks = {
        "reachable": name in unreachable,
        "untried": name in request.tried,
        "pause": is_paused,
        "named pause": is_in_named_pause,
        "trial": not accepts and not is_paused and not is_in_named_pause,
        "room" if name in loads.places else "slot": is_full,
        "prefill": not is_full and not has_capacity(upstream, request, loads),
        "token": name in loads.limited and not tokens.has_token(name, now_s),
        "speed": name in loads.slow,
        "events": upstream.is_unresponsive(UNRESPONSIVE_S, now_s),
    }
    return [name for name, is_lacking in checks.items() if is_lacking]


def list_order(
    upstream: Upstream,
    loads: Loads,
    ranks: Mapping[UpstreamId, int],
    now_s: float,
) -> tuple:
    """Returns the key by which upstreams are listed."""
    name = upstream.record.upstream
    return (
        ranks.get(name, MAX_RANKS + 1),
        not upstream.accepts(now_s),
        loads.running[name],
        name,
    )
