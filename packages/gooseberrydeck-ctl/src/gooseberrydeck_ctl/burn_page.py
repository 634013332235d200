"""Rendering of the burn report as a self-contained HTML page with inline SVG."""

from html import escape

from gooseberrydeck_configuration.api import BurnPoint, BurnResponse, ServiceBurn

__all__ = ["render_burn_page"]

WIDTH_PX = 720
HEIGHT_PX = 160
MARGIN_PX = 36
BUCKET_S = 3_600
CHART_SPAN_S = 259_200
STYLE = (
    "body{font:15px sans-serif;margin:2em;max-width:60em}"
    "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
    "svg{background:#f7f7f7}.over{fill:#b3261e}.under{fill:#4a7ba6}"
)


def render_burn_page(report: BurnResponse) -> str:
    """Return the burn report as an HTML document."""
    sections = "".join(
        render_service(service, report.made_s) for service in report.services
    )
    note = "" if report.is_complete else "<p>The store did not answer: "
    note += "" if report.is_complete else "only one member's counts are here.</p>"
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>Burn report</title><style>{STYLE}</style><h1>Burn report</h1>"
        f"<p>{report.members} members</p>{note}{sections}</html>"
    )


def render_service(service: ServiceBurn, made_s: float) -> str:
    """Return the HTML section of a service.

    It has a table of windows, a chart of the burn rate, and a table of the teams that
    used the error budget.
    """
    windows = "".join(
        f"<tr><td>{escape(w.window)}</td><td>{w.good}</td><td>{w.late}</td>"
        f"<td>{w.failed}</td><td>{w.burn:.2f}</td></tr>"
        for w in service.windows
    )
    culprits = "".join(
        f"<tr><td>{escape(c.team)}</td><td>{c.late}</td><td>{c.failed}</td>"
        f"<td>{c.share:.0%}</td></tr>"
        for c in service.culprits
    )
    return (
        f"<h2>{escape(service.service)}</h2>"
        f"<p>Objective: {service.objective_share:.3%} wait less than "
        f"{service.objective_wait_ms} ms and end well. "
        f"Budget left: {service.budget_left:.1%}.</p>"
        "<table><tr><th>window</th><th>good</th><th>late</th><th>failed</th>"
        f"<th>burn</th></tr>{windows}</table>{render_chart(service.points, made_s)}"
        "<table><tr><th>team</th><th>late</th><th>failed</th><th>part</th></tr>"
        f"{culprits}</table>"
    )


def render_chart(points: tuple[BurnPoint, ...], made_s: float) -> str:
    """Return an SVG bar chart of the hourly burn rate over the last three days.

    Bars above a rate of 1 have the class ``over``, and a dashed line marks the rate 1.
    """
    max_burn = max([2.0, *(point.burn for point in points)])
    start_s = made_s - CHART_SPAN_S
    chart_height = HEIGHT_PX - MARGIN_PX
    bar_width = (WIDTH_PX - MARGIN_PX) * BUCKET_S / CHART_SPAN_S
    bars = []
    for point in points:
        x = MARGIN_PX + (point.start_s - start_s) / CHART_SPAN_S * (
            WIDTH_PX - MARGIN_PX
        )
        if not MARGIN_PX - bar_width <= x <= WIDTH_PX:
            continue
        bar_height = point.burn / max_burn * chart_height
        css_class = "over" if point.burn > 1 else "under"
        bars.append(
            f'<rect class="{css_class}" x="{x:.1f}" '
            f'y="{chart_height - bar_height:.1f}" '
            f'width="{bar_width - 1:.1f}" height="{bar_height:.1f}">'
            f"<title>{point.requests} requests, burn {point.burn:.2f}</title></rect>"
        )
    threshold_y = chart_height - chart_height / max_burn
    return (
        f'<svg width="{WIDTH_PX}" height="{HEIGHT_PX}" role="img" '
        'aria-label="burn by hour over three days">'
        f"{''.join(bars)}"
        f'<line x1="{MARGIN_PX}" x2="{WIDTH_PX}" '
        f'y1="{threshold_y:.1f}" y2="{threshold_y:.1f}" '
        'stroke="#333" stroke-dasharray="4"/>'
        f'<text x="4" y="{threshold_y + 4:.1f}">1</text>'
        f'<text x="4" y="12">{max_burn:.0f}</text>'
        f'<text x="{MARGIN_PX}" y="{HEIGHT_PX - 8}">3 days ago</text>'
        f'<text x="{WIDTH_PX - 32}" y="{HEIGHT_PX - 8}">now</text></svg>'
    )
