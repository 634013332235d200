"""A worker over the engine in the same process, with faults for each caller."""

from collections import deque
from collections.abc import Callable, Sequence
from typing import TypeVar

from gooseberrydeck_coordination.ids import TaskId
from gooseberrydeck_platform.exceptions import (
    OutcomeUnknownError,
    WorkerUnavailableError,
)
from gooseberrydeck_platform.workers import (
    Adoption,
    Fence,
    StartResult,
    TaskReport,
    TaskStart,
)
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.worker_engine import WorkerEngine

__all__ = ["EngineWorker"]

T = TypeVar("T")


class EngineWorker:
    """The ``Worker`` of one caller, over an engine that callers share.

    ``fault`` holds for every call of this caller; ``next_faults`` come before it, one
    for each call.
    """

    def __init__(self, engine: WorkerEngine) -> None:
        """Begin without faults."""
        self.engine = engine
        self.fault = CallFault.NONE
        self.next_faults: deque[CallFault] = deque()

    def adopt(self, fence: Fence, timeout_s: float) -> Adoption:
        """Raise the worker's fence and return everything it holds."""
        return self.call(lambda: self.engine.adopt(fence))

    def start(
        self, fence: Fence, starts: Sequence[TaskStart], timeout_s: float
    ) -> tuple[StartResult, ...]:
        """Start several tasks, each by itself, in order."""
        return self.call(lambda: self.engine.start(fence, starts))

    def renew(
        self, fence: Fence, tasks: Sequence[TaskId], lease_s: float, timeout_s: float
    ) -> tuple[TaskReport, ...]:
        """Renew leases and return the reports of every task that it holds."""
        return self.call(lambda: self.engine.renew(fence, tasks, lease_s))

    def checkpoint(self, fence: Fence, task: TaskId, timeout_s: float) -> None:
        """Ask a task to save its state and end as ``CHECKPOINTED``."""
        self.call(lambda: self.engine.checkpoint(fence, task))

    def throttle(
        self, fence: Fence, task: TaskId, cpu_millis: int, timeout_s: float
    ) -> None:
        """Bound the processor use of a task."""
        self.call(lambda: self.engine.throttle(fence, task, cpu_millis))

    def stop(self, fence: Fence, tasks: Sequence[TaskId], timeout_s: float) -> None:
        """Stop tasks; one that is not known is never started afterwards."""
        self.call(lambda: self.engine.stop(fence, tasks))

    def acknowledge(
        self, fence: Fence, tasks: Sequence[TaskId], timeout_s: float
    ) -> None:
        """Let the worker forget ended tasks whose outcome has been recorded."""
        self.call(lambda: self.engine.acknowledge(fence, tasks))

    def call(self, effect: Callable[[], T]) -> T:
        """Make one call under this caller's faults."""
        fault = self.next_faults.popleft() if self.next_faults else self.fault
        if fault is CallFault.DOWN:
            raise WorkerUnavailableError(f"{self.engine.host} is down")
        if fault is CallFault.REQUEST_LOST:
            raise OutcomeUnknownError(f"{self.engine.host}: no answer came")
        result = effect()
        if fault is CallFault.ANSWER_LOST:
            raise OutcomeUnknownError(f"{self.engine.host}: no answer came")
        return result
