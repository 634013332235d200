"""The operators' paths that show the cell: members, shards, workers and jobs."""

from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec

from gooseberrydeck_configuration.api import (
    DrainResponse,
    JobResponse,
    JobsResponse,
    MembersResponse,
    ShardsResponse,
    WorkersResponse,
)
from gooseberrydeck_coordination.ids import HostName, JobId, MemberId
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.http.router import Route, Router
from gooseberrydeck_daemon.operators.parameters import number_parameter
from gooseberrydeck_daemon.operators.problems import (
    OperatorProblem,
    OperatorProblemError,
)
from gooseberrydeck_service.responses import Response, json_response

__all__ = ["CellViews", "Drainer", "JobFilter", "JobsView", "ViewsHandler"]

DEFAULT_JOBS = 100
MAX_JOBS = 10_000

ViewT = TypeVar("ViewT")


class JobFilter(msgspec.Struct, frozen=True):
    """Which jobs to list; None leaves a field open."""

    queue: str | None = None
    team: str | None = None
    state: str | None = None
    limit: int = DEFAULT_JOBS


class JobsView(Protocol):
    """What operators see and do about jobs."""

    def list_jobs(self, chosen: JobFilter) -> JobsResponse:
        """Return the jobs that match, the longest waiting first."""

    def explain_job(self, job: JobId) -> JobResponse | None:
        """Return a job with the reasons why it waits, or None."""

    def cancel_job(self, job: JobId) -> JobResponse | None:
        """Cancel a job and return it, or None if there is none."""


class Drainer(Protocol):
    """Drain members and workers."""

    def drain_member(self, member: MemberId) -> DrainResponse | None:
        """Begin the drain of a member, or return None if there is none."""

    def drain_worker(self, host: HostName) -> DrainResponse | None:
        """Begin the drain of a worker, or return None if there is none."""


class CellViews(msgspec.Struct):
    """Where each view comes from; None where this member has none.

    The composition root fills it.
    """

    members: Callable[[], MembersResponse] | None = None
    shards: Callable[[], ShardsResponse] | None = None
    workers: Callable[[], WorkersResponse] | None = None
    jobs: JobsView | None = None
    drainer: Drainer | None = None


def available(view: ViewT | None) -> ViewT:
    """Return a view, or raise the problem that there is none."""
    if view is None:
        raise OperatorProblemError(OperatorProblem.NOT_AVAILABLE)
    return view


def found(answer: ViewT | None, name: str) -> ViewT:
    """Return an answer, or raise the problem that there is none."""
    if answer is None:
        raise OperatorProblemError(OperatorProblem.NOT_FOUND, f"no {name!r} is known")
    return answer


class ViewsHandler:
    """Serve views of the cell."""

    def __init__(self, views: CellViews) -> None:
        """Show what ``views`` has."""
        self.views = views

    def add_routes(self, router: Router) -> None:
        """Add every path."""
        for method, pattern, handle in (
            ("GET", "/v1/members", self.members),
            ("GET", "/v1/shards", self.shards),
            ("GET", "/v1/workers", self.workers),
            ("GET", "/v1/jobs", self.jobs),
            ("GET", "/v1/jobs/{job}", self.job),
            ("DELETE", "/v1/jobs/{job}", self.cancel),
            ("POST", "/v1/members/{member}/drain", self.drain_member),
            ("POST", "/v1/workers/{worker}/drain", self.drain_worker),
        ):
            router.add(Route(method, pattern, handle))

    def members(self, request: Request) -> Response:
        """Answer every member."""
        return json_response(200, available(self.views.members)())

    def shards(self, request: Request) -> Response:
        """Answer every shard."""
        return json_response(200, available(self.views.shards)())

    def workers(self, request: Request) -> Response:
        """Answer every worker."""
        return json_response(200, available(self.views.workers)())

    def jobs(self, request: Request) -> Response:
        """Answer the jobs that match the query."""
        query = request.query_values()
        chosen = JobFilter(
            query.get("queue"),
            query.get("team"),
            query.get("state"),
            min(MAX_JOBS, number_parameter(request, "limit", DEFAULT_JOBS)),
        )
        return json_response(200, available(self.views.jobs).list_jobs(chosen))

    def job(self, request: Request) -> Response:
        """Answer one job and why it waits."""
        job = JobId(request.parameters["job"])
        return json_response(
            200, found(available(self.views.jobs).explain_job(job), job)
        )

    def cancel(self, request: Request) -> Response:
        """Cancel one job."""
        job = JobId(request.parameters["job"])
        return json_response(
            200, found(available(self.views.jobs).cancel_job(job), job)
        )

    def drain_member(self, request: Request) -> Response:
        """Begin the drain of a member."""
        member = MemberId(request.parameters["member"])
        drainer = available(self.views.drainer)
        return json_response(202, found(drainer.drain_member(member), member))

    def drain_worker(self, request: Request) -> Response:
        """Begin the drain of a worker."""
        worker = HostName(request.parameters["worker"])
        drainer = available(self.views.drainer)
        return json_response(202, found(drainer.drain_worker(worker), worker))
