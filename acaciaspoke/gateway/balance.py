"""Chooses an upstream for a request.

Handles three situations: many hosts choose at once with loads that are a tenth
of a second old; urgent work arrives while less urgent work fills the engines;
and several prompts arrive at one engine, whose streams all pause during the
prefill.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Set
from types import MappingProxyType
from typing import NamedTuple

import xxhash

from acaciaspoke.gateway.engine_speed import EngineSpeed
from acaciaspoke.gateway.prompts import (
    CachedTokens,
    Candidate,
    Holdings,
    engines_by_wait,
    session_preference,
)
from acaciaspoke.gateway.types import (
    BackupEngine,
    Request,
    UpstreamRecord,
    WaitReason,
)
from acaciaspoke.gateway.upstream import Upstream
from acaciaspoke.ids import DomainId, UpstreamId

# Load of an engine up to which it gets requests, by priority, as a share of its
# slots. The engine admits urgent requests first, so they may queue there; the
# least urgent ones leave slots for the next urgent ones.
SLOT_SHARES = (1.15, 1.0, 0.9)

# Services without models respond within the time that a load report takes, so
# some requests queue there to keep all slots busy.
PLAIN_SLOT_SHARE = 2.0

# Load of a service without models, as a share of its slots, up to which
# upstreams in this host's failure domain are preferred; beyond it the least
# loaded one is chosen.
LOCAL_LOAD_SHARE = 0.8

# Free capacity that each upstream counts as having, as a share of its slots.
MIN_FREE_SHARE = 0.05

# Engines whose load, times their slowdown, differs by less than this share of
# their slots count as equal, so that hosts with the same loads do not all
# choose the same one.
EQUAL_LOAD_SHARE = 0.2

# Share of the longest gap between events that prefill may take; the rest is the
# time that an event takes.
PREFILL_GAP_SHARE = 0.5

# An engine whose streams had no event for this time gets new work only if there
# is no other one; prefill of what ``prefill_limit_tokens`` allows takes a fifth
# of it.
UNRESPONSIVE_S = 0.4

# Longest gap between events if the route sets no objective.
DEFAULT_GAP_S = 0.2


def slot_limit(upstream: Upstream, request: Request) -> float:
    """Returns the load below which an upstream may get a request."""
    slots = upstream.record.slots
    if request.artifact is None:
        return PLAIN_SLOT_SHARE * slots
    rank = min(request.route.priority, len(SLOT_SHARES) - 1)
    return SLOT_SHARES[rank] * slots


class Loads(NamedTuple):
    """Loads of the upstreams, summed over all hosts.

    Attributes:
        running: Requests at each upstream.
        prefill_tokens: Prompt tokens of requests that await their first event.
        slow: Engines that are far slower than others.
        speed: The measured speed of engines.
        limited: Upstreams that limit the requests that they take.
        places: Requests that this host may still send to each brittle upstream.
        slowdowns: How many times the usual time of its service work takes now
            at each upstream; empty if upstreams do not report it.
        mean_slowdowns: The same on average over some seconds.
        spreads_plain: Whether plain requests are spread by free capacity, as
            many hosts with the same loads would choose the same upstream.
        holdings: The prompt parts that engines hold; None if they are not
            known.
        now_s: The time of the loads.
        lost: Upstreams to which the latest connection of this host failed.
    """

    running: Counter[UpstreamId]
    prefill_tokens: Counter[UpstreamId]
    slow: Set[UpstreamId] = frozenset()
    speed: EngineSpeed = EngineSpeed()  # Without samples; never changed.
    limited: Set[UpstreamId] = frozenset()
    places: Mapping[UpstreamId, int] = MappingProxyType({})
    slowdowns: Mapping[UpstreamId, float] = MappingProxyType({})
    mean_slowdowns: Mapping[UpstreamId, float] = MappingProxyType({})
    spreads_plain: bool = False
    holdings: Holdings | None = None
    now_s: float = 0.0
    lost: Set[UpstreamId] = frozenset()

    def cached_tokens(
        self, upstream: Upstream, request: Request
    ) -> CachedTokens:
        """Returns the tokens of a prompt that an engine need not process."""
        if self.holdings is None or not request.has_sized_parts:
            return CachedTokens()
        running = self.running[upstream.record.upstream]
        return self.holdings.cached_tokens(
            upstream, request, running, self.now_s
        )

    def slowdown(self, upstream: UpstreamId) -> float:
        """Returns how many times the usual time work takes at an upstream."""
        return self.slowdowns.get(upstream, 1.0)

    def add(self, upstream: UpstreamId, request: Request) -> None:
        """Counts a request that is sent now."""
        self.running[upstream] += 1
        if upstream in self.places:
            self.places[upstream] -= 1
        if request.artifact is not None:
            self.prefill_tokens[upstream] += request.uncached_tokens

    def reserve(self, upstream: UpstreamId, request: Request) -> None:
        """Reserves an engine's next prefill for a waiting request."""
        self.prefill_tokens[upstream] += request.prompt_tokens


