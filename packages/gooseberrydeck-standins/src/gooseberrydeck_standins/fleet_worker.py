"""In-memory worker of the users' platform: leases, fences, runs, checkpoints."""

import math
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
from gooseberrydeck_standins.gangs import DueEnd, Gang, GangRegistry
from gooseberrydeck_standins.run_spans import RunSpan, find_duplicate_runs

__all__ = ["CRASHED", "FleetWorkerEngine", "RunPlan", "RunSpan", "find_duplicate_runs"]

MAX_LISTED_ENDS = 500
STOP_S = 0.2
"""Time that a run takes to stop, well below the guaranteed time-out."""

RESIZE_NOTICE_S = 4.5
"""Time in which a scheduler may not know yet that a worker's capacity has shrunk: the
platform's contact time and one heartbeat."""

PROGRESS_DIGITS = 1
"""Decimal places of the progress in percent; the users' workers report none."""

CRASHED = "crashed"
"""Kind of the span of a run that ended with its worker."""

RUNNING = "running"
"""Kind of the span of a run in progress."""


class RunPlan(msgspec.Struct, frozen=True):
    """Behaviour of a run.

    A standing run never ends by itself; a hanging run makes no progress, a stalling one
    none for its first ``stalls_s`` seconds. ``gang_size`` is the number of members that
    must be present, 0 outside a gang. With ``crashes_after_s``, the run crashes its
    worker that long after its start. ``allows_copies`` is what the step permits.
    """

    seconds: float = 1.0
    resources: Resources = NO_RESOURCES
    fails: bool = False
    hangs: bool = False
    is_standing: bool = False
    gang_size: int = 0
    crashes_after_s: float | None = None
    stalls_s: float = 0.0
    allows_copies: bool = False


