"""Store transactions that accept, update, delete and move jobs."""

from collections.abc import Callable
from typing import Protocol

from gooseberrydeck_coordination.group_commit import RecordWrite, WriteOutcome
from gooseberrydeck_coordination.ids import JobId, Revision, ShardId
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.store import (
    Compare,
    CompareTarget,
    Delete,
    Put,
    compare_absent,
)
from gooseberrydeck_scheduling import JobRecord, encode_record

__all__ = ["JobWrites", "RecordWriter", "WriteDone"]

WriteDone = Callable[[WriteOutcome], None]


class RecordWriter(Protocol):
    """Commits record writes in groups."""

    def write(self, write: RecordWrite, done: WriteDone) -> bool:
        """Queue a write; ``done`` is called with its outcome, on any thread.

        Return False, without calling ``done``, if the queue is full.
        """


class JobWrites:
    """Build the store writes of one cell's jobs.

    Each write of an owner requires that the shard's ownership record is unchanged since
    the owner's claim, so a superseded owner cannot modify jobs.
    """

    def __init__(self, keys: StoreKeys) -> None:
        """Build writes to the keys of ``keys``."""
        self.keys = keys

    def accept(self, shard: ShardId, record: JobRecord) -> RecordWrite:
        """Return a write that binds a new job to a shard.

        It conflicts if the id is in use.
        """
        job = record.spec.id
        return RecordWrite(
            (compare_absent(self.keys.job_index(job)),),
            (
                Put(self.keys.job_index(job), str(shard).encode()),
                Put(self.keys.job(shard, job), encode_record(record)),
            ),
        )

    def update(self, shard: ShardId, claim: Revision, record: JobRecord) -> RecordWrite:
        """Return a write that replaces the record of a job of an owned shard."""
        key = self.keys.job(shard, record.spec.id)
        return RecordWrite(
            (self.compare_claim(shard, claim),), (Put(key, encode_record(record)),)
        )

    def delete(self, shard: ShardId, claim: Revision, job: JobId) -> RecordWrite:
        """Return a write that deletes an ended job and its index entry."""
        return RecordWrite(
            (self.compare_claim(shard, claim),),
            (Delete(self.keys.job(shard, job)), Delete(self.keys.job_index(job))),
        )

    def move(
        self, shard: ShardId, claim: Revision, target: ShardId, record: JobRecord
    ) -> RecordWrite:
        """Return a write that binds a job without running tasks to another shard."""
        job = record.spec.id
        return RecordWrite(
            (self.compare_claim(shard, claim),),
            (
                Delete(self.keys.job(shard, job)),
                Put(self.keys.job(target, job), encode_record(record)),
                Put(self.keys.job_index(job), str(target).encode()),
            ),
        )

    def compare_claim(self, shard: ShardId, claim: Revision) -> Compare:
        """Return the condition that the shard was not claimed again."""
        return Compare(self.keys.shard(shard), CompareTarget.MOD_REVISION, claim)
