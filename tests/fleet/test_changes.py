"""Tests of storing changes in several concurrent commits."""

from fleet_support import Fleet, task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.commands import Changes
from gooseberrydeck_fleet.work import JobState, StepSpec

ONE = task_resources()
ENTRIES = 31


class TestConcurrentCommits:
    def setup_method(self) -> None:
        self.fleet = Fleet()
        self.fleet.is_store_available = False
        self.changes = self.fleet.scheduler.changes

    def end_job(self, name: str) -> JobId:
        job = self.fleet.submit(name, StepSpec(1, ONE), seconds=0.1)
        self.fleet.run_for(0.3)
        return job

    def take(self) -> Changes:
        return self.changes.take_batch(ENTRIES, 0.0)

    def stored(self, changes: Changes) -> bool:
        """Mark a commit as stored; return True if workers may forget ends."""
        return bool(self.changes.commit_succeeded(changes, {}, self.fleet.now_s))

    def test_concurrent_commits_never_contain_the_same_job(self) -> None:
        self.end_job("a")
        first = self.take()
        self.end_job("b")
        second = self.take()
        assert [each.job for each in first.endings] == ["a"]
        assert [each.job for each in second.endings] == ["b"]

    def test_job_that_changes_while_its_commit_is_in_flight_waits(self) -> None:
        steps = StepSpec(1, ONE), StepSpec(1, ONE, after=(0,))
        job = self.fleet.submit("a", *steps, seconds=0.2)
        self.fleet.run_for(0.4)
        first = self.take()
        assert [each.job for each in first.progress] == [job]
        self.fleet.run_for(0.4)
        assert self.take().is_empty
        self.changes.commit_succeeded(first, {job: 9}, self.fleet.now_s)
        (ending,) = self.take().endings
        assert ending.progress_revision == 9

    def test_ends_are_acknowledged_once_all_earlier_commits_are_stored(self) -> None:
        self.end_job("a")
        first = self.take()
        self.end_job("b")
        second = self.take()
        assert not self.stored(second)
        assert self.stored(first)

    def test_ends_are_not_acknowledged_if_one_of_two_commits_failed(self) -> None:
        self.end_job("a")
        first = self.take()
        self.end_job("b")
        second = self.take()
        self.changes.commit_failed(first)
        assert not self.stored(second)
        assert self.stored(self.take())

    def test_nothing_is_acknowledged_while_a_commit_is_in_flight(self) -> None:
        self.end_job("a")
        first = self.take()
        assert not self.stored(self.changes.take_batch(0, 0.0))
        assert self.stored(first)

    def test_final_state_is_published_only_after_its_own_commit(self) -> None:
        job = self.end_job("a")
        first = self.take()
        self.end_job("b")
        assert not self.stored(self.take())
        assert self.fleet.state(job) is JobState.RUNNING
        self.stored(first)
        assert self.fleet.state(job) is JobState.COMPLETED
