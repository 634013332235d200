"""The scheduler that the owner of a shard uses."""

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
from gooseberrydeck_scheduling.jobs import JobRecord, JobSpec
from gooseberrydeck_scheduling.outcomes import Outcomes
from gooseberrydeck_scheduling.placement import BestFit
from gooseberrydeck_scheduling.rules import QueueRules, SchedulerSettings
from gooseberrydeck_scheduling.starting import Starter
from gooseberrydeck_scheduling.state import SchedulerState
from gooseberrydeck_scheduling.workers import StopReason, WorkerInfo, WorkerStatus

__all__ = ["Scheduler"]


class Scheduler:
    """Decide what starts where, from jobs, workers and the time it is given.

    It calls nothing and has no clock. Times are wall-clock seconds that never go
    back. What it decides is returned by ``tick`` and already counted as done; what
    comes of it is told by ``task_ended`` and ``start_refused``.
    """

    def __init__(
        self,
        rules: Iterable[QueueRules],
        settings: SchedulerSettings | None = None,
        placer: Placer | None = None,
        first_attempt: int = 0,
    ) -> None:
        """Begin empty.

        An owner passes a ``first_attempt`` above all that earlier owners can have
        used, so that no task id is ever used twice.
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
        """Replace the rules of queues; jobs already known keep theirs."""
        self.state.rules = {queue.name: queue for queue in rules}

    def set_shares(self, weights: Mapping[TeamName, float]) -> None:
        """Replace the teams' weights."""
        self.state.shares.set_weights(weights)

    def set_slices(self, units: Mapping[TeamName, int]) -> None:
        """Replace the bounds of running tasks in this shard."""
        self.state.slices.set_units(units)

    def set_team_limits(self, limits: Mapping[TeamName, int]) -> None:
        """Replace the teams' limits in the fleet, above which a gang is refused."""
        self.state.team_limits = dict(limits)

    def set_other_shards(
        self, capacity: Resources, used: Mapping[TeamName, Resources]
    ) -> None:
        """Take in the capacity of the other shards and what teams use there."""
        self.state.other_shards_capacity = capacity
        self.state.shares.set_other_shards(used)
        self.state.update_capacity()

    def check(self, spec: JobSpec) -> None:
        """Raise ``JobRefusedError`` if a job can never run here."""
        state = self.state
        refusal = find_refusal(spec, state.rules, state.settings, state.team_limits)
        refusal = refusal or find_refusal_by_size(spec, state.cell)
        if refusal is not None:
            raise JobRefusedError(spec.id, refusal.reason, refusal.detail)

    def submit(self, record: JobRecord, now_s: float) -> None:
        """Let a job wait; raise ``JobRefusedError`` or ``DuplicateJobError``."""
        if record.spec.id in self.state.jobs:
            raise DuplicateJobError(record.spec.id)
        self.check(record.spec)
        job = self.adopter.track(record, now_s)
        self.state.waiting.add(job)

    def recover(self, record: JobRecord, now_s: float) -> None:
        """Take in a job accepted under an earlier owner; it may run already."""
        if record.spec.id in self.state.jobs:
            raise DuplicateJobError(record.spec.id)
        job = self.adopter.track(record, now_s)
        self.adopter.recover(job)
        if record.is_cancel_requested:
            self.outcomes.cancel(job, now_s)

    def resolve_unconfirmed(self, now_s: float, may_have_run: bool = False) -> None:
        """Say that every worker was adopted or that its leases have lapsed.

        ``may_have_run`` tells that one was not adopted, so that a task may have run
        there to its end.
        """
        self.adopter.resolve_unconfirmed(now_s, may_have_run)

    def cancel(self, jobs: Iterable[JobId], now_s: float) -> int:
        """Cancel jobs, those that have ended excepted; return how many there were."""
        found = [self.state.jobs[job] for job in jobs if job in self.state.jobs]
        for job in found:
            self.outcomes.cancel(job, now_s)
        return len(found)

    def extract_job(self, job: JobId) -> JobRecord:
        """Forget a job of which nothing runs, so that it can move to another shard."""
        tracked = self.state.job(job)
        self.state.remove_job(tracked)
        return tracked.record

    def find_movable_jobs(self, most: int) -> list[JobId]:
        """Return waiting jobs that did not fit and of which nothing can run."""
        found: list[JobId] = []
        for job in self.state.jobs.values():
            if len(found) >= most:
                break
            if job.running or job.unconfirmed or job.is_ending or not job.pending:
                continue
            if job.unplaced_since_s is not None:
                found.append(job.id)
        return found

    def worker_added(
        self, info: WorkerInfo, now_s: float, tasks: Sequence[AdoptedTask] = ()
    ) -> None:
        """Add a worker that was adopted, or one back from quarantine."""
        self.adopter.adopt(info, tasks, now_s)

    def worker_removed(self, host: HostName, now_s: float) -> None:
        """Remove a worker whose task leases have certainly lapsed."""
        self.adopter.remove_worker(host, now_s)

    def worker_quarantined(self, host: HostName) -> None:
        """Stop starting on a worker that is not reached; its tasks still count."""
        self.state.close(host, WorkerStatus.QUARANTINED)

    def worker_leaving(self, host: HostName, now_s: float) -> None:
        """Stop starting on a worker and let its preemptible tasks move away."""
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
        """Take in a task's end; return the job whose record changed, or None."""
        return self.outcomes.task_ended(end, now_s)

    def start_refused(self, task: TaskId, is_broken: bool, now_s: float) -> None:
        """Take in that a worker certainly did not start a task.

        A broken worker is judged as if the task had failed on it.
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
            job.unfinished -= 1
            state.finish_if_done(job, now_s)
        elif job.spec.is_gang:
            self.outcomes.requeue_gang(job, running.index, now_s, now_s)
        else:
            self.outcomes.exclude(job, running.index, running.host)
            self.outcomes.requeue(job, running.index, now_s)

    def usage_reported(self, task: TaskId, usage: Resources) -> None:
        """Learn from the measured use of a running task."""
        running = self.state.cell.tasks.get(task)
        job = self.state.jobs.get(running.job) if running is not None else None
        if job is not None:
            self.state.estimator.observe_usage(job.spec, usage)

    def tick(self, now_s: float) -> list[Decision]:
        """Return what has been decided since the last call."""
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
        """Stop tasks that outran their bound or did not end within their grace."""
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
        """Tell why a job waits, or raise ``UnknownJobError``."""
        return explain_wait(self.state, self.state.job(job))

    @property
    def has_waiting(self) -> bool:
        """Tell whether any task waits for a start."""
        return self.state.waiting.count > 0
