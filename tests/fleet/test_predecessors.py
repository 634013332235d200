"""Tests of a holder and its successor, one of which doesn't know of the other."""

import pytest

from fleet_support import HOST, STEP_S, Fleet, Rebirth, task_resources
from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_fleet.commands import StartRun
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.work import JobRecord, StepSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_member.authority import AUTHORITY_TIMEOUT_S
from gooseberrydeck_member.shard_lock import TOKENS_PER_CLAIM, next_token
from gooseberrydeck_standins.fleet_worker import FleetWorkerEngine, RunPlan

ONE = task_resources()
HALF_WORKER = task_resources(cores=16)
WHOLE_WORKER = HOST
LONG_S = 60.0
NOTICE_S = 1.5
LEASE_S = 4.3
LAPSE_MARGIN_S = 0.2
QUARANTINE_S = AUTHORITY_TIMEOUT_S + LEASE_S


def extend_leases(engine: FleetWorkerEngine, token: Epoch) -> None:
    """Poll a worker as the holder with a token does."""
    engine.poll(token, 0, int(engine.now_s() * 1000) + 4000)


class TwoHolders:
    """A successor that reaches one of two workers, and a predecessor the other one."""

    def __init__(self, may_predecessor_act: bool = True) -> None:
        self.fleet = Fleet(workers=2)
        self.dark, self.reached = self.fleet.engines
        self.predecessor = self.fleet.scheduler
        self.token = Epoch(self.fleet.token)
        self.fleet.unreachable.add(self.dark)
        self.fleet.take_over(QUARANTINE_S)
        self.claimed_s = self.fleet.now_s
        if may_predecessor_act:
            self.fleet.scheduler.predecessor_may_act(self.claimed_s + NOTICE_S)
        self.predecessor.worker_silent(self.reached, self.claimed_s)

    def store(self, holder_token: int, seconds: float = 3.0) -> JobRecord:
        """Store a job with one task; its member notifies the holder of a token."""
        return self.fleet.store(
            "new", StepSpec(1, ONE), seconds=seconds, holder_token=holder_token
        )

    def start_by_predecessor(self, record: JobRecord) -> None:
        """Let the predecessor start the task on the worker that only it reaches."""
        fleet, engine = self.fleet, self.fleet.engines[self.dark]
        self.predecessor.accept(record, 1)
        for command in self.predecessor.decide(fleet.now_s, fleet.clock.wall()):
            assert isinstance(command, StartRun)
            engine.start(command.request, self.token)
        extend_leases(engine, self.token)
        assert len(engine.runs) == 1

    def watch(self, record: JobRecord) -> None:
        """Let the store's watch bring a job to the successor."""
        self.fleet.scheduler.accept(record, self.fleet.revisions[record.id])

    def wait_for_start(self) -> float:
        """Return how long after the claim the successor starts a task."""
        fleet = self.fleet
        while not fleet.starts and fleet.now_s < self.claimed_s + 2 * QUARANTINE_S:
            fleet.run_for(STEP_S)
        return fleet.now_s - self.claimed_s


