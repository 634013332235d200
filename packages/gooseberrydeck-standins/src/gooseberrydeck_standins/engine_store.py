"""``Store`` client of an engine in the same process, with faults per client."""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from gooseberrydeck_coordination.exceptions import (
    StoreCompactedError,
    StoreLeaseLostError,
    StoreOutcomeUnknownError,
    StoreRequestRefusedError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.ids import Revision, StoreLeaseId
from gooseberrydeck_coordination.store import (
    Compare,
    CompareTarget,
    Delete,
    Entry,
    EventKind,
    Operation,
    Page,
    Put,
    Snapshot,
    Transaction,
    TransactionResult,
    WatchBatch,
    WatchEvent,
)
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import (
    CompactedError,
    Condition,
    ConditionTarget,
    DeleteRange,
    Event,
    InvalidRequestError,
    KeyValue,
    LeaseNotFoundError,
    PutKey,
    StoreEngine,
    prefix_end,
)

__all__ = ["EngineStore"]

PROGRESS_S = 0.2
"""Interval of the empty batches of an idle watch; stopping a watcher takes as long."""

MAX_WAIT_STEP_S = 0.05

MAX_PAGE_ENTRIES = 500
"""Entries of a page, as on the users' platform."""

TARGETS = {
    CompareTarget.MOD_REVISION: ConditionTarget.MOD,
    CompareTarget.VERSION: ConditionTarget.VERSION,
    CompareTarget.VALUE: ConditionTarget.VALUE,
}


class EngineStore:
    """A ``Store`` client over an engine that several clients share.

    ``next_faults`` applies one fault to each of the next calls of this client;
    ``fault`` applies to every call after them. If ``waits`` is False, a watch ends
    instead of blocking for changes, so that tests with a manual clock need no threads.
    """

    def __init__(self, engine: StoreEngine, waits: bool = True) -> None:
        """Create a client without faults."""
        self.engine = engine
        self.waits = waits
        self.fault = CallFault.NONE
        self.next_faults: deque[CallFault] = deque()

    def read(self, key: str, timeout_s: float) -> Entry | None:
        """Return the entry of a key, or None if there is none."""
        with self.call("range"):
            found = self.engine.range(key.encode())
            return to_entry(found[0]) if found else None

    def read_prefix(self, prefix: str, timeout_s: float) -> Snapshot:
        """Return the entries whose key starts with ``prefix``, sorted by key."""
        with self.call("range"):
            start = prefix.encode()
            found = self.engine.range(start, prefix_end(start))
            entries = tuple(to_entry(each) for each in found)
            return Snapshot(entries, Revision(self.engine.revision))

    def read_page(
        self,
        prefix: str,
        after: str,
        timeout_s: float,
        may_be_stale: bool = False,
    ) -> Page:
        """Return a page of the entries below ``prefix`` whose keys follow ``after``."""
        snapshot = self.read_prefix(prefix, timeout_s)
        entries = [entry for entry in snapshot.entries if entry.key > after]
        is_last = len(entries) <= MAX_PAGE_ENTRIES
        return Page(tuple(entries[:MAX_PAGE_ENTRIES]), snapshot.revision, is_last)

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        """Apply a transaction and return whether its conditions held."""
        with self.call("txn"):
            succeeded = self.engine.transact(
                [to_condition(each) for each in transaction.compares],
                [to_operation(each) for each in transaction.operations],
            )
            return TransactionResult(succeeded, Revision(self.engine.revision))

    def grant_lease(self, ttl_s: float, timeout_s: float) -> StoreLeaseId:
        """Grant a lease that expires unless it is kept alive."""
        with self.call("lease_grant"):
            return StoreLeaseId(self.engine.grant_lease(ttl_s))

    def keep_lease_alive(self, lease: StoreLeaseId, timeout_s: float) -> float:
        """Renew a lease and return its TTL in seconds."""
        with self.call("lease_keepalive"):
            return self.engine.keep_alive(lease)

    def revoke_lease(self, lease: StoreLeaseId, timeout_s: float) -> None:
        """Revoke a lease and delete its keys."""
        with self.call("lease_revoke"):
            self.engine.revoke_lease(lease)

    def watch(
        self, prefix: str, start: Revision, timeout_s: float
    ) -> Iterator[WatchBatch]:
        """Yield batches of events from revision ``start`` on, until the stream ends."""
        with self.engine.changed:
            self.engine.calls["watch"] += 1
        first_key = prefix.encode()
        next_revision = int(start)
        while True:
            batch = self.read_batch(first_key, next_revision)
            if not batch.events:
                if not self.waits:
                    return
                batch = self.wait_for_batch(first_key, next_revision, timeout_s)
            next_revision = batch.revision + 1
            yield batch

    def read_batch(self, first_key: bytes, next_revision: int) -> WatchBatch:
        """Return the events available now, possibly none."""
        if self.fault is not CallFault.NONE:
            raise StoreUnavailableError("the watch has ended")
        with self.engine.changed:
            try:
                events = self.engine.events_since(
                    next_revision, first_key, prefix_end(first_key)
                )
            except CompactedError as error:
                raise StoreCompactedError(str(error)) from error
            changes = tuple(to_watch_event(each) for each in events)
            return WatchBatch(changes, Revision(self.engine.revision))

    def wait_for_batch(
        self, first_key: bytes, next_revision: int, timeout_s: float
    ) -> WatchBatch:
        """Block until there are events; after ``PROGRESS_S`` return an empty batch."""
        clock = self.engine.clock
        deadline = clock.monotonic() + min(PROGRESS_S, timeout_s / 2)
        while True:
            batch = self.read_batch(first_key, next_revision)
            left = deadline - clock.monotonic()
            if batch.events or left <= 0:
                return batch
            with self.engine.changed:
                if self.engine.revision < next_revision:
                    self.engine.changed.wait(min(left, MAX_WAIT_STEP_S))

    @contextmanager
    def call(self, name: str) -> Iterator[None]:
        """Run a call under the client's next fault and translate engine errors."""
        fault = self.next_faults.popleft() if self.next_faults else self.fault
        if fault is CallFault.DOWN:
            raise StoreUnavailableError("the store is down")
        if fault is CallFault.REQUEST_LOST:
            raise StoreOutcomeUnknownError("no answer came")
        with self.engine.changed:
            self.engine.calls[name] += 1
            try:
                yield
            except LeaseNotFoundError as error:
                raise StoreLeaseLostError(str(error)) from error
            except InvalidRequestError as error:
                raise StoreRequestRefusedError(str(error)) from error
            finally:
                if fault is CallFault.ANSWER_LOST:
                    raise StoreOutcomeUnknownError("no answer came")


def to_entry(stored: KeyValue) -> Entry:
    """Return the store entry of an engine key."""
    return Entry(
        stored.key.decode(),
        stored.value,
        Revision(stored.mod_revision),
        stored.version,
        StoreLeaseId(stored.lease),
    )


def to_condition(compare: Compare) -> Condition:
    """Return the engine condition of a compare."""
    return Condition(compare.key.encode(), TARGETS[compare.target], compare.expected)


def to_operation(operation: Operation) -> PutKey | DeleteRange:
    """Return the engine operation of a store operation."""
    key = operation.key.encode()
    if isinstance(operation, Put):
        return PutKey(key, operation.value, operation.lease)
    if isinstance(operation, Delete) and operation.is_prefix:
        return DeleteRange(key, prefix_end(key))
    return DeleteRange(key)


def to_watch_event(event: Event) -> WatchEvent:
    """Return the watch event of an engine event."""
    kind = EventKind.DELETE if event.is_delete else EventKind.PUT
    return WatchEvent(kind, to_entry(event.kv))
