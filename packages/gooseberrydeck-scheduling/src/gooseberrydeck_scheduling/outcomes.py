"""Consequences of the ends of tasks: retries, failures and the ends of jobs."""

import heapq

from gooseberrydeck_coordination.ids import HostName, JobId
from gooseberrydeck_scheduling.decisions import EndKind, TaskEnd
from gooseberrydeck_scheduling.jobs import TaskRecord, TaskState
from gooseberrydeck_scheduling.ordering import TrackedJob
from gooseberrydeck_scheduling.retries import retry_delay_s
from gooseberrydeck_scheduling.state import ALL_TASKS, SchedulerState
from gooseberrydeck_scheduling.workers import RunningTask, StopReason

__all__ = ["Outcomes"]

LOSSES_PER_FAILURE = 3
"""Number of losses of a task with its worker that count as one failure."""

REQUEUE_RETRY_S = 1.0
"""Delay of a due task while the retry budget is empty or its gang still runs."""


class Outcomes:
    """Process task ends, retries and cancellations."""

    def __init__(self, state: SchedulerState) -> None:
        """Operate on the shared state of a scheduler."""
        self.state = state

    def task_ended(self, end: TaskEnd, now_s: float) -> JobId | None:
        """Process the end of a task; return the job whose record changed, or None.

        Raise ``UnknownTaskError`` if the task is not running.
        """
        running = self.state.release(end.task)
        job = self.state.jobs.get(running.job)
        if job is None or job.running.get(running.index) != end.task:
            return None
        del job.running[running.index]
        self.record_end(job, running, end, now_s)
        if end.kind is EndKind.SUCCEEDED and not job.spec.is_standing:
            self.mark_succeeded(job, running.index)
        elif job.is_ending:
            self.finish_task(job, running.index, TaskState.CANCELLED)
        else:
            self.retry(job, running, end, now_s)
        self.state.apply_health_changes()
        self.state.finish_if_done(job, now_s)
        return job.id

    def record_end(
        self, job: TrackedJob, running: RunningTask, end: TaskEnd, now_s: float
    ) -> None:
        """Update the task record, the estimates and the worker health."""
        state = self.state
        task = job.record.tasks[running.index]
        task.attempt = running.attempt + 1
        task.host = running.host
        task.run_s += end.run_s
        task.exit_code = end.exit_code
        task.result = end.result
        task.checkpoint = end.checkpoint or task.checkpoint
        if end.kind is EndKind.SUCCEEDED:
            state.estimator.observe_run(job.spec, end.run_s)
            state.health.succeeded(running.host, job.id, job.family, now_s)
        elif end.kind is EndKind.FAILED:
            state.health.failed(running.host, job.id, job.family, now_s)

    def mark_succeeded(self, job: TrackedJob, index: int) -> None:
        """Record the success of a task and discard its checkpoint."""
        task = job.record.tasks[index]
        task.checkpoint = b""
        self.finish_task(job, index, TaskState.SUCCEEDED)

    def finish_task(self, job: TrackedJob, index: int, final: TaskState) -> None:
        """Set the final state of a task."""
        job.record.tasks[index].state = final
        job.unfinished -= 1

    def retry(
        self, job: TrackedJob, running: RunningTask, end: TaskEnd, now_s: float
    ) -> None:
        """Requeue a task that did not succeed, or give it up."""
        index = running.index
        delay_s = self.count_end(job, running, end)
        may_not_repeat = (
            not job.spec.is_idempotent and end.kind is not EndKind.CHECKPOINTED
        )
        if may_not_repeat or self.has_no_attempts_left(job, index):
            self.give_up(job, index, end, now_s)
            return
        if job.spec.is_gang:
            self.requeue_gang(job, index, now_s + delay_s, now_s)
        elif delay_s:
            self.state.delay_task(job, index, now_s + delay_s)
        else:
            self.requeue(job, index, now_s)

    def count_end(self, job: TrackedJob, running: RunningTask, end: TaskEnd) -> float:
        """Count an unsuccessful end against the attempts of a task.

        Return the delay before its retry in seconds.
        """
        index = running.index
        task = job.record.tasks[index]
        is_overtime = running.stop_reason is StopReason.OVERTIME
        if end.kind is EndKind.FAILED or is_overtime:
            self.exclude(job, index, running.host)
            task.failures += 1
            return retry_delay_s(self.state.settings, task.failures)
        if end.kind is EndKind.LOST:
            job.losses[index] = job.losses.get(index, 0) + 1
            return self.state.settings.retry_delay_s
        if job.spec.is_standing and end.kind is EndKind.SUCCEEDED:
            return self.state.settings.retry_delay_s
        return 0.0

    def exclude(self, job: TrackedJob, index: int, host: HostName) -> None:
        """Exclude a host from the placement of a task."""
        hosts = job.excluded.get(index, frozenset())
        job.excluded[index] = hosts | {host}

    def has_no_attempts_left(self, job: TrackedJob, index: int) -> bool:
        """Return whether a task has used all of its attempts."""
        if job.spec.is_standing:
            return False
        losses = job.losses.get(index, 0) // LOSSES_PER_FAILURE
        return job.record.tasks[index].failures + losses >= job.rules.max_attempts

    def give_up(self, job: TrackedJob, index: int, end: TaskEnd, now_s: float) -> None:
        """Mark a task as failed.

        The rest of the job is cancelled if it is a gang, or if no task has succeeded
        yet.
        """
        task = job.record.tasks[index]
        self.finish_task(job, index, TaskState.FAILED)
        job.record.reason = failure_reason(index, task, end)
        succeeded = any(
            other.state is TaskState.SUCCEEDED for other in job.record.tasks
        )
        if job.spec.is_gang or not succeeded:
            self.cancel_remaining(job, now_s, StopReason.CANCELLATION)

    def cancel_remaining(
        self, job: TrackedJob, now_s: float, reason: StopReason
    ) -> None:
        """Cancel the tasks of a job that are not running and stop the others."""
        state = self.state
        job.is_ending = True
        state.waiting.discard(job)
        state.reservations.release(job.id)
        job.pending.clear()
        for index, task in enumerate(job.record.tasks):
            if task.state.is_final or index in job.running or index in job.unconfirmed:
                continue
            self.finish_task(job, index, TaskState.CANCELLED)
        for running_task in job.running.values():
            running = state.cell.tasks[running_task]
            if running.stop_reason is not reason:
                state.stop(running, reason, now_s)

    def cancel(self, job: TrackedJob, now_s: float) -> None:
        """Cancel a job, which ends once none of its tasks is running."""
        if job.is_cancelled:
            return
        job.is_cancelled = True
        job.record.is_cancel_requested = True
        job.record.reason = "cancelled"
        self.cancel_remaining(job, now_s, StopReason.CANCELLATION)
        self.state.finish_if_done(job, now_s)

    def requeue(self, job: TrackedJob, index: int, now_s: float) -> None:
        """Make a task pending again."""
        job.pending.append(index)
        job.pending_since_s = now_s
        self.state.waiting.add(job)

    def requeue_gang(
        self, job: TrackedJob, index: int, due_s: float, now_s: float
    ) -> None:
        """Stop the other tasks of a gang; it restarts once all of them have ended."""
        job.pending.append(index)
        for task in tuple(job.running.values()):
            running = self.state.cell.tasks[task]
            if running.stop_reason is None:
                self.state.stop(running, StopReason.GANG, now_s)
        self.state.delay_task(job, ALL_TASKS, due_s)

    def requeue_due(self, now_s: float) -> None:
        """Requeue the tasks whose delay is over, within the retry budgets."""
        state = self.state
        delayed = state.delayed
        while delayed and delayed[0][0] <= now_s:
            _, _, job_id, index = heapq.heappop(delayed)
            job = state.jobs.get(job_id)
            if job is None or job.is_ending:
                continue
            if index == ALL_TASKS:
                self.requeue_due_gang(job, now_s)
            elif job.record.tasks[index].state.is_final:
                continue
            elif state.retry_budgets.try_take(job.spec.team):
                self.requeue(job, index, now_s)
            else:
                state.delay_task(job, index, now_s + REQUEUE_RETRY_S)

    def requeue_due_gang(self, job: TrackedJob, now_s: float) -> None:
        """Requeue a gang, or delay it further while tasks are still running."""
        if job.running:
            self.state.delay_task(job, ALL_TASKS, now_s + REQUEUE_RETRY_S)
        elif job.pending:
            job.pending_since_s = now_s
            self.state.waiting.add(job)


def failure_reason(index: int, task: TaskRecord, end: TaskEnd) -> str:
    """Return an explanation of why a task is not retried."""
    if end.kind is EndKind.FAILED:
        return (
            f"task {index} failed {task.failures} times, last on {task.host} "
            f"with exit code {end.exit_code}"
        )
    return f"task {index} was {end.kind.value} on {task.host}; it may have run"
