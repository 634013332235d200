"""The HTTP interface for callers."""

import time
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import msgspec
import structlog

from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import Epoch, JobId, QueueName, Revision, TeamName
from gooseberrydeck_coordination.outcomes import Outcome
from gooseberrydeck_fleet.configuration import Queue, QueueSettings
from gooseberrydeck_fleet.work import (
    InvalidWorkError,
    JobRecord,
    JobState,
    WorkSpec,
    validate_work,
)
from gooseberrydeck_member.configuration import ConfigurationCache
from gooseberrydeck_member.jobs import JobStore
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_service.bounded_parser import HeaderFields
from gooseberrydeck_service.responses import status_line

__all__ = [
    "NOT_RELAYED",
    "OUTCOME_UNKNOWN",
    "CallerApplication",
    "CallerRequest",
    "CallerResponse",
    "Codec",
    "HolderDirectory",
]

log = structlog.get_logger(__name__)

RESPONSE_MARGIN_S = 0.25
"""Part of the caller's time reserved for transmission and for a slow host."""

STORE_TIME_FRACTION = 0.6
"""Fraction of the caller's time for this member's store connection; the rest is
reserved for a peer."""

FAILURE_HEADER = "X-Failure-Reason"
"""Response header with the reason why a job was given up."""

MAX_JOB_ID_BYTES = 160
"""Longer ids are refused: the store allows keys of 200 bytes."""

RETRY_AFTER_S = 1
"""Retry delay sent with a refusal; faults of the store or a member pass within
seconds."""

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Codec(Protocol):
    """Decode callers' requests and encode the response bodies."""

    def decode_work(self, body: bytes) -> WorkSpec:
        """Decode the work in a request body, or raise ``InvalidWorkError``."""

    def encode_state(self, state: JobState) -> bytes:
        """Return a response body with a job's state."""

    def encode_waiting(self, count: int) -> bytes:
        """Return a response body with the number of waiting jobs."""

    def time_left_s(self, environ: dict[str, object]) -> float:
        """Return how long the caller waits for the response, in seconds."""


