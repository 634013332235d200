"""Tests of what a new holder takes from the store and from late notifications."""

from collections.abc import Iterator

import msgspec
import pytest

from fleet_support import (
    SLOW,
    TEAM,
    URGENT,
    Fleet,
    make_configuration,
    queue,
    registration,
    task_resources,
)
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.decoding import DecodingError
from gooseberrydeck_coordination.ids import JobId, MemberId, Revision
from gooseberrydeck_coordination.store import (
    Delete,
    Entry,
    EventKind,
    Put,
    Transaction,
    WatchBatch,
    WatchEvent,
)
from gooseberrydeck_fleet.commands import Changes, JobEnding, ProgressWrite
from gooseberrydeck_fleet.configuration import FleetConfiguration
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.progress import Progress, StepProgress, encode_progress
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.start_permission import StartObstacle, find_start_obstacle
from gooseberrydeck_fleet.state import CLOCK_DRIFT, MAX_TASK_LEASE_S
from gooseberrydeck_fleet.work import EndedJob, JobRecord, JobState, StepSpec, WorkSpec
from gooseberrydeck_fleet.worker_calls import (
    EndKind,
    EndReport,
    PollReply,
    WorkerCalls,
    WorkerSilentError,
)
from gooseberrydeck_member.advice_pool import AdvicePool
from gooseberrydeck_member.authority import (
    AUTHORITY_TIMEOUT_S,
    Authority,
    boottime_clock_s,
)
from gooseberrydeck_member.commits import commit_changes
from gooseberrydeck_member.job_lookups import (
    JobAbsent,
    JobFound,
    JobLookups,
    LookupFailed,
)
from gooseberrydeck_member.jobs import JobStore
from gooseberrydeck_member.keys import JOB_PREFIX, WORKERS_KEY, job_key, progress_key
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_messages import JobAccepted
from gooseberrydeck_member.peers import PeerClient
from gooseberrydeck_member.predecessors import NO_PREDECESSORS, Predecessors
from gooseberrydeck_member.scheduler_task import SchedulerTask
from gooseberrydeck_member.shard_lock import ShardLock
from gooseberrydeck_member.store_follower import PrefixChanged
from gooseberrydeck_member.worker_dispatcher import PollSucceeded
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

SILENT = Predecessors(("former:1",), ("former",), are_limited=False)
TIMEOUT_S = 1.0
NO_DEADLINE_S = float("inf")
JOB = JobId("0123456789abcdef")
NEWER_REVISION = 1_000
"""A revision that the store doesn't reach in these tests."""


class SilentWorker:
    """A worker that answers no call."""

    def poll(self, *_arguments: object) -> None:
        raise WorkerSilentError("silent")

    start = stop = throttle = poll

    def close(self) -> None:
        """Do nothing."""


def connect(_entry: Registration) -> WorkerCalls:
    return SilentWorker()  # type: ignore[return-value]


def refuse_registration(_key: str, _value: bytes) -> Registration:
    raise DecodingError("spoiled")


