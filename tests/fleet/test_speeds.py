"""Tests of fleets with hosts of different speeds, slow hosts and stragglers."""

from fleet_support import URGENT, Fleet, task_resources
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.speeds import SpeedEstimator, StepDurations
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_standins.fleet_worker import RunPlan

ONE = task_resources()
FAST, SLOW_WORKER = WorkerId("fast"), WorkerId("slow")


class TestSpeedEstimator:
    def test_slow_kind_of_worker_is_learned(self) -> None:
        estimator = SpeedEstimator()
        for _ in range(60):
            step = StepDurations()
            for number in range(3):
                estimator.observe(WorkerId(f"a{number}"), "a", 1.0, step)
                estimator.observe(WorkerId(f"b{number}"), "b", 1.35, step)
        slow = estimator.slowness(WorkerId("b9"), "b")
        fast = estimator.slowness(WorkerId("a9"), "a")
        assert 0.15 < slow - fast < 0.35

    def test_slow_worker_is_learned_and_forgotten(self) -> None:
        estimator = SpeedEstimator()
        for _ in range(8):
            step = StepDurations()
            for number in range(4):
                estimator.observe(WorkerId(f"w{number}"), "a", 1.0, step)
            estimator.observe(SLOW_WORKER, "a", 5.0, step)
        assert estimator.slowness(SLOW_WORKER, "a") > 1.0
        estimator.forget(SLOW_WORKER)
        assert estimator.slowness(SLOW_WORKER, "a") < 0.6

    def test_single_task_changes_no_estimate(self) -> None:
        estimator = SpeedEstimator()
        estimator.observe(SLOW_WORKER, "a", 9.0, StepDurations())
        assert estimator.slowness(SLOW_WORKER, "a") == 0


class TestPlacementBySpeed:
    def test_fast_worker_is_preferred(self) -> None:
        fleet = Fleet(workers=2)
        fleet.scheduler.ledger.speeds.workers[WorkerId("w0")] = 0.3
        fleet.submit("a", StepSpec(1, ONE))
        fleet.run_for(0.1)
        assert fleet.starts[0][2] == "w1"


class TestSpeculativeCopies:
    def run_with_straggler(self, is_speculative: bool, hangs: bool) -> Fleet:
        fleet = Fleet(workers=4)

        def plan(request: StartRequest) -> RunPlan:
            is_first = len(fleet.starts) == 1
            return RunPlan(4.0 if is_first else 0.5, ONE, hangs=hangs and is_first)

        step = StepSpec(4, ONE, is_speculative=is_speculative)
        self.job = fleet.submit("a", step, queue_name=URGENT, plan=plan)
        fleet.run_for(2.4)
        return fleet

    def test_stalled_run_gets_a_copy_and_the_first_to_end_counts(
        self,
    ) -> None:
        fleet = self.run_with_straggler(is_speculative=True, hangs=True)
        assert len(fleet.starts) == 5
        assert fleet.state(self.job) is JobState.COMPLETED
        fleet.run_for(1.0)
        assert fleet.running(self.job) == []
        assert [reason for _, _, reason in fleet.stops] == ["surplus"]

    def test_run_on_a_slow_worker_gets_a_copy(self) -> None:
        fleet = Fleet(workers=4)
        slow = fleet.add_worker("slow")
        fleet.scheduler.ledger.speeds.workers[slow] = 1.0
        fleet.run_for(0.1)

        def plan(request: StartRequest) -> RunPlan:
            return RunPlan(4.0 if fleet.starts[-1][2] == slow else 0.5, ONE)

        step = StepSpec(5, ONE, max_per_worker=1, is_speculative=True)
        job = fleet.submit("a", step, queue_name=URGENT, plan=plan)
        fleet.run_for(1.8)
        assert fleet.state(job) is JobState.COMPLETED

    def test_longer_task_gets_no_copy(self) -> None:
        fleet = self.run_with_straggler(is_speculative=True, hangs=False)
        assert len(fleet.starts) == 4

    # Guards against a copy that starts over a second after the end of the first run was
    # acknowledged, because its start was delayed on the way: TWICE, issue 34.
    def test_delayed_copy_does_not_start_long_after_the_end_of_the_first_run(
        self,
    ) -> None:
        fleet = Fleet(workers=4)
        slow = fleet.add_worker("slow")
        fleet.scheduler.ledger.speeds.workers[slow] = 1.0
        fleet.run_for(0.1)

        def plan(request: StartRequest) -> RunPlan:
            return RunPlan(1.3 if fleet.starts[-1][2] == slow else 0.5, ONE)

        step = StepSpec(5, ONE, max_per_worker=1, is_speculative=True)
        job = fleet.submit("a", step, queue_name=URGENT, plan=plan)
        fleet.run_for(0.1)
        fleet.delayed_starts.update(fleet.engines)
        fleet.run_for(0.9)
        ((worker, *_),) = fleet.starts_under_way
        fleet.unreachable.add(worker)
        fleet.run_for(0.4)
        assert fleet.state(job) is JobState.COMPLETED
        ended_s = fleet.now_s
        fleet.run_for(1.0)
        fleet.deliver_starts()
        engine = fleet.engines[worker]
        began_s = [span.began_s for span in engine.spans + engine.open_spans()]
        assert all(at_s < ended_s for at_s in began_s)

    def test_step_that_is_not_speculative_gets_no_copy(self) -> None:
        fleet = self.run_with_straggler(is_speculative=False, hangs=True)
        assert len(fleet.starts) == 4
        assert fleet.state(self.job) is JobState.RUNNING
