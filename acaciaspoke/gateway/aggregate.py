"""Aggregates the loads of many hosts.

If each of 64 hosts received the digests and notices of all others, these would
be 1,300 datagrams a second and host at 680 requests a second. From an
aggregator in its failure domain a host receives at most 50 batches and 10
summaries a second.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping

from acaciaspoke.gateway.fairness.shares import (
    subtract_counts,
    subtract_tokens,
    sum_counts,
    sum_tokens,
)
from acaciaspoke.gateway.messages import (
    DomainLoads,
    LoadDigest,
    LoadSummary,
    ReadProgress,
    SendBatch,
    SendNotice,
)
from acaciaspoke.gateway.part_suspects import (
    BEGUN_RETENTION_S,
    EvidenceByPart,
    PartEvidence,
    merge_evidence,
    most_suspected,
)
from acaciaspoke.gateway.peerloads import PeerLoads
from acaciaspoke.gateway.prompts import merge_parts
from acaciaspoke.gateway.reachability import UNREACHABLE_REPORTERS
from acaciaspoke.gateway.slowdown import newest_reports
from acaciaspoke.gateway.suspects import CrashSuspects
from acaciaspoke.gateway.upstream_limits import UpstreamLimits
from acaciaspoke.ids import DomainId, HostId, PartId, UpstreamId
from acaciaspoke.util.rendezvous import rank_by_link

# A host that has sent nothing to any aggregator for this time counts as
# unresponsive.
MEMBER_MAX_AGE_S = 1.0

# A host changes its aggregator if no summary came for this time; an aggregator
# sends ten a second.
SUMMARY_TIMEOUT_S = 0.35

# An aggregator whose summaries did not come is not chosen again for this time.
EXCLUSION_S = 3.0

# Messages for other aggregators also go to this many of the highest ranked
# hosts of each failure domain, which may be aggregators that are not known yet.
CANDIDATES_PER_DOMAIN = 2

# Used for a member whose last digest is too old.
_EMPTY_DIGEST = LoadDigest()


def rank_aggregators(
    domain: DomainId, links_mbps: Mapping[HostId, float], count: int
) -> list[HostId]:
    """Returns the preferred aggregators of a failure domain, best first.

    Args:
        domain: The failure domain.
        links_mbps: Its hosts, with the bandwidth of their links.
        count: How many to return.
    """
    return rank_by_link(f"loads {domain}", links_mbps, count)


class AggregatorChoice:
    """Chooses the aggregator of one host among the hosts of its domain."""

    def __init__(self, local_host: HostId, domain: DomainId):
        self._local_host = local_host
        self._domain = domain
        self._current: HostId | None = None
        self._last_summary_s = 0.0
        self._excluded_until_s: dict[HostId, float] = {}

    def record_summary(self, host: HostId, now_s: float) -> None:
        """Records that a host sent a summary."""
        if host == self._current:
            self._last_summary_s = now_s

    def choose(
        self, links_mbps: Mapping[HostId, float], now_s: float
    ) -> HostId:
        """Returns the aggregator to use now.

        Args:
            links_mbps: The known hosts of the failure domain, with the
                bandwidth of their links.
            now_s: The time.
        """
        if (
            self._current not in (None, self._local_host)
            and now_s - self._last_summary_s > SUMMARY_TIMEOUT_S
        ):
            self._excluded_until_s = {
                host: end_s
                for host, end_s in self._excluded_until_s.items()
                if end_s > now_s
            }
            self._excluded_until_s[self._current] = now_s + EXCLUSION_S
        candidates = {
            host: link_mbps
            for host, link_mbps in (
                {self._local_host: 0.0} | {**links_mbps}
            ).items()
            if self._excluded_until_s.get(host, now_s) <= now_s
        }
        [chosen] = rank_aggregators(self._domain, candidates, 1)
        if chosen != self._current:
            self._current, self._last_summary_s = chosen, now_s
        return chosen


class LoadAggregator:
    """Sums the digests and notices of the hosts that use this aggregator.

    Attributes:
        aggregators_seen_s: When each other aggregator last sent a sum.
    """

    def __init__(
        self, prefill_tokens_per_s: Callable[[UpstreamId], float] | None = None
    ) -> None:
        """Creates an aggregator without members.

        Args:
            prefill_tokens_per_s: Returns the prefill rate of an engine.
        """
        rate = [prefill_tokens_per_s] if prefill_tokens_per_s else []
        self.aggregators_seen_s: dict[HostId, float] = {}
        self._members = PeerLoads(*rate)
        self._domains = PeerLoads(*rate)
        self._last_seen_s: dict[HostId, float] = {}
        self._member_crashes = CrashSuspects()
        self._domain_crashes = CrashSuspects()
        # What members, and the members of other aggregators, know of prompt
        # parts, and when it was received.
        self._member_parts: dict[HostId, tuple[EvidenceByPart, float]] = {}
        self._domain_parts: dict[HostId, tuple[EvidenceByPart, float]] = {}
        self._limits = UpstreamLimits()
        self._brittle = UpstreamLimits()
        self._pending_from_members: list[SendNotice] = []
        self._pending_from_domains: list[SendNotice] = []

    def apply_digest(self, digest: LoadDigest, now_s: float) -> None:
        """Applies the digest of a member."""
        self._members.apply_digest(digest, now_s)
        if digest.host not in self._last_seen_s:
            self._last_seen_s = _recently_seen(self._last_seen_s, now_s)
            self._member_parts = _recent_parts(self._member_parts, now_s)
        self._last_seen_s[digest.host] = now_s
        self._member_crashes.apply_counts(digest.host, digest.crashes, now_s)
        self._member_parts[digest.host] = (digest.suspected_parts, now_s)
        self._limits.apply_reports(digest.limits, now_s)
        self._brittle.apply_reports(digest.brittle, now_s)

    def apply_send(self, notice: SendNotice, now_s: float) -> None:
        """Applies a notice of a request that a member sends."""
        self._members.apply_send(notice, now_s)
        self._pending_from_members.append(notice)

    def apply_domain_loads(self, loads: DomainLoads, now_s: float) -> None:
        """Applies the sum of another aggregator's members."""
        self._domains.apply_digest(loads, now_s)
        if loads.host not in self.aggregators_seen_s:
            self.aggregators_seen_s = _recently_seen(
                self.aggregators_seen_s, now_s
            )
            self._domain_parts = _recent_parts(self._domain_parts, now_s)
        self.aggregators_seen_s[loads.host] = now_s
        self._domain_crashes.apply_counts(loads.host, loads.crashes, now_s)
        self._domain_parts[loads.host] = (loads.suspected_parts, now_s)
        self._limits.apply_reports(loads.limits, now_s)
        self._brittle.apply_reports(loads.brittle, now_s)

    def apply_batch(self, batch: SendBatch, now_s: float) -> None:
        """Applies the notices of another aggregator's members."""
        for notice in batch.notices():
            self._domains.apply_send(notice, now_s)
            self._pending_from_domains.append(notice)

    def members(self, now_s: float) -> list[HostId]:
        """Returns the hosts that use this one as their aggregator."""
        return [
            host
            for host, last_seen_s in self._last_seen_s.items()
            if now_s - last_seen_s <= MEMBER_MAX_AGE_S
        ]

    def domain_loads(
        self, now_s: float, rows_read: ReadProgress | None = None
    ) -> DomainLoads:
        """Returns the sum of the members, for the other aggregators.

        Args:
            now_s: The time.
            rows_read: How current this host's upstreams table is.
        """
        digests = self._members.fresh(now_s)
        return DomainLoads(
            in_flight=dict(self._members.loads(now_s)),
            reading=dict(+self._members.prefill_tokens(now_s)),
            waiting=sum_counts(digest.waiting for digest in digests),
            unreachable=_sum_unreachable(digests),
            slow=_union(digest.slow for digest in digests),
            configuration=_newest_configuration(digests),
            crashes=dict(self._member_crashes.remote_counts(now_s)),
            suspected_parts=_merge_parts(self._member_parts.values(), now_s),
            limits=self._limits.reports(now_s),
            brittle=self._brittle.reports(now_s),
            slowdowns=self._members.slowdowns(now_s),
            held_parts=merge_parts(digest.held_parts for digest in digests),
            workspaces=self._members.workspace_tokens(now_s),
            waiting_over=sum_counts(digest.waiting_over for digest in digests),
            reached=_union(digest.reached for digest in digests),
            detached=_union(digest.detached for digest in digests),
            stopping=_union(digest.stopping for digest in digests),
            members=tuple(sorted(self.members(now_s))),
            rows_read=rows_read,
        )

    def summaries(
        self,
        hosts: Iterable[HostId],
        now_s: float,
        rows_read: ReadProgress | None = None,
    ) -> Iterator[tuple[HostId, LoadSummary]]:
        """Yields for each member the sum of the loads of all other hosts.

        Args:
            hosts: All known hosts, including unresponsive ones.
            now_s: The time.
            rows_read: How current this host's upstreams table is.
        """
        members, domains = self._members, self._domains
        digests = [*members.fresh(now_s), *domains.fresh(now_s)]
        digest_of = {digest.host: digest for digest in digests}
        loads = members.loads(now_s) + domains.loads(now_s)
        prefill_tokens = members.prefill_tokens(now_s) + domains.prefill_tokens(
            now_s
        )
        waiting = sum_counts(digest.waiting for digest in digests)
        crashes = self._member_crashes.remote_counts(now_s)
        crashes += self._domain_crashes.remote_counts(now_s)
        parts = _merge_parts(
            [*self._member_parts.values(), *self._domain_parts.values()], now_s
        )
        slow = _union(digest.slow for digest in digests)
        newest = _newest_configuration(digests)
        limits = self._limits.reports(now_s)
        brittle = self._brittle.reports(now_s)
        slowdowns = newest_reports(
            [members.slowdowns(now_s), domains.slowdowns(now_s)]
        )
        held_parts = merge_parts(digest.held_parts for digest in digests)
        workspaces = sum_tokens(
            [members.workspace_tokens(now_s), domains.workspace_tokens(now_s)]
        )
        waiting_over = sum_counts(digest.waiting_over for digest in digests)
        reached = _union(digest.reached for digest in digests)
        detached = _union(digest.detached for digest in digests)
        stopping = _union(digest.stopping for digest in digests)
        unresponsive = self._unresponsive_hosts(hosts, now_s)
        for member in self.members(now_s):
            member_digest = digest_of.get(member, _EMPTY_DIGEST)
            others = [
                digest for digest in digests if digest is not member_digest
            ]
            yield member, LoadSummary(
                in_flight=dict(loads - members.loads(now_s, member)),
                reading=dict(
                    prefill_tokens - members.prefill_tokens(now_s, member)
                ),
                waiting=subtract_counts(waiting, member_digest.waiting),
                unreachable=_sum_unreachable(others),
                slow=slow,
                configuration=newest,
                crashes=dict(crashes - Counter(member_digest.crashes)),
                suspected_parts=parts,
                limits=limits,
                brittle=brittle,
                slowdowns=slowdowns,
                held_parts=held_parts,
                workspaces=subtract_tokens(
                    workspaces, members.workspace_tokens(now_s, member)
                ),
                waiting_over=subtract_counts(
                    waiting_over, member_digest.waiting_over
                ),
                reached=reached,
                detached=detached,
                stopping=stopping,
                silent=unresponsive,
                rows_read=rows_read,
            )

    def take_pending(self) -> tuple[list[SendNotice], list[SendNotice]]:
        """Returns and clears the pending notices.

        Returns:
            The notices of members, and those of other aggregators' members.
        """
        pending = self._pending_from_members, self._pending_from_domains
        self._pending_from_members, self._pending_from_domains = [], []
        return pending

    def _unresponsive_hosts(
        self, hosts: Iterable[HostId], now_s: float
    ) -> tuple[HostId, ...]:
        responsive = set(self.members(now_s))
        for loads in self._domains.fresh(now_s):
            responsive.update(loads.members)
        return tuple(sorted(set(hosts) - responsive))


