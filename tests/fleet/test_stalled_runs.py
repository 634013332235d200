"""Tests of runs that show no new progress, which is reported in whole percent."""

import pytest

from fleet_support import SLOW, URGENT, Fleet, task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_standins import fleet_worker
from gooseberrydeck_standins.fleet_worker import RunPlan

ONE = task_resources()
LONGEST_IDLE_S = 3.0
"""How long an accepted job may be without a run while workers have room."""


class StalledRunsFixture:
    @pytest.fixture(autouse=True)
    def whole_percent(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(fleet_worker, "PROGRESS_DIGITS", 0)

    def setup_method(self) -> None:
        self.fleet = Fleet(workers=8)

    def submit_long(self, estimate_s: float, seconds: float, tasks: int = 6) -> JobId:
        step = StepSpec(tasks, ONE, estimate_s=estimate_s, max_per_worker=1)
        return self.fleet.submit("long", step, queue_name=SLOW, seconds=seconds)

    def count_stops(self) -> int:
        return sum(reason == "stalled" for _, _, reason in self.fleet.stops)

    def longest_idle_s(self, job: JobId, seconds: float) -> float:
        """Return for how long a job is without a run at most, within some time."""
        longest_s = idle_s = 0.0
        for _ in range(round(seconds / 0.05)):
            self.fleet.run_for(0.05)
            idle_s = 0.0 if self.fleet.running(job) else idle_s + 0.05
            longest_s = max(longest_s, idle_s)
        return longest_s


class TestLongTasks(StalledRunsFixture):
    # Guards against a task that is stopped and started again without end, since a
    # percent of it takes longer than the time after which runs count as stalled.
    @pytest.mark.parametrize("seconds", [260.0, 360.0, 900.0])
    def test_task_that_is_longer_than_estimated_is_left_alone(
        self, seconds: float
    ) -> None:
        job = self.submit_long(6.0, seconds)
        assert self.longest_idle_s(job, 60.0) <= LONGEST_IDLE_S
        stops = self.count_stops()
        self.fleet.run_for(seconds)
        assert self.count_stops() == stops <= 3 * 6
        assert self.fleet.state(job) is JobState.COMPLETED

    def test_task_as_long_as_estimated_is_never_stopped(self) -> None:
        job = self.submit_long(360.0, 360.0)
        self.fleet.run_for(361.0)
        assert self.fleet.stops == []
        assert self.fleet.state(job) is JobState.COMPLETED

    def test_predecessors_run_is_left_alone(self) -> None:
        self.submit_long(360.0, 360.0)
        self.fleet.run_for(100.0)
        self.fleet.take_over()
        self.fleet.run_for(100.0)
        assert self.fleet.stops == []

    # Sound workers were quarantined again and again, up to 12 s, also for others.
    def test_other_jobs_find_workers(self) -> None:
        self.fleet = Fleet(workers=6)
        self.submit_long(6.0, 360.0)
        for number in range(15):
            self.fleet.run_for(4.0)
            step = StepSpec(2, ONE, estimate_s=0.3)
            name = f"urgent{number}"
            job = self.fleet.submit(name, step, queue_name=URGENT, seconds=0.3)
            self.fleet.run_for(LONGEST_IDLE_S)
            assert self.fleet.state(job) is JobState.COMPLETED


class TestStalledWorkers(StalledRunsFixture):
    def test_task_moves_on_at_once_from_workers_that_stand_still(self) -> None:
        def plan(_: StartRequest) -> RunPlan:
            return RunPlan(1.0, ONE, hangs=len(self.fleet.starts) <= 2)

        job = self.fleet.submit("a", StepSpec(1, ONE, estimate_s=1.0), plan=plan)
        self.fleet.run_for(2.5 + 5.0 + 2.0)
        assert self.fleet.state(job) is JobState.COMPLETED
        assert len({worker for _, _, worker in self.fleet.starts}) == 3

    def test_worker_is_quarantined_for_the_first_stall_of_a_task(self) -> None:
        def plan(_: StartRequest) -> RunPlan:
            return RunPlan(1.0, ONE, hangs=len(self.fleet.starts) <= 1)

        self.fleet.submit("a", StepSpec(1, ONE, estimate_s=1.0), plan=plan)
        self.fleet.run_for(2.8)
        _, _, first = self.fleet.starts[0]
        health = self.fleet.scheduler.ledger.health
        assert not health.is_usable(first, self.fleet.now_s)
