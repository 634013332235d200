"""A fleet that observes how long its long-running tasks have no run.

The platform counts a long-running task as lost that has no run from 6 s after its last
one ended, for 3 s in which workers have room for it.
"""

import itertools
import random

from fleet_support import URGENT, Fleet, task_resources
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.work import StepSpec

MAX_WITHOUT_RUN_S = 6.0 + 3.0
"""How long a long-running task may have no run, of which the last ``ROOM_S`` count only
if a worker has room for it."""

ROOM_S = 3.0
RACKS = 3
RACK_SIZE = 8
TASKS = 8
"""Tasks of each long-running job."""

ONE = task_resources()
BATCH = task_resources(cores=2.5)
BATCH_JOBS_PER_S = 2.0
TICK_S = 0.1


class StandingFleet(Fleet):
    """A fleet that observes how long each long-running task has had no run."""

    def __init__(self, workers: int = RACKS * RACK_SIZE) -> None:
        self.standing: list[TaskRef] = []
        self.last_run_s: dict[TaskRef, float] = {}
        self.room_since_s: float | None = None
        # The longest time without a run, with room at its end.
        self.longest_s: dict[TaskRef, float] = {}
        self.rng = random.Random(1)
        self.batch_numbers = itertools.count()
        super().__init__(workers)

    def submit_standing(self, jobs: int) -> None:
        """Submit long-running jobs."""
        for number in range(jobs):
            spec = StepSpec(TASKS, ONE, is_standing=True)
            job = self.submit(f"standing{number}", spec)
            self.standing += [TaskRef(job, 0, 0, each) for each in range(TASKS)]

    def step(self) -> None:
        """Go on, and observe the long-running tasks."""
        super().step()
        running = {task for engine in self.engines.values() for task in engine.runs}
        workers = self.scheduler.ledger.workers.values()
        if not any(each.can_start and ONE.fits_in(each.free) for each in workers):
            self.room_since_s = None
        elif self.room_since_s is None:
            self.room_since_s = self.now_s
        has_room = (
            self.room_since_s is not None and self.now_s - self.room_since_s >= ROOM_S
        )
        for task in self.standing:
            without_s = self.now_s - self.last_run_s.get(task, self.now_s)
            if task in running or task not in self.last_run_s:
                self.last_run_s[task] = self.now_s
            elif has_room and without_s > self.longest_s.get(task, 0.0):
                self.longest_s[task] = without_s

    def work_for(self, seconds: float) -> None:
        """Go on while short jobs arrive."""
        for _ in range(round(seconds / TICK_S)):
            if self.rng.random() < BATCH_JOBS_PER_S * TICK_S:
                name = f"batch{next(self.batch_numbers)}"
                self.submit(name, StepSpec(6, BATCH), queue_name=URGENT, seconds=1.0)
            self.run_for(TICK_S)

    def crash_rack(self, rack: int) -> None:
        """Crash the workers that are up in a rack."""
        for worker in list(self.engines.keys() - self.down.keys()):
            if self.place(worker) // RACK_SIZE == rack % RACKS:
                self.crash_worker(worker)

    def standing_runs(self) -> list[TaskRef]:
        """Return the long-running tasks that run."""
        tasks = {task for engine in self.engines.values() for task in engine.runs}
        return [task for task in self.standing if task in tasks]

    def worker_of(self, task: TaskRef) -> WorkerId:
        """Return the worker that runs a task."""
        (worker,) = (each for each, by in self.engines.items() if task in by.runs)
        return worker

    def place(self, worker: WorkerId) -> int:
        """Return the number of a worker, whatever it is called since its rebirth."""
        return int(worker.strip("w-"))

    def too_long(self) -> dict[TaskRef, float]:
        """Return the tasks that stood still for too long, and how long."""
        return {
            task: round(seconds, 2)
            for task, seconds in self.longest_s.items()
            if seconds > MAX_WITHOUT_RUN_S
        }
