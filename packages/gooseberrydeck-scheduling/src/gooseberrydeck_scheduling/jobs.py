"""Job specifications and records."""

from enum import Enum

import msgspec

from gooseberrydeck_coordination.decoding import decode_json
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
    """State of a job; all states but WAITING and RUNNING are final."""

    WAITING = "waiting"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self not in (JobState.WAITING, JobState.RUNNING)


class TaskState(Enum):
    """Recorded state of a task; all states but PENDING are final."""

    PENDING = "pending"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self is not TaskState.PENDING


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as submitted; immutable once accepted.

    ``resources`` applies to each task. ``deadline_s`` is a wall-clock time; zero means
    no deadline. ``plan_order`` orders the jobs of a team within a batch queue. A
    standing job keeps ``tasks`` replicas running until it is cancelled. The label
    ``kind`` groups similar jobs for estimates of run time and usage.

    A task of a job that is not idempotent is started only once. It is not retried after
    a failure or after the loss of its worker, since it may have run.
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
    """Stored state of one task of a job.

    ``attempt`` is the lowest attempt number that has not ended. It is updated when an
    attempt ends, not when it starts: a record written in between would otherwise make
    the shard's next owner take the running attempt for an outdated one.
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
    """Stored state of a job; times are wall-clock seconds."""

    spec: JobSpec
    submitted_s: float
    state: JobState = JobState.WAITING
    ended_s: float = 0.0
    reason: str = ""
    is_cancel_requested: bool = False
    tasks: list[TaskRecord] = []


def new_record(spec: JobSpec, now_s: float) -> JobRecord:
    """Return the record of a newly submitted job.

    Raise ``InvalidJobError`` if the job has no tasks.
    """
    if spec.tasks < 1:
        raise InvalidJobError(f"job {spec.id} has no tasks")
    return JobRecord(spec, now_s, tasks=[TaskRecord() for _ in range(spec.tasks)])


def encode_record(record: JobRecord) -> bytes:
    """Encode a record as JSON for the store."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> JobRecord:
    """Decode a record from the JSON in the store, or raise ``DecodingError``.

    An accepted job whose record can't be read must not be forgotten: report its key.
    """
    return decode_json(value, JobRecord)


def task_id(job: JobId, index: int, attempt: int) -> TaskId:
    """Return the id of one attempt of a task."""
    return TaskId(f"{job}/{index}/{attempt}")


def job_of(task: TaskId) -> JobId:
    """Return the id of the job that a task belongs to."""
    return JobId(task.rsplit("/", 2)[0])


def task_index(task: TaskId) -> int:
    """Return the index of a task within its job."""
    return int(task.rsplit("/", 2)[1])
