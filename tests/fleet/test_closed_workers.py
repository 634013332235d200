"""Tests of workers that are recorded as closed, and of what a successor concludes."""

import msgspec
import pytest

from fleet_support import Fleet, task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.closed_workers import CLOSE_AFTER_S
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.work import StepSpec

ONE = StepSpec(1, task_resources())
EACH = StepSpec(2, task_resources(20))
"""A task for each of two workers."""

LONG_S = 60.0
SOLE_REVISION = 1
SILENT = WorkerId("w0")


class ClosedFleet(Fleet):
    """Two workers of a sole holder, of which one falls silent after a first job."""

    def __init__(self) -> None:
        super().__init__(workers=2)
        self.revisions[JobId("mark")] = SOLE_REVISION
        self.scheduler.sole_holder_recorded(SOLE_REVISION)
        self.earlier = self.submit("earlier", EACH, seconds=LONG_S)
        self.run_for(0.5)

    def silence(self) -> None:
        """Cut the worker off until it is recorded as closed."""
        self.unreachable.add(SILENT)
        self.run_for(CLOSE_AFTER_S + 0.3)

    def recorded(self) -> Registration:
        (entry,) = (each for each in self.workers_record if each.worker == SILENT)
        return entry

    def started(self, job: JobId) -> list[WorkerId]:
        return [worker for _, task, worker in self.starts if task.job == job]


class TestClosing:
    def test_silent_worker_is_recorded_with_the_newest_job(self) -> None:
        fleet = ClosedFleet()
        fleet.silence()
        assert fleet.recorded().closed_revision == fleet.revisions[fleet.earlier]

    # Each worker that was closed waits for a write to the store when it answers again.
    def test_worker_that_is_silent_for_a_moment_is_not_closed(self) -> None:
        fleet = ClosedFleet()
        fleet.unreachable.add(SILENT)
        fleet.run_for(CLOSE_AFTER_S - 0.1)
        fleet.unreachable.clear()
        fleet.run_for(0.3)
        assert fleet.scheduler.ledger.workers[SILENT].closed_revision is None
        assert fleet.scheduler.ledger.workers[SILENT].is_recorded

    def test_draining_worker_is_closed_and_opened_when_it_stays(self) -> None:
        fleet = ClosedFleet()
        entry = fleet.scheduler.ledger.workers[SILENT].entry
        for is_draining in (True, False):
            changed = msgspec.structs.replace(entry, is_draining=is_draining)
            fleet.scheduler.worker_registered(changed, fleet.now_s)
            fleet.run_for(0.3)
            assert (fleet.recorded().closed_revision is not None) == is_draining

    # Jobs that only a predecessor knew may run there, and are not counted.
    def test_nothing_is_closed_before_no_predecessor_can_act(self) -> None:
        fleet = ClosedFleet()
        fleet.take_over()
        fleet.silence()
        assert fleet.recorded().closed_revision is None
        fleet.scheduler.sole_holder_recorded(7)
        fleet.run_for(0.2)
        assert fleet.recorded().closed_revision == 7

    # It couldn't be used until the store responds, if it answers again before.
    def test_nothing_is_closed_without_the_store(self) -> None:
        fleet = ClosedFleet()
        fleet.is_store_available = False
        fleet.run_for(1.0)
        fleet.silence()
        assert fleet.scheduler.ledger.workers[SILENT].closed_revision is None

    # A job whose announcement states no revision can't be compared with later ones.
    def test_nothing_is_closed_beside_a_job_without_a_revision(self) -> None:
        fleet = ClosedFleet()
        record = fleet.store("announced", ONE, seconds=LONG_S)
        fleet.scheduler.accept(record, 0)
        fleet.silence()
        assert fleet.recorded().closed_revision is None
        fleet.scheduler.accept(record, fleet.revisions[record.id])
        fleet.run_for(0.3)
        assert fleet.recorded().closed_revision == fleet.revisions[record.id]

    # A successor would start the tasks that were started after the worker was back.
    @pytest.mark.parametrize("is_response_lost", [False, True])
    def test_nothing_starts_before_the_worker_is_recorded_as_open(
        self, is_response_lost: bool
    ) -> None:
        fleet = ClosedFleet()
        changes = fleet.scheduler.changes
        before = list(fleet.workers_record)
        fleet.silence()
        if is_response_lost:
            # The holder knows of no record that shows the worker as closed.
            changes.recorded = {entry.worker: entry for entry in before}
        fleet.is_store_available = False
        fleet.unreachable.clear()
        job = fleet.submit("later", EACH, EACH)
        fleet.run_for(1.0)
        assert SILENT not in fleet.started(job)
        fleet.is_store_available = True
        fleet.run_for(0.1)
        assert fleet.recorded().closed_revision is None

    # A record that was on its way when the worker was closed shows it as open.
    def test_late_record_does_not_open_a_closed_worker(self) -> None:
        fleet = ClosedFleet()
        before = list(fleet.workers_record)
        fleet.silence()
        fleet.scheduler.changes.workers_recorded(before)
        assert not fleet.scheduler.ledger.workers[SILENT].is_recorded

    def test_record_of_a_closed_worker_is_written_once(self) -> None:
        fleet = ClosedFleet()
        fleet.silence()
        assert fleet.scheduler.changes.workers_to_record() is None


