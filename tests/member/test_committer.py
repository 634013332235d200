"""Tests of background commits of the scheduler's changes."""

import queue
import threading

import msgspec
import pytest

from fleet_support import Fleet, registration, task_resources
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import JobId, MemberId, Revision
from gooseberrydeck_coordination.store import Transaction, TransactionResult
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.work import StepSpec
from gooseberrydeck_member.committer import (
    COMMIT_RETRY_DELAY_S,
    IN_FLIGHT_COMMIT_WINDOW_S,
    WORKERS_RECORD_INTERVAL_S,
    CommitDone,
    Committer,
    WorkersRecorded,
)
from gooseberrydeck_member.keys import WORKERS_KEY, ended_key
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.shard_lock import ShardLock, ShardLostError
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

TASK_RESOURCES = task_resources()
TIMEOUT_S = 1.0
WAIT_S = 20.0


class GatedStore(EngineStore):
    """A store that blocks transactions while its gate is closed."""

    def __init__(self, engine: StoreEngine) -> None:
        super().__init__(engine, waits=False)
        self.gate = threading.Event()
        self.gate.set()
        self.entered = threading.Semaphore(0)

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        self.entered.release()
        assert self.gate.wait(WAIT_S)
        return super().commit(transaction, timeout_s)


class CommitterFixture:
    def setup_method(self) -> None:
        self.fleet = Fleet()
        self.fleet.is_store_available = False
        self.store = GatedStore(StoreEngine(ManualClock()))
        self.shard_lock = ShardLock(self.store, MemberId("m1"), "m1:1", "run-1")
        self.claim(self.shard_lock)
        while self.store.entered.acquire(blocking=False):
            pass
        self.messages: queue.SimpleQueue[object] = queue.SimpleQueue()
        self.committer = Committer(
            self.store,
            self.shard_lock,
            self.fleet.scheduler.changes,
            Metrics(),
            self.messages.put,
        )
        self.now_s = 100.0

    def teardown_method(self) -> None:
        self.store.gate.set()
        self.committer.close()

    def claim(self, shard_lock: ShardLock) -> None:
        assert shard_lock.claim(shard_lock.read(TIMEOUT_S), (), 2.0, TIMEOUT_S)

    def complete_job(self, name: str) -> None:
        self.fleet.submit(name, StepSpec(1, TASK_RESOURCES), seconds=0.1)
        self.fleet.run_for(0.3)

    def send(self) -> None:
        """Advance the time past the window in which changes are collected."""
        self.committer.send_due(self.now_s)
        self.now_s += IN_FLIGHT_COMMIT_WINDOW_S
        self.committer.send_due(self.now_s)

    def next_result(self) -> CommitDone:
        message = self.messages.get(timeout=WAIT_S)
        assert isinstance(message, CommitDone)
        return message


class TestSlowStore(CommitterFixture):
    def test_changes_are_sent_while_an_earlier_commit_is_in_flight(self) -> None:
        # With one commit at a time, jobs were shown as completed 1.3 to 1.9 s late
        # while each store call took 0.25 s (bench, lauree-nord trouble-2).
        self.store.gate.clear()
        for name in ("a", "b"):
            self.complete_job(name)
            self.send()
            assert self.store.entered.acquire(timeout=WAIT_S)
        self.store.gate.set()
        for _ in range(2):
            self.committer.commit_completed(self.next_result(), self.now_s)
        assert {"a", "b"} <= self.fleet.scheduler.changes.ended.keys()

    def test_one_commit_at_a_time_is_sent_after_a_failure(self) -> None:
        self.store.fault = CallFault.DOWN
        self.complete_job("a")
        self.send()
        self.committer.commit_completed(self.next_result(), self.now_s)
        self.store.gate.clear()
        self.now_s += COMMIT_RETRY_DELAY_S
        self.send()
        self.complete_job("b")
        self.send()
        assert self.committer.in_flight == 1
        self.store.fault = CallFault.NONE
        self.store.gate.set()
        self.committer.commit_completed(self.next_result(), self.now_s)
        self.send()
        self.committer.commit_completed(self.next_result(), self.now_s)
        assert {"a", "b"} <= self.fleet.scheduler.changes.ended.keys()

    def test_loss_of_the_shard_is_raised(self) -> None:
        self.claim(ShardLock(self.store, MemberId("m2"), "m2:1", "run-2"))
        self.complete_job("a")
        self.send()
        with pytest.raises(ShardLostError):
            self.committer.commit_completed(self.next_result(), self.now_s)


class TestLaterHolding(CommitterFixture):
    """The same process has lost the shard and claimed it again."""

    def test_change_of_an_earlier_holding_is_not_stored(self) -> None:
        # The condition was evaluated when a thread of the executor came to it.
        self.complete_job("a")
        changes = self.fleet.scheduler.changes.take_batch(10, 0.0)
        self.claim(ShardLock(self.store, MemberId("m2"), "m2:1", "run-2"))
        self.claim(self.shard_lock)
        self.committer.commit(changes)
        assert self.next_result().outcome is None
        assert self.store.read(ended_key(JobId("a")), TIMEOUT_S) is None

    def test_record_of_workers_of_an_earlier_holding_is_not_stored(self) -> None:
        self.claim(ShardLock(self.store, MemberId("m2"), "m2:1", "run-2"))
        self.claim(self.shard_lock)
        self.committer.write_workers([registration("w1")], Revision(0))
        assert self.store.read(WORKERS_KEY, TIMEOUT_S) is None


class TestWorkersRecord(CommitterFixture):
    def write_record(self, *names: str, revision: Revision) -> WorkersRecorded:
        entries = [registration(name) for name in names]
        self.committer.write_workers(entries, revision)
        message = self.messages.get(timeout=WAIT_S)
        assert isinstance(message, WorkersRecorded)
        return message

    def stored_workers(self) -> list[str]:
        entry = self.store.read(WORKERS_KEY, TIMEOUT_S)
        assert entry is not None
        return [
            each.worker
            for each in msgspec.json.decode(entry.value, type=list[Registration])
        ]

    def test_late_write_does_not_replace_a_newer_record(self) -> None:
        first = self.write_record("w1", revision=Revision(0))
        self.write_record("w1", "w2", revision=first.revision)
        late = self.write_record("w1", revision=first.revision)
        assert late.entries is None
        assert self.stored_workers() == ["w1", "w2"]

    def test_new_worker_is_recorded_while_commits_are_in_flight(self) -> None:
        # With a slow store and many run ends a commit is always in flight; the record
        # of workers must not wait for that to change.
        self.complete_job("a")
        self.store.gate.clear()
        self.send()
        assert self.store.entered.acquire(timeout=WAIT_S)
        worker = self.fleet.add_worker("new")
        self.now_s += WORKERS_RECORD_INTERVAL_S
        self.committer.send_due(self.now_s)
        self.store.gate.set()
        messages = [self.messages.get(timeout=WAIT_S) for _ in range(2)]
        (recorded,) = [each for each in messages if isinstance(each, WorkersRecorded)]
        self.committer.workers_recorded(recorded)
        assert self.fleet.scheduler.ledger.workers[worker].is_recorded

    def test_refused_write_reads_the_revision_for_the_next_write(self) -> None:
        self.write_record("w1", revision=Revision(0))
        refused = self.write_record("w2", revision=Revision(0))
        assert refused.entries is None
        assert self.write_record("w2", revision=refused.revision).entries is not None
        assert self.stored_workers() == ["w2"]
