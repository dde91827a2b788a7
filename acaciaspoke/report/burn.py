"""Merges the service-level windows of entry processes into a burn report.

A burn rate is the share of requests that missed their targets, divided by the
error budget, which is the share that may miss them. Alerts use multiple windows
and burn rates as in "The Site Reliability Workbook" (Beyer et al., O'Reilly
2018), chapter 5, "Alerting on SLOs", table 5-8. An alert fires while the burn
rates of both its windows reach the threshold; the short window ends the alert
soon after the cause has ended.
"""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from acaciaspoke.config.schema import Rank
from acaciaspoke.ids import Address, ConfigVersion, HostId, RankId, ServiceId
from acaciaspoke.net.messages import Windows
from acaciaspoke.net.records import ServiceTrend, ServiceWindow
from acaciaspoke.report.hdr import (
    HistogramError,
    Percentiles,
    add_encoded,
    new_histogram,
    percentiles,
)
from acaciaspoke.report.histograms import (
    FIRST_TOKEN_UNITS_PER_S,
    GAP_UNITS_PER_S,
    WINDOWS_S,
)

HOUR_S = 3600.0

# Avoids a division by zero with a target of 100%, which has no error budget.
MIN_ERROR_BUDGET = 1e-6

# Limits a threshold to this share of the largest possible burn rate. The
# published thresholds suit targets near 100%: with a target of 90%, the failure
# of every request burns only 10 times the budget, and the fast alert at 14.4
# could never fire. The limit has no effect on targets of 94.8% and above.
MAX_THRESHOLD_SHARE = 0.75


class AlertRule(NamedTuple):
    """An alert on the burn rates of two windows."""

    name: str
    short_s: float
    long_s: float
    burn_rate: float


# 2% of a 30-day budget in 1 h, and 10% of it in 3 days.
ALERT_RULES = (
    AlertRule("fast", 300.0, HOUR_S, 14.4),
    AlertRule("slow", 6 * HOUR_S, 72 * HOUR_S, 1.0),
)


class _Struct(msgspec.Struct, frozen=True, kw_only=True):
    """Sets the options shared by the report's types."""


class WindowBurn(_Struct):
    """Results of one rank and service in one window.

    Attributes:
        attainment: Share of requests that met their targets; None if there
            were none.
        burn_rate: At 1, the error budget is used up exactly.
    """

    window_s: float
    good: int
    total: int
    attainment: float | None
    burn_rate: float
    first_token: Percentiles | None = None
    token_gap: Percentiles | None = None


class Alert(_Struct):
    """The state of an alert."""

    name: str
    short_s: float
    long_s: float
    threshold: float
    firing: bool


class ServiceBurn(_Struct):
    """Results of one rank and service.

    Attributes:
        budget_left: Remaining share of the longest window's error budget;
            negative if it is exceeded.
        trend: Attainment in slices of ``trend_slice_s``, newest first; None
            where there were no requests.
    """

    rank: RankId
    service: ServiceId
    target: float
    first_token_target_s: float
    token_gap_target_ms: float
    budget_left: float
    windows: tuple[WindowBurn, ...]
    alerts: tuple[Alert, ...]
    trend_slice_s: float = 300.0
    trend: tuple[float | None, ...] = ()


class IncompleteSource(_Struct):
    """An entry process whose requests are missing, wholly or in part."""

    host: HostId
    entry_process: Address
    reason: str


class BurnReport(_Struct):
    """The burn report of all entry processes that responded.

    Attributes:
        made_at: Date and time at the process that made the report.
        missing: Processes that did not respond, or whose response could not be
            decoded in full.
        partial: Processes that started to record after the start of the
            longest window; a restart discards earlier records.
    """

    made_at: str
    config_version: ConfigVersion
    processes: int
    services: tuple[ServiceBurn, ...]
    missing: tuple[IncompleteSource, ...] = ()
    partial: tuple[IncompleteSource, ...] = ()


class Source(NamedTuple):
    """An entry process whose windows are requested."""

    host: HostId
    entry_process: Address


class _WindowSums:
    """Sums of windows of one rank, service and length."""

    def __init__(self):
        self.good = 0
        self.total = 0
        self.first_token = new_histogram()
        self.token_gap = new_histogram()

    def add(self, window: ServiceWindow) -> None:
        """Adds a window.

        Raises:
            HistogramError: If a histogram cannot be decoded; the counts are
                added nevertheless.
        """
        self.good += window.good
        self.total += window.total
        add_encoded(self.first_token, window.first_token)
        add_encoded(self.token_gap, window.token_gap)


