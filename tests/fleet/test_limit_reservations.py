"""Tests of what a step that waits for its team's limit holds back, and for how long."""

import random
from collections.abc import Callable

import pytest

from fleet_support import (
    SLOW,
    STEP_S,
    TEAM,
    URGENT,
    Fleet,
    make_configuration,
    queue,
    task_resources,
)
from gooseberrydeck_coordination.ids import JobId, QueueName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.configuration import FleetConfiguration
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_standins.fleet_worker import RunPlan

MIDDLE = QueueName("middle")
HOUR_S = 3_600.0
LONGEST_IDLE_S = 3.0
"""How long an accepted job may be without a run while its team uses less than half."""


def configuration(cores: int, version: int = 1) -> FleetConfiguration:
    """Return a configuration with a limit of the team, and three queues."""
    queues = (queue(URGENT, 0), queue(MIDDLE, 1), queue(SLOW, 2))
    limit = Resources(cores * 1_000, 0, 0)
    return make_configuration(*queues, maximum=limit, version=version)


def ending_after(seconds: list[float]) -> Callable[[StartRequest], RunPlan]:
    """Return a plan by which the tasks of a job take different times."""
    return lambda request: RunPlan(
        seconds[request.task.number], task_resources(1.0), is_standing=False
    )


class LimitFixture:
    def make_fleet(self, cores: int, workers: int = 8) -> Fleet:
        fleet = Fleet(workers=workers)
        fleet.configuration = configuration(cores)
        fleet.scheduler.set_configuration(fleet.configuration)
        return fleet

    def set_limit(self, fleet: Fleet, cores: int) -> None:
        fleet.configuration = configuration(cores, fleet.configuration.version + 1)
        fleet.scheduler.set_configuration(fleet.configuration)

    def submit_gang(
        self, fleet: Fleet, name: str, count: int, cores: float, **options: object
    ) -> JobId:
        spec = StepSpec(count, task_resources(cores), is_gang=True, estimate_s=1.0)
        options.setdefault("queue_name", URGENT)
        return fleet.submit(name, spec, **options)  # type: ignore[arg-type]

    def stream(
        self, fleet: Fleet, seconds: float, estimate_s: float = 0.0, every_s: float = 1
    ) -> list[tuple[float, JobId]]:
        """Submit small jobs of the least urgent queue for 10 s, one each second."""
        jobs = []
        for number in range(round(10 / every_s)):
            step = StepSpec(2, task_resources(1.0), estimate_s=estimate_s)
            name = f"small{number}"
            jobs.append((fleet.now_s, fleet.submit(name, step, seconds=seconds)))
            fleet.run_for(every_s)
        return jobs

    def first_starts(self, fleet: Fleet) -> dict[JobId, float]:
        """Return when the first task of each job started, by the fleet's clock."""
        starts: dict[JobId, float] = {}
        for at_s, task, _ in fleet.starts:
            starts.setdefault(task.job, at_s)
        return starts

    def check_none_idle(self, fleet: Fleet, jobs: list[tuple[float, JobId]]) -> None:
        starts = self.first_starts(fleet)
        late = {
            job: starts.get(job)
            for submitted_s, job in jobs
            if starts.get(job, HOUR_S) - submitted_s > LONGEST_IDLE_S
        }
        assert not late


