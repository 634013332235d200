"""Task that runs the jobs of the shards that this member owns."""

from collections.abc import Callable, Iterable
from concurrent.futures import Executor

import structlog

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.decoding import DecodingError
from gooseberrydeck_coordination.exceptions import RecordUnreadableError, StoreError
from gooseberrydeck_coordination.ids import Epoch, ShardId
from gooseberrydeck_coordination.ownership import OwnedShard, OwnershipView
from gooseberrydeck_coordination.store import Entry, Store
from gooseberrydeck_coordination.stored_records import decode_entry
from gooseberrydeck_daemon.jobs.dependencies import (
    CellRules,
    InboxRunner,
    ShardDependencies,
)
from gooseberrydeck_daemon.jobs.links import Authority, WorkerLink
from gooseberrydeck_daemon.jobs.messages import (
    CallDone,
    CancelAnswer,
    CancelJobs,
    JobBound,
    JobQuery,
    JobsMessage,
    LocalCancel,
    LocalQuery,
    RecordsLoaded,
    ShardWriteResult,
)
from gooseberrydeck_daemon.jobs.owner import ATTEMPTS_PER_EPOCH, ShardJobs
from gooseberrydeck_daemon.jobs.pending_requests import PendingRequests
from gooseberrydeck_daemon.jobs.record_table import JobWriteResult, RecordTable
from gooseberrydeck_daemon.jobs.records import JobWrites, RecordWriter
from gooseberrydeck_daemon.jobs.summaries import summarize
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers import Inbound
from gooseberrydeck_daemon.usage import ShardUsage, UsageTable
from gooseberrydeck_scheduling import (
    JobRecord,
    Scheduler,
    decode_record,
)
from gooseberrydeck_service.tasks import Task
from gooseberrydeck_service.unreadable_log import UnreadableEvent, UnreadableLog

__all__ = ["JobsTask"]

INBOX_SIZE = 20_000
TICK_S = 0.05
SCAN_INTERVAL_S = 30.0
RESCAN_DELAY_S = 1.0
SUMMARY_INTERVAL_S = 0.25
STORE_TIMEOUT_S = 5.0

log = structlog.get_logger(__name__)


