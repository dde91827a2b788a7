"""Applies what upstreams say in their responses about requests to come."""

import math
import time
from collections import OrderedDict
from collections.abc import Callable

from loguru import logger

from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.gateway.upstream_limits import LimitChange
from acaciaspoke.ids import UpstreamId
from acaciaspoke.platform.notices import UpstreamNotice

# Longest pause that an upstream may name; the longest deadline of callers is
# shorter, and an upstream that needs more time names the pause again.
MAX_PAUSE_S = 30.0

# Status of a refusal that may name a pause.
UNAVAILABLE_STATUS = 503

# Invalid figures of upstreams that are remembered to log each one once.
MAX_LOGGED = 1024


class NoticeRecorder:
    """Applies the notices of upstreams to a fleet, and logs and counts them."""

    def __init__(
        self,
        fleet: Fleet,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._fleet = fleet
        self._metrics = metrics
        self._clock = clock
        self._logged: OrderedDict[tuple[UpstreamId, str], None] = OrderedDict()

    def record(
        self,
        upstream: UpstreamId,
        started_ms: int,
        status: int,
        notice: UpstreamNotice,
        sent_s: float = -math.inf,
    ) -> None:
        """Applies a notice.

        Args:
            upstream: The upstream.
            started_ms: The start of its process.
            status: The status of its response.
            notice: What the response says.
            sent_s: When the request was sent.
        """
        self._record_limit(upstream, started_ms, notice, sent_s)
        self._record_brittle(upstream, started_ms, notice, sent_s)
        if notice.work_time_percent is not None:
            self._fleet.slowdowns.record(
                upstream, notice.work_time_percent, self._clock()
            )
        if notice.is_leaving and self._fleet.record_leaving(
            upstream, started_ms
        ):
            logger.info(
                "upstream {} says that it leaves", upstream, status=status
            )
        if status != UNAVAILABLE_STATUS:
            return
        if notice.has_invalid_pause:
            self._record_invalid(upstream)
        elif notice.pause_s:
            pause_s = min(notice.pause_s, MAX_PAUSE_S)
            if self._fleet.record_named_pause(
                upstream, started_ms, pause_s, self._clock()
            ):
                logger.info(
                    "upstream {} gets nothing for {} s",
                    upstream,
                    round(pause_s, 2),
                    named_s=notice.pause_s,
                )

    def _record_limit(
        self,
        upstream: UpstreamId,
        started_ms: int,
        notice: UpstreamNotice,
        sent_s: float,
    ) -> None:
        limits, now_s = self._fleet.limits, self._clock()
        if notice.has_invalid_limit:
            self._metrics.invalid_limits.inc()
            self._log_once(upstream, "limit")
        elif notice.limit_per_s is not None:
            change = limits.record_limit(
                upstream, started_ms, notice.limit_per_s, now_s
            )
            log_change(change, "a response")
        elif notice.is_unlimited:
            change = limits.record_no_limit(upstream, started_ms, sent_s, now_s)
            log_change(change, "a response")

    def _record_brittle(
        self,
        upstream: UpstreamId,
        started_ms: int,
        notice: UpstreamNotice,
        sent_s: float,
    ) -> None:
        named, now_s = self._fleet.brittle.named, self._clock()
        change = None
        if notice.has_invalid_brittle:
            self._metrics.invalid_brittle.inc()
            self._log_once(upstream, "number of refusals")
        elif notice.brittle_refusals_per_s is not None:
            change = named.record_limit(
                upstream, started_ms, notice.brittle_refusals_per_s, now_s
            )
        elif notice.is_robust:
            change = named.record_no_limit(upstream, started_ms, sent_s, now_s)
        log_brittle_change(change, "a response")

    def _record_invalid(self, upstream: UpstreamId) -> None:
        self._metrics.invalid_pauses.inc()
        self._log_once(upstream, "pause")

    def _log_once(self, upstream: UpstreamId, figure: str) -> None:
        if (upstream, figure) in self._logged:
            return
        self._logged[upstream, figure] = None
        if len(self._logged) > MAX_LOGGED:
            self._logged.popitem(last=False)
        logger.warning(
            "upstream {} names a {} that is invalid", upstream, figure
        )


def count_upstreams(metrics: GatewayMetrics, fleet: Fleet) -> None:
    """Counts the upstreams that leave, pause, or limit their requests."""
    metrics.leaving.set(
        sum(each.is_draining for each in fleet.upstreams.values())
    )
    metrics.paused.set(len(fleet.in_named_pause(time.monotonic())))
    metrics.set_limits(fleet.limits.limited())
    metrics.brittle.set(len(fleet.brittle.upstreams()))


def log_change(change: LimitChange | None, source: str) -> None:
    """Logs a limit that was named, changed or ended.

    Args:
        change: The change; None if there is none.
        source: What shows it.
    """
    if change is None:
        return
    logger.info(
        "upstream {} limits its requests to {} a second"
        if change.after_per_s is not None
        else "upstream {} no longer limits its requests",
        change.upstream,
        change.after_per_s,
        before_per_s=change.before_per_s,
        known_from=source,
        age_ms=round(change.age_s * 1000),
    )


def log_brittle_change(change: LimitChange | None, source: str) -> None:
    """Logs that an upstream became brittle, or is no longer.

    Args:
        change: The change of the refusals that it survives; None if there is
            none.
        source: What shows it.
    """
    if change is None:
        return
    logger.info(
        "upstream {} is brittle: it survives {} refusals a second"
        if change.after_per_s is not None
        else "upstream {} is no longer brittle",
        change.upstream,
        change.after_per_s,
        before_per_s=change.before_per_s,
        known_from=source,
        age_ms=round(change.age_s * 1000),
    )
