"""Tests of records in the store that no member can read."""

import time

import msgspec
import pytest
from structlog.testing import capture_logs

from fleet_support import SLOW, TEAM, make_configuration, task_resources
from followed_task import FollowedTask
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.exceptions import (
    RecordUnreadableError,
    StoreError,
)
from gooseberrydeck_coordination.ids import JobId, MemberId, Revision
from gooseberrydeck_coordination.store import Put, Transaction
from gooseberrydeck_fleet.work import JobRecord, StepSpec, WorkSpec
from gooseberrydeck_member.job_lookups import JobLookups
from gooseberrydeck_member.jobs import JobStore
from gooseberrydeck_member.keys import (
    JOB_PREFIX,
    SHARD_KEY,
    WORKERS_KEY,
    ended_key,
    job_key,
    progress_key,
)
from gooseberrydeck_member.shard_lock import ShardLock
from gooseberrydeck_member.store_follower import (
    PrefixChanged,
    PrefixRead,
)
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.store_engine import StoreEngine
from odd_values import deep, with_raw

TIMEOUT_S = 1.0
BAD = JobId("bad")
ODD_VALUES = {
    "deep": deep(2_000),
    "deep field": with_raw({"X": "RAW"}, deep(100_000)),
    "number": b"9" * 5_000,
    "float": b"[1e400]",
    "bytes": b"\xff",
    "empty": b"",
    "other type": b'[{"id":5}]',
}

odd_values = pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES)


def job_entry(name: str) -> Put:
    work = WorkSpec(steps=(StepSpec(1, task_resources()),))
    record = JobRecord(JobId(name), SLOW, TEAM, work, 1.0)
    return Put(job_key(record.id), msgspec.json.encode(record))


@odd_values
class TestJobs:
    def setup_method(self) -> None:
        self.followed = FollowedTask()
        self.task = self.followed.task
        self.task.handle(make_configuration(), 0.0)

    def teardown_method(self) -> None:
        self.task.shut_down()

    def jobs(self) -> set[str]:
        return {str(job) for job in self.task.scheduler.ledger.jobs}

    # Guards against holders that crash one after the other on one record.
    def test_holder_takes_over_beside_an_unreadable_job(self, odd: bytes) -> None:
        self.followed.store_entries(
            job_entry("a"), Put(job_key(BAD), odd), job_entry("z")
        )
        with capture_logs() as logs:
            self.task.load()
        assert self.jobs() == {"a", "z"}
        lines = [each for each in logs if each["event"] == "record unreadable"]
        assert [each["key"] for each in lines] == [job_key(BAD)]
        assert self.followed.ignored("record") == 1

    # Guards against tasks that run again: without the progress it is not known which of
    # them have ended.
    def test_job_with_unreadable_progress_is_left_alone(self, odd: bytes) -> None:
        self.followed.store_entries(
            job_entry("a"), job_entry("bad"), Put(progress_key(BAD), odd)
        )
        self.task.load()
        assert self.jobs() == {"a"}
        assert self.followed.ignored("record") == 1

    # Guards against tasks that run twice: a successor has to know the workers on which
    # its predecessor's tasks may run.
    def test_unreadable_record_of_workers_is_no_empty_one(self, odd: bytes) -> None:
        self.followed.store_entries(Put(WORKERS_KEY, odd))
        with pytest.raises(RecordUnreadableError):
            self.task.load()

    def test_holder_goes_on_after_an_unreadable_job(self, odd: bytes) -> None:
        self.task.load()
        revision = self.task.scheduler.jobs_revision
        self.followed.store_entries(Put(job_key(BAD), odd), job_entry("a"))
        watch = self.followed.store.watch(JOB_PREFIX, Revision(revision + 1), TIMEOUT_S)
        self.task.handle(PrefixChanged(JOB_PREFIX, next(iter(watch))), 0.0)
        assert self.jobs() == {"a"}
        self.followed.store_entries(job_entry("b"))
        snapshot = self.followed.store.read_prefix(JOB_PREFIX, TIMEOUT_S)
        self.task.handle(PrefixRead(JOB_PREFIX, snapshot.entries), 0.0)
        assert self.jobs() == {"a", "b"}
        assert self.followed.ignored("record") == 2


@odd_values
class TestOtherReaders:
    def setup_method(self) -> None:
        self.store = EngineStore(StoreEngine(ManualClock()), waits=False)

    def put(self, key: str, value: bytes) -> None:
        self.store.commit(Transaction((), (Put(key, value),)), TIMEOUT_S)

    # Guards against callers that get no answer: 503 says that it is not known here.
    def test_unreadable_job_is_a_failure_of_the_store(
        self, odd: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("gooseberrydeck_member.jobs.back_off", lambda _: None)
        self.put(job_key(BAD), odd)
        self.put(ended_key(JobId("gone")), odd)
        jobs = JobStore(self.store)
        deadline_s = time.monotonic() + 5.0
        for job in (BAD, JobId("gone")):
            with pytest.raises(StoreError):
                jobs.state(job, deadline_s)
            with pytest.raises(StoreError):
                jobs.cancel(job, deadline_s)
        with pytest.raises(StoreError):
            jobs.failure(JobId("gone"), deadline_s)

    def test_lookup_of_an_unreadable_job_fails(self, odd: bytes) -> None:
        for key in (job_key(BAD), progress_key(BAD), ended_key(BAD)):
            self.put(key, odd)
            with pytest.raises(StoreError):
                JobLookups(self.store, lambda _: None).read(BAD)

    # Guards against a member that ends by itself: the control task reads the record.
    def test_unreadable_shard_is_a_failure_of_the_store(self, odd: bytes) -> None:
        self.put(SHARD_KEY, odd)
        lock = ShardLock(self.store, MemberId("m1"), "m1:1", "run-1")
        with pytest.raises(StoreError):
            lock.read(TIMEOUT_S)
