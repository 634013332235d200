"""What the scheduler asks its surroundings to do."""

import msgspec

from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.ids import StepRef, TaskRef, WorkerId
from gooseberrydeck_fleet.state import StopReason
from gooseberrydeck_fleet.work import EndedJob
from gooseberrydeck_fleet.worker_calls import StartRequest

__all__ = [
    "AskAdvice",
    "Changes",
    "Command",
    "JobEnding",
    "ProgressWrite",
    "StartRun",
    "StopRun",
    "ThrottleRun",
]


class StartRun(msgspec.Struct, frozen=True):
    """Send a start to a worker; its room is counted already."""

    worker: WorkerId
    request: StartRequest


class StopRun(msgspec.Struct, frozen=True):
    """Send a stop to a worker."""

    worker: WorkerId
    task: TaskRef
    run: int
    reason: StopReason


class ThrottleRun(msgspec.Struct, frozen=True):
    """Let a run work at ``percent`` of its speed."""

    worker: WorkerId
    task: TaskRef
    run: int
    percent: int


class AskAdvice(msgspec.Struct, frozen=True):
    """Ask which of some workers may run a step."""

    step: StepRef
    workers: tuple[WorkerId, ...]
    is_urgent: bool
    timeout_s: float


Command = StartRun | StopRun | ThrottleRun | AskAdvice


class ProgressWrite(msgspec.Struct, frozen=True):
    """The progress of a job, to replace what the store has at ``revision``."""

    job: JobId
    value: bytes
    revision: int


class JobEnding(msgspec.Struct, frozen=True):
    """A job of which nothing runs any more and whose state is final."""

    job: JobId
    ended: EndedJob
    progress_revision: int


class Changes(msgspec.Struct, frozen=True):
    """What has to be stored before workers may forget the ends behind it."""

    progress: tuple[ProgressWrite, ...]
    endings: tuple[JobEnding, ...]
    acknowledged_ends: dict[WorkerId, tuple[int, int]]
    """The newest end that a worker's life has listed, by its start in Unix ms."""
    sequence: int = 0
    """Tells these changes from others that are being stored at the same time."""

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing has to be written."""
        return not self.progress and not self.endings
