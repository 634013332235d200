"""The records of one shard's jobs, and what has yet to be written of them."""

from collections.abc import Callable, Iterable

from gooseberrydeck_coordination.group_commit import WriteOutcome
from gooseberrydeck_coordination.ids import HostName, JobId, Revision, ShardId, TaskId
from gooseberrydeck_daemon.jobs.records import JobWrites, RecordWriter
from gooseberrydeck_scheduling import JobRecord

__all__ = ["EndedTask", "RecordBook", "WriteAnswer"]

EndedTask = tuple[HostName, TaskId]
"""An ended task and its worker, to be acknowledged once it is recorded."""

RETRY_WRITE_S = 0.5
MAX_FORGOTTEN = 200


class WriteAnswer:
    """The outcome of one write of a job, as it comes back to the owner."""

    __slots__ = ("ended", "is_forget", "job", "outcome")

    def __init__(
        self,
        job: JobId,
        outcome: WriteOutcome,
        ended: frozenset[EndedTask],
        is_forget: bool = False,
    ) -> None:
        """Keep the outcome and the ended tasks that the write recorded."""
        self.job = job
        self.outcome = outcome
        self.ended = ended
        self.is_forget = is_forget


class RecordBook:
    """Hold a shard's records and write those that have changed.

    A job has one write under way at most, so that records reach the store in order.
    ``post`` brings a write's outcome back to the owner's own thread.
    """

    def __init__(
        self,
        shard: ShardId,
        claim: Revision,
        writes: JobWrites,
        writer: RecordWriter,
        post: Callable[[WriteAnswer], None],
    ) -> None:
        """Begin without records."""
        self.shard = shard
        self.claim = claim
        self.writes = writes
        self.writer = writer
        self.post = post
        self.records: dict[JobId, JobRecord] = {}
        self.changed: dict[JobId, set[EndedTask]] = {}
        self.under_way: set[JobId] = set()
        self.settled: set[JobId] = set()
        """Ended jobs whose final record is in the store."""
        self.is_superseded = False
        self.retry_s = float("-inf")

    def add(self, record: JobRecord) -> bool:
        """Take in a record from the store; return False if it is known."""
        job = record.spec.id
        if job in self.records:
            return False
        self.records[job] = record
        if record.state.is_final:
            self.settled.add(job)
        return True

    def change(self, job: JobId, ended: Iterable[EndedTask] = ()) -> None:
        """Note that a record has changed, and which ends it now tells."""
        self.changed.setdefault(job, set()).update(ended)

    def flush(self, now_s: float) -> None:
        """Write what has changed."""
        if now_s < self.retry_s or self.is_superseded:
            return
        for job in [job for job in self.changed if job not in self.under_way]:
            if not self.write(job):
                self.retry_s = now_s + RETRY_WRITE_S
                return

    def write(self, job: JobId) -> bool:
        """Write one record; return False if the writer is full."""
        ended = frozenset(self.changed[job])
        write = self.writes.change(self.shard, self.claim, self.records[job])

        def done(outcome: WriteOutcome) -> None:
            self.post(WriteAnswer(job, outcome, ended))

        del self.changed[job]
        self.under_way.add(job)
        if self.writer.write(write, done):
            return True
        self.under_way.discard(job)
        self.change(job, ended)
        return False

    def forget_old(self, before_s: float) -> None:
        """Delete the jobs that ended before a wall-clock time, some at a time."""
        old = [
            job
            for job in self.settled - self.under_way
            if self.records[job].ended_s < before_s
        ]
        for job in old[:MAX_FORGOTTEN]:
            self.forget(job)

    def forget(self, job: JobId) -> None:
        """Delete one ended job."""
        write = self.writes.forget(self.shard, self.claim, job)

        def done(outcome: WriteOutcome) -> None:
            self.post(WriteAnswer(job, outcome, frozenset(), is_forget=True))

        if self.writer.write(write, done):
            self.under_way.add(job)

    def forgotten(self, answer: WriteAnswer) -> None:
        """Take in the outcome of a deletion; one that failed is tried again."""
        self.under_way.discard(answer.job)
        if answer.outcome is WriteOutcome.WRITTEN:
            self.settled.discard(answer.job)
            self.records.pop(answer.job, None)
        self.is_superseded = self.is_superseded or (
            answer.outcome is WriteOutcome.CONFLICT
        )

    def written(self, answer: WriteAnswer, now_s: float) -> frozenset[EndedTask]:
        """Take in an outcome; return the ends that are recorded now."""
        self.under_way.discard(answer.job)
        if answer.outcome is WriteOutcome.WRITTEN:
            record = self.records.get(answer.job)
            is_last = answer.job not in self.changed
            if record is not None and record.state.is_final and is_last:
                self.settled.add(answer.job)
            return answer.ended
        if answer.outcome is WriteOutcome.CONFLICT:
            self.is_superseded = True
            return frozenset()
        if answer.outcome is WriteOutcome.REFUSED:
            self.drop_results(answer.job)
        self.change(answer.job, answer.ended)
        self.retry_s = now_s + RETRY_WRITE_S
        return frozenset()

    def drop_results(self, job: JobId) -> None:
        """Leave out what made a record too large for the store."""
        record = self.records[job]
        record.reason = record.reason or "the results were too large to be kept"
        for task in record.tasks:
            task.result = b""
            task.checkpoint = b""
