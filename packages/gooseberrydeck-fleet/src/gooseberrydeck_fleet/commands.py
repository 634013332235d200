"""Commands that the scheduler issues, and batches of changes to store."""

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
    "CommandQueue",
    "JobEnding",
    "ProgressWrite",
    "RunCommand",
    "StartRun",
    "StopRun",
    "ThrottleRun",
]


class StartRun(msgspec.Struct, frozen=True):
    """Send a start request to a worker; its resources are already allocated.

    ``born_ms`` is the start of the worker's process whose clock the request refers to.
    """

    worker: WorkerId
    request: StartRequest
    born_ms: int = 0


class StopRun(msgspec.Struct, frozen=True):
    """Send a stop request to a worker."""

    worker: WorkerId
    task: TaskRef
    run: int
    reason: StopReason


class ThrottleRun(msgspec.Struct, frozen=True):
    """Limit a run to ``percent`` of its full speed."""

    worker: WorkerId
    task: TaskRef
    run: int
    percent: int


class AskAdvice(msgspec.Struct, frozen=True):
    """Request advice on which of some workers may run a step."""

    step: StepRef
    workers: tuple[WorkerId, ...]
    is_urgent: bool
    timeout_s: float


RunCommand = StartRun | StopRun | ThrottleRun
"""A command to a worker, about one run."""

Command = RunCommand | AskAdvice


class CommandQueue:
    """The commands of one scheduling pass."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.commands: list[Command] = []

    def add(self, command: Command) -> None:
        """Append a command."""
        self.commands.append(command)

    def take_all(self) -> list[Command]:
        """Remove and return all commands, in order."""
        commands, self.commands = self.commands, []
        return commands


class ProgressWrite(msgspec.Struct, frozen=True):
    """The progress of a job, which replaces the value stored at ``revision``."""

    job: JobId
    value: bytes
    revision: int


class JobEnding(msgspec.Struct, frozen=True):
    """A job in a final state without any remaining runs."""

    job: JobId
    ended: EndedJob
    progress_revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes that have to be stored before workers may forget the ends behind them."""

    progress: tuple[ProgressWrite, ...]
    endings: tuple[JobEnding, ...]
    acknowledged_ends: dict[WorkerId, tuple[int, int]]
    """By worker, the start of its incarnation in Unix ms and its newest end."""
    sequence: int = 0
    """Distinguishes these changes from others that are being stored concurrently."""

    @property
    def is_empty(self) -> bool:
        """Return True if there is nothing to write."""
        return not self.progress and not self.endings
