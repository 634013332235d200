"""Commits of batches of writes, including those of unknown outcome."""

from collections.abc import Sequence

from gooseberrydeck_coordination.exceptions import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreRequestRefusedError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.group_commit.batches import fill_batch
from gooseberrydeck_coordination.group_commit.writes import (
    RecordWrite,
    WriteOutcome,
    WriteResult,
)
from gooseberrydeck_coordination.ids import StoreLeaseId
from gooseberrydeck_coordination.store import (
    ABSENT,
    Compare,
    CompareTarget,
    Operation,
    Put,
    Store,
    Transaction,
)

__all__ = ["GroupCommitter"]

STORE_TIMEOUT_S = 2.0


class GroupCommitter:
    """Commit batches of writes, one at a time, guarded by a marker key.

    Every transaction compares the revision of the marker and writes the marker. So the
    outcome of a transaction without an answer is resolved with at most two calls:
    writing the marker again ensures that the transaction can never take effect, and if
    that write fails, reading the marker shows that the transaction was applied. Without
    the marker, a transaction that is still in transit could take effect after its
    writer had been told that it did not.

    The marker is bound to the member's store lease, so a committer whose session has
    expired cannot write. This class is not thread-safe.
    """

    def __init__(self, store: Store, marker_key: str, lease: StoreLeaseId) -> None:
        """Initialize with a ``marker_key`` that no other live committer writes."""
        self.store = store
        self.marker_key = marker_key
        self.lease = lease
        self.sequence = 0
        self.is_resolved = False
        self.marker_revision = ABSENT

    def commit(self, writes: Sequence[RecordWrite]) -> tuple[WriteResult, ...]:
        """Commit writes in order, in as few transactions as possible.

        Return the results in the order of ``writes``. After the first failure of the
        store, the remaining writes are not sent.
        """
        results: list[WriteResult] = []
        position = 0
        while position < len(writes):
            count = fill_batch(writes[position:])
            batch = writes[position : position + count]
            results.extend(self._commit_batch(batch))
            position += count
            if results[-1].outcome in _STORE_FAILURES:
                results.extend(
                    _same_outcome(writes[position:], WriteOutcome.NOT_WRITTEN)
                )
                break
        return tuple(results)

    def resolve_pending(self) -> bool:
        """Ensure that no earlier transaction can still take effect.

        Return True on success. After an ``UNKNOWN`` outcome, this must succeed before
        the keys of that write are read to find out whether it was applied.
        """
        self.is_resolved = False
        try:
            self.is_resolved = self._write_marker()
        except StoreError:
            return False
        return self.is_resolved

    def _commit_batch(self, batch: Sequence[RecordWrite]) -> list[WriteResult]:
        if not self.is_resolved and not self.resolve_pending():
            return _same_outcome(batch, WriteOutcome.NOT_WRITTEN)
        outcome = self._try_transaction(batch)
        if outcome not in _SPLIT_OUTCOMES or len(batch) == 1:
            return _same_outcome(batch, outcome)
        middle = len(batch) // 2
        first = self._commit_batch(batch[:middle])
        if first[-1].outcome in _STORE_FAILURES:
            return first + _same_outcome(batch[middle:], WriteOutcome.NOT_WRITTEN)
        return first + self._commit_batch(batch[middle:])

    def _try_transaction(self, batch: Sequence[RecordWrite]) -> WriteOutcome:
        self.sequence += 1
        compares = [self._compare_marker()]
        operations: list[Operation] = [self._put_marker()]
        for write in batch:
            compares.extend(write.compares)
            operations.extend(write.operations)
        transaction = Transaction(tuple(compares), tuple(operations))
        try:
            result = self.store.commit(transaction, STORE_TIMEOUT_S)
        except StoreUnavailableError:
            return WriteOutcome.NOT_WRITTEN
        except StoreRequestRefusedError:
            return WriteOutcome.REFUSED
        except StoreOutcomeUnknownError:
            return self._resolve_transaction()
        if result.succeeded:
            self.marker_revision = result.revision
            return WriteOutcome.WRITTEN
        return self._classify_failure()

    def _resolve_transaction(self) -> WriteOutcome:
        """Resolve a transaction without an answer, by preventing it if possible."""
        expected = self._marker_value()
        try:
            if self._prevent_transaction():
                return WriteOutcome.NOT_WRITTEN
            entry = self.store.read(self.marker_key, STORE_TIMEOUT_S)
        except StoreError:
            return self._invalidate_marker(WriteOutcome.UNKNOWN)
        if entry is None or entry.value != expected:
            return self._invalidate_marker(WriteOutcome.UNKNOWN)
        self.marker_revision = entry.mod_revision
        return WriteOutcome.WRITTEN

    def _prevent_transaction(self) -> bool:
        """Write the marker again; return False if its revision has changed."""
        self.sequence += 1
        transaction = Transaction((self._compare_marker(),), (self._put_marker(),))
        result = self.store.commit(transaction, STORE_TIMEOUT_S)
        if result.succeeded:
            self.marker_revision = result.revision
        return result.succeeded

    def _classify_failure(self) -> WriteOutcome:
        """Return the outcome of a transaction whose compares did not hold.

        It is ``CONFLICT`` only if the marker is unchanged, so that a compare of one of
        the writes must have failed.
        """
        try:
            entry = self.store.read(self.marker_key, STORE_TIMEOUT_S)
        except StoreError:
            return self._invalidate_marker(WriteOutcome.NOT_WRITTEN)
        if entry is not None and entry.mod_revision == self.marker_revision:
            return WriteOutcome.CONFLICT
        return self._invalidate_marker(WriteOutcome.NOT_WRITTEN)

    def _write_marker(self) -> bool:
        entry = self.store.read(self.marker_key, STORE_TIMEOUT_S)
        self.marker_revision = ABSENT if entry is None else entry.mod_revision
        return self._prevent_transaction()

    def _invalidate_marker(self, outcome: WriteOutcome) -> WriteOutcome:
        self.is_resolved = False
        return outcome

    def _compare_marker(self) -> Compare:
        return Compare(
            self.marker_key, CompareTarget.MOD_REVISION, self.marker_revision
        )

    def _put_marker(self) -> Put:
        return Put(self.marker_key, self._marker_value(), self.lease)

    def _marker_value(self) -> bytes:
        return b"%d/%d" % (self.lease, self.sequence)


_SPLIT_OUTCOMES = frozenset({WriteOutcome.CONFLICT, WriteOutcome.REFUSED})
_STORE_FAILURES = frozenset({WriteOutcome.NOT_WRITTEN, WriteOutcome.UNKNOWN})


def _same_outcome(
    writes: Sequence[RecordWrite], outcome: WriteOutcome
) -> list[WriteResult]:
    return [WriteResult(write, outcome) for write in writes]
