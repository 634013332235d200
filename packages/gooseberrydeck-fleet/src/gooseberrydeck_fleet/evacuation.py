"""Evacuation of draining workers.

Runs that can't end before their worker leaves, with long or short notice, continue on
another worker from a checkpoint that is as recent as possible.
"""

from gooseberrydeck_fleet.duration_samples import learned_remaining_s
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.run_ends import RunEndHandler
from gooseberrydeck_fleet.state import Run, RunState, Step, StopReason, Worker

__all__ = ["Evacuator"]

DEPARTURE_MARGIN_S = 0.4
"""Allowance for sending the stop request and receiving the checkpoint."""

RUN_END_MARGIN_S = 0.3
"""A run counts as ending in time only if this much time remains after its end."""

MIN_SHORTAGE_S = 1.0
"""Shortage of time from which a run that saves no progress moves early.

The remaining duration is an estimate, and workers may stay longer than announced.
"""

MIN_PROGRESS_PERCENT = 10.0
"""Progress from which the speed of a run predicts its remaining duration."""


class Evacuator:
    """Decide which runs on a draining worker to stop, and when."""

    def __init__(self, placer: Placer, ends: RunEndHandler, stop_s: float) -> None:
        """Create an evacuator for runs that take up to ``stop_s`` seconds to stop."""
        self.placer = placer
        self.ends = ends
        self.stop_lead_s = stop_s + DEPARTURE_MARGIN_S

    def evacuate(self, worker: Worker, now_s: float) -> list[Step]:
        """Stop the runs that have to move now.

        Returns the long-running steps whose tasks fit on no other permitted worker.
        """
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
                self.stop_to_move(run)
        return list(unplaced)

    def must_move(self, run: Run, left_s: float, now_s: float) -> bool:
        """Return True if a run has to stop now, ``left_s`` before its worker leaves."""
        spec = run.task.step.spec
        if spec.is_standing:
            return True
        needed_s = remaining_s(run, self.placer.ledger, now_s)
        if needed_s + RUN_END_MARGIN_S < left_s:
            return False
        if spec.saves_progress or spec.is_gang:
            return left_s <= self.stop_lead_s
        # The run saves no progress: its work is lost now, or more of it later.
        return needed_s > left_s + MIN_SHORTAGE_S

    def stop_to_move(self, run: Run) -> None:
        """Stop a run, or all members of its gang, so that it restarts elsewhere."""
        step = run.task.step
        members = step.tasks if step.spec.is_gang else [run.task]
        for task in members:
            for each in task.runs:
                self.ends.request_stop(each, StopReason.DRAINING)

    def fits_elsewhere(self, run: Run, now_s: float) -> bool:
        """Return True if the run's task could start on another worker now."""
        step = run.task.step
        return any(
            self.placer.slots(worker, step) >= 1
            for worker in self.placer.permitted(step, now_s)
        )


def remaining_s(run: Run, ledger: Ledger, now_s: float) -> float:
    """Return the expected remaining duration of a run, in seconds.

    It is based on the run's progress so far, or else on the typical duration of the
    step, on what was learned from other jobs, or on the caller's estimate.
    """
    elapsed_s = now_s - run.started_s
    observed_s = run.progress_changed_s - run.started_s
    if run.progress >= MIN_PROGRESS_PERCENT and not run.skip_duration_sample:
        return max(0.0, observed_s * 100 / run.progress - elapsed_s)
    typical_s = run.task.step.durations.typical_s()
    if typical_s is None and ledger.durations.uses.moves:
        learned_s = learned_remaining_s(run, ledger, now_s)
        if learned_s is not None:
            return learned_s
    expected_s = typical_s or run.task.step.spec.estimate_s
    left = 1 - min(run.progress, 100.0) / 100
    return expected_s * left
