"""Tests of what workers report of jobs that the scheduler doesn't know yet."""

import pytest

from fleet_support import Fleet, task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.work import JobRecord, JobState, StepSpec, WorkSpec

ONE = task_resources()


class Case:
    """A successor that learns of a predecessor's job later than of its runs."""

    def __init__(self, seconds: float, *steps: StepSpec) -> None:
        self.fleet = Fleet()
        self.fleet.can_look_up_jobs = False
        self.job = self.fleet.submit(
            "a", *(steps or (StepSpec(2, ONE),)), seconds=seconds
        )
        self.fleet.run_for(0.3)
        self.record: JobRecord = self.fleet.records.pop(self.job)
        self.fleet.take_over()
        self.fleet.records[self.job] = self.record

    def learn_job(self) -> None:
        """Let the watch deliver the job's record."""
        self.fleet.scheduler.accept(self.record, 1)

    @property
    def acknowledged(self) -> int:
        """The number of ends that workers have forgotten."""
        return sum(each.acknowledged for each in self.fleet.poll_states.values())


class TestJobsThatBecomeKnownLater:
    # Ends of a job that had not been loaded were acknowledged and dropped, and the
    # tasks ran again once the job was known.
    def test_ends_count_once_the_job_is_known(self) -> None:
        case = Case(0.5)
        case.fleet.run_for(1.5)
        assert case.acknowledged == 0
        case.learn_job()
        case.fleet.run_for(1.5)
        assert case.fleet.state(case.job) is JobState.COMPLETED
        assert len(case.fleet.starts) == 2
        assert case.acknowledged == 2
        assert case.fleet.violations() == []

    # Runs of a job that had not been loaded were stopped as surplus.
    def test_runs_go_on_until_the_job_is_known(self) -> None:
        case = Case(2.0)
        case.fleet.run_for(1.0)
        case.learn_job()
        case.fleet.run_for(2.0)
        assert case.fleet.state(case.job) is JobState.COMPLETED
        assert len(case.fleet.starts) == 2
        assert case.fleet.stops == []

    def test_next_step_starts_after_an_end_that_came_before_the_job(self) -> None:
        case = Case(0.5, StepSpec(1, ONE), StepSpec(1, ONE, after=(0,)))
        case.fleet.run_for(1.0)
        case.learn_job()
        case.fleet.run_for(1.0)
        assert case.fleet.state(case.job) is JobState.COMPLETED
        assert [task.step for _, task, _ in case.fleet.starts] == [0, 1]

    # A run of an unknown job shows that a predecessor had started the job, so its other
    # tasks may run on workers that have not reported.
    def test_job_with_reported_runs_waits_for_all_workers(self) -> None:
        case = Case(2.0, StepSpec(2, task_resources(32)))
        hidden = case.fleet.starts[0][2]
        case.fleet.unreachable.add(hidden)
        case.fleet.take_over()
        case.fleet.records[case.job] = case.record
        del case.fleet.scheduler.ledger.jobs[case.job]
        case.fleet.run_for(0.5)
        case.learn_job()
        case.fleet.run_for(0.5)
        assert len(case.fleet.starts) == 2

    def test_other_ends_of_the_worker_count_meanwhile(self) -> None:
        case = Case(0.5)
        other = case.fleet.submit("b", StepSpec(8, ONE), seconds=0.5)
        case.fleet.run_for(1.5)
        assert case.fleet.state(other) is JobState.COMPLETED
        case.learn_job()
        case.fleet.run_for(0.5)
        assert case.acknowledged == 10


