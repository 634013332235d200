"""Failures of scheduling decisions; each has a type of its own."""

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
    """The base of every failure of this package."""


class InvalidJobError(SchedulingError):
    """A job description does not make sense by itself."""


class JobRefusedError(SchedulingError):
    """The job can never run here."""

    def __init__(self, job: JobId, reason: RefusalReason, detail: str) -> None:
        """Keep the job, the reason and a sentence for its submitter."""
        super().__init__(f"job {job} refused: {detail}")
        self.job = job
        self.reason = reason
        self.detail = detail


class DuplicateJobError(SchedulingError):
    """A job with this id is already known."""

    def __init__(self, job: JobId) -> None:
        """Keep the job's id."""
        super().__init__(f"job {job} is already known")
        self.job = job


class UnknownJobError(SchedulingError):
    """No job with this id is known."""

    def __init__(self, job: JobId) -> None:
        """Keep the job's id."""
        super().__init__(f"job {job} is not known")
        self.job = job


class UnknownTaskError(SchedulingError):
    """No task with this id is running."""

    def __init__(self, task: TaskId) -> None:
        """Keep the task's id."""
        super().__init__(f"task {task} is not running")
        self.task = task


class UnknownWorkerError(SchedulingError):
    """No worker with this name is known."""

    def __init__(self, host: HostName) -> None:
        """Keep the host's name."""
        super().__init__(f"worker {host} is not known")
        self.host = host


class OvercommitError(SchedulingError):
    """A commitment would exceed what the worker holds."""

    def __init__(self, host: HostName, task: TaskId) -> None:
        """Keep the worker and the task that does not fit."""
        super().__init__(f"task {task} does not fit on worker {host}")
        self.host = host
        self.task = task
