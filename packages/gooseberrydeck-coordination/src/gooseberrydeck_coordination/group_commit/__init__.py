"""Durable records written in groups, one transaction for many.

Writers hand in single writes; a committer puts as many of them as fit into one
transaction, and tells each writer exactly whether its write took effect.
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
