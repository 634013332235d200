"""Tests of the order among teams that are all beyond their shares.

The load: teams submit many times their share at once, so that nearly all waiting jobs
are beyond it. Without an order by use, the team that submitted first would get all that
is left over.
"""

from collections import Counter

import pytest

from fleet_support import (
    TEAM,
    URGENT,
    Fleet,
    make_configuration,
    registration,
    task_resources,
)
from gooseberrydeck_coordination.ids import JobId, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.share_policy import BY_USE, SharePolicy
from gooseberrydeck_fleet.team_use import AVERAGE_S, HYSTERESIS, LEVEL_BOUNDS
from gooseberrydeck_fleet.work import StepSpec

OTHERS = TeamName("others")
WHOLE = task_resources(cores=32.0)
HALF = task_resources(cores=16.0)
RATE = 0.1


class TestTeamUse:
    """Guards against an order by anything but what the teams have used lately."""

    def setup_method(self) -> None:
        self.fleet = Fleet(workers=4)
        self.set_shares({TEAM: RATE, OTHERS: RATE})

    def set_shares(self, shares: dict[TeamName, float]) -> None:
        self.fleet.configuration = make_configuration(shares=shares)
        self.fleet.scheduler.set_configuration(self.fleet.configuration)

    def run(self, step: StepSpec, seconds: float, team: TeamName = TEAM) -> None:
        self.fleet.submit(f"{team}-runs", step, seconds=seconds, team=team)

    def test_use_is_averaged_and_decays(self) -> None:
        use = self.fleet.scheduler.team_use
        self.run(StepSpec(2, WHOLE), seconds=3 * AVERAGE_S)
        self.fleet.run_for(3 * AVERAGE_S)
        used = use.part(TEAM)
        assert used == pytest.approx(0.5, rel=0.1)
        self.fleet.run_for(AVERAGE_S)
        assert use.part(TEAM) == pytest.approx(used / 2.72, rel=0.1)

    def test_dominant_resource_counts(self) -> None:
        memory = Resources(1_000, 65_536, 0)
        self.run(StepSpec(2, memory), seconds=30.0)
        self.fleet.run_for(20.0)
        assert self.fleet.scheduler.team_use.part(TEAM) == pytest.approx(0.5, rel=0.05)

    def test_use_is_in_proportion_to_the_weight(self) -> None:
        self.set_shares({TEAM: 3 * RATE, OTHERS: RATE})
        for team in (TEAM, OTHERS):
            self.run(StepSpec(1, WHOLE), seconds=30.0, team=team)
        self.fleet.run_for(20.0)
        use = self.fleet.scheduler.team_use
        assert use.weighted(OTHERS) == pytest.approx(3 * use.weighted(TEAM))
        assert use.levels[OTHERS] > use.levels.get(TEAM, 0)

    def test_team_without_a_weight_has_no_level(self) -> None:
        self.set_shares({OTHERS: RATE})
        self.run(StepSpec(4, WHOLE), seconds=30.0)
        self.fleet.run_for(10.0)
        use = self.fleet.scheduler.team_use
        assert use.part(TEAM) > 0.9
        assert use.levels.get(TEAM, 0) == 0

    def test_changed_weights_apply_at_once(self) -> None:
        self.run(StepSpec(2, WHOLE), seconds=30.0)
        self.fleet.run_for(20.0)
        use = self.fleet.scheduler.team_use
        before = use.levels[TEAM]
        self.set_shares({TEAM: RATE, OTHERS: 20 * RATE})
        self.fleet.run_for(0.2)
        assert use.levels[TEAM] > before

    def test_use_is_known_again_soon_after_a_takeover(self) -> None:
        self.run(StepSpec(2, WHOLE), seconds=30.0)
        self.fleet.run_for(20.0)
        before = self.fleet.scheduler.team_use.levels[TEAM]
        self.fleet.take_over()
        self.fleet.run_for(1.0)
        use = self.fleet.scheduler.team_use
        assert use.part(TEAM) == pytest.approx(0.5, rel=0.2)
        assert abs(use.levels[TEAM] - before) <= 1

    def test_use_near_a_bound_keeps_its_level(self) -> None:
        use = self.fleet.scheduler.team_use
        use.sampled = 1.0
        bound = LEVEL_BOUNDS[2]
        use.averages[TEAM] = bound * 1.01 / 2
        assert use.update_levels() == [TEAM]
        use.averages[TEAM] = bound * (HYSTERESIS + 0.01) / 2
        assert use.update_levels() == []
        use.averages[TEAM] = bound * (HYSTERESIS - 0.01) / 2
        assert use.update_levels() == [TEAM]

    def test_averages_stay_while_no_worker_accepts_runs(self) -> None:
        self.run(StepSpec(2, WHOLE), seconds=30.0)
        self.fleet.run_for(20.0)
        before = self.fleet.scheduler.team_use.part(TEAM)
        for worker in self.fleet.engines:
            entry = registration(worker, is_draining=True)
            self.fleet.scheduler.worker_registered(entry, self.fleet.now_s)
        self.fleet.scheduler.placer.refresh(self.fleet.now_s)
        assert not any(self.fleet.scheduler.team_use.count_capacity())
        self.fleet.scheduler.team_use.update(self.fleet.now_s + 60.0)
        assert self.fleet.scheduler.team_use.part(TEAM) == before


