"""Tests of the removal of records of ended jobs."""

from itertools import pairwise

import msgspec
import pytest

from fleet_support import SLOW, TEAM, task_resources
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import JobId, MemberId
from gooseberrydeck_coordination.store import Put, Transaction, TransactionResult
from gooseberrydeck_fleet.commands import Changes, JobEnding, ProgressWrite
from gooseberrydeck_fleet.work import EndedJob, JobRecord, JobState, StepSpec, WorkSpec
from gooseberrydeck_member.commits import build_transaction, commit_changes
from gooseberrydeck_member.ended_jobs import (
    CALL_INTERVAL_S,
    KEEP_MARGIN_S,
    MAX_BATCH_RECORDS,
    RETRY_DELAY_S,
    EndedJobRemover,
)
from gooseberrydeck_member.jobs import JobStore
from gooseberrydeck_member.keys import (
    ENDED_PREFIX,
    PROGRESS_PREFIX,
    SHARD_KEY,
    ended_key,
    job_key,
    progress_key,
)
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.shard_lock import ShardLock
from gooseberrydeck_member.stored_state import read_stored_state
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

TIMEOUT_S = 1.0
STATUS_S = 120.0
KEPT_S = STATUS_S + KEEP_MARGIN_S
JOB = JobId("0123456789abcdef")
MAX_ENTRIES = 32
WRITES_PER_S = 400
NO_DEADLINE_S = float("inf")


