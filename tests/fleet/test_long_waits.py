"""Tests of what is reported about steps that wait."""

import pytest

from fleet_support import (
    SLOW,
    URGENT,
    Fleet,
    Rebirth,
    make_configuration,
    queue,
    task_resources,
)
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.configuration import AdvicePolicy
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.serving import LongWait, WaitReason
from gooseberrydeck_fleet.work import StepSpec

W0 = WorkerId("w0")
ONE = task_resources()
WHOLE_WORKER = task_resources(cores=32)
POLICY = AdvicePolicy(0.4, 0.005, 2.5)
LONG_S = 5.5


def advised_fleet() -> Fleet:
    """Return a fleet with advice for its slow queue that nobody answers."""
    fleet = Fleet(workers=2)
    fleet.configuration = make_configuration(queue(URGENT, 0), queue(SLOW, 2, POLICY))
    fleet.scheduler.set_configuration(fleet.configuration)
    fleet.scheduler.set_max_advice_requests(2)
    return fleet


def take_waits(fleet: Fleet) -> list[LongWait]:
    """Return the waits reported so far, in order of their jobs."""
    return sorted(fleet.scheduler.take_long_waits(), key=lambda wait: wait.step.job)


class TestReasons:
    def test_step_without_room(self) -> None:
        fleet = Fleet(workers=1)
        fleet.submit("long", StepSpec(1, WHOLE_WORKER), seconds=60.0)
        fleet.run_for(0.2)
        fleet.submit("next", StepSpec(1, WHOLE_WORKER))
        fleet.run_for(LONG_S)
        (wait,) = take_waits(fleet)
        assert wait.reason is WaitReason.ROOM

    def test_step_at_its_team_limit(self) -> None:
        fleet = Fleet(workers=2)
        fleet.configuration = make_configuration(maximum=task_resources(cores=1))
        fleet.scheduler.set_configuration(fleet.configuration)
        fleet.submit("first", StepSpec(2, ONE), seconds=60.0)
        fleet.run_for(LONG_S)
        (wait,) = take_waits(fleet)
        assert (wait.reason, wait.quota) == (WaitReason.LIMIT, 0)

    # Logs didn't say which step kept others of its team waiting.
    def test_step_that_is_held_back_for_a_more_urgent_one(self) -> None:
        fleet = Fleet(workers=2)
        fleet.configuration = make_configuration(maximum=Resources(32_000, 0, 0))
        fleet.scheduler.set_configuration(fleet.configuration)
        half = task_resources(cores=16)
        fleet.submit("running", StepSpec(1, half, estimate_s=8.0), seconds=8.0)
        fleet.run_for(0.2)
        wide = StepSpec(1, WHOLE_WORKER, estimate_s=1.0)
        urgent = fleet.submit("urgent", wide, queue_name=URGENT)
        small = fleet.submit("small", StepSpec(1, half, estimate_s=30.0), seconds=30.0)
        fleet.run_for(LONG_S)
        held, first = take_waits(fleet)
        assert (held.step.job, held.reason) == (small, WaitReason.HELD_BACK)
        assert held.held_by is not None
        assert held.held_by.job == urgent
        assert (first.reason, first.held_by) == (WaitReason.LIMIT, None)

    # Logs of steps without advice didn't say whether they had asked for it.
    def test_steps_that_wait_for_advice(self, monkeypatch: pytest.MonkeyPatch) -> None:
        fleet = advised_fleet()
        # A second one would not stay reserved for urgent steps, as there are none.
        fleet.scheduler.set_max_advice_requests(1)
        monkeypatch.setattr(fleet, "execute", lambda _command: None)
        for name in ("a", "b", "c"):
            fleet.submit(name, StepSpec(1, ONE))
        fleet.run_for(LONG_S)
        waits = take_waits(fleet)
        reasons = [wait.reason for wait in waits]
        assert reasons == [
            WaitReason.ADVICE_REPLY,
            WaitReason.ADVICE_TURN,
            WaitReason.ADVICE_TURN,
        ]
        assert [wait.advice_turns_before for wait in waits] == [0, 0, 1]
        assert {wait.slow_advice_in_flight for wait in waits} == {1}
        assert {wait.max_advice_in_flight for wait in waits} == {1}


class TestRepeatedWaits:
    # A step that had waited once was never reported again, however long it waited.
    def test_each_wait_of_a_step_is_reported_with_its_own_time(self) -> None:
        fleet = Fleet(workers=1)
        fleet.rebirth = Rebirth.NEVER
        fleet.submit("first", StepSpec(1, WHOLE_WORKER), seconds=6.0)
        fleet.run_for(0.2)
        standing = StepSpec(1, WHOLE_WORKER, is_standing=True)
        job = fleet.submit("standing", standing, seconds=600.0)
        fleet.run_for(8.0)
        assert fleet.running(job)
        fleet.crash_worker(W0)
        fleet.run_for(12.0)
        waits = take_waits(fleet)
        assert [wait.step.job for wait in waits] == [job, job]
        assert [round(wait.waited_s) for wait in waits] == [5, 5]
