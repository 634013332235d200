"""Tests of a small fleet to which one to three teams send many times their usual load.

The load: seeded arrivals of eight teams, some of which send 3.9 to 6.3 times their
usual load for six seconds. The same arrivals are run with and without the parts of the
policy on shares that came later than the shares themselves.
"""

import random
from itertools import chain
from typing import NamedTuple

import pytest

from fleet_support import SLOW, STEP_S, URGENT, Fleet, make_configuration
from gooseberrydeck_coordination.ids import JobId, QueueName, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.share_policy import BY_USE, SharePolicy
from gooseberrydeck_fleet.work import StepSpec

WORKERS = 6
TEAMS = [TeamName(f"team{number}") for number in range(8)]
URGENT_RATE = 4.2
BATCH_RATE = 0.35
FLEET_RATE = 7.0
"""Jobs in a second that the fleet can run: the sum of all weights."""
HOT_FROM_S, HOT_UNTIL_S = 2.0, 8.0
ARRIVALS_S = 12.0
LIMIT_S = 90.0
ALLOWANCE_S = 1.5 * 0.8 + 0.25
"""From the submission of an urgent job to the end that is still on time."""
SEEDS = range(8)
URGENT_STEP = StepSpec(4, Resources(8_000, 4_000, 0), estimate_s=0.8)
BATCH_STEP = StepSpec(
    4, Resources(16_000, 8_000, 0), estimate_s=3.2, saves_progress=True
)
PRESENT = SharePolicy(False, False, False, False)


class Arrival(NamedTuple):
    """A job that is submitted at a time since the begin."""

    at_s: float
    job: JobId
    team: TeamName
    queue: QueueName


class Outcome(NamedTuple):
    """From submission to first start of the jobs of some teams, and ends in time."""

    urgent_s: list[float]
    batch_s: list[float]
    on_time: int


def weights(is_equal: bool) -> dict[TeamName, float]:
    """Return the teams' weights; unequal ones differ by up to a factor of four."""
    parts = {
        team: 1.0 if is_equal else 1.0 + index % 4 for index, team in enumerate(TEAMS)
    }
    whole = sum(parts.values())
    return {team: FLEET_RATE * part / whole for team, part in parts.items()}


def draw_arrivals(hot: int, is_equal: bool, seed: int) -> list[Arrival]:
    """Draw the jobs of all teams; the first ``hot`` teams have a burst."""
    draw = random.Random(seed)
    shares = weights(is_equal)
    arrivals = []
    for index, team in enumerate(TEAMS):
        factor = draw.uniform(3.9, 6.3) if index < hot else 1.0
        part = shares[team] / FLEET_RATE
        for queue, rate in ((URGENT, URGENT_RATE), (SLOW, BATCH_RATE)):
            at_s = draw.expovariate(rate * part)
            while at_s < ARRIVALS_S:
                name = JobId(f"{team}-{queue}-{len(arrivals):03}")
                arrivals.append(Arrival(at_s, name, team, queue))
                is_hot = HOT_FROM_S <= at_s < HOT_UNTIL_S
                at_s += draw.expovariate(rate * part * (factor if is_hot else 1.0))
    return sorted(arrivals)


def play(
    hot: int, is_equal: bool, policy: SharePolicy, seed: int
) -> tuple[Outcome, Outcome]:
    """Run the arrivals; return the outcomes of the hot teams and of the others."""
    fleet = Fleet(workers=WORKERS, share_policy=policy)
    fleet.configuration = make_configuration(shares=weights(is_equal))
    fleet.scheduler.set_configuration(fleet.configuration)
    arrivals = draw_arrivals(hot, is_equal, seed)
    due = list(arrivals)
    submitted: dict[JobId, float] = {}
    ended: dict[JobId, float] = {}
    begin_s = fleet.now_s
    while len(ended) < len(arrivals):
        while due and begin_s + due[0].at_s <= fleet.now_s:
            _, job, team, queue = due.pop(0)
            step = URGENT_STEP if queue == URGENT else BATCH_STEP
            seconds = step.estimate_s
            fleet.submit(job, step, queue_name=queue, seconds=seconds, team=team)
            submitted[job] = fleet.now_s
        fleet.run_for(STEP_S)
        for job in fleet.ended.keys() - ended.keys():
            ended[job] = fleet.now_s
        assert fleet.now_s < begin_s + LIMIT_S
    assert fleet.violations() == []
    first: dict[JobId, float] = {}
    for at_s, task, _ in fleet.starts:
        first.setdefault(task.job, at_s)
    waits = {job: first[job] - at_s for job, at_s in submitted.items()}
    outcomes = []
    for teams in (TEAMS[:hot], TEAMS[hot:]):
        jobs = [each for each in arrivals if each.team in teams]
        urgent = [each.job for each in jobs if each.queue == URGENT]
        outcomes.append(
            Outcome(
                [waits[job] for job in urgent],
                [waits[each.job] for each in jobs if each.queue == SLOW],
                sum(ended[job] - submitted[job] <= ALLOWANCE_S for job in urgent),
            )
        )
    return outcomes[0], outcomes[1]


def play_all(hot: int, is_equal: bool, policy: SharePolicy) -> tuple[Outcome, Outcome]:
    """Return the outcomes of all seeds together."""
    plays = [play(hot, is_equal, policy, seed) for seed in SEEDS]
    return add_up([each for each, _ in plays]), add_up([each for _, each in plays])


def add_up(outcomes: list[Outcome]) -> Outcome:
    """Return several outcomes as one."""
    return Outcome(
        list(chain.from_iterable(each.urgent_s for each in outcomes)),
        list(chain.from_iterable(each.batch_s for each in outcomes)),
        sum(each.on_time for each in outcomes),
    )


@pytest.mark.parametrize("is_equal", [True, False])
@pytest.mark.parametrize("hot", [1, 2, 3])
class TestHotTeams:
    """Guards against hot teams that harm the jobs of teams with their usual load."""

    def test_others_start_no_later_than_in_the_present_order(
        self, hot: int, is_equal: bool
    ) -> None:
        _, before = play_all(hot, is_equal, PRESENT)
        _, after = play_all(hot, is_equal, BY_USE)
        assert after.on_time >= before.on_time
        assert sum(after.urgent_s) <= sum(before.urgent_s)
        assert max(after.urgent_s) <= max(before.urgent_s)
