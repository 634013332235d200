"""Tests of workers whose capacity shrinks and grows while tasks run there.

Answers the pattern of hosts that lend a part of their room for a while.
"""

import pytest

from delays_support import DelayedFleet
from fleet_support import (
    CORE,
    HOST,
    TEAM,
    URGENT,
    make_configuration,
    registration,
    task_resources,
)
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.health import NO_ROOM_PAUSE_S
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.work import JobState, StepSpec

W0, W1 = WorkerId("w0"), WorkerId("w1")
WORKERS = W0, W1
LONG_S = 30.0
SHRUNK_CORES = 16
BURST = 6
"""Jobs of a burst, which need more than both workers have left."""


class CapacityFixture:
    def setup_method(self) -> None:
        self.fleet = DelayedFleet(workers=2)

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


class TestShrinkingUnderLoad(CapacityFixture):
    """Runs go on while capacity is withdrawn, and a burst of jobs follows."""

    def limit_team(self, cores: int) -> None:
        maximum = Resources(cores * CORE, 0, 0)
        self.fleet.configuration = make_configuration(maximum=maximum)
        self.fleet.scheduler.set_configuration(self.fleet.configuration)

    def submit_burst(self, seconds: float = 2.0) -> list[JobId]:
        """Submit urgent jobs."""
        return [
            self.fleet.submit(
                f"burst{number}",
                StepSpec(2, task_resources(cores=4)),
                queue_name=URGENT,
                seconds=seconds,
            )
            for number in range(BURST)
        ]

    def watch(self, seconds: float, max_cores: int) -> None:
        """Check the use of both workers and of the team while the fleet runs.

        Nothing may bring a worker that is beyond its capacity further beyond.
        """
        used = {worker: self.cores_on(worker) for worker in WORKERS}
        for _ in range(round(seconds / 0.05)):
            self.fleet.run_for(0.05)
            for worker in WORKERS:
                capacity = self.fleet.engines[worker].capacity.cpu_millis / CORE
                assert self.cores_on(worker) <= max(capacity, used[worker])
                used[worker] = self.cores_on(worker)
            assert self.fleet.team_usage(TEAM).cpu_millis <= max_cores * CORE
        assert self.fleet.violations() == []

    # Guards against a burst that fills workers which have shrunk under their runs: over
    # their capacity, or over what the team may run.
    @pytest.mark.parametrize("is_taken_over", [False, True])
    @pytest.mark.parametrize("max_cores", [40, 64])
    def test_burst_waits_or_goes_elsewhere(
        self, is_taken_over: bool, max_cores: int
    ) -> None:
        self.limit_team(max_cores)
        self.fill(8, seconds=3.0)
        self.fleet.resize_worker(W0, SHRUNK_CORES)
        self.fleet.resize_worker(W1, SHRUNK_CORES)
        if is_taken_over:
            self.fleet.take_over()
        jobs = self.submit_burst()
        self.watch(20.0, max_cores)
        for job in jobs:
            assert self.fleet.state(job) is JobState.COMPLETED

    def test_worker_that_grows_back_is_filled_again(self) -> None:
        self.fill(8, seconds=LONG_S)
        (worker,) = [each for each in WORKERS if self.cores_on(each) == 32]
        (other,) = set(WORKERS) - {worker}
        self.fleet.resize_worker(worker, SHRUNK_CORES)
        self.fleet.resize_worker(other, 0)
        jobs = self.submit_burst()
        self.watch(2.0, 64)
        assert all(self.fleet.state(job) is JobState.QUEUED for job in jobs)
        self.fleet.resize_worker(worker, 40)
        self.fleet.run_for(0.5)
        assert self.cores_on(worker) == 40
        self.watch(15.0, 64)
        for job in jobs:
            assert self.fleet.state(job) is JobState.COMPLETED

    # Guards against starts that were decided for the former capacity and are sent to a
    # worker that has shrunk meanwhile, beside others for what is left.
    @pytest.mark.parametrize("hold_s", [0.3, 1.4])
    @pytest.mark.parametrize("cores", [0, 8, SHRUNK_CORES])
    def test_shrinking_while_starts_are_under_way(
        self, hold_s: float, cores: int
    ) -> None:
        self.fill(4, seconds=LONG_S)
        self.fleet.holds_s = dict.fromkeys(WORKERS, hold_s)
        self.fill(8, seconds=2.0)
        self.fleet.holds_s.clear()
        for worker in WORKERS:
            self.fleet.resize_worker(worker, cores)
        jobs = self.submit_burst()
        self.fleet.run_for(8.0)
        self.watch(2.0, 64)
        for worker in WORKERS:
            self.fleet.resize_worker(worker, 32)
        self.watch(20.0, 64)
        for job in jobs:
            assert self.fleet.state(job) is JobState.COMPLETED

    # Guards against a successor that takes a worker beyond its capacity for an empty
    # one, since its runs are not known yet or its room is negative.
    @pytest.mark.parametrize("is_cut", [False, True])
    @pytest.mark.parametrize("shrinks_before", [False, True])
    def test_shrinking_around_a_takeover(
        self, is_cut: bool, shrinks_before: bool
    ) -> None:
        self.limit_team(48)
        self.fill(10, seconds=6.0)
        if shrinks_before:
            self.fleet.resize_worker(W0, SHRUNK_CORES)
        if is_cut:
            self.fleet.unreachable.add(W0)
        self.fleet.take_over()
        if not shrinks_before:
            self.fleet.resize_worker(W0, SHRUNK_CORES)
        jobs = self.submit_burst()
        self.watch(3.0, 48)
        self.fleet.unreachable.clear()
        self.watch(25.0, 48)
        for job in jobs:
            assert self.fleet.state(job) is JobState.COMPLETED


