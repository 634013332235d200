"""What the hosts of the cell offer, as the checks need it."""

import msgspec

from gooseberrydeck_coordination.ids import ServiceName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources

__all__ = ["SMALLEST_TASK_CPU_MILLIS", "CellCapacity"]

SMALLEST_TASK_CPU_MILLIS = 100


class CellCapacity(msgspec.Struct, frozen=True):
    """The workers' total capacity and the endpoint slots of each service."""

    workers: Resources = NO_RESOURCES
    slots: dict[ServiceName, int] = {}

    @property
    def max_running(self) -> int:
        """Return how many tasks and requests the cell can run at once at most."""
        tasks = self.workers.cpu_millis // SMALLEST_TASK_CPU_MILLIS
        return tasks + sum(self.slots.values())