class RecordingStore(EngineStore):
    """A store that keeps the transactions and their times, and refuses large ones."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(StoreEngine(clock), waits=False)
        self.clock = clock
        self.transactions: list[tuple[float, Transaction]] = []

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        entries = len(transaction.compares) + len(transaction.operations)
        assert entries <= MAX_ENTRIES
        self.transactions.append((self.clock.now_s, transaction))
        return super().commit(transaction, timeout_s)


class EndedJobsFixture:
    def setup_method(self) -> None:
        self.clock = ManualClock()
        self.store = RecordingStore(self.clock)
        self.metrics = Metrics()
        self.end_s = 0.0
        self.remover = self.take_over("m1")

    def take_over(self, name: str) -> EndedJobRemover:
        shard_lock = ShardLock(self.store, MemberId(name), f"{name}:1", f"run-{name}")
        assert shard_lock.claim(shard_lock.read(TIMEOUT_S), (), 2.0, TIMEOUT_S)
        remover = EndedJobRemover(
            self.store, shard_lock, STATUS_S, self.metrics, self.clock, self.wait
        )
        state = read_stored_state(self.store, "servers/", TIMEOUT_S)
        remover.state_read(state.jobs_revision)
        return remover

    def wait(self, seconds: float) -> bool:
        """Advance the time; return True at the time at which the holder stops."""
        if self.clock.now_s + seconds >= self.end_s:
            self.clock.now_s = self.end_s
            return True
        self.clock.advance(seconds)
        return False

    def run_for(self, seconds: float, remover: EndedJobRemover | None = None) -> None:
        self.end_s = self.clock.now_s + seconds
        (remover or self.remover).run()

    def end(self, job: str, ended_s: float = 0.0) -> None:
        value = msgspec.json.encode(EndedJob(JobState.COMPLETED, ended_s))
        self.put(ended_key(JobId(job)), value)

    def put(self, key: str, value: bytes) -> None:
        EngineStore.commit(self.store, Transaction((), (Put(key, value),)), TIMEOUT_S)

    def ended(self) -> list[str]:
        entries = self.store.read_prefix(ENDED_PREFIX, TIMEOUT_S).entries
        return [entry.key.removeprefix(ENDED_PREFIX) for entry in entries]

    def removed(self) -> float:
        (family,) = self.metrics.ended_jobs_removed.collect()
        return family.samples[0].value


class TestAge(EndedJobsFixture):
    def test_record_is_kept_for_the_limit_and_removed_after_twice_the_limit(
        self,
    ) -> None:
        self.run_for(10.0)
        self.end("a")
        self.run_for(KEPT_S - 1.0)
        assert self.ended() == ["a"]
        self.run_for(KEPT_S + 10.0)
        assert self.ended() == []
        assert self.removed() == 1

    def test_record_younger_than_the_limit_stays_beside_older_ones(self) -> None:
        self.end("old")
        self.run_for(2 * KEPT_S - 5.0)
        self.end("young")
        self.run_for(10.0)
        assert self.ended() == ["young"]

    # Records state a time of day; hosts' times of day may jump.
    @pytest.mark.parametrize("ended_s", [0.0, 1e12])
    def test_times_of_day_do_not_matter(self, ended_s: float) -> None:
        self.run_for(10.0)
        self.end("a", ended_s)
        self.run_for(KEPT_S - 1.0)
        assert self.ended() == ["a"]
        self.run_for(KEPT_S + 10.0)
        assert self.ended() == []

    def test_late_submission_within_the_limit_finds_the_record(self) -> None:
        work = WorkSpec(steps=(StepSpec(1, task_resources()),))
        record = JobRecord(JOB, SLOW, TEAM, work, 1.0)
        self.run_for(10.0)
        self.end(JOB)
        self.run_for(KEPT_S - 1.0)
        assert JobStore(self.store).accept(record, NO_DEADLINE_S) is None
        assert self.store.read(job_key(JOB), TIMEOUT_S) is None


class TestCancelledBeforeTheSubmission(EndedJobsFixture):
    """Records that keep the submission of a cancelled job from being stored."""

    def test_record_is_removed_after_the_limit(self) -> None:
        jobs = JobStore(self.store)
        assert jobs.cancel(JOB, NO_DEADLINE_S) is None
        self.run_for(KEPT_S - 1)
        assert self.ended() == [JOB]
        self.run_for(KEPT_S + 60)
        assert self.ended() == []

    def test_late_cancelling_leaves_a_later_job_with_the_id(self) -> None:
        jobs = JobStore(self.store)
        jobs.cancel(JOB, NO_DEADLINE_S)
        (_, prevention) = self.store.transactions[-1]
        self.run_for(2 * KEPT_S + 60)
        assert self.ended() == []
        record = JobRecord(JOB, SLOW, TEAM, WorkSpec(steps=(StepSpec(),)), 0.0)
        assert jobs.accept(record, NO_DEADLINE_S) is not None
        assert not self.store.commit(prevention, TIMEOUT_S).succeeded
        assert jobs.state(JOB, NO_DEADLINE_S) is JobState.QUEUED


class TestRates(EndedJobsFixture):
    def test_records_of_a_day_are_removed_within_the_store_s_rates(self) -> None:
        count = 13_000
        for number in range(count):
            self.end(f"{number:016x}")
        successor = self.take_over("m2")
        self.store.transactions.clear()
        self.run_for(2 * KEPT_S - 1.0, successor)
        assert self.ended() == []
        assert self.removed() == count
        times_s = [time_s for time_s, _ in self.store.transactions]
        gaps_s = [later_s - time_s for time_s, later_s in pairwise(times_s)]
        assert min(gaps_s) >= CALL_INTERVAL_S > 10 / WRITES_PER_S

    def test_nothing_is_read_before_the_limit(self) -> None:
        # Neither a takeover nor a short holding costs a call.
        self.end("a")
        calls = dict(self.store.engine.calls)
        self.run_for(KEPT_S)
        assert dict(self.store.engine.calls) == calls


class TestHolders(EndedJobsFixture):
    def test_lost_holder_removes_nothing(self) -> None:
        self.end("a")
        self.run_for(1.0)
        self.take_over("m2")
        self.run_for(3 * KEPT_S)
        assert self.ended() == ["a"]
        assert self.removed() == 0

    def test_late_removal_of_a_lost_holder_has_no_effect(self) -> None:
        self.end("a")
        self.run_for(2 * KEPT_S + 10.0)
        late = self.store.transactions[-1][1]
        assert late.compares[0].key == SHARD_KEY
        self.end("a")
        assert not self.store.commit(late, TIMEOUT_S).succeeded
        assert self.ended() == ["a"]

    def test_successor_removes_what_its_predecessor_left(self) -> None:
        for number in range(40):
            self.end(f"{number:02}")
        self.run_for(2 * KEPT_S + 6.5 * CALL_INTERVAL_S)
        left = self.ended()
        assert 0 < len(left) < 40
        successor = self.take_over("m2")
        self.run_for(KEPT_S, successor)
        assert self.ended() == left
        self.run_for(10.0, successor)
        assert self.ended() == []


class TestStoreFailures(EndedJobsFixture):
    @pytest.mark.parametrize(
        "fault", [CallFault.DOWN, CallFault.REQUEST_LOST, CallFault.ANSWER_LOST]
    )
    @pytest.mark.parametrize("call", range(4))
    def test_failed_call_delays_the_removal(self, fault: CallFault, call: int) -> None:
        for number in range(3 * MAX_BATCH_RECORDS):
            self.end(f"{number:02}")
        successor = self.take_over("m2")
        self.store.next_faults.extend([CallFault.NONE] * call + [fault])
        self.run_for(KEPT_S + 10.0, successor)
        assert self.ended()
        self.run_for(RETRY_DELAY_S, successor)
        assert self.ended() == []

    def test_stale_page_delays_the_removal(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.end("a")
        self.end("b")
        successor = self.take_over("m2")
        stale = self.store.read_page(ENDED_PREFIX, "", TIMEOUT_S)
        self.end("a")
        with monkeypatch.context() as patch:
            patch.setattr(self.store, "read_page", lambda *_, **__: stale)
            self.run_for(KEPT_S + 10.0, successor)
        assert self.ended() == ["a", "b"]
        self.run_for(RETRY_DELAY_S, successor)
        assert self.ended() == ["a"]


class TestLateProgress(EndedJobsFixture):
    """A write that creates the progress of a job is applied after the job's end."""

    def leave_progress(self) -> None:
        late = Changes((ProgressWrite(JOB, b"[]", 0),), (), {})
        transaction = build_transaction(self.remover.ownership, late)
        ended = EndedJob(JobState.COMPLETED, 0.0)
        ending = Changes((), (JobEnding(JOB, ended, 0),), {})
        held = self.remover.ownership
        assert commit_changes(self.store, held, ending, TIMEOUT_S).stored
        assert self.store.commit(transaction, TIMEOUT_S).succeeded

    # The progress stayed without a job, and a later job with the same id got it.
    def test_it_is_removed_with_the_record_of_the_end(self) -> None:
        self.run_for(10.0)
        self.leave_progress()
        self.run_for(KEPT_S)
        assert self.ended() == [JOB]
        self.store.transactions.clear()
        self.run_for(KEPT_S + 10.0)
        ((_, transaction),) = self.store.transactions
        removed = {operation.key for operation in transaction.operations}
        assert removed == {progress_key(JOB), ended_key(JOB)}
        assert self.store.read(progress_key(JOB), TIMEOUT_S) is None
        assert self.removed() == 1

    def test_records_with_progress_fit_in_transactions(self) -> None:
        for number in range(3 * MAX_BATCH_RECORDS):
            self.end(f"{number:02}")
            if number % 4:
                self.put(progress_key(JobId(f"{number:02}")), b"[]")
        self.run_for(2 * KEPT_S + 60.0)
        assert self.ended() == []
        assert not self.store.read_prefix(PROGRESS_PREFIX, TIMEOUT_S).entries

    def test_progress_of_an_open_job_stays(self) -> None:
        self.end("a")
        self.put(progress_key(JOB), b"[]")
        self.run_for(3 * KEPT_S)
        assert self.ended() == []
        assert self.store.read(progress_key(JOB), TIMEOUT_S) is not None
