"""The scheduler of one shard."""

import heapq
from collections.abc import Iterable, Mapping, Sequence

from gooseberrydeck_coordination.ids import HostName, JobId, TaskId, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.adoption import AdoptedTask, Adopter
from gooseberrydeck_scheduling.cell import Placer
from gooseberrydeck_scheduling.checks import find_refusal, find_refusal_by_size
from gooseberrydeck_scheduling.decisions import (
    Decision,
    Preempt,
    TaskEnd,
    WaitReport,
)
from gooseberrydeck_scheduling.exceptions import DuplicateJobError, JobRefusedError
from gooseberrydeck_scheduling.explaining import explain_wait
from gooseberrydeck_scheduling.jobs import JobRecord, JobSpec, TaskState
from gooseberrydeck_scheduling.outcomes import Outcomes
from gooseberrydeck_scheduling.placement import BestFit
from gooseberrydeck_scheduling.rules import QueueRules, SchedulerSettings
from gooseberrydeck_scheduling.starting import Starter
from gooseberrydeck_scheduling.state import SchedulerState
from gooseberrydeck_scheduling.workers import StopReason, WorkerInfo, WorkerStatus

__all__ = ["Scheduler"]


class Scheduler:
    """Decide which tasks start, stop and move in one shard.

    The scheduler performs no I/O and reads no clock: callers pass the time as
    wall-clock seconds, which must not decrease. ``tick`` returns the decisions and has
    already applied them to the scheduler's state; callers report the results through
    ``task_ended`` and ``start_refused``.
    """

    def __init__(
        self,
        rules: Iterable[QueueRules],
        settings: SchedulerSettings | None = None,
        placer: Placer | None = None,
        first_attempt: int = 0,
    ) -> None:
        """Create a scheduler without jobs or workers.

        ``first_attempt`` must be above every attempt number that earlier owners of the
        shard may have used, so that no task id is used twice.
        """
        self.state = SchedulerState(
            settings or SchedulerSettings(),
            {queue.name: queue for queue in rules},
            placer or BestFit(),
            first_attempt,
        )
        self.outcomes = Outcomes(self.state)
        self.adopter = Adopter(self.state, self.outcomes)
        self.starter = Starter(self.state)

    def set_rules(self, rules: Iterable[QueueRules]) -> None:
        """Replace the queue rules; jobs already tracked keep their old rules."""
        self.state.rules = {queue.name: queue for queue in rules}

    def set_shares(self, weights: Mapping[TeamName, float]) -> None:
        """Replace the weights of teams for fair sharing."""
        self.state.shares.set_weights(weights)

    def set_slices(self, units: Mapping[TeamName, int]) -> None:
        """Replace the limits on the running tasks of each team in this shard."""
        self.state.slices.set_units(units)

    def set_team_limits(self, limits: Mapping[TeamName, int]) -> None:
        """Replace the fleet-wide team limits, above which a gang is refused."""
        self.state.team_limits = dict(limits)

    def set_other_shards(
        self, capacity: Resources, used: Mapping[TeamName, Resources]
    ) -> None:
        """Set the capacity of the other shards and the resources teams use there."""
        self.state.other_shards_capacity = capacity
        self.state.shares.set_other_shards(used)
        self.state.update_capacity()

    def check(self, spec: JobSpec) -> None:
        """Raise ``JobRefusedError`` if a job can never run in this shard."""
        state = self.state
        refusal = find_refusal(spec, state.rules, state.settings, state.team_limits)
        refusal = refusal or find_refusal_by_size(spec, state.cell)
        if refusal is not None:
            raise JobRefusedError(spec.id, refusal.reason, refusal.detail)

    def submit(self, record: JobRecord, now_s: float) -> None:
        """Add a new job to the waiting jobs.

        Raise ``DuplicateJobError`` if the id is already tracked, or ``JobRefusedError``
        if the job can never run here.
        """
        if record.spec.id in self.state.jobs:
            raise DuplicateJobError(record.spec.id)
        self.check(record.spec)
        job = self.adopter.track(record, now_s)
        self.state.waiting.add(job)

    def recover(self, record: JobRecord, now_s: float) -> None:
        """Track a job that an earlier owner of the shard accepted.

        Its tasks may already be running, so they do not start before their workers are
        adopted or ``resolve_unconfirmed`` is called. Raise ``DuplicateJobError`` if the
        id is already tracked.
        """
        if record.spec.id in self.state.jobs:
            raise DuplicateJobError(record.spec.id)
        job = self.adopter.track(record, now_s)
        self.adopter.recover(job)
        if record.is_cancel_requested:
            self.outcomes.cancel(job, now_s)

    def resolve_unconfirmed(self, now_s: float, may_have_run: bool = False) -> None:
        """Release unconfirmed tasks: no unadopted worker can still be running them.

        Call this once every worker has been adopted or its task leases have expired.
        Set ``may_have_run`` if some worker was not adopted, since a task may have run
        to completion there.
        """
        self.adopter.resolve_unconfirmed(now_s, may_have_run)

    def cancel(self, jobs: Iterable[JobId], now_s: float) -> int:
        """Cancel those of the jobs that have not ended, and return their number."""
        found = [self.state.jobs[job] for job in jobs if job in self.state.jobs]
        for job in found:
            self.outcomes.cancel(job, now_s)
        return len(found)

    def extract_job(self, job: JobId) -> JobRecord:
        """Stop tracking a job without running tasks and return its record.

        This allows the job to move to another shard. Raise ``UnknownJobError`` if the
        job is not tracked.
        """
        tracked = self.state.job(job)
        self.state.remove_job(tracked)
        return tracked.record

    def find_movable_jobs(self, max_jobs: int) -> list[JobId]:
        """Return up to ``max_jobs`` waiting jobs that could move to another shard.

        These are jobs that could not be placed and of which nothing may be running.
        """
        found: list[JobId] = []
        for job in self.state.jobs.values():
            if len(found) >= max_jobs:
                break
            if job.running or job.unconfirmed or job.is_ending or not job.pending:
                continue
            if job.unplaced_since_s is not None:
                found.append(job.id)
        return found

    def worker_added(
        self, info: WorkerInfo, now_s: float, tasks: Sequence[AdoptedTask] = ()
    ) -> None:
        """Add an adopted worker with the tasks that it is running.

        A quarantined worker is reopened.
        """
        self.adopter.adopt(info, tasks, now_s)

    def worker_removed(self, host: HostName, now_s: float) -> None:
        """Remove a worker after all of its task leases have expired."""
        self.adopter.remove_worker(host, now_s)

    def worker_quarantined(self, host: HostName) -> None:
        """Start nothing more on an unreachable worker.

        Its tasks are still counted as running.
        """
        self.state.close(host, WorkerStatus.QUARANTINED)

    def worker_leaving(self, host: HostName, now_s: float) -> None:
        """Start nothing more on a draining worker and preempt its preemptible tasks."""
        state = self.state
        state.close(host, WorkerStatus.LEAVING)
        for running in state.cell.worker(host).tasks.values():
            if running.stop_reason is None and running.is_preemptible:
                running.stop_reason = StopReason.DRAIN
                grace_s = state.settings.grace_s
                running.stop_s = now_s + grace_s
                heapq.heappush(state.stop_deadlines, (running.stop_s, running.task))
                state.decisions.append(Preempt(running.task, host, grace_s))

    def task_ended(self, end: TaskEnd, now_s: float) -> JobId | None:
        """Process the end of a task; return the job whose record changed, or None.

        Raise ``UnknownTaskError`` if the task is not running.
        """
        return self.outcomes.task_ended(end, now_s)

    def start_refused(self, task: TaskId, is_broken: bool, now_s: float) -> None:
        """Process a worker's refusal to start a task, which therefore never ran.

        If the worker is broken, the refusal counts as a task failure in its health.
        """
        state = self.state
        running = state.release(task)
        job = state.jobs.get(running.job)
        if job is None or job.running.pop(running.index, None) is None:
            return
        job.record.tasks[running.index].attempt = running.attempt + 1
        if is_broken:
            state.health.failed(running.host, job.id, job.family, now_s)
            state.apply_health_changes()
        if job.is_ending:
            self.outcomes.finish_task(job, running.index, TaskState.CANCELLED)
            state.finish_if_done(job, now_s)
        elif job.spec.is_gang:
            self.outcomes.requeue_gang(job, running.index, now_s, now_s)
        else:
            self.outcomes.exclude(job, running.index, running.host)
            self.outcomes.requeue(job, running.index, now_s)

    def usage_reported(self, task: TaskId, usage: Resources) -> None:
        """Update the usage estimate with the measured usage of a running task."""
        running = self.state.cell.tasks.get(task)
        job = self.state.jobs.get(running.job) if running is not None else None
        if job is not None:
            self.state.estimator.observe_usage(job.spec, usage)

    def tick(self, now_s: float) -> list[Decision]:
        """Make all decisions that are due and return them."""
        state = self.state
        self.outcomes.requeue_due(now_s)
        self.stop_overdue(now_s)
        for host in state.health.due_probes(now_s):
            if host in state.cell.workers:
                state.probing.add(host)
        self.starter.run(now_s)
        decisions = state.decisions
        state.decisions = []
        return decisions

    def stop_overdue(self, now_s: float) -> None:
        """Stop tasks that exceeded their maximum run time or their grace period."""
        state = self.state
        while state.run_deadlines and state.run_deadlines[0][0] <= now_s:
            _, task = heapq.heappop(state.run_deadlines)
            running = state.cell.tasks.get(task)
            if running is not None and running.stop_reason is None:
                state.stop(running, StopReason.OVERTIME, now_s)
        while state.stop_deadlines and state.stop_deadlines[0][0] <= now_s:
            stop_s, task = heapq.heappop(state.stop_deadlines)
            running = state.cell.tasks.get(task)
            if running is not None and running.stop_s == stop_s:
                state.stop(running, running.stop_reason or StopReason.OVERTIME, now_s)

    def why_waiting(self, job: JobId) -> WaitReport:
        """Return why a job is waiting, or raise ``UnknownJobError``."""
        return explain_wait(self.state, self.state.job(job))

    @property
    def has_waiting(self) -> bool:
        """Whether any task is waiting to be started."""
        return self.state.waiting.count > 0
