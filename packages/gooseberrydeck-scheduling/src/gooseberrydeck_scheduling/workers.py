"""Workers and the tasks committed on them."""

from enum import Enum

import msgspec

from gooseberrydeck_coordination.ids import (
    DataCentre,
    HostName,
    JobId,
    Rack,
    ShardId,
    TaskId,
    TeamName,
)
from gooseberrydeck_coordination.resources import Resources

__all__ = ["RunningTask", "StopReason", "WorkerInfo", "WorkerState", "WorkerStatus"]


class WorkerInfo(msgspec.Struct, frozen=True):
    """Static description of a worker, as given by the owner of its shard."""

    host: HostName
    capacity: Resources
    rack: Rack
    data_centre: DataCentre
    shard: ShardId = ShardId(0)


class WorkerStatus(Enum):
    """Whether a worker accepts new tasks; only an available one does.

    A worker is set aside because tasks fail on it, quarantined while it is unreachable,
    and leaving while it drains.
    """

    AVAILABLE = "available"
    PROBING = "probing"
    SET_ASIDE = "set_aside"
    QUARANTINED = "quarantined"
    LEAVING = "leaving"


class StopReason(Enum):
    """Why a running task was told to stop."""

    PREEMPTION = "preemption"
    CANCELLATION = "cancellation"
    OVERTIME = "overtime"
    DRAIN = "drain"
    GANG = "gang"
    ORPHAN = "orphan"


class RunningTask:
    """One attempt of a task that is committed on a worker.

    ``stop_s`` is the time at which the task is stopped if it has not ended by then.
    """

    __slots__ = (
        "attempt",
        "expected_end_s",
        "host",
        "index",
        "is_preemptible",
        "job",
        "priority",
        "resources",
        "started_s",
        "stop_reason",
        "stop_s",
        "task",
        "team",
    )

    def __init__(
        self,
        task: TaskId,
        job: JobId,
        index: int,
        attempt: int,
        team: TeamName,
        resources: Resources,
        started_s: float,
        expected_end_s: float,
        priority: int = 0,
        is_preemptible: bool = True,
    ) -> None:
        """Describe an attempt; ``host`` is set when it is committed."""
        self.task = task
        self.job = job
        self.index = index
        self.attempt = attempt
        self.team = team
        self.resources = resources
        self.started_s = started_s
        self.expected_end_s = expected_end_s
        self.priority = priority
        self.is_preemptible = is_preemptible
        self.host = HostName("")
        self.stop_reason: StopReason | None = None
        self.stop_s = 0.0


class WorkerState:
    """A worker with its free resources, running tasks and held reservations."""

    __slots__ = (
        "free_accelerators",
        "free_cpu",
        "free_memory",
        "holds",
        "host",
        "info",
        "position",
        "status",
        "tasks",
    )

    def __init__(self, info: WorkerInfo) -> None:
        """Create a worker on which everything is free."""
        self.info = info
        self.host = info.host
        self.free_cpu = info.capacity.cpu_millis
        self.free_memory = info.capacity.memory_mib
        self.free_accelerators = info.capacity.accelerators
        self.status = WorkerStatus.AVAILABLE
        self.tasks: dict[TaskId, RunningTask] = {}
        self.holds: dict[JobId, Resources] = {}
        self.position: tuple[int, int, int, int] | None = None

    @property
    def free(self) -> Resources:
        """The resources that are neither committed nor held."""
        return Resources(self.free_cpu, self.free_memory, self.free_accelerators)

    def has_room(self, wanted: Resources) -> bool:
        """Return whether ``wanted`` fits in the free resources."""
        return (
            wanted.cpu_millis <= self.free_cpu
            and wanted.memory_mib <= self.free_memory
            and wanted.accelerators <= self.free_accelerators
        )

    def allocate(self, wanted: Resources) -> None:
        """Subtract from the free resources."""
        self.free_cpu -= wanted.cpu_millis
        self.free_memory -= wanted.memory_mib
        self.free_accelerators -= wanted.accelerators

    def deallocate(self, returned: Resources) -> None:
        """Add to the free resources."""
        self.free_cpu += returned.cpu_millis
        self.free_memory += returned.memory_mib
        self.free_accelerators += returned.accelerators
