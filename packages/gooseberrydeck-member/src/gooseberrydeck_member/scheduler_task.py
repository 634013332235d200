"""The task that runs the scheduler while this member holds the shard.

A single thread owns the scheduler. Other threads and the executors for worker, store
and advice calls reach it through an inbox of messages.
"""

import queue
from collections.abc import Callable
from concurrent.futures import Future

import msgspec
import structlog

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import JobId, QueueName
from gooseberrydeck_coordination.store import PagedStore
from gooseberrydeck_fleet.advice import Advice
from gooseberrydeck_fleet.commands import (
    AskAdvice,
    Command,
    StartRun,
    StopRun,
    ThrottleRun,
)
from gooseberrydeck_fleet.configuration import FleetConfiguration
from gooseberrydeck_fleet.ids import StepRef
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.send_permission import SendObstacle
from gooseberrydeck_fleet.settings import DurationUses, Timing
from gooseberrydeck_fleet.share_policy import SharePolicy
from gooseberrydeck_fleet.state import CLOCK_DRIFT, MAX_TASK_LEASE_S
from gooseberrydeck_fleet.work import JobState
from gooseberrydeck_fleet.worker_calls import StartOutcome, WorkerCalls
from gooseberrydeck_member.advice_pool import AdviceCompleted, AdvicePool
from gooseberrydeck_member.authority import Authority
from gooseberrydeck_member.capacity_reports import CapacityReporter
from gooseberrydeck_member.command_audit import CommandAudit
from gooseberrydeck_member.committer import (
    CommitDone,
    Committer,
    WorkersRecorded,
)
from gooseberrydeck_member.crash_reports import report_crashes
from gooseberrydeck_member.duration_reports import DurationReporter
from gooseberrydeck_member.ended_jobs import EndedJobRemover
from gooseberrydeck_member.evacuations import Evacuations
from gooseberrydeck_member.held_jobs import HeldJobsReporter
from gooseberrydeck_member.job_arrivals import JobArrivals
from gooseberrydeck_member.job_lookups import (
    JobAbsent,
    JobFound,
    JobLookups,
    LookupFailed,
)
from gooseberrydeck_member.keys import JOB_PREFIX
from gooseberrydeck_member.known_ends import KnownEnds
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_messages import JobAccepted
from gooseberrydeck_member.predecessors import Predecessors
from gooseberrydeck_member.run_audit import RunAudit
from gooseberrydeck_member.shard_lock import ShardLock, ShardLostError
from gooseberrydeck_member.sole_mark import SoleMarkWriter, SoleMarkWritten
from gooseberrydeck_member.store_follower import (
    PrefixChanged,
    PrefixConfirmed,
    PrefixRead,
    StoreFollower,
)
from gooseberrydeck_member.stored_state import read_stored_state
from gooseberrydeck_member.team_reports import TeamReporter
from gooseberrydeck_member.threads import SYSTEM_CLOCK, SYSTEM_THREADS, Threads
from gooseberrydeck_member.wait_reports import report_long_waits
from gooseberrydeck_member.worker_dispatcher import (
    MAX_COMMANDS,
    MAX_POLL_THREADS,
    CallFailed,
    CommandCompleted,
    PollSucceeded,
    StartCompleted,
    WorkerDispatcher,
)
from gooseberrydeck_member.worker_polls import WorkerPolls
from gooseberrydeck_member.worker_registry import WorkerRegistry
from gooseberrydeck_service.unreadable_log import UnreadableLog

__all__ = ["SchedulerTask"]

log = structlog.get_logger(__name__)

STORE_TIMEOUT_S = 1.0
"""Timeout of one store call; a slow store responds in a few hundred milliseconds."""

TICK_S = 0.05
"""Interval of timeout checks while the inbox is empty."""

TAKEOVER_RETRY_DELAY_S = 0.15
"""Delay before the stored state is read again after a store error."""

