"""Durable acceptance of submitted jobs, and lookup by id."""

from collections.abc import Callable, Mapping
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.group_commit import WriteOutcome
from gooseberrydeck_coordination.ids import JobId, QueueName, ShardId, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_coordination.store import Store
from gooseberrydeck_coordination.stored_records import decode_entry
from gooseberrydeck_daemon.jobs.records import JobWrites, RecordWriter
from gooseberrydeck_scheduling import (
    JobRecord,
    JobSpec,
    QueueRules,
    SchedulerSettings,
    new_record,
)
from gooseberrydeck_scheduling.checks import find_refusal

__all__ = ["AcceptOutcome", "JobAcceptor", "ShardChoice"]

STORE_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 8.0

ShardChoice = Callable[[Resources, int], ShardId | None]
"""Return the shard for a number of tasks of a given size, or None if none fits."""


class AcceptOutcome:
    """The result of a submission."""

    __slots__ = ("detail", "outcome", "record", "shard")

    def __init__(
        self,
        outcome: WriteOutcome,
        shard: ShardId,
        record: JobRecord,
        detail: str = "",
    ) -> None:
        """Store the outcome of the write; ``detail`` explains why a job cannot run."""
        self.outcome = outcome
        self.shard = shard
        self.record = record
        self.detail = detail


class JobAcceptor:
    """Write submitted jobs to the store. Called from the threads of callers.

    Submission is idempotent: repeating it with the same id and content returns the
    existing job, so a caller that lost the response can safely send it again.
    """

    def __init__(
        self,
        store: Store,
        writes: JobWrites,
        writer: RecordWriter,
        choose_shard: ShardChoice,
        rules: Callable[[], Mapping[QueueName, QueueRules]],
        limits: Callable[[], Mapping[TeamName, int]],
        clock: Clock,
    ) -> None:
        """Write with ``writer`` and read from ``store``."""
        self.store = store
        self.writes = writes
        self.writer = writer
        self.choose_shard = choose_shard
        self.rules = rules
        self.limits = limits
        self.clock = clock
        self.settings = SchedulerSettings()

    def accept(self, spec: JobSpec) -> AcceptOutcome:
        """Validate a job, bind it to a shard and return once the outcome is known."""
        record = new_record(spec, self.clock.wall())
        refusal = find_refusal(spec, self.rules(), self.settings, self.limits())
        if refusal is not None:
            none = ShardId(-1)
            return AcceptOutcome(WriteOutcome.REFUSED, none, record, refusal.detail)
        shard = self.choose_shard(spec.resources, spec.tasks)
        if shard is None:
            detail = "no host that is known is large enough"
            return AcceptOutcome(WriteOutcome.REFUSED, ShardId(-1), record, detail)
        return self.resolve_conflict(shard, record, self.write(shard, record))

    def write(self, shard: ShardId, record: JobRecord) -> WriteOutcome:
        """Write a new job and wait for the outcome."""
        future: Future[WriteOutcome] = Future()
        write = self.writes.accept(shard, record)
        if not self.writer.write(write, future.set_result):
            return WriteOutcome.NOT_WRITTEN
        try:
            return future.result(WRITE_TIMEOUT_S)
        except FutureTimeoutError:
            return WriteOutcome.UNKNOWN

    def resolve_conflict(
        self, shard: ShardId, record: JobRecord, outcome: WriteOutcome
    ) -> AcceptOutcome:
        """Distinguish a repeated submission from another job with the same id."""
        if outcome is not WriteOutcome.CONFLICT:
            return AcceptOutcome(outcome, shard, record)
        try:
            found_shard, found = self.find(record.spec.id)
        except StoreError:
            return AcceptOutcome(WriteOutcome.UNKNOWN, shard, record)
        if found is not None and found.spec == record.spec:
            return AcceptOutcome(WriteOutcome.WRITTEN, found_shard, found)
        return AcceptOutcome(WriteOutcome.CONFLICT, found_shard, record)

    def find(self, job: JobId) -> tuple[ShardId, JobRecord | None]:
        """Return the shard of a job and its record; raise ``StoreError`` on failure.

        The record is None if the job is unknown. A record that can't be read is a
        failure: the job may have been accepted.
        """
        keys = self.writes.keys
        index = self.store.read(keys.job_index(job), STORE_TIMEOUT_S)
        if index is None:
            return ShardId(-1), None
        shard = ShardId(decode_entry(index, int))
        entry = self.store.read(keys.job(shard, job), STORE_TIMEOUT_S)
        return shard, decode_entry(entry, JobRecord) if entry is not None else None
