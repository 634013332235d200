"""A worker in memory: fence, capacity, leases and tasks that take time."""

import math
from collections.abc import Sequence

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import HostName, TaskId
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_platform.exceptions import StaleFenceError
from gooseberrydeck_platform.workers import (
    Adoption,
    Fence,
    StartRefusal,
    StartResult,
    TaskReport,
    TaskStart,
    WorkerTaskState,
)
from gooseberrydeck_standins.ledger import Ledger, Run

__all__ = ["TaskPayload", "WorkerEngine"]

DEFAULT_RUN_S = 1.0
DEFAULT_USAGE_LAG_S = 1.0


class TaskPayload(msgspec.Struct, frozen=True):
    """What a task does: run, for ever if ``run_s`` is null, and end.

    ``usage`` is what it really uses, its declared resources if left out.
    """

    run_s: float | None = DEFAULT_RUN_S
    usage: Resources | None = None
    fail: bool = False
    result: str = ""


class TaskProgress(msgspec.Struct, frozen=True):
    """What a checkpoint holds."""

    done_s: float


class HeldTask(msgspec.Struct):
    """A task that the worker runs, or whose end is not yet acknowledged."""

    start: TaskStart
    payload: TaskPayload
    run: Run
    lease_until_s: float
    progress_s: float
    as_of_s: float
    speed: float = 1.0
    state: WorkerTaskState = WorkerTaskState.RUNNING
    result: bytes = b""
    exit_code: int = 0
    checkpoint: bytes = b""

    def work_s(self) -> float:
        """Return how long the task takes at full speed."""
        return math.inf if self.payload.run_s is None else self.payload.run_s

    def ends_at_s(self) -> float:
        """Return when the task ends by itself."""
        return self.as_of_s + (self.work_s() - self.progress_s) / self.speed


def read_payload(payload: bytes) -> TaskPayload:
    """Return what a task does; one that cannot be read fails at once."""
    if not payload:
        return TaskPayload()
    try:
        return msgspec.json.decode(payload, type=TaskPayload)
    except msgspec.DecodeError:
        return TaskPayload(run_s=0.0, fail=True)


