"""HTTP handlers for submitting, reading and cancelling jobs."""

from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any

import structlog

from gooseberrydeck_configuration.objects import Queue
from gooseberrydeck_coordination.decoding import DecodingError
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.group_commit import WriteOutcome
from gooseberrydeck_coordination.ids import JobId, MemberId, ShardId, TeamName
from gooseberrydeck_coordination.ownership import OwnershipView
from gooseberrydeck_daemon.dispatch.exceptions import Outcome
from gooseberrydeck_daemon.http.access import AccessIndex
from gooseberrydeck_daemon.http.problems import ProblemError, ProblemType
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.http.router import Route
from gooseberrydeck_daemon.http.services import authorized_team
from gooseberrydeck_daemon.jobs.acceptance import JobAcceptor
from gooseberrydeck_daemon.jobs.dependencies import CellRules
from gooseberrydeck_daemon.jobs.messages import (
    CancelAnswer,
    CancelJobs,
    JobAnswer,
    JobBound,
    JobQuery,
    LocalCancel,
    LocalQuery,
)
from gooseberrydeck_daemon.jobs.submission import build_view, parse_submission
from gooseberrydeck_daemon.jobs.task import JobsTask
from gooseberrydeck_daemon.peers.exceptions import PeerError
from gooseberrydeck_daemon.peers.network import Peers
from gooseberrydeck_scheduling import JobRecord, decode_record, encode_record
from gooseberrydeck_service.responses import Response, json_response

__all__ = ["JobsHandler"]

log = structlog.get_logger(__name__)

MAX_WAIT_S = 60.0
ASK_TIMEOUT_S = 7.0
ANY_SHARD = ShardId(-1)

FAILURES = {
    WriteOutcome.CONFLICT: (ProblemType.REPEATED, Outcome.NOT_RUN),
    WriteOutcome.REFUSED: (ProblemType.BAD_FIELD, Outcome.NOT_RUN),
    WriteOutcome.NOT_WRITTEN: (ProblemType.STORE_UNAVAILABLE, Outcome.NOT_RUN),
    WriteOutcome.UNKNOWN: (ProblemType.STORE_UNAVAILABLE, Outcome.UNKNOWN),
}


