"""The task that runs the scheduler while this member holds the shard.

A single thread owns the scheduler. Other threads and the executors for worker, store
and advice calls reach it through an inbox of messages.
"""

import queue
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

import msgspec
import structlog

from gooseberrydeck_coordination.clock import SystemClock
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import Epoch, JobId, QueueName
from gooseberrydeck_coordination.store import EventKind, PagedStore
from gooseberrydeck_fleet.advice import Advice
from gooseberrydeck_fleet.changes import AcknowledgedEnds
from gooseberrydeck_fleet.commands import (
    AskAdvice,
    Command,
    StartRun,
    StopRun,
    ThrottleRun,
)
from gooseberrydeck_fleet.configuration import FleetConfiguration
from gooseberrydeck_fleet.ids import StepRef, WorkerId
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.settings import Timing
from gooseberrydeck_fleet.state import CLOCK_DRIFT, MAX_TASK_LEASE_S, RunState, Worker
from gooseberrydeck_fleet.work import JobRecord, JobState
from gooseberrydeck_fleet.worker_calls import PollReply, StartOutcome, WorkerCalls
from gooseberrydeck_member.advice_pool import AdviceCompleted, AdvicePool
from gooseberrydeck_member.authority import AUTHORITY_TIMEOUT_S, Authority
from gooseberrydeck_member.committer import (
    CommitDone,
    Committer,
    WorkersRecorded,
)
from gooseberrydeck_member.crash_reports import report_crashes
from gooseberrydeck_member.ended_jobs import EndedJobRemover
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
from gooseberrydeck_member.run_audit import RunAudit
from gooseberrydeck_member.shard_lock import ShardLock, ShardLostError
from gooseberrydeck_member.store_follower import (
    PrefixChanged,
    PrefixRead,
    StoreFollower,
)
from gooseberrydeck_member.stored_state import read_stored_state
from gooseberrydeck_member.worker_dispatcher import (
    CallFailed,
    PollSucceeded,
    StartCompleted,
    WorkerDispatcher,
)
from gooseberrydeck_member.worker_polling import (
    ResponseLossTracker,
    WorkerPollState,
    worker_token,
)

__all__ = ["SchedulerTask"]

log = structlog.get_logger(__name__)

STORE_TIMEOUT_S = 1.0
"""Timeout of one store call; a slow store responds in a few hundred milliseconds."""

TICK_S = 0.05
"""Interval of timeout checks while the inbox is empty."""

TAKEOVER_RETRY_DELAY_S = 0.15
"""Delay before the stored state is read again after a store error."""

POLL_WAIT_S = 1.0
"""How long a worker may hold a poll open; also the interval of lease extensions."""

SUPERSEDED_NOTICE_S = 1.5
"""Time within which a predecessor that is still running usually learns that it has been
superseded, from a worker's response or at the next renewal of its lease. One that
reaches neither the store nor a worker that its successor has reached may act longer, up
to ``AUTHORITY_TIMEOUT_S``."""

UNSTORED_POLL_INTERVAL_S = 0.2
"""Interval between polls of a worker that lists run ends which can't be acknowledged
yet, mostly because they are not stored."""

REPLACED_THRESHOLD = 2
"""Consecutive answers of another process after which a worker's process counts as
ended. A refused connection doesn't show that: a cut network may refuse connections to a
worker that runs on."""

