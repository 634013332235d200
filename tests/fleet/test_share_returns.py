"""Tests of a team's share after its burst, and after a takeover within the burst.

The load: a team submits ten times its share at once to a fleet that is full. Its jobs
beyond the share must neither stay behind for good nor go before other teams' jobs.
"""

import pytest

from fleet_support import TEAM, URGENT, Fleet, make_configuration, task_resources
from gooseberrydeck_coordination.ids import JobId, TeamName
from gooseberrydeck_fleet.share_policy import SharePolicy
from gooseberrydeck_fleet.work import StepSpec

OTHERS = TeamName("others")
WHOLE = task_resources(cores=32.0)
HOUR_S = 3_600.0
BURST = 20
RATE = 2.0
RETURNS = SharePolicy(returns_shares=True)


class FullFleetFixture:
    """A worker that is full for an hour, so that every job of a team waits."""

    def setup_method(self) -> None:
        self.fleet = self.fill(RETURNS)

    def fill(self, policy: SharePolicy) -> Fleet:
        fleet = Fleet(workers=1, share_policy=policy)
        self.set_shares(fleet, {TEAM: RATE, OTHERS: RATE})
        fleet.submit(
            "full", StepSpec(1, WHOLE), seconds=HOUR_S, team=TeamName("filler")
        )
        fleet.run_for(0.2)
        return fleet

    def set_shares(self, fleet: Fleet, shares: dict[TeamName, float]) -> None:
        fleet.configuration = make_configuration(shares=shares)
        fleet.scheduler.set_configuration(fleet.configuration)

    def submit_burst(self, fleet: Fleet) -> list[JobId]:
        jobs = []
        for number in range(BURST):
            step = StepSpec(1, WHOLE, estimate_s=60.0)
            # The names are in the reverse order of the acceptance.
            name = f"hot{BURST - number:02}"
            jobs.append(fleet.submit(name, step, queue_name=URGENT, team=TEAM))
            fleet.run_for(0.05)
        fleet.run_for(0.2)
        return jobs

    def within(self, fleet: Fleet, jobs: list[JobId]) -> list[JobId]:
        known = fleet.scheduler.ledger.jobs
        return [job for job in jobs if job in known and known[job].is_within_share]


