"""Transactions that store the scheduler's changes while the shard is held."""

import msgspec

from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import JobId, Revision
from gooseberrydeck_coordination.store import (
    Compare,
    Delete,
    Operation,
    Put,
    Store,
    Transaction,
)
from gooseberrydeck_fleet.commands import Changes
from gooseberrydeck_member.keys import SHARD_KEY, ended_key, job_key, progress_key
from gooseberrydeck_member.shard_lock import ShardLostError, mod_revision_equals

__all__ = ["MAX_COMMIT_ENTRIES", "CommitOutcome", "commit_changes"]

MAX_COMMIT_ENTRIES = 31
"""Entries for changes: the store allows 32 per transaction, and one is the condition
on the shard's record."""


class CommitOutcome(msgspec.Struct, frozen=True):
    """The result of a commit.

    ``revisions`` are the current revisions of the jobs' progress, whether or not the
    commit was ``stored``. ``ended`` are the jobs whose end is stored.
    """

    stored: bool
    revisions: dict[JobId, int] = {}
    ended: frozenset[JobId] = frozenset()
    reason: str = ""


def commit_changes(
    store: Store, ownership: Compare, changes: Changes, timeout_s: float
) -> CommitOutcome:
    """Store changes in one transaction, under the condition ``ownership``.

    Store errors are reported in the outcome. Raises ``ShardLostError`` if the shard is
    no longer held.
    """
    try:
        result = store.commit(build_transaction(ownership, changes), timeout_s)
        if result.succeeded:
            revision = int(result.revision)
            written = {write.job: revision for write in changes.progress}
            ended = frozenset(ending.job for ending in changes.endings)
            return CommitOutcome(True, written, ended)
        return read_current_state(store, ownership, changes, timeout_s)
    except StoreError as error:
        return CommitOutcome(False, reason=f"{type(error).__name__}: {error}")


def build_transaction(ownership: Compare, changes: Changes) -> Transaction:
    """Return a transaction for all changes, under the condition ``ownership``."""
    compares: list[Compare] = [ownership]
    operations: list[Operation] = []
    for write in changes.progress:
        key = progress_key(write.job)
        compares.append(mod_revision_equals(key, Revision(write.revision)))
        operations.append(Put(key, write.value))
    for ending in changes.endings:
        key = progress_key(ending.job)
        compares.append(mod_revision_equals(key, Revision(ending.progress_revision)))
        if ending.progress_revision:
            operations.append(Delete(key))
        operations.append(Put(ended_key(ending.job), msgspec.json.encode(ending.ended)))
        operations.append(Delete(job_key(ending.job)))
    return Transaction(tuple(compares), tuple(operations))


def read_current_state(
    store: Store, ownership: Compare, changes: Changes, timeout_s: float
) -> CommitOutcome:
    """Read the current state after a transaction was refused.

    An earlier attempt may have been applied although its response was lost.
    """
    shard = store.read(SHARD_KEY, timeout_s)
    if shard is None or shard.mod_revision != ownership.expected:
        raise ShardLostError("the shard was claimed again or released")
    revisions: dict[JobId, int] = {}
    ended: set[JobId] = set()
    jobs = [write.job for write in changes.progress]
    jobs.extend(ending.job for ending in changes.endings)
    for job in jobs:
        entry = store.read(progress_key(job), timeout_s)
        revisions[job] = 0 if entry is None else int(entry.mod_revision)
        if store.read(ended_key(job), timeout_s) is not None:
            ended.add(job)
    return CommitOutcome(False, revisions, frozenset(ended), "stale revisions")
