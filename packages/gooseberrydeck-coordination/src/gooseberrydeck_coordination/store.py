"""The interface of the platform's key-value store."""

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
    "Page",
    "PagedStore",
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
"""The ``mod_revision`` and ``version`` of a key that does not exist."""


class Entry(msgspec.Struct, frozen=True):
    """A key and its value, last modified at ``mod_revision``."""

    key: str
    value: bytes
    mod_revision: Revision
    version: int
    lease: StoreLeaseId = StoreLeaseId(0)


class Snapshot(msgspec.Struct, frozen=True):
    """The entries returned by one read, all as of ``revision``."""

    entries: tuple[Entry, ...]
    revision: Revision


class Page(msgspec.Struct, frozen=True):
    """Some of the entries below a prefix, and the store's revision.

    Unless it is the last one, the next page begins after the key of the last entry.
    """

    entries: tuple[Entry, ...]
    revision: Revision
    is_last: bool


class CompareTarget(Enum):
    """The attribute of a key that is compared."""

    MOD_REVISION = "mod_revision"
    VERSION = "version"
    VALUE = "value"


class Compare(msgspec.Struct, frozen=True):
    """A condition that a key's ``target`` equals ``expected``."""

    key: str
    target: CompareTarget
    expected: int | bytes


class Put(msgspec.Struct, frozen=True):
    """Write a value; the key is deleted when a non-zero lease ends."""

    key: str
    value: bytes
    lease: StoreLeaseId = StoreLeaseId(0)


class Delete(msgspec.Struct, frozen=True):
    """Delete a key, or every key with the prefix."""

    key: str
    is_prefix: bool = False


Operation = Put | Delete


class Transaction(msgspec.Struct, frozen=True):
    """Operations that are applied together if every compare holds."""

    compares: tuple[Compare, ...]
    operations: tuple[Operation, ...]


class TransactionResult(msgspec.Struct, frozen=True):
    """Whether the compares held, and the store's revision after the transaction."""

    succeeded: bool
    revision: Revision


class EventKind(Enum):
    """The kind of a change to a watched key."""

    PUT = "put"
    DELETE = "delete"


class WatchEvent(msgspec.Struct, frozen=True):
    """A change of a watched key; a deletion has an empty value."""

    kind: EventKind
    entry: Entry


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes in order, complete up to ``revision``; without any it marks progress."""

    events: tuple[WatchEvent, ...]
    revision: Revision


class Store(Protocol):
    """Protocol of a key-value store with compare-and-swap, leases and watches.

    Every call has a timeout in seconds. A failed call raises
    ``StoreUnavailableError`` if it certainly had no effect, and
    ``StoreOutcomeUnknownError`` if it may have had one.
    """

    def read(self, key: str, timeout_s: float) -> Entry | None:
        """Return the entry of a key, or None if the key does not exist."""

    def read_prefix(self, prefix: str, timeout_s: float) -> Snapshot:
        """Return every entry whose key starts with ``prefix``, sorted by key."""

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        """Apply a transaction if its compares hold."""

    def grant_lease(self, ttl_s: float, timeout_s: float) -> StoreLeaseId:
        """Grant a lease that expires unless it is kept alive."""

    def keep_lease_alive(self, lease: StoreLeaseId, timeout_s: float) -> float:
        """Renew a lease and return its time to live in seconds.

        Raise ``StoreLeaseLostError`` if the lease has expired or was revoked.
        """

    def revoke_lease(self, lease: StoreLeaseId, timeout_s: float) -> None:
        """Revoke a lease and delete its keys."""

    def watch(
        self, prefix: str, start: Revision, timeout_s: float
    ) -> Iterator[WatchBatch]:
        """Yield changes from revision ``start`` on, until the stream ends.

        ``timeout_s`` limits the time between two batches. Raise
        ``StoreCompactedError`` if ``start`` has been compacted.
        """


class PagedStore(Store, Protocol):
    """Protocol of a store that can be read page by page."""

    def read_page(
        self, prefix: str, after: str, timeout_s: float, may_be_stale: bool = False
    ) -> Page:
        """Return the entries below ``prefix`` whose keys follow ``after``.

        ``may_be_stale`` allows a cheaper read of a state that is seconds old.
        """


def compare_absent(key: str) -> Compare:
    """Return the compare that requires a key not to exist."""
    return Compare(key, CompareTarget.MOD_REVISION, ABSENT)


def compare_unchanged(entry: Entry) -> Compare:
    """Return the compare that requires a key to be unchanged since ``entry``."""
    return Compare(entry.key, CompareTarget.MOD_REVISION, entry.mod_revision)


def operations_size_bytes(operations: Sequence[Operation]) -> int:
    """Return the total size of the keys and values of the operations."""
    return sum(
        len(operation.key) + (len(operation.value) if isinstance(operation, Put) else 0)
        for operation in operations
    )
