"""Exceptions raised by the scheduler."""

from enum import Enum

from gooseberrydeck_coordination.ids import HostName, JobId, TaskId

__all__ = [
    "DuplicateJobError",
    "InvalidJobError",
    "JobRefusedError",
    "OvercommitError",
    "RefusalReason",
    "SchedulingError",
    "UnknownJobError",
    "UnknownTaskError",
    "UnknownWorkerError",
]


class RefusalReason(Enum):
    """Why a job can never run."""

    NO_TASKS = "no_tasks"
    NEGATIVE_RESOURCES = "negative_resources"
    UNKNOWN_QUEUE = "unknown_queue"
    LARGER_THAN_ANY_HOST = "larger_than_any_host"
    GANG_LARGER_THAN_CELL = "gang_larger_than_cell"
    GANG_OVER_TEAM_LIMIT = "gang_over_team_limit"
    GANG_TOO_LARGE = "gang_too_large"
    RUN_TIME_OVER_QUEUE_LIMIT = "run_time_over_queue_limit"


class SchedulingError(Exception):
    """Base class of the exceptions of this package."""


class InvalidJobError(SchedulingError):
    """A job specification is invalid."""


class JobRefusedError(SchedulingError):
    """A job can never run in this shard."""

    def __init__(self, job: JobId, reason: RefusalReason, detail: str) -> None:
        """Store the job, the reason and an explanation for the submitter."""
        super().__init__(f"job {job} refused: {detail}")
        self.job = job
        self.reason = reason
        self.detail = detail


class DuplicateJobError(SchedulingError):
    """A job with the same id is already tracked."""

    def __init__(self, job: JobId) -> None:
        """Store the id of the job."""
        super().__init__(f"job {job} is already known")
        self.job = job


class UnknownJobError(SchedulingError):
    """No job with this id is tracked."""

    def __init__(self, job: JobId) -> None:
        """Store the id of the job."""
        super().__init__(f"job {job} is not known")
        self.job = job


class UnknownTaskError(SchedulingError):
    """No task with this id is running."""

    def __init__(self, task: TaskId) -> None:
        """Store the id of the task."""
        super().__init__(f"task {task} is not running")
        self.task = task


class UnknownWorkerError(SchedulingError):
    """The cell has no worker on this host."""

    def __init__(self, host: HostName) -> None:
        """Store the host name of the worker."""
        super().__init__(f"worker {host} is not known")
        self.host = host


class OvercommitError(SchedulingError):
    """A task does not fit in the free resources of a worker."""

    def __init__(self, host: HostName, task: TaskId) -> None:
        """Store the worker and the task."""
        super().__init__(f"task {task} does not fit on worker {host}")
        self.host = host
        self.task = task
