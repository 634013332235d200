"""Metrics of the durations that are learned from finished runs."""

from gooseberrydeck_fleet.duration_learner import DurationLearner
from gooseberrydeck_member.observability import Metrics

__all__ = ["DurationReporter"]

BELIEFS_INTERVAL_S = 5.0
"""Interval at which the gauges are set; metrics are read less often."""


class DurationReporter:
    """Report what a learner expected of the runs, and what it believes now."""

    def __init__(self, learner: DurationLearner, metrics: Metrics) -> None:
        """Report on one learner."""
        self.learner = learner
        self.metrics = metrics
        self.beliefs_due_s = 0.0

    def report(self, now_s: float) -> None:
        """Update the metrics; the cost is bounded by the runs that have ended."""
        learner, metrics = self.learner, self.metrics
        if not learner.is_learning:
            return
        for run in learner.take_judged():
            ratio = metrics.duration_ratio
            ratio.labels(run.queue, "learned").observe(run.actual_s / run.learned_s)
            if run.estimate_s > 0:
                by_estimate = run.actual_s / run.estimate_s
                ratio.labels(run.queue, "estimate").observe(by_estimate)
        for reason, count in learner.take_refused().items():
            metrics.durations_refused.labels(reason.value).inc(count)
        if now_s >= self.beliefs_due_s:
            self.beliefs_due_s = now_s + BELIEFS_INTERVAL_S
            self.report_beliefs()

    def report_beliefs(self) -> None:
        """Set the gauges, and remove those of queues that are forgotten."""
        self.close()
        for queue in self.learner.queue_beliefs():
            for of, error in (("learned", queue.learned), ("estimate", queue.estimate)):
                self.metrics.duration_error.labels(queue.name, of).set(error)
            for use, count in (("learned", queue.better), ("estimate", queue.worse)):
                self.metrics.duration_teams.labels(queue.name, use).set(count)
        for step in self.learner.step_beliefs():
            gauge = self.metrics.duration_seconds
            gauge.labels(step.queue, step.number, "0.5").set(step.typical_s)
            gauge.labels(step.queue, step.number, "0.9").set(step.nine_of_ten_s)

    def close(self) -> None:
        """Remove the gauges: the beliefs are those of another holder from now on."""
        self.metrics.duration_error.clear()
        self.metrics.duration_teams.clear()
        self.metrics.duration_seconds.clear()
