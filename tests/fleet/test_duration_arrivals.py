"""A model of arrivals that shows what learned durations do for callers.

Four teams send jobs of one or two steps to six workers of two speeds, in waves with
bursts of twice the load, so that not all jobs can be on time.
"""

import math
import random

from fleet_support import STEP_S, URGENT, Fleet, make_configuration, task_resources
from gooseberrydeck_coordination.ids import JobId, TeamName
from gooseberrydeck_fleet.settings import DurationUses
from gooseberrydeck_fleet.work import StepSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_standins.fleet_worker import RunPlan

DURATIONS_S = {TeamName(f"t{number}"): 1.2 * (number + 1) for number in range(4)}
JOBS_PER_S = 1.6
BURST = 2.0
WAVE_S = 10
ARRIVALS_S = 90.0
DRAIN_S = 20.0
NEED = task_resources(cores=8.0)
SPEED_FACTORS = (0.83, 1.2)
TAIL_SHARE = 0.01
TAIL_FACTOR = 7.0
STRETCH, SLACK_S = 1.5, 0.25
SEEDS = (1, 2, 3)


class Arrivals:
    """One course of arrivals; ``error`` is the largest error of the estimates."""

    def __init__(self, uses: DurationUses, error: float, seed: int) -> None:
        self.fleet = Fleet(workers=6, uses=uses)
        shares = dict.fromkeys(DURATIONS_S, 0.0)
        configuration = make_configuration(shares=shares)
        self.fleet.scheduler.set_configuration(configuration)
        self.error = error
        self.seed = seed
        self.random = random.Random(seed)
        self.accepted: dict[JobId, tuple[float, float]] = {}

    def submit(self) -> None:
        team = self.random.choice(list(DURATIONS_S))
        steps: list[StepSpec] = []
        seconds: list[float] = []
        for number in range(self.random.choice((1, 1, 2))):
            seconds.append(DURATIONS_S[team] * math.exp(self.random.gauss(0, 0.2)))
            error = self.random.uniform(-self.error, self.error)
            after = (number - 1,) if number else ()
            estimate_s = seconds[-1] * (1 + error)
            steps.append(StepSpec(4, NEED, estimate_s=estimate_s, after=after))

        def plan(request: StartRequest) -> RunPlan:
            task = request.task
            # The same course whatever worker or order the scheduler chooses.
            course = random.Random(f"{self.seed} {task}")
            factor = math.exp(course.gauss(0, 0.1))
            factor *= TAIL_FACTOR if course.random() < TAIL_SHARE else 1
            factor *= SPEED_FACTORS[int(self.fleet.starts[-1][2][1:]) % 2]
            return RunPlan(seconds[task.step] * factor, NEED)

        name = f"{len(self.accepted):04}"
        wall_s = self.fleet.clock.wall()
        job = self.fleet.submit(name, *steps, queue_name=URGENT, plan=plan, team=team)
        self.accepted[job] = wall_s, sum(seconds)

    def run(self) -> float:
        """Return the share of the jobs that ended on time, by their actual work."""
        begins_s = self.fleet.now_s
        at_s = 0.0
        while at_s < ARRIVALS_S:
            burst = BURST if int(at_s / WAVE_S) % 4 == 3 else 1.0
            at_s += self.random.expovariate(JOBS_PER_S * burst)
            pause_s = at_s - (self.fleet.now_s - begins_s)
            self.fleet.run_for(max(0.0, round(pause_s / STEP_S) * STEP_S))
            self.submit()
        self.fleet.run_for(DRAIN_S)
        assert not self.fleet.violations()
        ends = self.fleet.completed_s
        on_time = sum(
            job in ends and ends[job] - accepted_s <= STRETCH * work_s + SLACK_S
            for job, (accepted_s, work_s) in self.accepted.items()
        )
        return on_time / len(self.accepted)


def mean_on_time(uses: DurationUses, error: float) -> float:
    return sum(Arrivals(uses, error, seed).run() for seed in SEEDS) / len(SEEDS)


class TestArrivals:
    # Guards against learned durations that predict well and serve callers no better.
    def test_more_jobs_end_on_time_when_estimates_are_bad(self) -> None:
        with_estimates = mean_on_time(DurationUses(), 0.9)
        assert mean_on_time(DurationUses.all(), 0.9) > with_estimates + 0.02

    # Guards against learned durations that displace estimates as good as they are.
    def test_nothing_gets_worse_when_estimates_are_good(self) -> None:
        with_estimates = mean_on_time(DurationUses(), 0.15)
        assert mean_on_time(DurationUses.all(), 0.15) > with_estimates - 0.02
