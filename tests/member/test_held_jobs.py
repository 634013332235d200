"""Tests of the reports about jobs that a successor holds back."""

from structlog.testing import capture_logs

from fleet_support import SLOW, Fleet, task_resources
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.work import StepSpec
from gooseberrydeck_member.held_jobs import HeldJobsReporter
from gooseberrydeck_member.observability import Metrics

W0 = WorkerId("w0")
STANDING = StepSpec(2, task_resources(), is_standing=True)


class TestHeldJobsReporter:
    # A run that a successor did not find, and the wait before it, wrote no line.
    def test_silent_worker_and_the_runs_that_were_not_found_are_logged(self) -> None:
        fleet = Fleet(workers=2)
        job = fleet.submit("a", STANDING, queue_name=SLOW, seconds=600.0)
        fleet.run_for(1.0)
        lost = [task for _, task, worker in fleet.starts if worker == W0]
        assert lost
        fleet.crash_worker(W0)
        fleet.down.clear()
        fleet.take_over()
        reporter = HeldJobsReporter(fleet.scheduler, Metrics())
        with capture_logs() as logs:
            for _ in range(200):
                fleet.run_for(0.05)
                reporter.report(fleet.now_s)
        held, released, missing = logs
        assert (held["event"], held["worker_ids"]) == ("jobs held", [W0])
        assert (released["event"], released["jobs"]) == ("held jobs released", 1)
        assert (missing["event"], missing["job"]) == ("runs not found", job)
        assert missing["tasks"] == sorted(task[1:] for task in lost)

    def test_takeover_that_finds_all_workers_is_not_logged_as_a_wait(self) -> None:
        fleet = Fleet(workers=2)
        fleet.submit("a", STANDING, queue_name=SLOW, seconds=600.0)
        fleet.run_for(1.0)
        fleet.take_over()
        reporter = HeldJobsReporter(fleet.scheduler, Metrics())
        with capture_logs() as logs:
            for _ in range(20):
                reporter.report(fleet.now_s)
                fleet.run_for(0.05)
        assert [each["event"] for each in logs] == ["held jobs released"]
