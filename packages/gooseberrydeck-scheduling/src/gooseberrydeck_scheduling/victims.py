"""Choose the running tasks that make room for one with a better claim."""

from collections.abc import Callable
from itertools import islice

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.cell import Cell
from gooseberrydeck_scheduling.workers import RunningTask, WorkerState, WorkerStatus

__all__ = ["Victims", "find_victims"]

MAX_PLANS = 32
"""How many workers with a possible choice are compared."""

MAX_WORKERS = 256
"""How many workers are looked at in one search."""


class Victims:
    """The tasks to end on one worker."""

    __slots__ = ("cost", "tasks", "worker")

    def __init__(self, worker: WorkerState, tasks: list[RunningTask]) -> None:
        """Rank by the highest priority among the tasks, then by their number."""
        self.worker = worker
        self.tasks = tasks
        self.cost = (
            max(running.priority for running in tasks),
            len(tasks),
            sum(running.resources.cpu_millis for running in tasks),
        )


def find_victims(
    cell: Cell,
    wanted: Resources,
    may_end: Callable[[RunningTask], bool],
    max_victims: int,
    rank: Callable[[TeamName], float],
    offset: int = 0,
) -> Victims | None:
    """Return the cheapest choice found, or None.

    Only preemptible tasks for which ``may_end`` holds are chosen, those of teams of a
    high ``rank`` first. ``offset`` says with which worker to begin, so that searches
    in a large cell do not fall on the same ones.
    """
    best: Victims | None = None
    plans = 0
    hosts = list(cell.workers)
    start = offset % len(hosts) if hosts else 0
    for host in islice(hosts[start:] + hosts[:start], MAX_WORKERS):
        victims = victims_on(cell.workers[host], wanted, may_end, max_victims, rank)
        if victims is None:
            continue
        if best is None or victims.cost < best.cost:
            best = victims
        plans += 1
        if plans >= MAX_PLANS:
            break
    return best


def victims_on(
    worker: WorkerState,
    wanted: Resources,
    may_end: Callable[[RunningTask], bool],
    max_victims: int,
    rank: Callable[[TeamName], float],
) -> Victims | None:
    """Return the fewest and lowest tasks of one worker that make room, or None."""
    if worker.status is not WorkerStatus.AVAILABLE:
        return None
    if not wanted.fits_in(worker.info.capacity) or worker.holds:
        return None
    eligible = [
        running
        for running in worker.tasks.values()
        if running.is_preemptible and running.ending is None and may_end(running)
    ]
    eligible.sort(
        key=lambda running: (
            running.priority,
            -rank(running.team),
            -running.started_s,
        )
    )
    chosen: list[RunningTask] = []
    free = worker.free
    for running in eligible:
        if wanted.fits_in(free):
            break
        if len(chosen) >= max_victims:
            return None
        chosen.append(running)
        free = free + running.resources
    if not chosen or not wanted.fits_in(free):
        return None
    return Victims(worker, without_needless(chosen, free, wanted))


def without_needless(
    chosen: list[RunningTask], free: Resources, wanted: Resources
) -> list[RunningTask]:
    """Leave out the tasks whose room turned out not to be needed."""
    needed = list(chosen)
    for running in reversed(chosen):
        left = free - running.resources
        if len(needed) > 1 and wanted.fits_in(left):
            needed.remove(running)
            free = left
    return needed
