"""Tests of which step goes first when not all can."""

import pytest

from fleet_support import URGENT, Fleet, task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.state import Job
from gooseberrydeck_fleet.work import StepSpec

WHOLE = task_resources(cores=32.0)


class OneWorker:
    """One worker that each task fills for a second; jobs are due after 1.75 s."""

    def setup_method(self) -> None:
        self.fleet = Fleet(workers=1)

    def submit(self, name: str, *steps: StepSpec) -> JobId:
        spec = steps or (StepSpec(1, WHOLE, estimate_s=1.0),)
        return self.fleet.submit(name, *spec, queue_name=URGENT, seconds=1.0)

    def order(self) -> list[JobId]:
        return [task.job for _, task, _ in self.fleet.starts]

    def job(self, name: JobId) -> Job:
        return self.fleet.scheduler.ledger.jobs[name]


class TestBurst(OneWorker):
    def test_jobs_that_can_be_on_time_go_before_those_that_cannot(self) -> None:
        # In order of due times alone the burst makes every job after it late too.
        burst = [self.submit(f"burst{number}") for number in range(4)]
        self.fleet.run_for(2.4)
        fresh = self.submit("fresh")
        self.fleet.run_for(4.0)
        assert self.order() == [*burst[:3], fresh, burst[3]]


class TestWillBeLate(OneWorker):
    CHAIN = (
        StepSpec(1, WHOLE, estimate_s=1.0),
        StepSpec(1, WHOLE, estimate_s=2.0, after=(0,)),
        StepSpec(1, WHOLE, estimate_s=0.5, after=(0,)),
    )

    @pytest.mark.parametrize(("step", "left_s"), [(0, 3.0), (1, 2.0), (2, 0.5)])
    def test_longest_chain_from_a_step_on(self, step: int, left_s: float) -> None:
        job = self.job(self.submit("a", *self.CHAIN))
        number = list(job.steps.values())[step]
        assert job.critical_path_s(number) == left_s

    @pytest.mark.parametrize(("early_s", "is_late"), [(0.01, False), (-0.01, True)])
    def test_job_is_given_up_on_only_if_even_a_good_run_is_too_long(
        self, early_s: float, is_late: bool
    ) -> None:
        job = self.job(self.submit("a", *self.CHAIN))
        first = next(iter(job.steps.values()))
        assert job.will_be_late(first, job.due_s - 0.7 * 3.0 - early_s) is is_late

    def test_step_that_stands_is_never_late(self) -> None:
        job = self.job(self.submit("a", StepSpec(1, WHOLE, is_standing=True)))
        first = next(iter(job.steps.values()))
        assert not job.will_be_late(first, job.due_s + 1_000)
