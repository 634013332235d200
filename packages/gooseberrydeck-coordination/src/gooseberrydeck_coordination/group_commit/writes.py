"""Single writes and how they end."""

from enum import Enum

import msgspec

from gooseberrydeck_coordination.store import Compare, Operation, operations_size_bytes

__all__ = ["RecordWrite", "WriteOutcome", "WriteResult"]


class RecordWrite(msgspec.Struct, frozen=True):
    """Operations that take effect together, if all compares hold.

    No key may be written by two writes of one batch; ``keys`` tells them.
    """

    compares: tuple[Compare, ...]
    operations: tuple[Operation, ...]

    @property
    def keys(self) -> frozenset[str]:
        """Return the keys that the write touches."""
        return frozenset(operation.key for operation in self.operations)

    @property
    def size_bytes(self) -> int:
        """Return the bytes that the operations take."""
        return operations_size_bytes(self.operations)


class WriteOutcome(Enum):
    """How a write ended."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    """A compare of this very write did not hold; nothing was written."""

    REFUSED = "refused"
    """The store refuses this very write, as too large for instance."""

    NOT_WRITTEN = "not_written"
    """The store is out; the write has had no effect and never will."""

    UNKNOWN = "unknown"
    """The store is out; the write may have had effect or may still have it."""


class WriteResult(msgspec.Struct, frozen=True):
    """The outcome of one write, in the order in which writes were given."""

    write: RecordWrite
    outcome: WriteOutcome
