"""A stateful test of closed workers: what a successor concludes from their record.

Beside takeovers and late news, workers drain and fall silent, and writes of the record
of workers lose their responses or are executed late.
"""

from enum import Enum
from typing import Any, NamedTuple

import msgspec
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from delays_support import PREDECESSOR_ACTS_S, DelayedFleet
from fleet_support import task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.commands import StartRun
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.work import JobRecord, StepSpec
from gooseberrydeck_fleet.worker_calls import WorkerFencedError

WORKERS = 3
LONG_RUN_S = 6.0
FINISH_S = 120.0
PAUSES_S = strategies.sampled_from([0.2, 0.2, 0.5, 2.0])
RECORD_TIMEOUT_S = 0.3
LATE_RECORD_S = 2.0
NUMBERS = strategies.sampled_from([0, 0, 0, 1, 2])
"""Numbers of workers: most of what matters happens to one worker in a row."""


class Fate(Enum):
    """What becomes of a write of the record of workers."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer_lost"
    REQUEST_LOST = "request_lost"
    LATE = "late"
    """Executed after its time-out, unless the record or the holder has changed."""


class RecordWrite(NamedTuple):
    """A write of the record of workers on its way, under its conditions."""

    due_s: float
    token: int
    revision: int
    entries: list[Registration]
    fate: Fate


class RecoveryFleet(DelayedFleet):
    """A fleet whose holder stores the record of workers by conditional writes."""

    def __init__(self, workers: int) -> None:
        """Create a fleet whose first holder has no predecessor."""
        self.fate = Fate.ANSWERED
        self.record_s = 0.0
        self.record_revision = 0
        self.known_revision = 0
        self.write: RecordWrite | None = None
        self.late_writes: list[RecordWrite] = []
        self.sole_from_s = 0.0
        self.store_revision = 0
        super().__init__(workers)

    def store(self, *arguments: Any, **settings: Any) -> JobRecord:
        """Store a job at the next revision."""
        record = super().store(*arguments, **settings)
        self.store_revision += 1
        self.revisions[record.id] = self.store_revision
        return record

    def step(self) -> None:
        """Store the mark of the sole holder when no predecessor can act any more."""
        closed_workers = self.scheduler.closed_workers
        is_sole = self.now_s >= self.sole_from_s
        if self.is_store_available and is_sole and not closed_workers.sole_revision:
            self.store_revision += 1
            self.scheduler.sole_holder_recorded(self.store_revision)
        super().step()

    def record_workers(self) -> None:
        """Go on with the one write that may be in flight, or begin the next one."""
        late = [each for each in self.late_writes if each.due_s <= self.now_s]
        self.late_writes = [each for each in self.late_writes if each not in late]
        for each in late:
            self.execute_write(each)
        if self.write is None:
            entries = self.scheduler.changes.workers_to_record()
            if entries is not None:
                due_s = self.now_s + self.record_s
                if self.fate is not Fate.ANSWERED:
                    due_s = self.now_s + RECORD_TIMEOUT_S
                self.write = RecordWrite(
                    due_s, self.token, self.known_revision, entries, self.fate
                )
                if self.fate is Fate.ANSWER_LOST:
                    self.execute_write(self.write)
        if self.write is not None and self.write.due_s <= self.now_s:
            write, self.write = self.write, None
            self.complete(write)

    def execute_write(self, write: RecordWrite) -> bool:
        """Store the record if the conditions of the write hold."""
        is_held = write.token == self.token
        if not is_held or write.revision != self.record_revision:
            return False
        self.record_revision += 1
        self.workers_record = write.entries
        return True

    def complete(self, write: RecordWrite) -> None:
        """Let a write be answered, or time out."""
        if write.fate is Fate.LATE:
            self.late_writes.append(write._replace(due_s=self.now_s + LATE_RECORD_S))
        if write.fate is not Fate.ANSWERED:
            return
        is_stored = self.execute_write(write)
        self.known_revision = self.record_revision
        if is_stored:
            self.scheduler.changes.workers_recorded(write.entries)

    def take_over(self, quarantine_s: float = 4.3, is_alive: bool = False) -> None:
        """Replace the scheduler; writes of the former one are refused from now on."""
        self.write = None
        self.known_revision = self.record_revision
        super().take_over(quarantine_s, is_alive)
        self.scheduler.jobs_read(self.store_revision)
        self.sole_from_s = self.now_s + PREDECESSOR_ACTS_S * is_alive

    def set_draining(self, worker: WorkerId, is_draining: bool) -> None:
        """Change a worker's registration."""
        entry = self.scheduler.ledger.workers[worker].entry
        entry = msgspec.structs.replace(
            entry, is_draining=is_draining, remaining_s=60.0 if is_draining else None
        )
        self.scheduler.worker_registered(entry, self.now_s)


