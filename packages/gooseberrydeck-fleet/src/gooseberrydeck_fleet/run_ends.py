"""What follows from the end of a run."""

from enum import Enum

from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.state import Job, Run, RunState, Step, StopReason, Task
from gooseberrydeck_fleet.work import JobState
from gooseberrydeck_fleet.worker_calls import EndKind, EndReport

__all__ = ["RunEndHandler", "LossReason"]


class LossReason(Enum):
    """Why a run counts as ended without its worker having said so."""

    WORKER_GONE = "worker_gone"
    LEASE_LAPSED = "lease_lapsed"
    NEVER_STARTED = "never_started"
    NOT_LISTED = "not_listed"


class RunEndHandler:
    """Update tasks, steps and jobs as runs end."""

    def __init__(self, ledger: Ledger) -> None:
        """Act on one ledger."""
        self.ledger = ledger

    def run_ended(self, worker: WorkerId, end: EndReport, now_s: float) -> Run | None:
        """Take in an end that a worker has listed; return the run if it was known."""
        task = self.ledger.find_task(end.task)
        if task is None:
            return None
        job = task.step.job
        run = job.runs.get((end.task, end.run))
        if run is None or run.worker.id != worker:
            # An earlier holder's run, or one that was taken for lost: its result counts
            # all the same, since the worker lists it and will forget it only later.
            self.apply(task, end, worker, now_s, None)
            return None
        self.ledger.remove_run(run)
        if end.kind is EndKind.SUCCEEDED and not run.skip_duration_sample:
            kind = run.worker.entry.kind
            seconds = now_s - run.started_s
            self.ledger.speeds.observe(worker, kind, seconds, task.step.durations)
        self.apply(task, end, worker, now_s, run)
        return run

    def run_lost(self, run: Run, reason: LossReason) -> None:
        """Take in that a run has certainly ended and left no record."""
        task = run.task
        self.ledger.remove_run(run)
        if run.checkpoint and reason is not LossReason.NEVER_STARTED:
            task.checkpoint = run.checkpoint
        if task.step.spec.is_gang:
            self.stop_gang(task.step)

    def apply(
        self,
        task: Task,
        end: EndReport,
        worker: WorkerId,
        now_s: float,
        run: Run | None,
    ) -> None:
        """Change a task's state by how one of its runs ended."""
        step = task.step
        kind, checkpoint = end.kind, end.checkpoint
        health = self.ledger.health
        if kind is EndKind.SUCCEEDED and not step.spec.is_standing:
            health.record_success(worker)
            if step.spec.is_gang:
                self.ledger.step_done(step)
            else:
                self.ledger.task_done(task)
            self.stop_surplus(task)
            if run is not None:
                self.mark_dependents(step)
            self.finish_if_complete(step.job)
            return
        if checkpoint and not task.is_done and checkpoint != task.checkpoint:
            self.save_checkpoint(task, checkpoint)
        if kind is EndKind.FAILED:
            self.count_failure(task, end.run, worker, now_s)
        if step.spec.is_gang and kind is not EndKind.STOPPED:
            self.stop_gang(step)
        elif run is not None and run.stop_reason is StopReason.STALLED:
            task.failed_on[worker] = now_s

    def mark_dependents(self, step: Step) -> None:
        """Note that no earlier holder can have started what waits for a step.

        A run of the step was in hand here when it ended, after the earlier holder had
        stopped acting.
        """
        if not step.job.may_have_unknown_runs or not self.ledger.is_sole_scheduler:
            return
        for dependent in step.job.steps.values():
            is_same_occurrence = dependent.ref.occurrence == step.ref.occurrence
            if is_same_occurrence and step.ref.step in dependent.spec.after:
                dependent.is_safe_to_start = True

    def save_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Let the next run resume; what one member of a gang saved is for all."""
        members = task.step.tasks if task.step.spec.is_gang else [task]
        for member in members:
            member.checkpoint = checkpoint
        self.ledger.changed[task.ref.job] = None

    def count_failure(
        self, task: Task, run: int, worker: WorkerId, now_s: float
    ) -> None:
        """Count a failure of a task, and of its worker unless others saw the same."""
        if not task.failed_on.keys() - {worker}:
            self.ledger.health.record_failure(worker, now_s)
        task.failed_on[worker] = now_s
        step = task.step
        if step.spec.is_standing or task.is_done:
            return
        # All members of a gang share its attempts.
        counted = step.tasks[0] if step.spec.is_gang else task
        if run in counted.failures:
            return
        counted.failures.add(run)
        job = step.job
        self.ledger.changed[job.id] = None
        if len(counted.failures) >= job.queue.max_attempts and not job.state.is_final:
            self.finish(job, JobState.FAILED)

    def stop_gang(self, step: Step) -> None:
        """End the other members of a gang of which one has ended."""
        for task in step.tasks:
            for run in task.runs:
                self.request_stop(run, StopReason.GANG_FAILED)

    def stop_surplus(self, task: Task) -> None:
        """End the copies of a task that is done."""
        # The members of a gang end together, without being told.
        if task.step.spec.is_gang:
            return
        for run in task.runs:
            self.request_stop(run, StopReason.SURPLUS)

    def request_stop(self, run: Run, reason: StopReason) -> None:
        """Mark a run as stopping; the scheduler sends the stop, and repeats it."""
        if run.stop_reason is None:
            run.stop_reason = reason
        if run.state in (RunState.RUNNING, RunState.UNCERTAIN, RunState.STARTING):
            run.state = RunState.STOPPING
            self.ledger.stopping.add(run)

    def finish_if_complete(self, job: Job) -> None:
        """Complete a job of which every task has ended well."""
        if not job.state.is_final and job.is_complete():
            self.finish(job, JobState.COMPLETED)

    def finish(self, job: Job, state: JobState) -> None:
        """Give a job its final state and stop what still runs of it."""
        job.state = state
        job.open_steps.clear()
        self.ledger.changed[job.id] = None
        if not job.runs:
            self.ledger.finished[job.id] = None
        reason = (
            StopReason.CANCELLED if state is JobState.CANCELLED else StopReason.SURPLUS
        )
        for run in job.runs.values():
            if not run.task.step.spec.is_gang or state is not JobState.COMPLETED:
                self.request_stop(run, reason)
