"""Commands that show configured objects and inspect and operate the cell."""

from collections.abc import Callable
from typing import Annotated, Any
from urllib.parse import quote

import typer

from gooseberrydeck_configuration import Configuration
from gooseberrydeck_configuration.api import (
    DrainResponse,
    JobResponse,
    JobsResponse,
    MembersResponse,
    ShardsResponse,
    VersionResponse,
    WorkersResponse,
)
from gooseberrydeck_ctl.caller_view import read_job
from gooseberrydeck_ctl.options import JsonOption, make_client
from gooseberrydeck_ctl.output import print_json, print_lines, show

__all__ = ["drain_application", "jobs_application", "register"]

jobs_application = typer.Typer(no_args_is_help=True, help="List and cancel jobs.")
drain_application = typer.Typer(no_args_is_help=True, help="Empty members or workers.")


def make_section_command(section: str, help: str) -> Callable[[bool], None]:
    """Return a command that shows a section of the current configuration."""

    def view(json: JsonOption = False) -> None:
        response = make_client().get("/v1/configuration", VersionResponse)
        items: tuple[Any, ...] = getattr(response.configuration, section)
        show(items, json)

    view.__doc__ = help
    return view


def register(application: typer.Typer) -> None:
    """Add the commands of this module to the application."""
    assert {"limits", "shares", "queues", "services"} <= set(
        Configuration.__struct_fields__
    )
    for section in ("limits", "shares", "queues", "services"):
        help = f"Show the {section} in force."
        application.command(section.removesuffix("s"))(
            make_section_command(section, help)
        )
    application.command()(members)
    application.command()(shards)
    application.command()(workers)
    application.add_typer(jobs_application, name="jobs")
    application.add_typer(drain_application, name="drain")


def members(json: JsonOption = False) -> None:
    """Show the members of the cell."""
    response = make_client().get("/v1/members", MembersResponse)
    show(response.members, json, response)


def shards(json: JsonOption = False) -> None:
    """Show the shards and their owners."""
    response = make_client().get("/v1/shards", ShardsResponse)
    show(response.shards, json, response)


def workers(json: JsonOption = False) -> None:
    """Show the workers with their capacity and committed resources."""
    response = make_client().get("/v1/workers", WorkersResponse)
    show(response.workers, json, response)


@jobs_application.command(name="list")
def list_jobs(
    queue: Annotated[str | None, typer.Option()] = None,
    team: Annotated[str | None, typer.Option()] = None,
    state: Annotated[str | None, typer.Option()] = None,
    limit: Annotated[int, typer.Option()] = 100,
    json: JsonOption = False,
) -> None:
    """List jobs, longest waiting first."""
    response = make_client().get(
        "/v1/jobs", JobsResponse, queue=queue, team=team, state=state, limit=limit
    )
    show(response.jobs, json, response)


@jobs_application.command()
def why(job: str, json: JsonOption = False) -> None:
    """Explain why a job is waiting."""
    response = make_client().get(f"/v1/jobs/{quote(job, safe='')}", JobResponse)
    if json:
        print_json(response)
        return
    typer.echo(f"job {response.job} of team {response.team}: {response.state}")
    print_lines(f"{w.tasks} tasks: {w.reason} {w.detail}" for w in response.waits)


@jobs_application.command()
def failure(host: str, path: str, json: JsonOption = False) -> None:
    """Show a job's state as its caller reads it, and why it was given up.

    The addresses are those for callers and the key is the team's; HOST and PATH are as
    in the caller's request.
    """
    client = make_client()
    view = read_job(client.addresses, client.key, host, path)
    if json:
        print_json(view)
        return
    typer.echo(f"{view.state}: {view.failure}" if view.failure else view.state)


@jobs_application.command()
def cancel(job: str, json: JsonOption = False) -> None:
    """Cancel a job."""
    path = f"/v1/jobs/{quote(job, safe='')}"
    response = make_client().call("DELETE", path, JobResponse)
    show((response,), json, response)


@drain_application.command()
def member(name: str, json: JsonOption = False) -> None:
    """Start draining a member."""
    request_drain(f"/v1/members/{quote(name, safe='')}/drain", json)


@drain_application.command()
def worker(name: str, json: JsonOption = False) -> None:
    """Start draining a worker."""
    request_drain(f"/v1/workers/{quote(name, safe='')}/drain", json)


def request_drain(path: str, json: bool) -> None:
    """Request a drain and print its state."""
    response = make_client().call("POST", path, DrainResponse)
    show((response,), json, response)