class TestTeamsBeyondTheirShares:
    """Guards against a team that takes all that is left over since it came first."""

    def run_teams(
        self, shares: dict[TeamName, float], policy: SharePolicy
    ) -> Counter[TeamName]:
        """Return how many tasks of each team start within 20 s."""
        fleet = Fleet(workers=2, share_policy=policy)
        fleet.configuration = make_configuration(shares=shares)
        fleet.scheduler.set_configuration(fleet.configuration)
        for team in shares:
            for number in range(100):
                step = StepSpec(1, HALF, estimate_s=60.0)
                name = f"{team}{number:03}"
                fleet.submit(name, step, queue_name=URGENT, seconds=0.6, team=team)
            fleet.run_for(0.2)
        fleet.starts.clear()
        fleet.run_for(20.0)
        assert not fleet.violations()
        return Counter(fleet.teams[task.job] for _, task, _ in fleet.starts)

    def test_equal_weights(self) -> None:
        starts = self.run_teams({TEAM: RATE, OTHERS: RATE}, BY_USE)
        assert starts[OTHERS] == pytest.approx(starts[TEAM], rel=0.2)

    def test_unequal_weights(self) -> None:
        starts = self.run_teams({TEAM: 3 * RATE, OTHERS: RATE}, BY_USE)
        assert starts[TEAM] == pytest.approx(3 * starts[OTHERS], rel=0.3)

    def test_first_team_takes_all_if_switched_off(self) -> None:
        policy = SharePolicy(preempts_by_share=True)
        starts = self.run_teams({TEAM: RATE, OTHERS: RATE}, policy)
        # All but those that started before the other team's jobs arrived.
        assert starts[TEAM] == 96

    def test_idle_share_is_lent(self) -> None:
        starts = self.run_teams({TEAM: RATE}, BY_USE)
        both = self.run_teams({TEAM: RATE, OTHERS: RATE}, BY_USE)
        assert starts[TEAM] == pytest.approx(100, abs=5)
        assert both.total() > starts[TEAM]

    def test_jobs_that_ask_for_more_than_the_fleet_has_hold_up_nobody(self) -> None:
        fleet = Fleet(workers=2)
        fleet.configuration = make_configuration(shares={TEAM: RATE, OTHERS: RATE})
        fleet.scheduler.set_configuration(fleet.configuration)
        for number in range(20):
            step = StepSpec(1, task_resources(cores=64.0))
            fleet.submit(f"huge{number}", step, queue_name=URGENT, team=TEAM)
        jobs = [
            fleet.submit(f"fits{number}", StepSpec(1, WHOLE), seconds=0.5, team=OTHERS)
            for number in range(8)
        ]
        fleet.run_for(4.0)
        started = {task.job for _, task, _ in fleet.starts}
        assert started == set(map(JobId, jobs))
