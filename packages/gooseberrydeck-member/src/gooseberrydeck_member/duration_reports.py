"""Metrics of the durations that are learned from finished runs."""

import structlog

from gooseberrydeck_fleet.duration_learner import DurationLearner
from gooseberrydeck_fleet.duration_summaries import QueueSummary, StepSummary
from gooseberrydeck_member.observability import Metrics

__all__ = ["DurationReporter"]

log = structlog.get_logger(__name__)

SUMMARY_INTERVAL_S = 5.0
"""Interval at which the gauges are set; metrics are read less often."""

LOG_INTERVAL_S = 60.0
"""Interval at which a line is logged for each queue."""

MAX_LOGGED_QUEUES = 50
"""Queues of which a line is logged; deployments have about ten."""


class DurationReporter:
    """Report what a learner expected of the runs, and what it believes now."""

    def __init__(self, learner: DurationLearner, metrics: Metrics) -> None:
        """Report on one learner."""
        self.learner = learner
        self.metrics = metrics
        self.summaries_due_s = 0.0
        self.log_due_s: float | None = None

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
        if now_s >= self.summaries_due_s:
            self.summaries_due_s = now_s + SUMMARY_INTERVAL_S
            self.report_summaries(self.is_log_due(now_s))

    def is_log_due(self, now_s: float) -> bool:
        """Return True if the queues are to be logged; the first time after a while."""
        is_due = self.log_due_s is not None and now_s >= self.log_due_s
        if is_due or self.log_due_s is None:
            self.log_due_s = now_s + LOG_INTERVAL_S
        return is_due

    def report_summaries(self, is_logged: bool) -> None:
        """Set the gauges, and remove those of queues that are forgotten."""
        self.close()
        steps = self.learner.summarize_steps()
        queues = self.learner.summarize_queues()
        if is_logged:
            for queue in queues[:MAX_LOGGED_QUEUES]:
                log_queue(queue, steps)
        for queue in queues:
            for of, error in (("learned", queue.learned), ("estimate", queue.estimate)):
                self.metrics.duration_error.labels(queue.name, of).set(error)
            for use, count in (("learned", queue.better), ("estimate", queue.worse)):
                self.metrics.duration_teams.labels(queue.name, use).set(count)
        for step in steps:
            gauge = self.metrics.duration_seconds
            gauge.labels(step.queue, step.number, "0.5").set(step.typical_s)
            gauge.labels(step.queue, step.number, "0.9").set(step.nine_of_ten_s)

    def close(self) -> None:
        """Remove the gauges: those of another holder count from now on."""
        self.metrics.duration_error.clear()
        self.metrics.duration_teams.clear()
        self.metrics.duration_seconds.clear()


def log_queue(queue: QueueSummary, steps: list[StepSummary]) -> None:
    """Log what is learned of a queue."""
    log.info(
        "durations learned",
        queue=queue.name,
        learned_error=round(queue.learned, 3),
        estimate_error=round(queue.estimate, 3),
        teams_by_learned=queue.better,
        teams_by_estimate=queue.worse,
        steps=[
            {
                "number": step.number,
                "typical_s": round(step.typical_s, 3),
                "nine_of_ten_s": round(step.nine_of_ten_s, 3),
            }
            for step in steps
            if step.queue == queue.name
        ],
    )
