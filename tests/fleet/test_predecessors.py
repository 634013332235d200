"""Tests of what a holder may do beside a successor that it doesn't know of."""

from fleet_support import Fleet, task_resources
from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_fleet.work import StepSpec
from gooseberrydeck_member.authority import AUTHORITY_TIMEOUT_S
from gooseberrydeck_member.worker_polling import worker_token

ONE = task_resources()
LONG_S = 60.0


class TestHolderWithoutStore:
    # A holder cut off from the store and from a worker took the worker's leases for
    # lapsed, which its successor had extended, and started the tasks a second time.
    def test_task_runs_on_under_a_successor_that_extends_its_lease(self) -> None:
        fleet = Fleet(workers=2)
        fleet.submit("a", StepSpec(1, ONE), seconds=LONG_S)
        fleet.run_for(0.3)
        (_, _, worker) = fleet.starts[0]
        engine = fleet.engines[worker]
        fleet.unreachable.add(worker)
        fleet.is_store_available = False
        for _ in range(round(AUTHORITY_TIMEOUT_S)):
            until_ms = int(engine.now_s() * 1000) + 4000
            engine.poll(worker_token(Epoch(fleet.token + 1), 0), 0, until_ms)
            fleet.run_for(1.0)
        assert fleet.violations() == []
        assert len(fleet.starts) == 1

    def test_task_starts_elsewhere_if_no_successor_came_before_its_lease_lapsed(
        self,
    ) -> None:
        fleet = Fleet(workers=2)
        fleet.submit("a", StepSpec(1, ONE), seconds=LONG_S)
        fleet.run_for(0.3)
        (_, _, silent) = fleet.starts[0]
        fleet.unreachable.add(silent)
        fleet.is_store_available = False
        fleet.run_for(0.1)
        lapsed_s = fleet.scheduler.ledger.workers[silent].lease_expiry_s
        fleet.scheduler.authority_confirmed(lapsed_s - 0.001)
        fleet.run_for(AUTHORITY_TIMEOUT_S)
        assert len(fleet.starts) == 1
        fleet.scheduler.authority_confirmed(lapsed_s)
        fleet.run_for(0.2)
        assert len(fleet.starts) == 2
        assert fleet.violations() == []
