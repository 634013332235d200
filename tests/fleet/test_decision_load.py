"""Tests of the work of a scheduling pass while many jobs wait for a full fleet.

The pattern: a burst fills the fleet, hundreds of jobs wait, and runs end one by one. If
a pass tried every waiting task on every worker, its duration would grow with the
backlog, and a holder that falls behind would never catch up.
"""

import random

import pytest

from fleet_support import (
    SLOW,
    URGENT,
    Fleet,
    make_configuration,
    queue,
    task_resources,
)
from gooseberrydeck_coordination.ids import JobId, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.configuration import AdvicePolicy
from gooseberrydeck_fleet.ids import StepRef
from gooseberrydeck_fleet.serving import MAX_CHECKS
from gooseberrydeck_fleet.state import Job, Step
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import EndKind

WORKERS = 20
HALF = task_resources(cores=16.0)
WHOLE = task_resources(cores=32.0)
HOUR_S = 3_600.0


class FullFleetFixture:
    """Workers that are full for an hour, and many batch jobs that wait."""

    waiting_jobs = 200

    def setup_method(self) -> None:
        self.fleet = Fleet(workers=WORKERS)
        self.fleet.submit("full", StepSpec(2 * WORKERS, HALF), seconds=HOUR_S)
        self.fleet.run_for(0.2)
        for number in range(self.waiting_jobs):
            self.fleet.submit(f"waits{number:03}", StepSpec(16, HALF), seconds=HOUR_S)
        self.fleet.run_for(3.0)

    def checked(self) -> int:
        """Return how many workers the last pass considered."""
        return self.fleet.scheduler.placer.checked

    def decide(self) -> int:
        """Run one pass and return the number of commands."""
        clock = self.fleet.clock
        clock.advance(0.01)
        return len(self.fleet.scheduler.decide(clock.now_s, clock.wall()))

    def end_run(self, worker_number: int) -> None:
        """End one run on a worker and report it."""
        worker, engine = list(self.fleet.engines.items())[worker_number]
        engine.end(next(iter(engine.runs.values())), EndKind.SUCCEEDED)
        self.fleet.poll(worker)


class TestBacklog(FullFleetFixture):
    def test_pass_without_changes_checks_no_worker(self) -> None:
        self.fleet.scheduler.next_housekeeping_s = HOUR_S
        assert self.decide() == 0
        assert self.checked() == 0

    def test_ended_run_costs_no_more_than_the_steps_that_fit(self) -> None:
        self.fleet.scheduler.next_housekeeping_s = HOUR_S
        self.end_run(0)
        assert self.decide() == 1
        assert self.checked() <= 4 * WORKERS

    def test_freed_capacity_goes_to_the_first_step_in_order(self) -> None:
        self.fleet.starts.clear()
        self.end_run(3)
        self.fleet.step()
        assert [task.job for _, task, _ in self.fleet.starts] == [JobId("waits000")]

    def test_urgent_job_starts_before_the_backlog(self) -> None:
        self.fleet.submit("urgent", StepSpec(1, HALF), queue_name=URGENT)
        self.fleet.starts.clear()
        self.end_run(3)
        self.fleet.step()
        assert [task.job for _, task, _ in self.fleet.starts] == [JobId("urgent")]

    def test_every_step_is_reviewed_in_turn(self) -> None:
        waiting = self.fleet.scheduler.server.waiting
        passes = {ref: step.tried_in_pass for ref, step in waiting.steps.items()}
        self.fleet.run_for(3.0)
        assert all(
            step.tried_in_pass > passes[ref] for ref, step in waiting.steps.items()
        )


class TestPassLimit(FullFleetFixture):
    """Workers that all become free at once, while hundreds of steps can't use them."""

    def test_pass_ends_early_and_goes_on_with_the_rest(self) -> None:
        server = self.fleet.scheduler.server
        self.fleet.scheduler.ledger.touch_all()
        passes = 0
        while server.has_backlog or passes == 0:
            self.decide()
            passes += 1
            # One more step may be tried after the check.
            assert self.checked() <= MAX_CHECKS + 4 * WORKERS
            assert passes < 50
        assert passes > 1

    def test_urgent_step_is_tried_first_although_a_pass_ended_early(self) -> None:
        self.fleet.scheduler.ledger.touch_all()
        self.decide()
        assert self.fleet.scheduler.has_backlog
        self.fleet.submit("urgent", StepSpec(1, HALF), queue_name=URGENT)
        self.end_run(5)
        self.fleet.starts.clear()
        self.fleet.step()
        assert self.fleet.starts[0][1].job == JobId("urgent")


