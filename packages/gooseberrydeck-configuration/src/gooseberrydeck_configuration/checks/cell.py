"""Capacity of the cell as seen by the checks."""

import msgspec

from gooseberrydeck_coordination.ids import ServiceName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources

__all__ = ["MIN_TASK_CPU_MILLIS", "CellCapacity"]

MIN_TASK_CPU_MILLIS = 100


class CellCapacity(msgspec.Struct, frozen=True):
    """The total capacity of all workers and the endpoint slots of each service."""

    workers: Resources = NO_RESOURCES
    slots: dict[ServiceName, int] = {}

    @property
    def max_running(self) -> int:
        """Return an upper bound on concurrently running tasks and requests."""
        tasks = self.workers.cpu_millis // MIN_TASK_CPU_MILLIS
        return tasks + sum(self.slots.values())
