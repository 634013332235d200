"""A worker of the users' platform in memory: leases, fences, runs, checkpoints."""

import itertools
from collections.abc import Callable

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_fleet.ids import TaskRef
from gooseberrydeck_fleet.worker_calls import (
    EndKind,
    EndReport,
    PollReply,
    RunReport,
    StartOutcome,
    StartRequest,
    WorkerFencedError,
    WorkerReply,
)

__all__ = ["FleetWorkerEngine", "RunPlan", "RunSpan", "find_duplicate_runs"]

MAX_LISTED_ENDS = 500
STOP_S = 0.2
"""How long a run takes to stop; well below the promised time-out."""


class RunPlan(msgspec.Struct, frozen=True):
    """How a run goes: a standing run never ends by itself, a hung one stands still.

    ``gang_size`` is the number of members that must be present, 0 outside a gang.
    """

    seconds: float = 1.0
    room: Resources = NO_RESOURCES
    fails: bool = False
    hangs: bool = False
    is_standing: bool = False
    gang_size: int = 0


class HeldRun(msgspec.Struct):
    """A run that is at work; ``done_s`` is the work behind its checkpoint."""

    task: TaskRef
    run: int
    plan: RunPlan
    started_s: float
    done_s: float = 0.0
    stops_at_s: float | None = None


class RunSpan(msgspec.Struct, frozen=True):
    """When a run was at work, in wall-clock seconds, and how it ended."""

    task: str
    run: int
    began_s: float
    ended_s: float
    kind: str


