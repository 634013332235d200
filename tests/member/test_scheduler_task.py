"""Tests of the scheduler's task: its pace, and loading the stored state."""

import time
from collections.abc import Iterator

import msgspec
import pytest

from fleet_support import (
    SLOW,
    TEAM,
    Fleet,
    make_configuration,
    registration,
    task_resources,
)
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import Epoch, JobId, MemberId, Revision
from gooseberrydeck_coordination.store import (
    Entry,
    EventKind,
    Put,
    Transaction,
    WatchBatch,
    WatchEvent,
)
from gooseberrydeck_fleet.ids import StepRef, TaskRef, WorkerId
from gooseberrydeck_fleet.poll_replies import HELD_POLL_S
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.send_permission import SendObstacle
from gooseberrydeck_fleet.work import JobRecord, StepSpec, WorkSpec
from gooseberrydeck_fleet.worker_calls import PollReply, WorkerCalls
from gooseberrydeck_member.advice_pool import AdvicePool
from gooseberrydeck_member.authority import (
    PAUSE_LIMIT_S,
    Authority,
    boottime_clock_s,
)
from gooseberrydeck_member.job_lookups import JobFound
from gooseberrydeck_member.keys import JOB_PREFIX, job_key
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_messages import JobAccepted
from gooseberrydeck_member.peers import PeerClient
from gooseberrydeck_member.predecessors import NO_PREDECESSORS
from gooseberrydeck_member.scheduler_task import TICK_S, SchedulerTask
from gooseberrydeck_member.shard_lock import ShardLock
from gooseberrydeck_member.store_follower import PrefixChanged, PrefixRead
from gooseberrydeck_member.worker_dispatcher import (
    POLL_TIMEOUT_S,
    PollSucceeded,
    StartCompleted,
)
from gooseberrydeck_member.worker_polls import POLL_WAIT_S
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.store_engine import StoreEngine

TIMEOUT_S = 1.0


REGISTRATIONS = "servers/"
WORKER = WorkerId("w1")


def connect(_entry: Registration) -> WorkerCalls:
    return None  # type: ignore[return-value]


@pytest.fixture
def task() -> Iterator[SchedulerTask]:
    store = EngineStore(StoreEngine(ManualClock()), waits=False)
    shard_lock = ShardLock(store, MemberId("m1"), "m1:1", "run-1")
    assert shard_lock.claim(shard_lock.read(TIMEOUT_S), (), 2.0, TIMEOUT_S)
    authority = Authority()
    authority.confirm(boottime_clock_s())
    task = SchedulerTask(
        store,
        shard_lock,
        authority,
        Fleet(workers=0).timing,
        AdvicePool(None, PeerClient()),
        connect,
        lambda key, _value: registration(key.removeprefix(REGISTRATIONS)),
        REGISTRATIONS,
        Metrics(),
        predecessors=NO_PREDECESSORS,
    )
    yield task
    task.shut_down()


class TestPause:
    def test_task_waits_for_a_message_if_nothing_is_left(
        self, task: SchedulerTask
    ) -> None:
        assert task.pause_s() == TICK_S

    def test_task_goes_on_at_once_if_a_decision_left_work(
        self, task: SchedulerTask
    ) -> None:
        task.scheduler.server.waiting.due.add(StepRef(JobId("j"), 0, 0))
        assert task.pause_s() == 0.0

    def test_task_without_authority_does_not_spin(self, task: SchedulerTask) -> None:
        # It decides nothing, so the work that is left stays.
        task.scheduler.server.waiting.due.add(StepRef(JobId("j"), 0, 0))
        task.authority.revoke()
        assert task.pause_s() == TICK_S


