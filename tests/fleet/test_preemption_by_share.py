"""Tests of preemption while teams use more than their shares.

The load: batch runs of several teams fill the fleet, some of them beyond their team's
share, and an urgent job within its share arrives.
"""

import pytest

from fleet_support import CORE, TEAM, URGENT, Fleet, make_configuration
from gooseberrydeck_coordination.ids import JobId, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.preemption import VictimOrder
from gooseberrydeck_fleet.share_policy import BY_USE, SharePolicy
from gooseberrydeck_fleet.work import StepSpec

KEEPS = TeamName("keeps")
EXCEEDS = TeamName("exceeds")
EXCEEDS_MORE = TeamName("exceeds-more")


class TestVictims:
    """Guards against stopping a team's work while others exceed their shares."""

    def setup_method(self) -> None:
        self.begin(BY_USE)

    def begin(self, policy: SharePolicy, workers: int = 1) -> None:
        self.fleet = Fleet(workers=workers, share_policy=policy)
        shares = dict.fromkeys((TEAM, KEEPS, EXCEEDS, EXCEEDS_MORE), 0.01)
        self.fleet.configuration = make_configuration(shares=shares)
        self.fleet.scheduler.set_configuration(self.fleet.configuration)

    def run_batch(self, team: TeamName, cores: int, count: int = 1) -> JobId:
        """Run a batch job that saves progress, beyond its share if its team exceeds."""
        if team in (EXCEEDS, EXCEEDS_MORE):
            wall_s = self.fleet.clock.wall()
            assert self.fleet.scheduler.shares.admits(team, wall_s)
        step = StepSpec(count, Resources(cores * CORE, 100, 0), saves_progress=True)
        job = self.fleet.submit(f"{team}-batch", step, seconds=60.0, team=team)
        self.fleet.run_for(0.3)
        assert len(self.fleet.running(job)) == count
        return job

    def submit_urgent(self, cores: int) -> JobId:
        step = StepSpec(1, Resources(cores * CORE, 100, 0))
        return self.fleet.submit("urgent", step, queue_name=URGENT, team=TEAM)

    def stopped(self) -> set[JobId]:
        return {task.job for _, task, _ in self.fleet.stops}

    @pytest.mark.parametrize("is_on", [True, False])
    def test_runs_beyond_the_share_stop_first(self, is_on: bool) -> None:
        self.begin(SharePolicy(ranks_by_use=True, preempts_by_share=is_on))
        keeps = self.run_batch(KEEPS, cores=16)
        exceeds = self.run_batch(EXCEEDS, cores=16)
        urgent = self.submit_urgent(cores=16)
        self.fleet.run_for(0.4)
        assert len(self.fleet.running(urgent)) == 1
        assert self.stopped() == {exceeds if is_on else keeps}

    def test_runs_beyond_the_share_stop_first_also_if_they_are_larger(self) -> None:
        self.begin(BY_USE, workers=2)
        exceeds = self.run_batch(EXCEEDS, cores=32)
        self.run_batch(KEEPS, cores=8, count=4)
        self.submit_urgent(cores=8)
        self.fleet.run_for(0.4)
        assert self.stopped() == {exceeds}

    def test_team_with_the_highest_use_gives_way_first(self) -> None:
        self.begin(BY_USE, workers=4)
        less = self.run_batch(EXCEEDS, cores=16, count=2)
        more = self.run_batch(EXCEEDS_MORE, cores=32, count=3)
        self.fleet.run_for(10.0)
        self.submit_urgent(cores=8)
        self.fleet.run_for(0.4)
        assert self.stopped() == {more}
        assert len(self.fleet.running(less)) == 2

    def test_least_work_of_a_team_is_stopped(self) -> None:
        self.begin(BY_USE, workers=2)
        self.run_batch(EXCEEDS, cores=32)
        small = self.run_batch(EXCEEDS_MORE, cores=8, count=4)
        self.fleet.scheduler.team_use.levels.clear()
        self.fleet.scheduler.team_use.averages.clear()
        self.submit_urgent(cores=8)
        clock = self.fleet.clock
        self.fleet.scheduler.next_housekeeping_s = clock.now_s + 10.0
        self.fleet.run_for(0.2)
        assert self.stopped() == {small}
        assert len(self.fleet.stops) == 1

    @pytest.mark.parametrize(("team", "may"), [(KEEPS, False), (EXCEEDS, True)])
    def test_step_beyond_its_share_stops_no_run_within_that_of_another_team(
        self, team: TeamName, may: bool
    ) -> None:
        job = self.run_batch(team, cores=16)
        wall_s = self.fleet.clock.wall()
        assert self.fleet.scheduler.shares.admits(TEAM, wall_s)
        urgent = self.submit_urgent(cores=32)
        self.fleet.run_for(0.2)
        jobs = self.fleet.scheduler.ledger.jobs
        assert not jobs[urgent].is_within_share
        (run,) = jobs[job].runs.values()
        (step,) = jobs[urgent].steps.values()
        order = self.fleet.scheduler.preemptor.victims
        assert order.may_preempt(run, step) is may
        assert VictimOrder(None).may_preempt(run, step)
