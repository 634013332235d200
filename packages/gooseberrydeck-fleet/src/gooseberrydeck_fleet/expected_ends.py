"""When runs are expected to end, by their progress or what is known of their tasks."""

import math

from gooseberrydeck_fleet.duration_samples import learned_remaining_s
from gooseberrydeck_fleet.evacuation import MIN_PROGRESS_PERCENT
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.state import Run, RunState, Step

__all__ = ["expected_duration_s", "expected_end_s"]

MIN_REMAINING_S = 0.1
"""The least expected remaining duration of a run that has outlasted its estimate."""


def expected_duration_s(step: Step) -> float:
    """Return the expected duration of a step's tasks, infinite if it is unknown."""
    if step.spec.is_standing:
        return math.inf
    return step.durations.typical_s() or step.spec.estimate_s or math.inf


def expected_end_s(run: Run, ledger: Ledger, now_s: float) -> float:
    """Return when a run is expected to end in monotonic seconds, or infinity.

    A run that has outlasted what was expected of it is expected to go on for as long as
    it has done so, and one of which nothing is known for as long as it has run.
    """
    if run.state is RunState.STOPPING:
        return now_s
    if run.task.step.spec.is_standing:
        return math.inf
    left_s = expected_left_s(run, ledger, now_s)
    if left_s < 0:
        left_s = max(MIN_REMAINING_S, -left_s)
    return now_s + left_s


def expected_left_s(run: Run, ledger: Ledger, now_s: float) -> float:
    """Return the remaining duration of a run, negative if it has outlasted that."""
    pace_s = run.seconds_per_percent
    if pace_s is not None and run.measured_percent >= MIN_PROGRESS_PERCENT:
        return pace_s * (100 - run.progress) - (now_s - run.progress_changed_s)
    step = run.task.step
    typical_s = step.durations.typical_s()
    if typical_s is None and ledger.durations.uses.moves:
        learned_s = learned_remaining_s(run, ledger, now_s)
        if learned_s is not None:
            return learned_s
    done = run.first_progress or 0.0
    left_s = (typical_s or step.spec.estimate_s) * (1 - min(done, 100.0) / 100)
    return left_s - (now_s - run.first_progress_s)
