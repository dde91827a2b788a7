"""Estimates how much longer than usual work takes at each upstream.

Handles upstreams of different speed whose machines also serve others: each has
a usual level, and for parts of a second work takes a multiple of it. A figure
that was just reported counts in full; as it ages, the estimate returns to the
mean of the upstream's figures (the prediction of a first-order autoregressive
process; Box and Jenkins, "Time Series Analysis", 1970).
"""

import math
import statistics
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec

from acaciaspoke.ids import ServiceId, UpstreamId

# Time in which a reported figure loses 63% of its weight: the correlation of
# two figures of one upstream is 0.85 after 0.2 s and 0.5 after 0.8 s.
RELAXATION_S = 0.5

# The mean covers about this much time, so that it follows an upstream that is
# moved to another machine.
MEAN_S = 10.0

# Figures of this age say nothing about the present to other hosts.
MAX_REPORT_AGE_S = 0.5

# Figures in one message, which must fit into a datagram.
MAX_REPORTS = 128

# The upstreams of a service are uneven if the slowest fifth take at least this
# many times as long as the fastest fifth. Where all have the same usual speed,
# avoiding the ones that are slow for half a second fills the others.
UNEVEN_RATIO = 1.5

# Factors beyond these are errors of an upstream.
MIN_FACTOR = 0.05
MAX_FACTOR = 100.0


class SlowdownReport(NamedTuple):
    """A figure that an upstream has reported.

    Attributes:
        percent: How long work takes, as a share of the usual time.
        age_ms: Time since it was reported.
    """

    percent: int
    age_ms: int


class _Level(msgspec.Struct):
    """The newest figure of an upstream and the mean of all, as logarithms."""

    started_ms: int
    last: float
    reported_s: float
    mean: float
    observed_s: float = 0.0

    def add(self, value: float, reported_s: float) -> None:
        elapsed_s = reported_s - self.reported_s
        weight = elapsed_s / min(MEAN_S, self.observed_s + elapsed_s)
        # The last figure holds until this one.
        self.mean += min(1.0, weight) * (self.last - self.mean)
        self.observed_s = min(MEAN_S, self.observed_s + elapsed_s)
        self.last, self.reported_s = value, reported_s

    def at(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.reported_s)
        deviation = (self.last - self.mean) * math.exp(-age_s / RELAXATION_S)
        return math.exp(self.mean + deviation)


