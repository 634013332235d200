"""In-memory worker with a fence, a capacity, task leases and timed tasks."""

import math
from collections.abc import Sequence

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.decoding import DecodingError, decode_json
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
    """Behaviour of a task: its run time, outcome and resource usage.

    A task with a null ``run_s`` runs until it is stopped. ``usage`` is the measured
    usage that is reported, by default the declared resources.
    """

    run_s: float | None = DEFAULT_RUN_S
    usage: Resources | None = None
    fail: bool = False
    result: str = ""


class TaskProgress(msgspec.Struct, frozen=True):
    """Content of a checkpoint: the seconds of work done at full speed."""

    done_s: float


class TaskRecord(msgspec.Struct):
    """State of a task that runs, or whose end is not yet acknowledged."""

    start: TaskStart
    payload: TaskPayload
    run: Run
    lease_until_s: float
    progress_s: float
    progress_updated_s: float
    speed: float = 1.0
    state: WorkerTaskState = WorkerTaskState.RUNNING
    result: bytes = b""
    exit_code: int = 0
    checkpoint: bytes = b""

    def total_work_s(self) -> float:
        """Return the run time of the task at full speed, in seconds."""
        return math.inf if self.payload.run_s is None else self.payload.run_s

    def ends_at_s(self) -> float:
        """Return the monotonic time when the task completes at its current speed."""
        return (
            self.progress_updated_s
            + (self.total_work_s() - self.progress_s) / self.speed
        )


def decode_payload(payload: bytes) -> TaskPayload:
    """Return the decoded payload; an invalid one makes the task fail immediately."""
    if not payload:
        return TaskPayload()
    try:
        return decode_json(payload, TaskPayload)
    except DecodingError:
        return TaskPayload(run_s=0.0, fail=True)


