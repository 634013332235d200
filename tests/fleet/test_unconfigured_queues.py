"""Tests of jobs whose queue a scheduler's configuration doesn't hold yet."""

from fleet_support import (
    SLOW,
    URGENT,
    Fleet,
    make_configuration,
    queue,
    task_resources,
)
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_standins.fleet_worker import RunPlan

ONE = task_resources()
WITHOUT_SLOW = make_configuration(queue(URGENT, 0))
WITH_SLOW = make_configuration(version=2)


class TestUnconfiguredQueue:
    def take_over(self, fleet: Fleet) -> None:
        """Replace the scheduler by one whose configuration lacks a queue."""
        fleet.configuration = WITHOUT_SLOW
        fleet.take_over()

    # Ends of a job whose queue was unknown were dropped, yet acknowledged.
    def test_end_of_a_job_without_queue_counts(self) -> None:
        fleet = Fleet()
        steps = StepSpec(2, ONE), StepSpec(1, ONE, after=(0,))
        job = fleet.submit("a", *steps, seconds=1.0)
        fleet.run_for(0.5)
        self.take_over(fleet)
        fleet.run_for(1.0)
        assert len(fleet.starts) == 2
        assert fleet.running(job) == []
        fleet.scheduler.set_configuration(WITH_SLOW)
        fleet.run_for(1.5)
        assert fleet.state(job) is JobState.COMPLETED
        assert len(fleet.starts) == 3
        assert fleet.violations() == []

    # Runs of such a job were stopped as surplus, and their work was lost.
    def test_runs_of_a_job_without_queue_go_on(self) -> None:
        fleet = Fleet()
        job = fleet.submit("a", StepSpec(2, ONE), seconds=3.0)
        fleet.run_for(0.5)
        self.take_over(fleet)
        fleet.run_for(1.0)
        assert len(fleet.running(job)) == 2
        assert fleet.stops == []

    def test_job_without_queue_starts_nothing(self) -> None:
        fleet = Fleet()
        self.take_over(fleet)
        job = fleet.submit("a", StepSpec(1, ONE))
        fleet.run_for(1.0)
        assert fleet.starts == []
        assert fleet.state(job) is JobState.QUEUED
        fleet.scheduler.set_configuration(WITH_SLOW)
        fleet.run_for(0.2)
        assert len(fleet.starts) == 1

    def test_job_without_queue_holds_up_no_other_job_of_its_team(self) -> None:
        fleet = Fleet()
        self.take_over(fleet)
        fleet.submit("a", StepSpec(64, ONE))
        urgent = fleet.submit("b", StepSpec(1, ONE), queue_name=URGENT)
        fleet.run_for(0.2)
        assert len(fleet.running(urgent)) == 1

    def test_job_is_due_by_the_settings_of_its_queue(self) -> None:
        fleet = Fleet()
        self.take_over(fleet)
        job = fleet.submit("a", StepSpec(1, ONE, estimate_s=4.0))
        fleet.scheduler.set_configuration(WITH_SLOW)
        known = fleet.scheduler.ledger.jobs[job]
        assert known.due_s == known.record.accepted_s + 1.5 * 4.0 + 0.25

    def test_attempts_used_up_fail_the_job_once_its_queue_is_known(self) -> None:
        fleet = Fleet()
        job = fleet.submit(
            "a",
            StepSpec(1, ONE),
            plan=lambda _request: RunPlan(0.5, ONE, fails=True),
        )
        fleet.configuration = make_configuration(queue(SLOW, 2, attempts=3))
        fleet.run_for(0.3)
        self.take_over(fleet)
        fleet.run_for(1.0)
        assert fleet.state(job) is JobState.RUNNING
        fleet.scheduler.set_configuration(
            make_configuration(queue(SLOW, 2, attempts=1), version=2)
        )
        fleet.run_for(0.2)
        assert fleet.state(job) is JobState.FAILED
        assert len(fleet.starts) == 1

    def test_jobs_of_a_removed_queue_keep_its_settings(self) -> None:
        fleet = Fleet()
        job = fleet.submit("a", StepSpec(1, ONE), StepSpec(1, ONE, after=(0,)))
        fleet.run_for(0.5)
        fleet.scheduler.set_configuration(WITHOUT_SLOW)
        fleet.run_for(2.5)
        assert fleet.state(JobId(job)) is JobState.COMPLETED
