"""Tests of durations learned from finished runs."""

import math
import random
from collections.abc import Callable

import pytest

from gooseberrydeck_coordination.ids import QueueName, TeamName
from gooseberrydeck_fleet.duration_learner import (
    MAX_AGE_S,
    MAX_EXPECTED_STEPS,
    DurationLearner,
)
from gooseberrydeck_fleet.durations import DurationGroup
from gooseberrydeck_fleet.expectations import (
    Expectation,
    ExpectationSource,
    Refusal,
)
from gooseberrydeck_fleet.settings import DurationUses
from gooseberrydeck_fleet.team_durations import MAX_GROUPS_PER_TEAM
from gooseberrydeck_fleet.work import StepSpec

QUEUE = QueueName("urgent")
TEAM = TeamName("editors")
TASKS = 10
Draw = Callable[[random.Random, int], tuple[float, float]]
"""Returns the estimate and the typical duration of a step by its number."""


class History:
    """A learner that is fed with steps of ten tasks, one second apart."""

    def __init__(self) -> None:
        self.random = random.Random(1)
        self.learner = DurationLearner(DurationUses.all())
        self.now_s = 0.0
        self.steps = 0

    def feed(
        self, draw: Draw, steps: int, team: TeamName = TEAM, tail: float = 0.0
    ) -> None:
        """Run some steps; a share ``tail`` of the tasks takes seven times as long."""
        for _ in range(steps):
            estimate_s, typical_s = draw(self.random, self.steps)
            self.steps += 1
            spec = StepSpec(TASKS, estimate_s=estimate_s)
            expected = self.learner.expect(QUEUE, team, 0, spec)
            for _ in range(TASKS):
                seconds = typical_s * math.exp(self.random.gauss(0, 0.1))
                if self.random.random() < tail:
                    seconds *= 7
                self.learn(spec, expected, seconds, team)
            self.now_s += 1
            self.learner.refresh({}, self.now_s)

    def learn(
        self, spec: StepSpec, expected: Expectation, seconds: float, team: TeamName
    ) -> None:
        self.learner.learn(QUEUE, team, 0, spec, expected, seconds, 0.0, self.now_s)

    def expect(self, estimate_s: float, team: TeamName = TEAM) -> Expectation:
        spec = StepSpec(TASKS, estimate_s=estimate_s)
        return self.learner.expect(QUEUE, team, 0, spec)


def wrong_by(factor: float) -> Draw:
    return lambda rng, _: ((typical := rng.uniform(0.5, 2.0)) * factor, typical)


def wrong_by_up_to(error: float) -> Draw:
    return lambda rng, _: (0.8 * (1 + rng.uniform(-error, error)), 0.8)


class TestEstimates:
    # Guards against a typical duration in place of an estimate that tells the long
    # steps from the short ones, but is wrong by a constant factor in either direction.
    @pytest.mark.parametrize("factor", [0.1, 0.5, 3.0])
    def test_constant_error_is_corrected(self, factor: float) -> None:
        history = History()
        history.feed(wrong_by(factor), 40)
        expected = history.expect(2.0 * factor)
        assert expected.is_used
        assert expected.source is ExpectationSource.TEAM
        assert 1.8 < expected.typical_s < 2.2

    # Guards against following estimates that tell nothing.
    def test_random_error_is_ignored(self) -> None:
        history = History()
        history.feed(wrong_by_up_to(0.9), 60)
        for estimate_s in (0.2, 1.4):
            expected = history.expect(estimate_s)
            assert expected.is_used
            assert 0.6 < expected.typical_s < 1.1

    # Guards against replacing estimates that are as good as what is learned.
    def test_good_estimates_stay_in_use(self) -> None:
        history = History()
        history.feed(wrong_by_up_to(0.1), 60)
        assert not history.expect(0.8).is_used
        steps = [StepSpec(TASKS, estimate_s=0.7)]
        assert history.learner.expected_steps(QUEUE, TEAM, steps) is None


class TestDistribution:
    # Guards against a mean that a few long runs pull up, and a limit that ignores them.
    def test_long_tail_moves_the_limit_but_not_the_typical_duration(self) -> None:
        history = History()
        history.feed(lambda _rng, _: (0.3, 1.0), 60, tail=0.15)
        expected = history.expect(0.3)
        assert 0.9 < expected.typical_s < 1.2
        assert 4.0 < expected.nine_of_ten_s < 10.0

    # Guards against one typical duration for two kinds of work with fair estimates.
    def test_two_kinds_of_work_in_a_queue_are_told_apart(self) -> None:
        history = History()
        history.feed(lambda _rng, number: ((0.1, 0.5), (0.8, 4.0))[number % 2], 60)
        assert 0.4 < history.expect(0.1).typical_s < 0.6
        assert 3.2 < history.expect(0.8).typical_s < 5.0

    # Guards against a change that is taken for outliers for ever.
    def test_sudden_change_is_followed(self) -> None:
        history = History()
        history.feed(lambda _rng, _: (0.8, 0.8), 60)
        history.feed(lambda _rng, _: (0.8, 3.2), 25)
        assert 2.2 < history.expect(0.8).typical_s < 4.5
        assert history.expect(0.8).is_used

    # Guards against the short runs of a new kind of work, which end first, passing for
    # typical while the long ones still run.
    def test_runs_in_progress_count_as_longer_than_so_far(self) -> None:
        group = DurationGroup()
        for _ in range(40):
            group.learn(0.0, 0.0, 0.1, 0.0)
        before = group.typical(0.0), group.nine_of_ten(0.0)
        group.set_outlasting([(1.0, 0.1)] * 30)
        assert before[0] < group.typical(0.0) < 0.3
        assert group.nine_of_ten(0.0) > 0.9