def has_capacity(upstream: Upstream, request: Request, loads: Loads) -> bool:
    """Returns whether an upstream has a slot and can prefill the prompt."""
    name = upstream.record.upstream
    # Loads of other hosts are older than what the owner of a room knows.
    if name in loads.places:
        if loads.places[name] <= 0:
            return False
    elif loads.running[name] >= slot_limit(upstream, request):
        return False
    if request.artifact is None or not loads.prefill_tokens[name]:
        return True
    limit_tokens = prefill_limit_tokens(request, loads.speed)

    # A short slowdown does not count: at high load prompts would wait for its
    # end, and more of them would be refused.
    slowdown = loads.mean_slowdowns.get(name, 1.0)

    def fits(tokens: int) -> bool:
        total = loads.prefill_tokens[name] + tokens
        return total * slowdown <= limit_tokens

    if fits(request.prompt_tokens):
        return True
    # All waiting requests are checked often; what is cached is looked up only
    # if it makes a difference.
    if not request.has_sized_parts or not fits(0):
        return False
    cached_tokens = loads.cached_tokens(upstream, request).confident
    return fits(request.prompt_tokens - cached_tokens)


def prefill_limit_tokens(request: Request, speed: EngineSpeed) -> float:
    """Returns the prompt tokens that an engine may prefill at a time.

    Its streams pause meanwhile.
    """
    gap_s = request.route.gap_objective_s or DEFAULT_GAP_S
    tokens_per_s = speed.prefill_tokens_per_s(request.service)
    return PREFILL_GAP_SHARE * gap_s * tokens_per_s


def choose_upstream(
    request: Request,
    candidates: Iterable[Upstream],
    loads: Loads,
    local_domain: DomainId,
    now_s: float,
) -> Upstream | None:
    """Returns the upstream for a request; None if it has to wait.

    Args:
        request: The request.
        candidates: The upstreams that can run it.
        loads: The loads of the upstreams.
        local_domain: The failure domain of this host.
        now_s: The current time.
    """
    unreachable = request.unreached & loads.lost
    usable = [
        upstream
        for upstream in candidates
        if upstream.accepts(now_s)
        and upstream.record.upstream not in request.tried
        and upstream.record.upstream not in unreachable
        and has_capacity(upstream, request, loads)
    ]
    if not usable:
        return None
    # A slow or unresponsive engine gets new work only if there is no other one,
    # as does one that could not be reached for the request before.
    preferred = [
        upstream
        for upstream in usable
        if upstream.record.upstream not in loads.slow
        and upstream.record.upstream not in request.unreached
        and not upstream.is_unresponsive(UNRESPONSIVE_S, now_s)
    ]
    usable = preferred or usable
    shares = {
        upstream.record.upstream: loads.running[upstream.record.upstream]
        / max(1, upstream.record.slots)
        for upstream in usable
    }

    costs = {
        name: loads.slowdown(name) * (1 + share)
        for name, share in shares.items()
    }

    least_cost = min(costs.values())
    if loads.holdings is not None and request.has_sized_parts:
        excess = {
            name: max(0.0, cost - least_cost - EQUAL_LOAD_SHARE)
            for name, cost in costs.items()
        }
        return _choose_by_wait(request, usable, loads, excess, now_s)

    def rank_engine(upstream: Upstream) -> tuple:
        name = upstream.record.upstream
        # Requests of a session go to the same engine, which may have their
        # prompt cached.
        return (
            costs[name] > least_cost + EQUAL_LOAD_SHARE,
            -session_preference(request, name),
        )

    def rank_plain(upstream: Upstream) -> tuple:
        record = upstream.record
        share = shares[record.upstream] * loads.slowdown(record.upstream)
        is_local = record.failure_domain == local_domain
        is_busy = share >= LOCAL_LOAD_SHARE
        if loads.spreads_plain:
            order = _spread_order(request, record, share)
            return (is_busy, not is_busy and not is_local, order)
        return (is_busy, share if is_busy else not is_local, share)

    rank = rank_plain if request.artifact is None else rank_engine
    return min(usable, key=rank)


