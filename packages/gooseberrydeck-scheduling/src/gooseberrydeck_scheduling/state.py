"""The state that the components of one scheduler share."""

import heapq
from collections.abc import Mapping

from gooseberrydeck_coordination.ids import HostName, JobId, QueueName, TaskId, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_scheduling.cell import Cell, Placer
from gooseberrydeck_scheduling.decisions import Decision, End, Start, Stop
from gooseberrydeck_scheduling.exceptions import UnknownJobError
from gooseberrydeck_scheduling.health import HealthChange, HealthTracker
from gooseberrydeck_scheduling.jobs import JobSpec, JobState, TaskState, task_id
from gooseberrydeck_scheduling.learning import FamilyEstimator
from gooseberrydeck_scheduling.limits import TeamSlices
from gooseberrydeck_scheduling.ordering import (
    Band,
    FairShares,
    TrackedJob,
    WaitingJobs,
)
from gooseberrydeck_scheduling.reservations import ReservationTable
from gooseberrydeck_scheduling.retries import TeamRetryBudgets
from gooseberrydeck_scheduling.rules import QueueRules, SchedulerSettings
from gooseberrydeck_scheduling.workers import RunningTask, StopReason, WorkerStatus

__all__ = ["SchedulerState"]

URGENT_PRIORITY = 1_000_000
"""Added to the priority of tasks in deadline queues to rank them above all others."""

STOP_RETRY_S = 5.0
"""Interval at which a stop is repeated until the task has ended."""

ALL_TASKS = -1
"""Index that stands for all tasks of a gang in the queue of delayed tasks."""


