"""Demo of a cell: platform stand-ins, three members, both example configurations.

Run it with ``make demo``; ``make demo KEEP=1`` keeps serving afterwards.
"""

import sys
import tempfile
import threading
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.live import Live
from rich.table import Table

from demo_traffic import RequestKind, Tally, send_requests, team_secret
from gooseberrydeck_configuration import Configuration, load_configuration
from gooseberrydeck_standins.local_cell import LocalCell

EXAMPLES = Path(__file__).parent
MEMBERS = ("entry-1", "entry-2", "entry-3")
TRAFFIC_S = 12.0
REFRESH_S = 0.5
PLAIN_WIDTH = 110

REQUESTS = (
    RequestKind("lookups", "claim-check", ("radio", "online", "print"), 80.0, 15.0),
    RequestKind("seat holds", "ticket-desk", ("families", "graduates"), 40.0, 25.0),
)


def merged_configuration() -> Configuration:
    """Return both example configurations merged into one.

    The weights of the shares are divided by the number of configurations.
    """
    configurations = [
        load_configuration(EXAMPLES / f"{name}.json")
        for name in ("verificaciones", "consorzio")
    ]
    shares = tuple(
        msgspec.structs.replace(share, weight=share.weight / len(configurations))
        for example in configurations
        for share in example.shares
    )
    return Configuration(
        teams=tuple(each for example in configurations for each in example.teams),
        keys=tuple(each for example in configurations for each in example.keys),
        shares=shares,
        limits=tuple(each for example in configurations for each in example.limits),
        queues=tuple(each for example in configurations for each in example.queues),
        services=tuple(each for example in configurations for each in example.services),
    )


def start_platform(cell: LocalCell) -> None:
    """Start the workers and endpoints that both example configurations assume."""
    for index in range(3):
        lima = f"lima-{index + 1}"
        cell.add_workers(8, "--prefix", lima, "--data-centre", lima, "--cpus", "32")
        cell.add_endpoints("claim-check", 8, "--prefix", f"{lima}-claim-check")
    for city in ("milano", "torino", "padova", "bologna"):
        options = ("--prefix", city, "--data-centre", city, "--per-rack", "6")
        cell.add_workers(6, *options, "--cpus", "64", "--memory-mib", "131072")
        cell.add_endpoints("ticket-desk", 6, "--prefix", f"{city}-ticket-desk")


def start_members(cell: LocalCell) -> None:
    """Start the members and publish the merged configuration through one of them."""
    cell.plan_members(*MEMBERS)
    for name in MEMBERS:
        cell.add_member(name)
    cell.wait_ready()
    cell.publish(merged_configuration())


def run_traffic(cell: LocalCell, tallies: dict[str, Tally], console: Console) -> None:
    """Send all kinds of requests for ``TRAFFIC_S`` and show a live summary."""
    members = [member.callers for member in cell.members.values()]
    until_s = time.monotonic() + TRAFFIC_S
    threads = [
        threading.Thread(
            target=send_requests, args=(kind, members, tallies[kind.title], until_s)
        )
        for kind in REQUESTS
    ]
    for thread in threads:
        thread.start()
    with Live(console=console, auto_refresh=False, transient=True) as live:
        while any(thread.is_alive() for thread in threads):
            live.update(summary(tallies.values(), "so far"), refresh=True)
            time.sleep(REFRESH_S)


def summary(
    tallies: Iterable[Tally], title: str, duplicates: dict[str, int] | None = None
) -> Table:
    """Return a table of the outcomes of the requests."""
    table = Table(title=f"gooseberrydeck, three entry hosts: {title}")
    table.add_column("work")
    columns = (
        "sent",
        "answered",
        "not run",
        "unknown",
        "wrong",
        "p50 wait",
        "p99 wait",
    )
    for name in columns:
        table.add_column(name, justify="right")
    if duplicates is not None:
        table.add_column("run twice", justify="right")
    for tally in tallies:
        cells = [tally.sent, tally.answered, tally.not_run, tally.unknown, tally.wrong]
        row = [str(cell) for cell in cells]
        row += [milliseconds(tally.wait_ms(0.5)), milliseconds(tally.wait_ms(0.99))]
        if duplicates is not None:
            row.append(str(duplicates.get(tally.title, 0)))
        table.add_row(tally.title, *row)
    return table


def milliseconds(value: float | None) -> str:
    """Return a time in milliseconds as text."""
    return "-" if value is None else f"{value:.0f} ms"


def count_duplicate_runs(cell: LocalCell) -> dict[str, int]:
    """Return the number of duplicate runs of each kind of request."""
    titles = {kind.service: kind.title for kind in REQUESTS}
    runs: dict[str, list[str]] = {}
    for each in cell.summaries():
        for run in each.runs:
            runs.setdefault(titles[run.service], []).append(run.request)
    return {title: len(ids) - len(set(ids)) for title, ids in runs.items()}


def keep_serving(cell: LocalCell, console: Console) -> None:
    """Print an example command and serve until interrupted."""
    member = next(iter(cell.members.values()))
    console.print("\nStill serving. Try, and end with Ctrl-C:\n")
    console.print(
        f"curl -i -H 'Authorization: Bearer {team_secret('radio')}' -d 'a claim' "
        f"http://{member.callers}/v1/services/claim-check",
        soft_wrap=True,
    )
    try:
        while all(each.is_alive() for each in cell.members.values()):
            time.sleep(REFRESH_S)
    except KeyboardInterrupt:
        console.print("ending")


def main(
    keep: Annotated[bool, typer.Option(help="Go on serving at the end.")] = False,
) -> None:
    """Run the demo; the exit status is 0 if every guarantee was kept."""
    console = Console()
    if not console.is_terminal:
        console = Console(width=PLAIN_WIDTH)
    tallies = {kind.title: Tally(kind.title) for kind in REQUESTS}
    with (
        tempfile.TemporaryDirectory(prefix="gooseberrydeck-demo-") as folder,
        LocalCell(Path(folder), "demo") as cell,
    ):
        console.print("starting the platform's stand-ins and three members ...")
        start_platform(cell)
        start_members(cell)
        run_traffic(cell, tallies, console)
        duplicates = count_duplicate_runs(cell)
        console.print(summary(tallies.values(), "at the end", duplicates))
        if keep:
            keep_serving(cell, console)
    is_good = not any(duplicates.values()) and all(
        tally.answered and not tally.wrong for tally in tallies.values()
    )
    sys.exit(0 if is_good else 1)


if __name__ == "__main__":
    typer.run(main)
