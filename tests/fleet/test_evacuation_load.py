"""Tests of decisions while a third of the room is gone beside a burst of urgent work.

The load: three data centres are full of batch work, one is evacuated for 9 s, and ten
urgent jobs arrive at once, within their team's share and beyond it. The tests say who
waits, which runs are preempted, and in which order they return.
"""

from collections import Counter

from fleet_support import (
    SLOW,
    TEAM,
    URGENT,
    Fleet,
    make_configuration,
    queue,
    task_resources,
)
from gooseberrydeck_coordination.ids import DataCentre, JobId, TeamName
from gooseberrydeck_fleet.work import JobState, StepSpec

CENTRES = "east", "north", "west"
WORKERS = 3
"""In each data centre, of 32 cores."""

EVACUATED_S = 9.0
BATCH_S = 6.0
URGENT_S = 0.8
HALF = task_resources(16.0)
PART = task_resources(4.0)
OTHERS = TeamName("others")
BURST = 10


class LoadFixture:
    def setup_method(self) -> None:
        self.fleet = Fleet(workers=0)
        self.fleet.configuration = make_configuration(
            queue(URGENT, 0),
            queue(SLOW, 2),
            shares={TEAM: 20.0, OTHERS: 1.0},
        )
        self.fleet.scheduler.set_configuration(self.fleet.configuration)
        for centre in CENTRES:
            for number in range(WORKERS):
                self.fleet.add_worker(f"{centre}{number}", data_centre=centre)
        self.fleet.run_for(0.2)
        # Six of them run at a time, which fill the fleet; the others wait.
        self.batch = [self.submit_batch(number) for number in range(12)]
        self.fleet.run_for(1.0)
        self.evacuated_s = self.fleet.now_s
        self.evacuate("east")

    def submit_batch(self, number: int) -> JobId:
        """Submit a batch job of three tasks that can be preempted."""
        step = StepSpec(3, HALF, saves_progress=True, estimate_s=BATCH_S)
        job = self.fleet.submit(f"batch{number:02}", step, seconds=BATCH_S)
        self.fleet.run_for(0.05)
        return job

    def submit_burst(self, team: TeamName = TEAM) -> list[JobId]:
        """Submit urgent jobs at once, of ten tasks each."""
        step = StepSpec(10, PART, estimate_s=URGENT_S)
        return [
            self.fleet.submit(
                f"{team}{number}", step, queue_name=URGENT, seconds=URGENT_S, team=team
            )
            for number in range(BURST)
        ]

    def evacuate(self, *names: str) -> None:
        centres = frozenset(map(DataCentre, names))
        self.fleet.scheduler.set_evacuated(centres, self.fleet.now_s)

    def starts(self, jobs: list[JobId], since_s: float) -> list[tuple[float, JobId]]:
        """Return the starts of jobs since a time, in order."""
        return [
            (at_s, task.job)
            for at_s, task, _ in self.fleet.starts
            if at_s > since_s and task.job in jobs
        ]

    def centres_used(self, since_s: float) -> set[str]:
        """Return the data centres in which something was started since a time."""
        starts = self.fleet.starts
        return {worker[:-1] for at_s, _, worker in starts if at_s > since_s}

    def running_in(self, name: str) -> int:
        """Return how many runs are active in a data centre."""
        engines = self.fleet.engines.items()
        return sum(len(each.runs) for worker, each in engines if worker[:-1] == name)

    def all_over(self, jobs: list[JobId]) -> bool:
        return all(self.fleet.state(job) is JobState.COMPLETED for job in jobs)


