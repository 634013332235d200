"""The interface to the platform's key-value service."""

from collections.abc import Iterator, Sequence
from enum import Enum
from typing import Protocol

import msgspec

from gooseberrydeck_coordination.ids import Revision, StoreLeaseId

__all__ = [
    "ABSENT",
    "Compare",
    "CompareTarget",
    "Delete",
    "Entry",
    "EventKind",
    "Operation",
    "Put",
    "Snapshot",
    "Store",
    "Transaction",
    "TransactionResult",
    "WatchBatch",
    "WatchEvent",
    "compare_absent",
    "compare_unchanged",
    "operations_size_bytes",
]

ABSENT = Revision(0)
"""The ``mod_revision`` and ``version`` that a key has while it does not exist."""


class Entry(msgspec.Struct, frozen=True):
    """A key with its value, as stored at ``mod_revision``."""

    key: str
    value: bytes
    mod_revision: Revision
    version: int
    lease: StoreLeaseId = StoreLeaseId(0)


class Snapshot(msgspec.Struct, frozen=True):
    """The entries of one read, all as of ``revision``."""

    entries: tuple[Entry, ...]
    revision: Revision


class CompareTarget(Enum):
    """What a compare looks at."""

    MOD_REVISION = "mod_revision"
    VERSION = "version"
    VALUE = "value"


class Compare(msgspec.Struct, frozen=True):
    """Require that a key's ``target`` equals ``expected``."""

    key: str
    target: CompareTarget
    expected: int | bytes


class Put(msgspec.Struct, frozen=True):
    """Write a value; a non-zero lease deletes the key when it lapses."""

    key: str
    value: bytes
    lease: StoreLeaseId = StoreLeaseId(0)


class Delete(msgspec.Struct, frozen=True):
    """Delete a key, or every key with the prefix."""

    key: str
    is_prefix: bool = False


Operation = Put | Delete


class Transaction(msgspec.Struct, frozen=True):
    """Apply every operation if every compare holds, else none of them."""

    compares: tuple[Compare, ...]
    operations: tuple[Operation, ...]


class TransactionResult(msgspec.Struct, frozen=True):
    """Whether the compares held, and the store's revision afterwards."""

    succeeded: bool
    revision: Revision


class EventKind(Enum):
    """What happened to a watched key."""

    PUT = "put"
    DELETE = "delete"


class WatchEvent(msgspec.Struct, frozen=True):
    """One change of a watched key; a deletion has an empty value."""

    kind: EventKind
    entry: Entry


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes in order, complete up to ``revision``; empty ones show progress."""

    events: tuple[WatchEvent, ...]
    revision: Revision


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Every call has a timeout in seconds. It raises ``StoreUnavailableError`` when the
    call certainly had no effect and ``StoreOutcomeUnknownError`` when it may have had.
    """

    def read(self, key: str, timeout_s: float) -> Entry | None:
        """Return the entry of a key, or None if there is none."""

    def read_prefix(self, prefix: str, timeout_s: float) -> Snapshot:
        """Return every entry whose key begins with ``prefix``, by key."""

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        """Apply a transaction."""

    def grant_lease(self, ttl_s: float, timeout_s: float) -> StoreLeaseId:
        """Grant a lease that lapses unless it is kept alive."""

    def keep_lease_alive(self, lease: StoreLeaseId, timeout_s: float) -> float:
        """Renew a lease and return its time to live in seconds.

        Raise ``StoreLeaseLostError`` if the lease is gone.
        """

    def revoke_lease(self, lease: StoreLeaseId, timeout_s: float) -> None:
        """End a lease and delete its keys."""

    def watch(
        self, prefix: str, start: Revision, timeout_s: float
    ) -> Iterator[WatchBatch]:
        """Yield changes from revision ``start`` on, until the stream ends.

        ``timeout_s`` bounds the silence between two batches. Raise
        ``StoreCompactedError`` if ``start`` is no longer kept.
        """


def compare_absent(key: str) -> Compare:
    """Require that a key does not exist."""
    return Compare(key, CompareTarget.MOD_REVISION, ABSENT)


def compare_unchanged(entry: Entry) -> Compare:
    """Require that a key is still as ``entry`` shows it."""
    return Compare(entry.key, CompareTarget.MOD_REVISION, entry.mod_revision)


def operations_size_bytes(operations: Sequence[Operation]) -> int:
    """Return the bytes that keys and values of the operations take."""
    return sum(
        len(operation.key) + (len(operation.value) if isinstance(operation, Put) else 0)
        for operation in operations
    )