class WorkerEngine:
    """A worker driven by the given clock. Not thread-safe: callers must serialise.

    It accepts commands of one shard only, the first that adopts it. A stopped task is
    never started afterwards, even if the stop arrives before the start.
    """

    def __init__(
        self,
        host: HostName,
        capacity: Resources,
        clock: Clock,
        ledger: Ledger,
        usage_lag_s: float = DEFAULT_USAGE_LAG_S,
    ) -> None:
        """Create an idle worker that no shard has adopted.

        Tasks report no usage for their first ``usage_lag_s`` seconds.
        """
        self.host = host
        self.capacity = capacity
        self.clock = clock
        self.ledger = ledger
        self.usage_lag_s = usage_lag_s
        self.fence: Fence | None = None
        self.tasks: dict[TaskId, TaskRecord] = {}
        self.results: dict[TaskId, StartResult] = {}
        self.is_draining = False
        self.is_broken = False
        self.fails_everything = False

    def adopt(self, fence: Fence) -> Adoption:
        """Set the fence and return the worker's capacity and task reports."""
        self.check_fence(fence)
        self.fence = fence
        return Adoption(self.host, self.capacity, self.reports())

    def check_fence(self, fence: Fence) -> None:
        """Raise ``StaleFenceError`` for an older epoch or another shard."""
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
        """Raise ``StaleFenceError`` unless the worker is adopted under this fence."""
        self.check_fence(fence)
        if self.fence != fence:
            raise StaleFenceError(f"{self.host} is not adopted under {fence}")

    def start(
        self, fence: Fence, starts: Sequence[TaskStart]
    ) -> tuple[StartResult, ...]:
        """Start tasks in order, each independently, and return their results."""
        self.check_adopted(fence)
        return tuple(self.start_task(each) for each in starts)

    def start_task(self, start: TaskStart) -> StartResult:
        """Start one task; a repeated start returns the result of the first."""
        if start.task not in self.results:
            refusal_reason = self.refusal_reason(start)
            result = StartResult(start.task, refusal_reason)
            if refusal_reason is not None:
                return result
            self.results[start.task] = result
            self.run(start)
        return self.results[start.task]

    def refusal_reason(self, start: TaskStart) -> StartRefusal | None:
        """Return why a task cannot be started, or None if it can."""
        if self.is_broken:
            return StartRefusal.BROKEN
        if self.is_draining:
            return StartRefusal.DRAINING
        if not (self.committed() + start.resources).fits_in(self.capacity):
            return StartRefusal.CAPACITY
        return None

    def committed(self) -> Resources:
        """Return the total declared resources of the running tasks."""
        total = NO_RESOURCES
        for record in self.tasks.values():
            if record.state is WorkerTaskState.RUNNING:
                total = total + record.start.resources
        return total

    def run(self, start: TaskStart) -> None:
        """Run a task, continuing from its checkpoint if it has one."""
        now = self.clock.monotonic()
        payload = decode_payload(start.payload)
        progress = 0.0
        if start.checkpoint:
            saved = decode_json(start.checkpoint, TaskProgress)
            progress = saved.done_s
        run = Run(start.task, self.host, start.team, start.resources, now)
        self.ledger.add(run)
        record = TaskRecord(start, payload, run, now + start.lease_s, progress, now)
        self.tasks[start.task] = record
        if self.fails_everything:
            record.exit_code = 1
            self.end(record, WorkerTaskState.FAILED, now)

    def renew(
        self, fence: Fence, tasks: Sequence[TaskId], lease_s: float
    ) -> tuple[TaskReport, ...]:
        """Renew the leases of ``tasks`` and return the reports of all tasks."""
        self.check_adopted(fence)
        until = self.clock.monotonic() + lease_s
        for task in tasks:
            record = self.tasks.get(task)
            if record is not None and record.state is WorkerTaskState.RUNNING:
                record.lease_until_s = until
        return self.reports()

    def checkpoint(self, fence: Fence, task: TaskId) -> None:
        """Save the progress of a running task and end it as ``CHECKPOINTED``."""
        self.check_adopted(fence)
        record = self.tasks.get(task)
        if record is not None and record.state is WorkerTaskState.RUNNING:
            self.update_progress(record)
            record.checkpoint = msgspec.json.encode(TaskProgress(record.progress_s))
            self.end(record, WorkerTaskState.CHECKPOINTED, self.clock.monotonic())

    def throttle(self, fence: Fence, task: TaskId, cpu_millis: int) -> None:
        """Limit a running task to ``cpu_millis``, which slows it in proportion."""
        self.check_adopted(fence)
        record = self.tasks.get(task)
        if record is not None and record.state is WorkerTaskState.RUNNING:
            self.update_progress(record)
            share = cpu_millis / max(record.start.resources.cpu_millis, 1)
            record.speed = min(max(share, 0.001), 1.0)

    def stop(self, fence: Fence, tasks: Sequence[TaskId]) -> None:
        """Stop tasks and reject later starts of those that are not known yet."""
        self.check_adopted(fence)
        now = self.clock.monotonic()
        for task in tasks:
            record = self.tasks.get(task)
            if record is not None and record.state is WorkerTaskState.RUNNING:
                self.end(record, WorkerTaskState.STOPPED, now)
            self.results.setdefault(task, StartResult(task, StartRefusal.STOPPED))

    def acknowledge(self, fence: Fence, tasks: Sequence[TaskId]) -> None:
        """Drop the reports of ended tasks; their ids stay known to reject restarts."""
        self.check_adopted(fence)
        for task in tasks:
            record = self.tasks.get(task)
            if record is not None and record.state is not WorkerTaskState.RUNNING:
                del self.tasks[task]

    def advance(self) -> None:
        """End the tasks that are due, each with its actual end time."""
        now = self.clock.monotonic()
        for record in self.tasks.values():
            if record.state is WorkerTaskState.RUNNING:
                self.advance_task(record, now)

    def advance_task(self, record: TaskRecord, now: float) -> None:
        """End a task if its work is done or its lease has expired."""
        ends_at = record.ends_at_s()
        if min(ends_at, record.lease_until_s) > now:
            return
        if record.lease_until_s < ends_at:
            self.end(record, WorkerTaskState.LEASE_LAPSED, record.lease_until_s)
        elif record.payload.fail:
            record.exit_code = 1
            self.end(record, WorkerTaskState.FAILED, ends_at)
        else:
            text = record.payload.result or f"result of {record.start.task}"
            record.result = text.encode()
            self.end(record, WorkerTaskState.SUCCEEDED, ends_at)

    def update_progress(self, record: TaskRecord) -> None:
        """Update the progress of a running task to the current time."""
        now = self.clock.monotonic()
        record.progress_s += (now - record.progress_updated_s) * record.speed
        record.progress_updated_s = now

    def end(self, record: TaskRecord, state: WorkerTaskState, at_s: float) -> None:
        """Set the final state of a task and record its end in the ledger."""
        record.state = state
        record.run.ended_s = at_s
        record.run.succeeded = state is WorkerTaskState.SUCCEEDED

    def reports(self) -> tuple[TaskReport, ...]:
        """Return the reports of all running and unacknowledged tasks."""
        self.advance()
        return tuple(self.report(record) for record in self.tasks.values())

    def report(self, record: TaskRecord) -> TaskReport:
        """Return the report of one task."""
        now = self.clock.monotonic()
        ended = record.run.ended_s
        run_s = (now if ended is None else ended) - record.run.started_s
        usage = record.payload.usage or record.start.resources
        is_running = record.state is WorkerTaskState.RUNNING
        return TaskReport(
            record.start.task,
            record.start.team,
            record.state,
            record.start.resources,
            usage if run_s >= self.usage_lag_s else NO_RESOURCES,
            max(record.lease_until_s - now, 0.0) if is_running else 0.0,
            run_s,
            record.exit_code,
            record.result,
            record.checkpoint,
        )
