"""A stateful test of copies of straggling tasks, beside delays and failures.

Stalled and slow runs get copies, whose starts wait in the holder or on the way, while
runs end, holders change, workers are cut off or restarted, and commits are late.
"""

import math

import msgspec
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from delays_support import DelayedFleet
from fleet_support import SLOW, URGENT, task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.work import StepSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_standins.fleet_worker import RunPlan

WORKERS = 5
NUMBERS = strategies.integers(0, WORKERS - 1)
ATTEMPTS = 3
SLOWNESS = 3.0
TASK = task_resources(cores=4)
STALLS_S = strategies.sampled_from([1.2, 1.5, 1.8, 2.5, 4.0, math.inf])
"""How long a run makes no progress; a copy may start after 1.3 s."""

PAUSES_S = strategies.sampled_from([0.0, 0.5, 1.5, 3.0])
HOLDS_S = strategies.sampled_from([0.3, 0.7, 1.4, 2.0, 3.0])
COMMITS_S = strategies.sampled_from([0.0, 0.3, 1.0, 3.0])
BEGIN_S = 0.8
"""In this time the first runs of a job have begun, and no run has got a copy yet."""

FINISH_S = 90.0


class CopyMachine(RuleBasedStateMachine):
    """Stragglers, held and delayed starts, takeovers, cuts, restarts, late commits."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = DelayedFleet(WORKERS)
        self.jobs: list[JobId] = []

    # Jobs.

    @rule(
        count=strategies.integers(3, 6),
        seconds=strategies.sampled_from([0.2, 0.5, 1.0]),
        stalling=strategies.integers(0, 3),
        stalls_s=STALLS_S,
        failing_runs=strategies.sampled_from([0, 0, 1, 2, 3, 4]),
        steps=strategies.integers(1, 2),
        is_urgent=strategies.booleans(),
        then_s=PAUSES_S,
    )
    def submit(
        self,
        count: int,
        seconds: float,
        stalling: int,
        stalls_s: float,
        failing_runs: int,
        steps: int,
        is_urgent: bool,
        then_s: float,
    ) -> None:
        """Submit a job; the first runs of some tasks stall, and those of one fail."""
        runs: dict[TaskRef, set[int]] = {}

        def plan(request: StartRequest) -> RunPlan:
            task = request.task
            started = runs.setdefault(task, set())
            started.add(request.run)
            is_stalling = task.number < stalling and len(started) == 1
            return RunPlan(
                seconds,
                TASK,
                fails=task.number == 0 and len(started) <= failing_runs,
                hangs=is_stalling and math.isinf(stalls_s),
                stalls_s=stalls_s if is_stalling else 0.0,
            )

        specs = [
            StepSpec(
                count,
                TASK,
                after=(number - 1,) if number else (),
                is_speculative=True,
            )
            for number in range(steps)
        ]
        queue_name = URGENT if is_urgent else SLOW
        name = f"j{len(self.jobs)}"
        self.jobs.append(
            self.fleet.submit(name, *specs, queue_name=queue_name, plan=plan)
        )
        self.fleet.run_for(then_s)

    @rule(
        count=strategies.integers(3, 6),
        stalls_s=STALLS_S,
        fails=strategies.booleans(),
        hold_s=HOLDS_S,
        then_s=strategies.sampled_from([0.5, 1.0, 2.0]),
    )
    def submit_and_hold_copies(
        self, count: int, stalls_s: float, fails: bool, hold_s: float, then_s: float
    ) -> None:
        """Submit a job, and hold all orders back once its first runs have begun."""
        failing_runs = ATTEMPTS if fails else 0
        self.submit(count, 0.3, 2, stalls_s, failing_runs, 1, True, BEGIN_S)
        self.hold(set(range(WORKERS)), hold_s, then_s)
        self.fleet.holds_s.clear()

    @precondition(lambda self: self.jobs)
    @rule(number=strategies.integers(0, 20))
    def cancel(self, number: int) -> None:
        job = self.jobs[number % len(self.jobs)]
        record = self.fleet.records.get(job)
        if record is not None:
            cancelled = msgspec.structs.replace(record, is_cancelled=True)
            self.fleet.records[job] = cancelled
            if not self.fleet.scheduler.ledger.jobs[job].state.is_final:
                self.fleet.scheduler.accept(cancelled, self.fleet.revisions[job])

    @rule(seconds=strategies.sampled_from([0.1, 0.5, 1.0, 2.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.run_for(seconds)

    # Delays.

    @rule(numbers=strategies.sets(NUMBERS, min_size=1), hold_s=HOLDS_S, then_s=PAUSES_S)
    def hold(self, numbers: set[int], hold_s: float, then_s: float) -> None:
        for number in numbers:
            self.fleet.holds_s[WorkerId(f"w{number}")] = hold_s
        self.fleet.run_for(then_s)

    @rule(number=NUMBERS, then_s=PAUSES_S)
    def delay_starts(self, number: int, then_s: float) -> None:
        self.fleet.delayed_starts.add(WorkerId(f"w{number}"))
        self.fleet.run_for(then_s)

    @rule()
    def deliver_starts(self) -> None:
        self.fleet.deliver_starts()

    @rule()
    def end_delays(self) -> None:
        self.fleet.end_delays()

    @rule(commit_s=COMMITS_S, stores_at_once=strategies.booleans())
    def delay_commits(self, commit_s: float, stores_at_once: bool) -> None:
        self.fleet.commit_s = commit_s
        self.fleet.stores_at_once = stores_at_once

    @rule()
    def toggle_store(self) -> None:
        self.fleet.is_store_available = not self.fleet.is_store_available

    # Workers.

    @rule(number=NUMBERS)
    def slow_down(self, number: int) -> None:
        worker = WorkerId(f"w{number}")
        self.fleet.engines[worker].slowness = SLOWNESS
        speeds = self.fleet.scheduler.ledger.speeds
        speeds.workers[worker] = math.log(SLOWNESS)

    @rule(number=NUMBERS, then_s=PAUSES_S)
    def cut(self, number: int, then_s: float) -> None:
        self.fleet.unreachable.add(WorkerId(f"w{number}"))
        self.fleet.run_for(then_s)

    @rule()
    def heal(self) -> None:
        self.fleet.unreachable.clear()
        self.fleet.lost_start_replies.clear()

    @rule(number=NUMBERS)
    def lose_answers(self, number: int) -> None:
        self.fleet.lost_start_replies.add(WorkerId(f"w{number}"))

    @rule(number=NUMBERS)
    def restart_worker(self, number: int) -> None:
        worker = WorkerId(f"w{number}")
        # Known failures: a start that the network delays reaches the next process.
        self.fleet.starts_under_way = [
            each for each in self.fleet.starts_under_way if each.worker != worker
        ]
        self.fleet.restart_worker(worker)

    # Changes of the holder.

    @precondition(lambda self: self.fleet.is_store_available)
    @rule(
        cut=strategies.sets(NUMBERS, max_size=2),
        is_alive=strategies.booleans(),
        then_s=PAUSES_S,
    )
    def take_over(self, cut: set[int], is_alive: bool, then_s: float) -> None:
        self.fleet.unreachable.update(WorkerId(f"w{number}") for number in cut)
        self.fleet.take_over(is_alive=is_alive)
        self.fleet.run_for(then_s)

    # Guarantees.

    @invariant()
    def no_guarantee_is_violated(self) -> None:
        assert self.fleet.violations() == []
        assert self.fleet.starts_beyond_attempts(ATTEMPTS) == []

    def teardown(self) -> None:
        """End all faults, after which every job must end without violations."""
        self.heal()
        self.fleet.is_store_available = True
        self.fleet.end_delays()
        waited_s = 0.0
        while self.fleet.records:
            assert waited_s < FINISH_S, "jobs are stuck"
            self.fleet.run_for(0.5)
            waited_s += 0.5
        self.no_guarantee_is_violated()


TestCopyMachine = CopyMachine.TestCase
TestCopyMachine.settings = settings(max_examples=100, stateful_step_count=20)