class TestRefusalsForWantOfRoom(CapacityFixture):
    """Workers that refuse what doesn't fit, before their registration has changed."""

    def setup_method(self) -> None:
        super().setup_method()
        for engine in self.fleet.engines.values():
            engine.enforces_capacity = True

    def shrink_unseen(self, worker: WorkerId, cores: int = 0) -> None:
        """Shrink a worker; its registration still shows its former capacity."""
        capacity = Resources(cores * CORE, HOST.memory_mib, 0)
        self.fleet.engines[worker].resize(capacity)

    def starts_on(self, worker: WorkerId) -> int:
        return sum(started == worker for _, _, started in self.fleet.starts)

    # Guards against start requests that are repeated without a pause to a worker that
    # refuses them for want of room.
    def test_refusing_worker_gets_no_starts_for_a_while(self) -> None:
        self.shrink_unseen(W0)
        self.shrink_unseen(W1)
        self.fleet.submit("a", StepSpec(1, task_resources(cores=4)))
        self.fleet.run_for(2.0)
        for worker in WORKERS:
            assert 1 <= self.starts_on(worker) <= 1 + 2.0 / NO_ROOM_PAUSE_S

    def test_refused_task_starts_elsewhere_at_once(self) -> None:
        self.fill(1, cores=1.0)
        ((_, _, packed),) = self.fleet.starts
        self.shrink_unseen(packed, cores=1)
        self.fleet.submit("a", StepSpec(1, task_resources(cores=4)))
        self.fleet.run_for(0.2)
        assert [worker for _, _, worker in self.fleet.starts[1:]] == [
            packed,
            *(worker for worker in WORKERS if worker != packed),
        ]

    @pytest.mark.parametrize("is_seen_growing", [False, True])
    def test_worker_with_room_again_is_used_again(self, is_seen_growing: bool) -> None:
        self.fleet.resize_worker(W1, 0)
        self.shrink_unseen(W0)
        job = self.fleet.submit("a", StepSpec(1, task_resources(cores=4)))
        self.fleet.run_for(0.1)
        assert self.starts_on(W0) == 1
        if is_seen_growing:
            self.fleet.resize_worker(W0, 40)
            self.fleet.run_for(0.2)
        else:
            self.fleet.engines[W0].resize(HOST)
            self.fleet.run_for(NO_ROOM_PAUSE_S + 0.2)
        assert self.fleet.running(job)

    def test_refusals_are_no_failures_of_the_worker(self) -> None:
        self.shrink_unseen(W0)
        self.shrink_unseen(W1)
        job = self.fleet.submit("a", StepSpec(1, task_resources(cores=4)))
        self.fleet.run_for(10.0)
        self.fleet.resize_worker(W0, 40)
        self.fleet.run_for(0.2)
        assert self.fleet.running(job)