class FleetWorkerEngine:
    """One life of a worker; times are those of its clock.

    ``violations`` records what a scheduler must never cause. A worker that
    ``guards`` its capacity refuses what does not fit; others start it and note it.
    """

    def __init__(
        self,
        clock: Clock,
        capacity: Resources,
        plan_of: Callable[[StartRequest], RunPlan],
        max_lease_s: float = 6.0,
        guards: bool = False,
        born_ms: int = 1,
    ) -> None:
        """Begin with nothing running."""
        self.clock = clock
        self.capacity = capacity
        self.plan_of = plan_of
        self.max_lease_s = max_lease_s
        self.guards = guards
        self.born_ms = born_ms
        self.began_s = clock.monotonic()
        self.token = 0
        self.lease_until_s = 0.0
        self.runs: dict[TaskRef, HeldRun] = {}
        self.ends: list[EndReport] = []
        self.last_number = 0
        self.barred: dict[TaskRef, int] = {}
        self.violations: list[str] = []
        self.spans: list[RunSpan] = []

    def now_s(self) -> float:
        """Return the worker's steady clock."""
        return self.clock.monotonic() - self.began_s

    def reply(self) -> WorkerReply:
        """Return the fields of every answer."""
        return WorkerReply(int(self.now_s() * 1000), self.born_ms)

    def check_fence(self, token: Epoch) -> None:
        """Refuse a lower token than the highest seen."""
        if token < self.token:
            raise WorkerFencedError(f"token {token} is below {self.token}")
        self.token = token

    def extend(self, until_ms: int) -> None:
        """Extend the lease of everything; it never shortens."""
        until_s = min(until_ms / 1000, self.now_s() + self.max_lease_s)
        self.lease_until_s = max(self.lease_until_s, until_s)

    def poll(
        self, token: Epoch, last_seen: int, lease_until_ms: int | None
    ) -> PollReply:
        """Extend all leases and return what runs and what has ended."""
        self.advance()
        self.check_fence(token)
        if lease_until_ms is not None:
            self.extend(lease_until_ms)
        self.ends = [end for end in self.ends if end.number > last_seen]
        runs = tuple(self.report(held) for held in self.runs.values())
        ends = tuple(self.ends[:MAX_LISTED_ENDS])
        return PollReply(self.reply().clock_ms, self.born_ms, runs, ends)

    def start(
        self, request: StartRequest, token: Epoch
    ) -> tuple[StartOutcome, WorkerReply]:
        """Start a run, or say why not."""
        self.advance()
        self.check_fence(token)
        return self.start_run(request), self.reply()

    def start_run(self, request: StartRequest) -> StartOutcome:
        """Start a run unless it is late, replaced or too large."""
        held = self.runs.get(request.task)
        if held is not None and held.run == request.run:
            return StartOutcome.STARTED
        if request.lease_until_ms / 1000 <= self.now_s():
            return StartOutcome.EXPIRED
        self.extend(request.lease_until_ms)
        if request.run <= self.barred.get(request.task, 0) or held is not None:
            return StartOutcome.SUPERSEDED
        plan = self.plan_of(request)
        if not (self.used() + plan.room).fits_in(self.capacity):
            if self.guards:
                return StartOutcome.NO_ROOM
            self.violations.append(f"over capacity by {request.task}")
        done_s = float(request.checkpoint) if request.checkpoint else 0.0
        self.runs[request.task] = HeldRun(
            request.task, request.run, plan, self.now_s(), done_s
        )
        return StartOutcome.STARTED

    def stop(self, task: TaskRef, run: int, token: Epoch) -> WorkerReply:
        """Stop a run, also one that has not arrived yet."""
        self.advance()
        self.check_fence(token)
        held = self.runs.get(task)
        if held is not None and held.run == run and held.stops_at_s is None:
            held.stops_at_s = self.now_s() + STOP_S
        elif held is None:
            self.barred[task] = max(self.barred.get(task, 0), run)
        return self.reply()

    def used(self) -> Resources:
        """Return the room of everything that runs, also of what is being stopped."""
        total = NO_RESOURCES
        for held in self.runs.values():
            total = total + held.plan.room
        return total

    def advance(self) -> None:
        """End what has ended by now, in the order in which it did."""
        now_s = self.now_s()
        for held in list(self.runs.values()):
            if held.stops_at_s is not None and held.stops_at_s <= now_s:
                self.end(held, EndKind.STOPPED)
        if self.lease_until_s <= now_s:
            for held in list(self.runs.values()):
                self.end(held, EndKind.LAPSED)
        for held in list(self.runs.values()):
            if held.plan.is_standing or held.plan.hangs:
                continue
            if self.work_s(held) >= held.plan.seconds:
                kind = EndKind.FAILED if held.plan.fails else EndKind.SUCCEEDED
                self.end(held, kind)

    def work_s(self, held: HeldRun) -> float:
        """Return how much of a run's work is done."""
        if held.plan.hangs:
            return held.done_s
        return held.done_s + self.now_s() - held.started_s

    def end(self, held: HeldRun, kind: EndKind) -> None:
        """List the end of a run."""
        del self.runs[held.task]
        now_s = self.clock.wall()
        began_s = now_s - (self.now_s() - held.started_s)
        self.spans.append(RunSpan(str(held.task), held.run, began_s, now_s, kind.value))
        self.last_number += 1
        self.barred[held.task] = max(self.barred.get(held.task, 0), held.run)
        saved = "" if kind is EndKind.SUCCEEDED else f"{self.work_s(held):.3f}"
        self.ends.append(EndReport(self.last_number, held.task, held.run, kind, saved))

    def report(self, held: HeldRun) -> RunReport:
        """Return a row of what runs."""
        if held.plan.is_standing:
            progress = 100.0
        else:
            progress = min(99.0, 100 * self.work_s(held) / held.plan.seconds)
        saved = f"{self.work_s(held):.3f}"
        return RunReport(held.task, held.run, saved, round(progress, 1))


def find_duplicate_runs(spans: list[RunSpan]) -> list[str]:
    """Return the tasks that were at work twice at once, or again after they were done.

    The spans may come from several workers.
    """
    found = []
    by_task: dict[str, list[RunSpan]] = {}
    for span in sorted(spans, key=lambda span: span.began_s):
        by_task.setdefault(span.task, []).append(span)
    for task, runs in by_task.items():
        for first, second in itertools.pairwise(runs):
            if second.began_s < first.ended_s:
                found.append(f"{task} ran twice at once ({first.run}, {second.run})")
            elif first.kind == EndKind.SUCCEEDED.value:
                found.append(f"{task} ran again after it was done ({second.run})")
    return found