class BurnMerger:
    """Sums windows as they arrive, in memory independent of their number.

    Adding the windows of one process takes tens of microseconds for each
    histogram, so a caller can yield to other tasks between processes.
    """

    def __init__(self):
        self._sums: dict[tuple[RankId, ServiceId, float], _WindowSums] = {}
        self._trends: dict[tuple[RankId, ServiceId], list[list[int]]] = {}
        self._added: set[Source] = set()
        self._missing: list[IncompleteSource] = []
        self._partial: list[IncompleteSource] = []

    def add(self, source: Source, answer: Windows) -> None:
        """Adds the response of an entry process; ignores duplicates."""
        if source in self._added:
            return
        self._added.add(source)
        unreadable = False
        for window in answer.windows:
            key = (window.rank, window.service, window.length_s)
            try:
                self._sums.setdefault(key, _WindowSums()).add(window)
            except HistogramError:
                unreadable = True
        for trend in answer.trends:
            self._add_trend(trend)
        if unreadable:
            self.record_missing(source, "a histogram could not be read")
        covered_s = max(
            (window.start_age_s for window in answer.windows), default=None
        )
        if covered_s is not None and covered_s < max(WINDOWS_S):
            reason = f"has recorded for {covered_s / HOUR_S:.1f} h"
            self._partial.append(
                IncompleteSource(**source._asdict(), reason=reason)
            )

    def record_missing(self, source: Source, reason: str) -> None:
        """Records an entry process without a usable response."""
        self._missing.append(
            IncompleteSource(**source._asdict(), reason=reason)
        )

    def _add_trend(self, trend: ServiceTrend) -> None:
        sums = self._trends.setdefault((trend.rank, trend.service), [])
        for index, counts in enumerate(
            zip(trend.good, trend.total, strict=False)
        ):
            if index == len(sums):
                sums.append([0, 0])
            for which, count in enumerate(counts):
                sums[index][which] += count

    def report(
        self,
        ranks: Mapping[RankId, Rank],
        config_version: ConfigVersion,
        made_at: str,
    ) -> BurnReport:
        """Returns the report, without ranks that have since been deleted."""
        recorded = {(rank, service) for rank, service, _ in self._sums}
        order = sorted(
            (ranks[rank].level, rank, service)
            for rank, service in recorded
            if rank in ranks
        )
        return BurnReport(
            made_at=made_at,
            config_version=config_version,
            processes=len(self._added),
            services=tuple(
                self._service(rank, service, ranks[rank])
                for _, rank, service in order
            ),
            missing=tuple(self._missing),
            partial=tuple(self._partial),
        )

    def _service(
        self, rank_id: RankId, service: ServiceId, rank: Rank
    ) -> ServiceBurn:
        budget = max(1 - rank.attainment_target, MIN_ERROR_BUDGET)
        windows = tuple(
            _window_burn(
                window_s,
                self._sums.get((rank_id, service, window_s)) or _WindowSums(),
                budget,
            )
            for window_s in WINDOWS_S
        )
        return ServiceBurn(
            rank=rank_id,
            service=service,
            target=rank.attainment_target,
            first_token_target_s=rank.first_token_target_s,
            token_gap_target_ms=rank.token_gap_target_ms,
            budget_left=1 - windows[-1].burn_rate,
            windows=windows,
            alerts=evaluate_alerts(
                {window.window_s: window.burn_rate for window in windows},
                budget,
            ),
            trend=tuple(
                good / total if total else None
                for good, total in self._trends.get((rank_id, service), ())
            ),
        )


def _window_burn(
    window_s: float, sums: _WindowSums, budget: float
) -> WindowBurn:
    attainment = sums.good / sums.total if sums.total else None
    return WindowBurn(
        window_s=window_s,
        good=sums.good,
        total=sums.total,
        attainment=attainment,
        burn_rate=0.0 if attainment is None else (1 - attainment) / budget,
        first_token=percentiles(
            sums.first_token, FIRST_TOKEN_UNITS_PER_S // 1000
        ),
        token_gap=percentiles(sums.token_gap, GAP_UNITS_PER_S // 1000),
    )


def evaluate_alerts(
    burn_rates: Mapping[float, float], budget: float
) -> tuple[Alert, ...]:
    """Returns the state of each alert.

    Args:
        burn_rates: The burn rate of each window, by its length in seconds.
        budget: The share of requests that may miss their targets.
    """
    largest = MAX_THRESHOLD_SHARE / budget
    return tuple(
        _evaluate_rule(rule, min(rule.burn_rate, largest), burn_rates)
        for rule in ALERT_RULES
    )


def _evaluate_rule(
    rule: AlertRule, threshold: float, burn_rates: Mapping[float, float]
) -> Alert:
    rates = (burn_rates[rule.short_s], burn_rates[rule.long_s])
    return Alert(
        name=rule.name,
        short_s=rule.short_s,
        long_s=rule.long_s,
        threshold=threshold,
        firing=min(rates) >= threshold,
    )
