"""Single writes and their outcomes."""

from enum import Enum

import msgspec

from gooseberrydeck_coordination.store import Compare, Operation, operations_size_bytes

__all__ = ["RecordWrite", "WriteOutcome", "WriteResult"]


class RecordWrite(msgspec.Struct, frozen=True):
    """Operations that are applied together if all compares hold.

    Two writes of one batch must not write the same key.
    """

    compares: tuple[Compare, ...]
    operations: tuple[Operation, ...]

    @property
    def keys(self) -> frozenset[str]:
        """The keys that the operations write or delete."""
        return frozenset(operation.key for operation in self.operations)

    @property
    def size_bytes(self) -> int:
        """The total size of the keys and values of the operations."""
        return operations_size_bytes(self.operations)


class WriteOutcome(Enum):
    """The outcome of a write."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    """A compare of this write did not hold; nothing was written."""

    REFUSED = "refused"
    """The store rejects this write, for example because it is too large."""

    NOT_WRITTEN = "not_written"
    """The store is unavailable; the write had no effect and never will."""

    UNKNOWN = "unknown"
    """The store is unavailable; the write may have taken or may still take effect."""


class WriteResult(msgspec.Struct, frozen=True):
    """A write and its outcome."""

    write: RecordWrite
    outcome: WriteOutcome
