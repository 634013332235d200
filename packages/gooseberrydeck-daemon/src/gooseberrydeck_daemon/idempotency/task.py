"""Task that writes the records of keyed requests in groups."""

import queue
import time
from concurrent.futures import Future

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.group_commit import (
    CommitPacer,
    GroupCommitter,
    RecordWrite,
    WriteOutcome,
)
from gooseberrydeck_coordination.ids import StoreLeaseId
from gooseberrydeck_coordination.store import (
    Compare,
    CompareTarget,
    Delete,
    Put,
    Store,
    compare_absent,
)
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.views import MembershipView
from gooseberrydeck_service.tasks import Task

__all__ = ["QueuedWrite", "RecordsTask"]

INBOX_SIZE = 2_048
MAX_BATCH = 256
WRITES_PER_S = 100.0
LEASE_TTL_S = 86_400
LEASE_RENEWAL_S = 3_600.0
LEASE_RETRY_S = 1.0
STORE_TIMEOUT_S = 2.0


class QueuedWrite(msgspec.Struct, frozen=True):
    """A write for the next transaction; ``value`` is None for a deletion."""

    key: str
    before: bytes | None
    value: bytes | None
    future: Future[WriteOutcome]

    def to_write(self, lease: StoreLeaseId) -> RecordWrite:
        """Return the write, conditional on the expected current value of the key."""
        if self.before is None:
            compare = compare_absent(self.key)
        else:
            compare = Compare(self.key, CompareTarget.VALUE, self.before)
        operation = (
            Delete(self.key) if self.value is None else Put(self.key, self.value, lease)
        )
        return RecordWrite((compare,), (operation,))


class RecordsTask(Task[QueuedWrite]):
    """Hold the store lease of the records, and commit their writes in groups.

    Records are attached to a lease of one day, which is replaced by a new one each
    hour. The store thus removes old records itself, without further writes.
    """

    def __init__(
        self,
        store: Store,
        marker_key: str,
        membership: MembershipView,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Write to ``store``; ``marker_key`` resolves commits without a response."""
        super().__init__("request-records", INBOX_SIZE)
        self.store = store
        self.membership = membership
        self.clock = clock
        self.metrics = metrics
        self.pacer = CommitPacer(clock, WRITES_PER_S)
        self.committer = GroupCommitter(store, marker_key, StoreLeaseId(0))
        self.lease_until_s = 0.0
        self.next_grant_s = 0.0

    def write(
        self, key: str, before: bytes | None, value: bytes | None
    ) -> Future[WriteOutcome]:
        """Queue a write. Thread-safe."""
        future: Future[WriteOutcome] = Future()
        if not self.post(QueuedWrite(key, before, value, future)):
            self.metrics.count("requests.records.overflow")
            future.set_result(WriteOutcome.NOT_WRITTEN)
        return future

    def handle(self, message: QueuedWrite) -> None:
        """Commit a write together with others that are queued."""
        self.pacer.members = 1 + len(self.membership.peers())
        delay_s = self.pacer.delay_s()
        if delay_s:
            time.sleep(delay_s)
        batch = self.fill_batch(message)
        if not self.has_lease():
            for item in batch:
                item.future.set_result(WriteOutcome.NOT_WRITTEN)
            return
        self.pacer.record_commit()
        writes = [item.to_write(self.committer.lease) for item in batch]
        results = self.committer.commit(writes)
        for item, result in zip(batch, results, strict=True):
            self.metrics.count(f"requests.records.{result.outcome.value}")
            if result.outcome is WriteOutcome.REFUSED:
                # The lease no longer exists in the store, for instance after a reset.
                self.lease_until_s = 0.0
            item.future.set_result(result.outcome)

    def fill_batch(self, first: QueuedWrite) -> list[QueuedWrite]:
        """Return queued writes to distinct keys.

        A second write to a key gets the outcome ``CONFLICT``.
        """
        batch, keys = [first], {first.key}
        while len(batch) < MAX_BATCH:
            try:
                item = self.inbox.get_nowait()
            except queue.Empty:
                break
            if item.key in keys:
                item.future.set_result(WriteOutcome.CONFLICT)
                continue
            batch.append(item)
            keys.add(item.key)
        return batch

    def has_lease(self) -> bool:
        """Return True if there is a lease, requesting a new one if it is due."""
        now_s = self.clock.monotonic()
        if now_s >= self.lease_until_s and now_s >= self.next_grant_s:
            self.next_grant_s = now_s + LEASE_RETRY_S
            try:
                lease = self.store.grant_lease(LEASE_TTL_S, STORE_TIMEOUT_S)
            except StoreError:
                self.metrics.count("requests.records.no_lease")
            else:
                self.committer.lease = lease
                self.lease_until_s = now_s + LEASE_RENEWAL_S
        return bool(self.committer.lease)

    def end(self) -> None:
        """Report all queued writes as not written."""
        while not self.inbox.empty():
            self.inbox.get_nowait().future.set_result(WriteOutcome.NOT_WRITTEN)
