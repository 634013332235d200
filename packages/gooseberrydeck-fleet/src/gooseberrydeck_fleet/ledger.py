"""The jobs, workers and runs of a fleet, with consistent accounting."""

import math

from gooseberrydeck_coordination.ids import JobId, TeamName
from gooseberrydeck_fleet.duration_learner import DurationLearner
from gooseberrydeck_fleet.health import HealthTracker
from gooseberrydeck_fleet.ids import (
    MAX_NUMBERED_FAILURES,
    TaskRef,
    WorkerId,
    earlier_failures,
    run_number,
)
from gooseberrydeck_fleet.quotas import Quotas
from gooseberrydeck_fleet.speeds import SpeedEstimator
from gooseberrydeck_fleet.state import Job, Run, Step, Task, Worker
from gooseberrydeck_fleet.suspects import SuspectTracker
from gooseberrydeck_fleet.work import JobState

__all__ = ["RUNS_PER_TOKEN", "Ledger", "RunNumbers"]

RUNS_PER_TOKEN = 1_000_000
"""Size of the range of run numbers for one value of the fencing token.

A holder has as many of these ranges as values of the token: see ``TOKENS_PER_CLAIM``.
"""


class RunNumbers:
    """Run numbers that increase across fencing tokens without being stored."""

    def __init__(self, token: int) -> None:
        """Start above every number that was used with a lower token."""
        self.starts = 0
        self.base = token * RUNS_PER_TOKEN
        self.before_first = self.base + run_number(0, MAX_NUMBERED_FAILURES)

    def next(self, failures: int = 0) -> int:
        """Return the number of the next run, whose task has failed before."""
        self.starts += 1
        return self.base + run_number(self.starts, failures)

    def is_own(self, number: int) -> bool:
        """Return True if a run is not one of a predecessor."""
        return number > self.before_first


class Ledger:
    """All jobs, workers and runs, and the jobs with changes to store."""

    def __init__(self, token: int, durations: DurationLearner | None = None) -> None:
        """Create an empty ledger for a fencing token."""
        self.run_numbers = RunNumbers(token)
        self.jobs: dict[JobId, Job] = {}
        # Jobs that have ended, with their state if it is known, and when that was
        # learned in monotonic seconds.
        self.ended: dict[JobId, tuple[JobState | None, float]] = {}
        self.workers: dict[WorkerId, Worker] = {}
        # The time of the last decision or poll reply, in monotonic seconds.
        self.now_s = 0.0
        # False while a predecessor may not know yet that it has been replaced.
        self.is_sole_scheduler = True
        # True while a predecessor may act without having been refused or told.
        self.may_predecessor_act = False
        # When this scheduler certainly had no successor yet, in monotonic seconds.
        self.authority_confirmed_s = 0.0
        # When the leases of runs have to end at the latest, in monotonic seconds.
        self.lease_limit_s = math.inf
        self.quotas = Quotas()
        self.health = HealthTracker()
        self.suspects = SuspectTracker()
        self.speeds = SpeedEstimator()
        self.durations = durations or DurationLearner()
        self.stopping: set[Run] = set()
        # Tasks that silent workers may start late for a predecessor; jobs share it.
        self.late_starts: set[TaskRef] = set()
        self.team_runs: dict[TeamName, dict[Run, None]] = {}
        # Ordered sets: the job that changed first is stored first.
        self.changed: dict[JobId, None] = {}
        self.finished: dict[JobId, None] = {}
        # What has changed since the last scheduling pass: jobs whose steps may start
        # tasks, workers with more free capacity, teams with less usage, and whether
        # other workers accept runs.
        self.touched: dict[JobId, None] = {}
        self.freed: dict[WorkerId, Worker] = {}
        self.freed_teams: set[TeamName] = set()
        self.have_workers_changed = True

    def touch(self, job: Job) -> None:
        """Have the next scheduling pass evaluate the steps of a job again."""
        self.touched[job.id] = None

    def touch_all(self) -> None:
        """Have the next scheduling pass evaluate all jobs again."""
        self.touched.update(dict.fromkeys(self.jobs))

    def knows(self, job: JobId) -> bool:
        """Return True if a job is open, or is known to have ended."""
        return job in self.jobs or job in self.ended

    def open_occurrence(self, job: Job) -> None:
        """Open a job's next occurrence; its steps start once what they need is done."""
        for step in job.open_occurrence():
            job.open_steps[step.ref] = step
        self.touch(job)

    def open_reported(self, ref: TaskRef) -> None:
        """Open the occurrences of a job up to that of a task that a worker reports.

        A predecessor whose clock was ahead may have opened them.
        """
        job = self.jobs.get(ref.job)
        if job is None or job.state.is_final:
            return
        while job.next_occurrence <= ref.occurrence < job.occurrences:
            self.open_occurrence(job)

    def find_task(self, ref: TaskRef) -> Task | None:
        """Return a task, or None if its job is unknown or has no such task."""
        job = self.jobs.get(ref.job)
        step = job.steps.get(ref.step_ref) if job is not None else None
        if step is None or not 0 <= ref.number < len(step.tasks):
            return None
        return step.tasks[ref.number]

    def add_run(self, task: Task, worker: Worker, number: int, now_s: float) -> Run:
        """Add a run that is about to start, or that a worker has reported."""
        job = task.step.job
        spec = task.step.spec
        team = job.record.team
        run = Run(task, number, worker, team, spec.allocation, spec.resources, now_s)
        task.runs.append(run)
        task.record_failures(earlier_failures(number))
        job.runs[task.ref, number] = run
        worker.add(run)
        self.team_runs.setdefault(team, {})[run] = None
        self.quotas.add(team, spec.resources)
        return run

    def remove_run(self, run: Run) -> None:
        """Remove a run that has ended or never started, and free its resources."""
        job = run.task.step.job
        if job.runs.pop((run.task.ref, run.number), None) is None:
            return
        self.stopping.discard(run)
        run.task.runs.remove(run)
        run.worker.remove(run)
        self.team_runs[run.team].pop(run, None)
        self.quotas.subtract(run.team, run.quota_usage)
        self.touch(job)
        self.freed[run.worker.id] = run.worker
        self.freed_teams.add(run.team)
        self.finish_if_idle(job)

    def finish_if_idle(self, job: Job) -> None:
        """Have the end of a job stored if it has its final state and runs nothing."""
        if job.state.is_final and not job.runs and not job.may_have_unknown_runs:
            self.finished[job.id] = None

    def mark_running(self, job: Job) -> None:
        """Mark a queued job as running, once a worker has started a task of it."""
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING

    def task_done(self, task: Task) -> None:
        """Mark a task as done after a run of it has succeeded."""
        if task.is_done:
            return
        task.is_done = True
        task.checkpoint = ""
        task.step.remaining_tasks -= 1
        self.changed[task.ref.job] = None
        self.touch(task.step.job)

    def step_done(self, step: Step) -> None:
        """Mark all tasks of a step as done, for gangs, which succeed as a whole."""
        for task in step.tasks:
            self.task_done(task)
