"""Throttling of best-effort runs that endanger the latency target of others.

Both kinds share a worker only if no other worker has capacity.
"""

from gooseberrydeck_fleet.state import Run, RunState, Worker

__all__ = ["Throttler"]

SLOW_DOWN_RATIO = 0.85
"""Ratio of tail latency to its target from which best-effort runs are slowed down."""

SPEED_UP_RATIO = 0.5
"""Ratio of tail latency to its target below which best-effort runs are sped up."""

SPEED_UP_PERCENT = 25
"""Increase of the speed at each adjustment, in percent of full speed."""

ADJUST_INTERVAL_S = 0.5
"""Minimum time between changes; workers report the load of the last half second."""


class Throttler:
    """Adjust best-effort runs: halve their speed on high latency, raise it slowly."""

    def __init__(self) -> None:
        """Create a throttler without recent adjustments."""
        self.changed_s: dict[str, float] = {}

    def adjust(self, worker: Worker, now_s: float) -> list[tuple[Run, int]]:
        """Return the runs of a worker whose speed changes, with the new percentages.

        A speed that was set before the worker fell silent is set again.
        """
        best_effort_runs = [
            run
            for run in worker.runs.values()
            if run.task.step.spec.uses_leftover and run.state is RunState.RUNNING
        ]
        if (
            not best_effort_runs
            or now_s - self.changed_s.get(worker.id, 0.0) < ADJUST_INTERVAL_S
        ):
            return []
        latency_ratio = max(
            (
                run.load / (1000 * run.task.step.spec.target_s)
                for run in worker.runs.values()
                if run.task.step.spec.target_s and run.state is RunState.RUNNING
            ),
            default=0.0,
        )
        changes = []
        for run in best_effort_runs:
            speed_percent = next_speed_percent(run.speed_percent, latency_ratio)
            if speed_percent != run.speed_percent or may_be_lost(run):
                run.speed_percent = speed_percent
                run.speed_set_s = now_s
                changes.append((run, speed_percent))
        if changes:
            self.changed_s[worker.id] = now_s
        return changes


def may_be_lost(run: Run) -> bool:
    """Return True if the last command that set a run's speed may not have arrived.

    Each command that fails or is dropped comes with a silence of its worker.
    """
    return run.speed_set_s is not None and run.speed_set_s < run.worker.answers_since_s


def next_speed_percent(speed_percent: int, latency_ratio: float) -> int:
    """Return the new speed of a best-effort run, in percent.

    ``latency_ratio`` is the highest ratio of tail latency to its target among the runs
    on the same worker.
    """
    if latency_ratio >= SLOW_DOWN_RATIO:
        return speed_percent // 2 if speed_percent > SPEED_UP_PERCENT else 0
    if latency_ratio < SPEED_UP_RATIO:
        return min(100, speed_percent + SPEED_UP_PERCENT)
    return speed_percent
