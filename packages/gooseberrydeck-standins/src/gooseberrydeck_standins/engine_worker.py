"""``Worker`` client of an engine in the same process, with faults per client."""

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
    """A ``Worker`` client over an engine that several clients share.

    ``next_faults`` applies one fault to each of the next calls of this client;
    ``fault`` applies to every call after them.
    """

    def __init__(self, engine: WorkerEngine) -> None:
        """Create a client without faults."""
        self.engine = engine
        self.fault = CallFault.NONE
        self.next_faults: deque[CallFault] = deque()

    def adopt(self, fence: Fence, timeout_s: float) -> Adoption:
        """Set the worker's fence and return its capacity and task reports."""
        return self.call(lambda: self.engine.adopt(fence))

    def start(
        self, fence: Fence, starts: Sequence[TaskStart], timeout_s: float
    ) -> tuple[StartResult, ...]:
        """Start tasks in order, each independently, and return their results."""
        return self.call(lambda: self.engine.start(fence, starts))

    def renew(
        self, fence: Fence, tasks: Sequence[TaskId], lease_s: float, timeout_s: float
    ) -> tuple[TaskReport, ...]:
        """Renew the leases of ``tasks`` and return the reports of all tasks."""
        return self.call(lambda: self.engine.renew(fence, tasks, lease_s))

    def checkpoint(self, fence: Fence, task: TaskId, timeout_s: float) -> None:
        """Save the progress of a running task and end it as ``CHECKPOINTED``."""
        self.call(lambda: self.engine.checkpoint(fence, task))

    def throttle(
        self, fence: Fence, task: TaskId, cpu_millis: int, timeout_s: float
    ) -> None:
        """Limit the processor use of a task."""
        self.call(lambda: self.engine.throttle(fence, task, cpu_millis))

    def stop(self, fence: Fence, tasks: Sequence[TaskId], timeout_s: float) -> None:
        """Stop tasks and reject later starts of those that are not known yet."""
        self.call(lambda: self.engine.stop(fence, tasks))

    def acknowledge(
        self, fence: Fence, tasks: Sequence[TaskId], timeout_s: float
    ) -> None:
        """Drop the reports of ended tasks whose outcome has been recorded."""
        self.call(lambda: self.engine.acknowledge(fence, tasks))

    def call(self, effect: Callable[[], T]) -> T:
        """Run a call under the client's next fault and return its result."""
        fault = self.next_faults.popleft() if self.next_faults else self.fault
        if fault is CallFault.DOWN:
            raise WorkerUnavailableError(f"{self.engine.host} is down")
        if fault is CallFault.REQUEST_LOST:
            raise OutcomeUnknownError(f"{self.engine.host}: no answer came")
        result = effect()
        if fault is CallFault.ANSWER_LOST:
            raise OutcomeUnknownError(f"{self.engine.host}: no answer came")
        return result