class TestTeamLimit:
    """A team at its limit, whose waiting steps must not be tried at each end."""

    def setup_method(self) -> None:
        self.fleet = Fleet(workers=4)
        self.other = TeamName("others")
        self.fleet.configuration = make_configuration(
            maximum=Resources(32_000, 0, 0),
            shares={TeamName("editors"): 0.0, self.other: 0.0},
        )
        self.fleet.scheduler.set_configuration(self.fleet.configuration)

    def test_less_urgent_step_waits_for_the_urgent_one_of_its_team(self) -> None:
        self.fleet.submit("running", StepSpec(2, HALF), seconds=1.0)
        self.fleet.run_for(0.2)
        self.fleet.submit("urgent", StepSpec(1, WHOLE), queue_name=URGENT)
        self.fleet.submit("small", StepSpec(1, task_resources()), queue_name=SLOW)
        self.fleet.run_for(0.5)
        assert not self.fleet.running(JobId("small"))
        self.fleet.run_for(3.0)
        assert [task.job for _, task, _ in self.fleet.starts[2:]] == [
            JobId("urgent"),
            JobId("small"),
        ]

    def test_cancelled_urgent_step_lets_the_others_go(self) -> None:
        self.fleet.submit("running", StepSpec(1, HALF), seconds=HOUR_S)
        self.fleet.run_for(0.2)
        urgent = self.fleet.submit("urgent", StepSpec(1, WHOLE), queue_name=URGENT)
        small = self.fleet.submit("small", StepSpec(1, HALF))
        self.fleet.run_for(0.5)
        assert not self.fleet.running(small)
        scheduler = self.fleet.scheduler
        scheduler.ends.finish(scheduler.ledger.jobs[urgent], JobState.CANCELLED)
        self.fleet.run_for(0.2)
        assert self.fleet.running(small)

    def test_urgent_step_that_lacks_workers_does_not_hold_up_its_team(self) -> None:
        # It may start two more tasks by the limit, but only one worker has its label.
        self.fleet.add_worker("special", labels=frozenset({"special"}))
        wide = StepSpec(4, HALF, required_label="special")
        self.fleet.submit("wide", wide, queue_name=URGENT, seconds=HOUR_S)
        raised = make_configuration(maximum=Resources(96_000, 0, 0), version=2)
        self.fleet.scheduler.set_configuration(raised)
        self.fleet.submit("wider", wide, queue_name=URGENT, seconds=HOUR_S)
        self.fleet.submit(
            "widest",
            StepSpec(8, HALF, required_label="special"),
            queue_name=URGENT,
        )
        small = self.fleet.submit("small", StepSpec(1, HALF))
        self.fleet.run_for(0.5)
        assert self.fleet.running(small)

    @pytest.mark.parametrize("is_gang", [True, False])
    def test_step_beyond_the_whole_limit_does_not_hold_up_its_team(
        self, is_gang: bool
    ) -> None:
        count, need = (3, HALF) if is_gang else (1, task_resources(cores=33.0))
        self.fleet.add_worker("large", capacity=task_resources(cores=64.0))
        step = StepSpec(count, need, is_gang=is_gang)
        never = self.fleet.submit("never", step, queue_name=URGENT)
        small = self.fleet.submit("small", StepSpec(1, HALF))
        self.fleet.run_for(0.5)
        assert self.fleet.running(small)
        assert not self.fleet.running(never)

    def test_raised_limit_takes_effect_at_once(self) -> None:
        self.fleet.submit("running", StepSpec(2, HALF), seconds=HOUR_S)
        self.fleet.run_for(0.2)
        waits = self.fleet.submit("waits", StepSpec(1, HALF), seconds=HOUR_S)
        self.fleet.run_for(0.5)
        assert not self.fleet.running(waits)
        configuration = make_configuration(maximum=Resources(64_000, 0, 0), version=2)
        self.fleet.scheduler.set_configuration(configuration)
        self.fleet.step()
        assert self.fleet.running(waits)


class CountingSteps(dict[StepRef, Step]):
    """The steps of a job, counting how often one is looked up."""

    lookups = 0

    def __getitem__(self, ref: StepRef) -> Step:
        self.lookups += 1
        return super().__getitem__(ref)


