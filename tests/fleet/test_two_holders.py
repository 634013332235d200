"""Tests of a scheduler that acts beside its predecessor, in an order drawn by seed."""

import math
import random
from enum import Enum

import pytest

from fleet_support import (
    HOST,
    SLOW,
    TEAM,
    make_configuration,
    registration,
    task_resources,
)
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import Epoch, JobId
from gooseberrydeck_fleet.commands import Command, StartRun, StopRun
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.progress import decode_progress
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.settings import Timing
from gooseberrydeck_fleet.state import CLOCK_DRIFT
from gooseberrydeck_fleet.work import JobRecord, StepSpec, WorkSpec
from gooseberrydeck_fleet.worker_calls import (
    PollReply,
    StartRequest,
    WorkerFencedError,
)
from gooseberrydeck_member.authority import (
    AUTHORITY_TIMEOUT_S,
    COMMAND_TIMEOUT_S,
    LEASE_TIMEOUT_S,
)
from gooseberrydeck_standins.fleet_worker import (
    FleetWorkerEngine,
    RunPlan,
    RunSpan,
    find_duplicate_runs,
)

SEEDS = 100
"""Drawn orders for each end of the first holder."""

STEP_S = 0.05
NOTICE_S = 1.5
LEASE_S = 4.3
"""Time until all leases that a predecessor granted have expired."""

WATCHED_S = 4.1
"""Time observed after the takeover: until the successor may rely on expired leases."""

LOSS = 0.1
WATCH_DELAYS_S = (0.0, 0.0, 0.1, 0.5, 2.0)
"""How long after it was stored the successor learns of a job."""


class FirstHolderEnd(Enum):
    """How the first holder stops."""

    KILLED = "killed"
    TOLD = "told"
    """It learns of its successor, which learns of that."""

    SILENT = "silent"
    """It stops by ``NOTICE_S`` without a word."""

    CUT = "cut"
    """It reaches neither the store nor a worker that its successor reaches, and acts
    until its authority ends."""

    CUT_AND_FOLLOWED = "cut_and_followed"
    """As before, but its successor had followed it, and no longer confirms that it
    doesn't claim the shard."""


class ActingHolder:
    """A scheduler with its own view of the workers; replies are late or lost."""

    def __init__(self, cell: "ContestedCell", token: int) -> None:
        self.cell = cell
        self.token = Epoch(token)
        self.scheduler = Scheduler(token, Timing())
        self.scheduler.set_configuration(make_configuration())
        self.reachable = set(cell.engines)
        self.acknowledged = dict.fromkeys(cell.engines, 0)
        self.replies: list[tuple[float, WorkerId, PollReply]] = []
        self.is_acting = True
        self.reaches_store = True
        self.lease_limit_s = math.inf

    def step(self) -> None:
        """Poll workers, execute commands and store changes, until fenced off."""
        rng, now_s = self.cell.random, self.cell.clock.now_s
        try:
            for worker in self.cell.engines:
                if rng.random() < 0.7:
                    self.poll(worker)
            due = [each for each in self.replies if each[0] <= now_s]
            self.replies = [each for each in self.replies if each[0] > now_s]
            for _, worker, reply in due:
                self.scheduler.poll_answered(worker, reply, now_s)
            if self.token == self.cell.token:
                self.scheduler.authority_confirmed(now_s)
            self.scheduler.limit_leases(self.lease_limit_s)
            for command in self.decide(now_s):
                if isinstance(command, StartRun):
                    self.start(command)
                elif isinstance(command, StopRun) and command.worker in self.reachable:
                    engine = self.cell.engines[command.worker]
                    engine.stop(command.task, command.run, self.token)
        except WorkerFencedError:
            self.is_acting = False
        else:
            self.commit()

    def decide(self, now_s: float) -> list[Command]:
        """Return the commands to send while leases may last long enough for them."""
        left_s = self.lease_limit_s - now_s
        may_act = left_s > LEASE_TIMEOUT_S - COMMAND_TIMEOUT_S
        return self.scheduler.decide(now_s, now_s) if may_act else []

    def poll(self, worker_id: WorkerId) -> None:
        """Poll a worker; the reply comes later."""
        worker = self.scheduler.ledger.workers[worker_id]
        rng, now_s = self.cell.random, self.cell.clock.now_s
        until_ms = self.scheduler.lease_until_ms(worker, now_s)
        if worker_id not in self.reachable:
            self.scheduler.worker_silent(worker_id, now_s)
            return
        acknowledged = self.acknowledged[worker_id]
        reply = self.cell.engines[worker_id].poll(self.token, acknowledged, until_ms)
        if rng.random() >= LOSS:
            delay_s = rng.choice((0.0, 0.0, 0.05, 0.2, 0.6))
            self.replies.append((now_s + delay_s, worker_id, reply))

    def start(self, command: StartRun) -> None:
        """Send a start request, which may be lost."""
        worker, request = command.worker, command.request
        if worker not in self.reachable or self.cell.random.random() < LOSS / 2:
            self.scheduler.start_unanswered(worker, request.task, request.run, True)
            return
        outcome, _ = self.cell.engines[worker].start(request, self.token)
        now_s = self.cell.clock.now_s
        self.scheduler.start_answered(worker, request.task, request.run, outcome, now_s)

    def commit(self) -> None:
        """Store changes, which the store refuses once a successor has claimed."""
        log, now_s = self.scheduler.changes, self.cell.clock.now_s
        changes = log.take_batch(100, now_s)
        if not self.reaches_store:
            log.commit_failed(changes)
            return
        if self.token < self.cell.token:
            self.is_acting = changes.is_empty or self.cell.random.random() < 0.7
            log.commit_failed(changes)
            return
        for write in changes.progress:
            self.cell.progress[write.job] = write.value
        for ending in changes.endings:
            self.cell.records.pop(ending.job, None)
            self.cell.progress.pop(ending.job, None)
        ends = log.commit_succeeded(changes, {}, now_s)
        self.acknowledged.update({each: number for each, (_, number) in ends.items()})
        entries = log.workers_to_record()
        if entries is not None:
            log.workers_recorded(entries)


