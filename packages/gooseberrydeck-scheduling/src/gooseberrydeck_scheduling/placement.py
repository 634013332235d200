"""Find the worker on which a task leaves the most useful room."""

from collections.abc import Iterator

from gooseberrydeck_coordination.ids import HostName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.workers import WorkerState

__all__ = ["BestFit"]

LEVELS = 16
"""How many levels of free processors, and of free memory, the index tells apart."""

MAX_COMPARED = 4
"""How many fitting workers of one level are compared exactly."""

Workers = dict[HostName, WorkerState]
Position = tuple[int, int, int, int]


class BestFit:
    """Best fit over all resources, with an index by free amounts.

    Workers are grouped by whether they have accelerators and by how many of these are
    free; within a group, by levels of free processors and memory. A search looks at
    levels, of which there are at most 256 in a group, and compares few workers.
    """

    def __init__(self) -> None:
        """Begin without workers."""
        self.workers: Workers = {}
        self.groups: dict[tuple[int, int], dict[tuple[int, int], Workers]] = {}
        self.cpu_step = 1
        self.memory_step = 1

    def update(self, worker: WorkerState) -> None:
        """Put a worker where its free amounts belong."""
        capacity = worker.info.capacity
        if (
            capacity.cpu_millis >= self.cpu_step * LEVELS
            or capacity.memory_mib >= self.memory_step * LEVELS
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
        """Forget a worker."""
        self.workers.pop(worker.host, None)
        self.remove_from_index(worker)

    def position(self, worker: WorkerState) -> Position:
        """Return a worker's group and levels."""
        return (
            1 if worker.info.capacity.accelerators else 0,
            worker.free_accelerators,
            worker.free_cpu // self.cpu_step,
            worker.free_memory // self.memory_step,
        )

    def remove_from_index(self, worker: WorkerState) -> None:
        """Take a worker out of its level."""
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
        """Widen the levels so that ``capacity`` falls into the last one."""
        self.cpu_step = max(self.cpu_step, capacity.cpu_millis // (LEVELS - 1) + 1)
        self.memory_step = max(
            self.memory_step, capacity.memory_mib // (LEVELS - 1) + 1
        )
        self.groups.clear()
        for worker in self.workers.values():
            worker.position = None
        for worker in tuple(self.workers.values()):
            self.update(worker)

    def find(
        self, wanted: Resources, excluded: frozenset[HostName]
    ) -> WorkerState | None:
        """Return the tightest open worker with room, or None.

        Hosts without accelerators come first for tasks that need none, then those
        with the fewest free ones.
        """
        for key in self.group_order(wanted.accelerators):
            worker = self.find_in_group(self.groups[key], wanted, excluded)
            if worker is not None:
                return worker
        return None

    def group_order(self, accelerators: int) -> list[tuple[int, int]]:
        """Return the groups with enough free accelerators, best first."""
        return sorted(key for key in self.groups if key[1] >= accelerators)

    def find_in_group(
        self,
        group: dict[tuple[int, int], Workers],
        wanted: Resources,
        excluded: frozenset[HostName],
    ) -> WorkerState | None:
        """Return the tightest worker of a group, or None."""
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
        """Return False only if ``count`` such tasks certainly do not fit."""
        left = count
        for cpu, memory, accelerators, workers in self.levels():
            most = workers * self.max_tasks(cpu, memory, accelerators, wanted)
            left -= most
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
        """Return how many tasks a worker at the upper edge of a level would hold."""
        most = (cpu_level + 1) * self.cpu_step // max(1, wanted.cpu_millis)
        most = min(
            most, (memory_level + 1) * self.memory_step // max(1, wanted.memory_mib)
        )
        if wanted.accelerators:
            most = min(most, accelerators // wanted.accelerators)
        return most


def tightest(
    workers: Workers, wanted: Resources, excluded: frozenset[HostName]
) -> WorkerState | None:
    """Return the worker that is left with the least, of the first few that fit."""
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
    """Return the shares of processors and memory that would stay free."""
    capacity = worker.info.capacity
    cpu = (worker.free_cpu - wanted.cpu_millis) / max(1, capacity.cpu_millis)
    memory = (worker.free_memory - wanted.memory_mib) / max(1, capacity.memory_mib)
    return cpu + memory
