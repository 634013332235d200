"""Tests of the evacuation of draining workers."""

import pytest

from fleet_support import (
    SLOW,
    Fleet,
    make_configuration,
    queue,
    registration,
    task_resources,
)
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.configuration import AdvicePolicy
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.work import StepSpec

ONE = task_resources()
NOTICE_S = 2.0


class EvacuationFixture:
    def setup_method(self) -> None:
        self.fleet = Fleet(workers=1)
        self.leaving = WorkerId("w0")

    def run_on_leaving_worker(self, step: StepSpec, seconds: float) -> JobId:
        """Start a job on the worker that will leave, then add another worker."""
        job = self.fleet.submit("a", step, seconds=seconds)
        self.fleet.run_for(0.4)
        assert len(self.fleet.running(job)) == step.count
        self.fleet.add_worker("other")
        self.fleet.run_for(0.2)
        return job

    def drain(self, notice_s: float = NOTICE_S) -> None:
        entry = registration(str(self.leaving), is_draining=True, remaining_s=notice_s)
        self.fleet.scheduler.worker_registered(entry, self.fleet.now_s)

    def workers_running(self, job: JobId) -> set[WorkerId]:
        return {
            worker
            for worker, engine in self.fleet.engines.items()
            if any(task.job == job for task in engine.runs)
        }

    def count_stops(self) -> int:
        return len(self.fleet.stops)


class TestDeparture(EvacuationFixture):
    def test_run_that_saves_progress_moves_shortly_before_the_departure(self) -> None:
        step = StepSpec(1, ONE, saves_progress=True, estimate_s=9.0)
        job = self.run_on_leaving_worker(step, seconds=9.0)
        self.drain()
        self.fleet.run_for(0.5)
        assert self.workers_running(job) == {self.leaving}
        self.fleet.run_for(NOTICE_S - 0.6)
        assert self.workers_running(job) == {"other"}
        (_, task, _), *_ = self.fleet.starts
        checkpoint = self.fleet.scheduler.ledger.find_task(task)
        assert checkpoint is not None
        assert float(checkpoint.checkpoint) > 1.0

    def test_run_that_ends_before_the_departure_stays(self) -> None:
        step = StepSpec(1, ONE, saves_progress=True, estimate_s=1.2)
        self.run_on_leaving_worker(step, seconds=1.2)
        self.drain()
        self.fleet.run_for(NOTICE_S)
        assert self.count_stops() == 0

    def test_long_run_that_saves_no_progress_restarts_elsewhere_at_once(self) -> None:
        job = self.run_on_leaving_worker(StepSpec(1, ONE, estimate_s=9.0), seconds=9.0)
        self.drain()
        self.fleet.run_for(0.5)
        assert self.workers_running(job) == {"other"}

    def test_run_that_saves_no_progress_stays_if_it_may_end_in_time(self) -> None:
        self.run_on_leaving_worker(StepSpec(1, ONE, estimate_s=3.0), seconds=3.0)
        self.drain()
        self.fleet.run_for(1.5)
        assert self.count_stops() == 0

    def test_gang_moves_as_a_whole(self) -> None:
        gang = StepSpec(3, ONE, is_gang=True, estimate_s=9.0, saves_progress=True)
        job = self.run_on_leaving_worker(gang, seconds=9.0)
        self.drain()
        self.fleet.run_for(NOTICE_S + 0.5)
        assert self.workers_running(job) == {"other"}
        assert len(self.fleet.running(job)) == 3
        assert self.fleet.violations() == []

    def test_successor_evacuates_worker_that_was_already_draining(self) -> None:
        step = StepSpec(1, ONE, saves_progress=True, estimate_s=9.0)
        job = self.run_on_leaving_worker(step, seconds=9.0)
        self.drain(0.0)
        self.fleet.take_over()
        self.fleet.run_for(1.5)
        assert self.workers_running(job) == {"other"}


class TestLongRunningTasks(EvacuationFixture):
    def test_long_running_task_moves_at_once(self) -> None:
        step = StepSpec(1, ONE, is_standing=True)
        job = self.run_on_leaving_worker(step, seconds=1.0)
        self.drain()
        self.fleet.run_for(0.5)
        assert self.workers_running(job) == {"other"}

    def test_long_running_task_stays_while_no_other_worker_has_capacity(self) -> None:
        job = self.fleet.submit("a", StepSpec(1, ONE, is_standing=True))
        self.fleet.run_for(0.4)
        self.drain()
        self.fleet.run_for(0.5)
        assert self.workers_running(job) == {self.leaving}

    @pytest.mark.parametrize("notice_s", [0.0, NOTICE_S])
    def test_advice_is_requested_before_the_task_is_stopped(
        self, notice_s: float
    ) -> None:
        policy = AdvicePolicy(0.4, 0.0, 2.5)
        self.fleet.configuration = make_configuration(queue(SLOW, 2, policy))
        self.fleet.scheduler.set_configuration(self.fleet.configuration)
        job = self.run_on_leaving_worker(
            StepSpec(1, ONE, is_standing=True), seconds=1.0
        )
        requested = len(self.fleet.advice_requests)
        self.fleet.allowed = lambda worker: worker == "other"
        self.drain(notice_s)
        self.fleet.run_for(0.2)
        assert len(self.fleet.advice_requests) > requested
        self.fleet.run_for(0.6)
        assert self.workers_running(job) == {"other"}