class ContestedCell:
    """Workers, the stored jobs, and a holder that is replaced by another one."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.token = 1
        self.records: dict[JobId, JobRecord] = {}
        self.progress: dict[JobId, bytes] = {}
        self.plans: dict[JobId, list[RunPlan]] = {}
        self.engines = {
            WorkerId(f"w{number}"): FleetWorkerEngine(self.clock, HOST, self.plan)
            for number in range(self.random.randint(2, 4))
        }
        self.first = ActingHolder(self, 1)
        for worker in self.engines:
            entry = registration(worker)
            self.first.scheduler.worker_registered(entry, self.clock.now_s)

    def plan(self, request: StartRequest) -> RunPlan:
        """Return the simulated course of a run."""
        return self.plans[request.task.job][request.task.step]

    def submit(self, holder_token: int) -> JobRecord:
        """Store a job of up to three steps, some of which are gangs.

        Its member will notify the holder with ``holder_token``, or a newer one.
        """
        rng = self.random
        job = JobId(f"j{len(self.plans)}")
        steps: list[StepSpec] = []
        for number in range(rng.randint(1, 3)):
            is_gang = rng.random() < 0.3
            count = rng.randint(2, 3) if is_gang else rng.randint(1, 2)
            after = tuple(each for each in range(number) if rng.random() < 0.7)
            resources = task_resources(rng.choice((1, 14)))
            steps.append(StepSpec(count, resources, after=after, is_gang=is_gang))
        self.plans[job] = [
            RunPlan(
                rng.uniform(0.3, 2.5),
                step.allocation,
                fails=not step.is_gang and rng.random() < 0.1,
            )
            for step in steps
        ]
        work = WorkSpec(steps=tuple(steps))
        token = Epoch(holder_token)
        self.records[job] = JobRecord(
            job, SLOW, TEAM, work, self.clock.now_s, holder_token=token
        )
        return self.records[job]

    def step(self, *holders: ActingHolder) -> None:
        """Advance the clock, and run the holders in any order."""
        self.clock.advance(STEP_S)
        for engine in self.engines.values():
            engine.advance()
        for holder in self.random.sample(holders, len(holders)):
            if holder.is_acting:
                holder.step()

    def run_first_holder(self) -> None:
        """Run the first holder alone for up to three seconds."""
        for _ in range(self.random.randint(4, 60)):
            if self.random.random() < 0.08:
                assert self.first.scheduler.accept(self.submit(1), 1)
            self.step(self.first)

    def replace_holder(self, first_end: FirstHolderEnd) -> None:
        """Run both holders until the first one stops, and the second one on."""
        rng, claimed_s = self.random, self.clock.now_s
        is_told = first_end is FirstHolderEnd.TOLD
        self.token = 2
        second = ActingHolder(self, 2)
        if first_end is FirstHolderEnd.KILLED:
            self.first.is_acting = False
        else:
            second.scheduler.predecessor_may_act(claimed_s + NOTICE_S)
        for record in self.records.values():
            # Announced late, by a member that has waited for the store.
            if rng.random() < 0.2:
                second.scheduler.accept(record, 1)
        is_cut = first_end is FirstHolderEnd.CUT
        stop_s = claimed_s + (rng.choice((0.0, 0.2, 0.8)) if is_told else 1.45)
        lease_s, watched_s = LEASE_S, WATCHED_S
        if is_cut:
            self.cut_off(self.first, second)
            stop_s = claimed_s + AUTHORITY_TIMEOUT_S - rng.choice((0.0, 0.4, 1.0))
            lease_s += AUTHORITY_TIMEOUT_S
            watched_s += AUTHORITY_TIMEOUT_S
        elif first_end is FirstHolderEnd.CUT_AND_FOLLOWED:
            self.cut_off(self.first, second)
            confirmed_s = claimed_s - rng.choice((0.0, 0.3, 1.0))
            self.first.lease_limit_s = confirmed_s + LEASE_TIMEOUT_S
            stop_s = claimed_s + AUTHORITY_TIMEOUT_S
            lease_s = LEASE_TIMEOUT_S / (1 - CLOCK_DRIFT)
            watched_s += LEASE_TIMEOUT_S
        else:
            dark = rng.choice((0, 1, 1, 2))
            second.reachable -= set(rng.sample(list(self.engines), dark))
        load_s = claimed_s + rng.choice((0.0, 0.05, 0.3))
        is_loaded = is_stop_known = False
        watch: list[tuple[float, JobRecord]] = []
        while self.clock.now_s < claimed_s + watched_s:
            now_s = self.clock.now_s
            if rng.random() < 0.12:
                is_first_told = self.first.is_acting and rng.random() < 0.8
                record = self.submit(1 if is_first_told else 2)
                if is_first_told:
                    self.first.scheduler.accept(record, 1)
                if is_loaded or rng.random() < 0.5:
                    watch.append((now_s + rng.choice(WATCH_DELAYS_S), record))
            if not is_loaded and now_s >= load_s:
                is_loaded = True
                self.load(second.scheduler, claimed_s + lease_s)
            for _, record in [each for each in watch if each[0] <= now_s]:
                second.scheduler.accept(record, 1)
            watch = [each for each in watch if each[0] > now_s]
            if now_s >= stop_s:
                self.first.is_acting = False
                if is_told and not is_stop_known:
                    is_stop_known = True
                    second.scheduler.predecessor_stopped(now_s + LEASE_S)
            self.step(self.first, *([second] if is_loaded else []))

    def cut_off(self, first: ActingHolder, second: ActingHolder) -> None:
        """Cut the first holder off the store, and each worker off one holder at least.

        Each holder reaches at least one worker.
        """
        workers = list(self.engines)
        self.random.shuffle(workers)
        first.reaches_store = False
        first.reachable = {workers[0]}
        second.reachable = {workers[1]}
        for worker in workers[2:]:
            reaching = self.random.choice((first, second, None))
            if reaching is not None:
                reaching.reachable.add(worker)

    def load(self, scheduler: Scheduler, lease_expiry_s: float) -> None:
        """Load the stored state into a successor's scheduler."""
        for worker in self.engines:
            entry = registration(worker)
            scheduler.worker_registered(entry, self.clock.now_s, lease_expiry_s)
        for record in self.records.values():
            scheduler.accept(record, 1, predates_takeover=True)
        for job, value in self.progress.items():
            scheduler.restore(job, decode_progress(value), 1)
        scheduler.release_held_jobs()

    def duplicate_runs(self) -> list[str]:
        """Describe the tasks that ran twice, or again after they were done."""
        spans: list[RunSpan] = []
        wall_s = self.clock.wall()
        for engine in self.engines.values():
            spans += engine.spans
            for active in engine.runs.values():
                began_s = active.began_wall_s
                spans.append(
                    RunSpan(str(active.task), active.run, began_s, wall_s, "running")
                )
        return find_duplicate_runs(spans)


class TestTwoHolders:
    # Jobs accepted while the first holder acted started beside its unreported runs.
    @pytest.mark.parametrize("first_end", FirstHolderEnd)
    @pytest.mark.parametrize("seed", range(SEEDS))
    def test_no_task_runs_twice(self, seed: int, first_end: FirstHolderEnd) -> None:
        cell = ContestedCell(seed)
        cell.run_first_holder()
        cell.replace_holder(first_end)
        assert cell.duplicate_runs() == []