class SchedulerState:
    """Jobs, workers, resource accounting and pending decisions of one scheduler."""

    def __init__(
        self,
        settings: SchedulerSettings,
        rules: Mapping[QueueName, QueueRules],
        placer: Placer,
        first_attempt: int,
    ) -> None:
        """Create an empty state; task attempts are numbered from ``first_attempt``."""
        self.settings = settings
        self.rules = dict(rules)
        self.cell = Cell(placer)
        self.slices = TeamSlices()
        self.shares = FairShares()
        self.waiting = WaitingJobs()
        self.estimator = FamilyEstimator()
        self.health = HealthTracker(settings)
        self.retry_budgets = TeamRetryBudgets(settings)
        self.reservations = ReservationTable(self.cell)
        self.jobs: dict[JobId, TrackedJob] = {}
        self.decisions: list[Decision] = []
        self.delayed: list[tuple[float, int, JobId, int]] = []
        self.stop_deadlines: list[tuple[float, TaskId]] = []
        self.run_deadlines: list[tuple[float, TaskId]] = []
        self.team_limits: dict[TeamName, int] = {}
        self.largest_capacity = NO_RESOURCES
        self.other_shards_capacity = NO_RESOURCES
        self.probing: set[HostName] = set()
        self.first_attempt = first_attempt
        self.sequence = 0

    def next_sequence(self) -> int:
        """Return the next number of an increasing sequence."""
        self.sequence += 1
        return self.sequence

    def job(self, job: JobId) -> TrackedJob:
        """Return a job that has not ended, or raise ``UnknownJobError``."""
        try:
            return self.jobs[job]
        except KeyError:
            raise UnknownJobError(job) from None

    def update_capacity(self) -> None:
        """Recompute everything that depends on the set of workers."""
        self.health.worker_count = len(self.cell.workers)
        capacities = [worker.info.capacity for worker in self.cell]
        self.largest_capacity = Resources(
            max((capacity.cpu_millis for capacity in capacities), default=0),
            max((capacity.memory_mib for capacity in capacities), default=0),
        )
        self.shares.set_total(self.cell.capacity + self.other_shards_capacity)

    def start(self, job: TrackedJob, index: int, host: HostName, now_s: float) -> None:
        """Commit a pending task to a worker and record the decision to start it."""
        task = job.record.tasks[index]
        attempt = max(task.attempt, self.first_attempt)
        running = self.new_running_task(job, index, attempt, now_s)
        self.cell.commit(host, running)
        job.pending.remove(index)
        self.record_start(job, running)
        if not task.failures:
            self.retry_budgets.started(job.spec.team)
        self.decisions.append(
            Start(running.task, job.id, job.spec.team, host, job.spec.resources)
        )

    def new_running_task(
        self, job: TrackedJob, index: int, attempt: int, started_s: float
    ) -> RunningTask:
        """Return a running task for one attempt, not yet committed to a worker."""
        spec = job.spec
        priority = job.priority
        if job.band is Band.URGENT:
            priority += URGENT_PRIORITY
        return RunningTask(
            task_id(job.id, index, attempt),
            job.id,
            index,
            attempt,
            spec.team,
            spec.resources,
            started_s,
            started_s + self.estimator.typical_run_s(spec),
            priority,
            may_be_preempted(spec),
        )

    def record_start(self, job: TrackedJob, running: RunningTask) -> None:
        """Update the accounting for a task that was committed to a worker."""
        spec = job.spec
        job.running[running.index] = running.task
        job.record.state = JobState.RUNNING
        job.unplaced_since_s = None
        self.slices.started(spec.team)
        self.shares.add(spec.team, spec.resources)
        if not spec.is_standing:
            bound_s = min(spec.max_run_s, job.rules.max_run_s)
            end_s = running.started_s + bound_s
            heapq.heappush(self.run_deadlines, (end_s, running.task))

    def release(self, task: TaskId) -> RunningTask:
        """Free the resources of an ended task and return it.

        Raise ``UnknownTaskError`` if the task is not running.
        """
        running = self.cell.release(task)
        self.slices.ended(running.team)
        self.shares.subtract(running.team, running.resources)
        self.reservations.hold_freed(running.host)
        return running

    def stop(self, running: RunningTask, reason: StopReason, now_s: float) -> None:
        """Decide to stop a task; the stop is repeated until the task has ended."""
        running.stop_reason = reason
        running.stop_s = now_s + STOP_RETRY_S
        heapq.heappush(self.stop_deadlines, (running.stop_s, running.task))
        self.decisions.append(Stop(running.task, running.host, reason))

    def delay_task(self, job: TrackedJob, index: int, due_s: float) -> None:
        """Delay a task until ``due_s``; index ``ALL_TASKS`` delays a whole gang."""
        entry = (due_s, self.next_sequence(), job.id, index)
        heapq.heappush(self.delayed, entry)

    def finish_if_done(self, job: TrackedJob, now_s: float) -> None:
        """End a job once all of its tasks have ended."""
        if job.unfinished or job.running or job.unconfirmed:
            return
        record = job.record
        record.ended_s = now_s
        if job.is_cancelled:
            record.state = JobState.CANCELLED
        elif any(task.state is TaskState.FAILED for task in record.tasks):
            record.state = JobState.FAILED
        else:
            record.state = JobState.SUCCEEDED
        self.remove_job(job)
        self.decisions.append(End(job.id, record.state, record.reason))

    def remove_job(self, job: TrackedJob) -> None:
        """Stop tracking a job and release its reservation."""
        self.waiting.discard(job)
        self.reservations.release(job.id)
        self.health.forget_job(job.id)
        del self.jobs[job.id]

    def apply_health_changes(self) -> None:
        """Close and reopen workers whose health has changed."""
        for host, change in self.health.take_changes():
            if host not in self.cell.workers:
                continue
            self.probing.discard(host)
            if change is HealthChange.RESTORED:
                self.reopen(host)
                continue
            self.close(host, WorkerStatus.SET_ASIDE)
            if change is HealthChange.SET_ASIDE:
                for job in self.health.jobs_to_refund(host):
                    self.refund_failures(job, host)

    def reopen(self, host: HostName) -> None:
        """Reopen a worker that was set aside."""
        if self.cell.workers[host].status is WorkerStatus.SET_ASIDE:
            self.cell.set_status(host, WorkerStatus.AVAILABLE)

    def close(self, host: HostName, status: WorkerStatus) -> None:
        """Close a worker to new tasks and release the reservations that include it."""
        self.reservations.forget_worker(host)
        self.probing.discard(host)
        self.cell.set_status(host, status)

    def refund_failures(self, job_id: JobId, host: HostName) -> None:
        """Do not count the failures of a job on a faulty worker against its retries."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        for index, hosts in job.excluded.items():
            if host in hosts:
                task = job.record.tasks[index]
                task.failures = max(0, task.failures - 1)


def may_be_preempted(spec: JobSpec) -> bool:
    """Return whether the tasks of a job may be preempted individually."""
    return (
        spec.is_preemptible
        and spec.is_idempotent
        and not spec.is_gang
        and not spec.is_standing
    )