class TestAuthority:
    def test_scheduler_knows_when_the_store_confirmed_it(
        self, task: SchedulerTask
    ) -> None:
        task.authority.confirmed_s -= 3.0
        expected_s = time.monotonic() - task.authority.age_s()
        task.run_once()
        confirmed_s = task.scheduler.ledger.authority_confirmed_s
        assert confirmed_s == pytest.approx(expected_s, abs=0.01)

    def test_paused_scheduler_decides_nothing(
        self, task: SchedulerTask, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        decisions: list[float] = []
        monkeypatch.setattr(
            task.scheduler,
            "decide",
            lambda now_s, _wall_s: decisions.append(now_s) or (),
        )
        task.run_once()
        assert task.authority.round_s is not None
        task.authority.round_s -= 2 * PAUSE_LIMIT_S
        task.run_once()
        assert len(decisions) == 1
        task.authority.confirm(boottime_clock_s())
        task.run_once()
        assert len(decisions) == 2


class TestTimeOfMessages:
    # Guards against leases that seem to have lapsed early: a reply that came while
    # others were handled counted as read before it was made.
    def test_reply_is_not_read_before_it_was_made(
        self, task: SchedulerTask, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        made_s: list[float] = []

        def connect_slowly(_entry: Registration) -> WorkerCalls:
            time.sleep(0.02)
            made_s.append(time.monotonic())
            reply = PollReply(5_000, 1, (), ())
            token = task.workers.token_of(WORKER)
            task.inbox.put(PollSucceeded(WORKER, reply, made_s[-1], token))
            return connect(_entry)

        monkeypatch.setattr(task.workers, "connect", connect_slowly)
        monkeypatch.setattr(task.dispatcher, "poll", lambda *_arguments: None)
        entry = Entry(f"{REGISTRATIONS}{WORKER}", b"", Revision(1), 1)
        task.inbox.put(PrefixRead(REGISTRATIONS, (entry,)))
        task.run_once()
        assert task.scheduler.ledger.workers[WORKER].clock_read_s >= made_s[0]


class TestHeldPolls:
    def test_answers_are_late_by_no_more_than_the_scheduler_allows_for(self) -> None:
        assert HELD_POLL_S >= POLL_WAIT_S + POLL_TIMEOUT_S


class TestWithdrawnStarts:
    def test_worker_whose_start_was_withdrawn_is_not_silent(
        self, task: SchedulerTask
    ) -> None:
        worker = WorkerId("w1")
        task.workers.registration_changed(f"{REGISTRATIONS}{worker}", b"", 0.0)
        known = task.scheduler.ledger.workers[worker]
        known.is_reachable = True
        ref = TaskRef(JobId("a"), 0, 0, 0)
        silent = SendObstacle.WORKER_SILENT
        withdrawn = StartCompleted(worker, ref, 1, None, False, obstacle=silent)
        task.handle(withdrawn, 0.0)
        assert known.is_reachable
        task.handle(StartCompleted(worker, ref, 1, None), 0.0)
        assert not known.is_reachable


class TestNewerHolders:
    """Jobs whose member knows a holder that has superseded this one."""

    def make_record(self, holder_token: int) -> JobRecord:
        work = WorkSpec(steps=(StepSpec(1, task_resources()),))
        token = Epoch(holder_token)
        return JobRecord(JobId("a"), SLOW, TEAM, work, 0.0, holder_token=token)

    def messages(self, record: JobRecord) -> dict[str, object]:
        """Return the ways in which a holder learns of a job."""
        entry = Entry(job_key(record.id), msgspec.json.encode(record), Revision(9), 1)
        batch = WatchBatch((WatchEvent(EventKind.PUT, entry),), Revision(9))
        return {
            "notification": JobAccepted(record, 9),
            "watch": PrefixChanged(JOB_PREFIX, batch),
            "read": PrefixRead(JOB_PREFIX, (entry,)),
            "lookup": JobFound(record, 9, None, 0),
        }

    # A holder started jobs of which its successor knew that no former holder had been
    # notified, so that the successor started them as well.
    @pytest.mark.parametrize("way", ["notification", "watch", "read", "lookup"])
    def test_holder_stops_without_adding_the_job(
        self, task: SchedulerTask, way: str
    ) -> None:
        task.load()
        task.jobs.is_loaded = True
        record = self.make_record(int(task.token) + 1)
        task.handle(self.messages(record)[way], 0.0)
        assert record.id not in task.scheduler.ledger.jobs
        assert task.lost.is_set()
        assert not task.authority.may_act()

    def test_holder_stops_that_reads_such_a_job_while_loading(
        self, task: SchedulerTask
    ) -> None:
        record = self.make_record(int(task.token) + 1)
        put = Put(job_key(record.id), msgspec.json.encode(record))
        task.store.commit(Transaction((), (put,)), TIMEOUT_S)
        task.load()
        assert task.lost.is_set()

    @pytest.mark.parametrize("way", ["notification", "watch", "read", "lookup"])
    def test_jobs_of_the_own_or_an_earlier_token_are_added(
        self, task: SchedulerTask, way: str
    ) -> None:
        task.load()
        task.jobs.is_loaded = True
        for token in (int(task.token), 0):
            task.scheduler.ledger.jobs.clear()
            record = self.make_record(token)
            task.handle(self.messages(record)[way], 0.0)
            assert record.id in task.scheduler.ledger.jobs
        assert not task.lost.is_set()


class TestLoading:
    def test_job_announced_while_loading_is_held_like_other_stored_jobs(
        self, task: SchedulerTask
    ) -> None:
        # The predecessor may have started it before it was killed: the announcement of
        # a job may follow seconds after its record while the store is slow.
        work = WorkSpec(steps=(StepSpec(1, task_resources()),))
        record = JobRecord(JobId("a"), SLOW, TEAM, work, 0.0)
        puts = (
            Put(job_key(record.id), msgspec.json.encode(record)),
            Put(f"{REGISTRATIONS}w1", b"{}"),
        )
        revision = task.store.commit(Transaction((), puts), TIMEOUT_S).revision
        task.set_configuration(make_configuration())
        task.job_accepted(JobAccepted(record, int(revision)))
        task.load()
        assert task.scheduler.ledger.jobs[record.id].may_have_unknown_runs