class TestWithinShare(LoadFixture):
    def setup_method(self) -> None:
        super().setup_method()
        self.burst_s = self.fleet.now_s
        self.urgent = self.submit_burst()

    # Guards against urgent work that waits for the evacuated third, or for batch work.
    def test_urgent_work_does_not_wait_for_batch_work(self) -> None:
        self.fleet.run_for(3.5)
        assert self.all_over(self.urgent)
        assert self.centres_used(self.evacuated_s) <= {"north", "west"}

    # Guards against work that is lost for room which can't be used.
    def test_only_runs_in_the_other_data_centres_are_preempted(self) -> None:
        in_east = self.running_in("east")
        self.fleet.run_for(2.0)
        assert {reason for _, _, reason in self.fleet.stops} == {"preempted"}
        assert in_east == self.running_in("east") == 2 * WORKERS

    # Guards against more stops than the burst needs: 100 tasks of 4 cores take the 192
    # cores twice, so each of the twelve runs that remain there is stopped once.
    def test_each_run_is_preempted_once(self) -> None:
        self.fleet.run_for(EVACUATED_S)
        stopped = {task for _, task, _ in self.fleet.stops}
        started = Counter(task for _, task, _ in self.fleet.starts)
        assert len(stopped) == 4 * WORKERS
        assert {started[task] for task in stopped} == {2}

    # Guards against newer batch jobs that overtake the preempted ones, and against
    # runs in the evacuated data centre that are followed by others.
    def test_runs_return_in_the_order_of_their_due_times(self) -> None:
        self.fleet.run_for(EVACUATED_S)
        returned = self.starts(self.batch, self.burst_s)
        order = [job for _, job in returned]
        assert order == sorted(order)
        stopped = {task.job for _, task, _ in self.fleet.stops}
        assert order[: 4 * WORKERS] == sorted(
            task.job for task in {task for _, task, _ in self.fleet.stops}
        )
        assert stopped < set(self.batch[:6])
        assert self.running_in("east") == 0
        assert self.centres_used(self.evacuated_s) == {"north", "west"}

    # Guards against a fleet that stays a third smaller, or loses work.
    def test_waiting_work_goes_on_once_the_data_centre_is_back(self) -> None:
        self.fleet.run_for(EVACUATED_S)
        waiting = [
            job for job in self.batch if self.fleet.state(job) is JobState.QUEUED
        ]
        assert waiting
        self.evacuate()
        back_s = self.fleet.now_s
        self.fleet.run_for(0.1)
        assert self.running_in("east") == 2 * WORKERS
        first = [job for _, job in self.starts(self.batch, back_s)]
        assert first == sorted(first)
        self.fleet.run_for(3 * BATCH_S)
        assert self.all_over(self.batch + self.urgent)
        assert self.fleet.violations() == []


class TestBeyondShare(LoadFixture):
    # Guards against a team that takes the remaining room by sending more than its
    # share: it preempts nothing for what is beyond it.
    def test_jobs_beyond_a_share_wait_for_batch_runs_to_end(self) -> None:
        urgent = self.submit_burst(OTHERS)
        self.fleet.run_for(1.5)
        # The first job is within the share, and got room of three batch runs.
        assert len(self.fleet.stops) == 3
        assert self.all_over(urgent[:1])
        assert self.starts(urgent[-1:], 0.0) == []
        self.fleet.run_for(BATCH_S)
        assert self.all_over(urgent)
        order = [job for _, job in self.starts(urgent, 0.0)]
        assert order == sorted(order)
        assert len(self.fleet.stops) == 3
        assert self.centres_used(self.evacuated_s) <= {"north", "west"}
        assert self.fleet.violations() == []


class TestRoom(LoadFixture):
    # Guards against more runs than the remaining workers have room for.
    def test_remaining_workers_are_filled_and_not_exceeded(self) -> None:
        self.submit_burst()
        for _ in range(20):
            self.fleet.run_for(0.25)
            for worker, engine in self.fleet.engines.items():
                used = sum(
                    self.fleet.specs[task.job].steps[task.step].resources.cpu_millis
                    for task in engine.runs
                )
                assert used <= self.fleet.capacity.cpu_millis, worker
        assert self.fleet.violations() == []
