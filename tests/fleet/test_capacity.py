"""Tests of workers whose capacity shrinks and grows while tasks run there.

Answers the pattern of hosts that lend a part of their room for a while.
"""

from fleet_support import (
    CORE,
    TEAM,
    Fleet,
    make_configuration,
    registration,
    task_resources,
)
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.work import JobState, StepSpec

W0, W1 = WorkerId("w0"), WorkerId("w1")
LONG_S = 30.0


class CapacityFixture:
    def setup_method(self) -> None:
        self.fleet = Fleet(workers=2)

    def fill(self, tasks: int, cores: float = 4.0, seconds: float = LONG_S) -> None:
        """Submit a job and let its tasks start."""
        name = f"fill{len(self.fleet.records)}"
        step = StepSpec(tasks, task_resources(cores))
        self.fleet.submit(name, step, seconds=seconds)
        self.fleet.run_for(0.2)

    def cores_on(self, worker: WorkerId) -> float:
        """Return the processors that the runs of a worker use."""
        return self.fleet.engines[worker].used().cpu_millis / CORE


class TestShrinking(CapacityFixture):
    def test_nothing_starts_beyond_the_smaller_capacity(self) -> None:
        self.fill(8, seconds=3.0)
        self.fleet.resize_worker(W0, 8)
        self.fleet.run_for(1.0)
        self.fill(16, seconds=8.0)
        assert self.cores_on(W1) == 32
        self.fleet.run_for(6.0)
        assert self.cores_on(W0) == 8
        assert self.fleet.violations() == []

    def test_runs_go_on_beyond_the_smaller_capacity(self) -> None:
        self.fill(8)
        self.fleet.resize_worker(W0, 0)
        self.fleet.run_for(8.0)
        assert self.cores_on(W0) == 32
        assert not self.fleet.stops

    def test_gang_waits_until_its_room_is_back(self) -> None:
        self.fleet.resize_worker(W0, 8)
        gang = StepSpec(3, task_resources(cores=16), is_gang=True)
        job = self.fleet.submit("gang", gang)
        self.fleet.run_for(6.0)
        assert self.fleet.starts == []
        self.fleet.resize_worker(W0, 32)
        self.fleet.run_for(2.0)
        assert self.fleet.state(job) is JobState.COMPLETED

    def test_step_that_fits_no_worker_waits_for_one_that_grows(self) -> None:
        for worker in (W0, W1):
            self.fleet.resize_worker(worker, 2)
        job = self.fleet.submit("wide", StepSpec(1, task_resources(cores=4)))
        self.fleet.run_for(6.0)
        assert self.fleet.starts == []
        (wait,) = self.fleet.scheduler.take_long_waits()
        assert wait.usable == 0
        for cores in (3, 4):
            self.fleet.resize_worker(W1, cores)
            self.fleet.run_for(1.5)
        assert self.fleet.state(job) is JobState.COMPLETED


class TestChangesOfHolder(CapacityFixture):
    def test_successor_counts_runs_beyond_the_smaller_capacity(self) -> None:
        self.fill(8)
        self.fleet.resize_worker(W0, 8)
        self.fleet.run_for(0.2)
        self.fleet.take_over()
        self.fill(9, seconds=2.0)
        assert self.cores_on(W0) == 32
        self.fleet.run_for(6.0)
        assert self.fleet.violations() == []

    # Guards against a team that exceeds its maximum, since a worker that shrank and
    # can't be reached seemed too small for what it runs.
    def test_unknown_runs_may_use_the_former_capacity(self) -> None:
        maximum = Resources(40 * CORE, 0, 0)
        self.fleet.configuration = make_configuration(maximum=maximum)
        self.fleet.scheduler.set_configuration(self.fleet.configuration)
        self.fill(8)
        assert self.cores_on(W0) == 32
        self.fleet.resize_worker(W0, 4)
        self.fleet.run_for(1.0)
        self.fleet.unreachable.add(W0)
        self.fleet.take_over()
        self.fill(5, cores=8.0, seconds=2.0)
        assert self.fleet.team_usage(TEAM).cpu_millis <= maximum.cpu_millis
        assert self.fleet.violations() == []

    def test_grown_worker_is_recorded_before_more_starts_there(self) -> None:
        self.fleet.is_store_available = False
        self.fleet.resize_worker(W0, 64)
        self.fill(20)
        assert self.cores_on(W0) <= 32
        self.fleet.is_store_available = True
        self.fleet.run_for(0.2)
        assert self.cores_on(W0) + self.cores_on(W1) == 80

    def test_record_keeps_the_largest_capacity(self) -> None:
        self.fleet.resize_worker(W0, 8)
        changes = self.fleet.scheduler.changes
        self.fleet.scheduler.worker_registered(registration("new"), self.fleet.now_s)
        entries = changes.workers_to_record()
        assert entries is not None
        capacities = {entry.worker: entry.capacity for entry in entries}
        assert capacities[W0].cpu_millis == 32 * CORE
