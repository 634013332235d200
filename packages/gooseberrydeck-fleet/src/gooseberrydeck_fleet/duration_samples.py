"""The runs that durations are learned from."""

import math

from gooseberrydeck_fleet.duration_learner import DurationLearner
from gooseberrydeck_fleet.durations import DurationGroup, log_estimate
from gooseberrydeck_fleet.expectations import Refusal, find_weight
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.state import Run, RunState, Worker

__all__ = [
    "RunningSamples",
    "expect_run",
    "learn_from",
    "learned_remaining_s",
]

MAX_WORKERS_COUNTED = 30
"""Workers whose runs are counted in one pass, at intervals of a tenth of a second.

A full fleet has thousands of runs, too many for one pass on a small host.
"""


def expect_run(learner: DurationLearner, run: Run) -> None:
    """Note what is expected of a run that is about to start."""
    if learner.is_learning and not run.task.step.spec.is_standing:
        step = run.task.step
        record = step.job.record
        run.expectation = learner.expect(
            record.queue, record.team, step.ref.step, step.spec
        )


def learn_from(ledger: Ledger, run: Run, now_s: float) -> None:
    """Learn from a run that has succeeded, if its duration is that of the task."""
    learner = ledger.durations
    if not learner.is_learning:
        return
    expected = run.expectation
    refusal = find_refusal(run)
    if expected is None or refusal is not None:
        learner.refuse(refusal or Refusal.NOT_STARTED_HERE)
        return
    step = run.task.step
    record = step.job.record
    learner.learn(
        record.queue,
        record.team,
        step.ref.step,
        step.spec,
        expected,
        now_s - run.started_s,
        ledger.speeds.relative_slowness(run.worker.id, run.worker.entry.kind),
        now_s,
    )


def find_refusal(run: Run) -> Refusal | None:
    """Return why a run's duration is not that of its task, or None."""
    spec = run.task.step.spec
    if spec.is_standing:
        return Refusal.LONG_RUNNING
    if run.expectation is None or run.has_unanswered_start:
        return Refusal.NOT_STARTED_HERE
    if run.was_partial_at_start:
        return Refusal.RESUMED_OR_COLD
    if spec.uses_leftover or run.speed_set_s is not None:
        return Refusal.THROTTLED
    if run.stop_reason is not None:
        return Refusal.STOPPING
    # Its end may be older than the reply that lists it.
    if run.started_s < run.worker.answers_since_s:
        return Refusal.WORKER_WAS_SILENT
    return None


def learned_remaining_s(run: Run, ledger: Ledger, now_s: float) -> float | None:
    """Return how long a run still takes by what was learned, or None if unknown.

    A run that resumes from a checkpoint does only a part of its task.
    """
    expected = run.expectation
    if expected is None or not expected.is_used or run.was_partial_at_start:
        return None
    slowness = ledger.speeds.relative_slowness(run.worker.id, run.worker.entry.kind)
    factor = math.exp(slowness)
    return factor * expected.remaining_s((now_s - run.started_s) / factor)


class RunningSamples:
    """Take the runs in progress into account, and let jobs take on new expectations.

    Runs that have outlasted the typical duration count as longer than so far. The short
    runs of a new kind of work end first, and would pass for typical.
    """

    def __init__(self, ledger: Ledger) -> None:
        """Prepare to sample the runs in progress of a ledger."""
        self.ledger = ledger
        self.left: list[Worker] = []
        self.kinds: dict[WorkerId, str] = {}
        self.found: dict[DurationGroup, list[tuple[float, float]]] = {}

    def advance(self, now_s: float) -> None:
        """Count the runs of the next workers; begin and complete it when it is due."""
        learner = self.ledger.durations
        if not learner.is_refresh_due(now_s):
            return
        if not self.left:
            self.left = list(self.ledger.workers.values())
        for _ in range(min(MAX_WORKERS_COUNTED, len(self.left))):
            worker = self.left.pop()
            if worker.is_reachable:
                self.kinds[worker.id] = worker.entry.kind
                self.count_runs(worker, now_s)
        if not self.left:
            self.ledger.speeds.update_mean(self.kinds)
            learner.refresh(self.found, now_s)
            self.kinds, self.found = {}, {}

    def count_runs(self, worker: Worker, now_s: float) -> None:
        """Count the runs of a worker that have outlasted the typical duration."""
        speeds = self.ledger.speeds
        speed = math.exp(-speeds.relative_slowness(worker.id, worker.entry.kind))
        for run in worker.runs.values():
            expected = run.expectation
            if expected is None or expected.group is None:
                continue
            seconds = (now_s - run.started_s) * speed
            if seconds <= expected.typical_s or not is_whole(run):
                continue
            spec = run.task.step.spec
            estimate = log_estimate(spec.estimate_s) or 0.0
            residual = math.log(seconds) - expected.group.predict(estimate)
            self.found.setdefault(expected.group, []).append(
                (residual, find_weight(spec))
            )


def is_whole(run: Run) -> bool:
    """Return True if a run in progress shows how long its task takes at least."""
    return run.state is RunState.RUNNING and find_refusal(run) is None
