"""Copies of tasks whose workers are slow or stand still.

Answers stragglers in steps that allow copies. A task that is merely longer than its
siblings gets none: a copy would take as long.
"""

from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.state import Run, RunState, Step, Worker

__all__ = ["Speculator"]

STRAGGLER_FACTOR = 1.5
"""A run that takes longer than this times its step's usual time may get a copy."""

MIN_SLOWNESS_GAP = 0.6
"""A copy goes to a worker at least this e-fold faster: nearly twice as fast."""

NO_PROGRESS_S = 1.3
"""Longer than workers take to report again; a copy need not wait for more."""

MIN_REMAINING_SHARE = 0.7
"""A copy is worth it only if more than this share of the usual time is left."""


class Speculator:
    """Find runs worth a copy, and a worker for it."""

    def __init__(self, placer: Placer) -> None:
        """Look for workers through ``placer``."""
        self.placer = placer

    def stragglers(self, step: Step, now_s: float) -> list[Run]:
        """Return the only runs of tasks that are far behind their siblings."""
        typical_s = step.durations.typical_s()
        if typical_s is None:
            return []
        return [
            task.runs[0]
            for task in step.tasks
            if not task.is_done
            and len(task.runs) == 1
            and is_straggler(task.runs[0], typical_s, now_s)
        ]

    def choose(self, run: Run, now_s: float) -> Worker | None:
        """Return the best worker that would do a run's work much sooner, or None."""
        candidates = [
            worker
            for worker in self.placer.permitted(run.task.step, now_s)
            if self.would_be_faster(run, worker, now_s)
        ]
        return self.placer.choose(candidates, run.task, now_s)

    def would_be_faster(self, run: Run, worker: Worker, now_s: float) -> bool:
        """Tell whether a worker would do a straggler's work much sooner."""
        if worker is run.worker:
            return False
        if now_s - run.progress_changed_s > NO_PROGRESS_S:
            return True
        speeds = self.placer.ledger.speeds
        own = speeds.slowness(run.worker.id, run.worker.entry.kind)
        other = speeds.slowness(worker.id, worker.entry.kind)
        return own - other > MIN_SLOWNESS_GAP


def is_straggler(run: Run, typical_s: float, now_s: float) -> bool:
    """Tell whether a copy of a run would probably end before the run does."""
    elapsed_s = now_s - run.started_s
    if run.state is not RunState.RUNNING or elapsed_s < STRAGGLER_FACTOR * typical_s:
        return False
    if now_s - run.progress_changed_s > NO_PROGRESS_S:
        return True
    observed_s = max(run.progress_changed_s - run.started_s, 0.0)
    progress = max(run.progress, 1.0) / 100
    left_s = observed_s / progress - elapsed_s
    return left_s > MIN_REMAINING_SHARE * typical_s
