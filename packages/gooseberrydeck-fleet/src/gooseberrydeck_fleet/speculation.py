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
        """Return the runs without copies that are far behind their siblings.

        Until enough siblings have ended, a run is far behind that nine of ten others of
        its kind would have ended by now.
        """
        typical_s = step.durations.typical_s()
        found = []
        for task in step.tasks:
            if not may_copy(task):
                continue
            run = task.runs[0]
            limit = self.learned_limit(run) if typical_s is None else None
            if typical_s is not None:
                limit = STRAGGLER_FACTOR * typical_s, typical_s
            if limit is not None and is_straggler(run, *limit, now_s):
                found.append(run)
        return found

    def learned_limit(self, run: Run) -> tuple[float, float] | None:
        """Return what nine of ten runs stay below, and the typical duration."""
        ledger, expected = self.placer.ledger, run.expectation
        if not ledger.durations.uses.copies or expected is None:
            return None
        if not expected.is_used or run.was_partial_at_start:
            return None
        limit_s = max(STRAGGLER_FACTOR * expected.typical_s, expected.nine_of_ten_s)
        return limit_s, expected.typical_s

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


def is_straggler(run: Run, limit_s: float, typical_s: float, now_s: float) -> bool:
    """Return True if a copy would probably end before the run itself.

    The run has to have taken longer than ``limit_s`` so far.
    """
    elapsed_s = now_s - run.started_s
    if run.state is not RunState.RUNNING or elapsed_s < limit_s:
        return False
    if now_s - run.progress_changed_s > NO_PROGRESS_S:
        return True
    observed_s = max(run.progress_changed_s - run.started_s, 0.0)
    progress = max(run.progress, 1.0) / 100
    left_s = observed_s / progress - elapsed_s
    return left_s > MIN_REMAINING_SHARE * typical_s
