"""Tests of the load in which batch steps wait for advice while requests are unused.

Forty members can send a request each. Urgent steps have few in flight, as their advice
takes a tenth of the time, and dozens of batch steps wait for theirs.
"""

import pytest

from fleet_support import SLOW, URGENT, Fleet, make_configuration, queue, task_resources
from gooseberrydeck_fleet.advice_requests import (
    URGENT_LOAD_PERIOD_S,
    URGENT_PAUSE_S,
    UrgentLoad,
)
from gooseberrydeck_fleet.commands import AskAdvice
from gooseberrydeck_fleet.configuration import AdvicePolicy
from gooseberrydeck_fleet.work import JobState, StepSpec

MEMBERS = 40
QUICK = AdvicePolicy(0.052, 0.000455, 2.5)
LONG = AdvicePolicy(0.79, 0.00715, 2.5)
ONE = task_resources()


def loaded_fleet(max_in_flight: int) -> Fleet:
    fleet = Fleet(30)
    fleet.configuration = make_configuration(
        queue(URGENT, 0, QUICK), queue(SLOW, 2, LONG)
    )
    fleet.scheduler.set_configuration(fleet.configuration)
    fleet.scheduler.set_max_advice_requests(max_in_flight)
    return fleet


def requested(fleet: Fleet, now_s: float) -> list[bool]:
    """Return whether each request for advice that is sent now is urgent."""
    commands = fleet.scheduler.decide(now_s, now_s)
    return [each.is_urgent for each in commands if isinstance(each, AskAdvice)]


def submit(fleet: Fleet, count: int, is_urgent: bool) -> None:
    name = URGENT if is_urgent else SLOW
    for number in range(count):
        fleet.submit(f"{name}{number}", StepSpec(1, ONE), queue_name=name)


class TestRequestsOfBatchSteps:
    # Guards against batch work that waits with half of the requests unused: up to 30
    # steps waited for their turn, with 20 to 26 of 40 requests in flight.
    def test_batch_steps_use_what_urgent_steps_lately_left(self) -> None:
        fleet = loaded_fleet(MEMBERS)
        submit(fleet, 60, is_urgent=False)
        assert requested(fleet, fleet.now_s).count(False) == MEMBERS - 4

    # Guards against urgent steps that find every request in use in a burst.
    def test_as_many_requests_as_urgent_steps_used_stay_reserved(self) -> None:
        fleet = loaded_fleet(MEMBERS)
        submit(fleet, 8, is_urgent=True)
        now_s = fleet.now_s
        assert requested(fleet, now_s) == [True] * 8
        for step in range(1, 40):
            fleet.scheduler.decide(now_s + step * URGENT_LOAD_PERIOD_S / 10, now_s)
        submit(fleet, 60, is_urgent=False)
        later_s = now_s + 4 * URGENT_LOAD_PERIOD_S
        assert requested(fleet, later_s).count(False) == MEMBERS - 16

    # Guards against starved batch work: under any urgent load, half is left to it.
    def test_at_most_half_is_reserved(self) -> None:
        fleet = loaded_fleet(MEMBERS)
        submit(fleet, 30, is_urgent=True)
        now_s = fleet.now_s
        assert len(requested(fleet, now_s)) == 30
        for step in range(1, 40):
            fleet.scheduler.decide(now_s + step * URGENT_LOAD_PERIOD_S / 10, now_s)
        assert fleet.scheduler.advice_requests.reserved == MEMBERS // 2

    # Guards against slower urgent work on small deployments: a batch request takes
    # most of a second there, and few members share the wait for it.
    @pytest.mark.parametrize("members", [1, 2, 3, 4, 5, 6, 7])
    def test_half_is_reserved_with_few_members(self, members: int) -> None:
        fleet = loaded_fleet(members)
        submit(fleet, 20, is_urgent=False)
        assert requested(fleet, fleet.now_s).count(False) == max(1, members // 2)

    # Guards against batch jobs that starve on a small deployment after its urgent load
    # has ended (review/5: not started after 90 s, with idle workers).
    def test_nothing_is_reserved_after_a_pause_of_urgent_work(self) -> None:
        fleet = loaded_fleet(2)
        submit(fleet, 1, is_urgent=True)
        now_s = fleet.now_s
        assert requested(fleet, now_s) == [True]
        fleet.scheduler.advice_answered(
            fleet.scheduler.server.advice_requests.in_flight.copy().popitem()[0],
            None,
            now_s,
            now_s,
        )
        submit(fleet, 20, is_urgent=False)
        assert requested(fleet, now_s + 0.01).count(False) == 1
        fleet.scheduler.intake.ends.finish(
            next(iter(fleet.scheduler.ledger.jobs.values())), JobState.CANCELLED
        )
        for step in range(1, 12):
            fleet.scheduler.decide(now_s + step * URGENT_PAUSE_S / 10, now_s)
        assert fleet.scheduler.advice_requests.reserved == 0


class TestUrgentLoad:
    def test_load_is_averaged_over_time(self) -> None:
        load = UrgentLoad()
        load.observe(10, 0.0)
        load.observe(10, 10 * URGENT_LOAD_PERIOD_S)
        assert load.mean == pytest.approx(10, rel=0.01)
        load.observe(0, 10 * URGENT_LOAD_PERIOD_S)
        load.observe(0, 20 * URGENT_LOAD_PERIOD_S)
        assert load.mean == pytest.approx(0, abs=0.01)

    # Guards against a load that a time before the last one would distort.
    def test_earlier_time_changes_nothing(self) -> None:
        load = UrgentLoad()
        load.observe(4, 100.0)
        load.observe(4, 103.0)
        before = load.mean
        load.observe(4, 50.0)
        assert load.mean == before
