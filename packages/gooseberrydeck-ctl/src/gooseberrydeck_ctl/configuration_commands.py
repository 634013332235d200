"""The ``gooseberryctl config`` commands."""

import secrets
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from gooseberrydeck_configuration import (
    Configuration,
    ConfigurationInvalidError,
    Level,
    Problem,
    load_configuration,
    run_checks,
)
from gooseberrydeck_configuration.api import (
    CheckResponse,
    HistoryResponse,
    PublicationResponse,
    VersionResponse,
)
from gooseberrydeck_ctl.client import Client
from gooseberrydeck_ctl.exceptions import (
    ExitCode,
    InvalidError,
    NotFoundError,
    UsageError,
)
from gooseberrydeck_ctl.options import JsonOption, make_client
from gooseberrydeck_ctl.output import print_json, print_lines, show

__all__ = ["application", "current_version", "print_publication"]

application = typer.Typer(no_args_is_help=True, help="Check and publish objects.")

PathArgument = Annotated[Path, typer.Argument(help="A JSON file, or a folder of them.")]


def load(path: Path) -> Configuration:
    """Load a configuration, or raise ``InvalidError`` with all its problems."""
    try:
        return load_configuration(path)
    except ConfigurationInvalidError as error:
        raise InvalidError(str(error), [str(p) for p in error.problems]) from error


def encode(configuration: Configuration) -> bytes:
    """Return a configuration as a JSON request body."""
    return msgspec.json.encode(configuration)


def current_version(client: Client) -> VersionResponse | None:
    """Return the current configuration, or None if nothing has been published."""
    try:
        return client.get("/v1/configuration", VersionResponse)
    except NotFoundError:
        return None


def exit_if_invalid(problems: tuple[Problem, ...]) -> None:
    """Exit with ``ExitCode.INVALID`` if any problem is an error."""
    if any(problem.level is Level.ERROR for problem in problems):
        raise typer.Exit(ExitCode.INVALID)


def print_publication(response: PublicationResponse, as_json: bool) -> None:
    """Print the result of a publication.

    Exit with ``ExitCode.NOT_IN_FORCE`` if some members have not confirmed it.
    """
    if as_json:
        print_json(response)
    else:
        print_lines(response.problems)
        print_lines(response.differences)
        total = len(response.confirmed) + len(response.unconfirmed)
        typer.echo(
            f"published {response.header.number}: "
            f"in force on {len(response.confirmed)} of {total} members"
        )
        if response.unconfirmed:
            typer.echo(f"not confirmed by: {', '.join(response.unconfirmed)}")
        if not response.is_guaranteed:
            typer.echo("half of the members or more may still use withdrawn keys")
    if not response.is_in_force:
        raise typer.Exit(ExitCode.NOT_IN_FORCE)


@application.command()
def check(
    path: PathArgument,
    offline: Annotated[
        bool, typer.Option(help="Check without a member, so not against the hosts.")
    ] = False,
    with_differences: Annotated[
        bool,
        typer.Option("--differences", help="Show what publishing would change, too."),
    ] = False,
    json: JsonOption = False,
) -> None:
    """List every problem of a configuration, by the checks of a publication."""
    if offline and with_differences:
        raise UsageError("without a member, the configuration in force isn't known")
    configuration = load(path)
    response = None
    if offline:
        problems = run_checks(configuration)
    else:
        response = make_client().call(
            "POST", "/v1/configuration/check", CheckResponse, encode(configuration)
        )
        problems = response.problems
    shown = response if with_differences else None
    if json:
        print_json(problems if shown is None else shown)
    else:
        print_lines(problems)
        typer.echo(f"{len(problems)} problems")
        if shown is not None:
            print_lines(shown.differences)
            typer.echo(f"{len(shown.differences)} changes after {shown.number}")
    exit_if_invalid(problems)


@application.command()
def diff(path: PathArgument, json: JsonOption = False) -> None:
    """Show what publishing a configuration would change."""
    response = make_client().call(
        "POST", "/v1/configuration/check", CheckResponse, encode(load(path))
    )
    if json:
        print_json(response.differences)
    else:
        print_lines(response.differences)
        typer.echo(f"{len(response.differences)} changes after {response.number}")


@application.command()
def publish(
    path: PathArgument,
    base: Annotated[
        int | None,
        typer.Option(help="The number that the file was made from; else the newest."),
    ] = None,
    comment: Annotated[str, typer.Option(help="Kept with the publication.")] = "",
    publication: Annotated[
        str | None, typer.Option(help="The id of an earlier try, to settle it.")
    ] = None,
    json: JsonOption = False,
) -> None:
    """Publish a configuration; retrying with the same publication id is safe."""
    configuration = load(path)
    client = make_client()
    if base is None:
        base = configuration.number or None
    if base is None:
        current = current_version(client)
        base = current.header.number if current else 0
    id = publication or secrets.token_hex(16)
    typer.echo(f"publication {id} after {base}", err=True)
    response = client.call(
        "POST",
        "/v1/configuration",
        PublicationResponse,
        encode(configuration),
        base=base,
        publication=id,
        comment=comment,
    )
    print_publication(response, json)


@application.command()
def history(limit: int = 20, json: JsonOption = False) -> None:
    """List the published configurations, newest first."""
    path = "/v1/configuration/history"
    response = make_client().get(path, HistoryResponse, limit=limit)
    show(response.versions, json, response)


@application.command(name="show")
def show_version(
    number: Annotated[
        int | None, typer.Argument(help="The number; else the one in force.")
    ] = None,
) -> None:
    """Print a configuration as JSON, ready to be edited and published."""
    path = "/v1/configuration"
    if number is not None:
        path = f"/v1/configuration/history/{number}"
    print_json(make_client().get(path, VersionResponse).configuration)
