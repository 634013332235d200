"""The interface to workers, the platform's hosts that run tasks."""

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
    """The shard and epoch under which an owner calls a worker."""

    shard: ShardId
    epoch: Epoch


class WorkerTaskState(Enum):
    """The state of a task on its worker."""

    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"


class TaskStart(msgspec.Struct, frozen=True):
    """A task to start under a lease of ``lease_s`` seconds.

    A worker that already knows the task id does not start it again and
    answers as it did the first time.
    """

    task: TaskId
    team: TeamName
    resources: Resources
    lease_s: float
    payload: bytes = b""
    checkpoint: bytes = b""


class TaskReport(msgspec.Struct, frozen=True):
    """What a worker tells of a task; it is kept until acknowledged.

    ``usage`` is the measured use and lags behind. ``lease_left_s`` is the time
    after which the worker stops the task unless its lease is renewed.
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
    """A worker's answer to being adopted: what it is and what it holds."""

    host: HostName
    capacity: Resources
    tasks: tuple[TaskReport, ...]
    has_fencing: bool = True


class StartRefusal(Enum):
    """Why a worker did not start a task; it certainly does not run there."""

    CAPACITY = "capacity"
    DRAINING = "draining"
    BROKEN = "broken"
    STOPPED = "stopped"
    """The task was stopped before its start arrived."""


class StartResult(msgspec.Struct, frozen=True):
    """The outcome of one start; ``refusal`` is None if the task runs."""

    task: TaskId
    refusal: StartRefusal | None = None


class Worker(Protocol):
    """One worker; every call carries the fence of the shard's owner.

    Calls raise ``StaleFenceError`` if the worker has seen a newer epoch,
    ``WorkerUnavailableError`` if they had no effect and ``OutcomeUnknownError`` if they
    may have had. Each takes a timeout in seconds.
    """

    def adopt(self, fence: Fence, timeout_s: float) -> Adoption:
        """Raise the worker's fence and return everything it holds."""

    def start(
        self, fence: Fence, starts: Sequence[TaskStart], timeout_s: float
    ) -> tuple[StartResult, ...]:
        """Start several tasks, each by itself, in order."""

    def renew(
        self, fence: Fence, tasks: Sequence[TaskId], lease_s: float, timeout_s: float
    ) -> tuple[TaskReport, ...]:
        """Renew leases and return the reports of every task that it holds."""

    def checkpoint(self, fence: Fence, task: TaskId, timeout_s: float) -> None:
        """Ask a task to save its state and end as ``CHECKPOINTED``."""

    def throttle(
        self, fence: Fence, task: TaskId, cpu_millis: int, timeout_s: float
    ) -> None:
        """Bound the processor use of a task."""

    def stop(self, fence: Fence, tasks: Sequence[TaskId], timeout_s: float) -> None:
        """Stop tasks; one that is not known is never started afterwards."""

    def acknowledge(
        self, fence: Fence, tasks: Sequence[TaskId], timeout_s: float
    ) -> None:
        """Let the worker forget ended tasks whose outcome has been recorded."""
