"""Placement and ordering decisions as pure functions of state and time."""

from gooseberrydeck_scheduling.exceptions import (
    DuplicateJobError,
    InvalidJobError,
    JobRefusedError,
    OvercommitError,
    RefusalReason,
    SchedulingError,
    UnknownJobError,
    UnknownTaskError,
    UnknownWorkerError,
)
from gooseberrydeck_scheduling.jobs import (
    JobRecord,
    JobSpec,
    JobState,
    TaskRecord,
    TaskState,
    decode_record,
    encode_record,
    job_of,
    new_record,
    task_id,
    task_index,
)
from gooseberrydeck_scheduling.rules import (
    OrderPolicy,
    QueueRules,
    SchedulerSettings,
)

__all__ = [
    "DuplicateJobError",
    "InvalidJobError",
    "JobRecord",
    "JobRefusedError",
    "JobSpec",
    "JobState",
    "OrderPolicy",
    "OvercommitError",
    "QueueRules",
    "RefusalReason",
    "SchedulerSettings",
    "SchedulingError",
    "TaskRecord",
    "TaskState",
    "UnknownJobError",
    "UnknownTaskError",
    "UnknownWorkerError",
    "decode_record",
    "encode_record",
    "job_of",
    "new_record",
    "task_id",
    "task_index",
]
