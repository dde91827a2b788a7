"""Knows which upstreams limit the requests that they take from all hosts.

An upstream names its limit in its responses, each of which reaches one host;
the hosts report to each other what they know.
"""

import math
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

import msgspec

from acaciaspoke.ids import UpstreamId

# Ages of reports are off by the delay of messages. A limit ends only if a
# request without a named limit was sent this long after the last naming.
AGE_ERROR_S = 0.5

# How long a host that stood still may still read what arrived meanwhile.
BUFFERED_S = 0.5

# Reports of upstreams that are not known, or no longer limited, are kept for
# this time, so that no host that was cut off brings an old limit back.
RETENTION_S = 60.0

# How long after the last naming of a limit that has ended others may keep it.
MAX_END_DELAY_S = 10.0

# Limits in one message, which must fit into a datagram.
MAX_REPORTS = 128

# Limits of upstreams whose records are not known yet. Reports may name any.
MAX_UNKNOWN_LIMITS = 1024


class LimitReport(NamedTuple):
    """What a host knows of an upstream's limit; ages are as of the message.

    Attributes:
        started_ms: The start of the upstream's process.
        limit_per_s: Requests a second that it takes from all hosts together.
        named_age_s: Time since a response that named the limit was received.
        since_age_s: Time since the first such response without an end between.
        unlimited_age_s: Time since the last request was sent whose response
            named no limit; None if there was none.
    """

    started_ms: int
    limit_per_s: float
    named_age_s: float
    since_age_s: float
    unlimited_age_s: float | None = None


class LimitChange(NamedTuple):
    """A limit that was named, changed or ended.

    Attributes:
        before_per_s: The limit until now; None if there was none.
        after_per_s: The limit from now on; None if there is none.
        age_s: Time since the response that shows it.
    """

    upstream: UpstreamId
    before_per_s: float | None
    after_per_s: float | None
    age_s: float = 0.0


class _Limit(msgspec.Struct):
    """The newest knowledge of one process of an upstream; times are local."""

    started_ms: int
    limit_per_s: float
    since_s: float
    named_s: float
    unlimited_s: float = -math.inf

    @property
    def is_in_force(self) -> bool:
        return self.unlimited_s <= self.named_s + AGE_ERROR_S

    def name(self, limit_per_s: float, named_s: float, since_s: float) -> None:
        """Applies a newer response that names the limit."""
        if self.unlimited_s > self.named_s + AGE_ERROR_S:
            self.since_s = since_s
        self.limit_per_s = limit_per_s
        self.named_s = named_s

    def lower(self, limit_per_s: float, named_s: float) -> None:
        """Applies a response of about the same time, if it allows less."""
        if limit_per_s < self.limit_per_s:
            self.limit_per_s = limit_per_s
            self.named_s = min(self.named_s, named_s)


