"""Jobs as they are submitted, stored and answered."""

from enum import Enum

import msgspec

from gooseberrydeck_coordination.ids import (
    HostName,
    JobId,
    QueueName,
    TaskId,
    TeamName,
)
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.exceptions import InvalidJobError

__all__ = [
    "JobRecord",
    "JobSpec",
    "JobState",
    "TaskRecord",
    "TaskState",
    "decode_record",
    "encode_record",
    "job_of",
    "new_record",
    "task_id",
    "task_index",
]


class JobState(Enum):
    """Where a job stands; the last four are final."""

    WAITING = "waiting"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"

    @property
    def is_final(self) -> bool:
        """Tell whether the state can no longer change."""
        return self not in (JobState.WAITING, JobState.RUNNING)


class TaskState(Enum):
    """What is recorded of one task; the last three are final."""

    PENDING = "pending"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Tell whether the state can no longer change."""
        return self is not TaskState.PENDING


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a submitter asks for; it does not change after acceptance.

    ``resources`` are those of each task. ``deadline_s`` is a wall-clock time and zero
    means none. ``plan_order`` orders a team's jobs in a batch queue. A standing job
    keeps ``tasks`` replicas running until it is cancelled. The label ``kind`` groups
    jobs that behave alike, for learning. A task of a job that is not idempotent is
    started once: it is not tried again after a failure, nor when its worker is lost,
    since it may have run.
    """

    id: JobId
    team: TeamName
    queue: QueueName
    tasks: int = 1
    resources: Resources = Resources(1_000, 512, 0)
    is_gang: bool = False
    is_standing: bool = False
    is_preemptible: bool = True
    is_idempotent: bool = True
    priority: int = 0
    max_run_s: float = 3_600.0
    deadline_s: float = 0.0
    plan_order: int = 0
    payload: bytes = b""
    labels: dict[str, str] = {}


class TaskRecord(msgspec.Struct, omit_defaults=True):
    """What is kept of one task of a job.

    ``attempt`` is the lowest number of an attempt that has not ended. It changes when
    one ends, not when one starts: a record written meanwhile must not make a successor
    take a running attempt for an old one.
    """

    state: TaskState = TaskState.PENDING
    attempt: int = 0
    failures: int = 0
    host: HostName = HostName("")
    run_s: float = 0.0
    exit_code: int = 0
    result: bytes = b""
    checkpoint: bytes = b""


class JobRecord(msgspec.Struct, omit_defaults=True):
    """A job as the store keeps it; times are wall-clock seconds."""

    spec: JobSpec
    submitted_s: float
    state: JobState = JobState.WAITING
    ended_s: float = 0.0
    reason: str = ""
    is_cancel_requested: bool = False
    tasks: list[TaskRecord] = []


def new_record(spec: JobSpec, now_s: float) -> JobRecord:
    """Return the record of a job that has just been submitted."""
    if spec.tasks < 1:
        raise InvalidJobError(f"job {spec.id} has no tasks")
    return JobRecord(spec, now_s, tasks=[TaskRecord() for _ in range(spec.tasks)])


def encode_record(record: JobRecord) -> bytes:
    """Return the JSON that the store keeps."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> JobRecord:
    """Return the record that the store kept as JSON."""
    return msgspec.json.decode(value, type=JobRecord)


def task_id(job: JobId, index: int, attempt: int) -> TaskId:
    """Return the id of one attempt at one task."""
    return TaskId(f"{job}/{index}/{attempt}")


def job_of(task: TaskId) -> JobId:
    """Return the job that a task belongs to."""
    return JobId(task.rsplit("/", 2)[0])


def task_index(task: TaskId) -> int:
    """Return a task's position within its job."""
    return int(task.rsplit("/", 2)[1])
