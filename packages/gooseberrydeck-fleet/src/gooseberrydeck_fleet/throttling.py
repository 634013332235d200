"""Slowing down tasks that fill, where tasks with a target miss it.

Answers workers on which both kinds met because there was no other room.
"""

from gooseberrydeck_fleet.state import Run, RunState, Worker

__all__ = ["Throttler"]

SLOW_DOWN_LOAD = 0.85
"""Share of the target from which tasks that fill are slowed down."""

SPEED_UP_LOAD = 0.5
"""Share of the target below which they may work more."""

SPEED_UP_PERCENT = 25
"""How much more they may work after each look."""

ADJUST_INTERVAL_S = 0.5
"""Time between two changes; workers report the load of the last half second."""


class Throttler:
    """Halve the pace of what fills beside a task near its target, raise it slowly."""

    def __init__(self) -> None:
        """Begin without a change."""
        self.changed_s: dict[str, float] = {}

    def adjust(self, worker: Worker, now_s: float) -> list[tuple[Run, int]]:
        """Return the runs of a worker whose pace has to change, with their pace."""
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
        load_ratio = max(
            (
                run.load / (1000 * run.task.step.spec.target_s)
                for run in worker.runs.values()
                if run.task.step.spec.target_s and run.state is RunState.RUNNING
            ),
            default=0.0,
        )
        changes = []
        for run in best_effort_runs:
            speed_percent = next_speed_percent(run.speed_percent, load_ratio)
            if speed_percent != run.speed_percent:
                run.speed_percent = speed_percent
                changes.append((run, speed_percent))
        if changes:
            self.changed_s[worker.id] = now_s
        return changes


def next_speed_percent(speed_percent: int, load_ratio: float) -> int:
    """Return the pace in percent for the worst load beside a run, over its target."""
    if load_ratio >= SLOW_DOWN_LOAD:
        return speed_percent // 2 if speed_percent > SPEED_UP_PERCENT else 0
    if load_ratio < SPEED_UP_LOAD:
        return min(100, speed_percent + SPEED_UP_PERCENT)
    return speed_percent
