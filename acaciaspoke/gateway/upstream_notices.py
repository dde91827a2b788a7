"""Applies what upstreams say in their responses about requests to come."""

import time
from collections import OrderedDict
from collections.abc import Callable

from loguru import logger

from acaciaspoke.gateway.fleet import Fleet
from acaciaspoke.gateway.metrics import GatewayMetrics
from acaciaspoke.ids import UpstreamId
from acaciaspoke.platform.headers import UpstreamNotice

# Longest pause that an upstream may name; the longest deadline of callers is
# shorter, and an upstream that needs more time names the pause again.
MAX_PAUSE_S = 30.0

# Status of a refusal that may name a pause.
UNAVAILABLE_STATUS = 503

# Upstreams with an invalid pause that are remembered to log each one once.
MAX_LOGGED_UPSTREAMS = 1024


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
        self._logged: OrderedDict[UpstreamId, None] = OrderedDict()

    def record(
        self,
        upstream: UpstreamId,
        started_ms: int,
        status: int,
        notice: UpstreamNotice,
    ) -> None:
        """Applies a notice.

        Args:
            upstream: The upstream.
            started_ms: The start of its process.
            status: The status of its response.
            notice: What the response says.
        """
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

    def _record_invalid(self, upstream: UpstreamId) -> None:
        self._metrics.invalid_pauses.inc()
        if upstream in self._logged:
            return
        self._logged[upstream] = None
        if len(self._logged) > MAX_LOGGED_UPSTREAMS:
            self._logged.popitem(last=False)
        logger.warning("upstream {} names a pause that is invalid", upstream)
