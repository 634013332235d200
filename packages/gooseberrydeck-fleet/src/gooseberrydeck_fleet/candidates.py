"""The workers on which the waiting tasks of one step may start, best first."""

import heapq
from collections.abc import Iterable

from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.state import Step, Task, Worker
from gooseberrydeck_fleet.suspects import RUN_BESIDE_PENALTY, max_occupied_workers

__all__ = ["AVOID_FAILED_S", "Candidates"]

FAILED_PENALTY = 20.0
"""Ranks workers on which the task has failed behind all others."""

AVOID_FAILED_S = 3.0
"""How long a task waits for another worker before it returns to one it failed on."""


class Candidates:
    """Workers with free capacity for a step, ordered by their rank for it.

    Ranks are computed once for all tasks of a step; a start changes only that of its
    own worker.
    """

    def __init__(self, placer: Placer, workers: Iterable[Worker], step: Step) -> None:
        """Rank the workers that have free capacity for at least one task."""
        self.placer = placer
        self.step = step
        self.workers = list(workers)
        self.places = {worker.id: place for place, worker in enumerate(self.workers)}
        self.heap: list[tuple[float, int, Worker]] = []
        self.rebuild()

    def rebuild(self) -> None:
        """Rank all workers."""
        placer, step = self.placer, self.step
        placer.checked += len(self.workers)
        self.heap = [
            (placer.rank(worker, step), self.places[worker.id], worker)
            for _, worker in placer.with_room(self.workers, step)
        ]
        heapq.heapify(self.heap)

    def take(self, task: Task, now_s: float) -> Worker | None:
        """Remove and return the best worker for a task, or None.

        The caller starts the task there and then calls ``started``.
        """
        if not self.heap:
            return None
        suspects = self.placer.ledger.suspects
        is_suspect = suspects.is_suspect(task)
        if not task.failed_on and not is_suspect:
            return heapq.heappop(self.heap)[2]
        occupied = suspects.occupied_workers() if is_suspect else ()
        others: set[WorkerId] = set()
        if is_suspect:
            found = suspects.without_crashed(task, self.workers, now_s)
            others = {worker.id for worker in found}
        ready = self.placer.ready_workers(self.step.job.queue.service)
        max_occupied = max_occupied_workers(len(ready))
        best: tuple[float, int, Worker] | None = None
        for entry in self.heap:
            rank, place, worker = entry
            if is_suspect:
                if worker.id not in others or not suspects.allows(
                    task, worker, occupied, max_occupied, now_s
                ):
                    continue
                rank += RUN_BESIDE_PENALTY * len(worker.runs)
            failed_s = task.failed_on.get(worker.id)
            if failed_s is not None:
                if now_s - failed_s < AVOID_FAILED_S:
                    continue
                rank += FAILED_PENALTY
            if best is None or (rank, place) < best[:2]:
                best = rank, place, worker
        if best is None:
            return None
        self.heap = [entry for entry in self.heap if entry[1] != best[1]]
        heapq.heapify(self.heap)
        return best[2]

    def take_any(self) -> Worker:
        """Remove and return the best worker; there has to be one."""
        return heapq.heappop(self.heap)[2]

    def started(self, worker: Worker) -> None:
        """Rank a worker again after a task has started on it."""
        step = self.step
        if step.spec.same_rack:
            # The first start of a step draws its other tasks to the same rack.
            self.rebuild()
        elif self.placer.slots(worker, step) >= 1:
            rank = self.placer.rank(worker, step)
            heapq.heappush(self.heap, (rank, self.places[worker.id], worker))
