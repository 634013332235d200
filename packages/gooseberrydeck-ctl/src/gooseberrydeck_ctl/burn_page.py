"""The burn report as one self-contained HTML page with inline SVG."""

from html import escape

from gooseberrydeck_configuration.api import BurnPoint, BurnResponse, ServiceBurn

__all__ = ["burn_page"]

WIDTH = 720
HEIGHT = 160
MARGIN = 36
POINT_S = 3_600
SPAN_S = 259_200
STYLE = (
    "body{font:15px sans-serif;margin:2em;max-width:60em}"
    "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
    "svg{background:#f7f7f7}.over{fill:#b3261e}.under{fill:#4a7ba6}"
)


def burn_page(report: BurnResponse) -> str:
    """Return the page."""
    sections = "".join(
        service_section(service, report.made_s) for service in report.services
    )
    note = "" if report.is_complete else "<p>The store did not answer: "
    note += "" if report.is_complete else "only one member's counts are here.</p>"
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>Burn report</title><style>{STYLE}</style><h1>Burn report</h1>"
        f"<p>{report.members} members</p>{note}{sections}</html>"
    )


def service_section(service: ServiceBurn, made_s: float) -> str:
    """Return one service: its windows, its plot and who used the budget up."""
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
        f"<th>burn</th></tr>{windows}</table>{plot(service.points, made_s)}"
        "<table><tr><th>team</th><th>late</th><th>failed</th><th>part</th></tr>"
        f"{culprits}</table>"
    )


def plot(points: tuple[BurnPoint, ...], made_s: float) -> str:
    """Return the burn by hour over three days; bars above 1 are marked."""
    highest = max([2.0, *(point.burn for point in points)])
    start_s = made_s - SPAN_S
    inner = HEIGHT - MARGIN
    width = (WIDTH - MARGIN) * POINT_S / SPAN_S
    bars = []
    for point in points:
        x = MARGIN + (point.start_s - start_s) / SPAN_S * (WIDTH - MARGIN)
        if not MARGIN - width <= x <= WIDTH:
            continue
        height = point.burn / highest * inner
        kind = "over" if point.burn > 1 else "under"
        bars.append(
            f'<rect class="{kind}" x="{x:.1f}" y="{inner - height:.1f}" '
            f'width="{width - 1:.1f}" height="{height:.1f}">'
            f"<title>{point.requests} requests, burn {point.burn:.2f}</title></rect>"
        )
    line_y = inner - inner / highest
    return (
        f'<svg width="{WIDTH}" height="{HEIGHT}" role="img" '
        'aria-label="burn by hour over three days">'
        f"{''.join(bars)}"
        f'<line x1="{MARGIN}" x2="{WIDTH}" y1="{line_y:.1f}" y2="{line_y:.1f}" '
        'stroke="#333" stroke-dasharray="4"/>'
        f'<text x="4" y="{line_y + 4:.1f}">1</text>'
        f'<text x="4" y="12">{highest:.0f}</text>'
        f'<text x="{MARGIN}" y="{HEIGHT - 8}">3 days ago</text>'
        f'<text x="{WIDTH - 32}" y="{HEIGHT - 8}">now</text></svg>'
    )
