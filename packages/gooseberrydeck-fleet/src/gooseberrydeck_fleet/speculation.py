"""Speculative copies of tasks on slow or stalled workers.

Copies limit the effect of stragglers in steps that allow them. A task that merely has
more work than its siblings gets no copy, since the copy would take as long.
"""

from gooseberrydeck_fleet.candidates import Candidates
from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.start_permission import may_copy
from gooseberrydeck_fleet.state import Run, RunState, Step, Worker

__all__ = ["Speculator"]

STRAGGLER_FACTOR = 1.5
"""A run may get a copy after this many times the typical duration of its step."""

MIN_SLOWNESS_GAP = 0.6
"""Minimum gain in speed for a copy, as a natural logarithm: nearly twice as fast."""

NO_PROGRESS_S = 1.3
"""A run without new progress for this long counts as stalled.

This exceeds the interval between the reports of a worker.
"""

MIN_REMAINING_SHARE = 0.7
"""A copy starts only if more than this share of the typical duration remains."""


class Speculator:
    """Find straggling runs and workers for their copies."""

    def __init__(self, placer: Placer) -> None:
        """Create a speculator that selects workers through ``placer``."""
        self.placer = placer

    def stragglers(self, step: Step, now_s: float) -> list[Run]:
        """Return the runs without copies that are far behind their siblings."""
        typical_s = step.durations.typical_s()
        if typical_s is None:
            return []
        return [
            task.runs[0]
            for task in step.tasks
            if may_copy(task) and is_straggler(task.runs[0], typical_s, now_s)
        ]

    def choose(self, run: Run, now_s: float) -> Worker | None:
        """Return the best worker for a copy of a run, or None."""
        candidates = [
            worker
            for worker in self.placer.permitted(run.task.step, now_s)
            if self.would_be_faster(run, worker, now_s)
        ]
        step = run.task.step
        return Candidates(self.placer, candidates, step).take(run.task, now_s)

    def would_be_faster(self, run: Run, worker: Worker, now_s: float) -> bool:
        """Return True if a worker would finish a straggler's task much sooner."""
        if worker is run.worker:
            return False
        if now_s - run.progress_changed_s > NO_PROGRESS_S:
            return True
        speeds = self.placer.ledger.speeds
        own = speeds.slowness(run.worker.id, run.worker.entry.kind)
        other = speeds.slowness(worker.id, worker.entry.kind)
        return own - other > MIN_SLOWNESS_GAP


def is_straggler(run: Run, typical_s: float, now_s: float) -> bool:
    """Return True if a copy would probably end before the run itself."""
    elapsed_s = now_s - run.started_s
    if run.state is not RunState.RUNNING or elapsed_s < STRAGGLER_FACTOR * typical_s:
        return False
    if now_s - run.progress_changed_s > NO_PROGRESS_S:
        return True
    observed_s = max(run.progress_changed_s - run.started_s, 0.0)
    progress = max(run.progress, 1.0) / 100
    left_s = observed_s / progress - elapsed_s
    return left_s > MIN_REMAINING_SHARE * typical_s
