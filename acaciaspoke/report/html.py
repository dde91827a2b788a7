"""The burn report as a self-contained HTML page.

The plots are inline SVG in the page's colours, which follow the light or dark
colour scheme.
"""

import html
from collections.abc import Iterable, Iterator, Sequence

from acaciaspoke.report.burn import BurnReport, ServiceBurn, WindowBurn
from acaciaspoke.report.text import (
    firing_alert_names,
    partial_notes,
    percent,
    percentile_cells,
    window_name,
)

STYLE = """
:root { color-scheme: light dark; --back: #fff; --text: #1c2024;
  --soft: #60646c; --rule: #d9dce1; --line: #0b62c4; --limit: #b3261e;
  --bad: #b3261e; --good: #18794e; }
@media (prefers-color-scheme: dark) { :root { --back: #16181b;
  --text: #e6e8eb; --soft: #a0a6ae; --rule: #3a3f45; --line: #6cb2ff;
  --limit: #ff8a80; --bad: #ff8a80; --good: #5bd69b; } }
body { margin: 2rem auto; max-width: 60rem; padding: 0 1rem;
  background: var(--back); color: var(--text);
  font: 15px/1.5 system-ui, sans-serif; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2.5rem; }
p.note { color: var(--soft); }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; width: 100%;
  font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: .3rem .6rem; white-space: nowrap;
  border-bottom: 1px solid var(--rule); }
th { color: var(--soft); font-weight: 600; }
th:first-child, td:first-child { text-align: left; }
.bad { color: var(--bad); font-weight: 600; } .good { color: var(--good); }
figure { margin: 1rem 0; } figcaption { color: var(--soft); }
svg { width: 100%; height: auto; display: block; }
svg text { fill: var(--soft); font: 11px system-ui, sans-serif; }
svg .grid { stroke: var(--rule); fill: none; }
svg .line { stroke: var(--line); stroke-width: 2; fill: none; }
svg .dot, svg .bar { fill: var(--line); } svg .over { fill: var(--bad); }
svg .limit { stroke: var(--limit); stroke-dasharray: 5 4; fill: none; }
svg .label { fill: var(--text); }
"""

# Keeps the page from loading anything, whatever markup it contains.
PAGE_POLICY = "default-src 'none'; style-src 'unsafe-inline'"

PLOT_WIDTH = 720
PLOT_HEIGHT = 180
MARGIN_LEFT, MARGIN_RIGHT, MARGIN_TOP, MARGIN_BOTTOM = 56, 70, 10, 24
BAR_HEIGHT = 26


def _tag(name: str, *children: str, **attributes: object) -> str:
    """Returns an element; ``children`` are markup, attributes are escaped."""
    text = "".join(
        f' {key.rstrip("_").replace("_", "-")}="{html.escape(str(value))}"'
        for key, value in attributes.items()
    )
    return f"<{name}{text}>{''.join(children)}</{name}>"


def _text(x: float, y: float, text: str, anchor: str, **extra: str) -> str:
    return _tag(
        "text",
        html.escape(text),
        x=f"{x:.1f}",
        y=f"{y:.1f}",
        text_anchor=anchor,
        **extra,
    )


def _line(x1: float, y1: float, x2: float, y2: float, css_class: str) -> str:
    return _tag(
        "path", d=f"M{x1:.1f} {y1:.1f} L{x2:.1f} {y2:.1f}", class_=css_class
    )


def _svg(height: float, title: str, parts: Iterable[str]) -> str:
    return _tag(
        "svg",
        _tag("title", html.escape(title)),
        *parts,
        viewBox=f"0 0 {PLOT_WIDTH} {height}",
        role="img",
    )


def _segments(
    values: Sequence[float | None],
) -> Iterator[list[tuple[int, float]]]:
    """Yields runs of consecutive values that are not None, with indices."""
    segment: list[tuple[int, float]] = []
    for index, value in enumerate([*values, None]):
        if value is not None:
            segment.append((index, value))
        elif segment:
            yield segment
            segment = []


def trend_plot(service: ServiceBurn) -> str:
    """Returns a plot of the attainment over time with its target."""
    known = [value for value in service.trend if value is not None]
    if not known:
        return ""
    floor = max(0.0, min([*known, service.target]) - 0.02)
    right, bottom = PLOT_WIDTH - MARGIN_RIGHT, PLOT_HEIGHT - MARGIN_BOTTOM
    step = (right - MARGIN_LEFT) / max(len(service.trend) - 1, 1)

    def y_of(share: float) -> float:
        return bottom - (share - floor) / (1 - floor) * (bottom - MARGIN_TOP)

    def x_of(index: int) -> float:
        return right - index * step

    parts = []
    for share in (floor, (1 + floor) / 2, 1.0):
        parts.append(
            _line(MARGIN_LEFT, y_of(share), right, y_of(share), "grid")
        )
        label = f"{share * 100:.1f}%"
        parts.append(_text(MARGIN_LEFT - 6, y_of(share) + 4, label, "end"))
    target_y = y_of(service.target)
    parts.append(_line(MARGIN_LEFT, target_y, right, target_y, "limit"))
    parts.append(_text(right + 6, target_y + 4, "target", "start"))
    for segment in _segments(service.trend):
        points = [f"{x_of(i):.1f} {y_of(share):.1f}" for i, share in segment]
        parts.append(_tag("path", d="M" + " L".join(points), class_="line"))
        if len(segment) == 1:
            x, y = points[0].split()
            parts.append(_tag("circle", cx=x, cy=y, r=3, class_="dot"))
    span_s = service.trend_slice_s * len(service.trend)
    for share, anchor in ((1.0, "start"), (0.5, "middle"), (0.0, "end")):
        ago = f"{window_name(span_s * share)} ago" if share else "now"
        x = right - share * (right - MARGIN_LEFT)
        parts.append(_text(x, PLOT_HEIGHT - 6, ago, anchor))
    title = f"Attainment of {service.rank} on {service.service}"
    return _svg(PLOT_HEIGHT, title, parts)


