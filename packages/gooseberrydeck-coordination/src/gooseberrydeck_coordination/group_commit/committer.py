"""Commit batches of writes and settle those whose answer was lost."""

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
    """Write batches, one at a time, each guarded by a marker key of its own.

    Every transaction compares the marker's revision and writes the marker. So a
    transaction without an answer is settled by two calls at most: writing the
    marker anew makes sure that it never takes effect, and if that is refused,
    reading the marker tells that it did. Without this, a transaction still under
    way could take effect after its writer had been told that it did not.

    The marker hangs on the member's store lease: a committer whose session has
    lapsed writes nothing more. It belongs to one task and is not safe for
    several threads.
    """

    def __init__(self, store: Store, marker_key: str, lease: StoreLeaseId) -> None:
        """Use ``marker_key``, which no other committer may write."""
        self.store = store
        self.marker_key = marker_key
        self.lease = lease
        self.sequence = 0
        self.is_settled = False
        self.marker_revision = ABSENT

    def commit(self, writes: Sequence[RecordWrite]) -> tuple[WriteResult, ...]:
        """Commit writes in order, in as few transactions as they fit into.

        After the store has failed once, the writes that are left are not sent.
        """
        results: list[WriteResult] = []
        position = 0
        while position < len(writes):
            count = fill_batch(writes[position:])
            batch = writes[position : position + count]
            results.extend(self._commit_batch(batch))
            position += count
            if results[-1].outcome in _STORE_OUT:
                results.extend(_all(writes[position:], WriteOutcome.NOT_WRITTEN))
                break
        return tuple(results)

    def resolve_pending(self) -> bool:
        """Make sure that no earlier transaction can still take effect.

        Return whether the store answered. It must be called, and return True,
        before what an ``UNKNOWN`` write left behind is read back.
        """
        self.is_settled = False
        try:
            self.is_settled = self._write_marker()
        except StoreError:
            return False
        return self.is_settled

    def _commit_batch(self, batch: Sequence[RecordWrite]) -> list[WriteResult]:
        if not self.is_settled and not self.resolve_pending():
            return _all(batch, WriteOutcome.NOT_WRITTEN)
        outcome = self._try_transaction(batch)
        if outcome not in _WORTH_SPLITTING or len(batch) == 1:
            return _all(batch, outcome)
        middle = len(batch) // 2
        first = self._commit_batch(batch[:middle])
        if first[-1].outcome in _STORE_OUT:
            return first + _all(batch[middle:], WriteOutcome.NOT_WRITTEN)
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
            return self._settle_transaction()
        if result.succeeded:
            self.marker_revision = result.revision
            return WriteOutcome.WRITTEN
        return self._explain_failure()

    def _settle_transaction(self) -> WriteOutcome:
        """Find out whether the transaction took effect, or prevent that it does."""
        expected = self._marker_value()
        try:
            if self._prevent_transaction():
                return WriteOutcome.NOT_WRITTEN
            entry = self.store.read(self.marker_key, STORE_TIMEOUT_S)
        except StoreError:
            return self._forget_marker(WriteOutcome.UNKNOWN)
        if entry is None or entry.value != expected:
            return self._forget_marker(WriteOutcome.UNKNOWN)
        self.marker_revision = entry.mod_revision
        return WriteOutcome.WRITTEN

    def _prevent_transaction(self) -> bool:
        """Move the marker on, unless the transaction took effect before."""
        self.sequence += 1
        transaction = Transaction((self._compare_marker(),), (self._put_marker(),))
        result = self.store.commit(transaction, STORE_TIMEOUT_S)
        if result.succeeded:
            self.marker_revision = result.revision
        return result.succeeded

    def _explain_failure(self) -> WriteOutcome:
        """Tell a failed compare of a write from a marker that has changed."""
        try:
            entry = self.store.read(self.marker_key, STORE_TIMEOUT_S)
        except StoreError:
            return self._forget_marker(WriteOutcome.NOT_WRITTEN)
        if entry is not None and entry.mod_revision == self.marker_revision:
            return WriteOutcome.CONFLICT
        return self._forget_marker(WriteOutcome.NOT_WRITTEN)

    def _write_marker(self) -> bool:
        entry = self.store.read(self.marker_key, STORE_TIMEOUT_S)
        self.marker_revision = ABSENT if entry is None else entry.mod_revision
        return self._prevent_transaction()

    def _forget_marker(self, outcome: WriteOutcome) -> WriteOutcome:
        self.is_settled = False
        return outcome

    def _compare_marker(self) -> Compare:
        return Compare(
            self.marker_key, CompareTarget.MOD_REVISION, self.marker_revision
        )

    def _put_marker(self) -> Put:
        return Put(self.marker_key, self._marker_value(), self.lease)

    def _marker_value(self) -> bytes:
        return b"%d/%d" % (self.lease, self.sequence)


_WORTH_SPLITTING = frozenset({WriteOutcome.CONFLICT, WriteOutcome.REFUSED})
_STORE_OUT = frozenset({WriteOutcome.NOT_WRITTEN, WriteOutcome.UNKNOWN})


def _all(writes: Sequence[RecordWrite], outcome: WriteOutcome) -> list[WriteResult]:
    return [WriteResult(write, outcome) for write in writes]