class WorkerEngine:
    """One worker on a given clock; its callers take turns.

    It obeys one shard only, the first that adopts it. A task that was stopped is never
    started afterwards, even if the stop overtook the start.
    """

    def __init__(
        self,
        host: HostName,
        capacity: Resources,
        clock: Clock,
        ledger: Ledger,
        usage_lag_s: float = DEFAULT_USAGE_LAG_S,
    ) -> None:
        """Begin empty and not adopted."""
        self.host = host
        self.capacity = capacity
        self.clock = clock
        self.ledger = ledger
        self.usage_lag_s = usage_lag_s
        self.fence: Fence | None = None
        self.tasks: dict[TaskId, HeldTask] = {}
        self.results: dict[TaskId, StartResult] = {}
        self.is_draining = False
        self.is_broken = False
        self.fails_everything = False

    def adopt(self, fence: Fence) -> Adoption:
        """Raise the fence and return everything that the worker holds."""
        self.check_fence(fence)
        self.fence = fence
        return Adoption(self.host, self.capacity, self.reports())

    def check_fence(self, fence: Fence) -> None:
        """Refuse a fence that is older than the worker's, or of another shard."""
        self.advance()
        current = self.fence
        if current is None:
            return
        if fence.shard != current.shard or fence.epoch < current.epoch:
            raise StaleFenceError(
                f"{self.host} is adopted by shard {current.shard}, "
                f"epoch {current.epoch}"
            )

    def check_adopted(self, fence: Fence) -> None:
        """Refuse a fence under which the worker has not been adopted."""
        self.check_fence(fence)
        if self.fence != fence:
            raise StaleFenceError(f"{self.host} is not adopted under {fence}")

    def start(
        self, fence: Fence, starts: Sequence[TaskStart]
    ) -> tuple[StartResult, ...]:
        """Start several tasks, each by itself, in order."""
        self.check_adopted(fence)
        return tuple(self.start_one(each) for each in starts)

    def start_one(self, start: TaskStart) -> StartResult:
        """Start one task, or answer as at its first start."""
        if start.task not in self.results:
            refusal = self.refusal(start)
            result = StartResult(start.task, refusal)
            if refusal is not None:
                return result
            self.results[start.task] = result
            self.run(start)
        return self.results[start.task]

    def refusal(self, start: TaskStart) -> StartRefusal | None:
        """Return why a task cannot be started, if it cannot."""
        if self.is_broken:
            return StartRefusal.BROKEN
        if self.is_draining:
            return StartRefusal.DRAINING
        if not (self.committed() + start.resources).fits_in(self.capacity):
            return StartRefusal.CAPACITY
        return None

    def committed(self) -> Resources:
        """Return the declared resources of what runs."""
        total = NO_RESOURCES
        for held in self.tasks.values():
            if held.state is WorkerTaskState.RUNNING:
                total = total + held.start.resources
        return total

    def run(self, start: TaskStart) -> None:
        """Begin to run a task."""
        now = self.clock.monotonic()
        payload = read_payload(start.payload)
        progress = 0.0
        if start.checkpoint:
            saved = msgspec.json.decode(start.checkpoint, type=TaskProgress)
            progress = saved.done_s
        run = Run(start.task, self.host, start.team, start.resources, now)
        self.ledger.add(run)
        held = HeldTask(start, payload, run, now + start.lease_s, progress, now)
        self.tasks[start.task] = held
        if self.fails_everything:
            held.exit_code = 1
            self.end(held, WorkerTaskState.FAILED, now)

    def renew(
        self, fence: Fence, tasks: Sequence[TaskId], lease_s: float
    ) -> tuple[TaskReport, ...]:
        """Renew leases and return the reports of every task."""
        self.check_adopted(fence)
        until = self.clock.monotonic() + lease_s
        for task in tasks:
            held = self.tasks.get(task)
            if held is not None and held.state is WorkerTaskState.RUNNING:
                held.lease_until_s = until
        return self.reports()

    def checkpoint(self, fence: Fence, task: TaskId) -> None:
        """Save a task's progress and end it as ``CHECKPOINTED``."""
        self.check_adopted(fence)
        held = self.tasks.get(task)
        if held is not None and held.state is WorkerTaskState.RUNNING:
            self.settle(held)
            held.checkpoint = msgspec.json.encode(TaskProgress(held.progress_s))
            self.end(held, WorkerTaskState.CHECKPOINTED, self.clock.monotonic())

    def throttle(self, fence: Fence, task: TaskId, cpu_millis: int) -> None:
        """Slow a task down to a share of its processors."""
        self.check_adopted(fence)
        held = self.tasks.get(task)
        if held is not None and held.state is WorkerTaskState.RUNNING:
            self.settle(held)
            share = cpu_millis / max(held.start.resources.cpu_millis, 1)
            held.speed = min(max(share, 0.001), 1.0)

    def stop(self, fence: Fence, tasks: Sequence[TaskId]) -> None:
        """Stop tasks; one that was never started never will be."""
        self.check_adopted(fence)
        now = self.clock.monotonic()
        for task in tasks:
            held = self.tasks.get(task)
            if held is not None and held.state is WorkerTaskState.RUNNING:
                self.end(held, WorkerTaskState.STOPPED, now)
            self.results.setdefault(task, StartResult(task, StartRefusal.STOPPED))

    def acknowledge(self, fence: Fence, tasks: Sequence[TaskId]) -> None:
        """Forget the reports of ended tasks; their ids stay known."""
        self.check_adopted(fence)
        for task in tasks:
            held = self.tasks.get(task)
            if held is not None and held.state is not WorkerTaskState.RUNNING:
                del self.tasks[task]

    def advance(self) -> None:
        """End what has ended by now, each at the time when it did."""
        now = self.clock.monotonic()
        for held in self.tasks.values():
            if held.state is WorkerTaskState.RUNNING:
                self.advance_one(held, now)

    def advance_one(self, held: HeldTask, now: float) -> None:
        """End a task if its work is done or its lease has lapsed."""
        ends_at = held.ends_at_s()
        if min(ends_at, held.lease_until_s) > now:
            return
        if held.lease_until_s < ends_at:
            self.end(held, WorkerTaskState.LEASE_LAPSED, held.lease_until_s)
        elif held.payload.fail:
            held.exit_code = 1
            self.end(held, WorkerTaskState.FAILED, ends_at)
        else:
            text = held.payload.result or f"result of {held.start.task}"
            held.result = text.encode()
            self.end(held, WorkerTaskState.SUCCEEDED, ends_at)

    def settle(self, held: HeldTask) -> None:
        """Bring a running task's progress up to now."""
        now = self.clock.monotonic()
        held.progress_s += (now - held.as_of_s) * held.speed
        held.as_of_s = now

    def end(self, held: HeldTask, state: WorkerTaskState, at_s: float) -> None:
        """End a task at a time."""
        held.state = state
        held.run.ended_s = at_s
        held.run.succeeded = state is WorkerTaskState.SUCCEEDED

    def reports(self) -> tuple[TaskReport, ...]:
        """Return what the worker tells of every task that it holds."""
        self.advance()
        return tuple(self.report(held) for held in self.tasks.values())

    def report(self, held: HeldTask) -> TaskReport:
        """Return what the worker tells of one task."""
        now = self.clock.monotonic()
        ended = held.run.ended_s
        run_s = (now if ended is None else ended) - held.run.started_s
        usage = held.payload.usage or held.start.resources
        is_running = held.state is WorkerTaskState.RUNNING
        return TaskReport(
            held.start.task,
            held.start.team,
            held.state,
            held.start.resources,
            usage if run_s >= self.usage_lag_s else NO_RESOURCES,
            max(held.lease_until_s - now, 0.0) if is_running else 0.0,
            run_s,
            held.exit_code,
            held.result,
            held.checkpoint,
        )
