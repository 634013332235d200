"""How fast workers are, learned from tasks of one step that ran on several.

Answers fleets of unlike hosts, and hosts that turn slow: tasks of a step do similar
work, so that those that take longer tell of their worker. Estimates of callers are too
far off to compare with.
"""

import math

from gooseberrydeck_fleet.ids import WorkerId

__all__ = ["SpeedEstimator", "StepDurations"]

MIN_SIBLINGS = 2
"""Tasks of the same step to compare with; fewer tell too little."""

KIND_PRIOR_COUNT = 20.0
"""Observations that a kind of worker needs before its own mean counts half."""

WORKER_LEARNING_RATE = 0.2
"""Share of a new observation in a worker's own mean; about the last ten count."""

MIN_DURATION_S = 0.05
"""Shorter runs are dominated by the time to start and to report."""


class StepDurations:
    """The durations of the tasks of one step, corrected for where they ran."""

    __slots__ = ("count", "log_sum")

    def __init__(self) -> None:
        """Begin without a duration."""
        self.count = 0
        self.log_sum = 0.0

    def typical_s(self) -> float | None:
        """Return what a task takes on an average worker; None if too few ended."""
        if self.count < MIN_SIBLINGS:
            return None
        return math.exp(self.log_sum / self.count)


class SpeedEstimator:
    """The slowness of kinds of workers and of single ones, as natural logarithms."""

    def __init__(self) -> None:
        """Begin with all workers alike."""
        self.kinds: dict[str, tuple[float, float]] = {}
        self.workers: dict[WorkerId, float] = {}

    def kind_slowness(self, kind: str) -> float:
        """Return the logarithm of how much longer than others a kind takes."""
        count, total = self.kinds.get(kind, (0.0, 0.0))
        return total / (count + KIND_PRIOR_COUNT)

    def slowness(self, worker: WorkerId, kind: str) -> float:
        """Return the logarithm of how much longer than others a worker takes."""
        return self.kind_slowness(kind) + self.workers.get(worker, 0.0)

    def observe(
        self, worker: WorkerId, kind: str, seconds: float, step: StepDurations
    ) -> None:
        """Learn from a task that took some seconds."""
        if seconds < MIN_DURATION_S:
            return
        value = math.log(seconds)
        expected = self.slowness(worker, kind)
        if step.count >= MIN_SIBLINGS:
            excess = value - step.log_sum / step.count
            own = self.workers.get(worker, 0.0)
            count, total = self.kinds.get(kind, (0.0, 0.0))
            self.kinds[kind] = (count + 1, total + excess)
            deviation = excess - self.kind_slowness(kind) - own
            self.workers[worker] = own + WORKER_LEARNING_RATE * deviation
        step.count += 1
        step.log_sum += value - expected

    def forget(self, worker: WorkerId) -> None:
        """Drop what is known of a worker's former life."""
        self.workers.pop(worker, None)