def _choose_by_wait(
    request: Request,
    usable: list[Upstream],
    loads: Loads,
    excess: Mapping[UpstreamId, float],
    now_s: float,
) -> Upstream:
    """Returns the engine with the least wait, by session among equal ones.

    Args:
        request: The request.
        usable: The engines.
        loads: The loads of the engines.
        excess: The load of each beyond that of equal engines.
        now_s: The current time.
    """
    upstreams = {upstream.record.upstream: upstream for upstream in usable}
    candidates = [
        Candidate(
            name,
            loads.prefill_tokens[name],
            loads.cached_tokens(upstream, request).expected,
            loads.slowdown(name),
            excess[name],
        )
        for name, upstream in upstreams.items()
    ]
    tokens_per_s = loads.speed.prefill_tokens_per_s(request.service)
    equal = engines_by_wait(request, candidates, tokens_per_s, now_s)
    return upstreams[
        max(equal, key=lambda name: session_preference(request, name))
    ]


def record_prompt_use(
    request: Request,
    chosen: Upstream,
    holders: Iterable[Upstream],
    loads: Loads,
) -> None:
    """Records what the chosen engine holds of a request's prompt."""
    if not request.has_sized_parts:
        return
    cached = loads.cached_tokens(chosen, request)
    request.expected_cached_tokens = cached.expected
    request.cached_tokens = cached.confident
    names = (upstream.record.upstream for upstream in holders)
    preferred = max(names, key=lambda name: session_preference(request, name))
    request.is_off_session = chosen.record.upstream != preferred


def named_pause_end_s(
    request: Request, candidates: Iterable[Upstream], now_s: float
) -> float:
    """Returns when the first of the upstreams in a named pause takes requests.

    This is now if any upstream for the request has named none.
    """
    ends_s = [
        max(now_s, upstream.named_pause_until_s)
        for upstream in candidates
        if upstream.record.upstream not in request.tried
    ]
    return min(ends_s, default=now_s)


def wait_reason_of(
    request: Request,
    candidates: Iterable[Upstream],
    loads: Loads,
    now_s: float,
) -> WaitReason:
    """Returns why no upstream can run a request now."""
    holders = list(candidates)
    if not holders:
        return WaitReason.REPLICA
    usable = [
        upstream
        for upstream in holders
        if upstream.accepts(now_s)
        and upstream.record.upstream not in request.tried
    ]
    if not usable:
        return WaitReason.UNREACHABLE
    is_full = all(
        loads.running[upstream.record.upstream] >= slot_limit(upstream, request)
        for upstream in usable
    )
    return WaitReason.SLOT if is_full else WaitReason.PREFILL


def choose_backup_engine(
    chosen: Upstream,
    holders: Iterable[Upstream],
    loads: Loads,
    local_domain: DomainId,
) -> BackupEngine | None:
    """Returns the engine for a request's KV backup; None if there is no other.

    It has the same software version, so that it can go on with the stream.

    Prefers another failure domain than that of the chosen engine, with one of
    the two in this host's domain, which stays reachable if the domain is cut
    off.
    """

    def rank(upstream: Upstream) -> tuple:
        record = upstream.record
        domain = record.failure_domain
        return (
            record.upstream in loads.limited,
            record.upstream in loads.slow,
            domain == chosen.record.failure_domain,
            local_domain not in (domain, chosen.record.failure_domain),
            loads.running[record.upstream] / max(1, record.slots),
        )

    others = [
        upstream
        for upstream in holders
        if upstream is not chosen
        and upstream.record.version == chosen.record.version
    ]
    if not others:
        return None
    record = min(others, key=rank).record
    return BackupEngine(record.upstream, record.address)


def _spread_order(
    request: Request, record: UpstreamRecord, share: float
) -> float:
    """Returns the key of weighted rendezvous hashing by free capacity.

    Each upstream is chosen with a probability proportional to its weight.
    """
    free_share = max(MIN_FREE_SHARE, PLAIN_SLOT_SHARE - share)
    weight = free_share * max(1, record.slots)
    key = f"{request.id}\0{record.upstream}".encode()
    point = xxhash.xxh32_intdigest(key) + 1
    return -math.log(point / 2**32) / weight
