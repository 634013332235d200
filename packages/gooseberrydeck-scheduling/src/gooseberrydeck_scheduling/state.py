"""What the parts of one scheduler share."""

import heapq
from collections.abc import Mapping

from gooseberrydeck_coordination.ids import HostName, JobId, QueueName, TaskId, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_scheduling.cell import Cell, Placer
from gooseberrydeck_scheduling.decisions import Decision, End, Start, Stop
from gooseberrydeck_scheduling.exceptions import UnknownJobError
from gooseberrydeck_scheduling.gangs import ReservationBook
from gooseberrydeck_scheduling.health import HealthBook, Verdict
from gooseberrydeck_scheduling.jobs import JobSpec, JobState, TaskState, task_id
from gooseberrydeck_scheduling.learning import Learner
from gooseberrydeck_scheduling.limits import TeamSlices
from gooseberrydeck_scheduling.ordering import (
    Band,
    FairShares,
    TrackedJob,
    WaitingJobs,
)
from gooseberrydeck_scheduling.retries import TeamRetryBudgets
from gooseberrydeck_scheduling.rules import QueueRules, SchedulerSettings
from gooseberrydeck_scheduling.workers import Ending, RunningTask, WorkerStatus

__all__ = ["SchedulerState"]

URGENT_PRIORITY = 1_000_000
"""Added to the priority of urgent work, so that it is above all other."""

STOP_AGAIN_S = 5.0

WHOLE_JOB = -1
"""In place of a task's index: the job as a whole is due."""


