"""Group commit of durable records.

A committer combines as many single writes as fit into one transaction of the store,
and reports for each write whether it took effect.
"""

from gooseberrydeck_coordination.group_commit.batches import fill_batch
from gooseberrydeck_coordination.group_commit.committer import GroupCommitter
from gooseberrydeck_coordination.group_commit.pacing import CommitPacer
from gooseberrydeck_coordination.group_commit.writes import (
    RecordWrite,
    WriteOutcome,
    WriteResult,
)

__all__ = [
    "CommitPacer",
    "GroupCommitter",
    "RecordWrite",
    "WriteOutcome",
    "WriteResult",
    "fill_batch",
]