class TestLookups:
    def test_job_that_is_stored_is_added_with_its_progress(self) -> None:
        case = Case(0.5, StepSpec(1, ONE), StepSpec(1, ONE, after=(0,)))
        case.fleet.can_look_up_jobs = True
        case.fleet.run_for(1.5)
        assert case.fleet.state(case.job) is JobState.COMPLETED
        assert [task.step for _, task, _ in case.fleet.starts] == [0, 1]

    def test_runs_of_an_ended_job_are_stopped(self) -> None:
        case = Case(5.0)
        del case.fleet.records[case.job]
        case.fleet.can_look_up_jobs = True
        case.fleet.run_for(1.0)
        assert case.fleet.running(case.job) == []
        assert {reason for _, _, reason in case.fleet.stops} == {"surplus"}

    def test_ends_of_an_ended_job_are_acknowledged(self) -> None:
        case = Case(0.5)
        del case.fleet.records[case.job]
        case.fleet.can_look_up_jobs = True
        case.fleet.run_for(1.5)
        assert case.acknowledged == 2

    def test_each_job_is_looked_up_once_at_a_time(self) -> None:
        case = Case(0.5)
        scheduler = case.fleet.scheduler
        case.fleet.poll_all()
        assert scheduler.take_lookups() == [case.job]
        case.fleet.poll_all()
        assert scheduler.take_lookups() == []

    def test_failed_lookup_is_repeated(self) -> None:
        case = Case(0.5)
        scheduler = case.fleet.scheduler
        case.fleet.poll_all()
        scheduler.take_lookups()
        scheduler.lookup_failed(case.job)
        assert scheduler.take_lookups() == [case.job]

    def test_outcome_of_a_lookup_is_ignored_if_the_job_came_first(self) -> None:
        case = Case(1.0)
        case.fleet.poll_all()
        scheduler = case.fleet.scheduler
        scheduler.take_lookups()
        case.learn_job()
        scheduler.job_absent(case.job, JobState.COMPLETED, case.fleet.now_s)
        case.fleet.run_for(1.5)
        assert case.fleet.state(case.job) is JobState.COMPLETED
        assert len(case.fleet.starts) == 2

    def test_ends_of_a_restarted_worker_still_count(self) -> None:
        case = Case(0.5)
        case.fleet.run_for(0.5)
        for worker in case.fleet.engines:
            case.fleet.restart_worker(worker, born_ms=2)
        case.fleet.run_for(0.2)
        case.learn_job()
        case.fleet.run_for(0.5)
        assert case.fleet.state(case.job) is JobState.COMPLETED
        assert len(case.fleet.starts) == 2


class TestOccurrences:
    # A successor whose clock is behind had not opened an occurrence that its
    # predecessor had started, and took its runs and ends for those of no task.
    @pytest.mark.parametrize("seconds", [0.2, 3.0])
    def test_occurrence_opened_by_a_predecessor_is_known(self, seconds: float) -> None:
        fleet = Fleet()
        work = WorkSpec(
            steps=(StepSpec(1, ONE),),
            occurrences=2,
            first_due_s=fleet.clock.wall() + 0.1,
            interval_s=0.1,
        )
        job = fleet.submit("a", work=work, seconds=seconds)
        fleet.is_store_available = False
        fleet.run_for(0.3)
        assert len(fleet.starts) == 2
        fleet.is_store_available = True
        fleet.wall_offset_s = -60.0
        fleet.take_over()
        fleet.run_for(4.0)
        assert fleet.state(JobId(job)) is JobState.COMPLETED
        assert len(fleet.starts) == 2


class TestDepartedWorkers:
    # A worker that lists only a run of an unknown job was forgotten when its
    # registration was removed, so that the job seemed to have no runs.
    def test_run_of_an_unknown_job_counts_until_its_lease_has_lapsed(self) -> None:
        case = Case(3.0, StepSpec(1, ONE))
        case.fleet.run_for(0.2)
        ((_, _, worker),) = case.fleet.starts
        case.fleet.unreachable.add(worker)
        case.fleet.scheduler.worker_unregistered(worker)
        case.fleet.run_for(0.3)
        case.learn_job()
        case.fleet.run_for(6.0)
        assert case.fleet.violations() == []
