"""What follows from the end of a task or of a job."""

import heapq

from gooseberrydeck_coordination.ids import HostName, JobId
from gooseberrydeck_scheduling.decisions import EndKind, TaskEnd
from gooseberrydeck_scheduling.jobs import TaskRecord, TaskState
from gooseberrydeck_scheduling.ordering import TrackedJob
from gooseberrydeck_scheduling.retries import retry_delay_s
from gooseberrydeck_scheduling.state import WHOLE_JOB, SchedulerState
from gooseberrydeck_scheduling.workers import Ending, RunningTask

__all__ = ["Outcomes"]

LOSSES_PER_ATTEMPT = 3
"""How many losses of a worker count as much as one failure of a task."""

NO_BUDGET_DELAY_S = 1.0


class Outcomes:
    """Turn the ends of tasks into retries and the ends of jobs."""

    def __init__(self, state: SchedulerState) -> None:
        """Work on the state that the scheduler's parts share."""
        self.state = state

    def task_ended(self, end: TaskEnd, now_s: float) -> JobId | None:
        """Take in an end and return the job whose record changed, or None.

        Raise ``UnknownTaskError`` if the task is not committed.
        """
        running = self.state.release(end.task)
        job = self.state.jobs.get(running.job)
        if job is None or job.running.get(running.index) != end.task:
            return None
        del job.running[running.index]
        self.note(job, running, end, now_s)
        if end.kind is EndKind.SUCCEEDED and not job.spec.is_standing:
            self.succeed(job, running.index)
        elif job.is_ending:
            self.end_task(job, running.index, TaskState.CANCELLED)
        else:
            self.try_again(job, running, end, now_s)
        self.state.apply_verdicts()
        self.state.finish_if_done(job, now_s)
        return job.id

    def note(
        self, job: TrackedJob, running: RunningTask, end: TaskEnd, now_s: float
    ) -> None:
        """Record an end and learn from it."""
        state = self.state
        task = job.record.tasks[running.index]
        task.attempt = running.attempt + 1
        task.host = running.host
        task.run_s += end.run_s
        task.exit_code = end.exit_code
        task.result = end.result
        task.checkpoint = end.checkpoint or task.checkpoint
        if end.kind is EndKind.SUCCEEDED:
            state.learner.observe_run(job.spec, end.run_s)
            state.health.succeeded(running.host, job.id, job.family, now_s)
        elif end.kind is EndKind.FAILED:
            state.health.failed(running.host, job.id, job.family, now_s)

    def succeed(self, job: TrackedJob, index: int) -> None:
        """Record a task's success."""
        task = job.record.tasks[index]
        task.checkpoint = b""
        self.end_task(job, index, TaskState.SUCCEEDED)

    def end_task(self, job: TrackedJob, index: int, final: TaskState) -> None:
        """Record a task's final state."""
        job.record.tasks[index].state = final
        job.left -= 1

    def try_again(
        self, job: TrackedJob, running: RunningTask, end: TaskEnd, now_s: float
    ) -> None:
        """Let a task that did not succeed start again, unless its budget is spent."""
        index = running.index
        delay_s = self.charge(job, running, end)
        is_over = not job.spec.is_idempotent and end.kind is not EndKind.CHECKPOINTED
        if is_over or self.is_spent(job, index):
            self.give_up(job, index, end, now_s)
            return
        if job.spec.is_gang:
            self.requeue_gang(job, index, now_s + delay_s, now_s)
        elif delay_s:
            self.state.wait(job, index, now_s + delay_s)
        else:
            self.requeue(job, index, now_s)

    def charge(self, job: TrackedJob, running: RunningTask, end: TaskEnd) -> float:
        """Count an end against the job and return how long the task has to wait."""
        index = running.index
        task = job.record.tasks[index]
        is_overtime = running.ending is Ending.OVERTIME
        if end.kind is EndKind.FAILED or is_overtime:
            self.exclude(job, index, running.host)
            task.failures += 1
            return retry_delay_s(self.state.settings, task.failures)
        if end.kind is EndKind.LOST:
            job.lost[index] = job.lost.get(index, 0) + 1
            return self.state.settings.retry_delay_s
        if job.spec.is_standing and end.kind is EndKind.SUCCEEDED:
            return self.state.settings.retry_delay_s
        return 0.0

    def exclude(self, job: TrackedJob, index: int, host: HostName) -> None:
        """Keep a task from hosts on which it has failed."""
        hosts = job.excluded.get(index, frozenset())
        job.excluded[index] = hosts | {host}

    def is_spent(self, job: TrackedJob, index: int) -> bool:
        """Tell whether a task has used up its attempts."""
        if job.spec.is_standing:
            return False
        losses = job.lost.get(index, 0) // LOSSES_PER_ATTEMPT
        return job.record.tasks[index].failures + losses >= job.rules.max_attempts

    def give_up(self, job: TrackedJob, index: int, end: TaskEnd, now_s: float) -> None:
        """Fail a task; a job of which nothing succeeds ends with it."""
        task = job.record.tasks[index]
        self.end_task(job, index, TaskState.FAILED)
        job.record.reason = failure_reason(index, task, end)
        succeeded = any(
            other.state is TaskState.SUCCEEDED for other in job.record.tasks
        )
        if job.spec.is_gang or not succeeded:
            self.end_rest(job, now_s, Ending.CANCELLATION)

    def end_rest(self, job: TrackedJob, now_s: float, ending: Ending) -> None:
        """Cancel what has not started of a job and stop what runs."""
        state = self.state
        job.is_ending = True
        state.waiting.discard(job)
        state.reservations.release(job.id)
        job.pending.clear()
        for index, task in enumerate(job.record.tasks):
            if task.state.is_final or index in job.running or index in job.unconfirmed:
                continue
            self.end_task(job, index, TaskState.CANCELLED)
        for running_task in job.running.values():
            running = state.cell.tasks[running_task]
            if running.ending is not ending:
                state.stop(running, ending, now_s)

    def cancel(self, job: TrackedJob, now_s: float) -> None:
        """Cancel a job; it ends once none of its tasks runs."""
        if job.is_cancelled:
            return
        job.is_cancelled = True
        job.record.is_cancel_requested = True
        job.record.reason = "cancelled"
        self.end_rest(job, now_s, Ending.CANCELLATION)
        self.state.finish_if_done(job, now_s)

    def requeue(self, job: TrackedJob, index: int, now_s: float) -> None:
        """Let a task wait for its next start."""
        job.pending.append(index)
        job.since_s = now_s
        self.state.waiting.add(job)

    def requeue_gang(
        self, job: TrackedJob, index: int, due_s: float, now_s: float
    ) -> None:
        """Stop the other tasks of a gang; it starts again once all have ended."""
        job.pending.append(index)
        for task in tuple(job.running.values()):
            running = self.state.cell.tasks[task]
            if running.ending is None:
                self.state.stop(running, Ending.GANG, now_s)
        self.state.wait(job, WHOLE_JOB, due_s)

    def release_due(self, now_s: float) -> None:
        """Let tasks whose delay is over wait for a start, within the retry budget."""
        state = self.state
        delayed = state.delayed
        while delayed and delayed[0][0] <= now_s:
            _, _, job_id, index = heapq.heappop(delayed)
            job = state.jobs.get(job_id)
            if job is None or job.is_ending:
                continue
            if index == WHOLE_JOB:
                self.release_gang(job, now_s)
            elif job.record.tasks[index].state.is_final:
                continue
            elif state.budgets.take(job.spec.team):
                self.requeue(job, index, now_s)
            else:
                state.wait(job, index, now_s + NO_BUDGET_DELAY_S)

    def release_gang(self, job: TrackedJob, now_s: float) -> None:
        """Let a gang wait for a start, once none of its tasks runs."""
        if job.running:
            self.state.wait(job, WHOLE_JOB, now_s + NO_BUDGET_DELAY_S)
        elif job.pending:
            job.since_s = now_s
            self.state.waiting.add(job)


def failure_reason(index: int, task: TaskRecord, end: TaskEnd) -> str:
    """Return a sentence on why a task is not tried again."""
    if end.kind is EndKind.FAILED:
        return (
            f"task {index} failed {task.failures} times, last on {task.host} "
            f"with exit code {end.exit_code}"
        )
    return f"task {index} was {end.kind.value} on {task.host}; it may have run"
