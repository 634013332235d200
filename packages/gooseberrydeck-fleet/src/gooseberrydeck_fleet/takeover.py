"""What a scheduler may do before it knows all runs that a predecessor started."""

import math
from typing import NamedTuple

from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.ids import TaskRef
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.start_permission import startable_tasks, worker_fenced
from gooseberrydeck_fleet.state import CLOCK_DRIFT, MAX_TASK_LEASE_S, Job, Worker
from gooseberrydeck_fleet.unknown_usage import UnknownUsage

__all__ = ["ReleasedJob", "Takeover"]


class ReleasedJob(NamedTuple):
    """A job that is not held any more, and its long-running tasks without a run."""

    job: JobId
    missing: tuple[TaskRef, ...]


class Takeover:
    """Hold back jobs that may have unknown runs, and release them.

    A predecessor may have started any task of a job that it knew. Such jobs are held
    until every worker has reported its runs, or its leases have expired. Workers that
    were closed before a job was stored don't count.
    """

    def __init__(self, ledger: Ledger, token: int, max_lease_s: float) -> None:
        """Create the state of a scheduler without a predecessor, for its token.

        ``max_lease_s`` is the longest lease that workers grant.
        """
        self.ledger = ledger
        extra_s = max(0.0, max_lease_s - MAX_TASK_LEASE_S)
        self.longest_lease_extra_s = extra_s / (1 - CLOCK_DRIFT)
        self.token = token
        self.held: dict[JobId, Job] = {}
        self.released: list[ReleasedJob] = []
        self.unknown_usage = UnknownUsage(ledger)
        self.predecessor_acts_until_s = 0.0
        self.was_predecessor_active = False

    def predecessor_may_act(self, until_s: float) -> None:
        """Mark a predecessor as possibly commanding workers until ``until_s``."""
        self.ledger.is_sole_scheduler = False
        self.was_predecessor_active = True
        self.ledger.may_predecessor_act = True
        self.predecessor_acts_until_s = until_s

    def predecessor_stopped(self, lease_expiry_s: float) -> None:
        """Mark the predecessor as stopped, which also limits its leases.

        The leases of all runs that it started expire by ``lease_expiry_s``.
        """
        self.ledger.may_predecessor_act = False
        for worker in self.ledger.workers.values():
            worker.fenced_from_s = 0.0
            if not worker.has_reported:
                extra_s = self.longest_lease_extra_s * worker.may_hold_longest_lease
                expiry_s = lease_expiry_s + extra_s
                worker.lease_expiry_s = min(worker.lease_expiry_s, expiry_s)
        self.become_sole_scheduler()

    def may_hold_longest_lease(self, worker: Worker) -> None:
        """Wait for the longest lease of a worker that hasn't replied, and record it."""
        if not worker.may_hold_longest_lease:
            worker.may_hold_longest_lease = True
            worker.is_recorded = False
            worker.lease_expiry_s += self.longest_lease_extra_s

    def expire_predecessor(self, now_s: float) -> None:
        """Become the sole scheduler once the predecessor can't act any more."""
        if not self.ledger.is_sole_scheduler and now_s >= self.predecessor_acts_until_s:
            self.become_sole_scheduler()
        if self.ledger.is_sole_scheduler:
            self.mark_fenced_runs(now_s)

    def mark_fenced_runs(self, now_s: float) -> None:
        """Mark the tasks as safe whose runs have outlasted held polls."""
        for worker in self.ledger.workers.values():
            if 0 < worker.fenced_from_s <= now_s:
                worker.fenced_from_s = 0.0
                worker_fenced(self.ledger, worker)

    def become_sole_scheduler(self) -> None:
        """Mark this scheduler as the only active one.

        Tasks whose runs are known now can have no other runs. Other tasks of a job that
        was accepted before this moment may have, on workers that haven't reported.
        """
        self.ledger.is_sole_scheduler = True
        for worker in self.ledger.workers.values():
            if not worker.fenced_from_s:
                worker_fenced(self.ledger, worker)
        for job in self.held.values():
            self.ledger.touch(job)

    def hold_if_unsafe(self, job: Job) -> None:
        """Hold a new job if a predecessor may have started tasks of it."""
        is_safe = self.ledger.is_sole_scheduler and not self.may_predecessor_know(job)
        if not is_safe and self.may_run_unreported(job, self.unreported_revision()):
            job.may_have_unknown_runs = True
            self.held[job.id] = job
            self.unknown_usage.job_held(job)

    def may_predecessor_know(self, job: Job) -> bool:
        """Return True if a predecessor may have learned of a job and gone on acting.

        A holder that learns of a job whose record names a newer token stops instead.
        The others may have been stored, and started, long before this scheduler learns
        of them.
        """
        is_newer = job.record.holder_token >= self.token
        return job.predates_takeover or (self.was_predecessor_active and not is_newer)

    def release(self, job: Job) -> None:
        """Let a job start all of its tasks."""
        job.may_have_unknown_runs = False
        self.held.pop(job.id, None)
        self.released.append(ReleasedJob(job.id, find_missing_tasks(job)))
        self.unknown_usage.job_released(job)
        self.ledger.finish_if_idle(job)
        self.ledger.touch(job)

    def release_held_jobs(self) -> None:
        """Let the jobs start tasks that can't run on workers that haven't reported."""
        if not self.held:
            return
        revision = self.unreported_revision()
        if revision == math.inf:
            return
        for job in list(self.held.values()):
            if not self.may_run_unreported(job, revision):
                self.release(job)

    def unreported_revision(self) -> float:
        """Return up to which revision jobs may run on workers that haven't reported."""
        return max(
            (
                math.inf if worker.closed_revision is None else worker.closed_revision
                for worker in self.ledger.workers.values()
                if not worker.has_reported
            ),
            default=-math.inf,
        )

    def may_run_unreported(self, job: Job, revision: float) -> bool:
        """Return True if a job may run on workers that haven't reported.

        Jobs that were stored after ``revision`` can't. The record of a cancelled job
        was stored again.
        """
        if revision == -math.inf:
            return False
        return job.record.is_cancelled or job.revision <= revision

    def update_unknown_usage(self) -> None:
        """Count the runs that held jobs may have against their teams' limits."""
        self.unknown_usage.update(self.held)

    def take_released(self) -> list[ReleasedJob]:
        """Return the jobs that were released since the last call, each once."""
        released, self.released = self.released, []
        return released

    def silent_workers(self) -> list[Worker]:
        """Return the workers that have not reported their runs."""
        workers = self.ledger.workers.values()
        return [worker for worker in workers if not worker.has_reported]


def find_missing_tasks(job: Job) -> tuple[TaskRef, ...]:
    """Return the long-running tasks of a job that should run and have no run."""
    standing = [step for step in job.open_steps.values() if step.spec.is_standing]
    return tuple(task.ref for step in standing for task in startable_tasks(step))
