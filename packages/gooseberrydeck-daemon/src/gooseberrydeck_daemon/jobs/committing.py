"""The task that commits the writes of a member in groups."""

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
    """A write and who wants to know its outcome."""

    write: RecordWrite
    done: WriteDone


class CommitTask(Task[PendingWrite]):
    """Commit what waits, as much as fits at once, within the pacer's rate.

    The marker needs no lease: what an owner writes requires its claim, and what is
    accepted requires that the job is new.
    """

    def __init__(self, store: Store, marker_key: str, pacer: CommitPacer) -> None:
        """Write to ``store`` under a marker that no other member writes."""
        super().__init__("commit", MAX_WAITING_WRITES, TICK_S)
        self.pacer = pacer
        self.committer = GroupCommitter(store, marker_key, StoreLeaseId(0))

    def write(self, write: RecordWrite, done: WriteDone) -> bool:
        """Take a write, or return False if too many wait."""
        return self.post(PendingWrite(write, done))

    def handle(self, message: PendingWrite) -> None:
        """Commit a write together with all others that wait."""
        self.stopping.wait(self.pacer.delay_s())
        pending = [message, *self.drain_inbox()]
        self.commit(pending)

    def drain_inbox(self) -> list[PendingWrite]:
        """Return what waits in the inbox now."""
        waiting: list[PendingWrite] = []
        while True:
            try:
                waiting.append(self.inbox.get_nowait())
            except queue.Empty:
                return waiting

    def commit(self, pending: list[PendingWrite]) -> None:
        """Commit writes and tell each writer the outcome."""
        self.pacer.record_commit()
        results = self.committer.commit([item.write for item in pending])
        for item, result in zip(pending, results, strict=True):
            item.done(result.outcome)

    def end(self) -> None:
        """Tell the writers that still wait that nothing was written."""
        for item in self.drain_inbox():
            item.done(WriteOutcome.NOT_WRITTEN)
