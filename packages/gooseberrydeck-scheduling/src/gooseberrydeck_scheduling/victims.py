"""Selection of the running tasks to preempt for another task."""

from collections.abc import Callable
from itertools import islice

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.cell import Cell
from gooseberrydeck_scheduling.workers import RunningTask, WorkerState, WorkerStatus

__all__ = ["Victims", "find_victims"]

MAX_COMPARED_WORKERS = 32
"""Number of workers with suitable victims that are compared."""

MAX_SEARCHED_WORKERS = 256
"""Number of workers that one search examines."""


class Victims:
    """The tasks to preempt on one worker."""

    __slots__ = ("cost", "tasks", "worker")

    def __init__(self, worker: WorkerState, tasks: list[RunningTask]) -> None:
        """Compute the cost from the highest priority, the number and the size."""
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
    may_preempt: Callable[[RunningTask], bool],
    max_victims: int,
    rank: Callable[[TeamName], float],
    offset: int = 0,
) -> Victims | None:
    """Return the cheapest set of victims found, or None.

    Only preemptible tasks for which ``may_preempt`` returns true are chosen, those of
    teams with a high ``rank`` first. The search begins at worker number ``offset``, so
    that successive searches of a large cell cover different workers.
    """
    best: Victims | None = None
    plans = 0
    hosts = list(cell.workers)
    start = offset % len(hosts) if hosts else 0
    for host in islice(hosts[start:] + hosts[:start], MAX_SEARCHED_WORKERS):
        victims = victims_on(cell.workers[host], wanted, may_preempt, max_victims, rank)
        if victims is None:
            continue
        if best is None or victims.cost < best.cost:
            best = victims
        plans += 1
        if plans >= MAX_COMPARED_WORKERS:
            break
    return best


def victims_on(
    worker: WorkerState,
    wanted: Resources,
    may_preempt: Callable[[RunningTask], bool],
    max_victims: int,
    rank: Callable[[TeamName], float],
) -> Victims | None:
    """Return victims on one worker that make ``wanted`` fit, or None.

    Tasks are chosen by lowest priority, then highest rank of their team, then latest
    start. There are at most ``max_victims``.
    """
    if worker.status is not WorkerStatus.AVAILABLE:
        return None
    if not wanted.fits_in(worker.info.capacity) or worker.holds:
        return None
    eligible = [
        running
        for running in worker.tasks.values()
        if running.is_preemptible
        and running.stop_reason is None
        and may_preempt(running)
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
    return Victims(worker, drop_unneeded(chosen, free, wanted))


def drop_unneeded(
    chosen: list[RunningTask], free: Resources, wanted: Resources
) -> list[RunningTask]:
    """Return the chosen tasks without those that are not needed to fit ``wanted``."""
    needed = list(chosen)
    for running in reversed(chosen):
        left = free - running.resources
        if len(needed) > 1 and wanted.fits_in(left):
            needed.remove(running)
            free = left
    return needed
