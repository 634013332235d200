"""Interface to workers, the platform's hosts that run tasks."""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

import msgspec

from gooseberrydeck_coordination.ids import Epoch, HostName, ShardId, TaskId, TeamName
from gooseberrydeck_coordination.resources import Resources

__all__ = [
    "Adoption",
    "Fence",
    "WorkerTaskState",
    "StartRefusal",
    "StartResult",
    "TaskReport",
    "TaskStart",
    "Worker",
]


class Fence(msgspec.Struct, frozen=True):
    """The shard and ownership epoch that authorise a call to a worker."""

    shard: ShardId
    epoch: Epoch


class WorkerTaskState(Enum):
    """State of a task as its worker reports it."""

    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"


class TaskStart(msgspec.Struct, frozen=True):
    """A task to start under a lease of ``lease_s`` seconds.

    Starting is idempotent: for a task id that it already knows, a worker repeats its
    first result and does not start the task again.
    """

    task: TaskId
    team: TeamName
    resources: Resources
    lease_s: float
    payload: bytes = b""
    checkpoint: bytes = b""


class TaskReport(msgspec.Struct, frozen=True):
    """A worker's report on a task; the worker keeps it until it is acknowledged.

    ``resources`` is what the task was started with; ``usage`` is what it was last
    measured to use, which lags behind. Unless the lease is renewed, the worker stops
    the task after ``lease_left_s``.
    """

    task: TaskId
    team: TeamName
    state: WorkerTaskState
    resources: Resources
    usage: Resources
    lease_left_s: float
    run_s: float = 0.0
    exit_code: int = 0
    result: bytes = b""
    checkpoint: bytes = b""


class Adoption(msgspec.Struct, frozen=True):
    """The result of adopting a worker: its capacity and the tasks that it holds."""

    host: HostName
    capacity: Resources
    tasks: tuple[TaskReport, ...]
    has_fencing: bool = True


class StartRefusal(Enum):
    """Why a worker did not start a task; the task is known not to run there."""

    CAPACITY = "capacity"
    DRAINING = "draining"
    BROKEN = "broken"
    STOPPED = "stopped"
    """The task was stopped before its start arrived."""


class StartResult(msgspec.Struct, frozen=True):
    """The result of starting one task; ``refusal`` is None if it was accepted."""

    task: TaskId
    refusal: StartRefusal | None = None


class Worker(Protocol):
    """A worker; every call carries the fence of the shard that owns it.

    Calls raise ``StaleFenceError`` if the worker has been adopted under another fence,
    ``WorkerUnavailableError`` if they had no effect, and ``OutcomeUnknownError`` if
    they may have taken effect.
    """

    def adopt(self, fence: Fence, timeout_s: float) -> Adoption:
        """Adopt the worker under a new fence and return the tasks that it holds."""

    def start(
        self, fence: Fence, starts: Sequence[TaskStart], timeout_s: float
    ) -> tuple[StartResult, ...]:
        """Start tasks in order and return one result for each.

        The tasks are independent: a refused one does not affect the others.
        """

    def renew(
        self, fence: Fence, tasks: Sequence[TaskId], lease_s: float, timeout_s: float
    ) -> tuple[TaskReport, ...]:
        """Renew the leases of ``tasks`` and return reports of all tasks held."""

    def checkpoint(self, fence: Fence, task: TaskId, timeout_s: float) -> None:
        """Make a task save its state and end as ``CHECKPOINTED``."""

    def throttle(
        self, fence: Fence, task: TaskId, cpu_millis: int, timeout_s: float
    ) -> None:
        """Limit the CPU use of a task, in thousandths of a core."""

    def stop(self, fence: Fence, tasks: Sequence[TaskId], timeout_s: float) -> None:
        """Stop tasks; a task that is not known yet is refused if its start follows."""

    def acknowledge(
        self, fence: Fence, tasks: Sequence[TaskId], timeout_s: float
    ) -> None:
        """Acknowledge recorded outcomes, so that the worker drops the ended tasks."""