class RecoveryMachine(RuleBasedStateMachine):
    """Takeovers beside workers that are closed and opened again."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = RecoveryFleet(WORKERS)
        self.predecessor: Scheduler | None = None
        self.predecessor_token = 0
        self.jobs = 0

    @rule(
        count=strategies.sampled_from([1, WORKERS]),
        seconds=strategies.sampled_from([LONG_RUN_S, LONG_RUN_S, 0.5]),
        steps=strategies.integers(1, 2),
        is_known=strategies.sampled_from([True, True, False]),
        is_told=strategies.booleans(),
        then_s=PAUSES_S,
    )
    def submit(
        self,
        count: int,
        seconds: float,
        steps: int,
        is_known: bool,
        is_told: bool,
        then_s: float,
    ) -> None:
        """Store a job; the holder, and a predecessor that acts, may learn of it."""
        fleet = self.fleet
        specs = [
            StepSpec(
                count,
                task_resources(4),
                after=(number - 1,) if number else (),
                max_per_worker=1,
            )
            for number in range(steps)
        ]
        token = None if is_known or self.predecessor is None else self.predecessor_token
        record = fleet.store(
            f"j{self.jobs}", *specs, seconds=seconds, holder_token=token
        )
        self.jobs += 1
        revision = fleet.revisions[record.id]
        if is_told and self.predecessor is not None and token is not None:
            self.predecessor.accept_announced(record, revision)
            self.predecessor_acts_on()
        if is_known:
            fleet.scheduler.accept_announced(record, revision)
        fleet.run_for(then_s)

    @rule(number=strategies.integers(0, 9))
    def cancel(self, number: int) -> None:
        """Cancel a job, which stores its record at a new revision."""
        fleet = self.fleet
        record = fleet.records.get(JobId(f"j{number}"))
        if record is not None and not record.is_cancelled:
            record = msgspec.structs.replace(record, is_cancelled=True)
            fleet.records[record.id] = record
            fleet.store_revision += 1
            fleet.revisions[record.id] = fleet.store_revision
            fleet.scheduler.accept(record, fleet.store_revision)

    @rule()
    def deliver_watch(self) -> None:
        fleet = self.fleet
        for job, record in list(fleet.records.items()):
            fleet.scheduler.accept(record, fleet.revisions[job])

    @rule(is_alive=strategies.booleans(), then_s=PAUSES_S)
    def take_over(self, is_alive: bool, then_s: float) -> None:
        fleet = self.fleet
        self.predecessor = fleet.scheduler if is_alive else None
        self.predecessor_token = fleet.token
        fleet.take_over(is_alive=is_alive)
        fleet.run_for(then_s)

    @precondition(lambda self: self.predecessor is not None)
    @rule()
    def predecessor_acts_on(self) -> None:
        """Let the predecessor poll and start tasks until a worker refuses it."""
        fleet, predecessor = self.fleet, self.predecessor
        if predecessor is None or fleet.now_s >= fleet.sole_from_s:
            self.predecessor = None
            return
        successor, token = fleet.scheduler, fleet.token
        fleet.scheduler, fleet.token = predecessor, self.predecessor_token
        try:
            for command in predecessor.decide(fleet.now_s, fleet.clock.wall()):
                if isinstance(command, StartRun):
                    fleet.execute(command)
            fleet.poll_all()
        except WorkerFencedError:
            self.predecessor = None
        finally:
            fleet.scheduler, fleet.token = successor, token

    @rule(number=NUMBERS, silent_s=strategies.sampled_from([0.0, 1.3, 2.5]))
    def cut(self, number: int, silent_s: float) -> None:
        self.fleet.unreachable.add(WorkerId(f"w{number}"))
        self.fleet.run_for(silent_s)

    @rule(
        number=NUMBERS,
        silent_s=strategies.sampled_from([0.0, 1.3]),
        is_alive=strategies.booleans(),
        then_s=PAUSES_S,
    )
    def lose_worker_and_holder(
        self, number: int, silent_s: float, is_alive: bool, then_s: float
    ) -> None:
        self.cut(number, silent_s)
        self.take_over(is_alive, then_s)

    @rule(number=NUMBERS, fate=strategies.sampled_from(Fate))
    def bounce(self, number: int, fate: Fate) -> None:
        """Close a worker, and let it answer while the store may lose writes."""
        self.cut(number, 1.5)
        self.fleet.fate = fate
        self.heal(number, 0.2)
        self.submit(WORKERS, LONG_RUN_S, 1, True, False, 0.2)

    @rule(number=NUMBERS, then_s=PAUSES_S)
    def heal(self, number: int, then_s: float) -> None:
        self.fleet.unreachable.discard(WorkerId(f"w{number}"))
        self.fleet.run_for(then_s)

    @rule(number=NUMBERS, is_draining=strategies.booleans())
    def drain(self, number: int, is_draining: bool) -> None:
        self.fleet.set_draining(WorkerId(f"w{number}"), is_draining)
        self.fleet.run_for(0.2)

    @rule(fate=strategies.sampled_from(Fate), record_s=strategies.sampled_from([0, 1]))
    def delay_records(self, fate: Fate, record_s: float) -> None:
        self.fleet.fate = fate
        self.fleet.record_s = record_s

    @rule(number=NUMBERS, hold_s=strategies.sampled_from([0.3, 1.4]))
    def hold_orders(self, number: int, hold_s: float) -> None:
        self.fleet.holds_s[WorkerId(f"w{number}")] = hold_s

    @rule(number=NUMBERS)
    def lose_answers(self, number: int) -> None:
        self.fleet.lost_start_replies.add(WorkerId(f"w{number}"))

    @rule()
    def end_delays(self) -> None:
        self.fleet.lost_start_replies.clear()
        self.fleet.end_delays()

    @invariant()
    def no_task_runs_twice(self) -> None:
        assert self.fleet.violations() == []

    @invariant()
    def no_job_ends_beside_its_runs(self) -> None:
        for engine in self.fleet.engines.values():
            engine.advance()
            assert not self.fleet.ended.keys() & {task.job for task in engine.runs}

    def teardown(self) -> None:
        """End all faults, after which every job must end without violations."""
        fleet = self.fleet
        self.end_delays()
        self.delay_records(Fate.ANSWERED, 0.0)
        fleet.unreachable.clear()
        for number in range(WORKERS):
            fleet.set_draining(WorkerId(f"w{number}"), False)
        self.deliver_watch()
        waited_s = 0.0
        while fleet.records:
            assert waited_s < FINISH_S, "jobs are stuck"
            fleet.run_for(0.5)
            waited_s += 0.5
        assert fleet.violations() == []


TestRecoveryMachine = RecoveryMachine.TestCase
TestRecoveryMachine.settings = settings(max_examples=300, stateful_step_count=15)