def burn_plot(service: ServiceBurn) -> str:
    """Returns a bar chart of the burn rates; a line marks the limit of 1."""
    rates = [window.burn_rate for window in service.windows]
    width = PLOT_WIDTH - MARGIN_LEFT - MARGIN_RIGHT
    scale = width / max(2.0, *rates)
    height = BAR_HEIGHT * len(rates) + 18
    parts = []
    for row, window in enumerate(service.windows):
        top = row * BAR_HEIGHT + 4
        length = window.burn_rate * scale
        middle = top + BAR_HEIGHT / 2
        over = window.burn_rate > 1
        parts.append(
            _tag(
                "rect",
                x=MARGIN_LEFT,
                y=top,
                width=f"{length:.1f}",
                height=BAR_HEIGHT - 8,
                class_="over" if over else "bar",
            )
        )
        name = window_name(window.window_s)
        parts.append(_text(MARGIN_LEFT - 6, middle, name, "end"))
        rate = f"{window.burn_rate:.2f}"
        x = MARGIN_LEFT + length + 6
        parts.append(_text(x, middle, rate, "start", class_="label"))
    x = MARGIN_LEFT + scale
    parts.append(_line(x, 0, x, height - 16, "limit"))
    parts.append(_text(x, height - 3, "1", "middle"))
    title = f"Burn rates of {service.rank} on {service.service}"
    return _svg(height, title, parts)


def _cell(text: str, css_class: str = "") -> str:
    return _tag(
        "td", html.escape(text), **({"class_": css_class} if css_class else {})
    )


def _table(header: Sequence[str], rows: Iterable[str]) -> str:
    head = "".join(_tag("th", html.escape(name)) for name in header)
    return _tag(
        "div",
        _tag("table", _tag("tr", head), *rows),
        class_="scroll",
    )


def _status_class(is_good: bool) -> str:
    return "good" if is_good else "bad"


def _overview_row(service: ServiceBurn) -> str:
    alerts = firing_alert_names(service)
    last = service.windows[-1]
    met = last.attainment is None or last.attainment >= service.target
    return _tag(
        "tr",
        _cell(f"{service.rank} on {service.service}"),
        _cell(percent(service.target)),
        _cell(percent(last.attainment), _status_class(met)),
        _cell(
            percent(service.budget_left), _status_class(service.budget_left > 0)
        ),
        _cell(alerts, "" if alerts == "-" else "bad"),
    )


def _window_row(window: WindowBurn, target: float) -> str:
    met = window.attainment is None or window.attainment >= target
    return _tag(
        "tr",
        _cell(window_name(window.window_s)),
        _cell(str(window.total)),
        _cell(percent(window.attainment), _status_class(met)),
        _cell(f"{window.burn_rate:.2f}"),
        *map(_cell, percentile_cells(window)),
    )


def _service_section(service: ServiceBurn) -> Iterator[str]:
    yield _tag("h2", html.escape(f"{service.rank} on {service.service}"))
    targets = (
        f"Target: {percent(service.target)} of requests with the first token"
        f" within {service.first_token_target_s:g} s and"
        f" {service.token_gap_target_ms:g} ms between tokens."
    )
    yield _tag("p", html.escape(targets), class_="note")
    yield _table(
        (
            "Window",
            "Requests",
            "Attainment",
            "Burn rate",
            "First token, ms (p50/p95/p99)",
            "Token gap, ms (p50/p95/p99)",
        ),
        (_window_row(window, service.target) for window in service.windows),
    )
    for caption, plot in (
        ("Attainment", trend_plot(service)),
        (
            "Burn rate by window; above 1 the budget runs out",
            burn_plot(service),
        ),
    ):
        if plot:
            yield _tag("figure", _tag("figcaption", caption), plot)


def _missing_section(report: BurnReport) -> Iterator[str]:
    if report.missing:
        items = (
            _tag(
                "li",
                html.escape(f"{gap.host} {gap.entry_process}: {gap.reason}"),
            )
            for gap in report.missing
        )
        yield _tag("h2", "Missing from this report")
        yield _tag("ul", *items)
    for note in partial_notes(report):
        yield _tag("p", html.escape(note) + ".", class_="note")


def burn_page(report: BurnReport) -> str:
    """Returns the report as an HTML page."""
    summary = (
        f"{report.made_at}, configuration {report.config_version},"
        f" {report.processes} entry processes"
    )
    overview = _table(
        (
            "Rank and service",
            "Target",
            "Attainment, 3 d",
            "Budget left",
            "Alerts",
        ),
        map(_overview_row, report.services),
    )
    empty = _tag("p", "No requests were recorded.")
    body = _tag(
        "body",
        _tag("h1", "Error budgets"),
        _tag("p", html.escape(summary), class_="note"),
        overview if report.services else empty,
        *_missing_section(report),
        *(part for item in report.services for part in _service_section(item)),
    )
    head = (
        '<meta charset="utf-8">'
        '<meta name="viewport" content="width=device-width">'
        f'<meta http-equiv="Content-Security-Policy" content="{PAGE_POLICY}">'
        f"<title>Error budgets</title><style>{STYLE}</style>"
    )
    return f'<!doctype html><html lang="en"><head>{head}</head>{body}</html>\n'