class Successor:
    """A store with one job, and a holder that takes over from another one."""

    def __init__(self) -> None:
        self.store = EngineStore(StoreEngine(ManualClock()), waits=False)
        self.jobs = JobStore(self.store)
        self.predecessor = self.claim("m1")
        work = WorkSpec(steps=(StepSpec(2, task_resources()),))
        self.record = JobRecord(JOB, SLOW, TEAM, work, 1.0)
        self.tasks: list[SchedulerTask] = []

    def claim(self, name: str) -> ShardLock:
        shard_lock = ShardLock(self.store, MemberId(name), f"{name}:1", f"run-{name}")
        assert shard_lock.claim(shard_lock.read(TIMEOUT_S), (), 2.0, TIMEOUT_S)
        return shard_lock

    def accept(self) -> JobAccepted:
        """Store the job and return the notification of it."""
        revision = self.jobs.accept(self.record, NO_DEADLINE_S)
        assert revision is not None
        return JobAccepted(self.record, int(revision))

    def progress(self) -> None:
        """Store that the job's first task is done, as the predecessor does."""
        value = encode_progress(Progress([StepProgress(0, 0, done=1)]))
        changes = Changes((ProgressWrite(JOB, value, 0),), (), {})
        self.commit(changes)

    def end(self) -> None:
        """Store the job's end, as the predecessor does."""
        ended = EndedJob(JobState.COMPLETED, 2.0)
        changes = Changes((), (JobEnding(JOB, ended, 0),), {})
        self.commit(changes)

    def commit(self, changes: Changes) -> None:
        """Store changes of the predecessor."""
        ownership = self.predecessor.ownership_condition()
        assert commit_changes(self.store, ownership, changes, TIMEOUT_S).stored

    def record_worker(
        self,
        may_hold_longest_lease: bool = False,
        late_starts: tuple[TaskRef, ...] = (),
    ) -> None:
        """Store a worker that the predecessor may have started tasks on."""
        entry = registration("w0", may_hold_longest_lease=may_hold_longest_lease)
        entry = msgspec.structs.replace(entry, late_starts=late_starts)
        value = msgspec.json.encode([entry])
        put = Put(WORKERS_KEY, value)
        assert self.store.commit(Transaction((), (put,)), TIMEOUT_S).succeeded

    def spoil_registration(self) -> None:
        """Replace the registration of the recorded worker by unreadable bytes."""
        put = Put("servers/w0", b"?")
        assert self.store.commit(Transaction((), (put,)), TIMEOUT_S).succeeded

    def take_over(
        self,
        *notifications: JobAccepted,
        was_silent: bool = False,
        has_stopped: bool = False,
        configuration: FleetConfiguration | None = None,
    ) -> SchedulerTask:
        """Claim the shard and load the stored state.

        The notifications arrive between the claim and the end of loading, and so does
        the confirmation of a predecessor that ``has_stopped``.
        """
        authority = Authority()
        authority.confirm(boottime_clock_s())
        task = SchedulerTask(
            self.store,
            self.claim("m2"),
            authority,
            Fleet(workers=0).timing,
            AdvicePool(None, PeerClient()),
            connect,
            refuse_registration,
            "servers/",
            Metrics(),
            predecessors=SILENT if was_silent else NO_PREDECESSORS,
        )
        self.tasks.append(task)
        task.set_configuration(configuration or make_configuration())
        if has_stopped:
            task.predecessor_stopped()
        for notification in notifications:
            task.job_accepted(notification)
        assert task.take_over()
        return task


@pytest.fixture
def successor() -> Iterator[Successor]:
    case = Successor()
    yield case
    for task in case.tasks:
        task.shut_down()


class TestLateNotifications:
    # A notification of a job that had ended under the predecessor started it again.
    def test_notification_older_than_the_takeover_starts_nothing(
        self, successor: Successor
    ) -> None:
        notification = successor.accept()
        successor.end()
        task = successor.take_over()
        task.handle(notification, 0.0)
        assert JOB not in task.scheduler.ledger.jobs

    # The same notification, handled before the stored jobs had been read.
    def test_notification_before_loading_starts_nothing(
        self, successor: Successor
    ) -> None:
        notification = successor.accept()
        successor.end()
        task = successor.take_over(notification)
        assert JOB not in task.scheduler.ledger.jobs

    def test_notification_newer_than_the_takeover_adds_the_job(
        self, successor: Successor
    ) -> None:
        task = successor.take_over()
        task.handle(successor.accept(), 0.0)
        assert JOB in task.scheduler.ledger.jobs


class TestNotificationsWhileLoading:
    # A job announced while the stored state was being loaded counted as new, so its
    # tasks started beside the predecessor's runs on workers that had not reported.
    def test_announced_job_of_the_predecessor_waits_for_the_workers(
        self, successor: Successor
    ) -> None:
        successor.record_worker()
        notification = successor.accept()
        task = successor.take_over(notification)
        job = task.scheduler.ledger.jobs[JOB]
        assert job.predates_takeover
        assert job.may_have_unknown_runs

    # Such a job was not held back even if it was new and the predecessor still acted,
    # because no worker was registered yet that had to report.
    def test_new_job_announced_while_loading_waits_for_the_workers(
        self, successor: Successor
    ) -> None:
        successor.record_worker()
        notification = JobAccepted(successor.record, NEWER_REVISION)
        task = successor.take_over(notification, was_silent=True)
        assert task.scheduler.ledger.jobs[JOB].may_have_unknown_runs


class TestWorkersWithoutRuns:
    # A successor waited for each registered worker that had died, though no holder had
    # started anything there. Long-running tasks stood still meanwhile (issue 45).
    def test_worker_that_no_predecessor_recorded_is_not_waited_for(
        self, successor: Successor
    ) -> None:
        successor.record_worker()
        task = successor.take_over(was_silent=True)
        now_s = task.clock.monotonic()
        for name in ("w0", "w1"):
            task.workers.add_worker(registration(name), now_s)
        expiry_s = {
            worker.id: worker.lease_expiry_s - now_s
            for worker in task.scheduler.ledger.workers.values()
        }
        assert expiry_s["w0"] > AUTHORITY_TIMEOUT_S
        assert expiry_s["w1"] <= 0.0