class TestRunsThatDoNotEndSoon(LimitFixture):
    """A team below half of its limit, with a step that doesn't fit beside its runs."""

    # Guards against a team whose jobs never start since a gang waits for tasks that
    # last.
    @pytest.mark.parametrize("is_gang", [True, False])
    @pytest.mark.parametrize("was_lowered", [True, False])
    def test_tasks_that_last(self, is_gang: bool, was_lowered: bool) -> None:
        fleet = self.make_fleet(120 if was_lowered else 60)
        standing = StepSpec(4, task_resources(5.0), is_standing=True)
        fleet.submit("lasting", standing, queue_name=URGENT, seconds=HOUR_S)
        fleet.run_for(1.0)
        self.set_limit(fleet, 60)
        if is_gang:
            self.submit_gang(fleet, "gang", 5, 10.0)
        else:
            fleet.add_worker("large", capacity=task_resources(64.0))
            fleet.submit("wide", StepSpec(1, task_resources(50.0)), queue_name=URGENT)
        fleet.run_for(2.0)
        jobs = self.stream(fleet, seconds=0.5)
        self.check_none_idle(fleet, jobs)

    # What unknown runs may use is free once their worker has reported, at any time.
    def test_unknown_runs_after_a_takeover(self) -> None:
        fleet = self.make_fleet(60)
        step = StepSpec(4, task_resources(5.0), estimate_s=60.0)
        fleet.submit("long", step, seconds=60.0)
        fleet.run_for(0.5)
        fleet.unreachable = {worker for _, _, worker in fleet.starts}
        fleet.take_over()
        self.submit_gang(fleet, "gang", 5, 10.0)
        jobs = self.stream(fleet, seconds=0.5)
        self.check_none_idle(fleet, jobs)

    @pytest.mark.parametrize("estimate_s", [60.0, 1.0, 0.0])
    def test_runs_that_end_late_whatever_was_estimated(self, estimate_s: float) -> None:
        fleet = self.make_fleet(60)
        step = StepSpec(4, task_resources(5.0), estimate_s=estimate_s)
        fleet.submit("long", step, seconds=60.0)
        fleet.run_for(0.2)
        self.submit_gang(fleet, "gang", 5, 10.0)
        jobs = self.stream(fleet, seconds=8.0, estimate_s=1.0)
        fleet.run_for(LONGEST_IDLE_S)
        self.check_none_idle(fleet, jobs)

    # Each wait by itself is short; together they would keep a job from starting.
    def test_steps_that_wait_one_after_another(self) -> None:
        fleet = self.make_fleet(60)
        ends_s = [2.0 * number for number in range(1, 11)]
        step = StepSpec(10, task_resources(2.0))
        fleet.submit("long", step, plan=ending_after(ends_s))
        fleet.run_for(0.2)
        jobs = []
        for number in range(10):
            gang = self.submit_gang(fleet, f"gang{number}", 5, 11.0)
            last = StepSpec(1, task_resources(1.0), is_standing=True)
            name = f"small{number}"
            jobs.append((fleet.now_s, fleet.submit(name, last, seconds=HOUR_S)))
            fleet.run_for(1.5)
            ledger = fleet.scheduler.ledger
            if gang in ledger.jobs and not fleet.running(gang):
                fleet.scheduler.ends.finish(ledger.jobs[gang], JobState.CANCELLED)
        self.check_none_idle(fleet, jobs)

    def test_step_that_lacks_workers_as_well(self) -> None:
        fleet = self.make_fleet(40)
        fleet.add_worker("special", labels=frozenset({"special"}))
        other = StepSpec(1, task_resources(30.0), required_label="special")
        fleet.submit("busy", other, seconds=HOUR_S)
        fleet.run_for(0.2)
        self.set_limit(fleet, 80)
        fleet.submit("running", StepSpec(10, task_resources(4.0)), seconds=6.0)
        fleet.run_for(0.2)
        wide = StepSpec(1, task_resources(31.0), required_label="special")
        fleet.submit("wide", wide, queue_name=MIDDLE)
        small = fleet.submit("small", StepSpec(1, task_resources(4.0)), seconds=HOUR_S)
        fleet.run_for(0.5)
        assert fleet.running(small)