class UpstreamLimits:
    """The limits of upstreams, from local responses and other hosts' reports.

    A restart of an upstream ends its limit.
    """

    def __init__(
        self,
        get_started_ms: Callable[[UpstreamId], int | None] = lambda _: None,
    ):
        """Creates an object without any limit.

        Args:
            get_started_ms: Returns the start of an upstream's process by its
                record; None if it is not known.
        """
        self._get_started_ms = get_started_ms
        self._limits: dict[UpstreamId, _Limit] = {}
        self._applied_s = math.inf
        self._late_s = 0.0
        self._late_until_s = -math.inf

    def limit_per_s(self, upstream: UpstreamId) -> float | None:
        """Returns the limit of an upstream; None if it has none."""
        limit = self._limits.get(upstream)
        if limit is None or not limit.is_in_force:
            return None
        started_ms = self._get_started_ms(upstream)
        if started_ms is not None and started_ms > limit.started_ms:
            return None
        return limit.limit_per_s

    def limited(self) -> dict[UpstreamId, float]:
        """Returns the limit of each limited upstream that is known."""
        return {
            upstream: limit_per_s
            for upstream in self._limits
            if self._get_started_ms(upstream) is not None
            and (limit_per_s := self.limit_per_s(upstream)) is not None
        }

    def budgeted(self, now_s: float) -> dict[UpstreamId, float]:
        """Returns the limits that some host may still keep.

        Ages are not exact, so that a limit that has ended for this host may be
        in force for others, which ask for tokens until they get a response.
        """
        ended = {
            upstream: limit.limit_per_s
            for upstream, limit in self._limits.items()
            if not limit.is_in_force
            and now_s - limit.named_s <= MAX_END_DELAY_S
            and self._get_started_ms(upstream) == limit.started_ms
        }
        return self.limited() | ended

    def limited_since_s(self, upstream: UpstreamId) -> float:
        """Returns since when an upstream has been limited."""
        return self._limits[upstream].since_s

    def responded_s(self, upstream: UpstreamId) -> float:
        """Returns when a response last told of a limited upstream's limit."""
        limit = self._limits.get(upstream)
        return max(limit.named_s, limit.unlimited_s) if limit else -math.inf

    def record_limit(
        self,
        upstream: UpstreamId,
        started_ms: int,
        limit_per_s: float,
        now_s: float,
    ) -> LimitChange | None:
        """Records a response that names a limit.

        Args:
            upstream: The upstream.
            started_ms: The start of its process.
            limit_per_s: The limit.
            now_s: When the response was received.
        """
        before_per_s = self.limit_per_s(upstream)
        limit = self._limits.get(upstream)
        if limit is None or limit.started_ms < started_ms:
            self._limits[upstream] = _Limit(
                started_ms, limit_per_s, now_s, now_s
            )
        elif limit.started_ms == started_ms:
            limit.name(limit_per_s, now_s, now_s)
        return self._change(upstream, before_per_s, 0.0)

    def record_no_limit(
        self,
        upstream: UpstreamId,
        started_ms: int,
        sent_s: float,
        now_s: float,
    ) -> LimitChange | None:
        """Records a response that names no limit.

        Args:
            upstream: The upstream.
            started_ms: The start of its process.
            sent_s: When the request was sent.
            now_s: The current time.
        """
        limit = self._limits.get(upstream)
        if limit is None or limit.started_ms != started_ms:
            return None
        before_per_s = self.limit_per_s(upstream)
        limit.unlimited_s = max(limit.unlimited_s, sent_s)
        return self._change(upstream, before_per_s, now_s - sent_s)

    def apply_reports(
        self, reports: Mapping[UpstreamId, LimitReport], now_s: float
    ) -> list[LimitChange]:
        """Applies what another host, or several, know; returns the changes.

        Reports that are read after a gap may have waited for all of it, as this
        host may have stood still; they count as that much older.
        """
        gap_s = now_s - self._applied_s
        if gap_s > AGE_ERROR_S:
            self._late_s, self._late_until_s = gap_s, now_s + BUFFERED_S
        self._applied_s = now_s
        late_s = self._late_s if now_s < self._late_until_s else 0.0
        changes = (
            self._apply(upstream, report, now_s - late_s)
            for upstream, report in reports.items()
            if _is_valid(report)
        )
        return [change for change in changes if change is not None]

    def reports(self, now_s: float) -> dict[UpstreamId, LimitReport]:
        """Returns what is known, for other hosts."""
        self._forget_old(now_s)
        newest = sorted(self._limits.items(), key=lambda item: -item[1].named_s)
        return dict(_to_reports(newest[:MAX_REPORTS], now_s))

    def _apply(
        self, upstream: UpstreamId, report: LimitReport, sent_at_s: float
    ) -> LimitChange | None:
        before_per_s = self.limit_per_s(upstream)
        named_s = sent_at_s - report.named_age_s
        since_s = sent_at_s - report.since_age_s
        limit = self._limits.get(upstream)
        if limit is None and not self._has_room_for(upstream):
            return None
        if limit is None or limit.started_ms < report.started_ms:
            limit = self._limits[upstream] = _Limit(
                report.started_ms, report.limit_per_s, since_s, named_s
            )
        elif limit.started_ms > report.started_ms:
            return None
        else:
            if named_s > limit.named_s + AGE_ERROR_S:
                limit.name(report.limit_per_s, named_s, since_s)
            elif named_s >= limit.named_s - AGE_ERROR_S:
                # Which one is newer is not known; all hosts keep the lower one.
                limit.lower(report.limit_per_s, named_s)
            limit.since_s = min(limit.since_s, since_s)
        age_s = report.named_age_s
        if report.unlimited_age_s is not None:
            sent_s = sent_at_s - report.unlimited_age_s
            # Hosts that repeat each other's reports must not renew them.
            if sent_s > limit.unlimited_s + AGE_ERROR_S:
                limit.unlimited_s = sent_s
            if not limit.is_in_force:
                age_s = report.unlimited_age_s
        return self._change(upstream, before_per_s, age_s)

    def _has_room_for(self, upstream: UpstreamId) -> bool:
        if self._get_started_ms(upstream) is not None:
            return True
        if len(self._limits) < MAX_UNKNOWN_LIMITS:
            return True
        known = map(self._get_started_ms, self._limits)
        return sum(each is None for each in known) < MAX_UNKNOWN_LIMITS

    def _change(
        self, upstream: UpstreamId, before_per_s: float | None, age_s: float
    ) -> LimitChange | None:
        after_per_s = self.limit_per_s(upstream)
        if before_per_s == after_per_s:
            return None
        return LimitChange(upstream, before_per_s, after_per_s, age_s)

    def _forget_old(self, now_s: float) -> None:
        self._limits = {
            upstream: limit
            for upstream, limit in self._limits.items()
            if now_s - max(limit.named_s, limit.unlimited_s) <= RETENTION_S
            or (
                self._get_started_ms(upstream) is not None
                and self.limit_per_s(upstream) is not None
            )
        }


def _is_valid(report: LimitReport) -> bool:
    """Returns whether all figures are finite and none is impossible."""
    ages_s = report.named_age_s, report.since_age_s, report.unlimited_age_s
    return 0 <= report.limit_per_s < math.inf and all(
        age_s is None or -AGE_ERROR_S <= age_s < math.inf for age_s in ages_s
    )


def _to_reports(
    limits: list[tuple[UpstreamId, _Limit]], now_s: float
) -> Iterator[tuple[UpstreamId, LimitReport]]:
    for upstream, limit in limits:
        unlimited_age_s = None
        if limit.unlimited_s > -math.inf:
            unlimited_age_s = now_s - limit.unlimited_s
        yield upstream, LimitReport(
            limit.started_ms,
            limit.limit_per_s,
            now_s - limit.named_s,
            now_s - limit.since_s,
            unlimited_age_s,
        )