def _recently_seen(
    last_seen_s: Mapping[HostId, float], now_s: float
) -> dict[HostId, float]:
    return {
        host: seen_s
        for host, seen_s in last_seen_s.items()
        if now_s - seen_s <= MEMBER_MAX_AGE_S
    }


def _recent_parts(
    reports: Mapping[HostId, tuple[EvidenceByPart, float]], now_s: float
) -> dict[HostId, tuple[EvidenceByPart, float]]:
    return {
        host: report
        for host, report in reports.items()
        if now_s - report[1] <= BEGUN_RETENTION_S
    }


def _merge_parts(
    reports: Iterable[tuple[EvidenceByPart, float]], now_s: float
) -> dict[PartId, PartEvidence]:
    """Merges the reports of hosts whose suspicions still count."""
    recent = [
        (evidence, now_s - received_s)
        for evidence, received_s in reports
        if now_s - received_s <= BEGUN_RETENTION_S
    ]
    return most_suspected(merge_evidence(recent))


def _sum_unreachable(digests: Iterable[LoadDigest]) -> tuple[UpstreamId, ...]:
    """Returns each reported upstream, repeated once for each report.

    Repetitions beyond ``UNREACHABLE_REPORTERS`` are left out.
    """
    counts = Counter[UpstreamId]()
    for digest in digests:
        counts.update(digest.unreachable)
    return tuple(
        name
        for name, count in counts.items()
        for _ in range(min(count, UNREACHABLE_REPORTERS))
    )


def _union(names: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    return tuple(sorted(set().union(*names)))


def _newest_configuration(digests: Iterable[LoadDigest]) -> int:
    return max((digest.configuration for digest in digests), default=0)
