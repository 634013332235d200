"""Tests that long-running tasks run again after runs that their holder believes in.

The runs are recorded as running, or as being stopped, and have ended or are out of
reach.
"""

import pytest

from fleet_support import Rebirth
from gooseberrydeck_fleet.state import Run, RunState, StopReason
from standing_support import MAX_WITHOUT_RUN_S, StandingFleet

REASONS = [StopReason.STALLED, StopReason.DRAINING, StopReason.SURPLUS]
BEFORE_S = 3.0
AFTER_S = 30.0


class RunsFixture:
    """A long-running job on one of several workers."""

    def setup_method(self) -> None:
        self.fleet = StandingFleet(workers=4)
        self.fleet.submit_standing(jobs=1)
        self.fleet.run_for(BEFORE_S)
        (self.worker,) = {worker for _, _, worker in self.fleet.starts}

    def runs(self) -> list[Run]:
        """Return the runs that are recorded on the worker."""
        return list(self.fleet.scheduler.ledger.workers[self.worker].runs.values())

    def lose_runs(self) -> None:
        """Let the worker forget its runs, without an end."""
        self.fleet.engines[self.worker].runs.clear()

    def assert_running(self) -> None:
        """Assert that all tasks run, and have never stood still for too long."""
        self.fleet.run_for(AFTER_S)
        assert self.fleet.too_long() == {}
        assert len(self.fleet.standing_runs()) == len(self.fleet.standing)
        assert self.fleet.violations() == []


class TestRunsThatAreNotListed(RunsFixture):
    # Guards against a run that the ledger has as running, and its worker doesn't list.
    def test_worker_that_answers(self) -> None:
        assert {run.state for run in self.runs()} == {RunState.RUNNING}
        self.lose_runs()
        self.assert_running()

    # Guards against a run that ended while its worker was out of reach for a while.
    @pytest.mark.parametrize("silent_s", [0.5, 2.0, 4.0, 8.0])
    def test_worker_that_answers_again(self, silent_s: float) -> None:
        self.fleet.unreachable.add(self.worker)
        self.lose_runs()
        self.fleet.run_for(silent_s)
        self.fleet.unreachable.clear()
        self.assert_running()

    # Guards against a start that had no response, and was never executed.
    def test_start_without_a_response(self) -> None:
        self.fleet.delayed_starts |= self.fleet.engines.keys()
        self.lose_runs()
        self.fleet.run_for(0.5)
        assert self.fleet.starts_under_way
        self.fleet.starts_under_way.clear()
        self.fleet.delayed_starts.clear()
        self.assert_running()


class TestStopsThatAreWithdrawn(RunsFixture):
    def stop_while_silent(self, reason: StopReason) -> None:
        """Decide to stop all runs of the worker, whose stops are not sent."""
        self.fleet.unreachable.add(self.worker)
        self.fleet.run_for(0.1)
        for run in self.runs():
            self.fleet.scheduler.ends.request_stop(run, reason)
        self.fleet.run_for(0.1)
        assert {run.state for run in self.runs()} == {RunState.STOPPING}
        assert {task for _, task, _ in self.fleet.stops} == set(self.fleet.standing)

    # Guards against a task that stays with a run to be stopped, on a worker that is
    # gone or answers again, with or without the run.
    @pytest.mark.parametrize("reason", REASONS)
    @pytest.mark.parametrize("silent_s", [0.5, 2.0, 4.0, 8.0, AFTER_S])
    @pytest.mark.parametrize("are_lost", [False, True])
    def test_silent_worker(
        self, reason: StopReason, silent_s: float, are_lost: bool
    ) -> None:
        self.stop_while_silent(reason)
        if are_lost:
            self.lose_runs()
        self.fleet.run_for(silent_s)
        self.fleet.unreachable.clear()
        self.assert_running()

    # Guards against a task that stays with a run to be stopped, of a former process.
    @pytest.mark.parametrize("reason", REASONS)
    @pytest.mark.parametrize("rebirth", list(Rebirth))
    def test_worker_that_has_crashed(
        self, reason: StopReason, rebirth: Rebirth
    ) -> None:
        self.fleet.rebirth = rebirth
        self.fleet.crash_worker(self.worker)
        self.fleet.run_for(0.1)
        for run in self.runs():
            self.fleet.scheduler.ends.request_stop(run, reason)
        self.assert_running()

    # Guards against the same where nothing shows the new process for long.
    @pytest.mark.parametrize("reason", REASONS)
    @pytest.mark.parametrize("silent_s", [1.0, 5.0, 12.0])
    def test_worker_that_is_born_again_behind_a_cut(
        self, reason: StopReason, silent_s: float
    ) -> None:
        self.stop_while_silent(reason)
        self.fleet.restart_worker(self.worker)
        self.fleet.run_for(silent_s)
        self.fleet.unreachable.clear()
        self.assert_running()

    # Guards against a successor that waits for a run that was being stopped.
    @pytest.mark.parametrize("delay_s", [0.1, 1.0, 3.0])
    def test_holder_is_replaced(self, delay_s: float) -> None:
        self.stop_while_silent(StopReason.STALLED)
        self.lose_runs()
        self.fleet.run_for(delay_s)
        self.fleet.take_over()
        self.fleet.run_for(MAX_WITHOUT_RUN_S)
        self.fleet.unreachable.clear()
        self.assert_running()
