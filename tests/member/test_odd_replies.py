"""Tests of the scheduler's task with replies of workers at the limits of numbers."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from fleet_support import SLOW, TEAM, make_configuration, task_resources
from followed_task import FollowedTask
from gooseberrydeck_coordination.decoding import MAX_NUMBER
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.work import JobRecord, StepSpec, WorkSpec
from gooseberrydeck_fleet.worker_calls import (
    EndKind,
    EndReport,
    PollReply,
    RunReport,
)
from gooseberrydeck_member.worker_dispatcher import PollSucceeded

WORKER = WorkerId("a")
NUMBERS = st.sampled_from([0, 1, 2, 1_000_000, MAX_NUMBER - 1, MAX_NUMBER])
SIGNED = NUMBERS | st.sampled_from([-1, -MAX_NUMBER])
TASKS = st.builds(
    TaskRef,
    st.sampled_from([JobId("job"), JobId("unknown")]),
    st.sampled_from([0, 1, 10**15 - 1]),
    st.sampled_from([0, 1, 10**15 - 1]),
    st.sampled_from([0, 1, 10**15 - 1]),
)
FLOATS = st.sampled_from([0.0, 50.0, 100.0, float(MAX_NUMBER), -float(MAX_NUMBER)])
REPLIES = st.builds(
    PollReply,
    SIGNED,
    SIGNED,
    st.lists(
        st.builds(RunReport, TASKS, NUMBERS, st.just("c"), FLOATS, FLOATS), max_size=2
    ).map(tuple),
    st.lists(
        st.builds(
            EndReport, NUMBERS, TASKS, NUMBERS, st.sampled_from(EndKind), st.just("")
        ),
        max_size=2,
    ).map(tuple),
)


class TestOddReplies:
    # Guards against holders that crash one after the other on a number of a worker.
    @settings(max_examples=200)
    @given(st.lists(REPLIES, min_size=1, max_size=4))
    def test_scheduler_goes_on_after_any_replies(
        self, replies: list[PollReply]
    ) -> None:
        followed = FollowedTask()
        try:
            self.apply(followed, replies)
        finally:
            followed.task.shut_down()

    def apply(self, followed: FollowedTask, replies: list[PollReply]) -> None:
        """Apply replies, let the scheduler decide, and store what it would store."""
        task = followed.task
        scheduler = task.scheduler
        task.set_configuration(make_configuration())
        followed.put("a")
        task.load()
        task.jobs.loaded()
        work = WorkSpec(steps=(StepSpec(2, task_resources()),))
        task.jobs.add_job(JobRecord(JobId("job"), SLOW, TEAM, work, 0.0), 9, False)
        for now_s, reply in enumerate(replies, start=1):
            task.workers.poll_states[WORKER].poll_sent(now_s)
            token = task.workers.token_of(WORKER)
            task.handle(PollSucceeded(WORKER, reply, now_s, token), now_s)
            scheduler.decide(now_s, 1_700_000_000.0 + now_s)
            scheduler.lease_until_ms(scheduler.ledger.workers[WORKER], now_s)
        changes = scheduler.changes.take_batch(31, 0.0)
        assert msgspec.json.encode(changes)
        entries = scheduler.changes.workers_to_record() or []
        stored = msgspec.json.encode(entries)
        assert msgspec.json.decode(stored, type=list[Registration]) == entries
