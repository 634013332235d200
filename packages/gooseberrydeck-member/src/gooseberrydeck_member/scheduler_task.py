"""The task that runs the scheduler while this member holds the shard."""

import queue
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

import msgspec
import structlog

from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import JobId, QueueName
from gooseberrydeck_coordination.store import EventKind, Store
from gooseberrydeck_fleet.advice import Advice
from gooseberrydeck_fleet.changes import AcknowledgedEnds
from gooseberrydeck_fleet.commands import (
    AskAdvice,
    Command,
    PaceRun,
    StartRun,
    StopRun,
)
from gooseberrydeck_fleet.ids import StepRef, TaskRef, WorkerId
from gooseberrydeck_fleet.intent import Intent
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.settings import Timing
from gooseberrydeck_fleet.state import CLOCK_DRIFT, MAX_TASK_LEASE_S
from gooseberrydeck_fleet.work import JobRecord, JobState
from gooseberrydeck_fleet.worker_calls import StartOutcome, WorkerCalls
from gooseberrydeck_member.advice_pool import AdviceCompleted, AdvicePool
from gooseberrydeck_member.authority import AUTHORITY_TIMEOUT_S, Authority
from gooseberrydeck_member.committer import (
    CommitDone,
    Committer,
    WorkersRecorded,
)
from gooseberrydeck_member.keys import JOBS
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_messages import JobAccepted
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
from gooseberrydeck_member.worker_polling import ResponseLossTracker, WorkerPollState

__all__ = ["SchedulerTask"]

log = structlog.get_logger(__name__)

STORE_TIMEOUT_S = 1.0
"""For one call; a slow store answers within a few hundred milliseconds."""

TICK_S = 0.05
"""How often time-outs are looked at when no message comes."""

TAKEOVER_RETRY_DELAY_S = 0.15
"""Pause after a takeover could not read the store."""

POLL_WAIT_S = 1.0
"""How long a worker may wait for an end; leases are extended as often."""

SUPERSEDED_NOTICE_S = 1.5
"""Time in which a former holder that lives notices that it is one: the longest wait of
a worker's answer and the pause between two renewals of its lease."""

UNSTORED_POLL_INTERVAL_S = 0.2
"""Time between looks at a worker whose ends cannot be stored now."""

GONE_REFUSAL_THRESHOLD = 2
"""Connections refused in a row after which a worker's process has ended."""

RETIRED_POLL_INTERVAL_S = 2.0
"""Time between looks at a worker whose entry was removed and that holds nothing."""


class Query(msgspec.Struct):
    """A question of another thread; ``job`` None asks for the waiting counts."""

    job: JobId | None
    answer: Future[object]


class PredecessorStopped(msgspec.Struct, frozen=True):
    """The former holder has confirmed that it sends no more orders."""


