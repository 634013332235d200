"""Answer questions about jobs, and cancellations, once their answer is durable."""

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

__all__ = ["Answers"]

CANCEL_TIMEOUT_S = 5.0
ANY_SHARD = ShardId(-1)


class WaitingQuery(msgspec.Struct, frozen=True):
    """A caller that waits for a job's end until ``deadline_s``."""

    query: JobQuery
    answer: Callable[[JobAnswer], None]
    deadline_s: float


class WaitingCancel(msgspec.Struct):
    """A cancellation that is not recorded yet; ``jobs`` is None until carried out."""

    cancel: CancelJobs
    answer: Callable[[CancelAnswer], None]
    deadline_s: float
    jobs: frozenset[JobId] | None = None


class Answers:
    """Keep the callers that wait, for all owned shards; used by the jobs task."""

    def __init__(self, shards: Mapping[ShardId, ShardJobs], clock: Clock) -> None:
        """Answer about ``shards``, as they are at the time."""
        self.shards = shards
        self.clock = clock
        self.queries: list[WaitingQuery] = []
        self.cancels: list[WaitingCancel] = []
        self.missing: set[ShardId] = set()
        """Shards of which a job was asked for that is not known yet."""

    def query(self, query: JobQuery, answer: Callable[[JobAnswer], None]) -> None:
        """Answer at once, or when the job has ended."""
        deadline_s = self.clock.monotonic() + query.wait_s
        waiting = WaitingQuery(query, answer, deadline_s)
        if not self.try_answer(waiting):
            self.queries.append(waiting)

    def try_answer(self, waiting: WaitingQuery) -> bool:
        """Answer a query, unless it is worth waiting for the job's end."""
        query = waiting.query
        is_late = self.clock.monotonic() >= waiting.deadline_s
        jobs = self.shards.get(query.shard)
        if jobs is None:
            waiting.answer(JobAnswer(is_owner=False))
            return True
        record = jobs.book.records.get(query.job)
        if record is None and not is_late:
            self.missing.add(query.shard)
            return False
        if record is None or record.spec.team != query.team:
            waiting.answer(JobAnswer())
            return True
        if query.job not in jobs.book.settled and not is_late:
            return False
        waiting.answer(JobAnswer(encode_record(record)))
        return True

    def cancel(
        self, cancel: CancelJobs, answer: Callable[[CancelAnswer], None]
    ) -> None:
        """Cancel what is meant in the owned shards; answer once it is recorded."""
        deadline_s = self.clock.monotonic() + CANCEL_TIMEOUT_S
        waiting = WaitingCancel(cancel, answer, deadline_s)
        self.carry_out(waiting)
        self.cancels.append(waiting)

    def carry_out(self, waiting: WaitingCancel) -> None:
        """Cancel what is meant, once the shards and the job are known."""
        cancel = waiting.cancel
        asked = [
            jobs
            for shard, jobs in self.shards.items()
            if cancel.shard in (shard, ANY_SHARD)
        ]
        if waiting.jobs is not None or not all(jobs.is_loaded for jobs in asked):
            return
        if cancel.job and not any(cancel.job in jobs.book.records for jobs in asked):
            self.missing.add(cancel.shard)
            return
        cancelled: set[JobId] = set()
        for jobs in asked:
            records = jobs.book.records
            meant = [job for job, found in records.items() if is_meant(cancel, found)]
            jobs.cancel(meant)
            cancelled.update(meant)
        waiting.jobs = frozenset(cancelled)

    def settle(self) -> None:
        """Answer those that need not wait any longer."""
        for waiting in self.cancels:
            self.carry_out(waiting)
        self.queries = [each for each in self.queries if not self.try_answer(each)]
        unwritten = self.unwritten()
        self.cancels = [
            each for each in self.cancels if not self.try_confirm(each, unwritten)
        ]

    def unwritten(self) -> set[JobId]:
        """Return the jobs whose newest record is not in the store yet."""
        books = [jobs.book for jobs in self.shards.values()]
        return {job for book in books for job in (*book.changed, *book.under_way)}

    def try_confirm(self, waiting: WaitingCancel, unwritten: set[JobId]) -> bool:
        """Confirm a cancellation that is recorded or has waited too long."""
        jobs = waiting.jobs
        is_recorded = jobs is not None and jobs.isdisjoint(unwritten)
        if not is_recorded and self.clock.monotonic() < waiting.deadline_s:
            return False
        waiting.answer(CancelAnswer(len(jobs or ()), is_recorded))
        return True


def is_meant(cancel: CancelJobs, record: JobRecord) -> bool:
    """Tell whether a cancellation means a job; one that has ended is not meant."""
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
