"""Tests of teams' maxima while runs of a predecessor are unknown."""

import msgspec
import pytest

from fleet_support import (
    CORE,
    SLOW,
    TEAM,
    URGENT,
    Fleet,
    make_configuration,
    task_resources,
)
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.work import StepSpec, WorkSpec

EIGHT = task_resources(8)
WORK_S = 20.0
LEASE_S = 4.6
"""Time by which all leases of a predecessor have expired."""


class LimitedFleet(Fleet):
    """A fleet with one team, whose maximum is 48 cores unless it is changed."""

    def __init__(self, cores: int = 48) -> None:
        super().__init__(workers=3)
        self.limit(cores)

    def limit(self, cores: int) -> None:
        """Put another maximum of the team in force; 0 is none."""
        maximum = Resources(cores * CORE, 0, 0)
        version = self.configuration.version + 1
        self.configuration = make_configuration(maximum=maximum, version=version)
        self.scheduler.set_configuration(self.configuration)

    def start(self, name: str, *steps: StepSpec) -> JobId:
        """Submit a job of the team, and let the scheduler act on it."""
        job = self.submit(name, *steps, seconds=WORK_S)
        self.run_for(0.5)
        return job

    def take_over_without(self, *workers: WorkerId) -> None:
        """Replace the scheduler by one that can't reach some workers."""
        self.unreachable = set(workers)
        self.take_over()

    def used_cores(self) -> int:
        """Return how many cores the team uses, known to the scheduler or not."""
        return self.team_usage(TEAM).cpu_millis // CORE


def fleet_with_unknown_runs(step: StepSpec, cores: int = 48) -> LimitedFleet:
    """Return a fleet whose scheduler doesn't know the runs of job ``a``."""
    fleet = LimitedFleet(cores)
    fleet.start("a", step)
    workers = {worker for _, _, worker in fleet.starts}
    assert len(workers) == 1
    fleet.take_over_without(*workers)
    return fleet


def cancel(fleet: Fleet, name: str) -> None:
    """Cancel a job."""
    job = JobId(name)
    fleet.records[job] = msgspec.structs.replace(fleet.records[job], is_cancelled=True)
    fleet.scheduler.accept(fleet.records[job], 100)


# Runs on a worker that had not reported counted against no maximum, so that jobs
# accepted after a takeover brought their team above it.
class TestUnknownUsage:
    @pytest.mark.parametrize("is_gang", [False, True])
    def test_new_job_starts_within_what_unknown_runs_leave(self, is_gang: bool) -> None:
        fleet = fleet_with_unknown_runs(StepSpec(4, EIGHT))
        job = fleet.start("b", StepSpec(2, EIGHT, is_gang=is_gang))
        assert len(fleet.running(job)) == 2
        assert (
            fleet.running(fleet.start("c", StepSpec(2, EIGHT, is_gang=is_gang))) == []
        )
        assert fleet.violations() == []

    @pytest.mark.parametrize("reports", [False, True])
    def test_waiting_tasks_start_once_the_worker_reports_or_its_leases_expire(
        self, reports: bool
    ) -> None:
        fleet = fleet_with_unknown_runs(StepSpec(4, EIGHT))
        cancel(fleet, "a")
        job = fleet.start("b", StepSpec(6, EIGHT))
        assert len(fleet.running(job)) == 2
        if reports:
            fleet.unreachable.clear()
        fleet.run_for(0.6 if reports else LEASE_S)
        assert len(fleet.running(job)) == 6
        assert fleet.violations() == []

    def test_copies_that_a_predecessor_may_have_started_count(self) -> None:
        fleet = fleet_with_unknown_runs(StepSpec(1, EIGHT, is_speculative=True))
        assert len(fleet.running(fleet.start("b", StepSpec(6, EIGHT)))) == 4

    # The processors of best-effort tasks take no capacity, so that of the silent
    # worker is no bound for them.
    def test_best_effort_runs_count_beyond_the_capacity_of_their_worker(self) -> None:
        fleet = LimitedFleet(64)
        idle = {WorkerId("w1"), WorkerId("w2")}
        fleet.unreachable = set(idle)
        fleet.start("a", StepSpec(4, EIGHT, uses_leftover=True))
        fleet.start("b", StepSpec(4, EIGHT))
        assert fleet.used_cores() == 64
        fleet.take_over_without(WorkerId("w0"))
        fleet.start("c", StepSpec(1, EIGHT))
        assert fleet.used_cores() == 64

    @pytest.mark.parametrize("before", [0, 48])
    @pytest.mark.parametrize("cores", [40, 56])
    def test_changed_maximum_applies_beside_unknown_runs(
        self, before: int, cores: int
    ) -> None:
        fleet = fleet_with_unknown_runs(StepSpec(4, EIGHT), before)
        fleet.run_for(0.2)
        fleet.limit(cores)
        fleet.start("b", StepSpec(4, EIGHT))
        assert fleet.used_cores() == cores

    def test_unknown_runs_preempt_no_known_runs(self) -> None:
        fleet = LimitedFleet()
        saves = StepSpec(4, EIGHT, saves_progress=True)
        fleet.start("a", saves)
        placed = {worker for _, _, worker in fleet.starts}
        fleet.submit("held", saves, queue_name=SLOW)
        fleet.take_over_without(min(fleet.engines.keys() - placed))
        urgent = fleet.submit("b", StepSpec(2, EIGHT), queue_name=URGENT)
        fleet.run_for(1.0)
        assert fleet.running(urgent) == []
        assert fleet.stops == []

    def test_occurrence_that_a_predecessor_may_have_opened_counts(self) -> None:
        fleet = LimitedFleet()
        fleet.wall_offset_s = 0.4
        first_s = fleet.clock.wall() + 0.5
        work = WorkSpec("", (StepSpec(4, EIGHT),), 1, first_s, 2.0)
        fleet.submit("a", work=work, seconds=WORK_S)
        fleet.run_for(0.3)
        fleet.wall_offset_s = 0.0
        fleet.take_over_without(fleet.starts[0][2])
        fleet.submit("b", StepSpec(4, EIGHT), seconds=WORK_S)
        fleet.run_for(0.1)
        assert fleet.used_cores() == 48

    # A predecessor that acts on may start a job of which the successor learns later.
    def test_unreported_capacity_counts_while_a_predecessor_acts(self) -> None:
        fleet = LimitedFleet(64)
        fleet.start("a", StepSpec(1, EIGHT, saves_progress=True))
        fleet.take_over_without(WorkerId("w2"))
        fleet.scheduler.predecessor_may_act(fleet.now_s + 1.5)
        fleet.run_for(1.0)
        quotas = fleet.scheduler.ledger.quotas
        assert quotas.count_allowed(TEAM, EIGHT, 8) == 3
        fleet.run_for(1.0)
        assert quotas.count_allowed(TEAM, EIGHT, 8) == 7

    # The team of a run whose job is unknown is unknown too, so that it counted against
    # no maximum until the store had shown the job.
    def test_run_of_an_unknown_job_counts_until_the_job_is_known(self) -> None:
        fleet = LimitedFleet()
        job = fleet.start("a", StepSpec(4, EIGHT))
        record = fleet.records.pop(job)
        fleet.can_look_up_jobs = False
        fleet.take_over_without()
        fleet.run_for(0.2)
        fleet.start("b", StepSpec(6, EIGHT))
        assert fleet.used_cores() == 48
        fleet.records[job] = record
        fleet.can_look_up_jobs = True
        fleet.run_for(0.5)
        assert fleet.used_cores() == 48
        assert fleet.violations() == []