RETIRED_POLL_INTERVAL_S = 2.0
"""Interval between polls of an unregistered worker that runs nothing."""


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
        decode_registration: Callable[[str, bytes], Registration | None],
        registrations: str,
        metrics: Metrics,
        was_silent: bool,
    ) -> None:
        """Prepare for scheduling under the shard lock held by ``shard_lock``.

        ``was_silent`` says that the predecessor may still be sending commands.
        """
        if shard_lock.held is None:
            raise ShardLostError("this member does not hold the shard")
        self.name = "scheduler"
        self.store = store
        self.shard_lock = shard_lock
        self.authority = authority
        self.advice_pool = advice_pool
        self.connect = connect
        self.decode_registration = decode_registration
        self.registrations = registrations
        self.metrics = metrics
        self.token = shard_lock.held.record.token
        self.inbox: queue.SimpleQueue[object] = queue.SimpleQueue()
        self.scheduler = Scheduler(self.token, timing)
        self.known_ends = KnownEnds()
        self.scheduler.changes.observer = self.known_ends
        self.audit = RunAudit(self.scheduler, self.known_ends, metrics)
        self.poll_states: dict[WorkerId, WorkerPollState] = {}
        self.response_losses = ResponseLossTracker()
        self.dispatcher = WorkerDispatcher(self.inbox.put, authority.may_act)
        # Restarts of workers that have been removed, and may register again.
        self.former_restarts: dict[WorkerId, int] = {}
        self.committer = Committer(
            store, shard_lock, self.scheduler.changes, metrics, self.inbox.put
        )
        self.lookups = JobLookups(store, self.inbox.put)
        self.stopping = threading.Event()
        self.lost = threading.Event()
        self.followers = [
            StoreFollower(store, JOB_PREFIX, self.inbox.put),
            StoreFollower(store, registrations, self.inbox.put),
        ]
        self.followers_pool = ThreadPoolExecutor(len(self.followers) + 1, "follow")
        self.ended_jobs = EndedJobRemover(
            store,
            shard_lock,
            timing.status_s,
            metrics,
            SystemClock(),
            self.stopping.wait,
        )
        quarantine_s = MAX_TASK_LEASE_S / (1 - CLOCK_DRIFT)
        self.quarantine_s = quarantine_s + (AUTHORITY_TIMEOUT_S if was_silent else 0.0)
        self.claimed_s = time.monotonic()
        if was_silent:
            self.scheduler.predecessor_may_act(self.claimed_s + SUPERSEDED_NOTICE_S)
        self.early_notifications: list[JobAccepted] = []
        self.configuration_version = 0
        self.is_loaded = False

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
            self.is_loaded = True
            for notification in self.early_notifications:
                self.job_announced(notification)
            self.early_notifications.clear()
            return True
        return False

    def load(self) -> None:
        """Restore jobs, progress and workers from the store."""
        stored = read_stored_state(self.store, self.registrations, STORE_TIMEOUT_S)
        self.scheduler.jobs_read(int(stored.jobs_revision))
        while self.handle_queued_message():
            pass
        self.committer.record_revision = stored.workers_revision
        now_s = time.monotonic()
        for entry in stored.registered.entries:
            self.registration_changed(entry.key, entry.value, now_s)
        for worker, known in stored.workers.items():
            if worker not in self.poll_states:
                # Its registration is gone or unreadable, but it may have runs.
                self.add_worker(known, now_s)
                self.scheduler.worker_unregistered(worker)
            self.scheduler.worker_recorded(known, now_s)
        for record, revision in stored.jobs:
            self.add_job(record, revision, predates_takeover=True)
        for job, (progress, revision) in stored.progress.items():
            self.scheduler.restore(job, progress, revision)
            self.known_ends.progress_stored(job, progress, now_s, is_inherited=True)
        self.scheduler.release_held_jobs()
        self.followers[0].start_at(stored.jobs_revision)
        self.followers[1].start_at(stored.registered.revision)
        self.ended_jobs.state_read(stored.jobs_revision)
        log.info(
            "shard taken over",
            token=self.token,
            jobs=len(stored.jobs),
            jobs_revision=stored.jobs_revision,
            jobs_with_progress=len(stored.progress),
            tasks_done=stored.count_done(),
            configuration=self.configuration_version,
            workers=len(self.poll_states),
            late_starts=len(self.scheduler.ledger.late_starts),
            seconds=round(time.monotonic() - self.claimed_s, 3),
        )

    def handle_queued_message(self) -> bool:
        """Handle one message posted before the start; return False if there is none."""
        try:
            message = self.inbox.get_nowait()
        except queue.Empty:
            return False
        self.handle(message, time.monotonic())
        return True

    def run_once(self) -> None:
        """Handle queued messages, execute the scheduler's commands and poll workers."""
        try:
            message = self.inbox.get(timeout=self.pause_s())
        except queue.Empty:
            message = None
        while message is not None:
            # Not once for all: leases count from the time at which a reply was read.
            self.handle(message, time.monotonic())
            try:
                message = self.inbox.get_nowait()
            except queue.Empty:
                break
        now_s = time.monotonic()
        paused_s = self.authority.round_begins()
        if paused_s:
            log.warning(
                "scheduler was paused", token=self.token, seconds=round(paused_s, 3)
            )
        self.scheduler.authority_confirmed(now_s - self.authority.age_s())
        if self.authority.may_act():
            self.scheduler.set_max_advice_requests(self.advice_pool.capacity())
            for command in self.scheduler.decide(now_s, time.time()):
                self.execute(command)
        for wait in self.scheduler.take_long_waits():
            log.info(
                "step waits",
                job=wait.step.job,
                step=wait.step[1:],
                **dict(zip(wait._fields[1:], wait[1:], strict=True)),
            )
        self.report_lost_runs()
        report_crashes(self.scheduler.take_crash_reports(), self.metrics)
        for job in self.scheduler.take_lookups():
            self.lookups.look_up(job)
        self.poll_due_workers(now_s)
        self.acknowledge(self.committer.send_due(now_s), now_s)

    def report_lost_runs(self) -> None:
        """Log and count the runs that have ended without a reported end."""
        for lost in self.scheduler.take_lost_runs():
            self.metrics.run_losses.labels(lost.reason.value).inc()
            log.info(
                "run lost",
                job=lost.task.job,
                task=lost.task[1:],
                run=lost.run,
                worker=lost.worker,
                reason=lost.reason.value,
            )

    def pause_s(self) -> float:
        """Return how long to wait for a message: not at all with work left over."""
        has_work = self.scheduler.has_backlog and self.authority.may_act()
        return 0.0 if has_work else TICK_S

    def handle(self, message: object, now_s: float) -> None:
        """Dispatch a message to its handler."""
        if isinstance(message, PollSucceeded):
            self.handle_poll_success(message, now_s)
        elif isinstance(message, StartCompleted):
            self.handle_start_result(message, now_s)
        elif isinstance(message, CallFailed):
            self.handle_call_failure(message, now_s)
        elif isinstance(message, AdviceCompleted):
            self.handle_advice_result(message, now_s)
        elif isinstance(message, CommitDone):
            self.handle_commit_result(message, now_s)
        elif isinstance(message, JobAccepted):
            self.job_announced(message)
        elif isinstance(message, JobFound | JobAbsent | LookupFailed):
            self.job_looked_up(message, now_s)
        elif isinstance(message, PredecessorStopped):
            expiry_s = now_s + MAX_TASK_LEASE_S / (1 - CLOCK_DRIFT)
            self.scheduler.predecessor_stopped(expiry_s)
        elif isinstance(message, WorkersRecorded):
            self.committer.workers_recorded(message)
        elif isinstance(message, PrefixChanged):
            self.prefix_changed(message, now_s)
        elif isinstance(message, PrefixRead):
            self.prefix_read(message, now_s)
        elif isinstance(message, FleetConfiguration):
            self.configuration_changed(message)
        elif isinstance(message, Query):
            self.answer_query(message)

    def answer_query(self, query: Query) -> None:
        """Set the result of a query; it fails until the stored state is loaded."""
        if not self.is_loaded:
            query.result.set_exception(
                ShardLostError("the stored state is not loaded yet")
            )
        elif query.job is None:
            query.result.set_result(self.scheduler.count_waiting())
        else:
            query.result.set_result(self.scheduler.state_of(query.job))

    def configuration_changed(self, configuration: FleetConfiguration) -> None:
        """Apply a new configuration, which may hold queues that jobs wait for."""
        self.configuration_version = configuration.version
        waiting = self.scheduler.jobs_without_queue()
        self.scheduler.set_configuration(configuration)
        for job in waiting:
            if not job.has_unconfigured_queue:
                log.info(
                    "queue of job configured",
                    job=job.id,
                    queue=job.record.queue,
                    configuration=self.configuration_version,
                )

    # Jobs.

    def job_record_changed(self, value: bytes, revision: int) -> None:
        """Add the job of a record that was read from the store."""
        record = msgspec.json.decode(value, type=JobRecord)
        self.add_job(record, revision, predates_takeover=False)

    def add_job(
        self, record: JobRecord, revision: int, predates_takeover: bool
    ) -> None:
        """Add a job to the scheduler, unless it shows that the shard is lost."""
        if self.is_superseded_by(record):
            return
        if not self.scheduler.accept(record, revision, predates_takeover):
            self.report_unconfigured_queue(record, revision)

    def is_superseded_by(self, record: JobRecord) -> bool:
        """Give up the shard if a job was accepted under a newer holder.

        The newer holder relies on that: it doesn't wait for runs of such jobs. Returns
        whether the shard was given up.
        """
        if record.holder_token <= self.token:
            return False
        if not self.lost.is_set():
            log.warning(
                "superseded, as a job shows",
                token=self.token,
                newer_token=record.holder_token,
                job=record.id,
            )
            self.mark_shard_lost()
        return True

    def report_unconfigured_queue(self, record: JobRecord, revision: int) -> None:
        """Log a job whose queue only the accepting member's configuration holds."""
        log.warning(
            "queue of job not configured",
            job=record.id,
            queue=record.queue,
            revision=revision,
            jobs_revision=self.scheduler.jobs_revision,
            configuration=self.configuration_version,
        )

    def job_announced(self, notification: JobAccepted) -> None:
        """Add a job announced by a member, unless it is known from the store."""
        if not self.is_loaded:
            # Whether the job has to wait for workers depends on those in the store.
            self.early_notifications.append(notification)
            return
        record, revision = notification.record, notification.revision
        if self.is_superseded_by(record):
            return
        is_new = self.scheduler.accept_announced(record, revision)
        log.info(
            "job announced",
            job=record.id,
            revision=revision,
            jobs_revision=self.scheduler.jobs_revision,
            is_new=is_new,
            has_ended=record.id in self.scheduler.changes.ended,
        )
        if is_new and record.queue not in self.scheduler.intake.queues:
            self.report_unconfigured_queue(record, revision)

    def job_looked_up(
        self, result: JobFound | JobAbsent | LookupFailed, now_s: float
    ) -> None:
        """Apply the lookup of a job that only workers have reported."""
        if isinstance(result, LookupFailed):
            self.scheduler.lookup_failed(result.job)
            return
        if isinstance(result, JobAbsent):
            job, outcome = result.job, "absent"
            if result.state is None:
                self.known_ends.job_absent(job)
            else:
                outcome = result.state.value
                self.known_ends.job_ended(job, result.state, now_s)
            self.scheduler.job_absent(job, result.state, now_s)
        else:
            job, outcome = result.record.id, "open"
            if self.is_superseded_by(result.record):
                return
            self.scheduler.job_found(
                result.record,
                result.revision,
                result.progress,
                result.progress_revision,
            )
            if result.progress is not None:
                self.known_ends.progress_stored(
                    job, result.progress, now_s, is_inherited=True
                )
            if result.record.queue not in self.scheduler.intake.queues:
                self.report_unconfigured_queue(result.record, result.revision)
        self.metrics.job_lookups.labels(outcome).inc()
        log.info(
            "job looked up",
            job=job,
            outcome=outcome,
            revision=result.revision if isinstance(result, JobFound) else None,
            jobs_revision=self.scheduler.jobs_revision,
        )

    def prefix_changed(self, message: PrefixChanged, now_s: float) -> None:
        """Apply changes of jobs or worker registrations reported by the store."""
        last_kinds = {each.entry.key: each.kind for each in message.batch.events}
        for event in message.batch.events:
            key, value = event.entry.key, event.entry.value
            is_put = event.kind is EventKind.PUT
            if message.prefix == JOB_PREFIX:
                if is_put and last_kinds[key] is EventKind.PUT:
                    self.job_record_changed(value, int(event.entry.mod_revision))
                elif is_put:
                    # The job has ended since.
                    self.is_superseded_by(msgspec.json.decode(value, type=JobRecord))
            elif is_put:
                self.registration_changed(key, value, now_s)
            else:
                self.registration_removed(key, now_s)
        if message.prefix == JOB_PREFIX:
            self.scheduler.jobs_read(int(message.batch.revision))

    def prefix_read(self, message: PrefixRead, now_s: float) -> None:
        """Apply a complete read of a prefix, made when watch events may be missing."""
        if message.prefix == JOB_PREFIX:
            for entry in message.entries:
                self.job_record_changed(entry.value, int(entry.mod_revision))
            return
        listed = {entry.key for entry in message.entries}
        for entry in message.entries:
            self.registration_changed(entry.key, entry.value, now_s)
        for worker in list(self.poll_states):
            if self.registrations + worker not in listed:
                self.registration_removed(self.registrations + worker, now_s)

    # Workers.

    def registration_changed(self, key: str, value: bytes, now_s: float) -> None:
        """Add or update a worker from its registration."""
        entry = self.decode_registration(key, value)
        if entry is None:
            log.warning("cannot decode worker registration", key=key, size=len(value))
            return
        worker = self.scheduler.ledger.workers.get(entry.worker)
        if worker is not None and worker.entry.is_draining != entry.is_draining:
            log.info(
                "worker drains" if entry.is_draining else "worker is ready",
                worker=entry.worker,
                remaining_s=entry.remaining_s,
                runs=len(worker.runs),
            )
        self.add_worker(entry, now_s)

    def add_worker(self, entry: Registration, now_s: float) -> None:
        """Register a worker with the scheduler and connect to its current address."""
        known = self.scheduler.ledger.workers.get(entry.worker)
        moved = known is not None and known.entry.address != entry.address
        if known is not None and entry.born_ms not in (0, known.entry.born_ms):
            self.registration_restarted(known, entry)
        # Runs started by a predecessor may still be active on the workers it knew.
        unknown_until_s = self.claimed_s + self.quarantine_s
        is_new = self.scheduler.worker_registered(entry, now_s, unknown_until_s)
        if is_new or moved:
            self.dispatcher.connect(entry.worker, self.connect(entry))
        if entry.worker not in self.poll_states:
            former = self.former_restarts.get(entry.worker)
            restarts = 0 if former is None else former + 1
            self.poll_states[entry.worker] = WorkerPollState(restarts)
        elif is_new:
            # It was forgotten while a poll of it was in flight.
            self.poll_states[entry.worker].restart_seen()

    def registration_restarted(self, worker: Worker, entry: Registration) -> None:
        """Raise the token for a worker whose registration is that of a new process."""
        poll_state = self.poll_states.get(worker.id)
        if poll_state is not None and poll_state.born_ms not in (0, entry.born_ms):
            self.report_restart(worker, "registration", entry.born_ms)
            poll_state.restart_seen()
            self.scheduler.worker_restarting(worker.id)

    def registration_removed(self, key: str, now_s: float) -> None:
        """Unregister a worker whose registration was removed."""
        worker = WorkerId(key.removeprefix(self.registrations))
        log.info("worker entry removed", worker=worker)
        self.scheduler.worker_unregistered(worker)

    def poll_due_workers(self, now_s: float) -> None:
        """Send a poll to each worker that is due."""
        is_lossy = self.response_losses.are_common(now_s)
        for worker_id, poll_state in list(self.poll_states.items()):
            if not poll_state.is_due(now_s, is_lossy):
                continue
            worker = self.scheduler.ledger.workers.get(worker_id)
            if worker is None:
                # Kept until its polls have returned, which belong to it.
                if not poll_state.calls_in_flight:
                    self.former_restarts[worker_id] = poll_state.restarts
                    self.known_ends.worker_forgotten(worker_id)
                    del self.poll_states[worker_id]
                continue
            until_ms = self.scheduler.lease_until_ms(worker, now_s)
            is_acknowledged = poll_state.acknowledged >= worker.last_end_number
            may_wait = worker.born_ms and not poll_state.is_restart_unconfirmed
            wait_s = POLL_WAIT_S if may_wait and is_acknowledged else 0.0
            last_seen = 0
            if worker.is_reachable:
                last_seen = poll_state.last_seen(worker.entry.born_ms)
            poll_state.poll_sent(now_s)
            token = self.token_of(worker_id)
            self.audit.acknowledgement_sent(
                worker_id, poll_state.born_ms, last_seen, token, now_s
            )
            self.dispatcher.poll(worker_id, token, last_seen, until_ms, wait_s)

    def handle_poll_success(self, message: PollSucceeded, now_s: float) -> None:
        """Apply the runs and run ends that a worker reports."""
        poll_state = self.poll_states.get(message.worker)
        worker = self.scheduler.ledger.workers.get(message.worker)
        if poll_state is None:
            return
        if worker is None:
            poll_state.poll_ignored()
            return
        self.dispatcher.worker_answered(message.worker)
        reply = message.reply
        failed_polls = poll_state.failures
        if poll_state.poll_succeeded() and poll_state.born_ms == reply.born_ms:
            self.response_lost(now_s)
        if poll_state.is_overtaken(reply.born_ms, message.sent_s):
            log.info(
                "reply of a former process ignored",
                worker=worker.id,
                born_ms=reply.born_ms,
                current_born_ms=poll_state.born_ms,
                runs=len(reply.runs),
                ends=len(reply.ends),
            )
            return
        is_restart = poll_state.born_ms not in (0, reply.born_ms)
        if is_restart:
            self.report_restart(worker, "reply", reply.born_ms, reply, failed_polls)
        has_newest_token = message.token == self.token_of(worker.id)
        if not poll_state.reply_received(reply.born_ms, has_newest_token, now_s):
            # A call to the former process may still change what is listed.
            self.scheduler.worker_restarting(worker.id)
            poll_state.due_s = now_s
            return
        poll_state.ends_listed(min((end.number for end in reply.ends), default=0))
        if not worker.is_reachable:
            log.info("worker answers", worker=worker.id, runs=len(reply.runs))
        before = worker.last_end_number if worker.born_ms == reply.born_ms else 0
        if before or poll_state.has_seen_start:
            self.report_gap(worker.id, reply, before)
        self.scheduler.poll_answered(message.worker, reply, now_s)
        for end in reply.ends:
            self.dispatcher.run_ended(end.task, end.run)
        self.audit.ends_listed(worker.id, reply, before, poll_state.acknowledged, now_s)
        # The worker responds at once while it lists ends.
        last_seen = poll_state.last_seen(worker.entry.born_ms)
        lists_ends = any(end.number > last_seen for end in reply.ends)
        poll_state.due_s = now_s + UNSTORED_POLL_INTERVAL_S if lists_ends else now_s
        runs_nothing = not worker.runs and not worker.has_orphaned_runs
        if not worker.is_registered and runs_nothing:
            poll_state.due_s = now_s + RETIRED_POLL_INTERVAL_S

    def report_restart(
        self,
        worker: Worker,
        source: str,
        born_ms: int,
        reply: PollReply | None = None,
        failed_polls: int = 0,
    ) -> None:
        """Log and count that a worker's process was started again under its id."""
        self.metrics.worker_restarts.labels(source).inc()
        poll_state = self.poll_states[worker.id]
        numbers = [end.number for end in reply.ends] if reply is not None else []
        unanswered = (RunState.STARTING, RunState.UNCERTAIN)
        runs = worker.runs.values()
        log.warning(
            "worker restarted",
            worker=worker.id,
            source=source,
            born_ms=born_ms,
            former_born_ms=poll_state.born_ms,
            former_last_end=worker.last_end_number,
            former_acknowledged=poll_state.acknowledged,
            first_end=min(numbers, default=None),
            last_end=max(numbers, default=None),
            polls_in_flight=poll_state.calls_in_flight,
            failed_polls=failed_polls or poll_state.failures,
            unanswered_starts=sum(run.state in unanswered for run in runs),
            runs=len(runs),
        )

    def report_gap(self, worker: WorkerId, reply: PollReply, last_number: int) -> None:
        """Log and count a gap after ``last_number`` in the numbers of listed ends.

        An acknowledgement meant for another process may have hidden the missing ends.
        """
        expected = last_number + 1
        for end in reply.ends:
            if end.number > expected:
                self.metrics.end_gaps.inc()
                log.error(
                    "gap in the ends of a worker",
                    worker=worker,
                    born_ms=reply.born_ms,
                    expected=expected,
                    listed=end.number,
                    acknowledged=self.poll_states[worker].acknowledged,
                )
            expected = max(expected, end.number + 1)

    def handle_call_failure(self, message: CallFailed, now_s: float) -> None:
        """Mark a worker as unreachable, or give up the shard if it was fenced off.

        A poll that fails while another poll to the same worker succeeds counts as a
        lost response.
        """
        failure = message.failure
        worker = self.scheduler.ledger.workers.get(message.worker)
        poll_state = self.poll_states.get(message.worker)
        if failure.is_fenced:
            # After a restart of the worker, it refuses calls with an older token.
            if message.token >= self.token_of(message.worker):
                log.warning("fenced", worker=message.worker, token=message.token)
                self.mark_shard_lost()
            elif message.is_poll and poll_state is not None:
                poll_state.poll_ignored()
            return
        if poll_state is None:
            return
        if worker is None:
            if message.is_poll:
                poll_state.poll_ignored()
            return
        if (
            message.is_poll
            and not failure.is_refused
            and not failure.is_replaced
            and worker.last_reply_s > message.sent_s
        ):
            poll_state.poll_ignored()
            self.response_lost(now_s)
            return
        if worker.is_reachable:
            log.warning(
                "worker does not answer",
                worker=worker.id,
                reason=failure.detail,
                runs=len(worker.runs),
                silent_s=round(now_s - worker.last_reply_s, 3),
            )
        self.scheduler.worker_silent(message.worker, now_s, failure.has_timed_out)
        self.dispatcher.worker_silent(message.worker)
        if not message.is_poll:
            return
        is_refused = failure.is_refused or failure.is_replaced
        poll_state.poll_failed(now_s, is_refused, failure.is_replaced)
        if poll_state.replacements == REPLACED_THRESHOLD:
            self.worker_gone(message.worker, now_s)

    def response_lost(self, now_s: float) -> None:
        """Record that the response of a reachable worker was lost."""
        was_common = self.response_losses.are_common(now_s)
        self.response_losses.record_loss(now_s)
        self.metrics.lost_responses.inc()
        if not was_common and self.response_losses.are_common(now_s):
            log.warning("answers of workers are being lost")

    def worker_gone(self, worker: WorkerId, now_s: float) -> None:
        """Mark all runs of a worker as lost in whose place another process answers."""
        lost = self.scheduler.worker_gone(worker, now_s)
        log.warning("worker is gone", worker=worker, lost_runs=len(lost))

    # Commands.

    def execute(self, command: Command) -> None:
        """Send a command to a worker, or request advice."""
        if isinstance(command, StartRun):
            if self.audit.admit_start(command, time.monotonic()):
                self.dispatcher.start(command, self.token_of(command.worker))
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
            self.dispatcher.stop(command, self.token_of(command.worker))
        elif isinstance(command, ThrottleRun):
            self.dispatcher.throttle(command, self.token_of(command.worker))
        elif isinstance(command, AskAdvice):
            self.advice_pool.ask(command, self.inbox.put)

    def token_of(self, worker: WorkerId) -> Epoch:
        """Return the fencing token of calls that are sent to a worker now."""
        poll_state = self.poll_states.get(worker)
        if poll_state is not None:
            return worker_token(self.token, poll_state.restarts)
        return worker_token(self.token, self.former_restarts.get(worker, 0))

    def handle_start_result(self, message: StartCompleted, now_s: float) -> None:
        """Apply the result of a start command."""
        if message.outcome is None:
            log.warning(
                "start withdrawn" if message.is_withdrawn else "start unanswered",
                job=message.task.job,
                task=message.task[1:],
                run=message.run,
                worker=message.worker,
                was_sent=message.was_sent,
            )
            self.scheduler.start_unanswered(
                message.worker, message.task, message.run, message.was_sent
            )
            if not (message.is_fenced or message.is_withdrawn):
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
            self.acknowledge(self.committer.commit_completed(message, now_s), now_s)
        except ShardLostError as error:
            log.warning("holding lost", token=self.token, reason=str(error))
            self.mark_shard_lost()

    def acknowledge(self, ends: AcknowledgedEnds, now_s: float) -> None:
        """Acknowledge stored run ends, which workers may then discard.

        The acknowledgement is sent with the next poll.
        """
        for worker_id, (born_ms, number) in ends.items():
            poll_state = self.poll_states.get(worker_id)
            if poll_state is None or not poll_state.ends_stored(born_ms, number):
                continue
            if not poll_state.calls_in_flight:
                poll_state.due_s = now_s

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
        for follower in self.followers:
            follower.stop()
        self.followers_pool.shutdown(wait=False, cancel_futures=True)
        self.dispatcher.close()
        self.committer.close()
        self.lookups.close()
        while True:
            try:
                message = self.inbox.get_nowait()
            except queue.Empty:
                return
            if isinstance(message, Query):
                message.result.set_exception(
                    ShardLostError("this member no longer holds the shard")
                )
