"""Tests of the scheduler's task with all jobs that callers may have accepted."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from fleet_support import SLOW, TEAM, make_configuration
from followed_task import FollowedTask
from gooseberrydeck_adapter import CallerCodec
from gooseberrydeck_coordination.decoding import MAX_NUMBER
from gooseberrydeck_coordination.ids import JobId, Revision
from gooseberrydeck_coordination.store import Entry
from gooseberrydeck_fleet.work import InvalidWorkError, JobRecord, validate_work
from odd_values import json_bytes

LARGE = MAX_NUMBER
NUMBERS = st.sampled_from([0, 1, LARGE - 1, LARGE])
STEP_CHANGES = st.one_of(
    st.tuples(st.sampled_from(["Cpu", "MemMb", "Gpu", "Count"]), NUMBERS),
    st.tuples(st.sampled_from(["MaxPerServer", "MayMiss"]), NUMBERS),
    st.tuples(st.sampled_from(["EstimateMs", "TargetMs"]), NUMBERS),
    st.tuples(
        st.sampled_from(
            ["Gang", "LongRunning", "Fills", "SavesProgress", "Speculative"]
        ),
        st.just(True),
    ),
)
JOB_CHANGES = st.one_of(
    st.tuples(st.just("MaxRuns"), st.sampled_from([1, 3, 1_000, LARGE, -LARGE])),
    st.tuples(st.just("FirstRunMs"), st.sampled_from([1, LARGE, -LARGE])),
    st.tuples(st.just("IntervalMs"), NUMBERS),
)
JOBS = st.builds(
    lambda step, job: msgspec.json.encode(
        {"Steps": [{"Count": 2, "Cpu": 1}, {"After": [0], **dict(step)}], **dict(job)}
    ),
    st.lists(STEP_CHANGES, max_size=4),
    st.lists(JOB_CHANGES, max_size=3),
)


class TestOddJobs:
    # Guards against jobs that are accepted and then break each holder in turn.
    @settings(max_examples=200)
    @given(JOBS | json_bytes({"Steps": [{"Count": 1}], "MaxRuns": 2, "Spec": "x"}))
    def test_scheduler_goes_on_after_any_accepted_job(self, body: bytes) -> None:
        try:
            work = CallerCodec().decode_work(body)
            validate_work(work)
        except InvalidWorkError:
            return
        record = JobRecord(JobId("job"), SLOW, TEAM, work, 1_700_000_000.0)
        stored = msgspec.json.encode(record)
        assert msgspec.json.decode(stored, type=JobRecord) == record
        followed = FollowedTask()
        try:
            task = followed.task
            task.handle(make_configuration(), 0.0)
            followed.put("a")
            task.load()
            task.jobs.job_record_changed(Entry("jobs/job", stored, Revision(9), 1))
            worker = task.scheduler.ledger.workers["a"]  # type: ignore[index]
            worker.is_reachable = worker.has_reported = worker.is_recorded = True
            for now_s in (1.0, 2.0, 10.0):
                task.scheduler.decide(now_s, 1_700_000_000.0 + now_s)
            assert msgspec.json.encode(task.scheduler.changes.take_batch(31, 0.0))
        finally:
            followed.task.shut_down()
