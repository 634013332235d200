"""The writes by which jobs are accepted, changed and forgotten."""

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
    """Commit writes in groups."""

    def write(self, write: RecordWrite, done: WriteDone) -> bool:
        """Take a write and call ``done`` with its outcome, from any thread.

        Return False, and call nothing, if too many writes wait already.
        """


class JobWrites:
    """Build the writes of one cell's jobs.

    What an owner writes requires that the shard's record has not changed since its
    claim, so that an owner that has been succeeded changes nothing.
    """

    def __init__(self, keys: StoreKeys) -> None:
        """Write below ``keys``."""
        self.keys = keys

    def accept(self, shard: ShardId, record: JobRecord) -> RecordWrite:
        """Bind a new job to a shard; it conflicts if the id has been used."""
        job = record.spec.id
        return RecordWrite(
            (compare_absent(self.keys.job_index(job)),),
            (
                Put(self.keys.job_index(job), str(shard).encode()),
                Put(self.keys.job(shard, job), encode_record(record)),
            ),
        )

    def update(self, shard: ShardId, claim: Revision, record: JobRecord) -> RecordWrite:
        """Replace the record of a job of an owned shard."""
        key = self.keys.job(shard, record.spec.id)
        return RecordWrite(
            (self.compare_claim(shard, claim),), (Put(key, encode_record(record)),)
        )

    def delete(self, shard: ShardId, claim: Revision, job: JobId) -> RecordWrite:
        """Delete an ended job."""
        return RecordWrite(
            (self.compare_claim(shard, claim),),
            (Delete(self.keys.job(shard, job)), Delete(self.keys.job_index(job))),
        )

    def move(
        self, shard: ShardId, claim: Revision, target: ShardId, record: JobRecord
    ) -> RecordWrite:
        """Bind a job of which nothing runs to another shard."""
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
        """Require that the shard's record is still that of the claim."""
        return Compare(self.keys.shard(shard), CompareTarget.MOD_REVISION, claim)
