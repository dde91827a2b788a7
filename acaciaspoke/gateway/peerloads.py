"""Loads of other hosts at the upstreams, from their digests and notices."""

import itertools
from collections import Counter
from collections.abc import Callable, Iterator

from acaciaspoke.gateway.engine_speed import DEFAULT_PREFILL_TOKENS_PER_S
from acaciaspoke.gateway.fairness.shares import WorkspaceTokens, sum_tokens
from acaciaspoke.gateway.message_base import is_superseded
from acaciaspoke.gateway.messages import (
    LoadDigest,
    SendNotice,
)
from acaciaspoke.gateway.slowdown import SlowdownReport, newest_reports
from acaciaspoke.ids import HostId, UpstreamId, WorkspaceId

# Loads of a host that has sent nothing for this time no longer count; hosts
# send theirs ten times a second.
LOAD_MAX_AGE_S = 0.7

# The use of workspaces that a host reports counts for this time; if reports
# are lost for a moment, order and admission remain as they are.
WORKSPACE_MAX_AGE_S = 1.0

# A host that has sent nothing for this time is forgotten; no datagram of it is
# delayed for as long.
HOST_RETENTION_S = 60.0

# A prompt counts at least this long after it was sent, even if its prefill is
# over.
MIN_PREFILL_S = 0.1


class PeerLoads:
    """The latest digest of each host and its notices since then."""

    def __init__(
        self,
        prefill_tokens_per_s: Callable[[UpstreamId], float] = lambda _: (
            DEFAULT_PREFILL_TOKENS_PER_S
        ),
        record_prefill: Callable[[UpstreamId, int], None] = lambda *_: None,
    ) -> None:
        """Creates an object without any loads.

        Args:
            prefill_tokens_per_s: Returns the prefill rate of an engine.
            record_prefill: Called with the prompt tokens that another host
                sends to an engine.
        """
        self._record_prefill = record_prefill
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._digests: dict[HostId, tuple[LoadDigest, float]] = {}
        self._notices: dict[HostId, list[tuple[SendNotice, float]]] = {}

    def apply_digest(self, digest: LoadDigest, now_s: float) -> None:
        """Applies a host's loads at the upstreams."""
        known = self._digests.get(digest.host)
        if known and is_superseded(digest, known[0]):
            return
        if known is None:
            self._forget_former_hosts(now_s)
        self._digests[digest.host] = (digest, now_s)
        notices = self._notices.get(digest.host)
        if notices:
            self._notices[digest.host] = [
                entry
                for entry in notices
                if not is_superseded(entry[0], digest)
            ]

    def apply_send(self, notice: SendNotice, now_s: float) -> None:
        """Applies a notice of a request that a host sends to an engine."""
        self._record_prefill(notice.upstream, notice.prompt_tokens)
        known = self._digests.get(notice.host)
        if known and not is_superseded(notice, known[0]):
            notices = self._notices.setdefault(notice.host, [])
            if notices and now_s - notices[0][1] > LOAD_MAX_AGE_S:
                notices[:] = [
                    entry
                    for entry in notices
                    if now_s - entry[1] <= LOAD_MAX_AGE_S
                ]
            notices.append((notice, now_s))

    def _forget_former_hosts(self, now_s: float) -> None:
        self._digests = {
            host: entry
            for host, entry in self._digests.items()
            if now_s - entry[1] <= HOST_RETENTION_S
        }
        self._notices = {
            host: notices
            for host, notices in self._notices.items()
            if host in self._digests
        }

    def fresh(self, now_s: float) -> list[LoadDigest]:
        """Returns the digests that are recent enough to count."""
        return [
            digest
            for digest, received_s in self._digests.values()
            if now_s - received_s <= LOAD_MAX_AGE_S
        ]

    def detached_hosts(self, now_s: float) -> set[HostId]:
        """Returns the other hosts that serve no requests for this one now."""
        return set().union(*(digest.detached for digest in self.fresh(now_s)))

    def stopping_hosts(self, now_s: float) -> set[HostId]:
        """Returns the other hosts that were told to stop."""
        return set().union(*(digest.stopping for digest in self.fresh(now_s)))

    def slowdowns(self, now_s: float) -> dict[UpstreamId, SlowdownReport]:
        """Returns the newest figures of upstreams, with their ages by now."""
        return newest_reports(
            {
                name: report._replace(
                    age_ms=report.age_ms + round(1000 * (now_s - received_s))
                )
                for name, report in digest.slowdowns.items()
            }
            for digest, received_s in self._fresh_digests(now_s, None)
        )

    def workspace_tokens(
        self, now_s: float, host: HostId | None = None
    ) -> dict[WorkspaceId, WorkspaceTokens]:
        """Returns the tokens by workspace, of one host or of all."""
        return sum_tokens(
            digest.workspaces
            for name, (digest, received_s) in self._digests.items()
            if host in (None, name)
            and now_s - received_s <= WORKSPACE_MAX_AGE_S
        )

    def loads(
        self, now_s: float, host: HostId | None = None
    ) -> Counter[UpstreamId]:
        """Counts the requests at each upstream, of one host or of all."""
        loads: Counter[UpstreamId] = Counter()
        for digest, _ in self._fresh_digests(now_s, host):
            loads.update(digest.in_flight)
        for notice, _ in self._fresh_notices(now_s, host):
            loads[notice.upstream] += 1
        return loads

    def prefill_tokens(
        self, now_s: float, host: HostId | None = None
    ) -> Counter[UpstreamId]:
        """Counts prompt tokens in prefill at each engine, of one host or all.

        Tokens processed since a message was received are subtracted.
        """
        total: Counter[UpstreamId] = Counter()
        for digest, received_s in self._fresh_digests(now_s, host):
            age_s = now_s - received_s
            for name, tokens in digest.reading.items():
                total[name] += self._remaining(name, tokens, age_s)
        for notice, received_s in self._fresh_notices(now_s, host):
            age_s = max(0.0, now_s - received_s - MIN_PREFILL_S)
            total[notice.upstream] += self._remaining(
                notice.upstream, notice.prompt_tokens, age_s
            )
        return total

    def _remaining(
        self, upstream: UpstreamId, tokens: int, age_s: float
    ) -> int:
        processed = int(age_s * self._prefill_tokens_per_s(upstream))
        return max(0, tokens - processed)

    def _fresh_digests(
        self, now_s: float, host: HostId | None
    ) -> Iterator[tuple[LoadDigest, float]]:
        if host is None:
            found = iter(self._digests.values())
        else:
            found = iter([self._digests[host]] if host in self._digests else [])
        return (entry for entry in found if now_s - entry[1] <= LOAD_MAX_AGE_S)

    def _fresh_notices(
        self, now_s: float, host: HostId | None
    ) -> Iterator[tuple[SendNotice, float]]:
        if host is None:
            found = itertools.chain.from_iterable(self._notices.values())
        else:
            found = iter(self._notices.get(host, ()))
        return (entry for entry in found if now_s - entry[1] <= LOAD_MAX_AGE_S)
