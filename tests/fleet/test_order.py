"""Tests of the order in which steps start when capacity is short."""

import pytest

from fleet_support import URGENT, Fleet, task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.state import Job
from gooseberrydeck_fleet.work import StepSpec

WHOLE = task_resources(cores=32.0)


class OneWorkerFixture:
    """One worker that runs one task of 1 s at a time; jobs are due after 1.75 s."""

    def setup_method(self) -> None:
        self.fleet = Fleet(workers=1)

    def submit(self, name: str, *steps: StepSpec) -> JobId:
        spec = steps or (StepSpec(1, WHOLE, estimate_s=1.0),)
        return self.fleet.submit(name, *spec, queue_name=URGENT, seconds=1.0)

    def order(self) -> list[JobId]:
        return [task.job for _, task, _ in self.fleet.starts]

    def job(self, name: JobId) -> Job:
        return self.fleet.scheduler.ledger.jobs[name]


class TestBurst(OneWorkerFixture):
    def test_jobs_that_can_finish_on_time_go_first(self) -> None:
        # In plain order of due times, the burst would make every later job late too.
        burst = [self.submit(f"burst{number}") for number in range(4)]
        self.fleet.run_for(2.4)
        fresh = self.submit("fresh")
        self.fleet.run_for(4.0)
        assert self.order() == [*burst[:3], fresh, burst[3]]


class TestWillBeLate(OneWorkerFixture):
    CHAIN = (
        StepSpec(1, WHOLE, estimate_s=1.0),
        StepSpec(1, WHOLE, estimate_s=2.0, after=(0,)),
        StepSpec(1, WHOLE, estimate_s=0.5, after=(0,)),
    )

    @pytest.mark.parametrize(("step", "left_s"), [(0, 3.0), (1, 2.0), (2, 0.5)])
    def test_critical_path_from_a_step(self, step: int, left_s: float) -> None:
        job = self.job(self.submit("a", *self.CHAIN))
        number = list(job.steps.values())[step]
        assert job.critical_path_s(number) == left_s

    @pytest.mark.parametrize(("early_s", "is_late"), [(0.01, False), (-0.01, True)])
    def test_job_is_late_only_if_its_minimum_work_takes_too_long(
        self, early_s: float, is_late: bool
    ) -> None:
        job = self.job(self.submit("a", *self.CHAIN))
        first = next(iter(job.steps.values()))
        assert job.will_be_late(first, job.due_s - 0.7 * 3.0 - early_s) is is_late

    def test_long_running_step_is_never_late(self) -> None:
        job = self.job(self.submit("a", StepSpec(1, WHOLE, is_standing=True)))
        first = next(iter(job.steps.values()))
        assert not job.will_be_late(first, job.due_s + 1_000)
