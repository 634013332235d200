"""Job records of one shard and the writes that are still to be made."""

from collections.abc import Callable, Iterable

from gooseberrydeck_coordination.group_commit import WriteOutcome
from gooseberrydeck_coordination.ids import HostName, JobId, Revision, ShardId, TaskId
from gooseberrydeck_daemon.jobs.records import JobWrites, RecordWriter
from gooseberrydeck_scheduling import JobRecord

__all__ = ["EndedTask", "JobWriteResult", "RecordTable"]

EndedTask = tuple[HostName, TaskId]
"""An ended task and its worker, acknowledged once the end is stored."""

WRITE_RETRY_S = 0.5
MAX_DELETIONS_PER_PASS = 200


class JobWriteResult:
    """The outcome of one write of a job's record."""

    __slots__ = ("ended", "is_deletion", "job", "outcome")

    def __init__(
        self,
        job: JobId,
        outcome: WriteOutcome,
        ended: frozenset[EndedTask],
        is_deletion: bool = False,
    ) -> None:
        """Store the outcome and the ended tasks that the write recorded."""
        self.job = job
        self.outcome = outcome
        self.ended = ended
        self.is_deletion = is_deletion


class RecordTable:
    """Hold the records of a shard's jobs and write the changed ones to the store.

    At most one write per job is in flight, so that records reach the store in order.
    ``post`` passes the result of a write to the thread of the owner.
    """

    def __init__(
        self,
        shard: ShardId,
        claim: Revision,
        writes: JobWrites,
        writer: RecordWriter,
        post: Callable[[JobWriteResult], None],
    ) -> None:
        """Create an empty table.

        ``claim`` is the revision of the shard's ownership record at the takeover.
        """
        self.shard = shard
        self.claim = claim
        self.writes = writes
        self.writer = writer
        self.post = post
        self.records: dict[JobId, JobRecord] = {}
        self.changed: dict[JobId, set[EndedTask]] = {}
        self.in_flight: set[JobId] = set()
        self.durably_ended: set[JobId] = set()
        """Ended jobs whose final record is stored."""
        self.is_superseded = False
        self.retry_s = float("-inf")

    def add(self, record: JobRecord) -> bool:
        """Add a record read from the store; return False if it is already known."""
        job = record.spec.id
        if job in self.records:
            return False
        self.records[job] = record
        if record.state.is_final:
            self.durably_ended.add(job)
        return True

    def mark_changed(self, job: JobId, ended: Iterable[EndedTask] = ()) -> None:
        """Mark a record as changed; ``ended`` are the task ends it now includes."""
        self.changed.setdefault(job, set()).update(ended)

    def flush(self, now_s: float) -> None:
        """Write the changed records that have no write in flight."""
        if now_s < self.retry_s or self.is_superseded:
            return
        for job in [job for job in self.changed if job not in self.in_flight]:
            if not self.write(job):
                self.retry_s = now_s + WRITE_RETRY_S
                return

    def write(self, job: JobId) -> bool:
        """Start the write of one record; return False if the writer's queue is full."""
        ended = frozenset(self.changed[job])
        write = self.writes.update(self.shard, self.claim, self.records[job])

        def done(outcome: WriteOutcome) -> None:
            self.post(JobWriteResult(job, outcome, ended))

        del self.changed[job]
        self.in_flight.add(job)
        if self.writer.write(write, done):
            return True
        self.in_flight.discard(job)
        self.mark_changed(job, ended)
        return False

    def delete_ended_before(self, before_s: float) -> None:
        """Delete jobs that ended before a wall-clock time, a limited number at once."""
        old = [
            job
            for job in self.durably_ended - self.in_flight
            if self.records[job].ended_s < before_s
        ]
        for job in old[:MAX_DELETIONS_PER_PASS]:
            self.delete(job)

    def delete(self, job: JobId) -> None:
        """Start deleting one ended job, unless the writer's queue is full."""
        write = self.writes.delete(self.shard, self.claim, job)

        def done(outcome: WriteOutcome) -> None:
            self.post(JobWriteResult(job, outcome, frozenset(), is_deletion=True))

        if self.writer.write(write, done):
            self.in_flight.add(job)

    def record_delete_result(self, result: JobWriteResult) -> None:
        """Remove a deleted job; one whose deletion failed is deleted again later."""
        self.in_flight.discard(result.job)
        if result.outcome is WriteOutcome.WRITTEN:
            self.durably_ended.discard(result.job)
            self.records.pop(result.job, None)
        self.is_superseded = self.is_superseded or (
            result.outcome is WriteOutcome.CONFLICT
        )

    def record_write_result(
        self, result: JobWriteResult, now_s: float
    ) -> frozenset[EndedTask]:
        """Apply the result of a write; return the task ends that are stored now.

        A conflict means that another owner has claimed the shard. A refused record is
        too large, so it is written again without results. Other failures are retried.
        """
        self.in_flight.discard(result.job)
        if result.outcome is WriteOutcome.WRITTEN:
            record = self.records.get(result.job)
            is_last = result.job not in self.changed
            if record is not None and record.state.is_final and is_last:
                self.durably_ended.add(result.job)
            return result.ended
        if result.outcome is WriteOutcome.CONFLICT:
            self.is_superseded = True
            return frozenset()
        if result.outcome is WriteOutcome.REFUSED:
            self.drop_results(result.job)
        self.mark_changed(result.job, result.ended)
        self.retry_s = now_s + WRITE_RETRY_S
        return frozenset()

    def drop_results(self, job: JobId) -> None:
        """Remove results and checkpoints from a record too large for the store."""
        record = self.records[job]
        record.reason = record.reason or "the results were too large to be kept"
        for task in record.tasks:
            task.result = b""
            task.checkpoint = b""
