"""Handlers of the paths for members, shards, workers and jobs."""

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
    """Filter for a list of jobs; a field that is None matches every job."""

    queue: str | None = None
    team: str | None = None
    state: str | None = None
    limit: int = DEFAULT_JOBS


class JobsView(Protocol):
    """Operations on jobs for operators."""

    def list_jobs(self, job_filter: JobFilter) -> JobsResponse:
        """Return the matching jobs, the longest waiting first."""

    def explain_job(self, job: JobId) -> JobResponse | None:
        """Return a job with the reasons why it waits, or None if it is unknown."""

    def cancel_job(self, job: JobId) -> JobResponse | None:
        """Cancel a job and return it, or None if it is unknown."""


class Drainer(Protocol):
    """Operations that drain members and workers."""

    def drain_member(self, member: MemberId) -> DrainResponse | None:
        """Start to drain a member; return None if it is unknown."""

    def drain_worker(self, host: HostName) -> DrainResponse | None:
        """Start to drain a worker; return None if it is unknown."""


class CellViews(msgspec.Struct):
    """Sources of the views; None if this member does not provide a view.

    The composition root sets them.
    """

    members: Callable[[], MembersResponse] | None = None
    shards: Callable[[], ShardsResponse] | None = None
    workers: Callable[[], WorkersResponse] | None = None
    jobs: JobsView | None = None
    drainer: Drainer | None = None


def require_view(view: ViewT | None) -> ViewT:
    """Return a view; raise ``OperatorProblemError`` if it is None."""
    if view is None:
        raise OperatorProblemError(OperatorProblem.NOT_AVAILABLE)
    return view


def require_found(result: ViewT | None, name: str) -> ViewT:
    """Return a result; raise ``OperatorProblemError`` if it is None."""
    if result is None:
        raise OperatorProblemError(OperatorProblem.NOT_FOUND, f"no {name!r} is known")
    return result


class ViewsHandler:
    """Serve the views of the cell."""

    def __init__(self, views: CellViews) -> None:
        """Serve the views in ``views``, which may be set later."""
        self.views = views

    def add_routes(self, router: Router) -> None:
        """Add the routes of this handler to ``router``."""
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
        """Return all members."""
        return json_response(200, require_view(self.views.members)())

    def shards(self, request: Request) -> Response:
        """Return all shards."""
        return json_response(200, require_view(self.views.shards)())

    def workers(self, request: Request) -> Response:
        """Return all workers."""
        return json_response(200, require_view(self.views.workers)())

    def jobs(self, request: Request) -> Response:
        """Return the jobs that match the query."""
        query = request.query_values()
        job_filter = JobFilter(
            query.get("queue"),
            query.get("team"),
            query.get("state"),
            min(MAX_JOBS, number_parameter(request, "limit", DEFAULT_JOBS)),
        )
        return json_response(200, require_view(self.views.jobs).list_jobs(job_filter))

    def job(self, request: Request) -> Response:
        """Return one job and the reasons why it waits."""
        job = JobId(request.parameters["job"])
        return json_response(
            200, require_found(require_view(self.views.jobs).explain_job(job), job)
        )

    def cancel(self, request: Request) -> Response:
        """Cancel one job."""
        job = JobId(request.parameters["job"])
        return json_response(
            200, require_found(require_view(self.views.jobs).cancel_job(job), job)
        )

    def drain_member(self, request: Request) -> Response:
        """Start to drain a member."""
        member = MemberId(request.parameters["member"])
        drainer = require_view(self.views.drainer)
        return json_response(202, require_found(drainer.drain_member(member), member))

    def drain_worker(self, request: Request) -> Response:
        """Start to drain a worker."""
        worker = HostName(request.parameters["worker"])
        drainer = require_view(self.views.drainer)
        return json_response(202, require_found(drainer.drain_worker(worker), worker))