class SchedulerTask:
    """Owns the scheduler, its workers' lines and its commits."""

    def __init__(
        self,
        store: Store,
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
        """Prepare to schedule; ``was_silent`` tells that the former holder may live."""
        if shard_lock.held is None:
            raise ShardLostError("the shard is not held")
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
        self.poll_states: dict[WorkerId, WorkerPollState] = {}
        self.response_losses = ResponseLossTracker()
        self.dispatcher = WorkerDispatcher(
            self.token, self.inbox.put, authority.may_act
        )
        self.committer = Committer(
            store, shard_lock, self.scheduler.changes, metrics, self.inbox.put
        )
        self.stopping = threading.Event()
        self.lost = threading.Event()
        self.followers = [
            StoreFollower(store, JOBS, self.inbox.put),
            StoreFollower(store, registrations, self.inbox.put),
        ]
        self.followers_pool = ThreadPoolExecutor(len(self.followers), "follow")
        quarantine_s = MAX_TASK_LEASE_S / (1 - CLOCK_DRIFT)
        self.quarantine_s = quarantine_s + (AUTHORITY_TIMEOUT_S if was_silent else 0.0)
        self.claimed_s = time.monotonic()
        if was_silent:
            self.scheduler.predecessor_may_act(self.claimed_s + SUPERSEDED_NOTICE_S)
        self.jobs_without_queue: dict[JobId, tuple[JobRecord, int]] = {}
        self.has_begun = False

    # The interface to other threads.

    def set_intent(self, intent: Intent) -> None:
        """Post a new version of the configuration."""
        self.inbox.put(intent)

    def query_state(self, job: JobId, timeout_s: float) -> JobState | None:
        """Return a job's state as far as it is stored, or raise ``TimeoutError``."""
        state = self.query(job, timeout_s)
        return state if isinstance(state, JobState) else None

    def query_waiting(self, timeout_s: float) -> dict[QueueName, int]:
        """Return by queue how many jobs have not begun, or raise ``TimeoutError``."""
        counts = self.query(None, timeout_s)
        return counts if isinstance(counts, dict) else {}

    def query(self, job: JobId | None, timeout_s: float) -> object:
        """Ask the task's own thread."""
        answer: Future[object] = Future()
        self.inbox.put(Query(job, answer))
        return answer.result(timeout_s)

    def job_accepted(self, news: JobAccepted) -> None:
        """Post a job that a member has stored."""
        self.inbox.put(news)

    def predecessor_stopped(self) -> None:
        """Post that the former holder has confirmed that it sends no more orders."""
        self.inbox.put(PredecessorStopped())

    def stop(self) -> None:
        """Ask the task to end, and send no more orders."""
        self.authority.revoke()
        self.stopping.set()
        self.inbox.put(None)

    # The task's own thread.

    def run(self) -> None:
        """Take over what is stored, and then schedule until stopped."""
        try:
            if self.begin():
                while not self.stopping.is_set():
                    self.run_once()
        finally:
            self.end()

    def begin(self) -> bool:
        """Read the jobs, their progress and the workers; False if stopped before."""
        while not self.stopping.is_set():
            try:
                self.load()
            except StoreError as error:
                log.warning("takeover delayed", token=self.token, reason=str(error))
                self.stopping.wait(TAKEOVER_RETRY_DELAY_S)
                continue
            for follower in self.followers:
                self.followers_pool.submit(follower.run)
            self.has_begun = True
            return True
        return False

    def load(self) -> None:
        """Take in everything that the store keeps."""
        stored = read_stored_state(self.store, self.registrations, STORE_TIMEOUT_S)
        while self.handle_queued_message():
            pass
        self.committer.record_revision = stored.workers_revision
        now_s = time.monotonic()
        listed = {entry.key for entry in stored.registered.entries}
        for entry in stored.registered.entries:
            self.registration_changed(entry.key, entry.value, now_s)
        for worker, known in stored.workers.items():
            if self.registrations + worker not in listed:
                self.add_worker(known, now_s)
                self.scheduler.worker_unregistered(worker)
        for record, revision in stored.jobs:
            self.add_job(record, revision, is_earlier=True)
        for job, (progress, revision) in stored.progress.items():
            self.scheduler.restore(job, progress, revision)
        self.scheduler.clear_doubts()
        self.followers[0].start_at(stored.jobs_revision)
        self.followers[1].start_at(stored.registered.revision)
        log.info(
            "shard taken over",
            token=self.token,
            jobs=len(stored.jobs),
            workers=len(self.poll_states),
            seconds=round(time.monotonic() - self.claimed_s, 3),
        )

    def handle_queued_message(self) -> bool:
        """Take in what was posted before the start; return whether there was any."""
        try:
            message = self.inbox.get_nowait()
        except queue.Empty:
            return False
        self.handle(message, time.monotonic())
        return True

    def run_once(self) -> None:
        """Handle the messages that are there, decide, and carry it out."""
        try:
            message = self.inbox.get(timeout=TICK_S)
        except queue.Empty:
            message = None
        now_s = time.monotonic()
        while message is not None:
            self.handle(message, now_s)
            try:
                message = self.inbox.get_nowait()
            except queue.Empty:
                break
        now_s = time.monotonic()
        if self.authority.may_act():
            self.scheduler.set_advice_lanes(self.advice_pool.capacity())
            for command in self.scheduler.decide(now_s, time.time()):
                self.execute(command)
        self.poll_due_workers(now_s)
        self.acknowledge(self.committer.send_due(now_s), now_s)

    def handle(self, message: object, now_s: float) -> None:
        """Take in one message."""
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
        elif isinstance(message, PredecessorStopped):
            lapse_s = now_s + MAX_TASK_LEASE_S / (1 - CLOCK_DRIFT)
            self.scheduler.predecessor_stopped(lapse_s)
        elif isinstance(message, WorkersRecorded):
            self.committer.workers_recorded(message)
        elif isinstance(message, PrefixChanged):
            self.prefix_changed(message, now_s)
        elif isinstance(message, PrefixRead):
            self.prefix_read(message, now_s)
        elif isinstance(message, Intent):
            self.intent_changed(message)
        elif isinstance(message, Query):
            self.answer_query(message)

    def answer_query(self, query: Query) -> None:
        """Answer a question of another thread."""
        if not self.has_begun:
            query.answer.set_exception(ShardLostError("not taken over yet"))
        elif query.job is None:
            query.answer.set_result(self.scheduler.count_waiting())
        else:
            query.answer.set_result(self.scheduler.state_of(query.job))

    def intent_changed(self, intent: Intent) -> None:
        """Act by another version of the configuration."""
        self.scheduler.set_intent(intent)
        for record, revision in list(self.jobs_without_queue.values()):
            if self.scheduler.accept(record, revision):
                del self.jobs_without_queue[record.id]

    # Jobs.

    def job_record_changed(self, value: bytes, revision: int) -> None:
        """Take in a job's record."""
        record = msgspec.json.decode(value, type=JobRecord)
        self.add_job(record, revision, is_earlier=False)

    def add_job(self, record: JobRecord, revision: int, is_earlier: bool) -> None:
        """Let a job be scheduled once its queue is known."""
        if not self.scheduler.accept(record, revision, is_earlier):
            # The accepting member has a configuration that is not here yet.
            self.jobs_without_queue[record.id] = (record, revision)

    def job_announced(self, news: JobAccepted) -> None:
        """Take in a job that a member tells of, unless the store was faster."""
        job = news.record.id
        if job in self.scheduler.ledger.jobs or job in self.scheduler.changes.ended:
            return
        self.add_job(news.record, news.revision, is_earlier=False)

    def prefix_changed(self, message: PrefixChanged, now_s: float) -> None:
        """Take in changes that the store reports."""
        for event in message.batch.events:
            key, value = event.entry.key, event.entry.value
            is_put = event.kind is EventKind.PUT
            if message.prefix == JOBS:
                if is_put:
                    self.job_record_changed(value, int(event.entry.mod_revision))
            elif is_put:
                self.registration_changed(key, value, now_s)
            else:
                self.registration_removed(key, now_s)

    def prefix_read(self, message: PrefixRead, now_s: float) -> None:
        """Take in all entries, after changes may have been missed."""
        if message.prefix == JOBS:
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
        """Take in a worker's entry."""
        entry = self.decode_registration(key, value)
        if entry is None:
            log.warning("unreadable worker entry", key=key, size=len(value))
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
        """Schedule on a worker, at its present address."""
        known = self.scheduler.ledger.workers.get(entry.worker)
        moved = known is not None and known.entry.address != entry.address
        # What an earlier holder started can run on the workers that it knew.
        unknown_until_s = self.claimed_s + self.quarantine_s
        is_new = self.scheduler.worker_registered(entry, now_s, unknown_until_s)
        if is_new or moved:
            self.dispatcher.connect(entry.worker, self.connect(entry))
        if entry.worker not in self.poll_states:
            self.poll_states[entry.worker] = WorkerPollState()

    def registration_removed(self, key: str, now_s: float) -> None:
        """Take in that a worker's entry is gone."""
        worker = WorkerId(key.removeprefix(self.registrations))
        log.info("worker entry removed", worker=worker)
        self.scheduler.worker_unregistered(worker)
        self.check_departure(worker, now_s)

    def poll_due_workers(self, now_s: float) -> None:
        """Look at the workers that are due."""
        is_lossy = self.response_losses.are_common(now_s)
        for worker_id, line in list(self.poll_states.items()):
            if not line.is_due(now_s, is_lossy):
                continue
            worker = self.scheduler.ledger.workers.get(worker_id)
            if worker is None:
                del self.poll_states[worker_id]
                continue
            until_ms = self.scheduler.lease_until_ms(worker, now_s)
            is_acknowledged = line.acknowledged >= worker.listed_number
            wait_s = POLL_WAIT_S if worker.born_ms and is_acknowledged else 0.0
            line.sent(now_s)
            self.dispatcher.poll(worker_id, line.acknowledged, until_ms, wait_s)

    def handle_poll_success(self, message: PollSucceeded, now_s: float) -> None:
        """Take in a worker's lists."""
        line = self.poll_states.get(message.worker)
        worker = self.scheduler.ledger.workers.get(message.worker)
        if line is None or worker is None:
            return
        reply = message.reply
        if line.answered() and line.born_ms == reply.born_ms:
            self.response_lost(now_s)
        if not worker.is_reachable:
            log.info("worker answers", worker=worker.id, runs=len(reply.runs))
        if line.born_ms != reply.born_ms:
            line.born_ms = reply.born_ms
            line.acknowledged = 0
        before = worker.listed_number if worker.born_ms == reply.born_ms else 0
        self.scheduler.hold_answered(message.worker, reply, now_s)
        for end in reply.ends:
            if end.number > before:
                self.metrics.run_ends.labels(end.kind.value).inc()
                log.info(
                    "run ended",
                    job=end.task.job,
                    task=end.task[1:],
                    run=end.run,
                    worker=message.worker,
                    kind=end.kind.value,
                    number=end.number,
                )
        has_unstored = worker.listed_number > line.acknowledged
        line.due_s = now_s + UNSTORED_POLL_INTERVAL_S if has_unstored else now_s
        if not worker.is_listed and not worker.runs:
            line.due_s = now_s + RETIRED_POLL_INTERVAL_S

    def handle_call_failure(self, message: CallFailed, now_s: float) -> None:
        """Take in that a worker did not answer as it should."""
        failure = message.failure
        if failure.is_fenced:
            log.warning("fenced", worker=message.worker, token=self.token)
            self.mark_shard_lost()
            return
        worker = self.scheduler.ledger.workers.get(message.worker)
        line = self.poll_states.get(message.worker)
        if worker is None or line is None:
            return
        if message.is_poll and not failure.is_gone and worker.heard_s > message.sent_s:
            line.lost()
            self.response_lost(now_s)
            return
        if worker.is_reachable:
            log.warning(
                "worker does not answer",
                worker=worker.id,
                reason=failure.detail,
                runs=len(worker.runs),
                silent_s=round(now_s - worker.heard_s, 3),
            )
        self.scheduler.worker_silent(message.worker)
        if not message.is_poll:
            return
        line.failed(now_s, failure.is_gone)
        if line.refusals == GONE_REFUSAL_THRESHOLD:
            self.worker_gone(message.worker, line.refusals, now_s)
        else:
            self.check_departure(message.worker, now_s)

    def response_lost(self, now_s: float) -> None:
        """Take in that the answer of a worker that is there was lost."""
        was_common = self.response_losses.are_common(now_s)
        self.response_losses.lost(now_s)
        self.metrics.lost_responses.inc()
        if not was_common and self.response_losses.are_common(now_s):
            log.warning("answers of workers are being lost")

    def check_departure(self, worker: WorkerId, now_s: float) -> None:
        """Take in that a worker has left, if all that is known of it says so."""
        if self.scheduler.has_left(worker, now_s):
            self.worker_gone(worker, 0, now_s)

    def worker_gone(self, worker: WorkerId, refusals: int, now_s: float) -> None:
        """Take in that nothing runs on a worker any more."""
        lost = self.scheduler.worker_gone(worker, now_s)
        log.warning(
            "worker is gone",
            worker=worker,
            lost_runs=len(lost),
            has_left=not refusals,
            refusals=refusals,
        )

    # Commands.

    def execute(self, command: Command) -> None:
        """Send an order or a question."""
        if isinstance(command, StartRun):
            request = command.request
            self.observe_wait(request.task)
            log.info(
                "start",
                job=request.task.job,
                task=request.task[1:],
                run=request.run,
                worker=command.worker,
                resumes=bool(request.checkpoint),
                **self.input_ages(request.task),
            )
            self.dispatcher.start(command)
        elif isinstance(command, StopRun):
            log.info(
                "stop",
                job=command.task.job,
                task=command.task[1:],
                run=command.run,
                worker=command.worker,
                reason=command.reason.value,
            )
            self.dispatcher.stop(command)
        elif isinstance(command, PaceRun):
            self.dispatcher.pace(command)
        elif isinstance(command, AskAdvice):
            self.advice_pool.ask(command, self.inbox.put)

    def input_ages(self, task: TaskRef) -> dict[str, float]:
        """Return the ages of what let a task start, in seconds."""
        job = self.scheduler.ledger.jobs[task.job]
        step = job.steps[StepRef(task.job, task.occurrence, task.step)]
        now_s = time.monotonic()
        times = {"ready_age_s": step.ready_s, "advice_age_s": step.advice.answered_s}
        return {
            name: round(now_s - at_s, 3)
            for name, at_s in times.items()
            if at_s is not None
        }

    def observe_wait(self, task: TaskRef) -> None:
        """Measure how long a job has waited, at its first start."""
        job = self.scheduler.ledger.jobs.get(task.job)
        if job is not None and job.state is JobState.QUEUED and len(job.runs) == 1:
            waited_s = max(0.0, time.time() - job.record.accepted_s)
            self.metrics.wait_seconds.labels(job.record.queue).observe(waited_s)

    def handle_start_result(self, message: StartCompleted, now_s: float) -> None:
        """Take in what came of a start."""
        if message.outcome is None:
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
            self.scheduler.worker_silent(message.worker)
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
        """Take in an answer about a step, or that there was none."""
        advice: Advice | None = message.advice
        ref: StepRef = message.step
        if advice is None:
            log.info("advice failed", job=ref.job, step=ref[1:], reason=message.detail)
        self.scheduler.advice_answered(ref, advice, message.asked_s, now_s)

    # Commits.

    def handle_commit_result(self, message: CommitDone, now_s: float) -> None:
        """Take in how a commit ended."""
        try:
            self.acknowledge(self.committer.commit_completed(message, now_s), now_s)
        except ShardLostError as error:
            log.warning("holding lost", token=self.token, reason=str(error))
            self.mark_shard_lost()

    def acknowledge(self, ends: AcknowledgedEnds, now_s: float) -> None:
        """Let workers forget the ends that are stored."""
        for worker_id, (born_ms, number) in ends.items():
            line = self.poll_states.get(worker_id)
            if line is None or line.born_ms != born_ms or number <= line.acknowledged:
                continue
            line.acknowledged = number
            if not line.calls_in_flight:
                line.due_s = now_s

    # Losing the shard.

    def mark_shard_lost(self) -> None:
        """Stop acting: another member schedules now."""
        self.authority.revoke()
        self.lost.set()
        self.stopping.set()

    def end(self) -> None:
        """Release threads; calls that wait end by themselves."""
        self.authority.revoke()
        for follower in self.followers:
            follower.stop()
        self.followers_pool.shutdown(wait=False, cancel_futures=True)
        self.dispatcher.close()
        self.committer.close()
        while True:
            try:
                message = self.inbox.get_nowait()
            except queue.Empty:
                return
            if isinstance(message, Query):
                message.answer.set_exception(ShardLostError("not the holder"))