class Slowdowns:
    """The slowdown of each upstream, from local responses and reports."""

    def __init__(
        self,
        get_started_ms: Callable[[UpstreamId], int | None] = lambda _: None,
        service_of: Callable[[UpstreamId], ServiceId | None] = lambda _: None,
    ):
        """Creates an object without any figure.

        Args:
            get_started_ms: Returns the start of an upstream's process by its
                record; None if the upstream is not known.
            service_of: Returns the service of an upstream, likewise.
        """
        self._get_started_ms = get_started_ms
        self._service_of = service_of
        self._levels: dict[UpstreamId, _Level] = {}
        # What responses to this host said, and when; others know the rest.
        self._local: dict[UpstreamId, tuple[int, float]] = {}

    def record(
        self, upstream: UpstreamId, percent: int, reported_s: float
    ) -> None:
        """Records a figure of a response to this host.

        Args:
            upstream: The upstream.
            percent: How long work takes there, as a share of the usual time.
            reported_s: When the response was received.
        """
        self._local[upstream] = percent, reported_s
        self._add(upstream, percent, reported_s)

    def _add(
        self, upstream: UpstreamId, percent: int, reported_s: float
    ) -> None:
        """Applies a figure unless it is older than the newest."""
        started_ms = self._get_started_ms(upstream)
        if started_ms is None:
            return
        factor = min(MAX_FACTOR, max(MIN_FACTOR, percent / 100))
        value = math.log(factor)
        level = self._levels.get(upstream)
        if level is None or level.started_ms != started_ms:
            self._levels[upstream] = _Level(
                started_ms, value, reported_s, value
            )
        elif reported_s > level.reported_s:
            level.add(value, reported_s)

    def apply_reports(
        self, reports: Mapping[UpstreamId, SlowdownReport], now_s: float
    ) -> None:
        """Applies the figures that another host knows."""
        for upstream, report in reports.items():
            reported_s = now_s - max(0, report.age_ms) / 1000
            self._add(upstream, report.percent, reported_s)

    def reports(self, now_s: float) -> dict[UpstreamId, SlowdownReport]:
        """Returns the recent figures that responses to this host had."""
        self._forget_removed()
        self._local = {
            upstream: figure
            for upstream, figure in self._local.items()
            if now_s - figure[1] <= MAX_REPORT_AGE_S
        }
        reports = {
            upstream: SlowdownReport(
                percent, max(0, round(1000 * (now_s - reported_s)))
            )
            for upstream, (percent, reported_s) in self._local.items()
        }
        return newest_reports([reports])

    def factors(self, now_s: float) -> dict[UpstreamId, float]:
        """Returns how many times the usual time work takes now."""
        return {
            upstream: level.at(now_s)
            for upstream, level in self._levels.items()
        }

    def mean_factors(self) -> dict[UpstreamId, float]:
        """Returns how many times the usual time work takes on average."""
        return {
            upstream: math.exp(level.mean)
            for upstream, level in self._levels.items()
        }

    def is_uneven(self, service: ServiceId) -> bool:
        """Returns whether the upstreams of a service differ in speed."""
        means = [
            mean
            for upstream, mean in self.mean_factors().items()
            if self._service_of(upstream) == service
        ]
        return bool(means) and _is_uneven(means)

    def relative_factors(
        self, now_s: float
    ) -> tuple[dict[UpstreamId, float], dict[UpstreamId, float]]:
        """Returns factors relative to the upstreams' services.

        Returns:
            Those of now, and their means over some seconds.
        """
        means = self.mean_factors()
        return (
            to_relative(self.factors(now_s), means, self._service_of),
            to_relative(means, means, self._service_of),
        )

    def _forget_removed(self) -> None:
        self._levels = {
            upstream: level
            for upstream, level in self._levels.items()
            if self._get_started_ms(upstream) == level.started_ms
        }


def to_relative(
    factors: Mapping[UpstreamId, float],
    means: Mapping[UpstreamId, float],
    service_of: Callable[[UpstreamId], ServiceId | None],
) -> dict[UpstreamId, float]:
    """Returns factors as multiples of the median mean of their services.

    The measured speed of a service's engines includes their usual slowdown.
    Services whose upstreams are not uneven are left out.

    Args:
        factors: The factors.
        means: The mean factors of the same upstreams.
        service_of: Returns the service of an upstream; None if unknown.
    """
    by_service: defaultdict[ServiceId | None, list[float]] = defaultdict(list)
    for upstream, mean in means.items():
        by_service[service_of(upstream)].append(mean)
    medians = {
        service: statistics.median(values)
        for service, values in by_service.items()
        if _is_uneven(values)
    }
    return {
        upstream: factor / medians[service]
        for upstream, factor in factors.items()
        if (service := service_of(upstream)) in medians
    }


def _is_uneven(means: list[float]) -> bool:
    ranked = sorted(means)
    fifth = len(ranked) // 5
    return ranked[-1 - fifth] >= UNEVEN_RATIO * ranked[fifth]


def newest_reports(
    reports: Iterable[Mapping[UpstreamId, SlowdownReport]],
) -> dict[UpstreamId, SlowdownReport]:
    """Returns the newest figure of each upstream, at most ``MAX_REPORTS``."""
    newest: dict[UpstreamId, SlowdownReport] = {}
    for known in reports:
        for upstream, report in known.items():
            if (
                upstream not in newest
                or report.age_ms < newest[upstream].age_ms
            ):
                newest[upstream] = report
    if len(newest) <= MAX_REPORTS:
        return newest
    ranked = sorted(newest.items(), key=lambda item: item[1].age_ms)
    return dict(ranked[:MAX_REPORTS])