class JobsTask(Task[JobsMessage]):
    """Run the jobs of every owned shard; blocking calls are made in an executor."""

    def __init__(
        self,
        dependencies: ShardDependencies,
        store: Store,
        writes: JobWrites,
        writer: RecordWriter,
        executor: Executor,
        clock: Clock,
        lease_s: float,
        metrics: Metrics,
        usage: UsageTable,
    ) -> None:
        """Create the task without shards; they are added according to ownership.

        ``usage`` provides the resources that teams use in shards of other members.
        """
        super().__init__("jobs", INBOX_SIZE, TICK_S)
        self.dependencies = dependencies
        self.store = store
        self.writes = writes
        self.writer = writer
        self.executor = executor
        self.clock = clock
        self.lease_s = lease_s
        self.metrics = metrics
        self.usage = usage
        self.summaries: tuple[ShardUsage, ...] = ()
        """The newest summaries of the owned shards; safe to read from any thread."""
        self.unreadable = UnreadableLog(clock.monotonic)
        self.summary_sequence = 0
        self.summary_s = float("-inf")
        self.shards: dict[ShardId, ShardJobs] = {}
        self.next_scan_s: dict[ShardId, float] = {}
        self.pending_requests = PendingRequests(self.shards, clock)
        self.last_step_s = float("-inf")
        self.rules: CellRules | None = None
        self.reported_adoption: dict[ShardId, tuple[Epoch, bool]] = {}
        self.on_adoption_changed: Callable[[ShardId, Epoch, bool], object] = (
            ignore_adoption_change
        )
        """Called when a shard becomes fully adopted, or no longer is."""

    def is_idle(self, shard: ShardId) -> bool:
        """Return True if no worker call of a shard is in flight. Thread-safe."""
        jobs = self.shards.get(shard)
        return jobs is None or not any(
            link.is_busy for link in list(jobs.links.values())
        )

    def receive(self, inbound: Inbound) -> None:
        """Queue a peer's message; it is dropped if the inbox is full."""
        if not self.post(inbound):
            self.metrics.count("jobs.messages.dropped")

    def handle(self, message: JobsMessage) -> None:
        """Handle one message, and run a tick if one is due."""
        match message:
            case CallDone():
                message.done(message.future)
            case ShardWriteResult():
                self.handle_write_result(message)
            case RecordsLoaded():
                self.apply_records(message)
            case JobBound():
                self.accept_bound_job(message)
            case LocalQuery():
                self.pending_requests.query(message.query, message.reply)
            case LocalCancel():
                self.cancel(message.cancel, message.reply)
            case Inbound():
                self.handle_peer_message(message)
        if self.clock.monotonic() - self.last_step_s >= TICK_S:
            self.tick()

    def handle_peer_message(self, inbound: Inbound) -> None:
        """Handle a message from a peer."""
        match inbound.message:
            case JobBound():
                self.accept_bound_job(inbound.message)
            case JobQuery():
                self.pending_requests.query(inbound.message, inbound.reply)
            case CancelJobs():
                self.cancel(inbound.message, inbound.reply)

    def cancel(self, cancel: CancelJobs, reply: Callable[[CancelAnswer], None]) -> None:
        """Cancel jobs of all owned shards, including one that has just been claimed."""
        self.sync_ownership(self.dependencies.view())
        self.pending_requests.cancel(cancel, reply)

    def tick(self) -> None:
        """Apply ownership, rules and workers, then run a step of each shard."""
        self.last_step_s = self.clock.monotonic()
        view = self.dependencies.view()
        self.sync_ownership(view)
        self.sync_rules()
        self.sync_workers(view)
        for shard, jobs in self.shards.items():
            self.scan_if_due(shard, jobs)
            jobs.step()
        self.report_adoption()
        self.unreadable.summarize()
        self.pending_requests.resolve()
        self.schedule_rescans()
        if self.last_step_s - self.summary_s >= SUMMARY_INTERVAL_S:
            self.update_summaries()

    def sync_ownership(self, view: OwnershipView) -> None:
        """Add newly owned shards and drop those that are no longer owned."""
        for shard, jobs in tuple(self.shards.items()):
            owned = view.owned.get(shard)
            if owned is None or owned.epoch != jobs.owned.epoch:
                del self.shards[shard]
                self.next_scan_s.pop(shard, None)
                log.info("jobs of shard dropped", shard=shard, epoch=jobs.owned.epoch)
            else:
                jobs.update(owned)
        for shard, owned in view.owned.items():
            if shard not in self.shards and not owned.is_releasing:
                self.shards[shard] = self.create_shard_jobs(owned)
                log.info("jobs of shard taken over", shard=shard, epoch=owned.epoch)

    def create_shard_jobs(self, owned: OwnedShard) -> ShardJobs:
        """Return the state of a newly owned shard, without its records."""
        shard = owned.shard
        rules = self.dependencies.rules()
        first_attempt = owned.epoch * ATTEMPTS_PER_EPOCH
        scheduler = Scheduler(rules.queues.values(), first_attempt=first_attempt)
        apply_rules(scheduler, rules)

        def post(result: JobWriteResult) -> None:
            self.inbox.put(ShardWriteResult(shard, result))

        record_table = RecordTable(
            shard, owned.revision, self.writes, self.writer, post
        )
        return ShardJobs(
            owned,
            scheduler,
            record_table,
            InboxRunner(self.executor, self.inbox.put),
            self.clock,
            self.lease_s,
            lambda: self.dependencies.workers_of(shard),
            self.dependencies.units(shard),
        )

    def report_adoption(self) -> None:
        """Report changes of whether all workers of a shard are adopted.

        A successor can take over a fully adopted shard without waiting for leases to
        expire.
        """
        for shard, jobs in self.shards.items():
            adoption = (jobs.owned.epoch, jobs.all_workers_adopted())
            if self.reported_adoption.get(shard) != adoption:
                self.reported_adoption[shard] = adoption
                self.on_adoption_changed(shard, *adoption)

    def sync_rules(self) -> None:
        """Apply a new configuration to the schedulers of all shards."""
        rules = self.dependencies.rules()
        if rules is self.rules:
            return
        self.rules = rules
        for jobs in self.shards.values():
            apply_rules(jobs.scheduler, rules)

    def sync_workers(self, view: OwnershipView) -> None:
        """Create links to new workers of owned shards."""
        workers = self.dependencies.workers()
        for host, info in workers.items():
            shard = view.shard_of(host)
            jobs = self.shards.get(shard) if shard is not None else None
            if jobs is None or host in jobs.links:
                continue
            authority = Authority(
                self.dependencies.view, jobs.owned.shard, jobs.owned.epoch
            )
            worker = self.dependencies.connect(host)
            jobs.add_worker(
                WorkerLink(info, worker, jobs.owned.quarantine, authority, self.clock)
            )

    def update_summaries(self) -> None:
        """Summarize the owned shards, and apply what teams use in other shards."""
        self.summary_s = self.last_step_s
        self.summary_sequence += 1
        loaded = [jobs for jobs in self.shards.values() if jobs.is_loaded]
        self.summaries = tuple(
            summarize(jobs, self.summary_sequence) for jobs in loaded
        )
        self.usage.observe(self.summaries)
        for jobs in loaded:
            other_shards = self.usage.of_other_shards({jobs.owned.shard})
            jobs.scheduler.set_other_shards(other_shards.capacity, other_shards.teams)
            jobs.report_demand()

    def schedule_rescans(self) -> None:
        """Schedule an early scan of shards for which an unknown job was requested."""
        soon_s = self.clock.monotonic() + RESCAN_DELAY_S
        for shard in self.pending_requests.shards_to_rescan & self.next_scan_s.keys():
            self.next_scan_s[shard] = min(self.next_scan_s[shard], soon_s)
        self.pending_requests.shards_to_rescan.clear()

    def scan_if_due(self, shard: ShardId, jobs: ShardJobs) -> None:
        """Read the shard's records at the takeover, then periodically.

        The periodic scan finds jobs whose ``JobBound`` message was lost.
        """
        now_s = self.clock.monotonic()
        if now_s < self.next_scan_s.get(shard, float("-inf")):
            return
        self.next_scan_s[shard] = now_s + SCAN_INTERVAL_S
        epoch = jobs.owned.epoch
        prefix = self.writes.keys.shard_jobs_prefix(shard)

        def read() -> None:
            try:
                found = self.store.read_prefix(prefix, STORE_TIMEOUT_S)
            except StoreError:
                self.inbox.put(RecordsLoaded(shard, epoch, now_s, None))
                return
            records, unreadable = decode_records(found.entries)
            self.inbox.put(RecordsLoaded(shard, epoch, now_s, records, unreadable))

        self.executor.submit(read)

    def apply_records(self, loaded: RecordsLoaded) -> None:
        """Add the records read from the store to their shard.

        A job whose record can't be read is left alone until a later scan can read it.
        """
        for error in loaded.unreadable:
            self.metrics.count("jobs.records.unreadable")
            self.unreadable.report(UnreadableEvent.RECORD, error.key, error.reason)
        jobs = self.shards.get(loaded.shard)
        if jobs is None or jobs.owned.epoch != loaded.epoch:
            return
        if loaded.records is None:
            self.next_scan_s[loaded.shard] = self.clock.monotonic() + RESCAN_DELAY_S
            return
        if jobs.is_loaded:
            self.accept_all(jobs, loaded.records)
        else:
            jobs.load(loaded.records)
        jobs.read_s = max(jobs.read_s, loaded.begun_s)

    def accept_all(self, jobs: ShardJobs, records: Iterable[JobRecord]) -> None:
        """Accept the records for which the notification was lost."""
        for record in records:
            self.accept(jobs, record)

    def accept_bound_job(self, bound: JobBound) -> None:
        """Accept a job that was bound to a shard."""
        jobs = self.shards.get(bound.shard)
        if jobs is not None:
            try:
                record = decode_record(bound.record)
            except DecodingError as error:
                # The next scan finds the job in the store.
                self.metrics.count("jobs.messages.unreadable")
                name = f"notification for shard {bound.shard}"
                self.unreadable.report(UnreadableEvent.RECORD, name, str(error))
                return
            self.accept(jobs, record)

    def accept(self, jobs: ShardJobs, record: JobRecord) -> None:
        """Accept a job, or read it again later if its queue is not known here yet.

        The member that accepted the job may have a newer configuration. An accepted job
        must not be refused for that reason.
        """
        self.sync_rules()
        if self.rules is not None and self.rules.queue(record.spec.queue) is None:
            self.metrics.count("jobs.queue.unknown")
            soon_s = self.clock.monotonic() + RESCAN_DELAY_S
            shard = jobs.owned.shard
            self.next_scan_s[shard] = min(self.next_scan_s.get(shard, soon_s), soon_s)
            return
        jobs.accept(record)

    def handle_write_result(self, write: ShardWriteResult) -> None:
        """Apply the result of a write; results of earlier epochs are ignored."""
        jobs = self.shards.get(write.shard)
        if jobs is not None and write.result.job in jobs.record_table.in_flight:
            jobs.handle_write_result(write.result)


def ignore_adoption_change(shard: ShardId, epoch: Epoch, is_settled: bool) -> None:
    """Do nothing; the default callback."""


def apply_rules(scheduler: Scheduler, rules: CellRules) -> None:
    """Set the queues, shares and limits of a scheduler."""
    scheduler.set_rules(rules.queues.values())
    scheduler.set_shares(rules.weights)
    scheduler.set_team_limits(rules.limits)


def decode_records(
    entries: Iterable[Entry],
) -> tuple[tuple[JobRecord, ...], tuple[RecordUnreadableError, ...]]:
    """Return the records of jobs, and why the others can't be read."""
    records, unreadable = [], []
    for entry in entries:
        try:
            records.append(decode_entry(entry, JobRecord))
        except RecordUnreadableError as error:
            unreadable.append(error)
    return tuple(records), tuple(unreadable)