class TestRemaining:
    @pytest.mark.parametrize(
        ("elapsed_s", "left_s"), [(0.5, 0.5), (2.0, 3.0), (8.0, 4.0)]
    )
    def test_run_beyond_the_typical_duration_is_not_about_to_end(
        self, elapsed_s: float, left_s: float
    ) -> None:
        expected = Expectation(1.0, 5.0, ExpectationSource.TEAM, True, None)
        assert expected.remaining_s(elapsed_s) == left_s


class TestTeams:
    TEAMS = tuple(TeamName(f"t{number}") for number in range(4))

    # Guards against a team without a history that is left with bad estimates.
    def test_new_team_gets_the_median_of_the_others(self) -> None:
        history = History()
        for team in self.TEAMS:
            history.feed(wrong_by_up_to(0.9), 15, team)
        expected = history.expect(0.2, TeamName("new"))
        assert expected.source is ExpectationSource.QUEUE
        assert expected.is_used
        assert 0.5 < expected.typical_s < 1.2

    # Guards against values shared by two teams, of which one team's may be the median.
    def test_new_team_has_its_estimates_until_enough_others_are_known(self) -> None:
        history = History()
        for team in self.TEAMS[:2]:
            history.feed(wrong_by_up_to(0.9), 30, team)
        expected = history.expect(0.2, TeamName("new"))
        assert expected.source is ExpectationSource.ESTIMATE
        assert (expected.typical_s, expected.is_used) == (0.2, False)

    # Guards against a team that distorts what is learned for others by runs that take a
    # hundred times as long as it says.
    def test_no_team_distorts_the_expectations_of_others(self) -> None:
        history = History()
        for team in self.TEAMS[1:]:
            history.feed(wrong_by_up_to(0.9), 15, team)
        before = history.expect(0.5, self.TEAMS[1])
        history.feed(lambda _rng, _: (1.0, 100.0), 200, self.TEAMS[0])
        assert history.expect(0.5, self.TEAMS[1])[:4] == before[:4]
        assert history.expect(0.5, TeamName("new")).typical_s < 1.5

    # Guards against a team that displaces the groups of others by many queues, and a
    # step that fills the history of its group by many tasks.
    def test_no_team_displaces_the_groups_of_others(self) -> None:
        history = History()
        history.feed(wrong_by(2.0), 10)
        learner = history.learner
        before = history.expect(1.0)
        spec = StepSpec(1, estimate_s=1.0)
        for number in range(500):
            queue = QueueName(f"q{number}")
            expected = learner.expect(queue, self.TEAMS[0], number, spec)
            learner.learn(
                queue, self.TEAMS[0], number, spec, expected, 1.0, 0.0, history.now_s
            )
        assert len(learner.teams[self.TEAMS[0]].groups) == MAX_GROUPS_PER_TEAM
        assert history.expect(1.0)[:4] == before[:4]

    # Guards against a pass that takes a look-up for each of thousands of estimates.
    def test_cost_of_values_for_new_teams_is_bounded(self) -> None:
        history = History()
        for team in self.TEAMS:
            history.feed(wrong_by_up_to(0.9), 15, team)
        new = TeamName("new")
        for number in range(2_000):
            history.expect(0.5 + number * 1e-4, new)
        assert len(history.learner.shared.values) < 10
        many = [StepSpec(1, estimate_s=0.5)] * (MAX_EXPECTED_STEPS + 1)
        assert history.learner.expected_steps(QUEUE, new, many[1:]) is not None
        assert history.learner.expected_steps(QUEUE, new, many) is None

    def test_old_groups_are_forgotten(self) -> None:
        history = History()
        history.feed(wrong_by(2.0), 10)
        history.learner.refresh({}, history.now_s + MAX_AGE_S + 1)
        assert not history.learner.teams


class TestRefusals:
    # Guards against a clock step or a run that only its start took time from moving
    # what is learned.
    @pytest.mark.parametrize(
        ("seconds", "reason"),
        [
            (-1.0, Refusal.CLOCK_STEP),
            (math.nan, Refusal.CLOCK_STEP),
            (0.0, Refusal.TOO_SHORT),
            (1e9, Refusal.TOO_LONG),
        ],
    )
    def test_odd_duration_is_refused_and_counted(
        self, seconds: float, reason: Refusal
    ) -> None:
        history = History()
        history.learn(StepSpec(1, estimate_s=1.0), history.expect(1.0), seconds, TEAM)
        assert history.learner.refused[reason] == 1
        assert not history.learner.teams
