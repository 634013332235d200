"""Starting the tasks of waiting steps.

A pass tries only the steps to which something happened: they are new or changed, a
worker that they may use has more free capacity, their team's limit has room, advice
arrived, or a time has come. The others would find what they found before.
"""

import heapq
from enum import Enum
from typing import NamedTuple

from gooseberrydeck_fleet.advice_requests import AdviceRequests
from gooseberrydeck_fleet.advice_turns import AdviceTurns
from gooseberrydeck_fleet.candidates import AVOID_FAILED_S, Candidates
from gooseberrydeck_fleet.commands import CommandQueue, StartRun
from gooseberrydeck_fleet.duration_samples import expect_run
from gooseberrydeck_fleet.ids import StepRef, WorkerId
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.limit_reservations import LimitReservations
from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.preemption import Preemptor
from gooseberrydeck_fleet.speculation import Speculator
from gooseberrydeck_fleet.start_permission import startable_tasks
from gooseberrydeck_fleet.state import Step, Task, Worker
from gooseberrydeck_fleet.waiting import Rank, WaitingSteps
from gooseberrydeck_fleet.worker_calls import StartRequest

__all__ = ["START_VALID_S", "LongWait", "StepServer", "WaitReason"]

START_VALID_S = 1.5
"""Validity of a start request.

A worker refuses a start that arrives later, so the outcome of an unanswered start
becomes certain after this time.
"""

COPY_VALID_S = 0.8
"""Validity of the start request of a copy.

It is short enough that no copy starts a second after its task has ended, also on a
worker whose clock is slow.
"""

MAX_CHECKS = 1_500
"""Workers that one pass may consider; about a millisecond on a small host.

The next pass goes on with the remaining steps, after those that are more urgent.
"""

REVIEW_STEPS = 10
"""Waiting steps tried again at each review, in turn, whatever happened to them."""

REVIEW_URGENT_STEPS = 5
"""The most urgent waiting steps, tried again at each review: runs that can be preempted
may have started meanwhile."""

SUSPECT_RETRY_S = 0.1
"""Interval at which suspects that wait for a separate worker are tried again."""

LONG_WAIT_S = 5.0
"""A step that waits longer than this is reported, with what it waits for."""

MAX_LONG_WAITS = 50
"""Steps checked for long waits, in order; bounds the lines that are logged."""


class WaitReason(Enum):
    """What a step lacks first, of what a start takes."""

    LIMIT = "limit"
    HELD_BACK = "held_back"
    """A more urgent step of its team waits for the team's limit."""
    WORKERS = "workers"
    """No worker fits, whatever runs there."""
    ADVICE_TURN = "advice_turn"
    """Its request for advice waits for others."""
    ADVICE_REPLY = "advice_reply"
    ADVICE_RETRY = "advice_retry"
    ADVICE = "advice"
    """It has no valid ticket, and has not requested one."""
    SUSPECTED = "suspected"
    """Its tasks may have crashed workers, and wait for separate ones."""
    ROOM = "room"
    START = "start"
    """Nothing: it is about to start."""


class LongWait(NamedTuple):
    """What keeps a step waiting, in numbers of workers and of tasks.

    ``slots`` is how many tasks fit on the ``permitted`` workers now, ``quota`` how many
    the team's limit admits. ``held_by`` is the more urgent step for whose sake the step
    is held back. ``advice_turns_before`` is the number of steps whose requests for
    advice go first. ``use_level`` is the level of the team's use.
    """

    step: StepRef
    waited_s: float
    waiting_tasks: int
    is_gang: bool
    usable: int
    allowed: int
    rejected: int
    permitted: int
    slots: int
    quota: int
    reason: WaitReason
    held_by: StepRef | None
    suspects: int
    advice_turns_before: int
    advice_in_flight: int
    slow_advice_in_flight: int
    max_advice_in_flight: int
    is_within_share: bool
    use_level: int


class FreedWorker(NamedTuple):
    """A worker with more free capacity than before a pass."""

    worker: Worker
    in_pass: int


