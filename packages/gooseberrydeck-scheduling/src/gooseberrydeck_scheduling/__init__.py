"""Scheduling of the jobs of one shard: admission, ordering, placement and preemption.

The decisions depend only on the given state and time; the package performs no I/O.
"""

from gooseberrydeck_scheduling.adoption import AdoptedTask
from gooseberrydeck_scheduling.cell import Cell, Placer
from gooseberrydeck_scheduling.decisions import (
    Decision,
    End,
    EndKind,
    Preempt,
    Refuse,
    Start,
    Stop,
    TaskEnd,
    WaitReason,
    WaitReport,
)
from gooseberrydeck_scheduling.engine import Scheduler
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
from gooseberrydeck_scheduling.placement import BestFit
from gooseberrydeck_scheduling.rules import (
    OrderPolicy,
    QueueRules,
    SchedulerSettings,
)
from gooseberrydeck_scheduling.workers import (
    RunningTask,
    StopReason,
    WorkerInfo,
    WorkerState,
    WorkerStatus,
)

__all__ = [
    "AdoptedTask",
    "BestFit",
    "Cell",
    "Decision",
    "DuplicateJobError",
    "End",
    "EndKind",
    "InvalidJobError",
    "JobRecord",
    "JobRefusedError",
    "JobSpec",
    "JobState",
    "OrderPolicy",
    "OvercommitError",
    "Placer",
    "Preempt",
    "QueueRules",
    "RefusalReason",
    "Refuse",
    "RunningTask",
    "Scheduler",
    "SchedulerSettings",
    "SchedulingError",
    "Start",
    "Stop",
    "StopReason",
    "TaskEnd",
    "TaskRecord",
    "TaskState",
    "UnknownJobError",
    "UnknownTaskError",
    "UnknownWorkerError",
    "WaitReason",
    "WaitReport",
    "WorkerInfo",
    "WorkerState",
    "WorkerStatus",
    "decode_record",
    "encode_record",
    "job_of",
    "new_record",
    "task_id",
    "task_index",
]
