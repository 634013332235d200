"""Task that commits the job writes of a member in groups."""

import queue

import msgspec

from gooseberrydeck_coordination.group_commit import (
    CommitPacer,
    GroupCommitter,
    RecordWrite,
    WriteOutcome,
)
from gooseberrydeck_coordination.ids import StoreLeaseId
from gooseberrydeck_coordination.store import Store
from gooseberrydeck_daemon.jobs.records import WriteDone
from gooseberrydeck_service.tasks import Task

__all__ = ["CommitTask", "PendingWrite"]

MAX_WAITING_WRITES = 10_000
TICK_S = 0.1


class PendingWrite(msgspec.Struct, frozen=True):
    """A queued write and the callback for its outcome."""

    write: RecordWrite
    done: WriteDone


class CommitTask(Task[PendingWrite]):
    """Commit all queued writes in as few transactions as possible, at a paced rate.

    The marker needs no lease: writes of an owner require its claim, and writes that
    accept a job require that the job is new.
    """

    def __init__(self, store: Store, marker_key: str, pacer: CommitPacer) -> None:
        """Write to ``store``; ``marker_key`` must not be used by another member."""
        super().__init__("commit", MAX_WAITING_WRITES, TICK_S)
        self.pacer = pacer
        self.committer = GroupCommitter(store, marker_key, StoreLeaseId(0))

    def write(self, write: RecordWrite, done: WriteDone) -> bool:
        """Queue a write; return False if the queue is full."""
        return self.post(PendingWrite(write, done))

    def handle(self, message: PendingWrite) -> None:
        """Commit a write together with all others that are queued."""
        self.stopping.wait(self.pacer.delay_s())
        pending = [message, *self.drain_inbox()]
        self.commit(pending)

    def drain_inbox(self) -> list[PendingWrite]:
        """Remove and return all queued writes."""
        waiting: list[PendingWrite] = []
        while True:
            try:
                waiting.append(self.inbox.get_nowait())
            except queue.Empty:
                return waiting

    def commit(self, pending: list[PendingWrite]) -> None:
        """Commit writes and report the outcome of each."""
        self.pacer.record_commit()
        results = self.committer.commit([item.write for item in pending])
        for item, result in zip(pending, results, strict=True):
            item.done(result.outcome)

    def end(self) -> None:
        """Report all queued writes as not written."""
        for item in self.drain_inbox():
            item.done(WriteOutcome.NOT_WRITTEN)
