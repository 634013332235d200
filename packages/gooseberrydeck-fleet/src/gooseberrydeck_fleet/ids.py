"""Identifiers of workers, steps and tasks."""

from typing import NamedTuple, NewType

from gooseberrydeck_coordination.ids import JobId

__all__ = ["StepRef", "TaskRef", "WorkerId"]

WorkerId = NewType("WorkerId", str)


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
