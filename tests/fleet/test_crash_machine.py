"""A stateful test of a task that crashes its workers, beside all else that may happen.

Workers come back under their ids or others, at their addresses or elsewhere, or never.
"""

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from delays_support import DelayedFleet
from fleet_support import SLOW, URGENT, Rebirth, task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.ids import TaskRef
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_standins.fleet_worker import RunPlan

WORKERS = 12
CRASHES = 3
"""Crashes under a task after which the platform limits its starts."""

MAX_LATER_STARTS = 2
"""Starts after so many crashes, and one more for each change of the holder."""

TASK = task_resources(cores=4)
GOOD_TASKS = 10
MAX_TAKEOVERS = strategies.sampled_from([1, 2])
"""After few, the limit is reached if the successors have forgotten crashes."""

MAX_WAIT_S = 30.0
"""In this time a task crashes four workers, if it is not given up."""

FINISH_S = 120.0
STALLS_S = strategies.sampled_from([0.0, 0.0, 1.5, 4.0])
HOLDS_S = strategies.sampled_from([0.3, 0.7, 1.4, 3.0])
PAUSES_S = strategies.sampled_from([0.1, 0.5, 2.0, 5.0])


class CrashMachine(RuleBasedStateMachine):
    """Crashes with and without the task, takeovers, outages of the store, rebirths."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = DelayedFleet(WORKERS)
        self.takeovers = self.max_takeovers = 0
        self.bad = TaskRef(JobId("bad"), 0, 0, 0)
        self.good: list[JobId] = []

    @initialize(
        after_s=strategies.sampled_from([0.05, 0.3, 1.5]),
        rebirth=strategies.sampled_from(list(Rebirth)),
        max_takeovers=MAX_TAKEOVERS,
        allows_copies=strategies.booleans(),
    )
    def submit_deadly(
        self,
        after_s: float,
        rebirth: Rebirth,
        max_takeovers: int,
        allows_copies: bool,
    ) -> None:
        def plan(request: StartRequest) -> RunPlan:
            is_deadly = request.task == self.bad
            return RunPlan(2.0, TASK, crashes_after_s=after_s if is_deadly else None)

        self.fleet.rebirth = rebirth
        self.max_takeovers = max_takeovers
        spec = StepSpec(3, TASK, is_speculative=allows_copies)
        self.fleet.submit("bad", spec, queue_name=URGENT, plan=plan)

    @rule(
        seconds=strategies.sampled_from([0.5, 2.0, 4.0]),
        allows_copies=strategies.booleans(),
        stalls_s=STALLS_S,
        then_s=PAUSES_S,
    )
    def submit(
        self, seconds: float, allows_copies: bool, stalls_s: float, then_s: float
    ) -> None:
        runs: set[int] = set()

        def plan(request: StartRequest) -> RunPlan:
            """Return a run; the first one of the job's first task stalls."""
            if request.task.number == 0:
                runs.add(request.run)
            is_stalling = request.task.number == 0 and len(runs) == 1
            return RunPlan(seconds, TASK, stalls_s=stalls_s * is_stalling)

        name = f"good{len(self.good)}"
        spec = StepSpec(GOOD_TASKS, TASK, is_speculative=allows_copies)
        queue_name = URGENT if allows_copies else SLOW
        self.good.append(
            self.fleet.submit(name, spec, queue_name=queue_name, plan=plan)
        )
        self.fleet.run_for(then_s)

    @rule(rebirth=strategies.sampled_from(list(Rebirth)))
    def change_rebirth(self, rebirth: Rebirth) -> None:
        self.fleet.rebirth = rebirth

    @rule(number=strategies.integers(0, WORKERS - 1), then_s=PAUSES_S)
    def crash(self, number: int, then_s: float) -> None:
        up = sorted(self.fleet.engines.keys() - self.fleet.down.keys())
        # Work beside the task needs some that are left.
        if len(up) > WORKERS // 2:
            self.fleet.crash_worker(up[number % len(up)])
        self.fleet.run_for(then_s)

    @precondition(lambda self: self.takeovers < self.max_takeovers)
    @rule(then_s=PAUSES_S)
    def take_over(self, then_s: float) -> None:
        self.fleet.take_over()
        self.takeovers += 1
        self.fleet.run_for(then_s)

    @precondition(lambda self: self.takeovers < self.max_takeovers)
    @rule(crashes=strategies.integers(1, CRASHES + 1), then_s=PAUSES_S)
    def take_over_after_crashes(self, crashes: int, then_s: float) -> None:
        until_s = self.fleet.now_s + MAX_WAIT_S
        while len(self.crashes()) < crashes and self.fleet.now_s < until_s:
            self.fleet.run_for(0.1)
        self.fleet.run_for(then_s)
        self.take_over(0.0)

    @rule(seconds=strategies.sampled_from([0.5, 3.0, 7.0]), then_s=PAUSES_S)
    def lose_store(self, seconds: float, then_s: float) -> None:
        self.fleet.is_store_available = False
        self.fleet.run_for(seconds)
        self.fleet.is_store_available = True
        self.fleet.run_for(then_s)

    @rule(number=strategies.integers(0, WORKERS - 1), hold_s=HOLDS_S, then_s=PAUSES_S)
    def hold_orders(self, number: int, hold_s: float, then_s: float) -> None:
        workers = sorted(self.fleet.engines)
        self.fleet.holds_s[workers[number % len(workers)]] = hold_s
        self.fleet.run_for(then_s)

    @rule()
    def end_delays(self) -> None:
        self.fleet.end_delays()

    @rule(then_s=PAUSES_S)
    def wait(self, then_s: float) -> None:
        self.fleet.run_for(then_s)

    def crashes(self) -> list[float]:
        """Return the times of the crashes under the task."""
        return [at_s for at_s, _, runs in self.fleet.crashes if self.bad in runs]

    @invariant()
    def crashes_are_limited(self) -> None:
        crashes = self.crashes()
        if len(crashes) < CRASHES:
            return
        later = sum(
            task == self.bad and at_s > crashes[CRASHES - 1]
            for at_s, task, _ in self.fleet.starts
        )
        assert later <= MAX_LATER_STARTS + self.takeovers

    @invariant()
    def no_guarantee_is_violated(self) -> None:
        assert self.fleet.violations() == []

    @invariant()
    def no_good_job_is_given_up(self) -> None:
        for job in self.good:
            assert self.fleet.state(job) is not JobState.FAILED

    def teardown(self) -> None:
        """End all faults, after which every job must end."""
        self.end_delays()
        waited_s = 0.0
        while self.fleet.records:
            assert waited_s < FINISH_S, "jobs are stuck"
            self.fleet.run_for(0.5)
            waited_s += 0.5
        self.crashes_are_limited()
        self.no_guarantee_is_violated()
        self.no_good_job_is_given_up()


TestCrashMachine = CrashMachine.TestCase
TestCrashMachine.settings = settings(max_examples=50, stateful_step_count=20)
