"""Tests of jobs whose queue is removed after they were accepted."""

import msgspec
import pytest

from fleet_support import SLOW, URGENT, Fleet, make_configuration, queue, task_resources
from gooseberrydeck_fleet.configuration import AdvicePolicy
from gooseberrydeck_fleet.work import JobRecord, JobState, StepSpec, WorkSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_standins.fleet_worker import RunPlan

TWO_STEPS = WorkSpec(
    steps=(StepSpec(2, task_resources()), StepSpec(2, task_resources(), after=(0,)))
)
SETTINGS = queue(SLOW, 2).settings(version=1)


class TestRemovedQueues:
    @pytest.fixture
    def fleet(self) -> Fleet:
        fleet = Fleet(workers=4)
        fleet.scheduler.set_configuration(fleet.configuration)
        return fleet

    def remove(self, fleet: Fleet) -> None:
        """Put a configuration without the queue in force."""
        fleet.configuration = make_configuration(queue(URGENT, 0), version=2)
        fleet.scheduler.set_configuration(fleet.configuration)

    # Guards against accepted jobs that never run: their queue was known only to the
    # holder that had seen it.
    def test_next_holder_runs_the_steps_that_are_left(self, fleet: Fleet) -> None:
        job = fleet.submit("a", work=TWO_STEPS, queue_settings=SETTINGS)
        fleet.run_for(0.5)
        self.remove(fleet)
        fleet.take_over()
        fleet.run_for(20.0)
        assert fleet.state(job) is JobState.COMPLETED
        assert not fleet.violations()

    def test_job_may_be_accepted_by_a_member_that_is_behind(self, fleet: Fleet) -> None:
        record = fleet.store("a", work=TWO_STEPS, queue_settings=SETTINGS)
        self.remove(fleet)
        assert fleet.scheduler.accept(record, fleet.revisions[record.id])
        fleet.run_for(20.0)
        assert fleet.state(record.id) is JobState.COMPLETED

    def test_attempts_are_limited_as_when_it_was_accepted(self, fleet: Fleet) -> None:
        def failing(_request: StartRequest) -> RunPlan:
            return RunPlan(0.2, task_resources(), True)

        job = fleet.submit("a", work=TWO_STEPS, plan=failing, queue_settings=SETTINGS)
        self.remove(fleet)
        fleet.take_over()
        fleet.run_for(60.0)
        assert fleet.state(job) is JobState.FAILED
        assert not fleet.starts_beyond_attempts(3)

    # Guards against starts beyond the limit of a team that the holder doesn't know yet.
    def test_holder_that_is_behind_waits_for_the_configuration(
        self, fleet: Fleet
    ) -> None:
        self.remove(fleet)
        newer = queue(SLOW, 2).settings(version=3)
        job = fleet.submit("a", work=TWO_STEPS, queue_settings=newer)
        fleet.run_for(5.0)
        assert not fleet.starts
        fleet.configuration = make_configuration(queue(URGENT, 0), version=4)
        fleet.scheduler.set_configuration(fleet.configuration)
        fleet.run_for(20.0)
        assert fleet.state(job) is JobState.COMPLETED

    def test_newer_settings_go_first(self, fleet: Fleet) -> None:
        job = fleet.submit("a", work=TWO_STEPS, queue_settings=SETTINGS)
        fleet.configuration = make_configuration(
            queue(URGENT, 0), queue(SLOW, 5), version=2
        )
        fleet.scheduler.set_configuration(fleet.configuration)
        fleet.take_over()
        assert fleet.scheduler.ledger.jobs[job].queue.priority == 5

    def test_stored_record_keeps_the_settings(self, fleet: Fleet) -> None:
        record = fleet.store("a", *TWO_STEPS.steps)
        policy = AdvicePolicy(0.1, 0.01, 5.0)
        settings = queue(SLOW, 2, policy).settings(version=1)
        record = msgspec.structs.replace(record, queue_settings=settings)
        stored = msgspec.json.encode(record)
        assert msgspec.json.decode(stored, type=JobRecord) == record
