"""Adoption of running tasks after a change of owner, and loss of workers."""

from collections.abc import Sequence

import msgspec

from gooseberrydeck_coordination.ids import HostName, TaskId, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.decisions import EndKind, TaskEnd
from gooseberrydeck_scheduling.jobs import JobRecord, TaskState, job_of, task_index
from gooseberrydeck_scheduling.ordering import TrackedJob
from gooseberrydeck_scheduling.outcomes import Outcomes
from gooseberrydeck_scheduling.state import SchedulerState
from gooseberrydeck_scheduling.workers import (
    RunningTask,
    StopReason,
    WorkerInfo,
    WorkerStatus,
)

__all__ = ["AdoptedTask", "Adopter"]


class AdoptedTask(msgspec.Struct, frozen=True):
    """A task that a worker reports as running when it is adopted."""

    task: TaskId
    team: TeamName
    resources: Resources
    run_s: float = 0.0


class Adopter:
    """Reconstruct the running tasks from job records and from the workers' reports.

    A task that is open in its record, but that no adopted worker has reported, is
    unconfirmed: it may be running on a worker that was not reached. It is not started,
    and counts against the slice of its team, until ``resolve_unconfirmed`` is called.
    """

    def __init__(self, state: SchedulerState, outcomes: Outcomes) -> None:
        """Operate on the shared state of a scheduler."""
        self.state = state
        self.outcomes = outcomes
        self.has_unconfirmed = False

    def recover(self, job: TrackedJob) -> None:
        """Mark the open tasks of a job of an earlier owner as unconfirmed."""
        self.has_unconfirmed = True
        job.unconfirmed.update(job.pending)
        job.pending.clear()
        self.state.slices.add_unconfirmed(job.spec.team, len(job.unconfirmed))

    def adopt(
        self, info: WorkerInfo, tasks: Sequence[AdoptedTask], now_s: float
    ) -> None:
        """Add or reopen a worker and commit the tasks that it reports.

        Tasks that were committed on the worker but are not reported are lost.
        """
        state = self.state
        if info.host not in state.cell.workers:
            state.cell.add(info)
        else:
            self.reopen_worker(info)
        state.update_capacity()
        listed = {held.task for held in tasks}
        for task in tuple(state.cell.workers[info.host].tasks):
            if task not in listed:
                self.outcomes.task_ended(TaskEnd(task, EndKind.LOST), now_s)
        for held in tasks:
            if held.task not in state.cell.tasks:
                self.adopt_task(info.host, held, now_s)

    def reopen_worker(self, info: WorkerInfo) -> None:
        """Reopen a known worker, unless it is restricted because of failures."""
        state = self.state
        if state.cell.workers[info.host].info != info:
            state.reservations.forget_worker(info.host)
            state.cell.set_info(info)
        if info.host in state.health.restricted:
            state.close(info.host, WorkerStatus.SET_ASIDE)
        else:
            state.cell.set_status(info.host, WorkerStatus.AVAILABLE)

    def adopt_task(self, host: HostName, held: AdoptedTask, now_s: float) -> None:
        """Commit a task that is already running; stop it if no job needs it."""
        state = self.state
        job = state.jobs.get(job_of(held.task))
        index = task_index(held.task)
        started_s = now_s - held.run_s
        if job is None or not self.is_wanted(job, held.task):
            self.adopt_orphan(host, held, now_s)
            return
        attempt = int(held.task.rsplit("/", 1)[1])
        running = state.new_running_task(job, index, attempt, started_s)
        state.cell.adopt(host, running)
        if index in job.unconfirmed:
            job.unconfirmed.remove(index)
            state.slices.add_unconfirmed(held.team, -1)
        else:
            job.pending.remove(index)
            if not job.pending:
                state.waiting.discard(job)
        state.record_start(job, running)
        if job.is_ending:
            state.stop(running, StopReason.CANCELLATION, now_s)

    def is_wanted(self, job: TrackedJob, task: TaskId) -> bool:
        """Return whether a reported task is the current attempt of an open task."""
        index = task_index(task)
        if index >= len(job.record.tasks):
            return False
        attempt = int(task.rsplit("/", 1)[1])
        if attempt < job.record.tasks[index].attempt:
            return False
        return index in job.unconfirmed or index in job.pending

    def adopt_orphan(self, host: HostName, held: AdoptedTask, now_s: float) -> None:
        """Commit a task that no job needs and stop it."""
        state = self.state
        running = RunningTask(
            held.task,
            job_of(held.task),
            task_index(held.task),
            0,
            held.team,
            held.resources,
            now_s,
            now_s,
            is_preemptible=False,
        )
        state.cell.adopt(host, running)
        state.slices.started(held.team)
        state.shares.add(held.team, held.resources)
        state.stop(running, StopReason.ORPHAN, now_s)

    def resolve_unconfirmed(self, now_s: float, may_have_run: bool) -> None:
        """Make the unconfirmed tasks pending, as none of them can be running any more.

        If they ``may_have_run``, those of jobs that are not idempotent fail instead.
        """
        if not self.has_unconfirmed:
            return
        self.has_unconfirmed = False
        for job in tuple(self.state.jobs.values()):
            if job.unconfirmed:
                self.resolve_job(job, now_s, may_have_run)

    def resolve_job(self, job: TrackedJob, now_s: float, may_have_run: bool) -> None:
        """Make the unconfirmed tasks of one job pending, or fail them."""
        state = self.state
        state.slices.add_unconfirmed(job.spec.team, -len(job.unconfirmed))
        unconfirmed = sorted(job.unconfirmed)
        job.unconfirmed.clear()
        if may_have_run and not job.spec.is_idempotent:
            for index in unconfirmed:
                self.outcomes.finish_task(job, index, TaskState.FAILED)
            job.record.reason = "a task may have run on a worker that was lost"
            self.outcomes.cancel_remaining(job, now_s, StopReason.CANCELLATION)
            state.finish_if_done(job, now_s)
            return
        job.pending.extend(unconfirmed)
        if job.is_ending:
            self.outcomes.cancel_remaining(job, now_s, StopReason.CANCELLATION)
            state.finish_if_done(job, now_s)
        elif job.spec.is_gang and job.running:
            self.outcomes.requeue_gang(job, job.pending.popleft(), now_s, now_s)
        else:
            state.waiting.add(job)

    def remove_worker(self, host: HostName, now_s: float) -> None:
        """Remove a worker on which no task can be running any more."""
        state = self.state
        tasks = tuple(state.cell.worker(host).tasks)
        state.close(host, WorkerStatus.QUARANTINED)
        for task in tasks:
            self.outcomes.task_ended(TaskEnd(task, EndKind.LOST), now_s)
        state.cell.remove(host)
        state.health.forget_worker(host)
        state.update_capacity()

    def track(self, record: JobRecord, now_s: float) -> TrackedJob:
        """Start tracking a job."""
        state = self.state
        rules = state.rules[record.spec.queue]
        job = TrackedJob(record, rules, state.next_sequence(), now_s)
        state.jobs[job.id] = job
        return job
