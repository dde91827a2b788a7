"""Chooses between upstreams of which some limit the requests that they take.

A limited upstream gets a request for each token that its budget's owner grants
to this host. With a token it is a candidate like the others; requests for which
it would be the best choice go elsewhere without one, if they can.
"""

import math

from acaciaspoke.gateway.balance import Loads, choose_upstream, has_capacity
from acaciaspoke.gateway.host_places import HostPlaces
from acaciaspoke.gateway.limit_tokens import LimitTokens
from acaciaspoke.gateway.types import Request, WaitReason
from acaciaspoke.gateway.upstream import Upstream
from acaciaspoke.ids import DomainId


class LimitedChoice:
    """Chooses for the requests of one host."""

    def __init__(self, tokens: LimitTokens, local_domain: DomainId):
        """Creates an object without state of its own.

        Args:
            tokens: This host's tokens.
            local_domain: The failure domain of this host.
        """
        self._tokens = tokens
        self._local_domain = local_domain

    def choose(
        self,
        request: Request,
        candidates: list[Upstream],
        loads: Loads,
        now_s: float,
    ) -> Upstream | None:
        """Returns the upstream for a request; None if it has to wait.

        Args:
            request: The request.
            candidates: The upstreams that can run it.
            loads: The loads of the upstreams.
            now_s: The current time.
        """

        def choose_among(upstreams: list[Upstream]) -> Upstream | None:
            return choose_upstream(
                request, upstreams, loads, self._local_domain, now_s
            )

        unlimited, limited = _split(candidates, loads)
        if not limited:
            return choose_among(unlimited)
        with_token = [
            upstream
            for upstream in limited
            if self._tokens.has_token(upstream.record.upstream, now_s)
        ]
        on_trial = [
            upstream
            for upstream in limited
            if self._tokens.is_trial_due(upstream.record.upstream, now_s)
        ]
        chosen = choose_among(
            [upstream for upstream in on_trial if upstream in with_token]
        ) or choose_among([*with_token, *unlimited])
        if chosen is not None and unlimited:
            for upstream in limited:
                rivals = [] if upstream in on_trial else [chosen]
                if choose_among([upstream, *rivals]) is upstream:
                    self._tokens.prefer(upstream.record.upstream, now_s)
        return chosen

    def wait_for_token(
        self,
        request: Request,
        holders: list[Upstream],
        loads: Loads,
        now_s: float,
    ) -> float:
        """Has a request wait for a token if a limited upstream could run it.

        Args:
            request: The request, which no upstream can run now.
            holders: The upstreams that hold its artifact.
            loads: The loads of the upstreams.
            now_s: The current time.

        Returns:
            How long it would wait for a token; 0 if it may be sent to an
            upstream without one.
        """
        untried = [
            upstream
            for upstream in holders
            if upstream.record.upstream not in request.tried
        ]
        unlimited, limited = _split(untried, loads)
        if not limited:
            return 0.0
        usable = [
            upstream
            for upstream in limited
            if upstream.accepts(now_s)
            and has_capacity(upstream, request, loads)
        ]
        wait_s, upstream = self._least_wait(request, usable or limited, now_s)
        if usable:
            self._tokens.need(upstream.record.upstream, request.priority)
        if unlimited:
            return 0.0
        request.wait_reason = WaitReason.LIMIT
        return wait_s

    def _least_wait(
        self, request: Request, limited: list[Upstream], now_s: float
    ) -> tuple[float, Upstream]:
        least_s, chosen = math.inf, limited[0]
        for upstream in limited:
            wait_s = self._tokens.wait_s(
                upstream.record.upstream, request.priority, now_s
            )
            if wait_s < least_s:
                least_s, chosen = wait_s, upstream
        return least_s, chosen


def need_places(
    request: Request,
    holders: list[Upstream],
    loads: Loads,
    places: HostPlaces,
    now_s: float,
) -> None:
    """Has a request wait for a place at each brittle upstream that may run it.

    Args:
        request: The request, which no upstream can run now.
        holders: The upstreams that hold its artifact.
        loads: The loads of the upstreams.
        places: This host's places.
        now_s: The current time.
    """
    for upstream in holders:
        name = upstream.record.upstream
        if (
            loads.places.get(name, 1) <= 0
            and name not in request.tried
            and upstream.accepts(now_s)
        ):
            places.need(name, request.priority)
            request.wait_reason = WaitReason.ROOM


def reserve_least_loaded(
    request: Request, holders: list[Upstream], loads: Loads
) -> None:
    """Keeps shorter, less urgent prompts from overtaking a waiting request.

    Args:
        request: The request.
        holders: The upstreams that can run it.
        loads: The loads of the upstreams; one gets a reservation.
    """
    unlimited, _ = _split(holders, loads)
    if unlimited:
        least_loaded = min(
            (upstream.record.upstream for upstream in unlimited),
            key=loads.running.__getitem__,
        )
        loads.reserve(least_loaded, request)


def _split(
    upstreams: list[Upstream], loads: Loads
) -> tuple[list[Upstream], list[Upstream]]:
    """Returns the upstreams without a limit, and those with one."""
    unlimited = [
        upstream
        for upstream in upstreams
        if upstream.record.upstream not in loads.limited
    ]
    limited = [
        upstream
        for upstream in upstreams
        if upstream.record.upstream in loads.limited
    ]
    return unlimited, limited
