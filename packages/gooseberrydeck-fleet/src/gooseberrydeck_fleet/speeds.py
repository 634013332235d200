"""Speed estimates of workers, learned from the durations of sibling tasks.

Hosts differ in speed, and some become slow. Tasks of one step do similar work, so a
task that takes longer than its siblings indicates a slow worker. Callers' estimates are
too inaccurate for this comparison.
"""

import math
from collections.abc import Mapping

from gooseberrydeck_fleet.ids import WorkerId

__all__ = ["SpeedEstimator", "StepDurations"]

MIN_SIBLINGS = 2
"""Minimum number of finished tasks of a step to compare a duration with."""

KIND_PRIOR_COUNT = 20.0
"""Number of observations of a kind of worker at which its own mean has half weight."""

WORKER_LEARNING_RATE = 0.2
"""Weight of a new observation in a worker's moving mean.

About the last ten observations count.
"""

MIN_DURATION_S = 0.05
"""Shorter runs are ignored: the time to start and report dominates their duration."""


class StepDurations:
    """The durations of a step's tasks, corrected for the speed of their workers."""

    __slots__ = ("count", "log_sum")

    def __init__(self) -> None:
        """Create an empty set of durations."""
        self.count = 0
        self.log_sum = 0.0

    def typical_s(self) -> float | None:
        """Return the geometric mean duration on an average worker.

        Returns None if fewer than ``MIN_SIBLINGS`` tasks have ended.
        """
        if self.count < MIN_SIBLINGS:
            return None
        return math.exp(self.log_sum / self.count)


class SpeedEstimator:
    """Estimates of the slowness of workers and of kinds of workers.

    Slowness is the natural logarithm of the duration of a task relative to the average.
    """

    def __init__(self) -> None:
        """Create an estimator in which all workers are equally fast."""
        self.kinds: dict[str, tuple[float, float]] = {}
        self.workers: dict[WorkerId, float] = {}
        # The mean slowness of the fleet when it was last computed.
        self.mean_slowness = 0.0

    def kind_slowness(self, kind: str) -> float:
        """Return the slowness of a kind of worker."""
        count, total = self.kinds.get(kind, (0.0, 0.0))
        return total / (count + KIND_PRIOR_COUNT)

    def slowness(self, worker: WorkerId, kind: str) -> float:
        """Return the slowness of a worker, including that of its kind."""
        return self.kind_slowness(kind) + self.workers.get(worker, 0.0)

    def relative_slowness(self, worker: WorkerId, kind: str) -> float:
        """Return the slowness of a worker compared with the mean of the fleet.

        Only differences of slowness are observed: the tasks of a step that end later
        are longer on average, by which all estimates rise together.
        """
        return self.slowness(worker, kind) - self.mean_slowness

    def update_mean(self, kinds: Mapping[WorkerId, str]) -> None:
        """Compute the mean slowness of the workers in use, given with their kinds."""
        total = sum(self.slowness(worker, kind) for worker, kind in kinds.items())
        self.mean_slowness = total / max(1, len(kinds))

    def observe(
        self, worker: WorkerId, kind: str, seconds: float, step: StepDurations
    ) -> None:
        """Update the estimates with the duration of a task."""
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
        """Remove the estimate of a worker's previous incarnation."""
        self.workers.pop(worker, None)
