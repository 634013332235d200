"""In-memory worker of the users' platform: leases, fences, runs, checkpoints."""

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
"""Time that a run takes to stop, well below the guaranteed time-out."""


class RunPlan(msgspec.Struct, frozen=True):
    """Behaviour of a run.

    A standing run never ends by itself; a hanging run makes no progress.
    ``gang_size`` is the number of members that must be present, 0 outside a gang.
    """

    seconds: float = 1.0
    resources: Resources = NO_RESOURCES
    fails: bool = False
    hangs: bool = False
    is_standing: bool = False
    gang_size: int = 0


class ActiveRun(msgspec.Struct):
    """A run in progress; ``done_s`` is the work its checkpoint already contained."""

    task: TaskRef
    run: int
    plan: RunPlan
    started_s: float
    done_s: float = 0.0
    stops_at_s: float | None = None


class RunSpan(msgspec.Struct, frozen=True):
    """Start and end of a run in wall-clock seconds, and how it ended."""

    task: str
    run: int
    began_s: float
    ended_s: float
    kind: str


class FleetWorkerEngine:
    """One incarnation of a worker; times are relative to its creation.

    ``violations`` lists what a correct scheduler never causes. With
    ``enforces_capacity``, runs that do not fit are refused; otherwise they are
    started and listed as violations.
    """

    def __init__(
        self,
        clock: Clock,
        capacity: Resources,
        plan_of: Callable[[StartRequest], RunPlan],
        max_lease_s: float = 6.0,
        enforces_capacity: bool = False,
        born_ms: int = 1,
    ) -> None:
        """Create an idle worker; ``plan_of`` returns the behaviour of a run."""
        self.clock = clock
        self.capacity = capacity
        self.plan_of = plan_of
        self.max_lease_s = max_lease_s
        self.enforces_capacity = enforces_capacity
        self.born_ms = born_ms
        self.began_s = clock.monotonic()
        self.token = 0
        self.lease_until_s = 0.0
        self.runs: dict[TaskRef, ActiveRun] = {}
        self.ends: list[EndReport] = []
        self.last_number = 0
        self.last_seen = 0
        self.rejected_up_to: dict[TaskRef, int] = {}
        self.violations: list[str] = []
        self.spans: list[RunSpan] = []

    def now_s(self) -> float:
        """Return the monotonic time since the worker was created, in seconds."""
        return self.clock.monotonic() - self.began_s

    def reply(self) -> WorkerReply:
        """Return the fields that every reply contains."""
        return WorkerReply(int(self.now_s() * 1000), self.born_ms)

    def check_fence(self, token: Epoch) -> None:
        """Record the token; raise ``WorkerFencedError`` if a higher one was seen."""
        if token < self.token:
            raise WorkerFencedError(f"token {token} is below {self.token}")
        self.token = token

    def extend(self, until_ms: int) -> None:
        """Extend the lease of all runs to at most ``max_lease_s`` from now.

        The lease is never shortened.
        """
        until_s = min(until_ms / 1000, self.now_s() + self.max_lease_s)
        self.lease_until_s = max(self.lease_until_s, until_s)

    def poll(
        self, token: Epoch, last_seen: int, lease_until_ms: int | None
    ) -> PollReply:
        """Extend the lease and return the active runs and the unseen ends.

        Ends up to number ``last_seen`` are acknowledged and dropped. An end that is
        acknowledged before it happens is never listed, as the platform permits.
        """
        self.advance()
        self.check_fence(token)
        if lease_until_ms is not None:
            self.extend(lease_until_ms)
        self.last_seen = max(self.last_seen, last_seen)
        self.ends = [end for end in self.ends if end.number > self.last_seen]
        runs = tuple(self.report(active) for active in self.runs.values())
        ends = tuple(self.ends[:MAX_LISTED_ENDS])
        return PollReply(self.reply().clock_ms, self.born_ms, runs, ends)

    def start(
        self, request: StartRequest, token: Epoch
    ) -> tuple[StartOutcome, WorkerReply]:
        """Start a run and return the outcome."""
        self.advance()
        self.check_fence(token)
        return self.start_run(request), self.reply()

    def start_run(self, request: StartRequest) -> StartOutcome:
        """Start a run unless it is expired, superseded or too large."""
        active = self.runs.get(request.task)
        if active is not None and active.run == request.run:
            return StartOutcome.STARTED
        if request.lease_until_ms / 1000 <= self.now_s():
            return StartOutcome.EXPIRED
        self.extend(request.lease_until_ms)
        if (
            request.run <= self.rejected_up_to.get(request.task, 0)
            or active is not None
        ):
            return StartOutcome.SUPERSEDED
        plan = self.plan_of(request)
        if not (self.used() + plan.resources).fits_in(self.capacity):
            if self.enforces_capacity:
                return StartOutcome.NO_ROOM
            self.violations.append(f"over capacity by {request.task}")
        done_s = float(request.checkpoint) if request.checkpoint else 0.0
        self.runs[request.task] = ActiveRun(
            request.task, request.run, plan, self.now_s(), done_s
        )
        return StartOutcome.STARTED

    def stop(self, task: TaskRef, run: int, token: Epoch) -> WorkerReply:
        """Stop a run; if its start has not arrived yet, reject that start later."""
        self.advance()
        self.check_fence(token)
        active = self.runs.get(task)
        if active is not None and active.run == run and active.stops_at_s is None:
            active.stops_at_s = self.now_s() + STOP_S
        elif active is None:
            self.rejected_up_to[task] = max(self.rejected_up_to.get(task, 0), run)
        return self.reply()

    def used(self) -> Resources:
        """Return the total resources of all active runs, including stopping ones."""
        total = NO_RESOURCES
        for active in self.runs.values():
            total = total + active.plan.resources
        return total

    def advance(self) -> None:
        """End the runs that are due: stopped, then expired, then completed ones."""
        now_s = self.now_s()
        for active in list(self.runs.values()):
            if active.stops_at_s is not None and active.stops_at_s <= now_s:
                self.end(active, EndKind.STOPPED)
        if self.lease_until_s <= now_s:
            for active in list(self.runs.values()):
                self.end(active, EndKind.LAPSED)
        for active in list(self.runs.values()):
            if active.plan.is_standing or active.plan.hangs:
                continue
            if self.work_s(active) >= active.plan.seconds:
                kind = EndKind.FAILED if active.plan.fails else EndKind.SUCCEEDED
                self.end(active, kind)

    def work_s(self, active: ActiveRun) -> float:
        """Return the seconds of work that a run has done."""
        if active.plan.hangs:
            return active.done_s
        return active.done_s + self.now_s() - active.started_s

    def end(self, active: ActiveRun, kind: EndKind) -> None:
        """Remove a run and add its end report and span."""
        del self.runs[active.task]
        now_s = self.clock.wall()
        began_s = now_s - (self.now_s() - active.started_s)
        self.spans.append(
            RunSpan(str(active.task), active.run, began_s, now_s, kind.value)
        )
        self.last_number += 1
        self.rejected_up_to[active.task] = max(
            self.rejected_up_to.get(active.task, 0), active.run
        )
        saved = "" if kind is EndKind.SUCCEEDED else f"{self.work_s(active):.3f}"
        self.ends.append(
            EndReport(self.last_number, active.task, active.run, kind, saved)
        )

    def report(self, active: ActiveRun) -> RunReport:
        """Return the report of an active run."""
        if active.plan.is_standing:
            progress = 100.0
        else:
            progress = min(99.0, 100 * self.work_s(active) / active.plan.seconds)
        saved = f"{self.work_s(active):.3f}"
        return RunReport(active.task, active.run, saved, round(progress, 1))


def find_duplicate_runs(spans: list[RunSpan]) -> list[str]:
    """Describe each task that ran twice concurrently or again after it succeeded.

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