class TestLargeJob:
    """A job with many ready steps, and many that wait for many of them."""

    ready, joining, dependencies = 60, 50, 40

    def setup_method(self) -> None:
        self.fleet = Fleet(workers=1, capacity=Resources(8_000, 65_536, 0))
        one = task_resources()
        first = [StepSpec(1, one, estimate_s=1.0)] * self.ready
        after = tuple(range(self.dependencies))
        last = [StepSpec(1, one, estimate_s=1.0, after=after)] * self.joining
        self.job = self.fleet.submit("large", *first, *last, seconds=1.0)

    # Guards against work for each start and end that grows with the product of a job's
    # steps and their dependencies, in the thread that also renews the leases.
    def test_critical_paths_are_found_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        found = []
        find = Job.find_critical_paths

        def count(job: Job, seconds: list[float]) -> list[float]:
            found.append(job.id)
            return find(job, seconds)

        monkeypatch.setattr(Job, "find_critical_paths", count)
        self.fleet.run_for(20.0)
        assert self.fleet.state(self.job) is JobState.COMPLETED
        assert len(found) <= 1

    def test_met_dependencies_are_not_looked_up_again(self) -> None:
        job = self.fleet.scheduler.ledger.jobs[self.job]
        job.steps = steps = CountingSteps(job.steps)
        self.fleet.run_for(20.0)
        assert self.fleet.state(self.job) is JobState.COMPLETED
        # Each dependency once, and an open one for each step whenever a run ends.
        ends = self.ready + self.joining
        assert steps.lookups <= self.joining * (self.dependencies + ends)

    @pytest.mark.parametrize("seed", range(20))
    def test_critical_path_is_the_longest_chain(self, seed: int) -> None:
        draw = random.Random(seed)
        specs = []
        for number in range(12):
            earlier = draw.sample(range(number), draw.randint(0, min(3, number)))
            specs.append(
                StepSpec(1, task_resources(), draw.uniform(0.1, 9.0), tuple(earlier))
            )
        job_id = self.fleet.submit("drawn", *specs)
        job = self.fleet.scheduler.ledger.jobs[job_id]

        def longest_s(number: int) -> float:
            following = [
                longest_s(later) for later in range(12) if number in specs[later].after
            ]
            return specs[number].estimate_s + max(following, default=0.0)

        for step in job.steps.values():
            expected_s = longest_s(step.ref.step)
            assert job.critical_path_s(step) == pytest.approx(expected_s)


class TestAdviceBacklog:
    """More steps that need advice than requests that may be in flight."""

    @pytest.mark.parametrize("jobs", [5, 60])
    def test_every_step_gets_advice_and_starts(self, jobs: int) -> None:
        fleet = Fleet(workers=4)
        policy = AdvicePolicy(decide_s=0.05, per_worker_s=0.01, valid_s=2.5)
        fleet.configuration = make_configuration(queue(SLOW, 2, policy))
        fleet.scheduler.set_configuration(fleet.configuration)
        fleet.scheduler.set_max_advice_requests(1)
        names = [
            fleet.submit(f"j{number}", StepSpec(1, HALF), seconds=0.1)
            for number in range(jobs)
        ]
        fleet.run_for(0.3 * jobs + 2.0)
        assert all(fleet.state(name) is JobState.COMPLETED for name in names)

    def test_steps_that_have_ended_are_not_remembered(self) -> None:
        fleet = Fleet(workers=1)
        policy = AdvicePolicy(decide_s=0.05, per_worker_s=0.01, valid_s=2.5)
        fleet.configuration = make_configuration(queue(SLOW, 2, policy))
        fleet.scheduler.set_configuration(fleet.configuration)
        fleet.scheduler.set_max_advice_requests(1)
        fleet.scheduler.advice_requests.in_flight[StepRef(JobId("x"), 0, 0)] = False
        job = fleet.submit("waits", StepSpec(1, HALF))
        fleet.run_for(0.2)
        server = fleet.scheduler.server
        assert len(server.advice_turns) == 1
        fleet.scheduler.ends.finish(
            fleet.scheduler.ledger.jobs[job], JobState.CANCELLED
        )
        fleet.run_for(0.2)
        assert len(server.advice_turns) == 0
        assert not server.waiting.due
