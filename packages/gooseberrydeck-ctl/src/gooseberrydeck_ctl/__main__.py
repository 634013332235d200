"""Entry point of gooseberryctl."""

import sys
from collections.abc import Sequence

import typer

from gooseberrydeck_ctl import (
    cell_commands,
    configuration_commands,
    evacuation_commands,
    key_commands,
    log_commands,
    report_commands,
)
from gooseberrydeck_ctl.exceptions import ConflictError, CtlError, InvalidError

__all__ = ["application", "main", "run"]

application = typer.Typer(
    name="gooseberryctl",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Operate a cell: publish objects, grant keys, look at the cell, report.",
)
application.add_typer(configuration_commands.application, name="config")
application.add_typer(evacuation_commands.application, name="evacuation")
application.add_typer(key_commands.application, name="key")
application.add_typer(log_commands.application, name="logs")
application.add_typer(report_commands.application, name="report")
cell_commands.register(application)


def run(arguments: Sequence[str]) -> int:
    """Run a command and return its exit code.

    Errors are printed to standard error without a traceback.
    """
    try:
        application(list(arguments))
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else 0
    except CtlError as error:
        typer.echo(f"gooseberryctl: {error}", err=True)
        if isinstance(error, InvalidError):
            for line in error.problems:
                typer.echo(line, err=True)
        if isinstance(error, ConflictError):
            for line in error.changes:
                typer.echo(f"  {line}", err=True)
        return int(error.exit_code)
    return 0


def main() -> None:
    """Run gooseberryctl with the arguments of the process."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