class TestJobsOfPredecessors:
    # A predecessor had started a job on a worker that its successor couldn't reach. The
    # watch told the successor of it late, which started it beside that run.
    def test_job_that_the_watch_brings_late_is_held(self) -> None:
        holders = TwoHolders()
        fleet = holders.fleet
        record = holders.store(holders.token)
        holders.start_by_predecessor(record)
        fleet.scheduler.predecessor_stopped(fleet.now_s + LEASE_S)
        fleet.run_for(0.3)
        holders.watch(record)
        holders.wait_for_start()
        fleet.run_for(4.0)
        assert [worker for _, _, worker in fleet.starts] == [holders.reached]
        assert fleet.violations() == []

    # The same while the predecessor acts without the store, until its authority ends.
    @pytest.mark.parametrize("after_s", [NOTICE_S + 0.1, AUTHORITY_TIMEOUT_S - 0.1])
    def test_job_accepted_while_the_predecessor_acts_is_held(
        self, after_s: float
    ) -> None:
        holders = TwoHolders()
        fleet = holders.fleet
        fleet.run_for(after_s)
        record = holders.store(holders.token)
        holders.start_by_predecessor(record)
        holders.watch(record)
        holders.wait_for_start()
        fleet.run_for(4.0)
        assert [worker for _, _, worker in fleet.starts] == [holders.reached]
        assert fleet.violations() == []

    @pytest.mark.parametrize("holder_token", [0, TOKENS_PER_CLAIM])
    def test_job_is_held_until_all_leases_of_the_predecessor_have_lapsed(
        self, holder_token: int
    ) -> None:
        # Records that state no token come from members of an earlier version.
        holders = TwoHolders()
        holders.fleet.run_for(NOTICE_S + 0.1)
        holders.watch(holders.store(holder_token))
        lapsed_s = QUARANTINE_S + LAPSE_MARGIN_S
        started_s = holders.wait_for_start()
        assert lapsed_s <= started_s <= lapsed_s + 0.2

    def test_job_of_a_member_that_knows_the_successor_starts_at_once(self) -> None:
        holders = TwoHolders()
        holders.fleet.run_for(NOTICE_S + 0.1)
        holders.watch(holders.store(holders.fleet.token))
        holders.fleet.run_for(0.1)
        assert len(holders.fleet.starts) == 1

    def test_job_starts_at_once_if_every_worker_has_reported(self) -> None:
        holders = TwoHolders()
        holders.fleet.unreachable.clear()
        holders.fleet.run_for(0.1)
        holders.watch(holders.store(holders.token))
        holders.fleet.run_for(0.1)
        assert len(holders.fleet.starts) == 1

    def test_job_starts_at_once_after_a_predecessor_that_had_stopped(self) -> None:
        holders = TwoHolders(may_predecessor_act=False)
        holders.watch(holders.store(holders.token))
        holders.fleet.run_for(0.1)
        assert len(holders.fleet.starts) == 1


class TestHeldPolls:
    # A poll that a worker held when its successor first reached it told a predecessor
    # of a failure, after which both started the task again.
    def test_failure_that_a_held_poll_tells_a_predecessor_starts_one_run(self) -> None:
        def fails_first(request: StartRequest) -> RunPlan:
            runs.append(request.run)
            return RunPlan(2.5 if len(runs) == 1 else 3.0, ONE, fails=len(runs) == 1)

        runs: list[int] = []
        fleet = Fleet(workers=3)
        fleet.submit("a", StepSpec(1, ONE), plan=fails_first)
        fleet.run_for(0.3)
        (_, _, shared) = fleet.starts[0]
        dark, other = (worker for worker in fleet.engines if worker != shared)
        predecessor, token = fleet.scheduler, Epoch(fleet.token)
        fleet.unreachable |= {dark, shared}
        fleet.take_over(QUARANTINE_S)
        fleet.scheduler.predecessor_may_act(fleet.now_s + NOTICE_S)
        extend_leases(fleet.engines[shared], token)
        fleet.run_for(NOTICE_S + 0.2)
        fleet.unreachable.remove(shared)
        while not fleet.engines[shared].ends:
            fleet.run_for(STEP_S)
        held = fleet.engines[shared].poll(Epoch(fleet.token), 0, None)
        predecessor.poll_answered(shared, held, fleet.now_s)
        predecessor.worker_silent(shared, fleet.now_s)
        predecessor.worker_silent(other, fleet.now_s)
        for command in predecessor.decide(fleet.now_s, fleet.clock.wall()):
            if isinstance(command, StartRun):
                fleet.engines[command.worker].start(command.request, token)
        assert len(fleet.engines[dark].runs) == 1
        extend_leases(fleet.engines[dark], token)
        fleet.run_for(QUARANTINE_S + 4.0)
        assert fleet.violations() == []

    @pytest.mark.parametrize("fails", [True, False])
    @pytest.mark.parametrize(("seconds", "starts"), [(1.5, 1), (1.9, 2)])
    def test_ends_count_at_once_after_held_polls(
        self, seconds: float, starts: int, fails: bool
    ) -> None:
        # The second start repeats the failed task or is that of the dependent step.
        reached_s = NOTICE_S + 0.2
        plan = RunPlan(0.3 + reached_s + seconds, ONE, fails=fails)
        fleet = Fleet(workers=3)
        fleet.submit(
            "a", StepSpec(1, ONE), StepSpec(1, ONE, after=(0,)), plan=lambda _: plan
        )
        fleet.run_for(0.3)
        (_, _, shared) = fleet.starts[0]
        dark, _ = (worker for worker in fleet.engines if worker != shared)
        extend_leases(fleet.engines[shared], Epoch(fleet.token))
        fleet.unreachable |= {dark, shared}
        fleet.take_over(QUARANTINE_S)
        fleet.scheduler.predecessor_may_act(fleet.now_s + NOTICE_S)
        fleet.run_for(reached_s)
        fleet.unreachable.remove(shared)
        while not fleet.engines[shared].ends:
            fleet.run_for(STEP_S)
        fleet.run_for(0.5)
        assert len(fleet.starts) == starts


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
            extend_leases(engine, next_token(Epoch(fleet.token)))
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


