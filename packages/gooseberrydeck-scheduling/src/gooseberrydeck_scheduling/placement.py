"""Best-fit placement of tasks on workers."""

from collections.abc import Iterator

from gooseberrydeck_coordination.ids import HostName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.workers import WorkerState

__all__ = ["BestFit"]

INDEX_LEVELS = 16
"""Number of index levels each for free processors and free memory."""

MAX_COMPARED = 4
"""Number of fitting workers of one level that are compared exactly."""

Workers = dict[HostName, WorkerState]
Position = tuple[int, int, int, int]


class BestFit:
    """Best fit over all resources, with an index by free resources.

    Workers are grouped by whether they have accelerators and by the number of free
    ones, and within a group by levels of free processors and memory. A search visits at
    most 256 levels of a group and compares only a few workers.
    """

    def __init__(self) -> None:
        """Create a placer without workers."""
        self.workers: Workers = {}
        self.groups: dict[tuple[int, int], dict[tuple[int, int], Workers]] = {}
        self.cpu_step = 1
        self.memory_step = 1

    def update(self, worker: WorkerState) -> None:
        """Add a worker to the index, or move it to its current position."""
        capacity = worker.info.capacity
        if (
            capacity.cpu_millis >= self.cpu_step * INDEX_LEVELS
            or capacity.memory_mib >= self.memory_step * INDEX_LEVELS
        ):
            self.rebuild(capacity)
        self.workers[worker.host] = worker
        position = self.position(worker)
        if position == worker.position:
            return
        self.remove_from_index(worker)
        worker.position = position
        group = self.groups.setdefault(position[:2], {})
        group.setdefault(position[2:], {})[worker.host] = worker

    def remove(self, worker: WorkerState) -> None:
        """Remove a worker from the index."""
        self.workers.pop(worker.host, None)
        self.remove_from_index(worker)

    def position(self, worker: WorkerState) -> Position:
        """Return the position of a worker in the index."""
        return (
            1 if worker.info.capacity.accelerators else 0,
            worker.free_accelerators,
            worker.free_cpu // self.cpu_step,
            worker.free_memory // self.memory_step,
        )

    def remove_from_index(self, worker: WorkerState) -> None:
        """Remove a worker from its index position."""
        position = worker.position
        if position is None:
            return
        worker.position = None
        group = self.groups[position[:2]]
        level = group[position[2:]]
        del level[worker.host]
        if level:
            return
        del group[position[2:]]
        if not group:
            del self.groups[position[:2]]

    def rebuild(self, capacity: Resources) -> None:
        """Recompute the index for a worker larger than those indexed so far."""
        self.cpu_step = max(
            self.cpu_step, capacity.cpu_millis // (INDEX_LEVELS - 1) + 1
        )
        self.memory_step = max(
            self.memory_step, capacity.memory_mib // (INDEX_LEVELS - 1) + 1
        )
        self.groups.clear()
        for worker in self.workers.values():
            worker.position = None
        for worker in tuple(self.workers.values()):
            self.update(worker)

    def find(
        self, wanted: Resources, excluded: frozenset[HostName]
    ) -> WorkerState | None:
        """Return the tightest worker on which ``wanted`` fits, or None.

        Tasks without accelerators prefer hosts without them, and then those with the
        fewest free ones.
        """
        for key in self.group_order(wanted.accelerators):
            worker = self.find_in_group(self.groups[key], wanted, excluded)
            if worker is not None:
                return worker
        return None

    def group_order(self, accelerators: int) -> list[tuple[int, int]]:
        """Return the groups with enough free accelerators, in order of preference."""
        return sorted(key for key in self.groups if key[1] >= accelerators)

    def find_in_group(
        self,
        group: dict[tuple[int, int], Workers],
        wanted: Resources,
        excluded: frozenset[HostName],
    ) -> WorkerState | None:
        """Return the tightest fitting worker of a group, or None."""
        cpu_level = wanted.cpu_millis // self.cpu_step
        memory_level = wanted.memory_mib // self.memory_step
        levels = [
            (cpu + memory, cpu, memory)
            for cpu, memory in group
            if cpu >= cpu_level and memory >= memory_level
        ]
        levels.sort()
        for _, cpu, memory in levels:
            worker = tightest(group[(cpu, memory)], wanted, excluded)
            if worker is not None:
                return worker
        return None

    def may_fit(self, wanted: Resources, count: int) -> bool:
        """Return False only if ``count`` tasks of this size certainly do not fit."""
        left = count
        for cpu, memory, accelerators, workers in self.levels():
            max_count = workers * self.max_tasks(cpu, memory, accelerators, wanted)
            left -= max_count
            if left <= 0:
                return True
        return False

    def levels(self) -> Iterator[tuple[int, int, int, int]]:
        """Yield processor level, memory level, accelerators and number of workers."""
        for (_, accelerators), group in self.groups.items():
            for (cpu, memory), workers in group.items():
                yield cpu, memory, accelerators, len(workers)

    def max_tasks(
        self, cpu_level: int, memory_level: int, accelerators: int, wanted: Resources
    ) -> int:
        """Return an upper bound of the tasks that fit on a worker of a level."""
        max_count = (cpu_level + 1) * self.cpu_step // max(1, wanted.cpu_millis)
        max_count = min(
            max_count,
            (memory_level + 1) * self.memory_step // max(1, wanted.memory_mib),
        )
        if wanted.accelerators:
            max_count = min(max_count, accelerators // wanted.accelerators)
        return max_count


def tightest(
    workers: Workers, wanted: Resources, excluded: frozenset[HostName]
) -> WorkerState | None:
    """Return the worker with the least left over among the first few that fit."""
    best: WorkerState | None = None
    best_left = 0.0
    compared = 0
    for worker in workers.values():
        if not worker.has_room(wanted) or worker.host in excluded:
            continue
        left = free_share_left(worker, wanted)
        if best is None or left < best_left:
            best = worker
            best_left = left
        compared += 1
        if compared >= MAX_COMPARED:
            break
    return best


def free_share_left(worker: WorkerState, wanted: Resources) -> float:
    """Return the sum of the shares of processors and memory left free."""
    capacity = worker.info.capacity
    cpu = (worker.free_cpu - wanted.cpu_millis) / max(1, capacity.cpu_millis)
    memory = (worker.free_memory - wanted.memory_mib) / max(1, capacity.memory_mib)
    return cpu + memory
