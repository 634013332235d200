"""Tests of draining workers whose registration is removed behind a cut."""

import pytest

from fleet_support import Fleet, registration, task_resources
from gooseberrydeck_fleet.work import StepSpec

ONE = StepSpec(1, task_resources())
WATCHED_S = 6.0


class TestDepartures:
    # The registration of a draining worker is also removed while it is cut off. Its
    # runs counted as ended then, and started elsewhere before their lease had lapsed.
    @pytest.mark.parametrize("is_taken_over", [False, True])
    def test_cut_off_worker_runs_on_until_its_lease_lapses(
        self, is_taken_over: bool
    ) -> None:
        fleet = Fleet(workers=2)
        fleet.submit("a", ONE, seconds=30.0)
        fleet.run_for(0.3)
        (_, _, cut) = fleet.starts[0]
        entry = registration(str(cut), is_draining=True, remaining_s=0.5)
        fleet.scheduler.worker_registered(entry, fleet.now_s)
        fleet.unreachable.add(cut)
        fleet.run_for(0.6)
        if is_taken_over:
            fleet.take_over()
        fleet.scheduler.worker_unregistered(cut)
        fleet.clock.advance(0.6)
        fleet.run_for(WATCHED_S)
        assert fleet.violations() == []
