"""Tests of teams that submit more jobs than their share."""

import pytest

from fleet_support import TEAM, URGENT, Fleet, make_configuration, task_resources
from gooseberrydeck_coordination.ids import JobId, TeamName
from gooseberrydeck_fleet.shares import ShareTracker
from gooseberrydeck_fleet.work import StepSpec

OTHERS = TeamName("others")
WHOLE = task_resources(cores=32.0)


class TestShareTracker:
    def setup_method(self) -> None:
        self.tracker = ShareTracker()
        self.tracker.set_rates({TEAM: 4.0, OTHERS: 0.5})

    def admitted(self, team: TeamName, times: list[float]) -> int:
        return sum(self.tracker.admits(team, at_s) for at_s in times)

    @pytest.mark.parametrize(("team", "admitted"), [(TEAM, 4), (OTHERS, 1)])
    def test_burst_is_admitted_up_to_the_share_of_one_second(
        self, team: TeamName, admitted: int
    ) -> None:
        assert self.admitted(team, [10.0] * 20) == admitted

    def test_jobs_at_the_rate_of_the_share_are_all_admitted(self) -> None:
        times = [10.0 + number / 4 for number in range(40)]
        assert self.admitted(TEAM, times) == 40

    def test_sustained_excess_is_admitted_at_the_rate_of_the_share(self) -> None:
        times = [10.0 + number / 20 for number in range(200)]
        assert 4 * 10 <= self.admitted(TEAM, times) <= 4 * 11

    def test_teams_do_not_use_the_shares_of_others(self) -> None:
        self.admitted(TEAM, [10.0] * 100)
        assert self.tracker.admits(OTHERS, 10.0)

    def test_jobs_out_of_order_refill_nothing(self) -> None:
        assert self.admitted(TEAM, [10.0, 9.0, 10.0, 9.0, 10.0, 9.0]) == 4

    @pytest.mark.parametrize("team", [TeamName("stranger"), TeamName("open")])
    def test_team_without_a_share_is_not_limited(self, team: TeamName) -> None:
        self.tracker.set_rates({TeamName("open"): 0.0})
        assert self.admitted(team, [10.0] * 50) == 50

    def test_changed_share_applies_to_later_jobs(self) -> None:
        self.admitted(TEAM, [10.0] * 8)
        self.tracker.set_rates({TEAM: 1.0})
        assert self.admitted(TEAM, [12.0] * 8) == 1


class TestOverloadingTeam:
    """One team submits many times its usual load while the fleet is full."""

    def setup_method(self) -> None:
        self.fleet = Fleet(workers=1)
        self.fleet.configuration = make_configuration(shares={TEAM: 2.0, OTHERS: 2.0})
        self.fleet.scheduler.set_configuration(self.fleet.configuration)

    def submit(self, name: str, team: TeamName) -> JobId:
        step = StepSpec(1, WHOLE)
        return self.fleet.submit(name, step, queue_name=URGENT, seconds=0.5, team=team)

    def test_other_teams_go_before_jobs_beyond_a_share(self) -> None:
        burst = [self.submit(f"hot{number}", TEAM) for number in range(10)]
        self.fleet.run_for(0.1)
        late = self.submit("late", OTHERS)
        self.fleet.run_for(3.0)
        order = [task.job for _, task, _ in self.fleet.starts]
        assert order[:3] == [*burst[:2], late]

    def test_jobs_beyond_a_share_run_when_there_is_capacity(self) -> None:
        burst = [self.submit(f"hot{number}", TEAM) for number in range(10)]
        self.fleet.run_for(8.0)
        assert {task.job for _, task, _ in self.fleet.starts} == set(burst)

    @pytest.mark.parametrize(("share", "stops"), [(2.0, 0), (0.0, 1)])
    def test_jobs_beyond_a_share_preempt_nothing(
        self, share: float, stops: int
    ) -> None:
        self.fleet.scheduler.set_configuration(make_configuration(shares={TEAM: share}))
        for number in range(2):
            self.submit(f"hot{number}", TEAM)
        self.fleet.run_for(1.5)
        saving = StepSpec(1, WHOLE, saves_progress=True)
        self.fleet.submit("batch", saving, seconds=5.0, team=OTHERS)
        self.fleet.run_for(0.2)
        for _ in range(4):
            self.fleet.scheduler.shares.admits(TEAM, self.fleet.clock.wall())
        self.submit("excess", TEAM)
        self.fleet.run_for(0.5)
        assert len(self.fleet.stops) == stops
