"""The ``gooseberryctl report`` commands."""

from pathlib import Path
from typing import Annotated

import typer

from gooseberrydeck_configuration.api import (
    BurnResponse,
    PackingResponse,
    ShareResponse,
)
from gooseberrydeck_ctl.burn_page import render_burn_page
from gooseberrydeck_ctl.exceptions import CtlError
from gooseberrydeck_ctl.options import JsonOption, make_client
from gooseberrydeck_ctl.output import print_json, print_table, show
from gooseberrydeck_ctl.team_view import read_teams

__all__ = ["application"]

application = typer.Typer(no_args_is_help=True, help="Reports over the whole cell.")


@application.command()
def burn(
    json: JsonOption = False,
    html: Annotated[
        Path | None, typer.Option(help="Write one self-contained HTML page.")
    ] = None,
) -> None:
    """Show how fast each service uses up its error budget."""
    response = make_client().get("/v1/reports/burn", BurnResponse)
    if html is not None:
        try:
            html.write_text(render_burn_page(response), encoding="utf-8")
        except OSError as error:
            raise CtlError(f"the page cannot be written: {error}") from error
    if json:
        print_json(response)
        return
    rows = [
        (service.service, w.window, w.good, w.late, w.failed, w.burn)
        for service in response.services
        for w in service.windows
    ]
    print_table(("service", "window", "good", "late", "failed", "burn"), rows)
    left = [
        (
            service.service,
            f"{service.budget_left:.1%}",
            tuple(f"{c.team} {c.share:.0%}" for c in service.culprits),
            service.wait_ms.get("p99", 0),
        )
        for service in response.services
    ]
    print_table(("service", "budget left", "used up by", "p99 wait ms"), left)
    if not response.is_complete:
        typer.echo("the store did not answer: only one member's counts are here")


@application.command()
def share(json: JsonOption = False) -> None:
    """Show how much of the cell each team uses, compared with its share."""
    response = make_client().get("/v1/reports/share", ShareResponse)
    show(response.teams, json, response)


@application.command()
def packing(json: JsonOption = False) -> None:
    """Show the utilization of the workers."""
    response = make_client().get("/v1/reports/packing", PackingResponse)
    show((response,), json, response)


@application.command()
def teams(
    addresses: Annotated[
        list[str], typer.Argument(help="Where members serve metrics, ADDRESS:PORT.")
    ],
    json: JsonOption = False,
) -> None:
    """Show the teams' shares, use and waiting jobs, on the users' platform."""
    show(read_teams(addresses), json)
