"""Moving work off workers that are about to leave.

Answers planned departures and departures at short notice: what cannot end before its
worker leaves goes on elsewhere, from a checkpoint that is as new as possible.
"""

from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.run_ends import RunEndHandler
from gooseberrydeck_fleet.state import Run, RunState, Step, StopReason, Worker

__all__ = ["Evacuator"]

DEPARTURE_MARGIN_S = 0.4
"""Kept for the way of the order to the worker and of the checkpoint back."""

RUN_END_MARGIN_S = 0.3
"""A run that is expected to end less than this before the departure may not make it."""

MIN_GAIN_S = 1.0
"""A run whose work is not saved moves early only if it lacks this much more time than
there is: what it needs is an estimate, and workers may stay longer than they say."""

MIN_PROGRESS_PERCENT = 10.0
"""Percent from which the pace of a run tells how long it will take."""


class Evacuator:
    """Choose the runs to stop on a worker that drains, and when."""

    def __init__(self, placer: Placer, ends: RunEndHandler, stop_s: float) -> None:
        """Expect that stops take up to ``stop_s`` seconds."""
        self.placer = placer
        self.ends = ends
        self.stop_lead_s = stop_s + DEPARTURE_MARGIN_S

    def evacuate(self, worker: Worker, now_s: float) -> list[Step]:
        """Stop what has to move now; return the standing steps that need a place."""
        left_s = worker.available_until_s - now_s
        unplaced: dict[Step, None] = {}
        for run in list(worker.runs.values()):
            if run.state is not RunState.RUNNING:
                continue
            if run.task.step.spec.is_standing and not self.fits_elsewhere(run, now_s):
                unplaced[run.task.step] = None
                if left_s > self.stop_lead_s:
                    continue
            if self.must_move(run, left_s, now_s):
                self.move(run)
        return list(unplaced)

    def must_move(self, run: Run, left_s: float, now_s: float) -> bool:
        """Tell whether a run has to stop now, ``left_s`` before its worker leaves."""
        spec = run.task.step.spec
        if spec.is_standing:
            return True
        needed_s = remaining_s(run, now_s)
        if needed_s + RUN_END_MARGIN_S < left_s:
            return False
        if spec.saves_progress or spec.is_gang:
            return left_s <= self.stop_lead_s
        # Nothing is saved: what was done is lost now, or more of it at the departure.
        return needed_s > left_s + MIN_GAIN_S

    def move(self, run: Run) -> None:
        """Stop a run; the members of a gang move together."""
        step = run.task.step
        members = step.tasks if step.spec.is_gang else [run.task]
        for task in members:
            for each in task.runs:
                self.ends.request_stop(each, StopReason.DRAINING)

    def fits_elsewhere(self, run: Run, now_s: float) -> bool:
        """Tell whether a task could start elsewhere at once."""
        step = run.task.step
        return any(
            self.placer.slots(worker, step) >= 1
            for worker in self.placer.permitted(step, now_s)
        )


def remaining_s(run: Run, now_s: float) -> float:
    """Return how long a run probably takes to end, by its pace or the estimate."""
    elapsed_s = now_s - run.started_s
    observed_s = run.progress_changed_s - run.started_s
    if run.progress >= MIN_PROGRESS_PERCENT and not run.skip_duration_sample:
        return max(0.0, observed_s * 100 / run.progress - elapsed_s)
    typical_s = run.task.step.durations.typical_s()
    expected_s = typical_s or run.task.step.spec.estimate_s
    left = 1 - min(run.progress, 100.0) / 100
    return expected_s * left