class TestConfirmationsOfPredecessors:
    # After a planned hand-over, long-running tasks on workers that had died stood still
    # for 12.6 s: the former holder's confirmation came before the workers were read and
    # limited the wait for none of them (issue 45).
    def test_confirmation_while_loading_limits_the_wait_for_silent_workers(
        self, successor: Successor
    ) -> None:
        successor.record_worker()
        task = successor.take_over(was_silent=True, has_stopped=True)
        (worker,) = task.scheduler.ledger.workers.values()
        lease_s = MAX_TASK_LEASE_S / (1 - CLOCK_DRIFT)
        assert worker.lease_expiry_s <= task.clock.monotonic() + lease_s

    def test_confirmation_does_not_end_the_wait(self, successor: Successor) -> None:
        successor.record_worker()
        task = successor.take_over(was_silent=True, has_stopped=True)
        (worker,) = task.scheduler.ledger.workers.values()
        assert worker.lease_expiry_s > task.claimed_s + MAX_TASK_LEASE_S


class TestClocks:
    # A crash that a reply showed before the first decision was logged as a silence of
    # minus 1.8e9 s, and its record had no time of day to compare others with.
    def test_time_of_day_is_known_before_the_first_reply(
        self, successor: Successor
    ) -> None:
        task = successor.take_over()
        offset_s = task.clock.wall() - task.clock.monotonic()
        assert abs(task.scheduler.crashes.wall_offset_s - offset_s) < 60.0


class TestJobsWithoutQueue:
    # A successor with an older configuration dropped the progress of jobs whose queue
    # it lacked, and ran them from the start once the queue was configured.
    def test_progress_is_kept_until_the_queue_is_configured(
        self, successor: Successor
    ) -> None:
        successor.accept()
        successor.progress()
        without_queue = make_configuration(queue(URGENT, 0))
        task = successor.take_over(configuration=without_queue)
        task.handle(make_configuration(version=2), 0.0)
        ledger = task.scheduler.ledger
        assert ledger.jobs[JOB].predates_takeover
        is_done = [ledger.find_task(TaskRef(JOB, 0, 0, n)) for n in range(2)]
        assert [each is not None and each.is_done for each in is_done] == [True, False]


class TestUnreadableRegistrations:
    # A worker whose registration was unreadable at the takeover was not polled, so jobs
    # started again beside or after their runs there.
    def test_recorded_worker_has_to_report_before_jobs_start(
        self, successor: Successor
    ) -> None:
        successor.record_worker()
        successor.spoil_registration()
        successor.accept()
        task = successor.take_over()
        ledger = task.scheduler.ledger
        assert ledger.jobs[JOB].may_have_unknown_runs
        assert WorkerId("w0") in task.workers.poll_states
        assert not ledger.workers[WorkerId("w0")].is_registered

    # Guards against runs that a successor takes for ended while their lease lasts.
    @pytest.mark.parametrize("has_registration", [False, True])
    def test_recorded_longest_lease_is_waited_out(
        self, successor: Successor, has_registration: bool
    ) -> None:
        successor.record_worker(may_hold_longest_lease=True)
        if not has_registration:
            successor.spoil_registration()
        task = successor.take_over()
        expiry_s = task.scheduler.ledger.workers[WorkerId("w0")].lease_expiry_s
        assert expiry_s - task.claimed_s >= task.scheduler.timing.task_lease_s


class TestRecordedLateStarts:
    # Guards against a task that starts while a silent worker may still start it.
    def test_recorded_start_without_a_response_is_waited_for(
        self, successor: Successor
    ) -> None:
        task_ref = TaskRef(JOB, 0, 0, 0)
        successor.record_worker(late_starts=(task_ref,))
        successor.accept()
        task = successor.take_over()
        scheduler = task.scheduler
        scheduler.ledger.workers[WorkerId("w0")].has_reported = True
        scheduler.release_held_jobs()
        started = scheduler.ledger.find_task(task_ref)
        assert started is not None
        assert find_start_obstacle(started) is StartObstacle.MAY_START_LATE


