"""Identifiers of workers, steps and tasks."""

from typing import NamedTuple, NewType

from gooseberrydeck_coordination.ids import JobId

__all__ = [
    "MAX_NUMBERED_FAILURES",
    "StepRef",
    "TaskRef",
    "WorkerId",
    "earlier_failures",
    "run_number",
]

WorkerId = NewType("WorkerId", str)

MAX_NUMBERED_FAILURES = 9
"""The last digit of a run's number, which stands for this many failures or more."""


def run_number(start: int, failures: int) -> int:
    """Return the number, within a holder's range, of a start.

    Its last digit says how often the task has failed before.
    A successor learns of the failures by the run, even if it can't reach the workers
    that list them.
    """
    digit = min(failures, MAX_NUMBERED_FAILURES)
    return start * (MAX_NUMBERED_FAILURES + 1) + digit


def earlier_failures(number: int) -> int:
    """Return how often the task of a run had failed before, at least."""
    return number % (MAX_NUMBERED_FAILURES + 1)


class StepRef(NamedTuple):
    """One occurrence of a step of a job."""

    job: JobId
    occurrence: int
    step: int


class TaskRef(NamedTuple):
    """One task of an occurrence of a step."""

    job: JobId
    occurrence: int
    step: int
    number: int

    @property
    def step_ref(self) -> StepRef:
        """Return the reference of the step that the task belongs to."""
        return StepRef(self.job, self.occurrence, self.step)