class ActiveRun:
    """A run in progress; ``done_s`` is the work its checkpoint already contained."""

    def __init__(
        self,
        engine: "FleetWorkerEngine",
        request: StartRequest,
        plan: RunPlan,
        sent_s: float | None = None,
    ) -> None:
        """Create a run that starts now, by a request sent at ``sent_s`` if delayed."""
        self.engine = engine
        self.task = request.task
        self.run = request.run
        self.plan = plan
        self.joined_s = engine.clock.monotonic()
        self.began_wall_s = engine.clock.wall()
        self.sent_s = sent_s
        self.done_s = float(request.checkpoint) if request.checkpoint else 0.0
        self.stops_at_s: float | None = None
        self.gang: Gang | None = None

    @property
    def work_began_s(self) -> float | None:
        """Return when the work began, or None while members of the gang are absent."""
        return self.joined_s if self.gang is None else self.gang.began_s

    def work_s(self, at_s: float) -> float:
        """Return the seconds of work that the run has done at a time."""
        began_s = self.work_began_s
        if self.plan.hangs or began_s is None:
            return self.done_s
        return self.done_s + max(0.0, at_s - began_s - self.plan.stalls_s)

    def work_ends_s(self, began_s: float) -> float | None:
        """Return when the work is done if it began at ``began_s``, or None if never."""
        if self.plan.is_standing or self.plan.hangs:
            return None
        return began_s + self.plan.stalls_s + max(0.0, self.plan.seconds - self.done_s)

    def next_end(self) -> DueEnd:
        """Return the first end, apart from the success of a gang."""
        due = DueEnd(self.engine.lease_ends_s, EndKind.LAPSED)
        if self.stops_at_s is not None and self.stops_at_s <= due.at_s:
            due = DueEnd(self.stops_at_s, EndKind.STOPPED)
        began_s = self.work_began_s
        at_s = None if began_s is None else self.work_ends_s(began_s)
        if at_s is None or at_s >= due.at_s:
            return due
        if self.plan.fails:
            return DueEnd(at_s, EndKind.FAILED)
        return due if self.gang is not None else DueEnd(at_s, EndKind.SUCCEEDED)

    def end(self, kind: EndKind, at_s: float) -> None:
        """End the run at a time that may have passed."""
        self.engine.end(self, kind, at_s)

    def span(
        self,
        kind: str,
        ended_s: float,
        is_void: bool = False,
        acknowledged_s: float | None = None,
    ) -> RunSpan:
        """Return the span of the run until ``ended_s``."""
        return RunSpan(
            task=str(self.task),
            run=self.run,
            began_s=self.began_wall_s,
            ended_s=ended_s,
            kind=kind,
            gang="" if self.gang is None else str(self.task.step_ref),
            is_void=is_void,
            job=self.task.job,
            allows_copies=self.plan.allows_copies,
            is_standing=self.plan.is_standing,
            sent_s=self.sent_s,
            acknowledged_s=acknowledged_s,
        )


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
        gangs: GangRegistry | None = None,
    ) -> None:
        """Create an idle worker; ``plan_of`` returns the behaviour of a run.

        Gangs may have members on all workers that share the registry ``gangs``, by
        default on this one only.
        """
        self.clock = clock
        self.capacity = capacity
        # Former capacities, with the times until which a scheduler may rely on them.
        self.former_capacities: list[tuple[float, Resources]] = []
        self.plan_of = plan_of
        self.max_lease_s = max_lease_s
        self.enforces_capacity = enforces_capacity
        # By how much runs that start from now on take longer.
        self.slowness = 1.0
        self.born_ms = born_ms
        self.gangs = gangs or GangRegistry()
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
        # Indices in ``spans``, by the number of the end.
        self.spans_by_end: dict[int, int] = {}

    def now_s(self) -> float:
        """Return the monotonic time since the worker was created, in seconds."""
        return self.clock.monotonic() - self.began_s

    @property
    def lease_ends_s(self) -> float:
        """Return when the lease ends, on the worker's clock."""
        return self.began_s + self.lease_until_s

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
        self.acknowledge_ends(last_seen)
        self.ends = [end for end in self.ends if end.number > self.last_seen]
        runs = tuple(self.report(active) for active in self.runs.values())
        ends = tuple(self.ends[:MAX_LISTED_ENDS])
        return PollReply(self.reply().clock_ms, self.born_ms, runs, ends)

    def start(
        self, request: StartRequest, token: Epoch, sent_s: float | None = None
    ) -> tuple[StartOutcome, WorkerReply]:
        """Start a run and return the outcome.

        ``sent_s`` is the wall-clock time at which a request was sent that was delayed
        on the way.
        """
        self.advance()
        self.check_fence(token)
        return self.start_run(request, sent_s), self.reply()

    def start_run(
        self, request: StartRequest, sent_s: float | None = None
    ) -> StartOutcome:
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
        plan = msgspec.structs.replace(plan, seconds=plan.seconds * self.slowness)
        used = self.used() + plan.resources
        if self.enforces_capacity and not used.fits_in(self.capacity):
            return StartOutcome.NO_ROOM
        if not self.has_room_for(used):
            self.violations.append(f"over capacity by {request.task}")
        started = ActiveRun(self, request, plan, sent_s)
        if plan.gang_size:
            self.join_gang(started)
        self.runs[request.task] = started
        return StartOutcome.STARTED

    def join_gang(self, started: ActiveRun) -> None:
        """Add a run to its gang, whose members must all resume from one checkpoint."""
        task = started.task
        gang = self.gangs.find(
            task.step_ref, started.run, started.plan.gang_size, started.joined_s
        )
        for member in gang.members.values():
            if member.done_s != started.done_s:
                self.violations.append(f"checkpoint of {task} is not that of its gang")
                break
        started.gang = gang
        gang.join(task, started)

    def stop(self, task: TaskRef, run: int, token: Epoch) -> WorkerReply:
        """Stop a run; if its start has not arrived yet, reject that start later."""
        self.advance()
        self.check_fence(token)
        active = self.runs.get(task)
        if active is not None and active.run == run and active.stops_at_s is None:
            active.stops_at_s = self.clock.monotonic() + STOP_S
        elif active is None:
            self.rejected_up_to[task] = max(self.rejected_up_to.get(task, 0), run)
        return self.reply()

    def used(self) -> Resources:
        """Return the total resources of all active runs, including stopping ones."""
        total = NO_RESOURCES
        for active in self.runs.values():
            total = total + active.plan.resources
        return total

    def resize(self, capacity: Resources) -> None:
        """Change the capacity; what runs goes on, even beyond it."""
        until_s = self.now_s() + RESIZE_NOTICE_S
        self.former_capacities.append((until_s, self.capacity))
        self.capacity = capacity

    def has_room_for(self, used: Resources) -> bool:
        """Return True if a scheduler may use as much, by all that it has to know."""
        now_s = self.now_s()
        known = [each for until_s, each in self.former_capacities if now_s < until_s]
        return any(used.fits_in(capacity) for capacity in [self.capacity, *known])

    def advance(self) -> None:
        """End the runs whose end was due, each at the time when it was due."""
        now_s = self.clock.monotonic()
        for active in list(self.runs.values()):
            if active.gang is not None:
                active.gang.settle(now_s)
                continue
            due = active.next_end()
            if due.at_s <= now_s:
                self.end(active, due.kind, due.at_s)
        if self.lease_ends_s <= now_s:
            self.void_ends()

    def end(self, active: ActiveRun, kind: EndKind, at_s: float | None = None) -> None:
        """Remove a run that ended at ``at_s``, now by default, and report its end."""
        if at_s is None:
            at_s = self.clock.monotonic()
        del self.runs[active.task]
        ended_s = self.clock.wall() - (self.clock.monotonic() - at_s)
        self.last_number += 1
        self.spans_by_end[self.last_number] = len(self.spans)
        is_acknowledged = self.last_number <= self.last_seen
        acknowledged_s = ended_s if is_acknowledged else None
        self.spans.append(
            active.span(kind.value, ended_s, acknowledged_s=acknowledged_s)
        )
        self.rejected_up_to[active.task] = max(
            self.rejected_up_to.get(active.task, 0), active.run
        )
        saved = "" if kind is EndKind.SUCCEEDED else f"{active.work_s(at_s):.3f}"
        self.ends.append(
            EndReport(self.last_number, active.task, active.run, kind, saved)
        )

    def acknowledge_ends(self, last_seen: int) -> None:
        """Acknowledge the ends up to a number, but for those that are void."""
        self.last_seen = max(self.last_seen, last_seen)
        for end in self.ends:
            if end.number <= self.last_seen:
                self.mark_end(end, acknowledged_s=self.clock.wall())

    def void_ends(self) -> None:
        """Mark the ends as void that nobody has acknowledged."""
        for end in self.ends:
            self.mark_end(end, is_void=True)

    def mark_end(self, end: EndReport, **changes: object) -> None:
        """Change the span of an end that is neither acknowledged nor void so far."""
        index = self.spans_by_end[end.number]
        span = self.spans[index]
        if not span.is_void and span.acknowledged_s is None:
            self.spans[index] = msgspec.structs.replace(span, **changes)

    def is_crash_due(self) -> bool:
        """Return True if a run crashes the worker by now; the owner calls ``crash``."""
        now_s = self.clock.monotonic()
        return any(
            active.plan.crashes_after_s is not None
            and now_s >= active.joined_s + active.plan.crashes_after_s
            for active in self.runs.values()
        )

    def crash(self) -> None:
        """Lose all runs and all ends; the gangs of the runs break up."""
        self.advance()
        self.void_ends()
        now_s = self.clock.monotonic()
        for active in list(self.runs.values()):
            if active.gang is not None:
                active.gang.remove(self.runs, now_s)
            self.spans.append(active.span(CRASHED, self.clock.wall(), is_void=True))
        self.runs.clear()
        self.ends.clear()

    def open_spans(self) -> list[RunSpan]:
        """Return the spans of the runs in progress, which have not ended yet."""
        return [active.span(RUNNING, math.inf) for active in self.runs.values()]

    def report(self, active: ActiveRun) -> RunReport:
        """Return the report of an active run."""
        work_s = active.work_s(self.clock.monotonic())
        if active.plan.is_standing:
            progress = 100.0
        else:
            progress = min(99.0, 100 * work_s / active.plan.seconds)
        return RunReport(
            active.task, active.run, f"{work_s:.3f}", round(progress, PROGRESS_DIGITS)
        )
