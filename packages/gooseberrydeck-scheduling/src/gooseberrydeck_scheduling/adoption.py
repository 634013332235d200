"""Take over jobs and workers from an earlier owner, and lose workers."""

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
    """A task that a worker holds when it is adopted."""

    task: TaskId
    team: TeamName
    resources: Resources
    run_s: float = 0.0


class Adopter:
    """Rebuild what runs from records and from what workers hold.

    A task that the records leave open and that no adopted worker lists is doubtful:
    it may run on a worker that was not reached. It is not started, and counts against
    its team's slice, until every doubt is resolved.
    """

    def __init__(self, state: SchedulerState, outcomes: Outcomes) -> None:
        """Work on the state that the scheduler's parts share."""
        self.state = state
        self.outcomes = outcomes
        self.has_unconfirmed = False

    def recover(self, job: TrackedJob) -> None:
        """Hold back the open tasks of a job accepted under an earlier owner."""
        self.has_unconfirmed = True
        job.unconfirmed.update(job.pending)
        job.pending.clear()
        self.state.slices.add_unconfirmed(job.spec.team, len(job.unconfirmed))

    def adopt(
        self, info: WorkerInfo, tasks: Sequence[AdoptedTask], now_s: float
    ) -> None:
        """Add a worker, or bring it back, with the tasks that it holds."""
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
        """Open a known worker again, unless its health speaks against it."""
        state = self.state
        if state.cell.workers[info.host].info != info:
            state.reservations.forget_worker(info.host)
            state.cell.set_info(info)
        if info.host in state.health.set_aside:
            state.close(info.host, WorkerStatus.SET_ASIDE)
        else:
            state.cell.set_status(info.host, WorkerStatus.AVAILABLE)

    def adopt_task(self, host: HostName, held: AdoptedTask, now_s: float) -> None:
        """Commit a task that runs already, and stop it if no job wants it."""
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
        """Tell whether a task found on a worker is the current attempt of its job."""
        index = task_index(task)
        if index >= len(job.record.tasks):
            return False
        attempt = int(task.rsplit("/", 1)[1])
        if attempt < job.record.tasks[index].attempt:
            return False
        return index in job.unconfirmed or index in job.pending

    def adopt_orphan(self, host: HostName, held: AdoptedTask, now_s: float) -> None:
        """Commit a task of no known job until it has been stopped."""
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
        """Let doubtful tasks start: what may have run them certainly does not now.

        Those of jobs that are not idempotent are given up if they ``may_have_run``.
        """
        if not self.has_unconfirmed:
            return
        self.has_unconfirmed = False
        for job in tuple(self.state.jobs.values()):
            if job.unconfirmed:
                self.resolve_job(job, now_s, may_have_run)

    def resolve_job(self, job: TrackedJob, now_s: float, may_have_run: bool) -> None:
        """Let the doubtful tasks of one job wait for a start."""
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
        """Remove a worker on which certainly nothing runs any more."""
        state = self.state
        tasks = tuple(state.cell.worker(host).tasks)
        state.close(host, WorkerStatus.QUARANTINED)
        for task in tasks:
            self.outcomes.task_ended(TaskEnd(task, EndKind.LOST), now_s)
        state.cell.remove(host)
        state.health.forget_worker(host)
        state.update_capacity()

    def track(self, record: JobRecord, now_s: float) -> TrackedJob:
        """Begin to track a job."""
        state = self.state
        rules = state.rules[record.spec.queue]
        job = TrackedJob(record, rules, state.next_sequence(), now_s)
        state.jobs[job.id] = job
        return job
