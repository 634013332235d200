"""Records, operations and exceptions of the store engine."""

from enum import Enum

import msgspec

from gooseberrydeck_platform.etcd_messages import prefix_end

__all__ = [
    "CompactedError",
    "Condition",
    "ConditionTarget",
    "DeleteRange",
    "Event",
    "InvalidRequestError",
    "KeyValue",
    "LeaseNotFoundError",
    "PutKey",
    "StoreEngineError",
    "in_range",
    "prefix_end",
]


class StoreEngineError(Exception):
    """Base class of the errors of the engine; a request that raises has no effect."""


class InvalidRequestError(StoreEngineError):
    """The request is invalid; a retry cannot succeed."""


class LeaseNotFoundError(StoreEngineError):
    """The lease does not exist or has expired."""


class CompactedError(StoreEngineError):
    """The requested revision has been compacted."""

    def __init__(self, compact_revision: int) -> None:
        """Store ``compact_revision``, the oldest revision that is still available."""
        super().__init__(f"revisions below {compact_revision} have been compacted")
        self.compact_revision = compact_revision


class KeyValue(msgspec.Struct, frozen=True):
    """A stored key; a deleted key has version 0 and an empty value."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


class Event(msgspec.Struct, frozen=True):
    """A change of one key."""

    is_delete: bool
    kv: KeyValue


class ConditionTarget(Enum):
    """Field of a key that a transaction condition compares."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    LEASE = "LEASE"


class Condition(msgspec.Struct, frozen=True):
    """Condition that a key's ``target`` field equals ``expected``."""

    key: bytes
    target: ConditionTarget
    expected: int | bytes


class PutKey(msgspec.Struct, frozen=True):
    """Write of one key, attached to ``lease`` unless that is 0."""

    key: bytes
    value: bytes
    lease: int = 0


class DeleteRange(msgspec.Struct, frozen=True):
    """Deletion of ``key``, or of the keys in ``[key, range_end)``."""

    key: bytes
    range_end: bytes = b""


def in_range(key: bytes, start: bytes, range_end: bytes) -> bool:
    """Return True if a key is in a range, given in etcd's notation.

    An empty ``range_end`` selects only ``start``; a null byte means no upper bound.
    """
    if not range_end:
        return key == start
    return key >= start and (range_end == b"\x00" or key < range_end)