class TestRepeatedTakeovers:
    """A worker has died, and the holder is replaced again and again."""

    def setup_method(self) -> None:
        self.fleet = Fleet(workers=3)
        self.fleet.rebirth = Rebirth.NEVER
        self.job = self.fleet.submit(
            "a", StepSpec(3, HALF_WORKER, is_standing=True), seconds=600.0
        )
        self.fleet.run_for(1.0)
        _, _, self.dead = self.fleet.starts[0]
        self.fleet.crash_worker(self.dead)
        self.fleet.down.clear()

    def recorded(self) -> set[WorkerId]:
        return {entry.worker for entry in self.fleet.workers_record}

    # Each successor waited anew for the leases of a worker that had been dead for long,
    # and long-running tasks lost later stood still (issue 45).
    def test_worker_whose_leases_have_expired_is_not_waited_for_again(self) -> None:
        fleet = self.fleet
        fleet.run_for(LEASE_S + 4.0)
        assert len(fleet.running(self.job)) == 3
        assert self.dead not in self.recorded()
        fleet.take_over(QUARANTINE_S)
        fleet.run_for(1.0)
        assert not fleet.scheduler.takeover.held

    def test_worker_is_recorded_again_before_anything_starts_there(self) -> None:
        fleet = self.fleet
        fleet.run_for(LEASE_S + 1.0)
        fleet.rebirth = Rebirth.SAME_ID
        fleet.start_again(self.dead)
        fleet.is_store_available = False
        full = StepSpec(8, WHOLE_WORKER)
        fleet.submit("b", full, seconds=600.0)
        before = len(fleet.starts)
        fleet.run_for(1.0)
        started = {worker for _, _, worker in fleet.starts[before:]}
        assert self.dead not in started
        fleet.is_store_available = True
        fleet.run_for(2.0)
        assert self.dead in self.recorded()
        started = {worker for _, _, worker in fleet.starts[before:]}
        assert self.dead in started

    # A record that was on its way when the leases expired lists the worker.
    def test_late_record_does_not_count_for_a_worker_that_has_lapsed(self) -> None:
        fleet = self.fleet
        changes = fleet.scheduler.changes
        listed = list(fleet.workers_record)
        fleet.run_for(LEASE_S + 1.0)
        changes.workers_recorded(listed)
        assert not fleet.scheduler.ledger.workers[self.dead].is_recorded
