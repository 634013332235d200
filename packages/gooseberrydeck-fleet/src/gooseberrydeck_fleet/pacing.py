"""Slowing down tasks that fill, where tasks with a target miss it.

Answers workers on which both kinds met because there was no other room.
"""

from gooseberrydeck_fleet.state import Run, RunState, Worker

__all__ = ["Pacer"]

SLOW_DOWN_AT = 0.85
"""Share of the target from which tasks that fill are slowed down."""

SPEED_UP_AT = 0.5
"""Share of the target below which they may work more."""

STEP_PERCENT = 25
"""How much more they may work after each look."""

LOOK_S = 0.5
"""Time between two changes; workers report the load of the last half second."""


class Pacer:
    """Halve the pace of what fills beside a task near its target, raise it slowly."""

    def __init__(self) -> None:
        """Begin without a change."""
        self.changed_s: dict[str, float] = {}

    def adjust(self, worker: Worker, now_s: float) -> list[tuple[Run, int]]:
        """Return the runs of a worker whose pace has to change, with their pace."""
        fills = [
            run
            for run in worker.runs.values()
            if run.task.step.spec.uses_leftover and run.state is RunState.RUNNING
        ]
        if not fills or now_s - self.changed_s.get(worker.id, 0.0) < LOOK_S:
            return []
        strain = max(
            (
                run.load / (1000 * run.task.step.spec.target_s)
                for run in worker.runs.values()
                if run.task.step.spec.target_s and run.state is RunState.RUNNING
            ),
            default=0.0,
        )
        changes = []
        for run in fills:
            pace = next_pace(run.pace, strain)
            if pace != run.pace:
                run.pace = pace
                changes.append((run, pace))
        if changes:
            self.changed_s[worker.id] = now_s
        return changes


def next_pace(pace: int, strain: float) -> int:
    """Return the pace in percent for the worst load beside a run, over its target."""
    if strain >= SLOW_DOWN_AT:
        return pace // 2 if pace > STEP_PERCENT else 0
    if strain < SPEED_UP_AT:
        return min(100, pace + STEP_PERCENT)
    return pace
