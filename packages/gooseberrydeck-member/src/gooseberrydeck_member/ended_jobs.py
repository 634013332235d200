"""Removal of the records of ended jobs from the store."""

from collections.abc import Callable, Iterator, Mapping

import structlog

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import JobId, Revision
from gooseberrydeck_coordination.store import Delete, Page, PagedStore, Transaction
from gooseberrydeck_member.keys import (
    ENDED_PREFIX,
    PROGRESS_PREFIX,
    SHARD_KEY,
    progress_key,
)
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.shard_lock import (
    ShardLock,
    ShardLostError,
    mod_revision_equals,
)

__all__ = ["EndedJobRemover"]

log = structlog.get_logger(__name__)

STORE_TIMEOUT_S = 1.0
"""Timeout of one store call; a slow store responds in a few hundred milliseconds."""

KEEP_MARGIN_S = 600.0
"""Records are kept this much longer than callers may ask for them. While a record
exists its job can't be stored again, by a late write or a late repeat of its
submission."""

MAX_BATCH_RECORDS = 15
"""Keys removed in one transaction: the store allows 32 entries. Each key needs a
condition and a removal, and the shard's record one condition."""

CALL_INTERVAL_S = 0.25
"""Pause before each store call, which leaves the store's rates to other calls."""

RETRY_DELAY_S = 60.0
"""Delay after a failed sweep. It exceeds the age of stale reads."""


class RecordsChangedError(Exception):
    """Records were changed or removed after they had been read."""


class SweepStoppedError(Exception):
    """The holder stops."""


class EndedJobRemover:
    """Remove the records of jobs that have ended long ago, while the shard is held.

    The age of a record is not derived from a time of day, which may jump: a sweep
    removes the records up to the revision that the store had reached at the previous
    sweep, or at the takeover, at least ``kept_s`` of monotonic time before.
    """

    def __init__(
        self,
        store: PagedStore,
        shard_lock: ShardLock,
        status_s: float,
        metrics: Metrics,
        clock: Clock,
        wait: Callable[[float], bool],
    ) -> None:
        """Prepare for ``state_read`` and ``run``.

        Callers may ask for a job for ``status_s`` after its end. ``wait`` sleeps for a
        number of seconds and returns True if the holder stops. Raises
        ``ShardLostError`` if the shard is not held.
        """
        self.store = store
        # The process may claim the shard again while a late call of this object runs.
        self.ownership = shard_lock.ownership_condition()
        self.kept_s = status_s + KEEP_MARGIN_S
        self.metrics = metrics
        self.clock = clock
        self.wait = wait
        self.limit = Revision(0)
        self.due_s = 0.0
        self.removed = 0

    def state_read(self, revision: Revision) -> None:
        """Set the revision at which the holder has read the stored state."""
        self.limit = revision
        self.due_s = self.clock.monotonic() + self.kept_s

    def run(self) -> None:
        """Sweep until the holder stops or has lost the shard."""
        try:
            while True:
                self.pause(max(0.0, self.due_s - self.clock.monotonic()))
                self.sweep_or_retry()
        except SweepStoppedError:
            return
        except ShardLostError as error:
            log.info("ended jobs left to the next holder", reason=str(error))

    def sweep_or_retry(self) -> None:
        """Sweep, and sweep again after a delay if that fails."""
        started_s = self.clock.monotonic()
        limit = self.limit
        self.removed = 0
        try:
            self.sweep()
        except (StoreError, RecordsChangedError) as error:
            self.due_s = self.clock.monotonic() + RETRY_DELAY_S
            reason = f"{type(error).__name__}: {error}"
            log.warning("ended jobs not removed", removed=self.removed, reason=reason)
            return
        if self.removed:
            log.info(
                "ended jobs removed",
                removed=self.removed,
                up_to_revision=limit,
                seconds=round(self.clock.monotonic() - started_s, 3),
            )

    def sweep(self) -> None:
        """Remove the records up to the limit, and set limit and time of the next sweep.

        If it raises, the limit stays.
        """
        progress = {
            each.key: each.mod_revision
            for page in self.read_pages(PROGRESS_PREFIX)
            for each in page.entries
        }
        next_limit: Revision | None = None
        next_due_s = 0.0
        for page in self.read_pages(ENDED_PREFIX):
            if next_limit is None:
                next_limit = page.revision
                next_due_s = self.clock.monotonic() + self.kept_s
            self.remove_old(page, progress)
        self.limit = next_limit or self.limit
        self.due_s = next_due_s

    def read_pages(self, prefix: str) -> Iterator[Page]:
        """Read the entries below a prefix page by page."""
        after = ""
        while True:
            self.pause(CALL_INTERVAL_S)
            page = self.store.read_page(
                prefix, after, STORE_TIMEOUT_S, may_be_stale=True
            )
            yield page
            if page.is_last:
                return
            after = page.entries[-1].key

    def remove_old(self, page: Page, progress: Mapping[str, Revision]) -> None:
        """Remove the records of a page up to the limit, with progress left behind.

        A write that creates a job's progress may be applied late, after the job's end.
        The record of the end keeps a later job with the same id from getting it.
        """
        batch: dict[str, Revision] = {}
        for entry in page.entries:
            if entry.mod_revision > self.limit:
                continue
            records = {entry.key: entry.mod_revision}
            left_behind = progress_key(JobId(entry.key.removeprefix(ENDED_PREFIX)))
            if left_behind in progress:
                records[left_behind] = progress[left_behind]
            if len(batch) + len(records) > MAX_BATCH_RECORDS:
                self.remove(batch)
                batch = {}
            batch.update(records)
        if batch:
            self.remove(batch)

    def remove(self, records: Mapping[str, Revision]) -> None:
        """Remove up to ``MAX_BATCH_RECORDS`` keys with known revisions.

        Raises a ``StoreError``, ``RecordsChangedError`` or ``ShardLostError`` if they
        may not have been removed.
        """
        self.pause(CALL_INTERVAL_S)
        # Without its condition, a transaction that is applied late might remove the
        # record of a later job with the same id.
        conditions = [mod_revision_equals(*record) for record in records.items()]
        transaction = Transaction(
            (self.ownership, *conditions), tuple(Delete(key) for key in records)
        )
        if self.store.commit(transaction, STORE_TIMEOUT_S).succeeded:
            removed = sum(key.startswith(ENDED_PREFIX) for key in records)
            self.removed += removed
            self.metrics.ended_jobs_removed.inc(removed)
            return
        shard = self.store.read(SHARD_KEY, STORE_TIMEOUT_S)
        if shard is None or shard.mod_revision != self.ownership.expected:
            raise ShardLostError("the shard was claimed again or released")
        raise RecordsChangedError(f"{len(records)} records from {min(records)}")

    def pause(self, seconds: float) -> None:
        """Sleep; raise ``SweepStoppedError`` if the holder stops."""
        if self.wait(seconds):
            raise SweepStoppedError