class TestReturnedShares(FullFleetFixture):
    """Guards against jobs that stay beyond their team's share for life."""

    def test_oldest_jobs_are_within_the_share_as_tokens_become_available(self) -> None:
        jobs = self.submit_burst(self.fleet)
        self.fleet.run_for(2.0)
        # A burst of one second, and the tokens of three.
        assert self.within(self.fleet, jobs) == jobs[:8]

    def test_share_is_not_returned_if_switched_off(self) -> None:
        fleet = self.fill(SharePolicy(returns_shares=False))
        jobs = self.submit_burst(fleet)
        fleet.run_for(2.0)
        assert len(self.within(fleet, jobs)) == 3

    def test_idle_team_saves_one_burst(self) -> None:
        self.fleet.run_for(60.0)
        jobs = self.submit_burst(self.fleet)
        assert len(self.within(self.fleet, jobs)) == 4

    def test_clock_that_steps_back_holds_back_no_share(self) -> None:
        jobs = self.submit_burst(self.fleet)
        self.fleet.wall_offset_s = -HOUR_S
        self.fleet.run_for(2.0)
        assert self.within(self.fleet, jobs) == jobs[:8]

    @pytest.mark.parametrize(("rate", "within"), [(4.0, 12), (0.5, 5)])
    def test_changed_weight_applies_to_waiting_jobs(
        self, rate: float, within: int
    ) -> None:
        jobs = self.submit_burst(self.fleet)
        self.set_shares(self.fleet, {TEAM: rate, OTHERS: RATE})
        self.fleet.run_for(2.0)
        assert self.within(self.fleet, jobs) == jobs[:within]

    def test_jobs_of_a_team_whose_weight_is_removed_are_within_its_share(self) -> None:
        jobs = self.submit_burst(self.fleet)
        step = StepSpec(1, WHOLE)
        jobs.append(self.fleet.submit("late", step, queue_name=URGENT, team=TEAM))
        self.fleet.run_for(1.0)
        self.set_shares(self.fleet, {OTHERS: RATE})
        self.fleet.run_for(0.2)
        assert self.within(self.fleet, jobs) == jobs

    def test_late_jobs_leave_the_share_to_those_that_arrive(self) -> None:
        for number in range(BURST):
            name = f"late{number}"
            self.fleet.submit(name, StepSpec(1, WHOLE), queue_name=URGENT, team=TEAM)
        self.fleet.run_for(2.0)
        step = StepSpec(1, WHOLE, estimate_s=60.0)
        fresh = self.fleet.submit("fresh", step, queue_name=URGENT, team=TEAM)
        self.fleet.run_for(0.1)
        order = [rank[-1].job for rank in self.fleet.scheduler.server.waiting.order]
        late = [JobId("late0"), JobId("late1")]
        assert self.within(self.fleet, order) == [fresh, *late]

    def test_returned_share_of_a_job_that_becomes_late_delays_no_other(self) -> None:
        for number in range(6):
            step = StepSpec(1, WHOLE, estimate_s=1.0)
            self.fleet.submit(f"j{number}", step, queue_name=URGENT, team=TEAM)
        self.fleet.run_for(1.0)
        returned = [JobId("j2"), JobId("j3")]
        waiting = self.fleet.scheduler.server.waiting
        order = [rank[-1].job for rank in waiting.order]
        assert order[2:4] == returned
        fresh = StepSpec(1, WHOLE, estimate_s=60.0)
        beyond = [
            self.fleet.submit(f"k{number}", fresh, queue_name=URGENT, team=TEAM)
            for number in range(8)
        ]
        self.fleet.run_for(1.0)
        order = [rank[-1].job for rank in waiting.order]
        assert all(order.index(job) > order.index(beyond[-1]) for job in returned)

    def test_returned_job_does_not_go_before_an_earlier_job_of_another_team(
        self,
    ) -> None:
        jobs = self.submit_burst(self.fleet)
        step = StepSpec(1, WHOLE, estimate_s=60.0)
        late = self.fleet.submit("late", step, queue_name=URGENT, team=OTHERS)
        self.fleet.run_for(1.0)
        order = [rank[-1].job for rank in self.fleet.scheduler.server.waiting.order]
        assert order[:5] == [*jobs[:4], late]


class TestTakeoverInABurst(FullFleetFixture):
    """Guards against a takeover that gives a team's share to the wrong jobs."""

    def take_over(self, fleet: Fleet) -> None:
        # The store returns the jobs in the order of their keys.
        fleet.records = dict(sorted(fleet.records.items()))
        fleet.take_over()
        fleet.run_for(0.1)

    def test_share_goes_to_the_jobs_that_were_accepted_first(self) -> None:
        jobs = self.submit_burst(self.fleet)
        self.take_over(self.fleet)
        assert self.within(self.fleet, jobs) == jobs[:3]

    def test_order_is_that_of_the_keys_if_switched_off(self) -> None:
        fleet = self.fill(SharePolicy(orders_arrivals=False, returns_shares=True))
        jobs = self.submit_burst(fleet)
        self.take_over(fleet)
        assert self.within(fleet, jobs) != jobs[:3]

    @pytest.mark.parametrize("waited_s", [0.5, 2.0, 4.0])
    def test_error_is_the_share_of_the_time_that_jobs_have_waited(
        self, waited_s: float
    ) -> None:
        jobs = self.submit_burst(self.fleet)
        self.fleet.run_for(waited_s)
        before = self.within(self.fleet, jobs)
        self.take_over(self.fleet)
        after = self.within(self.fleet, jobs)
        # The returned tokens of the jobs that still wait are not stored.
        assert after == before[: len(after)]
        assert len(before) - len(after) <= RATE * waited_s + 1

    def test_share_that_ended_jobs_have_used_is_available_again_once(self) -> None:
        fleet = Fleet(workers=1, share_policy=RETURNS)
        self.set_shares(fleet, {TEAM: RATE})
        for number in range(4):
            fleet.submit(f"short{number}", StepSpec(1, WHOLE), seconds=0.1, team=TEAM)
        fleet.run_for(1.0)
        jobs = self.submit_burst(fleet)
        before = self.within(fleet, jobs)
        assert 0 < len(before) < BURST // 2
        assert len(fleet.scheduler.ledger.jobs) < BURST
        self.take_over(fleet)
        assert len(self.within(fleet, jobs)) <= len(before) + RATE
