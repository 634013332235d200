"""What submitters send and what they are told."""

import re
import secrets
from typing import Any

import msgspec

from gooseberrydeck_coordination.ids import JobId, QueueName, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_daemon.http.problems import ProblemError, ProblemType
from gooseberrydeck_scheduling import JobRecord, JobSpec, QueueRules, TaskState
from gooseberrydeck_scheduling.rules import OrderPolicy

__all__ = ["JobSubmission", "JobView", "parse_submission", "view_of"]

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
    """One task as its submitter sees it."""

    state: TaskState
    failures: int
    host: str
    run_s: float
    exit_code: int
    result: str


class JobView(msgspec.Struct, frozen=True):
    """A job as its submitter sees it."""

    id: JobId
    queue: QueueName
    state: str
    submitted_s: float
    ended_s: float
    reason: str
    tasks: tuple[TaskView, ...]


def parse_submission(body: bytes, team: TeamName, queue: QueueRules) -> JobSpec:
    """Return the job that a body describes, or raise ``ProblemError``."""
    try:
        sent = msgspec.json.decode(body, type=JobSubmission)
    except msgspec.ValidationError as error:
        raise ProblemError(ProblemType.BAD_FIELD, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ProblemError(ProblemType.BAD_JSON, str(error)) from error
    check_fields(sent)
    is_standing = sent.standing or queue.policy is OrderPolicy.STANDING
    return JobSpec(
        JobId(sent.id or secrets.token_hex(JOB_ID_BYTES)),
        team,
        queue.name,
        sent.tasks,
        Resources(round(sent.cpus * MILLIS), sent.memory_mib, sent.accelerators),
        sent.gang,
        is_standing and not sent.gang,
        sent.preemptible,
        sent.idempotent,
        sent.priority,
        sent.max_run_s,
        sent.deadline_s,
        sent.plan_order,
        sent.payload.encode(),
        sent.labels,
    )


def check_fields(sent: JobSubmission) -> None:
    """Raise ``ProblemError`` for a field that makes no sense by itself."""
    faults: list[str] = []
    if sent.id and not JOB_ID.fullmatch(sent.id):
        faults.append("id takes up to 128 letters, digits, '.', '_' and '-'")
    if not 1 <= sent.tasks <= MAX_TASKS:
        faults.append(f"tasks is from 1 to {MAX_TASKS}")
    if not 0 < sent.cpus < 1e6:
        faults.append("cpus is more than 0")
    if sent.memory_mib < 1:
        faults.append("memory_mib is at least 1")
    if sent.accelerators < 0:
        faults.append("accelerators is not negative")
    if not 0 < sent.max_run_s < 1e9:
        faults.append("max_run_s is more than 0")
    if faults:
        raise ProblemError(ProblemType.BAD_FIELD, "; ".join(faults))


def view_of(record: JobRecord) -> dict[str, Any]:
    """Return a job as JSON tells it."""
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