class JobsHandler:
    """Serve the job routes on any member, forwarding to the shard's owner if needed."""

    def __init__(
        self,
        access: AccessIndex,
        acceptor: JobAcceptor,
        task: JobsTask,
        peers: Peers,
        view: Callable[[], OwnershipView],
        rules: Callable[[], CellRules],
    ) -> None:
        """Accept jobs with ``acceptor``; send other requests to ``task`` or a peer."""
        self.access = access
        self.acceptor = acceptor
        self.task = task
        self.peers = peers
        self.view = view
        self.rules = rules

    def routes(self) -> tuple[Route, ...]:
        """Return the routes to add to the router."""
        queue_path = "/v1/queues/{queue}/jobs"
        return (
            Route("POST", queue_path, self.submit, self.prepare_queue),
            Route("DELETE", queue_path, self.cancel_many, self.prepare_queue),
            Route("GET", "/v1/jobs/{job}", self.read),
            Route("DELETE", "/v1/jobs/{job}", self.cancel),
        )

    def prepare_queue(self, request: Request) -> None:
        """Check that the queue exists and that the team may use it."""
        request.team = authorized_team(request, self.find_queue(request))

    def find_queue(self, request: Request) -> Queue:
        """Return the queue named in the path, or raise ``ProblemError``."""
        queue = self.access.queue(request.parameters["queue"])
        if queue is None:
            raise ProblemError(ProblemType.QUEUE_UNKNOWN)
        return queue

    def submit(self, request: Request) -> Response:
        """Accept a job durably and respond with its location."""
        rules = self.rules().queue(self.find_queue(request).name)
        if rules is None or request.team is None:
            raise ProblemError(ProblemType.QUEUE_UNKNOWN)
        spec = parse_submission(request.read_body(), request.team, rules)
        accepted = self.acceptor.accept(spec)
        if accepted.outcome is not WriteOutcome.WRITTEN:
            kind, outcome = FAILURES[accepted.outcome]
            raise ProblemError(kind, accepted.detail, outcome)
        self.notify_owner(accepted.shard, accepted.record)
        response = json_response(202, {"id": spec.id})
        response.headers.append(("Location", f"/v1/jobs/{spec.id}"))
        return response

    def notify_owner(self, shard: ShardId, record: JobRecord) -> None:
        """Notify the shard's owner of a new job.

        If the message is lost, the owner finds the job in its next scan of the store.
        """
        bound = JobBound(shard, encode_record(record))
        owner = self.view().owner_of(shard)
        if owner == self.view().member:
            self.task.post(bound)
        elif owner is not None:
            self.peers.send(owner, bound)

    def read(self, request: Request) -> Response:
        """Return a job, optionally after waiting for its end."""
        shard, record = self.find(request)
        query = JobQuery(shard, record.spec.id, record.spec.team, parse_wait(request))
        answer = self.query_owner(shard, query)
        if answer is not None and answer.record:
            record = self.newer_record(answer.record) or record
        return json_response(200, build_view(record))

    def newer_record(self, encoded: bytes) -> JobRecord | None:
        """Return the owner's record of a job, or None if it can't be read."""
        try:
            return decode_record(encoded)
        except DecodingError as error:
            log.warning("owner's answer unreadable", reason=str(error))
            return None

    def find(self, request: Request) -> tuple[ShardId, JobRecord]:
        """Return the shard and the record of a job that the caller may see."""
        try:
            shard, record = self.acceptor.find(JobId(request.parameters["job"]))
        except StoreError as error:
            raise ProblemError(ProblemType.STORE_UNAVAILABLE) from error
        if record is None or not self.may_see(request, record):
            raise ProblemError(ProblemType.JOB_UNKNOWN)
        return shard, record

    def may_see(self, request: Request, record: JobRecord) -> bool:
        """Return True if the caller may see a job."""
        if request.team is not None:
            return request.team == record.spec.team
        queue = self.access.queue(record.spec.queue)
        return queue is not None and queue.open_team == record.spec.team

    def query_owner(self, shard: ShardId, query: JobQuery) -> JobAnswer | None:
        """Return the owner's reply, or None if there is none in time."""
        view = self.view()
        owner = view.owner_of(shard)
        if owner is None:
            return None
        timeout_s = query.wait_s + ASK_TIMEOUT_S
        if owner == view.member:
            local: Future[Any] = Future()
            if not self.task.post(LocalQuery(query, local.set_result)):
                return None
            return wait_for_result(local, timeout_s)
        return wait_for_result(self.peers.request(owner, query, timeout_s), timeout_s)

    def cancel(self, request: Request) -> Response:
        """Cancel one job."""
        shard, record = self.find(request)
        cancel = CancelJobs(record.spec.team, record.spec.id, shard)
        owner = self.view().owner_of(shard)
        answers = self.cancel_at_owners([owner] if owner is not None else [], cancel)
        return cancel_response(answers)

    def cancel_many(self, request: Request) -> Response:
        """Cancel a team's jobs of a queue, or those with a label."""
        team = request.team or TeamName("")
        label, _, value = request.query_values().get("label", "").partition("=")
        queue = self.find_queue(request).name
        cancel = CancelJobs(team, queue=queue, label=label, value=value)
        owners = sorted(set(self.view().owners.values()))
        return cancel_response(self.cancel_at_owners(owners, cancel))

    def cancel_at_owners(
        self, owners: list[MemberId], cancel: CancelJobs
    ) -> list[CancelAnswer | None]:
        """Return owners' replies to a cancellation, None for missing ones.

        All owners are asked concurrently.
        """
        asked: list[Future[Any]] = []
        for owner in owners:
            if owner != self.view().member:
                asked.append(self.peers.request(owner, cancel, ASK_TIMEOUT_S))
                continue
            local: Future[Any] = Future()
            self.task.post(LocalCancel(cancel, local.set_result))
            asked.append(local)
        return [wait_for_result(future, ASK_TIMEOUT_S) for future in asked]


def parse_wait(request: Request) -> float:
    """Return the ``wait_s`` parameter: how long to wait for a job's end, in seconds.

    Raise ``ProblemError`` if it is not a number in the permitted range.
    """
    text = request.query_values().get("wait_s", "0")
    try:
        wait_s = float(text)
    except ValueError as error:
        detail = f"wait_s is a number of seconds up to {MAX_WAIT_S:g}"
        raise ProblemError(ProblemType.BAD_REQUEST, detail) from error
    if not 0.0 <= wait_s <= MAX_WAIT_S:
        detail = f"wait_s is a number of seconds up to {MAX_WAIT_S:g}"
        raise ProblemError(ProblemType.BAD_REQUEST, detail)
    return wait_s


def wait_for_result(future: Future[Any], timeout_s: float) -> Any | None:
    """Return the result of a future, or None on a timeout or peer error."""
    try:
        return future.result(timeout_s)
    except (FutureTimeoutError, PeerError):
        return None


def cancel_response(answers: list[CancelAnswer | None]) -> Response:
    """Return the number of cancelled jobs, provided that every owner has stored it."""
    given = [answer for answer in answers if answer is not None]
    is_complete = len(given) == len(answers) and len(answers) > 0
    if not is_complete or not all(answer.is_recorded for answer in given):
        detail = "some owners have not recorded the cancellation; ask again"
        raise ProblemError(ProblemType.STORE_UNAVAILABLE, detail, Outcome.UNKNOWN)
    return json_response(200, {"cancelled": sum(each.cancelled for each in given)})
