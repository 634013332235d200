"""Storing the scheduler's changes in the background.

Answers a slow store: with one transaction at a time, ends queued up behind each other
for seconds while every answer took a quarter of one.
"""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec
import structlog

from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_coordination.store import Put, Store, Transaction
from gooseberrydeck_fleet.changes import AcknowledgedEnds, ChangeLog
from gooseberrydeck_fleet.commands import Changes
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_member.commits import (
    MAX_COMMIT_ENTRIES,
    CommitOutcome,
    commit_changes,
)
from gooseberrydeck_member.keys import WORKERS
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.shard_lock import (
    ShardLock,
    ShardLostError,
    mod_revision_equals,
)

__all__ = ["CommitDone", "Committer", "WorkersRecorded"]

log = structlog.get_logger(__name__)

STORE_TIMEOUT_S = 1.0
"""For one call; a slow store answers within a few hundred milliseconds."""

COMMIT_WINDOW_S = 0.02
"""How long ends are gathered into one transaction."""

IN_FLIGHT_COMMIT_WINDOW_S = 0.05
"""The same while another transaction is out: a prompt store has answered by then."""

MAX_COMMITS_IN_FLIGHT = 6
"""Transactions that are out at once; a store that takes 300 ms for each then takes
twenty a second, far below its limit of writes."""

COMMIT_RETRY_DELAY_S = 0.15
"""Pause after a failed commit."""


WORKERS_RECORD_INTERVAL_S = 0.1
"""Between two looks at whether the workers' record has to change; a new worker waits
that much for its first task."""


class CommitDone(msgspec.Struct, frozen=True):
    """A commit has ended; ``outcome`` is None if the shard was lost."""

    changes: Changes
    outcome: CommitOutcome | None
    detail: str = ""


class WorkersRecorded(msgspec.Struct, frozen=True):
    """The workers of a record that was written; None if it was not.

    ``revision`` is that of the record in the store, as far as it is known.
    """

    entries: tuple[Registration, ...] | None
    revision: Revision


class Committer:
    """Sends transactions from an executor; its methods belong to one thread.

    Each transaction has other jobs than those that are out with it, and each depends on
    the shard's record, so that their order does not matter. After a failure one at a
    time is tried until the store answers again.
    """

    def __init__(
        self,
        store: Store,
        shard_lock: ShardLock,
        changes: ChangeLog,
        metrics: Metrics,
        post: Callable[[object], None],
    ) -> None:
        """Report the end of each transaction through ``post``."""
        self.store = store
        self.shard_lock = shard_lock
        self.changes = changes
        self.metrics = metrics
        self.post = post
        self.executor = ThreadPoolExecutor(MAX_COMMITS_IN_FLIGHT, "commit")
        self.max_in_flight = MAX_COMMITS_IN_FLIGHT
        self.in_flight = 0
        self.due_s = 0.0
        self.record_revision = Revision(0)
        self.is_recording = False
        self.record_due_s = 0.0

    def send_due(self, now_s: float) -> AcknowledgedEnds:
        """Send what is due; return the ends that need no transaction."""
        self.record_workers(now_s)
        if self.is_idle():
            if self.in_flight:
                return {}
            return self.changes.stored(self.changes.take(0, 0.0), {}, now_s)
        if self.in_flight >= self.max_in_flight or now_s < self.due_s:
            return {}
        if self.due_s == 0.0:
            self.due_s = now_s + (
                IN_FLIGHT_COMMIT_WINDOW_S if self.in_flight else COMMIT_WINDOW_S
            )
            return {}
        self.due_s = 0.0
        changes = self.changes.take(MAX_COMMIT_ENTRIES, time.time())
        if not changes.is_empty:
            self.in_flight += 1
            self.executor.submit(self.commit, changes)
        return {}

    def is_idle(self) -> bool:
        """Tell whether nothing has changed that is not being stored."""
        ledger = self.changes.ledger
        return not ledger.changed and not ledger.finished

    def commit(self, changes: Changes) -> None:
        """Write changes, in the executor."""
        try:
            outcome = commit_changes(
                self.store, self.shard_lock, changes, STORE_TIMEOUT_S
            )
        except ShardLostError as error:
            self.post(CommitDone(changes, None, str(error)))
        else:
            self.post(CommitDone(changes, outcome))

    def commit_completed(self, message: CommitDone, now_s: float) -> AcknowledgedEnds:
        """Take in how a commit ended; return the ends that workers may forget.

        Raises ``ShardLostError`` if another member has claimed the shard.
        """
        self.in_flight -= 1
        outcome = message.outcome
        if outcome is None:
            raise ShardLostError(message.detail)
        if outcome.stored:
            self.max_in_flight = MAX_COMMITS_IN_FLIGHT
            for ending in message.changes.endings:
                state = ending.ended.state.value
                log.info("job ended", job=ending.job, state=state)
            return self.changes.stored(message.changes, outcome.revisions, now_s)
        log.warning(
            "commit failed",
            jobs=len(message.changes.progress) + len(message.changes.endings),
            reason=outcome.reason,
        )
        self.metrics.commit_failures.inc()
        self.max_in_flight = 1
        self.due_s = now_s + COMMIT_RETRY_DELAY_S
        self.changes.failed(message.changes)
        self.changes.revisions_read(outcome.revisions, outcome.ended, now_s)
        return {}

    # The record of workers.

    def record_workers(self, now_s: float) -> None:
        """Store which workers may run something, before they are given work."""
        if self.is_recording or now_s < self.record_due_s:
            return
        self.record_due_s = now_s + WORKERS_RECORD_INTERVAL_S
        entries = self.changes.workers_to_record()
        if entries is None:
            return
        self.is_recording = True
        self.executor.submit(self.write_workers, entries, self.record_revision)

    def write_workers(self, entries: list[Registration], revision: Revision) -> None:
        """Write the workers' record, in the executor."""
        written: tuple[Registration, ...] | None = None
        try:
            record = Put(WORKERS, msgspec.json.encode(entries))
            # Without its own revision a late write could replace a newer record.
            conditions = (
                self.shard_lock.ownership_condition(),
                mod_revision_equals(WORKERS, revision),
            )
            result = self.store.commit(
                Transaction(conditions, (record,)), STORE_TIMEOUT_S
            )
            if result.succeeded:
                written, revision = tuple(entries), result.revision
            else:
                present = self.store.read(WORKERS, STORE_TIMEOUT_S)
                revision = Revision(0) if present is None else present.mod_revision
        except (StoreError, ShardLostError) as error:
            log.warning("workers not recorded", reason=str(error))
        self.post(WorkersRecorded(written, revision))

    def workers_recorded(self, message: WorkersRecorded) -> None:
        """Take in how the writing of the workers' record ended."""
        self.is_recording = False
        self.record_revision = message.revision
        if message.entries is not None:
            self.changes.workers_recorded(message.entries)

    def close(self) -> None:
        """Drop what has not been sent; calls that are out end by themselves."""
        self.executor.shutdown(wait=False, cancel_futures=True)