class TestLookups:
    def read(self, successor: Successor) -> JobFound | JobAbsent:
        results: list[object] = []
        lookups = JobLookups(successor.store, results.append)
        lookups.closed.set()
        lookups.run(JOB)
        (result,) = results
        assert isinstance(result, JobFound | JobAbsent)
        return result

    def test_open_job_is_found_with_its_progress(self, successor: Successor) -> None:
        revision = successor.accept().revision
        successor.progress()
        result = self.read(successor)
        assert isinstance(result, JobFound)
        assert (result.record, result.revision) == (successor.record, revision)
        assert result.progress is not None
        assert [step.done for step in result.progress.steps] == [1]

    def test_state_of_an_ended_job_is_found(self, successor: Successor) -> None:
        successor.accept()
        successor.end()
        assert self.read(successor) == JobAbsent(JOB, JobState.COMPLETED)

    def test_job_that_was_never_stored_is_absent(self, successor: Successor) -> None:
        assert self.read(successor) == JobAbsent(JOB, None)

    def test_store_failure_is_reported(self, successor: Successor) -> None:
        successor.store.fault = CallFault.DOWN
        results: list[object] = []
        lookups = JobLookups(successor.store, results.append)
        lookups.closed.set()
        lookups.run(JOB)
        assert results == [LookupFailed(JOB)]

    # The end of a job that was stored after the successor had read the jobs, and that
    # its watch had not delivered yet.
    def test_job_of_a_reported_end_is_added_from_the_store(
        self, successor: Successor
    ) -> None:
        successor.record_worker()
        task = successor.take_over()
        successor.accept()
        end = EndReport(1, TaskRef(JOB, 0, 0, 0), 1_000_001, EndKind.SUCCEEDED, "")
        reply = PollReply(10, 1, (), (end,))
        task.handle(PollSucceeded(WorkerId("w0"), reply, 0.0, task.token), 0.0)
        assert task.scheduler.take_lookups() == [JOB]
        task.handle(task.lookups.read(JOB), 0.0)
        job = task.scheduler.ledger.jobs[JOB]
        assert job.to_progress().steps[0].done == 1

    # A record that can't be decoded left its lookup unanswered, so that no end of the
    # worker was acknowledged any more.
    def test_unreadable_job_is_reported_as_a_failed_lookup(
        self, successor: Successor
    ) -> None:
        put = Put(job_key(JOB), b"\xff")
        assert successor.store.commit(Transaction((), (put,)), TIMEOUT_S).succeeded
        results: list[object] = []
        lookups = JobLookups(successor.store, results.append)
        lookups.closed.set()
        lookups.run(JOB)
        assert results == [LookupFailed(JOB)]


class TestForgottenJobs:
    # A notification that came after its job had ended here and been forgotten started
    # the job again.
    def test_notification_that_the_watch_has_passed_starts_nothing(
        self, successor: Successor
    ) -> None:
        task = successor.take_over()
        notification = successor.accept()
        revision = Revision(notification.revision)
        value = msgspec.json.encode(successor.record)
        entry = Entry(job_key(JOB), value, revision, 1)
        batch = WatchBatch((WatchEvent(EventKind.PUT, entry),), revision)
        task.handle(PrefixChanged(JOB_PREFIX, batch), 0.0)
        task.scheduler.ledger.jobs.clear()
        task.handle(notification, 0.0)
        assert JOB not in task.scheduler.ledger.jobs

    # A watch that was behind by more than the time for which ended jobs are known
    # delivered the job together with its removal, and started it again.
    def test_job_that_is_removed_in_the_same_batch_is_not_added(
        self, successor: Successor
    ) -> None:
        task = successor.take_over()
        successor.accept()
        remove = Transaction((), (Delete(job_key(JOB)),))
        assert successor.store.commit(remove, TIMEOUT_S).succeeded
        watch = successor.store.watch(JOB_PREFIX, Revision(1), TIMEOUT_S)
        task.handle(PrefixChanged(JOB_PREFIX, next(watch)), 0.0)
        assert JOB not in task.scheduler.ledger.jobs


class TestEndedJobs:
    # A write that created the progress was applied late, after the end of the job: the
    # tasks of a later job with the same id counted as done.
    def test_later_job_with_the_same_id_has_no_progress(
        self, successor: Successor
    ) -> None:
        successor.accept()
        successor.end()
        put = Put(progress_key(JOB), encode_progress(Progress([StepProgress(0, 0, 1)])))
        assert successor.store.commit(Transaction((), (put,)), TIMEOUT_S).succeeded
        ended_jobs = successor.take_over().ended_jobs
        ended_jobs.wait = lambda _seconds: False
        ended_jobs.sweep()
        successor.accept()
        job = successor.take_over().scheduler.ledger.jobs[JOB]
        assert not any(step.done for step in job.to_progress().steps)

    def test_removal_ends_with_the_holding(self, successor: Successor) -> None:
        task = successor.take_over()
        task.shut_down()
        task.followers_pool.shutdown(wait=True)