SUPERSEDED_NOTICE_S = 1.5
"""Time within which a predecessor that is still running usually learns that it has been
superseded, from a worker's response or at the next renewal of its lease. One that
reaches neither the store nor a worker that its successor has reached may act for
longer; see ``Authority``."""


class Query(msgspec.Struct):
    """A query from another thread for the state of ``job``.

    If ``job`` is None, the result is the number of waiting jobs by queue.
    """

    job: JobId | None
    result: Future[object]


class PredecessorStopped(msgspec.Struct, frozen=True):
    """The predecessor has confirmed that it sends no more commands."""


class SchedulerTask:
    """Run the scheduler: poll workers, execute its commands and commit its changes."""

    def __init__(
        self,
        store: PagedStore,
        shard_lock: ShardLock,
        authority: Authority,
        timing: Timing,
        advice_pool: AdvicePool,
        connect: Callable[[Registration], WorkerCalls],
        decode_registration: Callable[[str, bytes], Registration],
        registrations: str,
        metrics: Metrics,
        predecessors: Predecessors,
        clock: Clock = SYSTEM_CLOCK,
        threads: Threads = SYSTEM_THREADS,
        evacuations: str | None = None,
        uses: DurationUses | None = None,
        share_policy: SharePolicy | None = None,
    ) -> None:
        """Prepare for scheduling under the shard lock held by ``shard_lock``.

        ``predecessors`` are those that may still be sending commands, ``uses`` what
        learned durations are used for, ``share_policy`` how jobs beyond their team's
        share are ordered. Requests to evacuate a data centre have keys
        below ``evacuations``; None ignores them.
        """
        if shard_lock.held is None:
            raise ShardLostError("this member does not hold the shard")
        self.name = "scheduler"
        self.store = store
        self.shard_lock = shard_lock
        self.authority = authority
        self.advice_pool = advice_pool
        self.registrations = registrations
        self.metrics = metrics
        self.clock = clock
        self.threads = threads
        self.token = shard_lock.held.record.token
        self.inbox = threads.inbox()
        self.scheduler = Scheduler(self.token, timing, uses, share_policy)
        self.held_jobs = HeldJobsReporter(self.scheduler, metrics)
        self.durations = DurationReporter(self.scheduler.ledger.durations, metrics)
        self.capacity_reporter = CapacityReporter(self.scheduler)
        self.teams = TeamReporter(self.scheduler, metrics)
        self.known_ends = KnownEnds()
        self.scheduler.changes.observer = self.known_ends
        self.audit = RunAudit(self.scheduler, self.known_ends, metrics, clock)
        self.stopping = threads.event()
        self.lost = threads.event()
        self.command_audit = CommandAudit(self.scheduler, self.audit, metrics)
        self.dispatcher = WorkerDispatcher(
            self.inbox.put,
            authority.may_act,
            self.command_audit,
            clock,
            threads.executor(MAX_POLL_THREADS, "hold"),
            threads.executor(MAX_COMMANDS, "order"),
        )
        self.committer = Committer(
            store,
            shard_lock,
            self.scheduler.changes,
            metrics,
            self.inbox.put,
            clock,
            threads,
        )
        self.lookups = JobLookups(store, self.inbox.put, threads)
        self.followers = [
            StoreFollower(store, JOB_PREFIX, self.inbox.put, threads),
            StoreFollower(
                store,
                registrations,
                self.inbox.put,
                threads,
                clock,
                posts_confirmations=True,
            ),
        ]
        self.evacuations: Evacuations | None = None
        self.ended_jobs = EndedJobRemover(
            store,
            shard_lock,
            timing.status_s,
            metrics,
            clock,
            self.stopping.wait,
        )
        self.claimed_s = clock.monotonic()
        if predecessors.may_act():
            self.scheduler.predecessor_may_act(self.claimed_s + SUPERSEDED_NOTICE_S)
        self.sole_mark = SoleMarkWriter(
            store, shard_lock, predecessors, self.claimed_s, self.inbox.put, threads
        )
        self.unreadable = UnreadableLog(clock.monotonic)
        if evacuations is not None:
            follower = StoreFollower(store, evacuations, self.inbox.put, threads, clock)
            self.followers.append(follower)
            self.evacuations = Evacuations(
                self.scheduler,
                follower,
                metrics,
                self.unreadable,
                timing.evacuation_s or 0.0,
            )
        self.followers_pool = threads.executor(len(self.followers) + 1, "follow")
        self.jobs = JobArrivals(
            self.scheduler,
            self.known_ends,
            metrics,
            self.unreadable,
            self.token,
            self.lost,
            self.mark_shard_lost,
        )
        self.workers = WorkerRegistry(
            self.scheduler,
            self.dispatcher,
            self.known_ends,
            metrics,
            self.unreadable,
            self.token,
            connect,
            decode_registration,
            registrations,
            self.claimed_s + predecessors.max_lease_s(),
        )
        self.polls = WorkerPolls(
            self.scheduler,
            self.workers,
            self.dispatcher,
            self.audit,
            metrics,
            self.mark_shard_lost,
        )

    # Methods for other threads.

    def set_configuration(self, configuration: FleetConfiguration) -> None:
        """Apply a new version of the configuration."""
        self.inbox.put(configuration)

    def query_state(self, job: JobId, timeout_s: float) -> JobState | None:
        """Return a job's stored state, or None if the job is unknown.

        Raises ``TimeoutError`` if the scheduler thread does not reply in time.
        """
        state = self.query(job, timeout_s)
        return state if isinstance(state, JobState) else None

    def query_waiting(self, timeout_s: float) -> dict[QueueName, int]:
        """Return the number of jobs by queue that have not started.

        Raises ``TimeoutError`` if the scheduler thread does not reply in time.
        """
        counts = self.query(None, timeout_s)
        return counts if isinstance(counts, dict) else {}

    def query(self, job: JobId | None, timeout_s: float) -> object:
        """Run a query in the scheduler thread and wait for its result."""
        result: Future[object] = Future()
        self.inbox.put(Query(job, result))
        return result.result(timeout_s)

    def job_accepted(self, notification: JobAccepted) -> None:
        """Schedule a job that a member has stored."""
        self.inbox.put(notification)

    def predecessor_stopped(self) -> None:
        """Report that the predecessor has confirmed to send no more commands."""
        self.inbox.put(PredecessorStopped())

    def stop(self) -> None:
        """Stop sending commands and ask the task to end."""
        self.authority.revoke()
        self.stopping.set()
        self.inbox.put(None)

    # Methods that run in the scheduler thread.

    def run(self) -> None:
        """Load the stored state, then schedule until stopped."""
        try:
            if self.take_over():
                while not self.stopping.is_set():
                    self.run_once()
        finally:
            self.shut_down()

    def take_over(self) -> bool:
        """Load the stored state, retrying store errors, and follow its changes.

        Returns False if the task was stopped first.
        """
        while not self.stopping.is_set():
            try:
                self.load()
            except StoreError as error:
                log.warning(
                    "cannot load stored state; retrying",
                    token=self.token,
                    reason=str(error),
                )
                self.stopping.wait(TAKEOVER_RETRY_DELAY_S)
                continue
            for follower in self.followers:
                self.followers_pool.submit(follower.run)
            self.followers_pool.submit(self.ended_jobs.run)
            self.jobs.loaded()
            return True
        return False

    def load(self) -> None:
        """Restore jobs, progress and workers from the store."""
        asked_s = self.clock.monotonic()
        stored = read_stored_state(
            self.store,
            self.registrations,
            STORE_TIMEOUT_S,
            self.threads,
            None if self.evacuations is None else self.evacuations.prefix,
        )
        for error in stored.unreadable:
            self.jobs.record_unreadable(error)
        self.scheduler.jobs_read(int(stored.jobs_revision))
        while self.handle_queued_message():
            pass
        self.committer.record_revision = stored.workers_revision
        self.workers.recorded = stored.workers.keys()
        now_s = self.clock.monotonic()
        self.scheduler.set_time(now_s, self.clock.wall())
        for entry in stored.registered.entries:
            self.workers.registration_changed(entry.key, entry.value, now_s)
        self.workers.restore_recorded(stored.workers.values(), now_s)
        if self.evacuations is not None and stored.evacuations is not None:
            self.evacuations.loaded(stored.evacuations, now_s)
        for record, revision in stored.jobs:
            self.jobs.add_job(record, revision, predates_takeover=True)
        for job, (progress, revision) in stored.progress.items():
            self.scheduler.restore(job, progress, revision)
            self.known_ends.progress_stored(job, progress, now_s, is_inherited=True)
        self.scheduler.release_held_jobs()
        self.followers[0].start_at(stored.jobs_revision)
        self.followers[1].start_at(stored.registered.revision)
        self.scheduler.registrations_confirmed(asked_s)
        self.ended_jobs.state_read(stored.jobs_revision)
        log.info(
            "shard taken over",
            token=self.token,
            jobs=len(stored.jobs),
            jobs_revision=stored.jobs_revision,
            jobs_with_progress=len(stored.progress),
            tasks_done=stored.count_done(),
            configuration=self.jobs.configuration_version,
            workers=len(self.workers.poll_states),
            late_starts=len(self.scheduler.ledger.late_starts),
            seconds=round(self.clock.monotonic() - self.claimed_s, 3),
        )

    def handle_queued_message(self) -> bool:
        """Handle one message posted before the start; return False if there is none."""
        try:
            message = self.inbox.get_nowait()
        except queue.Empty:
            return False
        self.handle(message, self.clock.monotonic())
        return True

    def run_once(self) -> None:
        """Handle queued messages, execute the scheduler's commands and poll workers."""
        try:
            message = self.inbox.get(timeout=self.pause_s())
        except queue.Empty:
            message = None
        while message is not None:
            # Not once for all: leases count from the time at which a reply was read.
            self.handle(message, self.clock.monotonic())
            try:
                message = self.inbox.get_nowait()
            except queue.Empty:
                break
        now_s = self.clock.monotonic()
        paused_s = self.authority.round_begins()
        if paused_s:
            log.warning(
                "scheduler was paused", token=self.token, seconds=round(paused_s, 3)
            )
        self.scheduler.authority_confirmed(now_s - self.authority.age_s())
        self.scheduler.limit_leases(now_s + self.authority.lease_limit_s())
        self.dispatcher.send_all_due()
        if self.authority.may_act():
            self.scheduler.set_max_advice_requests(self.advice_pool.capacity())
            for command in self.scheduler.decide(now_s, self.clock.wall()):
                self.execute(command)
        self.capacity_reporter.report(now_s)
        report_long_waits(self.scheduler.take_long_waits())
        self.held_jobs.report(now_s)
        if self.evacuations is not None:
            self.evacuations.report(now_s)
        self.durations.report(now_s)
        self.teams.report(now_s)
        self.report_lost_runs()
        report_crashes(self.scheduler.take_crash_reports(), self.metrics)
        for job in self.scheduler.take_lookups():
            self.lookups.look_up(job)
        self.polls.poll_due_workers(now_s)
        self.polls.acknowledge(self.committer.send_due(now_s), now_s)
        self.sole_mark.send_due(now_s)
        self.unreadable.summarize()

    def report_lost_runs(self) -> None:
        """Log what has ended without a reported end, and count the runs."""
        for lost in self.scheduler.take_lost_runs():
            self.audit.run_lost(lost)
        for silent in self.scheduler.take_silent_workers():
            self.audit.leases_expired(silent, self.claimed_s)

    def pause_s(self) -> float:
        """Return how long to wait for a message: not at all with work left over."""
        has_work = self.scheduler.has_backlog and self.authority.may_act()
        return 0.0 if has_work else TICK_S

    def handle(self, message: object, now_s: float) -> None:
        """Dispatch a message to its handler."""
        if isinstance(message, PollSucceeded):
            self.polls.handle_poll_success(message, now_s)
        elif isinstance(message, StartCompleted):
            self.handle_start_result(message, now_s)
        elif isinstance(message, CommandCompleted):
            self.handle_command_result(message)
        elif isinstance(message, CallFailed):
            self.polls.handle_call_failure(message, now_s)
        elif isinstance(message, AdviceCompleted):
            self.handle_advice_result(message, now_s)
        elif isinstance(message, CommitDone):
            self.handle_commit_result(message, now_s)
        elif isinstance(message, JobAccepted):
            self.jobs.job_announced(message)
        elif isinstance(message, JobFound | JobAbsent | LookupFailed):
            self.jobs.job_looked_up(message, now_s)
        elif isinstance(message, PredecessorStopped):
            expiry_s = now_s + MAX_TASK_LEASE_S / (1 - CLOCK_DRIFT)
            self.workers.predecessor_stopped(expiry_s)
            self.scheduler.predecessor_stopped(expiry_s)
            self.sole_mark.predecessor_stopped(now_s)
        elif isinstance(message, WorkersRecorded):
            self.committer.workers_recorded(message)
        elif isinstance(message, SoleMarkWritten):
            self.sole_mark.written(message, now_s)
            if message.revision is not None:
                self.scheduler.sole_holder_recorded(int(message.revision))
        elif isinstance(message, PrefixChanged):
            self.store_changed(message, now_s)
        elif isinstance(message, PrefixRead):
            self.store_read(message, now_s)
        elif isinstance(message, PrefixConfirmed):
            self.scheduler.registrations_confirmed(message.asked_s)
        elif isinstance(message, FleetConfiguration):
            self.jobs.configuration_changed(message)
        elif isinstance(message, Query):
            self.answer_query(message)

    def store_changed(self, message: PrefixChanged, now_s: float) -> None:
        """Apply changes of a prefix reported by the store."""
        if message.prefix == JOB_PREFIX:
            self.jobs.jobs_changed(message.batch)
        elif self.evacuations is not None and self.evacuations.reads(message.prefix):
            self.evacuations.changed(message.batch, now_s)
        else:
            self.workers.registrations_changed(message.batch, now_s)

    def store_read(self, message: PrefixRead, now_s: float) -> None:
        """Apply a complete read of a prefix, made when watch events may be missing."""
        if message.prefix == JOB_PREFIX:
            self.jobs.jobs_read(message.entries)
        elif self.evacuations is not None and self.evacuations.reads(message.prefix):
            self.evacuations.replaced(message.entries, now_s)
        else:
            self.workers.registrations_read(message.entries, now_s)

    def answer_query(self, query: Query) -> None:
        """Set the result of a query; it fails until the stored state is loaded."""
        if not self.jobs.is_loaded:
            query.result.set_exception(
                ShardLostError("the stored state is not loaded yet")
            )
        elif query.job is None:
            query.result.set_result(self.scheduler.count_waiting())
        else:
            query.result.set_result(self.scheduler.state_of(query.job))

    # Commands.

    def execute(self, command: Command) -> None:
        """Send a command to a worker, or request advice."""
        if isinstance(command, StartRun):
            if self.audit.admit_start(command, self.clock.monotonic()):
                self.dispatcher.start(command, self.workers.token_of(command.worker))
        elif isinstance(command, StopRun):
            log.info(
                "stop",
                job=command.task.job,
                task=command.task[1:],
                run=command.run,
                worker=command.worker,
                reason=command.reason.value,
                is_job_known=command.task.job in self.scheduler.ledger.jobs,
            )
            self.dispatcher.stop(command, self.workers.token_of(command.worker))
        elif isinstance(command, ThrottleRun):
            self.dispatcher.throttle(command, self.workers.token_of(command.worker))
        elif isinstance(command, AskAdvice):
            self.advice_pool.ask(command, self.inbox.put)

    def handle_start_result(self, message: StartCompleted, now_s: float) -> None:
        """Apply the result of a start command, unless it is sent once more."""
        if message.born_ms:
            self.workers.start_answered(
                message.worker, message.born_ms, message.other_born_ms, now_s
            )
        if self.dispatcher.complete(message):
            self.scheduler.start_repeated(message.worker, message.task, message.run)
        else:
            self.apply_start_result(message, now_s)
        self.dispatcher.send_due(message.worker)

    def apply_start_result(self, message: StartCompleted, now_s: float) -> None:
        """Apply the last result of a start command."""
        if message.outcome is None:
            is_withdrawn = message.obstacle is not None
            if not is_withdrawn:
                log.warning(
                    "start unanswered",
                    job=message.task.job,
                    task=message.task[1:],
                    run=message.run,
                    worker=message.worker,
                    was_sent=message.was_sent,
                )
            self.scheduler.start_unanswered(
                message.worker, message.task, message.run, message.was_sent
            )
            if not (message.is_fenced or is_withdrawn):
                self.scheduler.worker_silent(message.worker, now_s)
                self.dispatcher.worker_silent(message.worker)
            return
        if message.outcome is not StartOutcome.STARTED:
            log.info(
                "start refused",
                job=message.task.job,
                task=message.task[1:],
                run=message.run,
                worker=message.worker,
                outcome=message.outcome.value,
            )
        self.scheduler.start_answered(
            message.worker,
            message.task,
            message.run,
            message.outcome,
            now_s,
            message.is_repeat,
        )

    def handle_command_result(self, message: CommandCompleted) -> None:
        """Free the thread of a stop or throttle command."""
        command = message.command
        self.dispatcher.complete(message)
        has_changed = message.obstacle not in (None, SendObstacle.SUPERSEDED)
        if has_changed and isinstance(command, ThrottleRun):
            self.scheduler.throttle_withdrawn(command.worker, command.task, command.run)
        self.dispatcher.send_due(command.worker)

    def handle_advice_result(self, message: AdviceCompleted, now_s: float) -> None:
        """Apply advice about a step, or the failure to obtain it."""
        advice: Advice | None = message.advice
        ref: StepRef = message.step
        if advice is None:
            log.info("advice failed", job=ref.job, step=ref[1:], reason=message.detail)
        self.scheduler.advice_answered(ref, advice, message.asked_s, now_s)

    # Commits.

    def handle_commit_result(self, message: CommitDone, now_s: float) -> None:
        """Apply the result of a commit, or give up the shard if it was lost."""
        try:
            ends = self.committer.commit_completed(message, now_s)
        except ShardLostError as error:
            log.warning("holding lost", token=self.token, reason=str(error))
            self.mark_shard_lost()
        else:
            self.polls.acknowledge(ends, now_s)

    # Loss of the shard.

    def mark_shard_lost(self) -> None:
        """Stop scheduling because another member holds the shard."""
        self.authority.revoke()
        self.lost.set()
        self.stopping.set()

    def shut_down(self) -> None:
        """Stop the threads and fail pending queries; calls in flight may finish."""
        self.authority.revoke()
        self.stopping.set()
        self.teams.clear()
        for follower in self.followers:
            follower.stop()
        self.followers_pool.shutdown(wait=False, cancel_futures=True)
        if self.evacuations is not None:
            self.evacuations.close()
        self.dispatcher.close()
        self.committer.close()
        self.sole_mark.close()
        self.lookups.close()
        self.durations.close()
        while True:
            try:
                message = self.inbox.get_nowait()
            except queue.Empty:
                return
            if isinstance(message, Query):
                message.result.set_exception(
                    ShardLostError("this member no longer holds the shard")
                )
