"""Adds up the loads of many hosts, so that each need not hear all others.

Answers a deployment in which each host would hear each other's digests and
notices: with 64 hosts and 680 requests a second those are 1,300 datagrams a
second and host. From an aggregator in its failure domain a host hears at most
50 batches and 10 sums.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

from acaciaspoke.gateway.fleet import UNREACHABLE_REPORTERS
from acaciaspoke.gateway.messages import (
    DomainLoads,
    LoadDigest,
    LoadSummary,
    RowsRead,
    SendBatch,
    SendNotice,
)
from acaciaspoke.gateway.peerloads import PeerLoads
from acaciaspoke.gateway.suspects import Suspects
from acaciaspoke.ids import DomainId, HostId, ModelId, UpstreamId
from acaciaspoke.util.rendezvous import rank_by_link

# A host that has sent nothing to any aggregator for so long counts as away.
MEMBER_MAX_AGE_S = 1.0

# An aggregator whose summary is late by this is left for another one; it sends
# ten a second.
SUMMARY_MAX_AGE_S = 0.35

# One that was left is not chosen again for so long.
LEFT_S = 3.0

# Aggregators that are not known yet are looked for among so many hosts of a
# failure domain.
CANDIDATES = 2


# Stands for the digest of a member that has just become silent.
_NOTHING = LoadDigest()


def rank_aggregators(
    domain: DomainId, links_mbps: Mapping[HostId, float], count: int
) -> list[HostId]:
    """Returns the hosts of a failure domain that should aggregate, in order.

    Args:
        domain: The failure domain.
        links_mbps: Its hosts, with what their links carry.
        count: How many to return.
    """
    return rank_by_link(f"loads {domain}", links_mbps, count)


class AggregatorChoice:
    """The aggregator that one host uses, from the hosts of its domain."""

    def __init__(self, own: HostId, domain: DomainId):
        self._own = own
        self._domain = domain
        self._current: HostId | None = None
        self._alive_s = 0.0
        self._left_until_s: dict[HostId, float] = {}

    def heard(self, host: HostId, now_s: float) -> None:
        """Notes a summary."""
        if host == self._current:
            self._alive_s = now_s

    def choose(
        self, links_mbps: Mapping[HostId, float], now_s: float
    ) -> HostId:
        """Returns the aggregator to use now.

        Args:
            links_mbps: The known hosts of the failure domain, with what their
                links carry.
            now_s: The time.
        """
        if (
            self._current not in (None, self._own)
            and now_s - self._alive_s > SUMMARY_MAX_AGE_S
        ):
            self._left_until_s[self._current] = now_s + LEFT_S
        able = {
            host: link_mbps
            for host, link_mbps in ({self._own: 0.0} | {**links_mbps}).items()
            if self._left_until_s.get(host, now_s) <= now_s
        }
        [found] = rank_aggregators(self._domain, able, 1)
        if found != self._current:
            self._current, self._alive_s = found, now_s
        return found


class LoadAggregator:
    """The digests and notices of the hosts that use this one as aggregator.

    Attributes:
        peers: When other aggregators were last heard.
    """

    def __init__(self) -> None:
        self.peers: dict[HostId, float] = {}
        self._members = PeerLoads()
        self._domains = PeerLoads()
        self._heard_s: dict[HostId, float] = {}
        self._lost_by_members = Suspects()
        self._lost_by_domains = Suspects()
        self._pending: list[SendNotice] = []
        self._pending_of_domains: list[SendNotice] = []

    def take_digest(self, digest: LoadDigest, now_s: float) -> None:
        """Takes in the digest of a member."""
        self._members.take_digest(digest, now_s)
        self._heard_s[digest.host] = now_s
        self._lost_by_members.take(digest.host, digest.crashes, now_s)

    def take_send(self, notice: SendNotice, now_s: float) -> None:
        """Takes in what a member sends."""
        self._members.take_send(notice, now_s)
        self._pending.append(notice)

    def take_domain(self, loads: DomainLoads, now_s: float) -> None:
        """Takes in the sum of another aggregator."""
        self._domains.take_digest(loads, now_s)
        self.peers[loads.host] = now_s
        self._lost_by_domains.take(loads.host, loads.crashes, now_s)

    def take_batch(self, batch: SendBatch, now_s: float) -> None:
        """Takes in what hosts of another aggregator send."""
        for notice in batch.notices():
            self._domains.take_send(notice, now_s)
            self._pending_of_domains.append(notice)

    def members(self, now_s: float) -> list[HostId]:
        """Returns the hosts that use this one as their aggregator."""
        return [
            host
            for host, heard_s in self._heard_s.items()
            if now_s - heard_s <= MEMBER_MAX_AGE_S
        ]

    def domain_loads(
        self, now_s: float, rows_read: RowsRead | None = None
    ) -> DomainLoads:
        """Returns the sum of the members, for the other aggregators.

        Args:
            now_s: The time.
            rows_read: What this host knows of the upstreams' table.
        """
        digests = self._members.fresh(now_s)
        return DomainLoads(
            in_flight=dict(self._members.loads(now_s)),
            reading=dict(+self._members.reading(now_s)),
            waiting=_sum_waiting(digests),
            unreachable=_witnessed(digests),
            slow=_union(digest.slow for digest in digests),
            configuration=_newest(digests),
            crashes=dict(self._lost_by_members.others(now_s)),
            members=tuple(sorted(self.members(now_s))),
            rows_read=rows_read,
        )

    def summaries(
        self,
        hosts: Iterable[HostId],
        now_s: float,
        rows_read: RowsRead | None = None,
    ) -> Iterator[tuple[HostId, LoadSummary]]:
        """Yields for each member the sum of all other hosts.

        Args:
            hosts: All known hosts, also those that are silent.
            now_s: The time.
            rows_read: What this host knows of the upstreams' table.
        """
        members, domains = self._members, self._domains
        digests = [*members.fresh(now_s), *domains.fresh(now_s)]
        of_member = {digest.host: digest for digest in digests}
        loads = members.loads(now_s) + domains.loads(now_s)
        reading = members.reading(now_s) + domains.reading(now_s)
        waiting = _sum_waiting(digests)
        lost = self._lost_by_members.others(now_s)
        lost += self._lost_by_domains.others(now_s)
        slow = _union(digest.slow for digest in digests)
        newest = _newest(digests)
        silent = self._silent(hosts, now_s)
        for member in self.members(now_s):
            own = of_member.get(member, _NOTHING)
            others = [digest for digest in digests if digest is not own]
            yield member, LoadSummary(
                in_flight=dict(loads - members.loads(now_s, member)),
                reading=dict(reading - members.reading(now_s, member)),
                waiting=_sum_waiting(others) if own.waiting else waiting,
                unreachable=_witnessed(others),
                slow=slow,
                configuration=newest,
                crashes=dict(lost - Counter(own.crashes)),
                silent=silent,
                rows_read=rows_read,
            )

    def take_pending(self) -> tuple[list[SendNotice], list[SendNotice]]:
        """Returns what members, and those of others, sent since the last."""
        found = self._pending, self._pending_of_domains
        self._pending, self._pending_of_domains = [], []
        return found

    def _silent(
        self, hosts: Iterable[HostId], now_s: float
    ) -> tuple[HostId, ...]:
        heard = set(self.members(now_s))
        for loads in self._domains.fresh(now_s):
            heard.update(loads.members)
        return tuple(sorted(set(hosts) - heard))


def _sum_waiting(
    digests: Iterable[LoadDigest],
) -> dict[ModelId, dict[int, int]]:
    total: dict[ModelId, Counter[int]] = {}
    for digest in digests:
        for model, counts in digest.waiting.items():
            total.setdefault(model, Counter()).update(counts)
    return {model: dict(counts) for model, counts in total.items()}


def _witnessed(digests: Iterable[LoadDigest]) -> tuple[UpstreamId, ...]:
    """Returns each upstream as often as hosts say it, as far as it matters."""
    counts = Counter[UpstreamId]()
    for digest in digests:
        counts.update(digest.unreachable)
    return tuple(
        name
        for name, count in counts.items()
        for _ in range(min(count, UNREACHABLE_REPORTERS))
    )


def _union(names: Iterable[tuple[UpstreamId, ...]]) -> tuple[UpstreamId, ...]:
    return tuple(sorted(set().union(*names)))


def _newest(digests: Iterable[LoadDigest]) -> int:
    return max((digest.configuration for digest in digests), default=0)
