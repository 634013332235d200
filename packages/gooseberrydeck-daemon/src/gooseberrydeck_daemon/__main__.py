"""Command line of gooseberryd."""

from pathlib import Path
from typing import Annotated

import typer
import zmq

from gooseberrydeck_daemon.checks.settings import check_settings
from gooseberrydeck_daemon.composition import compose
from gooseberrydeck_daemon.exceptions import SettingsInvalidError
from gooseberrydeck_daemon.logs import configure_logs
from gooseberrydeck_daemon.settings import LogFormat
from gooseberrydeck_daemon.settings_file import load_settings
from gooseberrydeck_daemon.signals import handle_termination
from gooseberrydeck_service.exceptions import TaskCrashedError

__all__ = ["main"]

EXIT_CRASHED = 1
EXIT_INVALID_SETTINGS = 2

application = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False
)
SettingsFile = Annotated[
    Path, typer.Option("--settings", help="The JSON settings of this member.")
]


@application.command()
def check(settings: SettingsFile) -> None:
    """List every problem of the settings."""
    problems, _ = check_settings(settings)
    for problem in problems:
        typer.echo(str(problem))
    typer.echo(f"{len(problems)} problems")
    if problems:
        raise typer.Exit(EXIT_INVALID_SETTINGS)


@application.command()
def run(settings: SettingsFile) -> None:
    """Run this member of the cell until SIGTERM."""
    try:
        loaded = load_settings(settings)
    except SettingsInvalidError as group:
        for error in group.exceptions:
            typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from None
    configure_logs(loaded.log.format is LogFormat.JSON, loaded.log.level, loaded.member)
    member = compose(loaded)
    handle_termination(member.supervisor.request_end)
    try:
        member.run()
    except TaskCrashedError as error:
        typer.echo(f"{error}: {error.__cause__!r}", err=True)
        raise typer.Exit(EXIT_CRASHED) from None


@application.command()
def make_peer_keys() -> None:
    """Print a new CURVE key pair for the members of a cell."""
    public_key, secret_key = zmq.curve_keypair()
    typer.echo(f"public_key: {public_key.decode()}")
    typer.echo(f"secret_key: {secret_key.decode()}")


def main() -> None:
    """Run the command line."""
    application()


if __name__ == "__main__":
    main()