class HolderDirectory(Protocol):
    """Access to the holder of the shard, on this or another member, and to peers."""

    def state(self, job: JobId, timeout_s: float) -> JobState | None:
        """Return a job's state, or None if the holder is unavailable or lacks the job.

        A job that the holder lacks may still be in the store.
        """

    def waiting(self, timeout_s: float) -> dict[QueueName, int] | None:
        """Return the number of waiting jobs by queue, or None if unavailable."""

    def newest_token(self) -> Epoch:
        """Return the fencing token of the newest known holder, 0 if none is known.

        Older holders are not notified any more.
        """

    def notify_job_accepted(self, record: JobRecord, revision: Revision) -> None:
        """Notify the holder of a stored job, without waiting for a reply.

        If the notification is lost, the holder finds the job in the store later.
        """

    def is_store_unavailable(self) -> bool:
        """Return whether the holder cannot reach the store either."""

    def relay(self, call: "CallerRequest", timeout_s: float) -> "CallerResponse":
        """Relay a call to peers and return the response to the caller.

        Returns a refusal only if no peer can have run the call, and
        ``OUTCOME_UNKNOWN`` if one may have.
        """


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request; ``deadline_s`` is a monotonic time.

    Between members ``deadline_s`` is the time left, as their clocks differ.
    """

    method: str
    host: str
    path: str
    key: str
    body: bytes
    deadline_s: float
    is_relayed: bool = False


class CallerResponse(msgspec.Struct, frozen=True):
    """The response to a caller; ``failure`` says why a job was given up."""

    status: int
    body: bytes = b"{}"
    retry_after_s: int | None = None
    failure: str = ""

    @property
    def outcome(self) -> Outcome:
        """Whether the request has run; a missing job (410) needs no further attempt."""
        if self.status in (200, 410):
            return Outcome.RAN
        return Outcome.NOT_RUN if self.status in REFUSALS else Outcome.UNKNOWN

    def after(self, earlier: Outcome) -> "CallerResponse":
        """Return the response to a caller whose request was attempted before.

        A refusal would be untrue if an earlier attempt may have run.
        """
        is_true = earlier.followed_by(self.outcome) is self.outcome
        return self if is_true else OUTCOME_UNKNOWN


REFUSALS = frozenset({400, 401, 404, 405, 429, 503})
"""Statuses which say that a request has not run and never will."""

NOT_RELAYED = CallerResponse(503, retry_after_s=RETRY_AFTER_S)
"""The refusal of a call that no peer can have received."""

OUTCOME_UNKNOWN = CallerResponse(504)
"""The response to a call that may have run or may still run."""


class CallerApplication:
    """Handle submissions, cancellations and queries about jobs and queues."""

    def __init__(
        self,
        configuration: ConfigurationCache,
        jobs: JobStore,
        directory: HolderDirectory,
        codec: Codec,
        metrics: Metrics,
    ) -> None:
        """Create the application; it uses the current version of ``configuration``."""
        self.configuration = configuration
        self.jobs = jobs
        self.directory = directory
        self.codec = codec
        self.metrics = metrics

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle a WSGI request, recording it in the log and the metrics."""
        started_s = time.monotonic()
        call = self.read(environ, started_s)
        operation = call.method if call.method in ("GET", "POST", "DELETE") else "other"
        response = self.handle(call)
        seconds = time.monotonic() - started_s
        self.metrics.requests.labels(operation, str(response.status)).inc()
        self.metrics.request_seconds.labels(operation).observe(seconds)
        if operation != "GET" or response.status >= 400:
            log.info(
                "answered",
                operation=operation,
                path=call.path,
                status=response.status,
                seconds=round(seconds, 4),
                configuration=self.configuration.version,
                configuration_age_s=round(
                    started_s - self.configuration.confirmed_s, 3
                ),
                relayed=call.is_relayed,
            )
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(response.body))),
        ]
        if response.retry_after_s is not None:
            headers.append(("Retry-After", str(response.retry_after_s)))
        if response.failure:
            headers.append((FAILURE_HEADER, response.failure))
        start_response(status_line(response.status), headers)
        return [response.body]

    def read(self, environ: dict[str, Any], started_s: float) -> CallerRequest:
        """Read a caller's request from the WSGI environment."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        return CallerRequest(
            method=environ["REQUEST_METHOD"],
            host=environ.get("HTTP_HOST", ""),
            path=environ.get("PATH_INFO", ""),
            key=bearer_key(environ.get("HTTP_AUTHORIZATION", "")),
            body=environ["wsgi.input"].read(length) if length else b"",
            deadline_s=started_s + self.codec.time_left_s(environ) - RESPONSE_MARGIN_S,
            is_relayed="HTTP_X_RELAYED" in environ,
        )

    def check_header(self, fields: HeaderFields) -> int | None:
        """Return the status that refuses a request with a body, or None.

        These are the checks of ``handle`` that need no body.
        """
        status = self.find_refusal(fields)
        if status is not None:
            method = fields.method
            operation = method if method in ("POST", "DELETE") else "other"
            self.metrics.requests.labels(operation, str(status)).inc()
        return status

    def find_refusal(self, fields: HeaderFields) -> int | None:
        """Return the status that refuses a request with a body, or None."""
        configuration = self.configuration.current
        if configuration is None:
            return 503
        # As in the path of the WSGI environment.
        path = "/" + fields.path.lstrip("/")
        queue = configuration.find_queue(fields.host, path)
        if queue is None:
            return 404
        if not queue.is_open and not configuration.find_team(
            bearer_key(fields.authorization)
        ):
            return 401
        job = path[len(queue.path_prefix) :]
        if fields.method == "GET":
            return None
        if not job or "/" in job:
            return 404
        return None if fields.method in ("POST", "DELETE") else 405

    def handle(self, call: CallerRequest) -> CallerResponse:
        """Authenticate and route a call."""
        configuration = self.configuration.current
        if configuration is None:
            return CallerResponse(503, retry_after_s=RETRY_AFTER_S)
        queue = configuration.find_queue(call.host, call.path)
        if queue is None:
            return CallerResponse(404)
        team = configuration.find_team(call.key)
        if team is None and not queue.is_open:
            return CallerResponse(401)
        job = JobId(call.path[len(queue.path_prefix) :])
        if call.method == "GET":
            return self.state(job, call) if job else self.waiting(queue, call)
        if not job or "/" in job:
            return CallerResponse(404)
        if len(job.encode()) > MAX_JOB_ID_BYTES and call.method in ("POST", "DELETE"):
            return CallerResponse(400 if call.method == "POST" else 410)
        if call.method == "POST":
            team_name = team.name if team is not None else TeamName("")
            settings = queue.settings(configuration.version)
            return self.submit(queue.name, settings, team_name, job, call)
        if call.method == "DELETE":
            return self.cancel(job, call)
        return CallerResponse(405)

    def submit(
        self,
        queue: QueueName,
        queue_settings: QueueSettings,
        team: TeamName,
        job: JobId,
        call: CallerRequest,
    ) -> CallerResponse:
        """Store a job, or relay the call to a peer if the store cannot be reached.

        503 means that the job is certainly not stored, 504 that it may be.
        """
        try:
            work = self.codec.decode_work(call.body)
            validate_work(work)
        except InvalidWorkError as error:
            log.info("job refused", job=job, reason=str(error))
            return CallerResponse(400)
        record = JobRecord(
            job,
            queue,
            team,
            work,
            time.time(),
            holder_token=self.directory.newest_token(),
            queue_settings=queue_settings,
        )
        try:
            revision = self.jobs.accept(record, self.store_deadline_s(call))
        except StoreError as error:
            relayed = self.relay(call)
            log.warning(
                "job not stored here",
                job=job,
                reason=str(error),
                may_be_stored=error.outcome is Outcome.UNKNOWN,
                peer_status=None if call.is_relayed else relayed.status,
            )
            return relayed.after(error.outcome)
        if revision is not None:
            self.directory.notify_job_accepted(record, revision)
        return CallerResponse(200)

    def cancel(self, job: JobId, call: CallerRequest) -> CallerResponse:
        """Cancel a job, or relay the call to a peer if the store cannot be reached.

        503 means that the job is certainly not cancelled by this call, 504 that it may
        be.
        """
        try:
            state = self.jobs.cancel(job, self.store_deadline_s(call))
        except StoreError as error:
            relayed = self.relay(call)
            log.warning(
                "job not cancelled here",
                job=job,
                reason=str(error),
                may_be_stored=error.outcome is Outcome.UNKNOWN,
                peer_status=None if call.is_relayed else relayed.status,
            )
            return relayed.after(error.outcome)
        return CallerResponse(410) if state is None else CallerResponse(200)

    def state(self, job: JobId, call: CallerRequest) -> CallerResponse:
        """Return a job's state from the holder, or else from the store."""
        state = self.directory.state(job, self.holder_timeout_s(call))
        if state is None:
            try:
                state = self.jobs.state(job, self.store_deadline_s(call))
            except StoreError as error:
                relayed = self.relay(call)
                log.warning("job not found here", job=job, reason=str(error))
                # A query has no effect, so that it can be refused in each case.
                is_known = relayed.outcome is not Outcome.UNKNOWN
                return relayed if is_known else NOT_RELAYED
        if state is None:
            return CallerResponse(410)
        failure = self.failure(job, call) if state is JobState.FAILED else ""
        return CallerResponse(200, self.codec.encode_state(state), failure=failure)

    def failure(self, job: JobId, call: CallerRequest) -> str:
        """Return why a job was given up, or "" if that is not known."""
        try:
            return self.jobs.failure(job, self.store_deadline_s(call))
        except StoreError as error:
            log.info("reason of failure not found", job=job, reason=str(error))
            return ""

    def waiting(self, queue: Queue, call: CallerRequest) -> CallerResponse:
        """Return how many jobs of a queue have not started."""
        counts = self.directory.waiting(self.holder_timeout_s(call))
        if counts is None:
            return CallerResponse(503, retry_after_s=RETRY_AFTER_S)
        return CallerResponse(200, self.codec.encode_waiting(counts.get(queue.name, 0)))

    def relay(self, call: CallerRequest) -> CallerResponse:
        """Relay a call to peers, unless it was relayed before.

        While the holder cannot reach the store either, callers are refused at once: the
        peers would be too busy waiting for the store to respond.
        """
        remaining_s = call.deadline_s - time.monotonic()
        if call.is_relayed or remaining_s <= 0:
            return NOT_RELAYED
        if self.directory.is_store_unavailable():
            return NOT_RELAYED
        return self.directory.relay(call, remaining_s)

    def store_deadline_s(self, call: CallerRequest) -> float:
        """Return the monotonic time until which the store is tried directly."""
        now_s = time.monotonic()
        share = 1.0 if call.is_relayed else STORE_TIME_FRACTION
        return now_s + share * (call.deadline_s - now_s)

    def holder_timeout_s(self, call: CallerRequest) -> float:
        """Return the timeout of a query to the holder, in seconds."""
        return max(0.05, min(0.6, 0.4 * (call.deadline_s - time.monotonic())))


def bearer_key(authorization: str) -> str:
    """Return the API key of an authorization header, "" if it has none."""
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