class TestRunsThatEndSoon(LimitFixture):
    """A stream of small jobs must not take each core that a gang waits for."""

    @pytest.mark.parametrize("estimate_s", [4.0, 0.0])
    @pytest.mark.parametrize("is_gang", [True, False])
    def test_step_starts_before_the_stream(
        self, is_gang: bool, estimate_s: float
    ) -> None:
        fleet = self.make_fleet(40)
        begun_s = fleet.now_s
        step = StepSpec(6, task_resources(6.0), estimate_s=estimate_s)
        fleet.submit("running", step, seconds=4.0)
        fleet.run_for(1.0)
        if is_gang:
            waits = self.submit_gang(fleet, "gang", 6, 6.0)
        else:
            wide = StepSpec(1, task_resources(32.0))
            waits = fleet.submit("wide", wide, queue_name=URGENT)
        self.stream(fleet, seconds=4.0, estimate_s=4.0, every_s=0.1)
        assert self.first_starts(fleet)[waits] < begun_s + 5.0

    # The runs end one after another, and the team is below half of its limit at last.
    def test_runs_that_end_in_turn(self) -> None:
        fleet = self.make_fleet(40)
        begun_s = fleet.now_s
        ends_s = [1.5, 2.0, 2.5, 3.0, 3.5, 4.0]
        step = StepSpec(6, task_resources(6.0), estimate_s=3.0)
        fleet.submit("running", step, plan=ending_after(ends_s))
        fleet.run_for(1.0)
        gang = self.submit_gang(fleet, "gang", 5, 6.0)
        self.stream(fleet, seconds=4.0, estimate_s=4.0, every_s=0.1)
        assert self.first_starts(fleet)[gang] < begun_s + 5.0

    def test_short_and_small_steps_start_meanwhile(self) -> None:
        fleet = self.make_fleet(40)
        begun_s = fleet.now_s
        step = StepSpec(6, task_resources(6.0), estimate_s=4.0)
        fleet.submit("running", step, seconds=4.0)
        fleet.run_for(0.2)
        gang = self.submit_gang(fleet, "gang", 6, 6.0)
        ends_before = StepSpec(2, task_resources(1.0), estimate_s=1.0)
        short = fleet.submit("short", ends_before, seconds=1.0)
        fits_beside = StepSpec(3, task_resources(1.0), is_standing=True)
        beside = fleet.submit("beside", fits_beside, seconds=HOUR_S)
        fleet.run_for(0.2)
        assert fleet.running(short)
        assert fleet.running(beside)
        fleet.run_for(4.0)
        assert self.first_starts(fleet)[gang] < begun_s + 5.0

    def test_less_urgent_step_that_can_start_has_the_reservation(self) -> None:
        fleet = self.make_fleet(60)
        begun_s = fleet.now_s
        standing = StepSpec(2, task_resources(10.0), is_standing=True)
        fleet.submit("lasting", standing, seconds=HOUR_S)
        step = StepSpec(4, task_resources(9.0), estimate_s=4.0)
        fleet.submit("running", step, seconds=4.0)
        fleet.run_for(0.2)
        never = self.submit_gang(fleet, "never", 5, 10.0)
        gang = self.submit_gang(fleet, "gang", 4, 10.0, queue_name=MIDDLE)
        self.stream(fleet, seconds=4.0, estimate_s=4.0, every_s=0.1)
        starts = self.first_starts(fleet)
        assert starts[gang] < begun_s + 5.0
        assert never not in starts


class TestEndOfTheWait(LimitFixture):
    """The gang goes first when what it waits for ends."""

    def setup_method(self) -> None:
        self.fleet = self.make_fleet(60)
        standing = StepSpec(4, task_resources(5.0), is_standing=True)
        self.lasting = self.fleet.submit(
            "lasting", standing, queue_name=URGENT, seconds=HOUR_S
        )
        self.fleet.run_for(0.2)
        self.gang = self.submit_gang(self.fleet, "gang", 5, 10.0)
        self.fleet.run_for(4.0)
        # They wait for the limit too, as 5 of 40 cores are left to them.
        small = StepSpec(40, task_resources(1.0), estimate_s=1.0)
        self.fleet.submit("small", small, seconds=1.0)
        self.fleet.run_for(0.5)

    def check_gang_starts_soon(self) -> None:
        small = StepSpec(60, task_resources(1.0), estimate_s=1.0)
        self.fleet.submit("later", small, seconds=1.0)
        self.fleet.run_for(2.5)
        starts = self.first_starts(self.fleet)
        assert self.gang in starts
        assert starts[self.gang] <= starts.get(JobId("later"), HOUR_S)

    def test_cancelled_job(self) -> None:
        ledger = self.fleet.scheduler.ledger
        self.fleet.scheduler.ends.finish(ledger.jobs[self.lasting], JobState.CANCELLED)
        self.check_gang_starts_soon()

    def test_raised_limit(self) -> None:
        self.fleet.run_for(1.0)
        self.set_limit(self.fleet, 80)
        self.check_gang_starts_soon()


