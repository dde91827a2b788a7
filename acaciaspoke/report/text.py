"""Formats text tables and quantities for operators."""

from collections.abc import Iterable, Iterator, Sequence

from acaciaspoke.report.burn import BurnReport, ServiceBurn, WindowBurn

EMPTY_CELL = "-"


def table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a text table with aligned columns."""
    lines = [tuple(header), *(tuple(row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def window_name(window_s: float) -> str:
    """Returns a window's length such as ``5 min``, ``6 h`` or ``3 d``."""
    for unit_s, unit in ((86400, "d"), (3600, "h")):
        if window_s >= unit_s:
            return f"{window_s / unit_s:g} {unit}"
    return f"{window_s / 60:g} min"


def percent(share: float | None) -> str:
    """Returns a share as a percentage."""
    return EMPTY_CELL if share is None else f"{share * 100:.2f}%"


def milliseconds(value_ms: float) -> str:
    """Returns a time without decimals from 100 ms, else with one."""
    return f"{value_ms:.0f}" if value_ms >= 100 else f"{value_ms:.1f}"


def percentile_cells(window: WindowBurn) -> Iterator[str]:
    """Yields p50/p95/p99 of time to first token and of token gaps."""
    for percentiles in (window.first_token, window.token_gap):
        if percentiles is None:
            yield EMPTY_CELL
        else:
            yield "/".join(
                milliseconds(value_ms)
                for value_ms in (
                    percentiles.p50_ms,
                    percentiles.p95_ms,
                    percentiles.p99_ms,
                )
            )


def firing_alert_names(service: ServiceBurn) -> str:
    """Returns the names of the alerts that fire."""
    names = [alert.name for alert in service.alerts if alert.firing]
    return ", ".join(names) or EMPTY_CELL


def partial_notes(report: BurnReport) -> Iterator[str]:
    """Yields a note on processes with short records.

    It gives only their number, because a large fleet can have many.
    """
    if report.partial:
        yield (
            f"{len(report.partial)} of {report.processes} entry processes"
            " have recorded for less than the longest window"
        )


BURN_HEADER = (
    "rank",
    "service",
    "window",
    "requests",
    "attainment",
    "target",
    "burn rate",
    "first token ms",
    "token gap ms",
    "budget left",
    "alerts",
)


def _burn_rows(service: ServiceBurn) -> Iterator[tuple[str, ...]]:
    for window in service.windows:
        is_last = window is service.windows[-1]
        yield (
            service.rank,
            service.service,
            window_name(window.window_s),
            str(window.total),
            percent(window.attainment),
            percent(service.target),
            f"{window.burn_rate:.2f}",
            *percentile_cells(window),
            percent(service.budget_left) if is_last else "",
            firing_alert_names(service) if is_last else "",
        )


def burn_table(report: BurnReport) -> str:
    """Returns the burn report as text."""
    rows = [row for item in report.services for row in _burn_rows(item)]
    lines = [
        f"{report.made_at}  configuration {report.config_version}, "
        f"{report.processes} entry processes; times are p50/p95/p99",
        table(BURN_HEADER, rows) if rows else "no requests were recorded",
        *(
            f"missing: {gap.host} {gap.entry_process}: {gap.reason}"
            for gap in report.missing
        ),
        *partial_notes(report),
    ]
    return "\n".join(lines)
