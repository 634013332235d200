"""The jobs, workers and runs of a fleet, kept consistent with each other."""

from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.health import HealthTracker
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.quotas import Quotas
from gooseberrydeck_fleet.speeds import SpeedEstimator
from gooseberrydeck_fleet.state import Job, Run, Step, Task, Worker
from gooseberrydeck_fleet.work import JobState

__all__ = ["RUNS_PER_TOKEN", "Ledger", "RunNumbers"]

RUNS_PER_TOKEN = 1_000_000
"""Run numbers of one holding of the shard; a day starts far fewer tasks."""


class RunNumbers:
    """Numbers that rise across holders without being stored."""

    def __init__(self, token: int) -> None:
        """Begin above every number that a holder with a lower token has used."""
        self.last = token * RUNS_PER_TOKEN

    def next(self) -> int:
        """Return a number larger than all before."""
        self.last += 1
        return self.last


class Ledger:
    """Who runs what where, and what is still to be stored."""

    def __init__(self, token: int) -> None:
        """Begin empty."""
        self.run_numbers = RunNumbers(token)
        self.jobs: dict[JobId, Job] = {}
        self.workers: dict[WorkerId, Worker] = {}
        # Unset while an earlier holder may not know yet that it has been replaced.
        self.is_sole_scheduler = True
        self.quotas = Quotas()
        self.health = HealthTracker()
        self.speeds = SpeedEstimator()
        self.stopping: set[Run] = set()
        # Used as ordered sets: what changed first is stored first.
        self.changed: dict[JobId, None] = {}
        self.finished: dict[JobId, None] = {}

    def find_task(self, ref: TaskRef) -> Task | None:
        """Return a task of a job that has not been removed."""
        job = self.jobs.get(ref.job)
        step = job.steps.get(ref.step_ref) if job is not None else None
        if step is None or ref.number >= len(step.tasks):
            return None
        return step.tasks[ref.number]

    def add_run(self, task: Task, worker: Worker, number: int, now_s: float) -> Run:
        """Count a run before its start is sent, or when it is found on a worker."""
        job = task.step.job
        spec = task.step.spec
        team = job.record.team
        run = Run(task, number, worker, team, spec.allocation, spec.resources, now_s)
        task.runs.append(run)
        job.runs[task.ref, number] = run
        worker.add(run)
        self.quotas.add(team, spec.resources)
        return run

    def remove_run(self, run: Run) -> None:
        """Stop counting a run that has ended or never was."""
        job = run.task.step.job
        if job.runs.pop((run.task.ref, run.number), None) is None:
            return
        self.stopping.discard(run)
        run.task.runs.remove(run)
        run.worker.remove(run)
        self.quotas.subtract(run.team, run.quota_usage)
        if job.state.is_final and not job.runs:
            self.finished[job.id] = None

    def mark_running(self, job: Job) -> None:
        """Show a job as running once a worker has taken a task of it."""
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING

    def task_done(self, task: Task) -> None:
        """Record that a task has ended well."""
        if task.is_done:
            return
        task.is_done = True
        task.checkpoint = ""
        task.step.remaining_tasks -= 1
        self.changed[task.ref.job] = None

    def step_done(self, step: Step) -> None:
        """Record that all tasks of a step have ended well, as a gang does."""
        for task in step.tasks:
            self.task_done(task)