class TestReservedWorkers:
    """Room on a worker that is made for an urgent step."""

    # The reservation must end by itself if its step can't use it.
    def test_room_is_free_again_after_a_while(self) -> None:
        fleet = Fleet(workers=1)
        # Otherwise the second job would be beyond its team's share.
        fleet.configuration = make_configuration(shares={TEAM: 0.0})
        fleet.scheduler.set_configuration(fleet.configuration)
        whole = task_resources(32.0)
        saves = StepSpec(1, whole, saves_progress=True)
        fleet.submit("first", saves, seconds=HOUR_S)
        fleet.run_for(0.2)
        urgent = fleet.submit("urgent", StepSpec(1, whole), queue_name=URGENT)
        fleet.run_for(STEP_S)
        assert fleet.scheduler.placer.reservations
        fleet.scheduler.ends.finish(
            fleet.scheduler.ledger.jobs[urgent], JobState.CANCELLED
        )
        fleet.run_for(LONGEST_IDLE_S)
        assert fleet.running(JobId("first"))


class TestDrawnTeams(LimitFixture):
    """Jobs of all kinds, with estimates that may be wrong."""

    def play(self, seed: int) -> None:
        draw = random.Random(seed)
        limit = draw.choice([40, 60])
        fleet = self.make_fleet(limit)
        idle_s: dict[JobId, float] = {}
        for number in range(60):
            self.submit_drawn(fleet, draw, number)
            if draw.random() < 0.1:
                self.cancel_one(fleet, draw)
            for _ in range(draw.randint(2, 16)):
                fleet.run_for(STEP_S)
                self.watch(fleet, limit, idle_s)

    def submit_drawn(self, fleet: Fleet, draw: random.Random, number: int) -> None:
        seconds = draw.choice([0.5, 1.0, 4.0, 20.0, 200.0])
        estimate_s = draw.choice([0.0, 0.3, 1.0, 1.0, 3.0]) * seconds
        is_standing = draw.random() < 0.15
        is_gang = not is_standing and draw.random() < 0.3
        if is_gang or draw.random() < 0.2:
            count, cores = draw.randint(1, 5), draw.choice([4.0, 8.0, 10.0])
        else:
            count, cores = draw.randint(1, 4), draw.choice([0.5, 1.0, 2.0])
        step = StepSpec(
            count,
            task_resources(cores),
            estimate_s=0.0 if is_standing else estimate_s,
            is_standing=is_standing,
            is_gang=is_gang,
        )
        queue_name = draw.choice([URGENT, MIDDLE, SLOW, SLOW])
        seconds = HOUR_S if is_standing else seconds
        fleet.submit(f"j{number:03}", step, queue_name=queue_name, seconds=seconds)

    def cancel_one(self, fleet: Fleet, draw: random.Random) -> None:
        jobs = list(fleet.scheduler.ledger.jobs.values())
        if jobs:
            fleet.scheduler.ends.finish(draw.choice(jobs), JobState.CANCELLED)

    def watch(self, fleet: Fleet, limit: int, idle_s: dict[JobId, float]) -> None:
        """Check how long jobs are without a run that their team's limit admits."""
        ledger = fleet.scheduler.ledger
        quotas = ledger.quotas
        used = sum(run.quota_usage.cpu_millis for run in self.runs(fleet))
        for job in ledger.jobs.values():
            (step,) = job.steps.values()
            wanted = step.spec.count if step.spec.is_gang else 1
            is_idle = not job.runs and not job.state.is_final
            admitted = quotas.count_allowed(
                job.record.team, step.spec.resources, wanted
            )
            if is_idle and admitted == wanted and 2 * used < limit * 1_000:
                since_s = idle_s.setdefault(job.id, fleet.now_s)
                assert fleet.now_s - since_s <= LONGEST_IDLE_S, job.id
            else:
                idle_s.pop(job.id, None)

    def runs(self, fleet: Fleet) -> list[object]:
        return [
            run for runs in fleet.scheduler.ledger.team_runs.values() for run in runs
        ]

    @pytest.mark.parametrize("first_seed", range(0, 40, 10))
    def test_no_job_is_held_back_for_long(self, first_seed: int) -> None:
        for seed in range(first_seed, first_seed + 10):
            self.play(seed)
