"""Tests of the attempts of tasks whose failures are not all known."""

import pytest

from fleet_support import SLOW, Fleet, make_configuration, queue, task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_standins.fleet_worker import RunPlan

ONE = task_resources()
ATTEMPTS = 3
LAST_RUN_S = 1.0
LEASE_S = 4.6
"""Time by which all leases of a predecessor have expired."""


class FailingFleet(Fleet):
    """A fleet with a job whose task fails on one worker after the other."""

    def __init__(self, is_gang: bool = False) -> None:
        super().__init__(workers=ATTEMPTS + 1)

        def plan(_request: StartRequest) -> RunPlan:
            seconds = LAST_RUN_S if len(self.starts) == ATTEMPTS else 0.1
            return RunPlan(seconds, ONE, fails=True, gang_size=int(is_gang))

        self.job: JobId = self.submit("a", StepSpec(1, ONE, is_gang=is_gang), plan=plan)

    def take_over_with_an_unknown_failure(self) -> None:
        """Replace the scheduler after the last attempt has begun.

        No failure is stored, and the worker of the first one is silent.
        """
        self.is_store_available = False
        while len(self.starts) < ATTEMPTS:
            self.run_for(0.05)
        self.run_for(0.1)
        self.unreachable.add(self.starts[0][2])
        self.is_store_available = True
        self.take_over()


class TestUnknownFailures:
    # A predecessor had counted a failure and not stored it, and its worker was silent
    # after the takeover: the failure of the last attempt was followed by another.
    @pytest.mark.parametrize("is_gang", [False, True])
    def test_task_that_fails_waits_for_failures_that_are_not_known(
        self, is_gang: bool
    ) -> None:
        fleet = FailingFleet(is_gang)
        fleet.take_over_with_an_unknown_failure()
        fleet.run_for(LAST_RUN_S + 0.5)
        fleet.unreachable.clear()
        fleet.run_for(1.0)
        assert fleet.starts_beyond_attempts(ATTEMPTS) == []
        assert fleet.state(fleet.job) is JobState.FAILED

    def test_failures_count_for_nothing_once_their_lease_has_lapsed(self) -> None:
        fleet = FailingFleet()
        fleet.take_over_with_an_unknown_failure()
        fleet.run_for(LEASE_S)
        assert len(fleet.starts) == ATTEMPTS + 1
        assert fleet.starts_beyond_attempts(ATTEMPTS) == []


class TestChangedAttempts:
    # A configuration that lowered the attempts applied at the next failure only.
    def test_task_that_has_used_up_lowered_attempts_does_not_start_again(self) -> None:
        fleet = FailingFleet()
        fleet.run_for(0.05)
        used = {worker for _, _, worker in fleet.starts}
        fleet.unreachable = fleet.engines.keys() - used
        fleet.run_for(0.5)
        fleet.unreachable = set()
        fleet.scheduler.set_configuration(
            make_configuration(queue(SLOW, 2, attempts=1), version=2)
        )
        fleet.run_for(1.0)
        assert len(fleet.starts) == 1
        assert fleet.state(fleet.job) is JobState.FAILED