class StepServer:
    """Start the tasks of waiting steps in order, on the best workers."""

    def __init__(
        self,
        ledger: Ledger,
        placer: Placer,
        preemptor: Preemptor,
        advice_requests: AdviceRequests,
        speculator: Speculator,
        commands: CommandQueue,
    ) -> None:
        """Create a server that adds its commands to ``commands``."""
        self.ledger = ledger
        self.placer = placer
        self.preemptor = preemptor
        self.advice_requests = advice_requests
        self.speculator = speculator
        self.commands = commands
        self.waiting = WaitingSteps(ledger)
        self.limit_reservations = LimitReservations(ledger, placer, self.waiting)
        self.advice_turns = AdviceTurns()
        self.retries: list[tuple[float, StepRef]] = []
        self.last_reviewed: Rank | None = None
        self.passes = 0
        self.freed: dict[WorkerId, FreedWorker] = {}

    @property
    def has_backlog(self) -> bool:
        """Return True if the last pass ended before it had tried all due steps."""
        return bool(self.waiting.due or self.freed)

    # What makes a step due.

    def advice_answered(self, step: Step) -> None:
        """Try a step whose advice has arrived or failed."""
        self.waiting.due.add(step.ref)

    def limits_changed(self) -> None:
        """Try all steps again, since limits or priorities have changed."""
        self.limit_reservations.limits_changed()
        self.ledger.touch_all()

    def review(self, now_s: float) -> None:
        """Try some steps again, and start copies of straggling runs."""
        order = self.waiting.after(self.last_reviewed, REVIEW_STEPS)
        if len(order) < REVIEW_STEPS:
            order += self.waiting.after(None, REVIEW_STEPS - len(order))
        self.last_reviewed = order[-1] if order else None
        for rank in order + self.waiting.after(None, REVIEW_URGENT_STEPS):
            self.waiting.due.add(rank[-1])
        self.limit_reservations.review(now_s)
        for step in self.waiting.speculative_steps():
            self.start_copies(step, now_s)

    def take_long_waits(self, now_s: float) -> list[LongWait]:
        """Return the steps that have waited long, each once."""
        waits = []
        for rank in self.waiting.after(None, MAX_LONG_WAITS):
            step = self.waiting.steps[rank[-1]]
            since_s = step.waits_since_s
            if step.is_wait_reported or since_s is None:
                continue
            if now_s - since_s >= LONG_WAIT_S:
                step.is_wait_reported = True
                waits.append(self.describe_wait(step, now_s - since_s, now_s))
        return waits

    def describe_wait(self, step: Step, waited_s: float, now_s: float) -> LongWait:
        """Return what keeps a step waiting."""
        permitted = self.placer.permitted(step, now_s)
        team = step.job.record.team
        tasks = startable_tasks(step)
        usable = len(self.placer.usable(step))
        slots = sum(slots for slots, _ in self.placer.with_room(permitted, step))
        quota = self.ledger.quotas.count_allowed(team, step.spec.resources, len(tasks))
        suspects = sum(self.ledger.suspects.is_suspect(task) for task in tasks)
        requests = self.advice_requests
        held_by = self.limit_reservations.find_blocker(step)
        reason = WaitReason.HELD_BACK
        if held_by is None:
            reason = self.find_wait_reason(
                step, now_s, usable, len(permitted), slots, quota
            )
        return LongWait(
            step.ref,
            waited_s,
            len(tasks),
            step.spec.is_gang,
            usable,
            len(step.advice.allowed),
            len(step.advice.rejected),
            len(permitted),
            slots,
            quota,
            reason,
            held_by,
            suspects,
            self.advice_turns.count_before(step.ref, self.waiting.ranks),
            len(requests.in_flight),
            requests.slow_in_flight,
            requests.max_in_flight,
            step.job.is_within_share,
            self.waiting.levels.get(step.job.record.team, 0),
        )

    def find_wait_reason(
        self,
        step: Step,
        now_s: float,
        usable: int,
        permitted: int,
        slots: int,
        quota: int,
    ) -> WaitReason:
        """Return what a step lacks first, by what was counted for it."""
        wanted = step.spec.count if step.spec.is_gang else 1
        advice = step.advice
        if quota < wanted:
            return WaitReason.LIMIT
        if not usable:
            return WaitReason.WORKERS
        if not permitted:
            if advice.pending:
                return WaitReason.ADVICE_REPLY
            if step.ref in self.advice_turns:
                return WaitReason.ADVICE_TURN
            if now_s < advice.retry_s:
                return WaitReason.ADVICE_RETRY
            return WaitReason.ADVICE
        if slots < wanted:
            return WaitReason.ROOM
        if any(self.ledger.suspects.is_suspect(task) for task in step.tasks):
            return WaitReason.SUSPECTED
        return WaitReason.START

    def retry_at(self, step: Step, at_s: float) -> None:
        """Try a step again at a monotonic time."""
        heapq.heappush(self.retries, (at_s, step.ref))

    def collect_due(self, now_s: float) -> None:
        """Mark the steps as due whose time, limit or advice request has come."""
        while self.retries and self.retries[0][0] <= now_s:
            self.waiting.due.add(heapq.heappop(self.retries)[1])
        freed_teams = self.ledger.freed_teams
        for team in freed_teams & self.limit_reservations.teams.keys():
            self.waiting.team_freed(team)
        freed_teams.clear()
        self.collect_advice_requests(now_s)

    def collect_advice_requests(self, now_s: float) -> None:
        """Mark the steps as due that may request advice now."""
        self.advice_requests.observe(now_s)
        free = self.advice_requests.free_requests()
        free_for_slow = self.advice_requests.free_requests(is_urgent=False)
        waiting = self.waiting
        waiting.due.update(
            self.advice_turns.grant(waiting.steps, waiting.ranks, free, free_for_slow)
        )

    def may_request_advice(self, step: Step, now_s: float) -> bool:
        """Return True if a step may request advice now; otherwise, it has to wait.

        Requests are kept free for the steps whose turn has come.
        """
        is_urgent = step.job.queue.priority == 0
        turns = self.advice_turns
        since_s = turns.take(step.ref)
        free = self.advice_requests.free_requests(is_urgent)
        if since_s is None:
            free -= turns.count_granted(self.waiting.ranks, is_urgent)
        if free > 0:
            turns.remove(step.ref)
            return True
        turns.add(step.ref, now_s if since_s is None else since_s)
        return False

    # A scheduling pass.

    def run(self, now_s: float, wall_s: float) -> None:
        """Try the due steps, and those that may use capacity that was freed."""
        waiting = self.waiting
        waiting.update(now_s, wall_s)
        self.placer.refresh(now_s)
        self.collect_due(now_s)
        self.collect_freed()
        # Steps that no longer wait may be due too.
        waiting.due &= waiting.ranks.keys()
        self.placer.checked = 0
        is_complete = True
        order = waiting.order if self.freed else waiting.in_order(waiting.due)
        for rank in list(order):
            step = waiting.steps.get(rank[-1])
            if step is None or not self.is_due(step, now_s):
                continue
            if self.placer.checked > MAX_CHECKS:
                is_complete = False
                break
            self.serve(step, now_s)
            self.drop_full_workers()
            if not self.freed and not waiting.due:
                break
        if is_complete:
            self.freed.clear()

    def collect_freed(self) -> None:
        """Add the workers that were freed since the last pass."""
        self.passes += 1
        for worker in self.ledger.freed.values():
            self.freed[worker.id] = FreedWorker(worker, self.passes)
        self.ledger.freed.clear()
        self.drop_full_workers()

    def drop_full_workers(self) -> None:
        """Remove the freed workers on which no step could find room any more."""
        for worker_id, freed in list(self.freed.items()):
            if not (freed.worker.can_start and self.waiting.could_use(freed.worker)):
                del self.freed[worker_id]

    def is_due(self, step: Step, now_s: float) -> bool:
        """Return True if a step has to be tried in this pass."""
        return step.ref in self.waiting.due or any(
            each.in_pass > step.tried_in_pass and self.may_use(step, each.worker, now_s)
            for each in self.freed.values()
        )

    def may_use(self, step: Step, worker: Worker, now_s: float) -> bool:
        """Return True if a task of a step could start on a worker or after advice."""
        free, need = worker.free, step.allocation
        if (
            need.cpu_millis > free.cpu_millis
            or need.memory_mib > free.memory_mib
            or need.accelerators > free.accelerators
            or worker.entry.service != step.job.queue.service
        ):
            return False
        if not self.placer.has_label(worker, step):
            return False
        if step.job.queue.advice is not None:
            advice = step.advice
            if worker.id in advice.rejected:
                return False
            is_allowed = advice.ticket(worker.id, worker.born_ms, now_s) is not None
            if not is_allowed and (advice.pending or now_s < advice.retry_s):
                return False
        return self.placer.slots(worker, step) >= 1

    # One step.

    def serve(self, step: Step, now_s: float) -> None:
        """Start tasks of a step as far as its team's limit allows."""
        self.waiting.due.discard(step.ref)
        step.tried_in_pass = self.passes
        waiting = startable_tasks(step)
        team = step.job.record.team
        priority = step.job.queue.priority
        if not waiting:
            self.waiting.started(step)
            return
        allowed = self.ledger.quotas.count_allowed(
            team, step.spec.resources, len(waiting)
        )
        if allowed < len(waiting) and priority == 0:
            self.preemptor.free_quota(step, len(waiting) - allowed, now_s)
        allowed = self.limit_reservations.count_startable(step, allowed, now_s)
        running = len(step.job.runs)
        if step.spec.is_gang:
            if allowed == step.spec.count and len(waiting) == allowed:
                self.start_gang(step, now_s)
        elif allowed:
            self.start_tasks(step, waiting[:allowed], now_s)
        started = len(step.job.runs) - running
        self.limit_reservations.step_tried(step, started, now_s)
        self.waiting.started(step)

    def start_tasks(self, step: Step, waiting: list[Task], now_s: float) -> None:
        """Start waiting tasks of a step on permitted workers with free capacity."""
        permitted = self.placer.permitted(step, now_s)
        rack = self.placer.choose_rack(permitted, step, len(waiting))
        candidates = Candidates(self.placer, rack, step)
        suspects = self.ledger.suspects
        left = []
        kept_apart = []
        # Others don't wait for suspects, which may have to wait for a separate worker.
        for task in sorted(waiting, key=suspects.is_suspect):
            worker = candidates.take(task, now_s)
            if worker is not None:
                self.start(task, worker, self.next_number(task), now_s)
                candidates.started(worker)
            elif suspects.is_suspect(task):
                kept_apart.append(task)
            else:
                left.append(task)
        if kept_apart:
            self.retry_suspects(step, kept_apart, bool(candidates.heap), now_s)
        if not left:
            return
        if step.job.queue.priority == 0 and step.job.is_within_share and permitted:
            self.preemptor.make_room(step, permitted, len(left), now_s)
        self.ask(step, len(left), now_s)
        failed_s = [at_s for task in left for at_s in task.failed_on.values()]
        avoided = [at_s for at_s in failed_s if now_s - at_s < AVOID_FAILED_S]
        if avoided:
            self.retry_at(step, min(avoided) + AVOID_FAILED_S)

    def retry_suspects(
        self, step: Step, tasks: list[Task], has_room: bool, now_s: float
    ) -> None:
        """Try suspects again soon that found no separate worker.

        If permitted workers have room for them, advice is requested once for each, as
        it may permit a separate worker.
        """
        suspects = self.ledger.suspects
        retry_s = min(suspects.retry_s(task, now_s) for task in tasks)
        self.retry_at(step, max(retry_s, now_s + SUSPECT_RETRY_S))
        turns = [suspects.take_advice_turn(task) for task in tasks]
        if any(turns) or not has_room:
            self.ask(step, len(tasks), now_s)

    def start_gang(self, step: Step, now_s: float) -> None:
        """Start all tasks of a gang together, or none of them."""
        permitted = self.placer.permitted(step, now_s)
        rack = self.placer.choose_rack(permitted, step, step.spec.count)
        tracker = self.ledger.suspects
        suspects = [task for task in step.tasks if tracker.is_suspect(task)]
        if not all(tracker.has_waited_enough(task, now_s) for task in suspects):
            self.start_gang_of_suspects(step, suspects, rack, now_s)
            return
        self.placer.checked += len(rack)
        if sum(self.placer.slots(each, step) for each in rack) < step.spec.count:
            self.ask(step, step.spec.count, now_s)
            return
        candidates = Candidates(self.placer, rack, step)
        number = self.next_number(step.tasks[0])
        for task in step.tasks:
            worker = candidates.take(task, now_s)
            if worker is None:
                # No worker is left besides those on which this member failed; the gang
                # doesn't wait for another one.
                task.failed_on.clear()
                worker = candidates.take(task, now_s)
            if worker is not None:
                self.start(task, worker, number, now_s)
                candidates.started(worker)

    def start_gang_of_suspects(
        self, step: Step, suspects: list[Task], rack: list[Worker], now_s: float
    ) -> None:
        """Start a gang once each suspect among its members has a separate worker."""
        self.placer.checked += len(rack)
        separate = self.placer.separate_workers(step, suspects, rack, now_s)
        others = [worker for worker in rack if worker not in separate.values()]
        members = step.spec.count - len(suspects)
        slots = sum(self.placer.slots(worker, step) for worker in others)
        if len(separate) < len(suspects) or slots < members:
            has_room = slots + len(separate) >= step.spec.count
            self.retry_suspects(step, suspects, has_room, now_s)
            return
        number = self.next_number(step.tasks[0])
        candidates = Candidates(self.placer, others, step)
        for task in step.tasks:
            if task in separate:
                self.start(task, separate[task], number, now_s)
                continue
            worker = candidates.take_any()
            self.start(task, worker, number, now_s)
            candidates.started(worker)

    def start_copies(self, step: Step, now_s: float) -> None:
        """Start speculative copies of straggling runs."""
        for run in self.speculator.stragglers(step, now_s):
            if self.ledger.suspects.is_suspect(run.task):
                continue
            worker = self.speculator.choose(run, now_s)
            if worker is None:
                self.ask(step, 1, now_s)
            elif self.ledger.quotas.allows(run.team, run.quota_usage):
                self.start(run.task, worker, self.next_number(run.task), now_s)

    def next_number(self, task: Task) -> int:
        """Return the number of the next run of a task, or of its gang."""
        return self.ledger.run_numbers.next(task.count_failures())

    def start(self, task: Task, worker: Worker, number: int, now_s: float) -> None:
        """Record a new run and queue its start command."""
        valid_s = COPY_VALID_S if task.runs else START_VALID_S
        run = self.ledger.add_run(task, worker, number, now_s)
        expect_run(self.ledger.durations, run)
        self.ledger.suspects.started(run)
        self.placer.consume_reservation(worker, task.step)
        until_ms = worker.clock_at(now_s) + int(valid_s * 1000)
        run.start_until_ms = until_ms
        worker.grant(until_ms)
        ticket = None
        if task.step.job.queue.advice is not None:
            ticket = task.step.advice.ticket(worker.id, worker.born_ms, now_s)
        request = StartRequest(
            task.ref,
            number,
            task.step.job.record.work.payload,
            until_ms,
            task.checkpoint,
            ticket or "",
        )
        self.commands.add(StartRun(worker.id, request, worker.born_ms))

    def ask(self, step: Step, wanted: int, now_s: float) -> None:
        """Request advice for a step if a reply could help to start it now."""
        advice = step.advice
        if step.job.queue.advice is None or advice.pending:
            return
        if now_s < advice.retry_s:
            self.retry_at(step, advice.retry_s)
        elif self.may_request_advice(step, now_s):
            request = self.advice_requests.ask(step, wanted, now_s)
            if request is not None:
                self.commands.add(request)