class TestSuccessor:
    # 312 jobs waited 11.7 s for 8 silent workers of 176 that could run none of them.
    def test_job_that_was_stored_after_the_worker_was_closed_starts_at_once(
        self,
    ) -> None:
        fleet = ClosedFleet()
        fleet.silence()
        later = fleet.store("later", ONE)
        fleet.take_over()
        fleet.run_for(0.2)
        assert len(fleet.started(later.id)) == 1
        assert fleet.scheduler.takeover.held.keys() == {fleet.earlier}
        fleet.run_for(6.0)
        assert fleet.violations() == []

    def test_job_that_may_run_there_waits_for_the_leases(self) -> None:
        fleet = ClosedFleet()
        newest = fleet.submit("newest", StepSpec(2, task_resources(2)), seconds=LONG_S)
        fleet.run_for(0.2)
        assert SILENT in fleet.started(newest)
        fleet.silence()
        before = len(fleet.starts)
        fleet.take_over()
        fleet.run_for(0.5)
        assert len(fleet.starts) == before
        fleet.run_for(6.0)
        assert len(fleet.starts) > before
        assert fleet.violations() == []

    # The worker is still the one that the former holder closed: what this holder does
    # doesn't extend what may run there.
    def test_next_successor_concludes_the_same(self) -> None:
        fleet = ClosedFleet()
        fleet.silence()
        closed_revision = fleet.recorded().closed_revision
        later = fleet.store("later", ONE)
        fleet.take_over()
        fleet.run_for(0.1)
        assert fleet.recorded().closed_revision == closed_revision
        fleet.take_over()
        fleet.run_for(0.2)
        assert later.id not in fleet.scheduler.takeover.held

    # A holder of an earlier release starts tasks there and rewrites the record.
    def test_record_of_an_earlier_release_leaves_the_worker_open(self) -> None:
        fleet = ClosedFleet()
        fleet.silence()
        later = fleet.store("later", ONE)
        fleet.workers_record = [
            msgspec.structs.replace(entry, closed_revision=None)
            for entry in fleet.workers_record
        ]
        fleet.take_over()
        fleet.run_for(0.2)
        assert later.id in fleet.scheduler.takeover.held

    # A cancellation stores the record again, above the revision of the closed worker.
    def test_end_of_a_cancelled_job_waits_for_its_runs(self) -> None:
        fleet = ClosedFleet()
        fleet.silence()
        record = fleet.records[fleet.earlier]
        fleet.records[fleet.earlier] = msgspec.structs.replace(
            record, is_cancelled=True
        )
        fleet.revisions[fleet.earlier] = 100
        fleet.take_over()
        fleet.run_for(0.5)
        assert fleet.earlier not in fleet.ended
        fleet.run_for(6.0)
        assert fleet.earlier in fleet.ended
