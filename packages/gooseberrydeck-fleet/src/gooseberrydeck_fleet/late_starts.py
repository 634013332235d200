"""Starts without a response, which a worker's next process may execute.

A worker's process may be started again unseen. The new one refuses no start request to
the former one before it is reached, and its clock has not passed the end of the former
leases.
"""

from collections.abc import Iterable

from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.state import CLOCK_DRIFT, LATE_CALL_S, Run, Worker

__all__ = ["LateStarts", "late_starts", "may_start_late"]


def may_start_late(run: Run) -> bool:
    """Return True if an unanswered start may be executed by a later process.

    While no restart of the worker is known, two kinds don't wait for that: a
    long-running task has to run again before it is certain, and a later process refuses
    a ticket of the former one.
    """
    step = run.task.step
    may_wait = not step.spec.is_standing and step.job.queue.advice is None
    return run.worker.is_restarting or may_wait


def late_starts(worker: Worker) -> frozenset[TaskRef]:
    """Return the tasks that a worker may start late, for this holder or a former."""
    if not worker.unanswered_starts:
        return worker.inherited_starts
    own = [run.task.ref for run in worker.unanswered_starts if may_start_late(run)]
    return worker.inherited_starts.union(own)


class LateStarts:
    """Hold back the tasks that silent workers may start late for a predecessor.

    A task is held until the worker has answered, is gone, or can't start it any more.
    """

    def __init__(self, ledger: Ledger, max_lease_s: float) -> None:
        """Start without tasks; ``max_lease_s`` is the longest lease of workers."""
        self.ledger = ledger
        self.late_run_s = LATE_CALL_S + max_lease_s / (1 - CLOCK_DRIFT)
        self.workers: dict[WorkerId, tuple[Worker, float]] = {}

    def recorded(self, worker: Worker, tasks: Iterable[TaskRef], now_s: float) -> None:
        """Hold back the tasks that a predecessor has recorded for a worker."""
        worker.inherited_starts = frozenset(tasks)
        if worker.inherited_starts:
            self.workers[worker.id] = worker, now_s + self.late_run_s
            self.ledger.late_starts.update(worker.inherited_starts)

    def review(self, now_s: float) -> None:
        """Release the tasks of workers that can't start them late any more."""
        for each in self.ledger.workers.values():
            for run in list(each.unanswered_starts):
                if now_s >= run.started_s + self.late_run_s:
                    del each.unanswered_starts[run]
        for worker, until_s in list(self.workers.values()):
            is_gone = self.ledger.workers.get(worker.id) is not worker
            has_answered = worker.last_reply_s > 0 and worker.has_reported
            if is_gone or has_answered or now_s >= until_s:
                self.release(worker)

    def release(self, worker: Worker) -> None:
        """Release the tasks of a worker, unless another one may start them late."""
        if self.workers.pop(worker.id, None) is None:
            return
        tasks, worker.inherited_starts = worker.inherited_starts, frozenset()
        for other, _ in self.workers.values():
            tasks -= other.inherited_starts
        self.ledger.late_starts -= tasks
        for task in tasks:
            job = self.ledger.jobs.get(task.job)
            if job is not None:
                self.ledger.touch(job)
