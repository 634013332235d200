"""Tests of changes that are stored by several commits at once."""

from fleet_support import Fleet, task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.commands import Changes
from gooseberrydeck_fleet.work import JobState, StepSpec

ONE = task_resources()
ENTRIES = 31


class TestCommitsAtOnce:
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
        """Report a commit as stored; tell whether ends may be forgotten."""
        return bool(self.changes.commit_succeeded(changes, {}, self.fleet.now_s))

    def test_two_commits_never_hold_the_same_job(self) -> None:
        self.end_job("a")
        first = self.take()
        self.end_job("b")
        second = self.take()
        assert [each.job for each in first.endings] == ["a"]
        assert [each.job for each in second.endings] == ["b"]

    def test_job_that_changes_while_its_commit_is_out_waits(self) -> None:
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

    def test_ends_are_forgotten_once_all_commits_before_are_stored(self) -> None:
        self.end_job("a")
        first = self.take()
        self.end_job("b")
        second = self.take()
        assert not self.stored(second)
        assert self.stored(first)

    def test_ends_stay_listed_if_one_of_two_commits_failed(self) -> None:
        self.end_job("a")
        first = self.take()
        self.end_job("b")
        second = self.take()
        self.changes.commit_failed(first)
        assert not self.stored(second)
        assert self.stored(self.take())

    def test_nothing_is_forgotten_while_a_commit_is_out(self) -> None:
        self.end_job("a")
        first = self.take()
        assert not self.stored(self.changes.take_batch(0, 0.0))
        assert self.stored(first)

    def test_final_state_is_shown_only_when_its_own_commit_is_stored(self) -> None:
        job = self.end_job("a")
        first = self.take()
        self.end_job("b")
        assert not self.stored(self.take())
        assert self.fleet.state(job) is JobState.RUNNING
        self.stored(first)
        assert self.fleet.state(job) is JobState.COMPLETED
