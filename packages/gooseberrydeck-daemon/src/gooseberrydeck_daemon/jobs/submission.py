"""Request and response bodies of the job routes."""

import re
import secrets
from typing import Any

import msgspec

from gooseberrydeck_coordination.decoding import DecodingError, FieldError, decode_json
from gooseberrydeck_coordination.ids import JobId, QueueName, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_daemon.http.problems import ProblemError, ProblemType
from gooseberrydeck_scheduling import JobRecord, JobSpec, QueueRules, TaskState
from gooseberrydeck_scheduling.rules import OrderPolicy

__all__ = ["JobSubmission", "JobView", "build_view", "parse_submission"]

JOB_ID = re.compile(r"[A-Za-z0-9._-]{1,128}", re.ASCII)
JOB_ID_BYTES = 12
MAX_TASKS = 2_000
MILLIS = 1_000


class JobSubmission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a submission; ``deadline_s`` is a wall-clock time."""

    id: str = ""
    tasks: int = 1
    cpus: float = 1.0
    memory_mib: int = 512
    accelerators: int = 0
    gang: bool = False
    standing: bool = False
    preemptible: bool = True
    idempotent: bool = True
    priority: int = 0
    max_run_s: float = 3_600.0
    deadline_s: float = 0.0
    plan_order: int = 0
    payload: str = ""
    labels: dict[str, str] = {}


class TaskView(msgspec.Struct, frozen=True):
    """One task as returned to its submitter."""

    state: TaskState
    failures: int
    host: str
    run_s: float
    exit_code: int
    result: str


class JobView(msgspec.Struct, frozen=True):
    """A job as returned to its submitter."""

    id: JobId
    queue: QueueName
    state: str
    submitted_s: float
    ended_s: float
    reason: str
    tasks: tuple[TaskView, ...]


def parse_submission(body: bytes, team: TeamName, queue: QueueRules) -> JobSpec:
    """Return the job that a request body describes, or raise ``ProblemError``."""
    try:
        submission = decode_json(body, JobSubmission)
    except FieldError as error:
        raise ProblemError(ProblemType.BAD_FIELD, str(error)) from error
    except DecodingError as error:
        raise ProblemError(ProblemType.BAD_JSON, str(error)) from error
    validate_fields(submission)
    is_standing = submission.standing or queue.policy is OrderPolicy.STANDING
    return JobSpec(
        JobId(submission.id or secrets.token_hex(JOB_ID_BYTES)),
        team,
        queue.name,
        submission.tasks,
        Resources(
            round(submission.cpus * MILLIS),
            submission.memory_mib,
            submission.accelerators,
        ),
        submission.gang,
        is_standing and not submission.gang,
        submission.preemptible,
        submission.idempotent,
        submission.priority,
        submission.max_run_s,
        submission.deadline_s,
        submission.plan_order,
        submission.payload.encode(),
        submission.labels,
    )


def validate_fields(submission: JobSubmission) -> None:
    """Raise ``ProblemError`` if a field is out of range."""
    errors: list[str] = []
    if submission.id and not JOB_ID.fullmatch(submission.id):
        errors.append("id takes up to 128 letters, digits, '.', '_' and '-'")
    if not 1 <= submission.tasks <= MAX_TASKS:
        errors.append(f"tasks is from 1 to {MAX_TASKS}")
    if not 0 < submission.cpus < 1e6:
        errors.append("cpus is more than 0")
    if submission.memory_mib < 1:
        errors.append("memory_mib is at least 1")
    if submission.accelerators < 0:
        errors.append("accelerators is not negative")
    if not 0 < submission.max_run_s < 1e9:
        errors.append("max_run_s is more than 0")
    if errors:
        raise ProblemError(ProblemType.BAD_FIELD, "; ".join(errors))


def build_view(record: JobRecord) -> dict[str, Any]:
    """Return a job as JSON-compatible builtins."""
    tasks = tuple(
        TaskView(
            task.state,
            task.failures,
            task.host,
            task.run_s,
            task.exit_code,
            task.result.decode(errors="replace"),
        )
        for task in record.tasks
    )
    view = JobView(
        record.spec.id,
        record.spec.queue,
        record.state.value,
        record.submitted_s,
        record.ended_s,
        record.reason,
        tasks,
    )
    built: dict[str, Any] = msgspec.to_builtins(view)
    return built
