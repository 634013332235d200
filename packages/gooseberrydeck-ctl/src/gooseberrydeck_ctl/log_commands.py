"""The ``gooseberryctl logs`` commands."""

from pathlib import Path
from typing import Annotated

import typer

from gooseberrydeck_ctl.duration_view import read_durations
from gooseberrydeck_ctl.exceptions import CtlError
from gooseberrydeck_ctl.log_check import check_logs
from gooseberrydeck_ctl.options import JsonOption
from gooseberrydeck_ctl.output import print_json, print_table, show

__all__ = ["application"]

application = typer.Typer(no_args_is_help=True, help="Search the members' log files.")

COLUMNS = (
    "known",
    "job",
    "task",
    "run",
    "worker",
    "ended",
    "by",
    "on",
    "started",
    "by",
    "superseded",
    "has run",
)


@application.callback()
def select() -> None:
    """Search the members' log files."""


@application.command()
def check(
    paths: Annotated[list[Path], typer.Argument(help="The logs of all members.")],
    json: JsonOption = False,
) -> None:
    """Show each start after the end of its job, or after a successful run of its task.

    Fails if a start follows the stored end of its job, unless a holder that had been
    superseded made it and no run came of it.
    """
    report = check_logs(paths)
    if json:
        print_json(report)
    elif report.found:
        rows = [
            (
                each.known,
                each.job,
                each.task,
                each.run,
                each.worker,
                each.ended_at,
                each.ended_by,
                each.ended_on,
                each.started_at,
                each.started_by,
                each.is_superseded,
                each.has_run,
            )
            for each in report.found
        ]
        print_table(COLUMNS, rows)
    counts = f"{report.starts} starts; {len(report.found)} after a known end, "
    counts += f"{len(report.faults)} of them faults"
    if report.dropped or report.unreadable:
        counts += (
            f"; incomplete: {report.dropped} lines were dropped by the members, "
            f"{report.unreadable} cannot be decoded"
        )
    typer.echo(counts, err=json)
    if report.faults:
        raise CtlError(f"{len(report.faults)} starts after the stored end of their job")


@application.command()
def durations(
    paths: Annotated[list[Path], typer.Argument(help="The logs of all members.")],
    queue: Annotated[str | None, typer.Option(help="Show only this queue.")] = None,
    json: JsonOption = False,
) -> None:
    """Show what the holder has learned of the durations of tasks, by queue and step."""
    view = read_durations(paths, queue)
    show(view.rows, json, view)
    if view.unreadable:
        typer.echo(f"incomplete: {view.unreadable} lines cannot be decoded", err=True)
