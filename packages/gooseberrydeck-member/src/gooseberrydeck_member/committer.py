"""Background commits of the scheduler's changes.

Several transactions may be in flight. With one at a time, run ends queued for seconds
behind a slow store that took a quarter of a second for each response.
"""

from collections.abc import Callable

import msgspec
import structlog

from gooseberrydeck_coordination.clock import Clock
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
from gooseberrydeck_member.keys import WORKERS_KEY
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.shard_lock import (
    ShardLock,
    ShardLostError,
    mod_revision_equals,
)
from gooseberrydeck_member.threads import SYSTEM_CLOCK, SYSTEM_THREADS, Threads

__all__ = ["CommitDone", "Committer", "WorkersRecorded"]

log = structlog.get_logger(__name__)

STORE_TIMEOUT_S = 1.0
"""Timeout of one store call; a slow store responds in a few hundred milliseconds."""

COMMIT_WINDOW_S = 0.02
"""How long changes are collected for one transaction."""

IN_FLIGHT_COMMIT_WINDOW_S = 0.05
"""The same while another transaction is in flight; a fast store has responded by
then."""

MAX_COMMITS_IN_FLIGHT = 6
"""Transactions in flight at once. A store that needs 300 ms for each then receives
twenty per second, far below its write limit."""

COMMIT_RETRY_DELAY_S = 0.15
"""Delay after a failed commit."""


WORKERS_RECORD_INTERVAL_S = 0.1
"""Interval between checks whether the record of workers must be updated. A new worker
waits up to this long for its first task."""


class CommitDone(msgspec.Struct, frozen=True):
    """The result of a commit; ``outcome`` is None if the shard was lost."""

    changes: Changes
    outcome: CommitOutcome | None
    detail: str = ""


class WorkersRecorded(msgspec.Struct, frozen=True):
    """The result of writing the record of workers; ``entries`` is None if it failed.

    ``revision`` is the last known revision of the record in the store.
    """

    entries: tuple[Registration, ...] | None
    revision: Revision


class Committer:
    """Send transactions from an executor.

    Except ``commit`` and ``write_workers``, which run in the executor, all methods must
    be called from one thread. Transactions in flight never share a job, and each is
    conditional on the shard's record, so their order does not matter. After a failure
    only one at a time is sent until the store responds again.
    """

    def __init__(
        self,
        store: Store,
        shard_lock: ShardLock,
        changes: ChangeLog,
        metrics: Metrics,
        post: Callable[[object], None],
        clock: Clock = SYSTEM_CLOCK,
        threads: Threads = SYSTEM_THREADS,
    ) -> None:
        """Start without transactions; ``post`` receives the result of each.

        Raises ``ShardLostError`` if the shard is not held.
        """
        self.store = store
        # The process may claim the shard again while a late thread of this committer
        # runs, so the condition is that of the present holding.
        self.ownership = shard_lock.ownership_condition()
        self.changes = changes
        self.metrics = metrics
        self.post = post
        self.clock = clock
        self.executor = threads.executor(MAX_COMMITS_IN_FLIGHT, "commit")
        self.max_in_flight = MAX_COMMITS_IN_FLIGHT
        self.in_flight = 0
        self.due_s = 0.0
        self.record_revision = Revision(0)
        self.is_recording = False
        self.record_due_s = 0.0

    def send_due(self, now_s: float) -> AcknowledgedEnds:
        """Send due transactions; return run ends that need no transaction."""
        self.record_workers(now_s)
        if self.is_idle():
            if self.in_flight:
                return {}
            return self.changes.commit_succeeded(
                self.changes.take_batch(0, 0.0), {}, now_s
            )
        if self.in_flight >= self.max_in_flight or now_s < self.due_s:
            return {}
        if self.due_s == 0.0:
            self.due_s = now_s + (
                IN_FLIGHT_COMMIT_WINDOW_S if self.in_flight else COMMIT_WINDOW_S
            )
            return {}
        self.due_s = 0.0
        changes = self.changes.take_batch(MAX_COMMIT_ENTRIES, self.clock.wall())
        if not changes.is_empty:
            self.in_flight += 1
            self.executor.submit(self.commit, changes)
        return {}

    def is_idle(self) -> bool:
        """Return whether there are no changes left to send."""
        ledger = self.changes.ledger
        return not ledger.changed and not ledger.finished

    def commit(self, changes: Changes) -> None:
        """Commit changes and post the result."""
        try:
            outcome = commit_changes(
                self.store, self.ownership, changes, STORE_TIMEOUT_S
            )
        except ShardLostError as error:
            self.post(CommitDone(changes, None, str(error)))
        else:
            self.post(CommitDone(changes, outcome))

    def commit_completed(self, message: CommitDone, now_s: float) -> AcknowledgedEnds:
        """Apply the result of a commit; return the run ends to acknowledge to workers.

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
            return self.changes.commit_succeeded(
                message.changes, outcome.revisions, now_s
            )
        log.warning(
            "commit failed",
            jobs=len(message.changes.progress) + len(message.changes.endings),
            reason=outcome.reason,
        )
        self.metrics.commit_failures.inc()
        self.max_in_flight = 1
        self.due_s = now_s + COMMIT_RETRY_DELAY_S
        self.changes.commit_failed(message.changes)
        self.changes.revisions_read(outcome.revisions, outcome.ended, now_s)
        return {}

    # Record of workers.

    def record_workers(self, now_s: float) -> None:
        """Record the workers that may run tasks, before tasks are started on them."""
        if self.is_recording or now_s < self.record_due_s:
            return
        self.record_due_s = now_s + WORKERS_RECORD_INTERVAL_S
        entries = self.changes.workers_to_record()
        if entries is None:
            return
        self.is_recording = True
        self.executor.submit(self.write_workers, entries, self.record_revision)

    def write_workers(self, entries: list[Registration], revision: Revision) -> None:
        """Write the record of workers and post the result."""
        written: tuple[Registration, ...] | None = None
        try:
            record = Put(WORKERS_KEY, msgspec.json.encode(entries))
            # The condition on the revision keeps a late write from replacing a newer
            # record.
            conditions = (
                self.ownership,
                mod_revision_equals(WORKERS_KEY, revision),
            )
            result = self.store.commit(
                Transaction(conditions, (record,)), STORE_TIMEOUT_S
            )
            if result.succeeded:
                written, revision = tuple(entries), result.revision
            else:
                present = self.store.read(WORKERS_KEY, STORE_TIMEOUT_S)
                revision = Revision(0) if present is None else present.mod_revision
        except StoreError as error:
            log.warning("cannot store record of workers", reason=str(error))
        self.post(WorkersRecorded(written, revision))

    def workers_recorded(self, message: WorkersRecorded) -> None:
        """Apply the result of writing the record of workers."""
        self.is_recording = False
        self.record_revision = message.revision
        if message.entries is not None:
            self.changes.workers_recorded(message.entries)

    def close(self) -> None:
        """Drop queued transactions; those in flight run to their end."""
        self.executor.shutdown(wait=False, cancel_futures=True)
