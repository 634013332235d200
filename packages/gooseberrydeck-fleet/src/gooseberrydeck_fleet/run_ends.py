"""Effects of the ends of runs on tasks, steps and jobs."""

from gooseberrydeck_fleet.duration_samples import learn_from
from gooseberrydeck_fleet.ids import (
    MAX_NUMBERED_FAILURES,
    WorkerId,
    earlier_failures,
)
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.losses import LossReason, LostRun
from gooseberrydeck_fleet.start_permission import (
    attempts_may_be_used_up,
    dependency_ended,
)
from gooseberrydeck_fleet.state import Job, Run, RunState, Step, StopReason, Task
from gooseberrydeck_fleet.work import JobState
from gooseberrydeck_fleet.worker_calls import EndKind, EndReport

__all__ = ["RunEndHandler"]


class RunEndHandler:
    """Update tasks, steps and jobs as runs end."""

    def __init__(self, ledger: Ledger) -> None:
        """Create a handler for one ledger."""
        self.ledger = ledger
        self.lost_runs: list[LostRun] = []

    def run_ended(self, worker: WorkerId, end: EndReport, now_s: float) -> Run | None:
        """Apply an end that a worker reported and return the run, if it was known."""
        task = self.ledger.find_task(end.task)
        if task is None:
            return None
        job = task.step.job
        run = job.runs.get((end.task, end.run))
        if run is None or run.worker.id != worker:
            # A run of a predecessor, or one that counted as lost. Its result is valid
            # all the same, and the worker forgets it only after an acknowledgement.
            self.apply_end(task, end, worker, now_s, None)
            return None
        self.ledger.remove_run(run)
        if end.kind is EndKind.SUCCEEDED:
            # Before the speed of the worker, which it would show as that of the task.
            learn_from(self.ledger, run, now_s)
        if end.kind is EndKind.SUCCEEDED and not run.skip_duration_sample:
            kind = run.worker.entry.kind
            seconds = now_s - run.started_s
            self.ledger.speeds.observe(worker, kind, seconds, task.step.durations)
        self.apply_end(task, end, worker, now_s, run)
        return run

    def run_lost(self, run: Run, reason: LossReason) -> None:
        """Remove a run that has certainly ended without a reported end."""
        task = run.task
        step = task.step
        worker = run.worker
        lost = LostRun(
            task.ref,
            run.number,
            worker.id,
            reason,
            self.ledger.now_s,
            worker.born_ms,
            worker.last_reply_s,
            worker.lease_expiry_s,
            worker.may_hold_longest_lease,
            worker.is_restarting,
            run.has_unanswered_start,
        )
        self.lost_runs.append(lost)
        if reason is not LossReason.NEVER_STARTED or run.has_unanswered_start:
            task.lost_run = lost
        if run.checkpoint and reason is not LossReason.NEVER_STARTED:
            if not step.spec.is_gang:
                task.checkpoint = run.checkpoint
            elif not task.is_done and all(member.runs for member in step.tasks):
                # Members that have ended before gave a newer one for the whole gang.
                self.save_checkpoint(task, run.checkpoint)
        self.ledger.remove_run(run)
        if step.spec.is_gang:
            self.stop_gang(step, run.number)

    def apply_end(
        self,
        task: Task,
        end: EndReport,
        worker: WorkerId,
        now_s: float,
        run: Run | None,
    ) -> None:
        """Update a task and its step by the end of one of its runs."""
        step = task.step
        if task.lost_run is not None and end.run >= task.lost_run.run:
            task.lost_run = None
        kind, checkpoint = end.kind, end.checkpoint
        health = self.ledger.health
        if kind is EndKind.SUCCEEDED and not step.spec.is_standing:
            health.record_success(worker)
            if run is not None:
                dependency_ended(self.ledger, run, now_s)
            self.task_succeeded(task, end.run)
            return
        if checkpoint and not task.is_done and checkpoint != task.checkpoint:
            self.save_checkpoint(task, checkpoint)
        if kind is EndKind.FAILED:
            self.count_failure(task, end.run, worker, now_s)
        if step.spec.is_gang and kind is not EndKind.STOPPED:
            self.stop_gang(step, end.run)
        elif run is not None and run.stop_reason is StopReason.STALLED:
            task.failed_on[worker] = now_s

    def task_succeeded(self, task: Task, number: int | None = None) -> None:
        """Mark a task, or its gang, as done by run ``number``, if that is known."""
        if task.step.spec.is_gang:
            self.ledger.step_done(task.step)
        else:
            self.ledger.task_done(task)
        self.stop_surplus(task, number)
        self.finish_if_complete(task.step.job)

    def save_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Save a checkpoint for the next run of a task, or of all members of a gang."""
        members = task.step.tasks if task.step.spec.is_gang else [task]
        for member in members:
            member.checkpoint = checkpoint
        self.ledger.changed[task.ref.job] = None

    def count_failure(
        self, task: Task, run: int, worker: WorkerId, now_s: float
    ) -> None:
        """Count a failure of a task, and of its worker if it failed only there."""
        if not task.failed_on.keys() - {worker}:
            self.ledger.health.record_failure(worker, now_s)
        task.failed_on[worker] = now_s
        step = task.step
        if step.spec.is_standing or task.is_done:
            return
        failures = task.counting_task.failures
        if run in failures:
            return
        failures.add(run)
        task.record_failures(earlier_failures(run) + 1)
        job = step.job
        self.ledger.changed[job.id] = None
        max_attempts = job.queue.max_attempts
        if len(failures) >= max_attempts and not job.state.is_final:
            self.finish(job, JobState.FAILED)
        if task.count_failures() >= min(max_attempts, MAX_NUMBERED_FAILURES):
            attempts_may_be_used_up(task)

    def fail_if_exhausted(self, job: Job) -> None:
        """Fail a job if one of its tasks has used up its attempts."""
        if not job.state.is_final and any(
            not task.is_done and len(task.failures) >= job.queue.max_attempts
            for step in job.steps.values()
            for task in step.tasks
        ):
            self.finish(job, JobState.FAILED)

    def stop_gang(self, step: Step, number: int) -> None:
        """Stop the members of a gang's run ``number`` after one of them has ended."""
        for task in step.tasks:
            for run in task.runs:
                if run.number == number:
                    self.request_stop(run, StopReason.GANG_FAILED)

    def stop_surplus(self, task: Task, number: int | None) -> None:
        """Stop the remaining runs of a task, or of a gang, that is done.

        The members of the gang's run ``number`` end together without a stop request.
        """
        if not task.step.spec.is_gang:
            for run in task.runs:
                self.request_stop(run, StopReason.SURPLUS)
            return
        for member in task.step.tasks:
            for run in member.runs:
                if run.number != number:
                    self.request_stop(run, StopReason.SURPLUS)

    def request_stop(self, run: Run, reason: StopReason) -> None:
        """Mark a run as stopping; the scheduler sends and repeats the stop request."""
        if run.stop_reason is None:
            run.stop_reason = reason
        if run.state in (RunState.RUNNING, RunState.UNCERTAIN, RunState.STARTING):
            run.state = RunState.STOPPING
            self.ledger.stopping.add(run)

    def finish_if_complete(self, job: Job) -> None:
        """Complete a job if all its tasks have succeeded."""
        if not job.state.is_final and job.is_complete():
            self.finish(job, JobState.COMPLETED)

    def finish(self, job: Job, state: JobState) -> None:
        """Set the final state of a job and stop its remaining runs."""
        job.state = state
        job.open_steps.clear()
        self.ledger.touch(job)
        self.ledger.changed[job.id] = None
        self.ledger.finish_if_idle(job)
        reason = (
            StopReason.CANCELLED if state is JobState.CANCELLED else StopReason.SURPLUS
        )
        for run in job.runs.values():
            if not run.task.step.spec.is_gang or state is not JobState.COMPLETED:
                self.request_stop(run, reason)
