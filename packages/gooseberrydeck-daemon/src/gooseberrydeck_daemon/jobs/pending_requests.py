"""Queries and cancellations of jobs that wait for a durable reply."""

from collections.abc import Callable, Mapping

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import JobId, ShardId
from gooseberrydeck_daemon.jobs.messages import (
    CancelAnswer,
    CancelJobs,
    JobAnswer,
    JobQuery,
)
from gooseberrydeck_daemon.jobs.owner import ShardJobs
from gooseberrydeck_scheduling import JobRecord, encode_record

__all__ = ["PendingRequests"]

CANCEL_TIMEOUT_S = 5.0
ANY_SHARD = ShardId(-1)


class PendingQuery(msgspec.Struct, frozen=True):
    """A query that waits for a job's end until a monotonic ``deadline_s``."""

    query: JobQuery
    reply: Callable[[JobAnswer], None]
    deadline_s: float


class PendingCancel(msgspec.Struct):
    """A cancellation that is not stored yet; ``jobs`` is None until it is applied.

    It arrived at ``arrived_s`` in monotonic seconds.
    """

    cancel: CancelJobs
    reply: Callable[[CancelAnswer], None]
    arrived_s: float
    deadline_s: float
    jobs: frozenset[JobId] | None = None


class PendingRequests:
    """Track unanswered requests for all owned shards, on the jobs task's thread."""

    def __init__(self, shards: Mapping[ShardId, ShardJobs], clock: Clock) -> None:
        """Read from ``shards``, which the jobs task updates in place."""
        self.shards = shards
        self.clock = clock
        self.queries: list[PendingQuery] = []
        self.cancels: list[PendingCancel] = []
        self.shards_to_rescan: set[ShardId] = set()
        """Shards with a request for a job that is not known yet."""

    def query(self, query: JobQuery, reply: Callable[[JobAnswer], None]) -> None:
        """Reply to a query immediately, or when the job has ended."""
        deadline_s = self.clock.monotonic() + query.wait_s
        pending = PendingQuery(query, reply, deadline_s)
        if not self.try_reply(pending):
            self.queries.append(pending)

    def try_reply(self, pending: PendingQuery) -> bool:
        """Reply to a query unless it should wait longer; return True if replied."""
        query = pending.query
        is_late = self.clock.monotonic() >= pending.deadline_s
        jobs = self.shards.get(query.shard)
        if jobs is None:
            pending.reply(JobAnswer(is_owner=False))
            return True
        record = jobs.record_table.records.get(query.job)
        if record is None and not is_late:
            self.shards_to_rescan.add(query.shard)
            return False
        if record is None or record.spec.team != query.team:
            pending.reply(JobAnswer())
            return True
        if query.job not in jobs.record_table.durably_ended and not is_late:
            return False
        pending.reply(JobAnswer(encode_record(record)))
        return True

    def cancel(self, cancel: CancelJobs, reply: Callable[[CancelAnswer], None]) -> None:
        """Cancel the matching jobs of the owned shards; reply once this is stored."""
        now_s = self.clock.monotonic()
        pending = PendingCancel(cancel, reply, now_s, now_s + CANCEL_TIMEOUT_S)
        self.apply_cancel(pending)
        self.cancels.append(pending)

    def apply_cancel(self, pending: PendingCancel) -> None:
        """Cancel the matching jobs once the shards and the job are loaded.

        Jobs of a queue may have been accepted of which the owner has not been notified.
        They are read first, or they would run after the cancellation was confirmed.
        """
        cancel = pending.cancel
        targets = [
            jobs
            for shard, jobs in self.shards.items()
            if cancel.shard in (shard, ANY_SHARD)
        ]
        if pending.jobs is not None or not all(jobs.is_loaded for jobs in targets):
            return
        if cancel.job and not any(
            cancel.job in jobs.record_table.records for jobs in targets
        ):
            self.shards_to_rescan.add(cancel.shard)
            return
        if not cancel.job:
            unread = {
                shard
                for shard, jobs in self.shards.items()
                if jobs in targets and jobs.read_s < pending.arrived_s
            }
            if unread:
                self.shards_to_rescan.update(unread)
                return
        cancelled: set[JobId] = set()
        for jobs in targets:
            records = jobs.record_table.records
            matching = [
                job for job, found in records.items() if matches_cancel(cancel, found)
            ]
            jobs.cancel(matching)
            cancelled.update(matching)
        pending.jobs = frozenset(cancelled)

    def resolve(self) -> None:
        """Reply to all requests that are complete or have timed out."""
        for pending in self.cancels:
            self.apply_cancel(pending)
        self.queries = [each for each in self.queries if not self.try_reply(each)]
        unwritten_jobs = self.unwritten_jobs()
        self.cancels = [
            each for each in self.cancels if not self.try_confirm(each, unwritten_jobs)
        ]

    def unwritten_jobs(self) -> set[JobId]:
        """Return the jobs whose newest record is not stored yet."""
        record_tables = [jobs.record_table for jobs in self.shards.values()]
        return {
            job
            for record_table in record_tables
            for job in (*record_table.changed, *record_table.in_flight)
        }

    def try_confirm(self, pending: PendingCancel, unwritten_jobs: set[JobId]) -> bool:
        """Reply to a cancellation if it is stored or timed out; return True if so."""
        jobs = pending.jobs
        is_recorded = jobs is not None and jobs.isdisjoint(unwritten_jobs)
        if not is_recorded and self.clock.monotonic() < pending.deadline_s:
            return False
        pending.reply(CancelAnswer(len(jobs or ()), is_recorded))
        return True


def matches_cancel(cancel: CancelJobs, record: JobRecord) -> bool:
    """Return True if a job has not ended and matches a cancellation's criteria."""
    spec = record.spec
    if record.state.is_final or spec.team != cancel.team:
        return False
    if cancel.job:
        return spec.id == cancel.job
    if cancel.queue and spec.queue != cancel.queue:
        return False
    if cancel.label:
        return spec.labels.get(cancel.label) == cancel.value
    return bool(cancel.queue)
