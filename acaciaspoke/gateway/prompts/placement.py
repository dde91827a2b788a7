"""Weighs the tokens that an engine holds of a prompt against the wait there."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from acaciaspoke.gateway.peerloads import MIN_PREFILL_S
from acaciaspoke.gateway.types import Request
from acaciaspoke.ids import UpstreamId

# Engines whose expected waits differ by less count as equal: a step of an
# engine. In the simulation of docs/design/prompt-holdings.md with 120 models,
# 2 ms has engines process 58% of the prompt tokens while hosts do not report
# parts (56% with 5 ms, 55% by session), and 10 ms 53% while they do (52%).
EQUAL_WAIT_S = 0.005

# Prompts count as being in prefill for this time at least. If all of their
# tokens were taken as a queue, the mean time to the first event in the
# simulation rose from 14.6 to 15.7 ms.
PREFILL_WINDOW_S = MIN_PREFILL_S

# Wait that a load beyond that of equal engines counts as, for an engine with
# all slots in use. The share of streams with long pauses rises by 15 points
# from an idle to a full engine, while 300 cached tokens save 8 ms: a request
# moves by one of 12 slots at most for these.
FULL_LOAD_WAIT_S = 0.1


class Candidate(NamedTuple):
    """An engine that can run a request.

    Attributes:
        prefill_tokens: Prompt tokens sent to it within ``PREFILL_WINDOW_S``.
        cached_tokens: Tokens of the prompt that it need not process.
        slowdown: How many times the usual time work takes there.
        excess_load: Load beyond that up to which engines count as equal, as a
            share of its slots.
    """

    engine: UpstreamId
    prefill_tokens: float
    cached_tokens: float
    slowdown: float = 1.0
    excess_load: float = 0.0


def expected_wait_s(
    candidate: Candidate, prompt_tokens: int, tokens_per_s: float
) -> float:
    """Returns the expected time until the first event at an engine.

    Args:
        candidate: The engine.
        prompt_tokens: All tokens of the prompt.
        tokens_per_s: The usual prefill rate.
    """
    uncached_tokens = max(0.0, prompt_tokens - candidate.cached_tokens)
    rate = tokens_per_s / candidate.slowdown
    queued_tokens = expected_queue_tokens(candidate.prefill_tokens, rate)
    return (queued_tokens + uncached_tokens) / rate


def expected_queue_tokens(prefill_tokens: float, tokens_per_s: float) -> float:
    """Returns the tokens that an engine has yet to process, in the mean.

    They arrived together, at any time of the window with equal probability.

    Args:
        prefill_tokens: Tokens that were sent within the window.
        tokens_per_s: The engine's prefill rate.
    """
    window_tokens = tokens_per_s * PREFILL_WINDOW_S
    if prefill_tokens >= window_tokens:
        return prefill_tokens - window_tokens / 2
    return prefill_tokens**2 / (2 * window_tokens)


def engines_by_wait(
    request: Request,
    candidates: Iterable[Candidate],
    tokens_per_s: float,
    now_s: float,
) -> list[UpstreamId]:
    """Returns the engines that are about equally good for a request.

    These are the ones with the least wait, which includes what their load
    counts as. Engines at which the objective is met go before all others.

    Args:
        request: The request.
        candidates: The engines; at least one.
        tokens_per_s: The usual prefill rate.
        now_s: The current time.
    """
    left_s = request.objective_s - now_s
    waits: dict[UpstreamId, float] = {}
    in_time: set[UpstreamId] = set()
    for candidate in candidates:
        wait_s = expected_wait_s(candidate, request.prompt_tokens, tokens_per_s)
        if wait_s <= left_s:
            in_time.add(candidate.engine)
        load_s = FULL_LOAD_WAIT_S * candidate.excess_load
        waits[candidate.engine] = wait_s + load_s
    names = in_time or waits.keys()
    least_s = min(waits[name] for name in names)
    return [name for name in names if waits[name] <= least_s + EQUAL_WAIT_S]


def session_preference(request: Request, engine: UpstreamId) -> int:
    """Returns the rank of an engine for a request's session (32 bits).

    All hosts prefer the same engine (rendezvous hashing; Thaler and
    Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
    Transactions on Networking 6(1), 1998).
    """
    affinity = request.affinity or request.id
    return xxhash.xxh32_intdigest(f"{affinity}\0{engine}".encode())
