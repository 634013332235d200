"""gooseberryctl views: objects, members, shards, workers, jobs and drains."""

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
from gooseberrydeck_ctl.options import JsonOption, make_client
from gooseberrydeck_ctl.output import print_json, print_lines, show

__all__ = ["drain_application", "jobs_application", "register"]

jobs_application = typer.Typer(no_args_is_help=True, help="List and cancel jobs.")
drain_application = typer.Typer(no_args_is_help=True, help="Empty members or workers.")


def object_view(section: str, help: str) -> Callable[[bool], None]:
    """Return a command that shows one section of the configuration in force."""

    def view(json: JsonOption = False) -> None:
        answer = make_client().get("/v1/configuration", VersionResponse)
        items: tuple[Any, ...] = getattr(answer.configuration, section)
        show(items, json)

    view.__doc__ = help
    return view


def register(application: typer.Typer) -> None:
    """Add the views to the program."""
    assert {"limits", "shares", "queues", "services"} <= set(
        Configuration.__struct_fields__
    )
    for section in ("limits", "shares", "queues", "services"):
        help = f"Show the {section} in force."
        application.command(section.removesuffix("s"))(object_view(section, help))
    application.command()(members)
    application.command()(shards)
    application.command()(workers)
    application.add_typer(jobs_application, name="jobs")
    application.add_typer(drain_application, name="drain")


def members(json: JsonOption = False) -> None:
    """Show the members of the cell."""
    answer = make_client().get("/v1/members", MembersResponse)
    show(answer.members, json, answer)


def shards(json: JsonOption = False) -> None:
    """Show the shards and their owners."""
    answer = make_client().get("/v1/shards", ShardsResponse)
    show(answer.shards, json, answer)


def workers(json: JsonOption = False) -> None:
    """Show the workers and what they hold."""
    answer = make_client().get("/v1/workers", WorkersResponse)
    show(answer.workers, json, answer)


@jobs_application.command(name="list")
def list_jobs(
    queue: Annotated[str | None, typer.Option()] = None,
    team: Annotated[str | None, typer.Option()] = None,
    state: Annotated[str | None, typer.Option()] = None,
    limit: Annotated[int, typer.Option()] = 100,
    json: JsonOption = False,
) -> None:
    """List jobs, the longest waiting first."""
    answer = make_client().get(
        "/v1/jobs", JobsResponse, queue=queue, team=team, state=state, limit=limit
    )
    show(answer.jobs, json, answer)


@jobs_application.command()
def why(job: str, json: JsonOption = False) -> None:
    """Tell why a job waits."""
    answer = make_client().get(f"/v1/jobs/{quote(job, safe='')}", JobResponse)
    if json:
        print_json(answer)
        return
    typer.echo(f"job {answer.job} of team {answer.team}: {answer.state}")
    print_lines(f"{w.tasks} tasks: {w.reason} {w.detail}" for w in answer.waits)


@jobs_application.command()
def cancel(job: str, json: JsonOption = False) -> None:
    """Cancel a job."""
    path = f"/v1/jobs/{quote(job, safe='')}"
    answer = make_client().call("DELETE", path, JobResponse)
    show((answer,), json, answer)


@drain_application.command()
def member(name: str, json: JsonOption = False) -> None:
    """Begin the drain of a member."""
    drain(f"/v1/members/{quote(name, safe='')}/drain", json)


@drain_application.command()
def worker(name: str, json: JsonOption = False) -> None:
    """Begin the drain of a worker."""
    drain(f"/v1/workers/{quote(name, safe='')}/drain", json)


def drain(path: str, json: bool) -> None:
    """Ask for a drain and print the answer."""
    answer = make_client().call("POST", path, DrainResponse)
    show((answer,), json, answer)