class SchedulerState:
    """Jobs, workers and the books kept of them."""

    def __init__(
        self,
        settings: SchedulerSettings,
        rules: Mapping[QueueName, QueueRules],
        placer: Placer,
        first_attempt: int,
    ) -> None:
        """Begin empty; task attempts are numbered from ``first_attempt`` on."""
        self.settings = settings
        self.rules = dict(rules)
        self.cell = Cell(placer)
        self.slices = TeamSlices()
        self.shares = FairShares()
        self.waiting = WaitingJobs()
        self.learner = Learner()
        self.health = HealthBook(settings)
        self.budgets = TeamRetryBudgets(settings)
        self.reservations = ReservationBook(self.cell)
        self.jobs: dict[JobId, TrackedJob] = {}
        self.decisions: list[Decision] = []
        self.delayed: list[tuple[float, int, JobId, int]] = []
        self.stops: list[tuple[float, TaskId]] = []
        self.overtime: list[tuple[float, TaskId]] = []
        self.team_limits: dict[TeamName, int] = {}
        self.largest = NO_RESOURCES
        self.capacity_elsewhere = NO_RESOURCES
        self.probing: set[HostName] = set()
        self.first_attempt = first_attempt
        self.sequence = 0

    def next_sequence(self) -> int:
        """Return a number larger than any before."""
        self.sequence += 1
        return self.sequence

    def job(self, job: JobId) -> TrackedJob:
        """Return a job that has not ended, or raise ``UnknownJobError``."""
        try:
            return self.jobs[job]
        except KeyError:
            raise UnknownJobError(job) from None

    def capacity_changed(self) -> None:
        """Take over the workers' number and total into the other books."""
        self.health.workers = len(self.cell.workers)
        capacities = [worker.info.capacity for worker in self.cell]
        self.largest = Resources(
            max((capacity.cpu_millis for capacity in capacities), default=0),
            max((capacity.memory_mib for capacity in capacities), default=0),
        )
        self.shares.set_total(self.cell.capacity + self.capacity_elsewhere)

    def start(self, job: TrackedJob, index: int, host: HostName, now_s: float) -> None:
        """Commit a pending task and decide its start."""
        task = job.record.tasks[index]
        attempt = max(task.attempt, self.first_attempt)
        running = self.describe_task(job, index, attempt, now_s)
        self.cell.commit(host, running)
        job.pending.remove(index)
        self.count_running(job, running)
        if not task.failures:
            self.budgets.started(job.spec.team)
        self.decisions.append(
            Start(running.task, job.id, job.spec.team, host, job.spec.resources)
        )

    def describe_task(
        self, job: TrackedJob, index: int, attempt: int, started_s: float
    ) -> RunningTask:
        """Return a running task of a job, not yet committed."""
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
            started_s + self.learner.typical_run_s(spec),
            priority,
            is_victim(spec),
        )

    def count_running(self, job: TrackedJob, running: RunningTask) -> None:
        """Enter a committed task into the books."""
        spec = job.spec
        job.running[running.index] = running.task
        job.record.state = JobState.RUNNING
        job.unfit_since_s = None
        self.slices.started(spec.team)
        self.shares.add(spec.team, spec.resources)
        if not spec.is_standing:
            bound_s = min(spec.max_run_s, job.rules.max_run_s)
            end_s = running.started_s + bound_s
            heapq.heappush(self.overtime, (end_s, running.task))

    def release(self, task: TaskId) -> RunningTask:
        """Take an ended task out of the books, or raise ``UnknownTaskError``."""
        running = self.cell.release(task)
        self.slices.ended(running.team)
        self.shares.subtract(running.team, running.resources)
        self.reservations.regain(running.host)
        return running

    def stop(self, running: RunningTask, ending: Ending, now_s: float) -> None:
        """Decide to stop a task, and to do so again until it has ended."""
        running.ending = ending
        running.stop_s = now_s + STOP_AGAIN_S
        heapq.heappush(self.stops, (running.stop_s, running.task))
        self.decisions.append(Stop(running.task, running.host, ending))

    def wait(self, job: TrackedJob, index: int, due_s: float) -> None:
        """Let a task wait until a time before it may start again."""
        entry = (due_s, self.next_sequence(), job.id, index)
        heapq.heappush(self.delayed, entry)

    def finish_if_done(self, job: TrackedJob, now_s: float) -> None:
        """End a job whose tasks have all ended."""
        if job.left or job.running or job.doubtful:
            return
        record = job.record
        record.ended_s = now_s
        if job.is_cancelled:
            record.state = JobState.CANCELLED
        elif any(task.state is TaskState.FAILED for task in record.tasks):
            record.state = JobState.FAILED
        else:
            record.state = JobState.SUCCEEDED
        self.forget(job)
        self.decisions.append(End(job.id, record.state, record.reason))

    def forget(self, job: TrackedJob) -> None:
        """Drop a job from every book."""
        self.waiting.discard(job)
        self.reservations.release(job.id)
        self.health.forget_job(job.id)
        del self.jobs[job.id]

    def apply_verdicts(self) -> None:
        """Open and close workers as their health has changed."""
        for host, verdict in self.health.take_changes():
            if host not in self.cell.workers:
                continue
            self.probing.discard(host)
            if verdict is Verdict.RESTORED:
                self.reopen(host)
                continue
            self.close(host, WorkerStatus.SET_ASIDE)
            if verdict is Verdict.SET_ASIDE:
                for job in self.health.refunds(host):
                    self.refund(job, host)

    def reopen(self, host: HostName) -> None:
        """Let a worker that was set aside take tasks again."""
        if self.cell.workers[host].status is WorkerStatus.SET_ASIDE:
            self.cell.set_status(host, WorkerStatus.AVAILABLE)

    def close(self, host: HostName, status: WorkerStatus) -> None:
        """Give a worker no new tasks."""
        self.reservations.forget_worker(host)
        self.probing.discard(host)
        self.cell.set_status(host, status)

    def refund(self, job_id: JobId, host: HostName) -> None:
        """Take back the failures of a job that a bad worker explains."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        for index, hosts in job.excluded.items():
            if host in hosts:
                task = job.record.tasks[index]
                task.failures = max(0, task.failures - 1)


def is_victim(spec: JobSpec) -> bool:
    """Tell whether a job's tasks may be ended for others, one by one."""
    return (
        spec.is_preemptible
        and spec.is_idempotent
        and not spec.is_gang
        and not spec.is_standing
    )
