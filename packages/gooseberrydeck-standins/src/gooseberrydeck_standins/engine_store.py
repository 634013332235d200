"""A store over the engine in the same process, with faults for each caller."""

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
"""How often a silent watch tells progress; watchers that stop wait for it."""

MAX_WAIT_STEP_S = 0.05

TARGETS = {
    CompareTarget.MOD_REVISION: ConditionTarget.MOD,
    CompareTarget.VERSION: ConditionTarget.VERSION,
    CompareTarget.VALUE: ConditionTarget.VALUE,
}


class EngineStore:
    """The ``Store`` of one caller, over an engine that callers share.

    ``fault`` holds for every call of this caller; ``next_faults`` come before it, one
    for each call. Without ``waits``, a watch ends where it would wait for changes,
    so that tests with a manual clock need no threads.
    """

    def __init__(self, engine: StoreEngine, waits: bool = True) -> None:
        """Begin without faults."""
        self.engine = engine
        self.waits = waits
        self.fault = CallFault.NONE
        self.next_faults: deque[CallFault] = deque()

    def read(self, key: str, timeout_s: float) -> Entry | None:
        """Return the entry of a key, or None if there is none."""
        with self.call("range"):
            found = self.engine.range(key.encode())
            return entry_of(found[0]) if found else None

    def read_prefix(self, prefix: str, timeout_s: float) -> Snapshot:
        """Return every entry whose key begins with ``prefix``, by key."""
        with self.call("range"):
            start = prefix.encode()
            found = self.engine.range(start, prefix_end(start))
            entries = tuple(entry_of(each) for each in found)
            return Snapshot(entries, Revision(self.engine.revision))

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        """Apply a transaction."""
        with self.call("txn"):
            succeeded = self.engine.transact(
                [condition_of(each) for each in transaction.compares],
                [operation_of(each) for each in transaction.operations],
            )
            return TransactionResult(succeeded, Revision(self.engine.revision))

    def grant_lease(self, ttl_s: float, timeout_s: float) -> StoreLeaseId:
        """Grant a lease that lapses unless it is kept alive."""
        with self.call("lease_grant"):
            return StoreLeaseId(self.engine.grant_lease(ttl_s))

    def keep_lease_alive(self, lease: StoreLeaseId, timeout_s: float) -> float:
        """Renew a lease and return its time to live in seconds."""
        with self.call("lease_keepalive"):
            return self.engine.keep_alive(lease)

    def revoke_lease(self, lease: StoreLeaseId, timeout_s: float) -> None:
        """End a lease and delete its keys."""
        with self.call("lease_revoke"):
            self.engine.revoke_lease(lease)

    def watch(
        self, prefix: str, start: Revision, timeout_s: float
    ) -> Iterator[WatchBatch]:
        """Yield changes from revision ``start`` on, until the stream ends."""
        with self.engine.changed:
            self.engine.calls["watch"] += 1
        begin = prefix.encode()
        next_revision = int(start)
        while True:
            batch = self.read_batch(begin, next_revision)
            if not batch.events:
                if not self.waits:
                    return
                batch = self.wait_for_batch(begin, next_revision, timeout_s)
            next_revision = batch.revision + 1
            yield batch

    def read_batch(self, begin: bytes, next_revision: int) -> WatchBatch:
        """Return the changes that there are by now."""
        if self.fault is not CallFault.NONE:
            raise StoreUnavailableError("the watch has ended")
        with self.engine.changed:
            try:
                events = self.engine.events_since(
                    next_revision, begin, prefix_end(begin)
                )
            except CompactedError as error:
                raise StoreCompactedError(str(error)) from error
            changes = tuple(watch_event_of(each) for each in events)
            return WatchBatch(changes, Revision(self.engine.revision))

    def wait_for_batch(
        self, begin: bytes, next_revision: int, timeout_s: float
    ) -> WatchBatch:
        """Return the next changes, or an empty batch that shows progress."""
        clock = self.engine.clock
        deadline = clock.monotonic() + min(PROGRESS_S, timeout_s / 2)
        while True:
            batch = self.read_batch(begin, next_revision)
            left = deadline - clock.monotonic()
            if batch.events or left <= 0:
                return batch
            with self.engine.changed:
                if self.engine.revision < next_revision:
                    self.engine.changed.wait(min(left, MAX_WAIT_STEP_S))

    @contextmanager
    def call(self, name: str) -> Iterator[None]:
        """Make one call under this caller's faults, with the errors of a store."""
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


def entry_of(stored: KeyValue) -> Entry:
    """Return a stored key as an entry."""
    return Entry(
        stored.key.decode(),
        stored.value,
        Revision(stored.mod_revision),
        stored.version,
        StoreLeaseId(stored.lease),
    )


def condition_of(compare: Compare) -> Condition:
    """Return a compare as the engine's condition."""
    return Condition(compare.key.encode(), TARGETS[compare.target], compare.expected)


def operation_of(operation: Operation) -> PutKey | DeleteRange:
    """Return an operation as the engine's."""
    key = operation.key.encode()
    if isinstance(operation, Put):
        return PutKey(key, operation.value, operation.lease)
    if isinstance(operation, Delete) and operation.is_prefix:
        return DeleteRange(key, prefix_end(key))
    return DeleteRange(key)


def watch_event_of(event: Event) -> WatchEvent:
    """Return a change as a watch tells it."""
    kind = EventKind.DELETE if event.is_delete else EventKind.PUT
    return WatchEvent(kind, entry_of(event.kv))
